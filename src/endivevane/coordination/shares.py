"""Decentralised max-min fair division of a rate among daemons."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc

from endivevane.coordination import clock

_MAX_GAP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Parameters of the division.

    :param floor_share: part of the rate that is divided evenly, without messages
    :param propagation_s: time in which an announcement reaches all daemons; a daemon's
        own increase takes effect only after it
    :param ramp_s: time in which a share grows from zero to the whole rate; it bounds
        the excess when announcements take longer than ``propagation_s``
    :param refresh_s: time between two announcements of an unchanged need
    :param copies: number of times that a daemon forwards an announcement
    :param max_entries_per_s: rate limit for the announcements that a daemon sends, own
        and forwarded; with many active daemons the times above are stretched to meet it
    :param max_stretch: upper bound of the stretch; beyond it no daemon receives all
        announcements, and each limits itself to an even share among the members
    :param change_share: smaller relative changes of a need are not announced
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
    """A daemon's announcement of what it needs beyond its floor.

    :param version: the highest one of a daemon is valid, also across restarts
    :param need: in units of the rate; 0 for none
    """

    name: str
    version: int
    need: float
    weight: float = 1.0


@dataclasses.dataclass(slots=True)
class _PeerNeed:
    """Last known need of another daemon.

    :param copies_left: number of times that it is still to be forwarded
    """

    need: Need
    expires_s: float
    copies_left: int


class ShareAllocator:
    """Computes this daemon's share of a rate from the announced needs.

    Not thread-safe. The caller sends what :meth:`take_announcements` returns to other
    daemons, piggybacked on other messages, and passes what it receives to
    :meth:`receive`.

    While announcements arrive within ``propagation_s``, the sum of all shares does not
    exceed the rate: for itself a daemon uses the lowest need that it announced during
    that time, and others use at least as much for it, so its share is at most its part
    of one common max-min division.

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
        # Own needs of the last propagation time, each with its announcement time.
        self._history = collections.deque([(self._announced_s, 0.0)])
        self._peer_needs: dict[str, _PeerNeed] = {}
        self._members = 1
        self._is_majority = True
        self._sent_s = self._announced_s
        self._entry_tokens = settings.max_entries_per_s
        self._share = 0.0
        self._shared_s = self._announced_s

    @property
    def propagation_s(self) -> float:
        """Current delay before an increase of the own need takes effect."""
        return self._settings.propagation_s * self._stretch()

    def set_members(self, alive: abc.Collection[str], known_count: int) -> None:
        """Set the live members, including this daemon.

        The need of a lost member still counts for the propagation time, because the
        member may be alive. A daemon that sees less than half of the members uses only
        its floor, because another partition may divide the same rate.

        :param known_count: number of members before any was lost
        """
        self._members = max(1, len(alive))
        self._is_majority = 2 * len(alive) >= known_count
        until_s = self._clock.monotonic_s() + self.propagation_s
        for name, peer in self._peer_needs.items():
            if name not in alive:
                peer.expires_s = min(peer.expires_s, until_s)

    def set_need(self, need: float) -> None:
        """Set what this daemon uses or requests beyond its floor."""
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
        """Apply an announcement from another daemon."""
        peer = self._peer_needs.get(need.name)
        if need.name == self._own.name:
            return
        if peer is not None and need.version <= peer.need.version:
            return
        # A need expires only after five lost refreshes.
        lifetime_s = 5 * self._settings.refresh_s * self._stretch()
        expires_s = self._clock.monotonic_s() + lifetime_s
        # Entries rotate in the order of their arrival; with a fixed order, the same few
        # were forwarded repeatedly and daemons knew of too few others.
        self._peer_needs.pop(need.name, None)
        self._peer_needs[need.name] = _PeerNeed(need, expires_s, self._settings.copies)

    def take_announcements(self, count: int) -> tuple[Need, ...]:
        """Return announcements for one message, the own one first.

        :param count: maximum number of announcements
        """
        now_s = self._clock.monotonic_s()
        rate = self._settings.max_entries_per_s
        refill = (now_s - self._sent_s) * rate
        self._entry_tokens = min(rate, self._entry_tokens + refill)
        self._sent_s = now_s
        count = min(count, int(self._entry_tokens))
        taken: list[Need] = []
        if count and self._own_copies_left:
            self._own_copies_left -= 1
            taken.append(self._own)
        # Those forwarded the fewest times go first.
        waiting = [item for item in self._peer_needs.values() if item.copies_left]
        waiting.sort(key=lambda item: -item.copies_left)
        for peer in waiting[: count - len(taken)]:
            peer.copies_left -= 1
            taken.append(peer.need)
        self._entry_tokens -= len(taken)
        return tuple(taken)

    def compute_share(self, rate: float) -> float:
        """Return this daemon's current share of the common rate.

        Must be called at least every 0.5 s, or the share grows more slowly.
        """
        now_s = self._clock.monotonic_s()
        self._drop_expired(now_s)
        floor = rate * self._settings.floor_share / self._members
        pool = rate * (1 - self._settings.floor_share)
        desired = 0.0
        if self._is_majority:
            needs = {
                name: (peer.need.need, peer.need.weight)
                for name, peer in self._peer_needs.items()
            }
            own_need = min(need for _, need in self._history)
            needs[self._own.name] = (own_need, self._own.weight)
            desired = divide(pool, needs)[self._own.name]
            if self._count_entries_per_s() > (
                self._settings.max_stretch * self._settings.max_entries_per_s
            ):
                desired = min(desired, pool / self._members)
        # A decrease takes effect at once. A share that is not requested does not grow.
        elapsed_s = min(_MAX_GAP_S, now_s - self._shared_s)
        growth = elapsed_s * pool / self._settings.ramp_s
        self._share = min(desired, self._share + growth)
        self._shared_s = now_s
        return floor + self._share

    def _stretch(self) -> float:
        """Return the factor by which all times grow to meet the announcement limit."""
        settings = self._settings
        stretch = self._count_entries_per_s() / settings.max_entries_per_s
        return min(settings.max_stretch, max(1.0, stretch))

    def _count_entries_per_s(self) -> float:
        """Return the rate of announcements of all active daemons without a stretch."""
        active = 1 + sum(bool(peer.need.need) for peer in self._peer_needs.values())
        return active * self._settings.copies / self._settings.refresh_s

    def _drop_expired(self, now_s: float) -> None:
        """Drop expired needs, and own ones older than the propagation time."""
        for name in [
            name for name, peer in self._peer_needs.items() if peer.expires_s <= now_s
        ]:
            del self._peer_needs[name]
        propagated_s = now_s - self.propagation_s
        # The last need before the propagation time was in force when it began.
        while len(self._history) > 1 and self._history[1][0] <= propagated_s:
            self._history.popleft()


def divide(
    pool: float, needs: abc.Mapping[str, tuple[float, float]]
) -> dict[str, float]:
    """Return the weighted max-min division of a pool.

    :param needs: need and weight by name
    """
    shares: dict[str, float] = {}
    remaining = pool
    remaining_weight = sum(weight for _, weight in needs.values())
    by_level = sorted(needs.items(), key=lambda item: item[1][0] / item[1][1])
    for name, (need, weight) in by_level:
        shares[name] = min(need, remaining * weight / remaining_weight)
        remaining -= shares[name]
        remaining_weight -= weight
    return shares
