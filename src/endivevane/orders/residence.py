"""Remembers how long engines have held their models."""

from __future__ import annotations

from collections import abc

from endivevane.orders import plans


class Residence:
    """Remembers since when each engine has each model loaded."""

    def __init__(self) -> None:
        self.since_s: dict[tuple[str, plans.Key], float] = {}

    def observe(self, engines: abc.Iterable[plans.EngineView], now_s: float) -> None:
        """Take in what engines hold; forgets what they no longer hold."""
        held = {(view.name, key) for view in engines for key in plans.list_keys(view)}
        self.since_s = {item: self.since_s.get(item, now_s) for item in held}
