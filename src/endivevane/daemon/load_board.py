"""Keeps the last load report of each polled target, readable on any thread."""

from __future__ import annotations

from collections import abc

from endivevane.external import engine
from endivevane.online import messages


class LoadTable:
    """Table of load reports that forwards every message of the pollers.

    :param forward: called with every message, for example :meth:`relay.RelayTask.post`
    """

    def __init__(self, forward: abc.Callable[[object], None]) -> None:
        self._forward = forward
        self._reports: dict[str, engine.LoadReport] = {}

    def post(self, message: object) -> None:
        """Handle a message of the pollers; thread-safe."""
        if isinstance(message, messages.LoadReported):
            self._reports[message.target_name] = message.report
        self._forward(message)

    def load_report(self, target_name: str) -> engine.LoadReport | None:
        """Return the last report of a target, or ``None``."""
        return self._reports.get(target_name)

    def find_load_share(self, target_name: str) -> float:
        """Return the used share of an engine's slots, or 0 without a report."""
        report = self.load_report(target_name)
        return report.running / max(1, report.slots) if report is not None else 0.0
