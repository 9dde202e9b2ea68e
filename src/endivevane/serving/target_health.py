"""What this daemon has seen of the health of a target."""

from __future__ import annotations

import dataclasses

# Pause after a failure; it doubles with each failure in a row.
_FIRST_PAUSE_S = 0.3
_LONGEST_PAUSE_S = 3.0
# Silence of a target with running requests after which it is taken for lost: many
# steps of an engine, and longer than a round trip between regions; longer for a target
# whose events come slowly.
_SILENCE_S = 0.45
_LONGEST_SILENCE_S = 1.5
_SILENCE_GAPS = 4.0
_GAP_WEIGHT = 0.3
# The same where no request has got an event yet, which a queue may explain.
_QUEUE_SILENCE_S = 1.2
# How long a target that refused a request as full is taken for full.
_FULL_S = 0.06


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Failures and signs of life of one target, on the caller's clock.

    :param last_seen_s: monotonic time of the last bytes from the target
    :param running: answers under way that have brought an event
    :param waiting: calls that have not brought an event yet
    """

    last_seen_s: float = 0.0
    running: int = 0
    waiting: int = 0
    _busy_since_s: float = 0.0
    _failures: int = 0
    _paused_until_s: float = 0.0
    _full_until_s: float = 0.0
    _gap_s: float = _SILENCE_S / _SILENCE_GAPS

    def begin_call(self, now_s: float) -> None:
        """Note a call that is about to be sent."""
        if not self.running + self.waiting:
            self._busy_since_s = now_s
        self.waiting += 1

    def begin_events(self) -> None:
        """Note the first event of a call."""
        self.waiting -= 1
        self.running += 1

    def end_call(self, had_events: bool) -> None:
        """Note the end of a call, whatever its outcome."""
        if had_events:
            self.running -= 1
        else:
            self.waiting -= 1

    def record_data(self, now_s: float) -> None:
        """Note bytes from the target."""
        if self.running:
            gap_s = now_s - max(self.last_seen_s, self._busy_since_s)
            self._gap_s += _GAP_WEIGHT * (gap_s - self._gap_s)
        self.last_seen_s = now_s

    def record_inactivity(self) -> None:
        """Note that a call was given up for silence; the target may only be slow."""
        longest_s = _LONGEST_SILENCE_S / _SILENCE_GAPS
        self._gap_s = min(longest_s, max(self._gap_s, _SILENCE_S / _SILENCE_GAPS) * 2)

    def record_success(self) -> None:
        """Note a whole answer."""
        self._failures = 0
        self._paused_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Pause the target, longer after each failure in a row."""
        if now_s < self._paused_until_s:
            return
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        self._paused_until_s = now_s + pause_s

    def record_full(self, now_s: float) -> None:
        """Note that the target refused a request for lack of room."""
        self._full_until_s = now_s + _FULL_S

    def is_paused(self, now_s: float) -> bool:
        """Whether the target has failed a moment ago."""
        return now_s < self._paused_until_s

    def is_full(self, now_s: float) -> bool:
        """Whether the target has refused a request a moment ago."""
        return now_s < self._full_until_s

    def is_unresponsive(self, now_s: float) -> bool:
        """Whether the target has said nothing although it has work."""
        if not self.running + self.waiting:
            return False
        since_s = max(self.last_seen_s, self._busy_since_s)
        return now_s - since_s > self._find_limit_s()

    def _find_limit_s(self) -> float:
        """Return the silence after which the target is taken for lost."""
        limit_s = min(_LONGEST_SILENCE_S, max(_SILENCE_S, _SILENCE_GAPS * self._gap_s))
        return limit_s if self.running else max(limit_s, _QUEUE_SILENCE_S)
