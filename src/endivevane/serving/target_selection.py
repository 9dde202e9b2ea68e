"""Choosing the target of a request by load, health and distance."""

from __future__ import annotations

import random
from collections import abc

from endivevane.locality import distances, location, needs
from endivevane.rate_limits import holder as token_holder
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    batch_room,
    hold_times,
    load_table,
    model,
    target_registry,
    token_use,
    water_filling,
)

# Requests that may queue at a target beyond its slots, so that a slot that becomes free
# is reused before the daemons learn of it.
_QUEUE_AHEAD = 1
# Slots of a target that urgent batch items, which would otherwise miss their due time,
# may hold even when online requests need them.
URGENT_SLOTS = 2
# Batch is preempted when a target has more requests than its slots less this.
_PREEMPTION_RESERVE = 0
# What failed responses add to the cost, per unit of the failure rate.
_FAILURE_RATE_COST = 2.0
# While more than this share of a service's targets fails, none is ejected: the cause
# then lies elsewhere, or there is no better target.
_MAX_EJECTED_SHARE = 0.5


class TargetSelector:
    """Chooses among the targets of a service by load, health and distance."""

    def __init__(
        self,
        daemon_location: location.Location,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        limits: rate_limits.RateLimits,
        generator: random.Random,
        holds: hold_times.HoldTimes | None = None,
        distance_costs: distances.Distances | None = None,
    ) -> None:
        self._limits = limits
        self._location = daemon_location
        self._distances = distance_costs or distances.ConstantDistances(
            daemon_location, loads
        )
        self._targets = targets
        self._loads = loads
        self._generator = generator
        self._holds = holds or hold_times.HoldTimes()
        self._batch_room = batch_room.BatchRoom(targets, loads, limits)
        self._tokens = token_use.TokenUse(loads, limits)

    def record_peaks(self, now_s: float) -> None:
        """Record the online load of each service, as a share of its slots."""
        self._batch_room.record_peaks(now_s)

    def choose_online(
        self,
        service: str,
        now_s: float,
        excluded: abc.Set[str] = frozenset(),
        allowed: abc.Set[str] | None = None,
        version: str | None = None,
        zone: str = "",
        latest_start_s: float = float("inf"),
        request_bytes: int | None = None,
    ) -> model.Target | None:
        """Return the target for an online request, ``None`` if none has room.

        :param excluded: targets that the request must not go to
        :param allowed: the targets that the request may go to, ``None`` for any
        :param version: software version that it must run at, ``None`` for any
        :param zone: availability zone of the request's daemon, empty for this daemon's
        :param latest_start_s: monotonic time at which it has to start at the target to
            meet its objective
        :param request_bytes: size of its body, ``None`` if unknown
        """
        candidates: list[water_filling.Candidate] = []
        for target in self._list_with_room(service, now_s, excluded, allowed, version):
            if not self._limits.is_open(target.target_id, now_s):
                continue
            candidates.append(self._make_candidate(target, now_s))
        need = needs.Need(
            service,
            zone,
            self.get_mean_hold_s(service),
            request_bytes=request_bytes,
            latest_start_s=latest_start_s,
        )
        usable = self._targets.list_usable(service)
        unreported = self._estimate_unreported(service, usable)
        return self._draw(candidates, need, unreported, now_s)

    def request_online_token(
        self,
        service: str,
        need: token_holder.TokenNeed,
        now_s: float,
        excluded: abc.Set[str] = frozenset(),
        allowed: abc.Set[str] | None = None,
        version: str | None = None,
    ) -> bool:
        """Request a token for an online request; return whether one is there.

        :param excluded: targets that the request must not go to
        :param allowed: the targets that the request may go to, ``None`` for any
        :param version: software version that it must run at, ``None`` for any
        """
        if not self._limits.has_limits:
            return False
        targets = self._list_with_room(service, now_s, excluded, allowed, version)
        limited = self._tokens.list_limited(targets)
        return self._tokens.request(limited, need, now_s)

    @property
    def depends_on_zone(self) -> bool:
        """Whether an item of one zone may find no target where another's finds one."""
        return self._distances.depends_on_zone

    def has_rate_limits(self, service: str) -> bool:
        """Whether any target of a service has a rate limit."""
        if not self._limits.has_limits:
            return False
        return any(
            self._limits.find_limit_per_s(known.target.target_id) is not None
            for known in self._targets.list_usable(service)
        )

    def estimate_rate_per_s(self, service: str) -> float:
        """Return how many requests a second the targets of a service can serve."""
        hold_s = self.get_mean_hold_s(service)
        rate_per_s = 0.0
        for known in self._targets.list_usable(service):
            served_per_s = known.target.slots / hold_s
            limit_per_s = self._limits.find_limit_per_s(known.target.target_id)
            if limit_per_s is not None:
                served_per_s = min(served_per_s, limit_per_s)
            rate_per_s += served_per_s
        return rate_per_s

    def record_hold(self, service: str, hold_s: float) -> None:
        """Record how long a request held its slot."""
        self._holds.record(service, hold_s)

    def record_item_hold(self, service: str, hold_s: float) -> None:
        """Record how long a batch item held its slot."""
        self._holds.record_item(service, hold_s)

    def get_mean_hold_s(self, service: str) -> float:
        """Return the mean time for which a request holds its slot."""
        return self._holds.get(service)

    def choose_batch(
        self,
        service: str,
        now_s: float,
        excluded: abc.Set[str] = frozenset(),
        is_urgent: bool = False,
        zone: str = "",
        due_s: float = 0.0,
        version: str | None = None,
    ) -> model.Target | None:
        """Return a target with room for a batch item, ``None`` if none has.

        :param is_urgent: whether the item misses its due time unless it runs now
        :param zone: availability zone of the item's daemon, empty for this daemon's
        :param due_s: monotonic time at which the item is due
        :param version: software version at which the item goes on, ``None`` for any
        """
        usable = self._targets.list_usable(service)
        peak_room = self._batch_room.find_peak_room(service, usable)
        ejected = self._find_ejected(usable, now_s)
        has_room: list[model.Target] = []
        for known in usable:
            target = known.target
            if target.target_id in ejected:
                continue
            if version not in (None, target.version):
                continue
            if not known.health.is_available(now_s):
                continue
            load = self._loads.total(target.target_id)
            room = self._batch_room.count(target, load, peak_room)
            if (target.target_id not in excluded and room > 0) or (
                is_urgent and _has_urgent_room(target, load)
            ):
                has_room.append(target)
        open_targets = self._tokens.list_open_for_batch(
            service, has_room, is_urgent, due_s, now_s
        )
        candidates = [self._make_candidate(target, now_s) for target in open_targets]
        need = needs.Need(
            service,
            zone,
            self._holds.get_item(service),
            is_batch=True,
            due_s=due_s,
            may_wait=not is_urgent
            and version is None
            and not self.has_rate_limits(service),
        )
        # Other daemons start items at the same time.
        unreported = self._loads.waiting_items - self._loads.own_waiting_items
        return self._draw(candidates, need, unreported, now_s)

    def draw_batch_share(self, service: str, now_s: float, is_urgent: bool) -> int:
        """Return how many items this daemon may start in the slots free for batch.

        Daemons share the free slots in proportion to their waiting items, with
        fractions rounded randomly, so that they do not all start items in the same
        slots.
        """
        usable = self._targets.list_usable(service)
        peak_room = self._batch_room.find_peak_room(service, usable)
        ejected = self._find_ejected(usable, now_s)
        available = 0
        for known in usable:
            health = known.health
            if health.is_paused(now_s) or health.is_unresponsive(now_s):
                continue
            if known.target.target_id in ejected:
                continue
            load = self._loads.total(known.target.target_id)
            free = self._batch_room.count(known.target, load, peak_room)
            if is_urgent and _has_urgent_room(known.target, load):
                free = max(free, URGENT_SLOTS - load.batch)
            available += max(0, free)
        own = self._loads.own_waiting_items
        return self._round_randomly(
            available * own / max(1, own, self._loads.waiting_items)
        )

    def count_to_preempt(self, target: model.Target, items: int | None = None) -> int:
        """Return how many batch items on a target to preempt for online requests.

        The daemons with batch items there share the preemptions, with fractions rounded
        randomly, so that in total about as many items are preempted as needed.

        :param items: items there that the caller can preempt, ``None`` for those of
            this daemon
        """
        if self._limits.find_limit_per_s(target.target_id) is not None:
            # Its limit bounds its load, and each run of an item counts against it.
            return 0
        load = self._loads.total(target.target_id)
        surplus = load.total - (target.slots - _PREEMPTION_RESERVE)
        if items is None:
            own = self._loads.own.get(target.target_id)
            items = own.batch if own is not None else 0
        if surplus <= 0 or not items or not load.online:
            return 0
        share = surplus * items / max(1, load.batch)
        return min(items, self._round_randomly(share))

    def has_targets(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may get work, now or after a pause."""
        return any(
            not known.health.is_unresponsive(now_s)
            for known in self._targets.list_usable(service)
        )

    def serves_version(self, service: str, version: str) -> bool:
        """Whether any target of a service that may get work has a version."""
        return any(
            known.target.version == version
            for known in self._targets.list_usable(service)
        )

    def count_slots(self, service: str) -> int:
        """Return the number of slots of all targets of a service."""
        return sum(known.target.slots for known in self._targets.list_usable(service))

    def count_running(self, service: str) -> int:
        """Return the number of requests of all daemons on the targets of a service."""
        return sum(
            self._loads.total(known.target.target_id).total
            for known in self._targets.list_usable(service)
        )

    def _draw(
        self,
        candidates: abc.Sequence[water_filling.Candidate],
        need: needs.Need,
        unreported: float,
        now_s: float,
    ) -> model.Target | None:
        """Draw a target and use a token of it if it has a limit."""
        weighed = self._distances.weigh(candidates, need, now_s)
        target = water_filling.draw_target(weighed, unreported, self._generator)
        if target is not None:
            self._limits.take(target.target_id, now_s)
            self._distances.record_choice(need, target, now_s)
        return target

    def _list_with_room(
        self,
        service: str,
        now_s: float,
        excluded: abc.Set[str],
        allowed: abc.Set[str] | None,
        version: str | None,
    ) -> list[model.Target]:
        """Return the targets with room for an online request, but for their limits."""
        usable = self._targets.list_usable(service)
        ejected = self._find_ejected(usable, now_s)
        has_local = any(
            not self._location.is_cross_region(known.target.availability_zone)
            and known.health.is_available(now_s)
            and self._limits.is_open(known.target.target_id, now_s)
            for known in usable
        )
        targets: list[model.Target] = []
        for known in usable:
            target = known.target
            if target.target_id in excluded:
                continue
            if allowed is None and target.target_id in ejected:
                continue
            if allowed is not None and target.target_id not in allowed:
                continue
            if version is not None and target.version != version:
                continue
            if not known.health.is_available(now_s):
                continue
            total = self._loads.total(target.target_id).total
            if total >= self._find_limit(target, has_local, now_s):
                continue
            targets.append(target)
        return targets

    def _round_randomly(self, share: float) -> int:
        """Round a share up or down at random such that the mean is the share."""
        whole = int(share)
        if self._generator.random() < share - whole:
            whole += 1
        return whole

    def _find_ejected(
        self, usable: abc.Sequence[target_registry.KnownTarget], now_s: float
    ) -> abc.Set[str]:
        """Return the targets that get no work because of their failure rate."""
        outcomes = self._loads.outcomes
        ejected = {
            known.target.target_id
            for known in usable
            if outcomes.is_ejected(known.target.target_id, now_s)
        }
        if len(ejected) > _MAX_EJECTED_SHARE * len(usable):
            return frozenset()
        return ejected

    def _find_limit(self, target: model.Target, has_local: bool, now_s: float) -> int:
        """Return the number of requests at which a target counts as full.

        :param has_local: whether any target of this region may get work
        """
        limit = target.slots + _QUEUE_AHEAD
        is_cross_region = self._location.is_cross_region(target.availability_zone)
        if not has_local or not is_cross_region:
            return limit
        reserve = self._distances.count_reserved(target, now_s)
        return limit - min(reserve, target.slots // 2)

    def _estimate_unreported(
        self, service: str, usable: abc.Sequence[target_registry.KnownTarget]
    ) -> float:
        """Estimate how many requests others have placed since their last reports.

        While the load is steady, as many requests arrive in an interval as end in it.
        """
        online = sum(
            self._loads.total(known.target.target_id).online for known in usable
        )
        return online * self._loads.same_region_age_s / self.get_mean_hold_s(service)

    def _make_candidate(
        self, target: model.Target, now_s: float
    ) -> water_filling.Candidate:
        """Return a target with its cost, but for the distance."""
        total = self._loads.total(target.target_id).total
        cost = (total + 1) / target.slots
        failure_rate = self._loads.outcomes.find_failure_rate(target.target_id, now_s)
        cost += _FAILURE_RATE_COST * failure_rate
        return water_filling.Candidate(target, cost)


def _has_urgent_room(target: model.Target, load: load_table.Load) -> bool:
    """Whether a target has one of its slots for urgent items free."""
    return load.batch < URGENT_SLOTS and load.total < target.slots + _QUEUE_AHEAD
