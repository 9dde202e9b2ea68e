"""How many requests organisations usually send, as weights for their shares."""

from __future__ import annotations

import math

# Time over which requests count: a surge of some seconds changes it little.
_MEMORY_S = 120.0
_UPDATE_INTERVAL_S = 1.0
# Time after which most of what is usual counts as known.
_LEARNING_S = 20.0
# Counts grow with time instead of decaying, and are scaled down at this exponent.
_MAX_EXPONENT = 30.0
# An organisation with less than this share of a request counts as one without any.
_LEAST_COUNT = 0.01


class UsualRates:
    """Counts the requests of organisations with exponential decay.

    The weight of an organisation is the square root of how many times the mean of all
    it sends, and at least 1. With equal weights, a small organisation that sends many
    times its usual would take slots from a large one that sends no more than usual;
    with weights in proportion, a burst of a small one would wait for the large ones.

    :ivar weights: weights of the organisations for which it is more than 1
    """

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._total = 0.0
        self._scaled_s = 0.0
        self._started_s = 0.0
        self.weights: dict[str, float] = {}
        self._weighed_s = -math.inf

    def record(self, organisation: str, now_s: float) -> None:
        """Record that a request has arrived."""
        if not self._counts:
            self._scaled_s = self._started_s = now_s
        exponent = (now_s - self._scaled_s) / _MEMORY_S
        if exponent > _MAX_EXPONENT:
            self._scale_down(now_s)
            exponent = 0.0
        count = math.exp(exponent)
        self._counts[organisation] = self._counts.get(organisation, 0.0) + count
        self._total += count

    def update(self, now_s: float) -> None:
        """Compute the weights anew when due; they are equal until enough is known."""
        if now_s - self._weighed_s < _UPDATE_INTERVAL_S:
            return
        self._weighed_s = now_s
        elapsed_s = now_s - self._started_s
        known = 1.0 - math.exp(-elapsed_s / _LEARNING_S) if self._total else 0.0
        mean = self._total / max(1, len(self._counts))
        self.weights = {
            organisation: 1.0 + known * (math.sqrt(count / mean) - 1.0)
            for organisation, count in self._counts.items()
            if count > mean
        }

    def _scale_down(self, now_s: float) -> None:
        factor = math.exp(-(now_s - self._scaled_s) / _MEMORY_S)
        self._counts = {
            name: count * factor
            for name, count in self._counts.items()
            if count * factor >= _LEAST_COUNT
        }
        self._total = sum(self._counts.values())
        self._scaled_s = now_s
