"""Remembers how long engines have held their models."""

from __future__ import annotations

from collections import abc

from endivevane.orders import placement


class Residence:
    """Remembers since when each engine has each model loaded."""

    def __init__(self) -> None:
        self.since_s: dict[tuple[str, placement.Key], float] = {}

    def observe(
        self, engines: abc.Iterable[placement.EngineView], now_s: float
    ) -> None:
        """Take in what engines hold; forgets what they no longer hold."""
        held = {
            (view.name, key) for view in engines for key in placement.list_keys(view)
        }
        self.since_s = {item: self.since_s.get(item, now_s) for item in held}
