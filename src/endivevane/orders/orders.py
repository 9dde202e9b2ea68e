"""The owner of an engine group: reads back, plans and sends orders."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import typing
from collections import abc

import result

from endivevane import logs, utils
from endivevane.configuration import snapshot
from endivevane.coordination import clock, fencing, lease, store
from endivevane.external import engine
from endivevane.orders import (
    counts,
    placement,
    plans,
    replicas,
    residence,
    roles,
    states,
)


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersSettings:
    """Pace and limits of the orders to engines.

    :param interval_s: time between two rounds
    :param call_timeout_s: limit for each wait of a call to an engine
    :param longest_term_s: longest session term of any daemon
    :param longest_order_s: longest time from sending an order until it can no longer
        take effect, loading included
    :param silent_after_s: time without an answer after which an engine is given up
    :param refused_pause_s: pause after an engine has refused a fencing number
    :param margin_s: allowance of the observer of other daemons' sessions
    :param threads: calls to engines at the same time
    :param fleet_loads: loads at the same time of all services together, which share
        the rate of the weight store; each service gets an equal part, at least one
    """

    interval_s: float = 2.0
    call_timeout_s: float = 1.0
    longest_term_s: float = 30.0
    longest_order_s: float = 120.0
    silent_after_s: float = 6.0
    refused_pause_s: float = 10.0
    margin_s: float = 1.0
    threads: int = 8
    fleet_loads: int = 16
    placement: plans.PlacementSettings = dataclasses.field(
        default_factory=plans.PlacementSettings
    )
    demand: replicas.DemandSettings = dataclasses.field(
        default_factory=replicas.DemandSettings
    )


class Session(typing.Protocol):
    """The session of this daemon."""

    @property
    def epoch(self) -> int | None:
        """The epoch in force, ``None`` after a lapse."""

    def compute_remaining_s(self) -> float:
        """Return the rest of the term, 0 after a lapse."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What one round is about.

    :param targets: engines of the service that are not leaving
    :param kept: models that are never unloaded, see :class:`plans.Group`
    :param demand_slots: slots that demand would fill, by model; ``None`` while too few
        daemons have told theirs
    :param groups: services whose owners share the weight store
    :param declared_engines: engines of the group, leaving ones included
    """

    service: snapshot.Service
    targets: abc.Sequence[snapshot.Target]
    kept: frozenset[str] = frozenset()
    demand_slots: abc.Mapping[str, float] | None = None
    load_shares: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    groups: int = 1
    declared_engines: int = 0


class GroupOwner:
    """Owns the engines of one service while the session lasts.

    One thread at a time may call :meth:`run_round`; it blocks on the table service and
    on the engines.

    :param group: name of the service
    :param daemon: name of this daemon
    :param session: this daemon's session
    :param make_client: returns the client of an engine; its connections must not be
        reused, because a reused one that breaks makes the pool send an order again
    :param executor: runs the calls to engines
    """

    def __init__(
        self,
        group: str,
        daemon: str,
        session: Session,
        table_store: store.TableStore,
        make_client: abc.Callable[[snapshot.Target], states.Client],
        executor: concurrent.futures.Executor,
        settings: OrdersSettings,
        owner_clock: clock.Clock,
    ) -> None:
        self._group = group
        self._daemon = daemon
        self._session = session
        self._store = table_store
        self._make_client = make_client
        self._executor = executor
        self._settings = settings
        self._clock = owner_clock
        self._fences = fencing.GroupFences(
            # Only the epoch of the session is read.
            typing.cast(lease.SessionLease, session),
            settings.longest_term_s,
            settings.longest_order_s,
            owner_clock,
        )
        self._observer = lease.SessionObserver(settings.margin_s, owner_clock)
        self._observed_s = owner_clock.monotonic_s()
        self._residence = residence.Residence()
        self._replicas = replicas.ReplicaTargets(settings.demand)
        self._roles = roles.RoleAssigner()
        self._states = states.EngineStates(
            make_client,
            executor,
            settings.silent_after_s,
            settings.longest_order_s,
            owner_clock,
        )
        self._acquired_s = 0.0
        self._paused_until_s = 0.0
        self._needs_new_number = False

    @property
    def ownership(self) -> fencing.Ownership | None:
        """The ownership in force, ``None`` when this daemon does not own the group."""
        return self._fences.find(self._group)

    def run_round(self, request: Request) -> None:
        """Acquire the group if it is free, then order what is missing."""
        owned = self.ownership or self._acquire()
        if owned is None:
            return
        self._states.read_back(request.targets)
        known = self._states.states.values()
        highest = max((item.fencing_number for item in known), default=0)
        if highest > owned.fencing_token:
            self._lose(highest)
            return
        views = self._states.make_views(
            owned.fencing_token, self._may_order, request.load_shares
        )
        self._residence.observe(views, self._clock.monotonic_s())
        if not self._is_settled(request):
            return
        plan = self._compute(request, views)
        wanted_roles = self._roles.compute(
            request.service.model, request.targets, views, request.declared_engines
        )
        by_name = {view.name: view for view in views}
        sending = []
        for target in request.targets:
            view = by_name.get(target.name)
            if view is None or not view.is_fresh or view.is_busy:
                continue
            orders = plans.list_orders(view, plan.wanted[target.name])
            role = wanted_roles[target.name]
            has_number = self._has_number(target, owned.fencing_token)
            if orders or role != view.role or not has_number:
                sending.append((target, orders, role))
        outcomes = self._executor.map(
            lambda item: self._send_to(item[0], item[1], item[2], owned.fencing_token),
            sending,
        )
        if not all(list(outcomes)):
            self._lose(None)

    def _compute(
        self, request: Request, views: abc.Sequence[plans.EngineView]
    ) -> plans.Plan:
        group = plans.Group(
            request.service.model.models,
            views,
            request.kept,
            self._compute_targets(request, len(views)),
            self._residence.since_s,
        )
        limits = self._settings.placement
        own_part = max(1, self._settings.fleet_loads // max(1, request.groups))
        limits = dataclasses.replace(limits, max_loads=min(limits.max_loads, own_part))
        plan = placement.compute(group, limits, self._clock.monotonic_s())
        for name, count in plan.short.items():
            counts.REPLICAS_SHORT.labels(self._group, name).set(count)
        return plan

    def _compute_targets(
        self, request: Request, engines: int
    ) -> abc.Mapping[str, int] | None:
        """Return the replicas that demand asks for, ``None`` while it is not known."""
        if request.demand_slots is None or not request.targets:
            return None
        self._replicas.observe(request.demand_slots, self._clock.monotonic_s())
        slots = [target.slots for target in request.targets]
        max_models = self._settings.placement.max_models
        targets = self._replicas.compute(
            request.service.model.models,
            places=engines * max_models,
            engines=engines,
            slots_per_place=sum(slots) / len(slots) / max_models,
        )
        for name, count in targets.items():
            counts.REPLICAS_WANTED.labels(self._group, name).set(count)
        return targets

    def _may_order(self, target: snapshot.Target) -> bool:
        return self._fences.may_send_order(self._group, target.checks_fencing)

    def _has_number(self, target: snapshot.Target, number: int) -> bool:
        """Tell whether an engine that checks numbers has seen the own one."""
        seen = self._states.states[target.name].fencing_number
        return seen == number or not target.checks_fencing

    def _acquire(self) -> fencing.Ownership | None:
        epoch = self._session.epoch
        if epoch is None or self._clock.monotonic_s() < self._paused_until_s:
            return None
        reading = self._store.read(fencing.TABLE, self._group)
        if isinstance(reading, result.Err):
            return None
        row = reading.ok_value
        if row is not None and self._is_own(row, epoch) and not self._needs_new_number:
            # The answer to an earlier acquisition under this epoch was lost.
            return self._record(epoch, row.revision)
        if not self._may_acquire(row, epoch):
            return None
        outcome = fencing.acquire(
            self._store,
            self._group,
            row,
            self._daemon,
            epoch,
            utils.make_id(f"own-{self._group}"),
        )
        if isinstance(outcome, result.Err):
            logs.info("group_not_acquired", group=self._group, error=outcome.err_value)
            return None
        self._needs_new_number = False
        return self._record(epoch, outcome.ok_value)

    def _is_own(self, row: store.Row, epoch: int) -> bool:
        owner = row.value["owner"], row.value["owner_epoch"]
        return owner == (self._daemon, epoch)

    def _may_acquire(self, row: store.Row | None, epoch: int) -> bool:
        if row is not None and self._is_own(row, epoch):
            return self._needs_new_number
        if row is not None and row.value["owner"] != self._daemon:
            self._observe(str(row.value["owner"]), int(row.value["owner_epoch"]))
        return fencing.may_acquire(row, self._daemon, epoch, self._observer)

    def _observe(self, owner: str, epoch: int) -> None:
        """Read the session of the owner."""
        self._observer.is_expired(owner, epoch)
        started_s = self._clock.monotonic_s()
        if started_s - self._observed_s > 3 * self._settings.interval_s:
            # After a gap, such as an outage of the store, the owner may renew first.
            self._observer.forget(owner)
        reading = self._store.read(lease.TABLE, owner)
        if isinstance(reading, result.Err):
            return
        self._observed_s = self._clock.monotonic_s()
        self._observer.observe(owner, reading.ok_value, started_s, self._observed_s)

    def _record(self, epoch: int, number: int) -> fencing.Ownership | None:
        self._fences.record_acquired(self._group, epoch, number)
        self._acquired_s = self._clock.monotonic_s()
        self._states.forget()
        self._residence = residence.Residence()
        self._replicas = replicas.ReplicaTargets(self._settings.demand)
        logs.info("group_acquired", group=self._group, number=number, epoch=epoch)
        return self.ownership

    def _lose(self, number: int | None) -> None:
        """Give the group up after an engine has shown a higher number."""
        self._fences.record_lost(self._group)
        self._needs_new_number = True
        now_s = self._clock.monotonic_s()
        self._paused_until_s = now_s + self._settings.refused_pause_s
        logs.warning("group_lost", group=self._group, number=number)

    def _is_settled(self, request: Request) -> bool:
        """Tell whether a new owner knows enough of the engines to plan."""
        if len(self._states.states) == len(request.targets):
            return True
        waited_s = self._clock.monotonic_s() - self._acquired_s
        return waited_s > self._settings.silent_after_s

    def _send_to(
        self,
        target: snapshot.Target,
        orders: abc.Sequence[plans.Order],
        role: str,
        number: int,
    ) -> bool:
        """Send orders one after the other; return whether the number was accepted.

        The role comes first, because it takes effect at once. Without orders the engine
        gets the role that it has, which changes nothing but makes it refuse the orders
        of earlier owners. The first failure ends the row: the next round reads back
        what took effect.
        """
        client = self._make_client(target)
        is_changed = role != self._states.states[target.name].role
        if is_changed or not orders:
            if not self._may_send(target, number):
                return True
            outcome = client.send_order(number, "set_role", role=role)
            if is_changed:
                counts.record_role(self._group, target.name, role, _describe(outcome))
            if isinstance(outcome, result.Err):
                return not _is_refused(outcome)
        for order in orders:
            if not self._may_send(target, number):
                return True
            self._states.record_sent(target.name, order)
            outcome = client.send_order(number, order.action, **_make_arguments(order))
            counts.record_order(self._group, order, _describe(outcome))
            if _is_refused(outcome):
                return False
            if isinstance(outcome, result.Err):
                self._states.record_unknown(target.name)
                return True
        return True

    def _may_send(self, target: snapshot.Target, number: int) -> bool:
        """Tell whether an order would be over before the own term ends."""
        owned = self.ownership
        if owned is None or owned.fencing_token != number:
            return False
        if self._session.compute_remaining_s() <= self._settings.call_timeout_s:
            return False
        return self._fences.may_send_order(self._group, target.checks_fencing)


def _make_arguments(order: plans.Order) -> dict[str, str]:
    arguments = {"model": order.model, "version": order.version}
    if order.adapter:
        arguments["adapter"] = order.adapter
    return arguments


def _is_refused(outcome: result.Result[None, engine.EngineError]) -> bool:
    return isinstance(outcome, result.Err) and isinstance(
        outcome.err_value, engine.FencingRefused
    )


def _describe(outcome: result.Result[None, engine.EngineError]) -> str:
    """Return the label of the outcome; ``unknown`` means that no answer came."""
    if isinstance(outcome, result.Ok):
        return "accepted"
    return "refused" if _is_refused(outcome) else "unknown"
