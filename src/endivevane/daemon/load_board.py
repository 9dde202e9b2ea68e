"""The last load report of each polled target, for readers on any thread."""

from __future__ import annotations

from collections import abc

from endivevane.external import engine
from endivevane.online import messages


class LoadBoard:
    """Keeps load reports and passes all messages of the polls on.

    :param forward: takes every message, for example :meth:`relay.RelayTask.post`
    """

    def __init__(self, forward: abc.Callable[[object], None]) -> None:
        self._forward = forward
        self._reports: dict[str, engine.LoadReport] = {}

    def post(self, message: object) -> None:
        """Take a message of the polls; thread-safe."""
        if isinstance(message, messages.LoadReported):
            self._reports[message.target_name] = message.report
        self._forward(message)

    def load_report(self, target_name: str) -> engine.LoadReport | None:
        """Return the last report of a target, ``None`` when there is none."""
        return self._reports.get(target_name)

    def find_load_share(self, target_name: str) -> float:
        """Return the used share of an engine's slots, 0 when nothing is known."""
        report = self.load_report(target_name)
        return report.running / max(1, report.slots) if report is not None else 0.0
