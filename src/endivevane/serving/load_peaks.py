"""The highest online load of the last seconds."""

from __future__ import annotations

import collections

# Pulses come a few seconds apart, so that the window holds one or two of them.
_WINDOW_S = 8.0
_BUCKET_S = 0.5


class PeakWindow:
    """Keeps the maximum of a value over the last seconds."""

    def __init__(self) -> None:
        # (end of the bucket's time, highest value in it), oldest first.
        self._buckets: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, now_s: float, value: float) -> None:
        """Take in a value of now."""
        if not self._buckets or now_s >= self._buckets[-1][0]:
            self._buckets.append((now_s + _BUCKET_S, value))
        elif value > self._buckets[-1][1]:
            self._buckets[-1] = (self._buckets[-1][0], value)
        while self._buckets and now_s - self._buckets[0][0] > _WINDOW_S:
            self._buckets.popleft()

    def peak(self) -> float:
        """Return the highest value that was taken in, 0 if there was none."""
        return max((value for _, value in self._buckets), default=0.0)
