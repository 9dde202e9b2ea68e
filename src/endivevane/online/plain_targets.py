"""Targets of plain services, shared by the threads that serve calls."""

from __future__ import annotations

import random
import threading
from collections import abc

from endivevane.configuration import snapshot
from endivevane.coordination import clock, retry
from endivevane.external import http_pool, link
from endivevane.online import link_budget, routing, target_state


class PlainTargets:
    """Chooses targets and keeps their connections, health and limits. Thread-safe.

    :param count_daemons: returns how many daemons share the targets; called under the
        lock when the configuration or the set of draining targets changes
    :param budget: limits the traffic on the link between the regions, ``None`` for no
        limit
    """

    def __init__(
        self,
        place: routing.Place,
        targets_clock: clock.Clock,
        generator: random.Random,
        settings: routing.RoutingSettings | None = None,
        count_daemons: abc.Callable[[], int] | None = None,
        budget: link_budget.LinkBudget | None = None,
    ) -> None:
        self._place = place
        self._link = budget
        self._count_daemons = count_daemons or (lambda: routing.DEFAULT_DAEMONS)
        self._clock = targets_clock
        self._random = generator
        self._settings = settings or routing.RoutingSettings()
        self._states: dict[str, target_state.TargetState] = {}
        self._pools: dict[str, http_pool.HttpPool] = {}
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._candidates: dict[str, tuple[snapshot.Service, list[str]]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def set_leaving(self, target_names: abc.Iterable[str]) -> None:
        """Set the draining targets, which get no new work; replaces the former set."""
        with self._lock:
            self._leaving = frozenset(target_names)
            self._candidates.clear()

    def record_request(self, service: str) -> None:
        """Count a call that is sent for the first time."""
        with self._lock:
            self._get_budget(service).record_request()

    def try_retry(self, service: str) -> bool:
        """Return whether the service's retry budget allows a retry, and use it."""
        with self._lock:
            return self._get_budget(service).try_retry()

    def has_target(
        self, service: snapshot.Service, excluded: abc.Collection[str] = ()
    ) -> bool:
        """Return whether a usable target exists for a call.

        :param excluded: names of targets that failed this call
        """
        with self._lock:
            return bool(self._find_usable(service, excluded))

    def begin(
        self, service: snapshot.Service, attempt_id: str, excluded: abc.Collection[str]
    ) -> snapshot.Target | None:
        """Choose a target and record that a call is sent to it.

        :param excluded: names of targets that failed this call
        """
        with self._lock:
            usable = self._find_usable(service, excluded)
            local = [
                state for state in usable if state.target.region == self._place.region
            ]
            pool = local or usable
            if not pool:
                return None
            sampled = pool if len(pool) <= 2 else self._random.sample(pool, 2)
            chosen = min(sampled, key=self._compute_cost)
            chosen.begin(attempt_id)
            return chosen.target

    def end(
        self,
        target: snapshot.Target,
        attempt_id: str,
        started_s: float,
        is_answered: bool | None,
    ) -> None:
        """Record how a call ended.

        :param is_answered: whether the target answered; ``None`` if the outcome says
            nothing about the target
        """
        now_s = self._clock.monotonic_s()
        with self._lock:
            state = self._states.get(target.name)
            if state is None or attempt_id not in state.in_flight:
                return
            if is_answered:
                in_flight_before = state.in_flight[attempt_id]
                state.limit.record_latency(now_s - started_s, in_flight_before)
                state.health.record_success(attempt_id, started_s)
            elif is_answered is not None:
                state.health.record_failure(attempt_id, started_s, now_s)
            state.end(attempt_id)

    def get_pool(self, target: snapshot.Target) -> http_pool.HttpPool:
        """Return the connection pool of a target."""
        key = str(target.address)
        with self._lock:
            pool = self._pools.get(key)
            if pool is None:
                pool = self._make_pool(target)
                self._pools[key] = pool
            return pool

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close_idle()

    def _make_pool(self, target: snapshot.Target) -> http_pool.HttpPool:
        limits = http_pool.PoolSettings()
        if target.region == self._place.region:
            return http_pool.HttpPool(target.address, limits, self._clock)
        charge = self._link.charge if self._link is not None else None
        return link.LinkPool(target.address, limits, "online", charge=charge)

    def _get_budget(self, service: str) -> retry.RetryBudget:
        return self._budgets.setdefault(
            service, retry.RetryBudget(retry.RetrySettings(), self._clock)
        )

    def _find_usable(
        self, service: snapshot.Service, excluded: abc.Collection[str]
    ) -> list[target_state.TargetState]:
        now_s = self._clock.monotonic_s()
        usable = [
            state
            for state in self._get_candidates(service)
            if state.target.name not in excluded and state.is_usable(now_s)
        ]
        if self._link is None or self._link.has_room():
            return usable
        return [item for item in usable if item.target.region == self._place.region]

    def _get_candidates(
        self, service: snapshot.Service
    ) -> list[target_state.TargetState]:
        known = self._candidates.get(service.name)
        if known is None or known[0] is not service:
            chosen = routing.choose_candidates(
                self._place,
                service,
                self._leaving,
                self._settings,
                self._count_daemons(),
            )
            for target in chosen:
                self._update_state(target)
            known = (service, [target.name for target in chosen])
            self._candidates[service.name] = known
        return [self._states[name] for name in known[1]]

    def _update_state(self, target: snapshot.Target) -> None:
        state = self._states.get(target.name)
        if state is None or state.target.address != target.address:
            state = target_state.TargetState(target, self._clock, self._random)
            self._states[target.name] = state
        state.set_target(target)

    def _compute_cost(self, state: target_state.TargetState) -> float:
        cost = state.estimate_load() / state.target.slots
        if state.target.zone != self._place.zone:
            cost += self._settings.zone_cost
        return cost
