"""Choosing a target for a request."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from endivevane.serving import (
    load_peaks,
    load_table,
    model,
    target_health,
    target_registry,
    water_filling,
)

# Requests beyond its slots that a target may have waiting, so that a slot that
# becomes free is taken before the daemons have heard of it.
_QUEUE_AHEAD = 1
# Slots of a target that batch leaves to online requests which are on their way.
_BATCH_RESERVE = 2
# Slots of a target that stay free of batch above the online peak of the last seconds.
_PEAK_RESERVE = 1
# Places of a target that batch items which would miss their due time may keep beside
# online requests.
URGENT_PLACES = 2
# Requests on a target above its slots less this make batch give way.
_YIELD_RESERVE = 0
# What distance adds to the share of slots in use, when targets are compared.
_OTHER_ZONE_COST = 0.06
_FAR_COST = 0.15
# What each second of age of the loads in another region adds: the older they are, the
# more has been placed there meanwhile.
_FAR_COST_PER_S = 1.4
# What failed answers add, as above, for each unit of their share.
_FAILED_COST = 2.0
# While more than this share of a service's targets fails, none of them is ejected: the
# cause then lies elsewhere, or there is nothing better.
_MOST_EJECTED_SHARE = 0.5
# Slots of a target in another region that are left to the daemons there, for each
# second of that age.
_FAR_RESERVE_PER_S = 5.0
# Mean time that a request holds a place, until this daemon has seen some end.
_FIRST_HOLD_S = 0.8
_HOLD_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where a daemon stands.

    :param regions: region of each availability zone
    """

    availability_zone: str
    region: str
    regions: abc.Mapping[str, str]


class TargetSelector:
    """Compares the targets of a service by load, health and distance."""

    def __init__(
        self,
        location: Location,
        targets: target_registry.TargetRegistry,
        board: load_table.LoadTable,
        generator: random.Random,
    ) -> None:
        self._location = location
        self._targets = targets
        self._board = board
        self._generator = generator
        self._hold_s: dict[str, float] = {}
        self._peaks: dict[str, load_peaks.PeakWindow] = {}

    def record_peaks(self, now_s: float) -> None:
        """Take in the online load of each service, as a share of its slots."""
        online: dict[str, int] = {}
        slots: dict[str, int] = {}
        for known in self._targets.list_all():
            target = known.target
            load = self._board.total(target.target_id)
            online[target.service] = online.get(target.service, 0) + load.online
            slots[target.service] = slots.get(target.service, 0) + target.slots
        for service, count in online.items():
            window = self._peaks.setdefault(service, load_peaks.PeakWindow())
            window.record(now_s, count / slots[service])

    def choose_online(
        self,
        service: str,
        now_s: float,
        excluded: abc.Set[str] = frozenset(),
        only: abc.Set[str] | None = None,
        zone: str = "",
    ) -> model.Target | None:
        """Return the target for an online request, ``None`` if none has room.

        :param excluded: targets that the request must not go to
        :param only: the targets that the request may go to, ``None`` for any
        :param zone: availability zone of the request's daemon, empty for the own one
        """
        candidates: list[water_filling.Candidate] = []
        usable = self._targets.list_usable(service)
        ejected = self._find_ejected(usable, now_s)
        has_near = any(
            not self._is_far(known.target) and _may_get_work(known.health, now_s)
            for known in usable
        )
        for known in usable:
            target = known.target
            if target.target_id in excluded:
                continue
            if only is None and target.target_id in ejected:
                continue
            if only is not None and target.target_id not in only:
                continue
            if not _may_get_work(known.health, now_s):
                continue
            total = self._board.total(target.target_id).total
            if total >= self._find_limit(target, has_near):
                continue
            cost = self._cost(target, total, now_s, zone)
            candidates.append(water_filling.Candidate(target, cost))
        unknown = self._count_unknown(service, usable)
        return water_filling.draw(candidates, unknown, self._generator)

    def record_hold(self, service: str, hold_s: float) -> None:
        """Note how long a request held its place."""
        mean_s = self.find_hold_s(service)
        self._hold_s[service] = mean_s + _HOLD_WEIGHT * (hold_s - mean_s)

    def find_hold_s(self, service: str) -> float:
        """Return the mean time for which a request holds its place."""
        return self._hold_s.get(service, _FIRST_HOLD_S)

    def choose_batch(
        self,
        service: str,
        now_s: float,
        excluded: abc.Set[str] = frozenset(),
        is_urgent: bool = False,
        zone: str = "",
    ) -> model.Target | None:
        """Return a target with room for a batch item, ``None`` if none has.

        :param is_urgent: whether the item misses its due time unless it runs now
        :param zone: availability zone of the item's daemon, empty for the own one
        """
        usable = self._targets.list_usable(service)
        peak_room = self._find_peak_room(service, usable)
        ejected = self._find_ejected(usable, now_s)
        candidates: list[water_filling.Candidate] = []
        for known in usable:
            target = known.target
            if target.target_id in ejected:
                continue
            if not _may_get_work(known.health, now_s):
                continue
            load = self._board.total(target.target_id)
            room = self._count_batch_room(target, load, peak_room)
            has_room = target.target_id not in excluded and room > 0
            if not has_room and not (is_urgent and _has_urgent_room(target, load)):
                continue
            cost = self._cost(target, load.total, now_s, zone)
            candidates.append(water_filling.Candidate(target, cost))
        # Others start items in the same moment.
        unknown = self._board.waiting_items - self._board.own_waiting_items
        return water_filling.draw(candidates, unknown, self._generator)

    def draw_batch_share(self, service: str, now_s: float, is_urgent: bool) -> int:
        """Return how many items this daemon may start of those that find places now.

        Daemons with waiting items share the places by the number of their items; parts
        of an item are drawn. So they do not all start items at the same free places.
        """
        usable = self._targets.list_usable(service)
        peak_room = self._find_peak_room(service, usable)
        ejected = self._find_ejected(usable, now_s)
        places = 0
        for known in usable:
            health = known.health
            if health.is_paused(now_s) or health.is_unresponsive(now_s):
                continue
            if known.target.target_id in ejected:
                continue
            load = self._board.total(known.target.target_id)
            free = self._count_batch_room(known.target, load, peak_room)
            if is_urgent and _has_urgent_room(known.target, load):
                free = max(free, URGENT_PLACES - load.batch)
            places += max(0, free)
        own = self._board.own_waiting_items
        return self._round(places * own / max(1, own, self._board.waiting_items))

    def count_to_preempt(self, target: model.Target, items: int | None = None) -> int:
        """Return how many batch items should leave a target for online requests.

        The daemons with batch items there share what has to leave; parts of an item
        are drawn, so that few items more or less than needed leave.

        :param items: items there that the caller can make leave, ``None`` for those of
            this daemon
        """
        load = self._board.total(target.target_id)
        surplus = load.total - (target.slots - _YIELD_RESERVE)
        if items is None:
            own = self._board.own.get(target.target_id)
            items = own.batch if own is not None else 0
        if surplus <= 0 or not items or not load.online:
            return 0
        share = surplus * items / max(1, load.batch)
        return min(items, self._round(share))

    def has_targets(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may get work now or after a pause."""
        return any(
            not known.health.is_unresponsive(now_s)
            for known in self._targets.list_usable(service)
        )

    def count_slots(self, service: str) -> int:
        """Return the slots of all targets of a service."""
        return sum(known.target.slots for known in self._targets.list_usable(service))

    def count_running(self, service: str) -> int:
        """Return the requests of all daemons on the targets of a service."""
        return sum(
            self._board.total(known.target.target_id).total
            for known in self._targets.list_usable(service)
        )

    def _round(self, share: float) -> int:
        """Return a share as a whole number, drawn so that its mean is the share."""
        whole = int(share)
        if self._generator.random() < share - whole:
            whole += 1
        return whole

    def _find_ejected(
        self, usable: abc.Sequence[target_registry.KnownTarget], now_s: float
    ) -> abc.Set[str]:
        """Return the targets that get no work, since so many of their answers fail."""
        outcomes = self._board.outcomes
        ejected = {
            known.target.target_id
            for known in usable
            if outcomes.is_ejected(known.target.target_id, now_s)
        }
        if len(ejected) > _MOST_EJECTED_SHARE * len(usable):
            return frozenset()
        return ejected

    def _find_peak_room(
        self, service: str, usable: abc.Sequence[target_registry.KnownTarget]
    ) -> float | None:
        """Return the share of slots that online leaves free even at its peak.

        :returns: ``None`` when the batch items at hand do not fit into it, so that the
            gaps between peaks have to be used too
        """
        window = self._peaks.get(service)
        if window is None:
            return None
        room = max(0.0, 1.0 - window.peak())
        places = 0
        running = 0
        for known in usable:
            target = known.target
            places += max(0, int(room * target.slots) - _PEAK_RESERVE)
            running += self._board.total(target.target_id).batch
        if running + self._board.waiting_items > places:
            return None
        return room

    def _count_batch_room(
        self, target: model.Target, load: load_table.Load, peak_room: float | None
    ) -> int:
        """Return how many more items fit where online requests need no room now."""
        free = max(1, target.slots - _BATCH_RESERVE) - load.total
        if peak_room is None:
            return free
        beside_peak = int(peak_room * target.slots) - _PEAK_RESERVE
        return min(free, beside_peak - load.batch)

    def _find_limit(self, target: model.Target, has_near: bool) -> int:
        """Return the requests from which on a target counts as full.

        :param has_near: whether any target of this region may get work
        """
        limit = target.slots + _QUEUE_AHEAD
        if not has_near or not self._is_far(target):
            return limit
        reserve = int(_FAR_RESERVE_PER_S * self._board.cross_region_age_s)
        return limit - min(reserve, target.slots // 2)

    def _is_far(self, target: model.Target) -> bool:
        """Whether a target stands in another region."""
        region = self._location.regions.get(target.availability_zone)
        return region != self._location.region

    def _count_unknown(
        self, service: str, usable: abc.Sequence[target_registry.KnownTarget]
    ) -> float:
        """Return how many requests others have placed that are not known here yet.

        As many come in a time as leave in it, while the load is steady.
        """
        online = sum(
            self._board.total(known.target.target_id).online for known in usable
        )
        return online * self._board.same_region_age_s / self.find_hold_s(service)

    def _cost(self, target: model.Target, total: int, now_s: float, zone: str) -> float:
        cost = (total + 1) / target.slots
        failed_share = self._board.outcomes.find_failure_rate(target.target_id, now_s)
        cost += _FAILED_COST * failed_share
        if target.availability_zone != (zone or self._location.availability_zone):
            cost += _OTHER_ZONE_COST
            if self._is_far(target):
                cost += _FAR_COST + _FAR_COST_PER_S * self._board.cross_region_age_s
        return cost


def _may_get_work(health: target_health.TargetHealth, now_s: float) -> bool:
    """Whether this daemon has seen nothing against a target a moment ago."""
    return not (
        health.is_paused(now_s)
        or health.is_full(now_s)
        or health.is_unresponsive(now_s)
    )


def _has_urgent_room(target: model.Target, load: load_table.Load) -> bool:
    """Whether a target has one of the places for urgent items free."""
    return load.batch < URGENT_PLACES and load.total < target.slots + _QUEUE_AHEAD
