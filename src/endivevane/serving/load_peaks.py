"""Peak of the online load over a sliding window."""

from __future__ import annotations

import collections

# Load bursts come a few seconds apart, so the window holds one or two of them.
_WINDOW_S = 8.0
_BUCKET_S = 0.5


class PeakWindow:
    """Tracks the maximum of a value over a sliding window."""

    def __init__(self) -> None:
        # (end time of the bucket, highest value in it), oldest first.
        self._buckets: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, now_s: float, value: float) -> None:
        """Record the current value."""
        if not self._buckets or now_s >= self._buckets[-1][0]:
            self._buckets.append((now_s + _BUCKET_S, value))
        elif value > self._buckets[-1][1]:
            self._buckets[-1] = (self._buckets[-1][0], value)
        while self._buckets and now_s - self._buckets[0][0] > _WINDOW_S:
            self._buckets.popleft()

    def peak(self) -> float:
        """Return the highest value in the window, 0 if it is empty."""
        return max((value for _, value in self._buckets), default=0.0)
