"""Division of a rate among daemons by need, without a coordination service."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

from endivevane.coordination import clock

_LONGEST_GAP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Bounds of the division.

    :param floor_share: part of the rate that is divided evenly and needs no message
    :param propagation_s: time in which an announcement reaches all daemons; an own
        increase counts only after it
    :param ramp_s: time in which a share grows from nothing to the whole rate; bounds
        the excess when announcements take longer than ``propagation_s``
    :param refresh_s: time between two announcements of an unchanged need
    :param copies: how often a daemon passes on one announcement
    :param max_entries_per_s: announcements that a daemon sends, own and others'; with
        many needy daemons all the times above are stretched to keep to it
    :param max_stretch: bound on that; with more needy daemons nobody hears of all, and
        each keeps to an even share of the members
    :param change_share: smaller changes of a need are not announced
    """

    floor_share: float = 0.1
    propagation_s: float = 3.0
    ramp_s: float = 4.0
    refresh_s: float = 4.0
    copies: int = 4
    max_entries_per_s: float = 6.0
    max_stretch: float = 4.0
    change_share: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a daemon announces that it needs beyond its floor.

    :param version: the higher one of the same daemon holds, also across restarts
    :param need: in units of the rate a second; 0 for none
    """

    name: str
    version: int
    need: float
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class _Known:
    """Last need heard of another daemon.

    :param copies_left: how often it is still to be passed on
    """

    need: Need
    expires_s: float
    copies_left: int


class ShareAllocator:
    """Computes this daemon's share of a rate from the needs that it knows.

    Not thread-safe. The caller carries what :meth:`take_announcements` returns to
    other daemons, piggybacked on messages that go around anyway, and passes what it
    receives to :meth:`receive`.

    While announcements spread within ``propagation_s``, the shares of all daemons add
    up to
    the rate at most: a daemon counts the least that it announced during that time for
    itself, and others count at least as much for it, so that its share is at most its
    part of one common max-min division.

    :param first_version: higher than all versions of earlier processes of this name
    """

    def __init__(
        self,
        name: str,
        settings: ShareSettings,
        allocator_clock: clock.Clock,
        first_version: int,
        weight: float = 1.0,
    ) -> None:
        self._settings = settings
        self._clock = allocator_clock
        self._own = Need(name, first_version, 0.0, weight)
        self._own_copies_left = 0
        self._announced_s = allocator_clock.monotonic_s()
        # Own needs of the last settle time, each with the time of its announcement.
        self._history = collections.deque([(self._announced_s, 0.0)])
        self._known: dict[str, _Known] = {}
        self._members = 1
        self._is_majority = True
        self._sent_s = self._announced_s
        self._entry_tokens = settings.max_entries_per_s
        self._share = 0.0
        self._shared_s = self._announced_s

    @property
    def propagation_s(self) -> float:
        """Time after which an own increase counts now."""
        return self._settings.propagation_s * self._stretch()

    def set_members(self, alive: abc.Collection[str], known_count: int) -> None:
        """Set the live members, this daemon included.

        A member that is gone counts for the settle time, as it may be alive after all.
        A daemon that sees less than half of the members keeps to its floor: another
        part may divide the same rate.

        :param known_count: members that there were before any was lost
        """
        self._members = max(1, len(alive))
        self._is_majority = 2 * len(alive) >= known_count
        until_s = self._clock.monotonic_s() + self.propagation_s
        for name, known in self._known.items():
            if name not in alive:
                known.expires_s = min(known.expires_s, until_s)

    def set_need(self, need: float) -> None:
        """Set what this daemon uses or asks for beyond its floor."""
        now_s = self._clock.monotonic_s()
        own = self._own
        difference = abs(need - own.need)
        is_changed = difference > self._settings.change_share * max(need, own.need)
        interval_s = self._settings.refresh_s * self._stretch()
        is_due = bool(own.need) and now_s - self._announced_s >= interval_s
        if not is_changed and not is_due:
            return
        self._own = dataclasses.replace(own, version=own.version + 1, need=need)
        self._own_copies_left = self._settings.copies
        self._announced_s = now_s
        self._history.append((now_s, need))

    def receive(self, need: Need) -> None:
        """Take in an announcement of another daemon."""
        known = self._known.get(need.name)
        if need.name == self._own.name:
            return
        if known is not None and need.version <= known.need.version:
            return
        # Five refreshes must be lost before a need is forgotten.
        lifetime_s = 5 * self._settings.refresh_s * self._stretch()
        expires_s = self._clock.monotonic_s() + lifetime_s
        # Entries take turns in the order of their arrival; with a fixed order the same
        # few were passed on again and again, and daemons knew of too few others.
        self._known.pop(need.name, None)
        self._known[need.name] = _Known(need, expires_s, self._settings.copies)

    def take_announcements(self, count: int) -> tuple[Need, ...]:
        """Return announcements for one message, the own one first.

        :param count: how many at most
        """
        now_s = self._clock.monotonic_s()
        rate = self._settings.max_entries_per_s
        gained = (now_s - self._sent_s) * rate
        self._entry_tokens = min(rate, self._entry_tokens + gained)
        self._sent_s = now_s
        count = min(count, int(self._entry_tokens))
        taken: list[Need] = []
        if count and self._own_copies_left:
            self._own_copies_left -= 1
            taken.append(self._own)
        # Those that were passed on least go first.
        waiting = [item for item in self._known.values() if item.copies_left]
        waiting.sort(key=lambda item: -item.copies_left)
        for known in waiting[: count - len(taken)]:
            known.copies_left -= 1
            taken.append(known.need)
        self._entry_tokens -= len(taken)
        return tuple(taken)

    def compute_share(self, rate: float) -> float:
        """Return what this daemon may use now of the rate that all share.

        To be called at least every 0.5 s, or the share grows more slowly.
        """
        now_s = self._clock.monotonic_s()
        self._forget(now_s)
        floor = rate * self._settings.floor_share / self._members
        pool = rate * (1 - self._settings.floor_share)
        wanted = 0.0
        if self._is_majority:
            needs = {
                name: (known.need.need, known.need.weight)
                for name, known in self._known.items()
            }
            own_need = min(need for _, need in self._history)
            needs[self._own.name] = (own_need, self._own.weight)
            wanted = divide(pool, needs)[self._own.name]
            if self._count_entries_per_s() > (
                self._settings.max_stretch * self._settings.max_entries_per_s
            ):
                wanted = min(wanted, pool / self._members)
        # A decrease counts at once. A share that nobody asks for does not grow.
        passed_s = min(_LONGEST_GAP_S, now_s - self._shared_s)
        grown = passed_s * pool / self._settings.ramp_s
        self._share = min(wanted, self._share + grown)
        self._shared_s = now_s
        return floor + self._share

    def _stretch(self) -> float:
        """Return by how much all times grow to keep to the bound on announcements."""
        settings = self._settings
        stretch = self._count_entries_per_s() / settings.max_entries_per_s
        return min(settings.max_stretch, max(1.0, stretch))

    def _count_entries_per_s(self) -> float:
        """Return how many announcements the needy daemons have without a stretch."""
        needy = 1 + sum(bool(known.need.need) for known in self._known.values())
        return needy * self._settings.copies / self._settings.refresh_s

    def _forget(self, now_s: float) -> None:
        """Drop needs that have expired, and own ones older than the settle time."""
        for name in [
            name for name, known in self._known.items() if known.expires_s <= now_s
        ]:
            del self._known[name]
        settled_s = now_s - self.propagation_s
        # The last need from before the settle time was in force at its beginning.
        while len(self._history) > 1 and self._history[1][0] <= settled_s:
            self._history.popleft()


def divide(
    pool: float, needs: abc.Mapping[str, tuple[float, float]]
) -> dict[str, float]:
    """Return the weighted max-min division of a pool.

    :param needs: need and weight by name
    """
    shares: dict[str, float] = {}
    left = pool
    weight_left = sum(weight for _, weight in needs.values())
    by_level = sorted(needs.items(), key=lambda item: item[1][0] / item[1][1])
    for name, (need, weight) in by_level:
        shares[name] = min(need, left * weight / weight_left)
        left -= shares[name]
        weight_left -= weight
    return shares
