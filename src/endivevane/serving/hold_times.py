"""Mean times for which the requests of each service hold a slot."""

from __future__ import annotations

# Until this daemon has seen requests or items end.
_INITIAL_HOLD_S = 0.8
_INITIAL_ITEM_HOLD_S = 4.0
_WEIGHT = 0.05


class HoldTimes:
    """Learns the mean hold times of online requests and of batch items."""

    def __init__(self) -> None:
        self._online_s: dict[str, float] = {}
        self._items_s: dict[str, float] = {}

    def record(self, service: str, hold_s: float) -> None:
        """Record how long an online request held its slot."""
        mean_s = self.get(service)
        self._online_s[service] = mean_s + _WEIGHT * (hold_s - mean_s)

    def record_item(self, service: str, hold_s: float) -> None:
        """Record how long a batch item held its slot."""
        mean_s = self.get_item(service)
        self._items_s[service] = mean_s + _WEIGHT * (hold_s - mean_s)

    def get(self, service: str) -> float:
        """Return the mean hold time of online requests."""
        return self._online_s.get(service, _INITIAL_HOLD_S)

    def get_item(self, service: str) -> float:
        """Return the mean hold time of batch items."""
        return self._items_s.get(service, _INITIAL_ITEM_HOLD_S)
