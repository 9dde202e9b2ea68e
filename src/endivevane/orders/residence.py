"""Tracking of how long engines have had their models loaded."""

from __future__ import annotations

from collections import abc

from endivevane.orders import plans


class ResidenceTracker:
    """Tracks since when each engine has each model loaded."""

    def __init__(self) -> None:
        self.since_s: dict[tuple[str, plans.Key], float] = {}

    def observe(self, engines: abc.Iterable[plans.EngineView], now_s: float) -> None:
        """Record the loaded models and discard those no longer loaded."""
        held = {(view.name, key) for view in engines for key in plans.list_keys(view)}
        self.since_s = {item: self.since_s.get(item, now_s) for item in held}
