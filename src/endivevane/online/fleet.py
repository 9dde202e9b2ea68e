"""The services and targets that a daemon's scheduler works with."""

from __future__ import annotations

import random
from collections.abc import Iterable

from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.online import routing, service_state, target_state


class Fleet:
    """States of model services and of their candidate targets.

    A target's name is that of its VM, so services that name the same target share
    its state.

    :param place: name, zone and region of the daemon
    """

    def __init__(
        self,
        place: routing.Place,
        settings: routing.RoutingSettings,
        fleet_clock: clock.Clock,
        generator: random.Random,
    ) -> None:
        self.snapshot = snapshot.EMPTY
        self.targets: dict[str, target_state.TargetState] = {}
        self.services: dict[str, service_state.ServiceState] = {}
        self._place = place
        self._settings = settings
        self._clock = fleet_clock
        self._random = generator
        self._leaving: frozenset[str] = frozenset()

    def set_snapshot(self, current: snapshot.Snapshot) -> None:
        """Put a configuration into force."""
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
        self._refresh()

    def set_leaving(self, target_names: Iterable[str]) -> None:
        """Set the targets that get no new work; replaces the former set."""
        self._leaving = frozenset(target_names)
        self._refresh()

    def end_attempt(self, target_name: str, attempt_id: str) -> None:
        """Note that an attempt is over."""
        state = self.targets.get(target_name)
        if state is not None:
            state.end(attempt_id)

    def _refresh(self) -> None:
        """Choose the candidates of all services again and drop unused targets."""
        used: set[str] = set()
        for name, state in self.services.items():
            service = self.snapshot.services.get(name)
            state.candidates = []
            if service is None or service.is_plain:
                continue
            for target in routing.choose_candidates(
                self._place, service, self._leaving, self._settings
            ):
                used.add(target.name)
                state.candidates.append(self._get_target(target))
        for name in [name for name in self.targets if name not in used]:
            # A leaving target keeps its state, because it may come back.
            if not self.targets[name].in_flight and name not in self._leaving:
                del self.targets[name]

    def _get_target(self, target: snapshot.Target) -> target_state.TargetState:
        state = self.targets.get(target.name)
        if state is None or state.target.address != target.address:
            state = target_state.TargetState(target, self._clock, self._random)
            self.targets[target.name] = state
        state.set_target(target)
        return state
