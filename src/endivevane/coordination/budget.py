"""Rate limit for messages that a failure detector sends beyond its regular probes."""

from __future__ import annotations


class MessageBudget:
    """Token bucket on a monotonic clock.

    :param rate_per_s: refill rate in messages per second
    :param burst: capacity of the bucket in messages
    :param now_s: current monotonic time
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = now_s

    def take(self, count: int, now_s: float) -> bool:
        """Take ``count`` tokens if that many are available."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
