"""State of one target: load, concurrency limit and health."""

from __future__ import annotations

import collections
import dataclasses
import random

from endivevane.configuration import snapshot
from endivevane.coordination import admission, clock
from endivevane.external import engine
from endivevane.online import prefixes

# Load reports older than this are ignored.
_REPORT_MAX_AGE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """Settings of the circuit breaker of a target.

    :param failures: consecutive failures after which the target is avoided
    :param first_avoid_s: initial time of avoidance; doubles with each failed probe
    :param max_avoid_s: maximum time of avoidance
    """

    failures: int = 2
    first_avoid_s: float = 0.5
    max_avoid_s: float = 15.0


class Health:
    """Circuit breaker: avoids a failing target and probes it with single requests."""

    def __init__(self, settings: HealthSettings, generator: random.Random) -> None:
        self._settings = settings
        self._random = generator
        self._failures = 0
        self._avoid_s = 0.0
        self._avoided_since_s = 0.0
        self._probe_at_s: float | None = None
        self._probe_id: str | None = None

    @property
    def is_avoided(self) -> bool:
        """Whether the target gets only probes."""
        return self._probe_at_s is not None

    def next_probe_s(self) -> float | None:
        """Return when a probe may be sent, ``None`` while one is in flight."""
        return None if self._probe_id is not None else self._probe_at_s

    def is_usable(self, now_s: float) -> bool:
        """Return whether a request may be sent now, possibly as a probe."""
        if self._probe_at_s is None:
            return True
        return self._probe_id is None and now_s >= self._probe_at_s

    def begin(self, attempt_id: str) -> None:
        """Record a send; at an avoided target it is the probe."""
        if self.is_avoided and self._probe_id is None:
            self._probe_id = attempt_id

    def end(self, attempt_id: str) -> None:
        """Record that an attempt ended; it may have been an undecided probe."""
        if self._probe_id == attempt_id:
            self._probe_id = None

    def record_success(self, attempt_id: str, started_s: float) -> None:
        """Record that the target answered."""
        is_probe = attempt_id == self._probe_id
        if self.is_avoided and not is_probe and started_s < self._avoided_since_s:
            # An answer on an older connection says nothing about new connections.
            return
        self._failures = 0
        self._avoid_s = 0.0
        self._probe_at_s = None
        self._probe_id = None

    def record_failure(
        self, attempt_id: str, started_s: float, now_s: float, weight: int = 1
    ) -> None:
        """Record a failure; attempts from before the avoidance do not prolong it."""
        if self.is_avoided:
            if attempt_id == self._probe_id:
                self._probe_id = None
                self._avoid(now_s)
            return
        if started_s < self._avoided_since_s:
            return
        self._failures += weight
        if self._failures >= self._settings.failures:
            self._avoid(now_s)

    def _avoid(self, now_s: float) -> None:
        settings = self._settings
        doubled_s = max(settings.first_avoid_s, self._avoid_s * 2)
        self._avoid_s = min(settings.max_avoid_s, doubled_s)
        # Jitter keeps many daemons from probing a target at the same time.
        spread = self._random.uniform(0.8, 1.2)
        self._avoided_since_s = now_s
        self._probe_at_s = now_s + self._avoid_s * spread


class TargetState:
    """A target of a service as this daemon sees it.

    :param target: its configuration; replaced when the configuration changes
    """

    def __init__(
        self,
        target: snapshot.Target,
        state_clock: clock.Clock,
        generator: random.Random,
    ) -> None:
        self.target = target
        self.limit = admission.ConcurrencyLimit(admission.LimitSettings(), target.slots)
        self.health = Health(HealthSettings(), generator)
        self.prefixes = prefixes.PrefixIndex(prefixes.PrefixSettings(), state_clock)
        # Attempt id -> attempts that were in flight when it was sent.
        self.in_flight: dict[str, int] = {}
        self._clock = state_clock
        self._report: engine.LoadReport | None = None
        # Names of the loaded models and adapters, None while no report has come.
        self._models: frozenset[str] | None = None
        self._report_as_of_s = 0.0
        # Own sends (+1) and ends (-1) that the report may not include yet.
        self._changes: collections.deque[tuple[float, int]] = collections.deque()
        self._change_sum = 0
        self._requested_slots = 0
        self._requested_at_s = 0.0

    def set_target(self, target: snapshot.Target) -> None:
        """Apply a changed configuration of the target."""
        if target.slots != self.target.slots:
            self.limit.set_maximum(target.slots)
        self.target = target

    def set_report(self, report: engine.LoadReport) -> bool:
        """Apply a load report; ignore one that is older than the last.

        :returns: whether the models or role of the target have changed
        """
        now_s = self._clock.monotonic_s()
        lag_s = self._clock.wall_ms() / 1000 - report.as_of_s
        # Limits the effect of a wrong clock on either side.
        as_of_s = now_s - min(max(lag_s, 0.0), _REPORT_MAX_AGE_S)
        if self._report is not None and report.as_of_s < self._report.as_of_s:
            return False
        offered = self._models, self.can_serve()
        self._report = report
        self._models = frozenset(
            name for item in report.models for name in (item.model, *item.adapters)
        )
        self._report_as_of_s = as_of_s
        if as_of_s > self._requested_at_s:
            self._requested_slots = 0
        while self._changes and self._changes[0][0] <= as_of_s:
            self._change_sum -= self._changes.popleft()[1]
        return offered != (self._models, self.can_serve())

    def begin(self, attempt_id: str) -> None:
        """Record that an attempt is sent."""
        self.in_flight[attempt_id] = len(self.in_flight)
        self.health.begin(attempt_id)
        self._change(1)

    def end(self, attempt_id: str) -> None:
        """Record that an attempt has ended."""
        if self.in_flight.pop(attempt_id, None) is None:
            return
        self.health.end(attempt_id)
        self._change(-1)

    def estimate_load(self) -> int:
        """Return the estimated number of requests at the target, of all senders."""
        own = len(self.in_flight)
        if self._report is None:
            return own
        if self._clock.monotonic_s() - self._report_as_of_s > _REPORT_MAX_AGE_S:
            return own
        reported = self._report.running + self._report.waiting
        return max(own, reported + self._change_sum)

    def take_wanted_slots(self, headroom_slots: int) -> int:
        """Return how many more slots batch should free, and count them as requested.

        Requested slots count as free until a later report shows the load.

        :param headroom_slots: number of slots to keep free
        """
        load = self.estimate_load()
        excess = load + headroom_slots - self.target.slots - self._requested_slots
        slots = min(excess, load - len(self.in_flight) - self._requested_slots)
        if slots <= 0:
            return 0
        self._requested_slots += slots
        self._requested_at_s = self._clock.monotonic_s()
        return slots

    def has_model(self, model: str) -> bool:
        """Return whether the target has the model loaded, assumed if unknown."""
        return self._models is None or model in self._models

    def can_serve(self) -> bool:
        """Return whether the target's role allows complete requests."""
        if self._report is None:
            return self.target.role != "prefill"
        return self._report.role != "prefill"

    def is_usable(self, now_s: float) -> bool:
        """Return whether concurrency limit and health allow another request."""
        has_room = len(self.in_flight) < self.limit.limit
        return has_room and self.health.is_usable(now_s)

    def _change(self, amount: int) -> None:
        now_s = self._clock.monotonic_s()
        self._changes.append((now_s, amount))
        self._change_sum += amount
        while self._changes[0][0] < now_s - _REPORT_MAX_AGE_S:
            self._change_sum -= self._changes.popleft()[1]
