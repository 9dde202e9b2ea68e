"""An approximate index of the prompt prefixes that targets have cached."""

from __future__ import annotations

import collections
import dataclasses
import typing
from collections import abc

from endivevane.coordination import clock


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixSettings:
    """Bounds of the index.

    :param max_hashes: prefixes kept per target, least recently seen evicted first
    :param max_age_s: time after which a prefix not seen again is assumed evicted
    :param event_lag_s: an eviction event does not remove a prefix sent this recently,
        because events are delayed and the eviction may precede the send
    :param gap_lifetime_s: maximum remaining lifetime of prefixes after a gap in the
        events
    """

    max_hashes: int = 4096
    max_age_s: float = 600.0
    event_lag_s: float = 2.0
    gap_lifetime_s: float = 30.0


class PrefixIndex:
    """Prompt prefixes that one target probably has cached."""

    def __init__(self, settings: PrefixSettings, index_clock: clock.Clock) -> None:
        self._settings = settings
        self._clock = index_clock
        # Prefix hash -> (time of the last own send, time when it is assumed evicted).
        self._prefixes: collections.OrderedDict[int, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self._last_event = 0
        self._shortened_until_s = 0.0

    def __len__(self) -> int:
        return len(self._prefixes)

    @property
    def last_event(self) -> int:
        """Number of the last applied event."""
        return self._last_event

    def record_send(self, hashes: abc.Sequence[int]) -> None:
        """Assume that the target caches the prefixes of a request sent to it."""
        now_s = self._clock.monotonic_s()
        # The shortest prefix is added last, so that it is evicted after its extensions.
        for prefix in reversed(hashes):
            self._put(prefix, now_s, now_s)

    def apply_events(self, events: abc.Iterable[abc.Mapping[str, typing.Any]]) -> None:
        """Apply cache events of the target, in any order and with gaps."""
        now_s = self._clock.monotonic_s()
        ordered = sorted(events, key=lambda item: int(item["n"]))
        if ordered and int(ordered[-1]["n"]) < self._last_event:
            # Numbers only decrease when the target has restarted.
            self.restart()
        for event in ordered:
            number = int(event["n"])
            if number <= self._last_event:
                continue
            if number != self._last_event + 1:
                self._shorten_lifetimes(now_s)
            self._last_event = number
            for prefix in event["prefix_hashes"]:
                if event["kind"] == "stored":
                    self._put(prefix, None, now_s)
                    continue
                self._evict(prefix, now_s)

    def restart(self) -> None:
        """Clear the index, because the target lost its cache."""
        self._prefixes.clear()
        self._last_event = 0

    def __contains__(self, prefix: object) -> bool:
        entry = self._prefixes.get(prefix)  # type: ignore[call-overload]
        return entry is not None and entry[1] > self._clock.monotonic_s()

    def match(self, hashes: abc.Sequence[int]) -> int:
        """Return the length of the longest cached prefix, in blocks."""
        if not hashes:
            return 0
        now_s = self._clock.monotonic_s()
        # Most targets have no part of a prompt cached; two look-ups rule these out.
        first, middle = hashes[0], hashes[len(hashes) // 2]
        if not self._is_cached(first, now_s) and not self._is_cached(middle, now_s):
            return 0
        for length in range(len(hashes), 0, -1):
            if self._is_cached(hashes[length - 1], now_s):
                return length
        return 0

    def _is_cached(self, prefix: int, now_s: float) -> bool:
        entry = self._prefixes.get(prefix)
        return entry is not None and entry[1] > now_s

    def _put(self, prefix: int, sent_s: float | None, now_s: float) -> None:
        if sent_s is None:
            sent_s = self._prefixes.get(prefix, (float("-inf"), 0.0))[0]
        self._prefixes[prefix] = (sent_s, now_s + self._settings.max_age_s)
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._settings.max_hashes:
            self._prefixes.popitem(last=False)

    def _evict(self, prefix: int, now_s: float) -> None:
        entry = self._prefixes.get(prefix)
        if entry is not None and now_s - entry[0] > self._settings.event_lag_s:
            del self._prefixes[prefix]

    def _shorten_lifetimes(self, now_s: float) -> None:
        """Shorten the lifetime of all entries; lost events may include evictions."""
        if now_s < self._shortened_until_s:
            return
        self._shortened_until_s = now_s + self._settings.gap_lifetime_s / 2
        limit_s = now_s + self._settings.gap_lifetime_s
        for prefix, (sent_s, until_s) in self._prefixes.items():
            if until_s > limit_s:
                self._prefixes[prefix] = (sent_s, limit_s)
