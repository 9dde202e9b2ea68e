"""The services and targets known to a daemon's scheduler."""

from __future__ import annotations

import functools
import random
from collections import abc

from endivevane import metrics
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine
from endivevane.online import (
    contract,
    demand,
    link_budget,
    routing,
    service_state,
    target_state,
    use_notices,
)


class Fleet:
    """Holds the state of model services and their candidate targets.

    A target is named after its VM, so services with the same target share its state.

    :param place: name, zone and region of the daemon
    :param count_daemons: returns how many daemons share the targets
    :param link: limits the traffic on the link between the regions
    """

    def __init__(
        self,
        place: routing.Place,
        settings: routing.RoutingSettings,
        fleet_clock: clock.Clock,
        generator: random.Random,
        count_daemons: abc.Callable[[], int],
        link: link_budget.LinkBudget,
    ) -> None:
        self.snapshot = snapshot.EMPTY
        self.targets: dict[str, target_state.TargetState] = {}
        self.services: dict[str, service_state.ServiceState] = {}
        self._place = place
        self._settings = settings
        self._clock = fleet_clock
        self._random = generator
        self._leaving: frozenset[str] = frozenset()
        self._count_daemons = count_daemons
        # Cached by service, model and whether the link budget has room.
        self._tiers: dict[tuple[str, str, bool], routing.Tiers] = {}
        self.demand = demand.DemandCounter(fleet_clock)
        self.use_notices = use_notices.UseNotices(fleet_clock)
        self._link = link

    def set_snapshot(self, current: snapshot.Snapshot) -> None:
        """Apply a configuration."""
        self.snapshot = current
        weights = {name: item.weight for name, item in current.organisations.items()}
        for service in current.services.values():
            if service.is_plain:
                continue
            state = self.services.get(service.name)
            if state is None:
                state = service_state.ServiceState(service, self._clock)
                self.services[service.name] = state
            state.set_service(service, weights)
        self._link.set_rate(current.link.data_bytes_s)
        self._refresh()

    def set_leaving(self, target_names: abc.Iterable[str]) -> None:
        """Set the draining targets, which get no new work; replaces the former set."""
        leaving = frozenset(target_names)
        if leaving == self._leaving:
            return
        self._leaving = leaving
        self._refresh()

    def set_load(self, target_name: str, report: engine.LoadReport) -> None:
        """Apply the load report of a target."""
        state = self.targets.get(target_name)
        if state is not None and state.set_report(report):
            self._tiers.clear()

    def find_sendable(
        self, candidates: list[target_state.TargetState]
    ) -> list[target_state.TargetState]:
        """Return the candidates with a suitable role that the link budget allows."""
        return self._list_sendable(candidates, self._link.has_room())

    def find_tiers(
        self, service: service_state.ServiceState, model: str
    ) -> routing.Tiers:
        """Return the candidates for a model that the link budget allows, in tiers.

        A target without the model would refuse the request, so it is no candidate
        while another target has the model, even one that can't be used now.

        The result is cached until a report or a change of the candidates affects it.
        """
        has_room = self._link.has_room()
        key = (service.service.name, model, has_room)
        tiers = self._tiers.get(key)
        if tiers is None:
            states = self._list_sendable(service.list_holders(model), has_room)
            tiers = self.sort_tiers(model, states)
            self._tiers[key] = tiers
        return tiers

    def sort_tiers(
        self, model: str, states: list[target_state.TargetState]
    ) -> routing.Tiers:
        """Group targets by preference for a model at this daemon."""
        return routing.sort_tiers(self._place.region, model, states)

    def _list_sendable(
        self, candidates: list[target_state.TargetState], has_room: bool
    ) -> list[target_state.TargetState]:
        region = self._place.region
        return [
            state
            for state in candidates
            if state.can_serve() and (has_room or state.target.region == region)
        ]

    def begin_attempt(
        self, state: target_state.TargetState, attempt: contract.Attempt
    ) -> None:
        """Record a sent attempt and charge the link budget if it crosses the link."""
        state.begin(attempt.attempt_id)
        self.demand.begin(attempt)
        self.use_notices.record_change(state)
        state.prefixes.record_send(attempt.request.prefix_hashes)
        if state.target.region != self._place.region:
            self._link.open_stream(attempt.attempt_id, attempt.request.service.name)

    def find_meter(self, attempt: contract.Attempt) -> abc.Callable[[int], None] | None:
        """Return the byte counter of an attempt, ``None`` within the region."""
        if attempt.target.region == self._place.region:
            return None
        return functools.partial(self._count_bytes, attempt.attempt_id)

    def find_prefill(
        self, request: contract.OnlineRequest, chosen: target_state.TargetState
    ) -> snapshot.Target | None:
        """Return the engine that should compute a long prompt for a target.

        Only engines in the daemon's own region qualify: the cache passes through the
        daemon and must not cross the link.
        """
        hashes = request.prefix_hashes
        min_prompt_bytes = request.service.model.roles.handover_min_prompt_bytes
        is_long = len(hashes) * contract.PREFIX_BLOCK_BYTES >= min_prompt_bytes > 0
        region, zone = self._place.region, chosen.target.zone
        if not is_long or chosen.target.region != region:
            return None
        if chosen.prefixes.match(hashes) * 2 >= len(hashes):
            return None
        eligible = [
            (state.target.zone != zone, state.estimate_load(), state.target.name, state)
            for state in self.services[request.service.name].candidates
            if not state.can_serve()
            and state.target.region == region
            and state.has_model(request.model)
            and state.estimate_load() < state.target.slots
        ]
        return min(eligible)[3].target if eligible else None

    def request_scans(self) -> None:
        """Scan all queues at the next poll."""
        for state in self.services.values():
            state.request_scan()

    def end_attempt(
        self, target_name: str, attempt_id: str, is_completed: bool = False
    ) -> None:
        """Record that an attempt has ended."""
        self.demand.end(attempt_id)
        self._link.close_stream(attempt_id, is_completed)
        state = self.targets.get(target_name)
        if state is not None:
            state.end(attempt_id)
            self.use_notices.record_change(state)

    def _count_bytes(self, attempt_id: str, size_bytes: int) -> None:
        metrics.LINK_BYTES.labels("online").inc(size_bytes)
        self._link.pass_bytes(attempt_id, size_bytes)

    def _refresh(self) -> None:
        """Recompute the candidates of all services and remove unused targets."""
        self._tiers.clear()
        used: set[str] = set()
        daemons = self._count_daemons()
        for name, state in self.services.items():
            service = self.snapshot.services.get(name)
            if service is None or service.is_plain:
                state.set_candidates([])
                continue
            chosen = []
            for target in routing.choose_candidates(
                self._place, service, self._leaving, self._settings, daemons
            ):
                used.add(target.name)
                chosen.append(self._get_target(target))
            state.set_candidates(chosen)
        for name in [name for name in self.targets if name not in used]:
            # A draining target keeps its state, because it may come back.
            if not self.targets[name].in_flight and name not in self._leaving:
                del self.targets[name]

    def _get_target(self, target: snapshot.Target) -> target_state.TargetState:
        state = self.targets.get(target.name)
        if state is None or state.target.address != target.address:
            state = target_state.TargetState(target, self._clock, self._random)
            self.targets[target.name] = state
        state.set_target(target)
        return state
