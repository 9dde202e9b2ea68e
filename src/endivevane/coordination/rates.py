"""Exponentially decayed rates and averages."""

from __future__ import annotations

import math


class DecayedRate:
    """Events per second, weighted by ``exp(-age / time constant)``.

    :param time_constant_s: after a change of the true rate, 63% of the change is
        visible after this time
    """

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_s = now_s

    def add(self, now_s: float, count: float = 1.0) -> None:
        """Add events that happen now."""
        self._decay(now_s)
        self._sum += count

    def read_per_s(self, now_s: float) -> float:
        """Return the rate."""
        self._decay(now_s)
        return self._sum / self._time_constant_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._sum *= math.exp(-elapsed_s / self._time_constant_s)
        self._updated_s = now_s


class DecayedLevel:
    """Time-weighted mean of a gauge, decayed like :class:`DecayedRate`.

    :ivar level: the current value of the gauge
    """

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        self.level = 0
        self._time_constant_s = time_constant_s
        self._mean = 0.0
        self._updated_s = now_s

    def change(self, amount: int, now_s: float) -> None:
        """Add to the current value."""
        self._advance(now_s)
        self.level += amount

    def read_mean(self, now_s: float) -> float:
        """Return the mean."""
        self._advance(now_s)
        return self._mean

    def _advance(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        kept = math.exp(-elapsed_s / self._time_constant_s)
        self._mean = self.level + (self._mean - self.level) * kept
        self._updated_s = now_s
