"""Adaptive concurrency limits and wait estimates for admission control."""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds and smoothing of an adaptive concurrency limit.

    :param tolerance: highest ratio of latency to baseline that indicates no queueing
    :param min_latency_s: latencies below this never indicate queueing, because
        scheduling noise is of that size
    :param smoothing: weight of a new sample in the limit and the recent latency
    :param baseline_drift: weight of a slower sample in the baseline, so that the
        baseline follows a lasting change such as longer prompts; at ten times this
        value, 300 samples of a sustained overload became the baseline
    """

    minimum: int = 1
    tolerance: float = 2.0
    min_latency_s: float = 0.05
    smoothing: float = 0.2
    baseline_drift: float = 0.0002


class ConcurrencyLimit:
    """Requests that this process may have in flight at one target.

    The limit follows the ratio of the baseline latency to the recent latency, so it
    falls when the target queues work from any sender, not only from this process.

    :param maximum: upper bound and initial value
    :ivar limit: the current limit, at least the minimum
    """

    def __init__(self, settings: LimitSettings, maximum: int) -> None:
        self._settings = settings
        self._maximum = maximum
        self._limit = float(maximum)
        self._baseline_s = math.inf
        self._recent_s = 0.0
        self.limit = maximum

    def set_maximum(self, maximum: int) -> None:
        """Change the upper bound, for example when the target's slots change."""
        grows = maximum > self._maximum and self._limit >= self._maximum
        self._maximum = maximum
        self._set_limit(float(maximum) if grows else self._limit)

    def record_latency(self, latency_s: float, in_flight: int) -> None:
        """Adjust the limit to a measured latency.

        :param in_flight: requests in flight when the measured request was sent
        """
        settings = self._settings
        if latency_s < self._baseline_s:
            self._baseline_s = latency_s
        else:
            drift = settings.baseline_drift * (latency_s - self._baseline_s)
            self._baseline_s += drift
        if self._recent_s == 0.0:
            self._recent_s = latency_s
        self._recent_s += settings.smoothing * (latency_s - self._recent_s)
        queueing_threshold_s = settings.tolerance * max(
            self._baseline_s, settings.min_latency_s
        )
        gradient = min(1.0, max(0.5, queueing_threshold_s / max(self._recent_s, 1e-9)))
        desired = self._limit * gradient
        if gradient == 1.0 and in_flight * 2 >= self._limit:
            desired += math.sqrt(self._limit)
        self._set_limit(self._limit + settings.smoothing * (desired - self._limit))

    def record_overload(self) -> None:
        """Lower the limit after the target refused a request or timed out."""
        self._set_limit(self._limit * 0.8)

    def _set_limit(self, value: float) -> None:
        self._limit = min(self._maximum, max(self._settings.minimum, value))
        self.limit = max(self._settings.minimum, int(self._limit))


class ServiceTime:
    """Exponential moving average of the time that a request occupies a target.

    :param initial_s: estimate before the first measurement
    """

    def __init__(self, initial_s: float, smoothing: float = 0.1) -> None:
        self.mean_s = initial_s
        self._smoothing = smoothing
        self._has_sample = False

    def record(self, duration_s: float) -> None:
        """Add a measured duration to the average."""
        if not self._has_sample:
            self._has_sample = True
            self.mean_s = duration_s
            return
        self.mean_s += self._smoothing * (duration_s - self.mean_s)


def estimate_wait_s(
    queued_ahead: int, concurrency: int, service_time_s: float
) -> float:
    """Estimate how long a request waits in the queue.

    :param queued_ahead: requests that are sent before it
    :param concurrency: requests that all usable targets run concurrently
    :param service_time_s: mean time that a request occupies its slot
    :returns: infinity when nothing can run
    """
    if concurrency <= 0:
        return math.inf
    return (queued_ahead + 1) * service_time_s / concurrency
