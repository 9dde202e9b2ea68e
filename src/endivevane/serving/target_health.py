"""Health of a target as observed by this daemon."""

from __future__ import annotations

import dataclasses

# Back-off after a failure; it doubles with each consecutive failure.
_MIN_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 3.0
# Inactivity timeout of a target with running requests: many steps of an engine, and
# longer than a round trip between regions. It grows with the time between the target's
# events.
_MIN_INACTIVITY_S = 0.45
_MAX_INACTIVITY_S = 1.5
_INACTIVITY_GAPS = 4.0
_GAP_SMOOTHING = 0.3
# The same before the first event of any request, since requests may be queued there.
_QUEUED_INACTIVITY_S = 1.2
# Back-off of a target that has ended: its registration expires within this time, after
# three missed heartbeats.
_ENDED_BACKOFF_S = 4.0
# How long a target counts as full after it refused a request for lack of a slot.
_FULL_TTL_S = 0.06
# How long it is remembered whether a target took or refused an online request.
_TAKING_TTL_S = 5.0


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Failures and activity of one target, on the caller's clock.

    :param last_seen_s: monotonic time of the last bytes from the target
    :param running: calls that have returned at least one event
    :param waiting: calls that have not returned an event yet
    """

    last_seen_s: float = 0.0
    running: int = 0
    waiting: int = 0
    _busy_since_s: float = 0.0
    _failures: int = 0
    _backoff_until_s: float = 0.0
    _full_until_s: float = 0.0
    _taken_s: float = float("-inf")
    _refused_s: float = float("-inf")
    _gap_s: float = _MIN_INACTIVITY_S / _INACTIVITY_GAPS
    _is_silence_backoff: bool = False

    def begin_call(self, now_s: float) -> None:
        """Record a call that is about to be sent."""
        if not self.running + self.waiting:
            self._busy_since_s = now_s
        self.waiting += 1

    def begin_events(self) -> None:
        """Record the first event of a call."""
        self.waiting -= 1
        self.running += 1

    def end_call(self, had_events: bool) -> None:
        """Record the end of a call, whatever its outcome."""
        if had_events:
            self.running -= 1
        else:
            self.waiting -= 1

    def record_data(self, now_s: float) -> None:
        """Record that bytes came from the target."""
        if self.running:
            gap_s = now_s - max(self.last_seen_s, self._busy_since_s)
            self._gap_s += _GAP_SMOOTHING * (gap_s - self._gap_s)
        self.last_seen_s = now_s
        if self._is_silence_backoff:
            self.record_success()

    def record_silence(self, now_s: float) -> None:
        """Record that a call has ended while the target was silent.

        The back-off ends with the next bytes of the target. Its timeout is raised,
        since it may only be slow.
        """
        if not self.is_paused(now_s):
            self._is_silence_backoff = True
        self.record_failure(now_s)
        longest_s = _MAX_INACTIVITY_S / _INACTIVITY_GAPS
        self._gap_s = min(
            longest_s, max(self._gap_s, _MIN_INACTIVITY_S / _INACTIVITY_GAPS) * 2
        )

    def record_success(self) -> None:
        """Record a complete response, which ends the back-off."""
        self._failures = 0
        self._backoff_until_s = 0.0
        self._is_silence_backoff = False

    def record_failure(self, now_s: float) -> None:
        """Start a back-off, longer after each consecutive failure."""
        if now_s < self._backoff_until_s:
            return
        backoff_s = min(_MAX_BACKOFF_S, _MIN_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self._backoff_until_s = now_s + backoff_s

    def record_ended(self, now_s: float) -> None:
        """Start a back-off until the registration of a target that ended expires."""
        until_s = now_s + _ENDED_BACKOFF_S
        self._backoff_until_s = max(self._backoff_until_s, until_s)

    def record_full(self, now_s: float) -> None:
        """Record that the target refused a request for lack of a slot."""
        self._full_until_s = now_s + _FULL_TTL_S

    def record_taken(self, now_s: float) -> None:
        """Record that the target answers an online request."""
        self._taken_s = now_s

    def record_refused(self, now_s: float) -> None:
        """Record that the target refused an online request."""
        self._refused_s = now_s

    def is_taking(self, now_s: float) -> bool | None:
        """Return whether it took the latest online request, ``None`` if none is new."""
        if now_s - max(self._taken_s, self._refused_s) > _TAKING_TTL_S:
            return None
        return self._taken_s > self._refused_s

    def is_available(self, now_s: float) -> bool:
        """Return whether this daemon knows of no recent problem of the target."""
        return not (
            self.is_paused(now_s) or self.is_full(now_s) or self.is_unresponsive(now_s)
        )

    def is_paused(self, now_s: float) -> bool:
        """Return whether the target is in back-off after a failure."""
        return now_s < self._backoff_until_s

    def is_full(self, now_s: float) -> bool:
        """Return whether the target has just refused a request as full."""
        return now_s < self._full_until_s

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the target has work but has sent nothing for too long."""
        return self.measure_silence_s(now_s) > self._compute_timeout_s()

    def measure_silence_s(self, now_s: float) -> float:
        """Return how long the target has had work but has sent nothing."""
        if not self.running + self.waiting:
            return 0.0
        return now_s - max(self.last_seen_s, self._busy_since_s)

    def _compute_timeout_s(self) -> float:
        """Return the inactivity timeout of the target."""
        timeout_s = min(
            _MAX_INACTIVITY_S, max(_MIN_INACTIVITY_S, _INACTIVITY_GAPS * self._gap_s)
        )
        return timeout_s if self.running else max(timeout_s, _QUEUED_INACTIVITY_S)
