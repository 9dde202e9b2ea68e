"""Retry budget that limits retries to a share of the requests."""

from __future__ import annotations

import collections
import dataclasses

from endivevane.coordination import clock

_BUCKETS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits of a retry budget.

    :param share: retries allowed per request in the window
    :param floor: retries always allowed per window, however few requests there are
    :param window_s: length of the sliding window

    The window is long compared with a request, because the loss of half of the targets
    breaks half of the requests in flight at once, and each of them needs a retry.
    With a share of 10% and a floor of 10, attempts stay below 1.2 times the requests
    from 100 requests per window on, even when every attempt fails.
    """

    share: float = 0.1
    floor: int = 10
    window_s: float = 60.0


class RetryBudget:
    """Counts requests and retries over a sliding window.

    :param settings: share, floor and window
    :param budget_clock: only its monotonic reading is used
    """

    def __init__(self, settings: RetrySettings, budget_clock: clock.Clock) -> None:
        self._settings = settings
        self._clock = budget_clock
        self._bucket_s = settings.window_s / _BUCKETS
        # One entry per bucket with events: index, requests, retries.
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._requests = 0
        self._retries = 0

    def record_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._current_bucket()[1] += 1
        self._requests += 1

    def try_retry(self) -> bool:
        """Spend one retry of the budget if it allows; return whether it did."""
        if not self.has_retry():
            return False
        self._current_bucket()[2] += 1
        self._retries += 1
        return True

    def has_retry(self) -> bool:
        """Return whether a retry is allowed now."""
        self._drop_old()
        allowed = self._settings.floor + int(self._requests * self._settings.share)
        return self._retries < allowed

    def _current_bucket(self) -> list[int]:
        self._drop_old()
        index = int(self._clock.monotonic_s() / self._bucket_s)
        if not self._buckets or self._buckets[-1][0] != index:
            self._buckets.append([index, 0, 0])
        return self._buckets[-1]

    def _drop_old(self) -> None:
        oldest = int(self._clock.monotonic_s() / self._bucket_s) - _BUCKETS
        while self._buckets and self._buckets[0][0] <= oldest:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
