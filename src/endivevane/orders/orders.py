"""Reconciliation loop of an engine group: reads state, plans and sends orders."""

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
    """Intervals, timeouts and limits of the orders to engines.

    :param interval_s: time between two rounds
    :param call_timeout_s: timeout of each blocking operation of a call to an engine
    :param longest_term_s: longest session term of any daemon
    :param longest_order_s: longest time from sending an order until it can no longer
        take effect, including the load
    :param silent_after_s: time without an answer after which an engine is dropped
    :param refusal_backoff_s: back-off after an engine has refused a fencing token
    :param margin_s: clock drift allowance when observing other daemons' sessions
    :param threads: concurrent calls to engines
    :param fleet_loads: concurrent loads of all services, which share the bandwidth of
        the weight store; each service gets an equal part, at least one
    """

    interval_s: float = 2.0
    call_timeout_s: float = 1.0
    longest_term_s: float = 30.0
    longest_order_s: float = 120.0
    silent_after_s: float = 6.0
    refusal_backoff_s: float = 10.0
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
        """The epoch in force, ``None`` after the session expired."""

    def compute_remaining_s(self) -> float:
        """Return the time left in the term, 0 after its expiry."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundInput:
    """Input of one reconciliation round.

    :param targets: engines of the service that are not leaving
    :param protected: models that are never unloaded, see :class:`plans.Group`
    :param demand_slots: slots that the demand would occupy, by model; ``None`` while
        too few daemons have reported theirs
    :param groups: number of services whose owners share the weight store
    :param declared_engines: engines of the group, including leaving ones
    """

    service: snapshot.Service
    targets: abc.Sequence[snapshot.Target]
    protected: frozenset[str] = frozenset()
    demand_slots: abc.Mapping[str, float] | None = None
    load_shares: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    groups: int = 1
    declared_engines: int = 0


class GroupOwner:
    """Owns the engines of one service while the session is valid.

    Only one thread at a time may call :meth:`run_round`, which blocks on the table
    service and on the engines.

    :param group: name of the service
    :param daemon: name of this daemon
    :param session: this daemon's session
    :param make_client: returns the client of an engine; it must not reuse connections,
        because the pool resends an order if a reused connection breaks
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
        self._owned_groups = fencing.OwnedGroups(
            # Only the epoch of the session is read.
            typing.cast(lease.SessionLease, session),
            settings.longest_term_s,
            settings.longest_order_s,
            owner_clock,
        )
        self._observer = lease.SessionObserver(settings.margin_s, owner_clock)
        self._observed_s = owner_clock.monotonic_s()
        self._residence = residence.ResidenceTracker()
        self._autoscaler = replicas.ReplicaAutoscaler(settings.demand)
        self._roles = roles.RoleAssigner()
        self._states = states.EngineStates(
            make_client,
            executor,
            settings.silent_after_s,
            settings.longest_order_s,
            owner_clock,
        )
        self._acquired_s = 0.0
        self._backoff_until_s = 0.0
        self._needs_new_token = False

    @property
    def ownership(self) -> fencing.Ownership | None:
        """The ownership in force, ``None`` when this daemon does not own the group."""
        return self._owned_groups.find(self._group)

    def run_round(self, round_input: RoundInput) -> None:
        """Acquire the group if it is free, then send the missing orders."""
        owned = self.ownership or self._acquire()
        if owned is None:
            return
        self._states.read_back(round_input.targets)
        known = self._states.states.values()
        highest = max((item.fencing_token for item in known), default=0)
        if highest > owned.fencing_token:
            self._lose_group(highest)
            return
        views = self._states.make_views(
            owned.fencing_token, self._may_order, round_input.load_shares
        )
        self._residence.observe(views, self._clock.monotonic_s())
        if not self._is_ready_to_plan(round_input):
            return
        plan = self._compute(round_input, views)
        desired_roles = self._roles.compute(
            round_input.service.model,
            round_input.targets,
            views,
            round_input.declared_engines,
        )
        by_name = {view.name: view for view in views}
        pending = []
        for target in round_input.targets:
            view = by_name.get(target.name)
            if view is None or not view.is_fresh or view.is_busy:
                continue
            orders = plans.list_orders(view, plan.desired[target.name])
            role = desired_roles[target.name]
            has_seen_token = self._has_seen_token(target, owned.fencing_token)
            if orders or role != view.role or not has_seen_token:
                pending.append((target, orders, role))
        outcomes = self._executor.map(
            lambda item: self._send_to(item[0], item[1], item[2], owned.fencing_token),
            pending,
        )
        if not all(list(outcomes)):
            self._lose_group(None)

    def _compute(
        self, round_input: RoundInput, views: abc.Sequence[plans.EngineView]
    ) -> plans.Plan:
        group = plans.Group(
            round_input.service.model.models,
            views,
            round_input.protected,
            self._compute_desired_replicas(round_input, len(views)),
            self._residence.since_s,
        )
        limits = self._settings.placement
        max_own_loads = max(1, self._settings.fleet_loads // max(1, round_input.groups))
        limits = dataclasses.replace(
            limits, max_loads=min(limits.max_loads, max_own_loads)
        )
        plan = placement.compute(group, limits, self._clock.monotonic_s())
        for name, count in plan.missing_replicas.items():
            counts.REPLICAS_SHORT.labels(self._group, name).set(count)
        return plan

    def _compute_desired_replicas(
        self, round_input: RoundInput, engines: int
    ) -> abc.Mapping[str, int] | None:
        """Return the replicas that demand requires, ``None`` while it is unknown."""
        if round_input.demand_slots is None or not round_input.targets:
            return None
        self._autoscaler.observe(round_input.demand_slots, self._clock.monotonic_s())
        slots = [target.slots for target in round_input.targets]
        max_models = self._settings.placement.max_models
        targets = self._autoscaler.compute(
            round_input.service.model.models,
            capacity=engines * max_models,
            engines=engines,
            slots_per_model=sum(slots) / len(slots) / max_models,
        )
        for name, count in targets.items():
            counts.REPLICAS_WANTED.labels(self._group, name).set(count)
        return targets

    def _may_order(self, target: snapshot.Target) -> bool:
        return self._owned_groups.may_send_order(self._group, target.checks_fencing)

    def _has_seen_token(self, target: snapshot.Target, token: int) -> bool:
        """Return whether an engine has seen the own token, if it checks tokens."""
        seen = self._states.states[target.name].fencing_token
        return seen == token or not target.checks_fencing

    def _acquire(self) -> fencing.Ownership | None:
        epoch = self._session.epoch
        if epoch is None or self._clock.monotonic_s() < self._backoff_until_s:
            return None
        reading = self._store.read(fencing.TABLE, self._group)
        if isinstance(reading, result.Err):
            return None
        row = reading.ok_value
        if row is not None and self._is_own(row, epoch) and not self._needs_new_token:
            # Acquired earlier under this epoch, but the answer was lost.
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
        self._needs_new_token = False
        return self._record(epoch, outcome.ok_value)

    def _is_own(self, row: store.Row, epoch: int) -> bool:
        owner = row.value["owner"], row.value["owner_epoch"]
        return owner == (self._daemon, epoch)

    def _may_acquire(self, row: store.Row | None, epoch: int) -> bool:
        if row is not None and self._is_own(row, epoch):
            return self._needs_new_token
        if row is not None and row.value["owner"] != self._daemon:
            self._observe(str(row.value["owner"]), int(row.value["owner_epoch"]))
        return fencing.may_acquire(row, self._daemon, epoch, self._observer)

    def _observe(self, owner: str, epoch: int) -> None:
        """Read the session of the current owner."""
        self._observer.is_expired(owner, epoch)
        started_s = self._clock.monotonic_s()
        if started_s - self._observed_s > 3 * self._settings.interval_s:
            # After a gap, such as a store outage, the owner gets time to renew.
            self._observer.forget(owner)
        reading = self._store.read(lease.TABLE, owner)
        if isinstance(reading, result.Err):
            return
        self._observed_s = self._clock.monotonic_s()
        self._observer.observe(owner, reading.ok_value, started_s, self._observed_s)

    def _record(self, epoch: int, token: int) -> fencing.Ownership | None:
        self._owned_groups.record_acquired(self._group, epoch, token)
        self._acquired_s = self._clock.monotonic_s()
        self._states.forget()
        self._residence = residence.ResidenceTracker()
        self._autoscaler = replicas.ReplicaAutoscaler(self._settings.demand)
        logs.info("group_acquired", group=self._group, number=token, epoch=epoch)
        return self.ownership

    def _lose_group(self, token: int | None) -> None:
        """Give up the group, because an engine has seen a higher token."""
        self._owned_groups.record_lost(self._group)
        self._needs_new_token = True
        now_s = self._clock.monotonic_s()
        self._backoff_until_s = now_s + self._settings.refusal_backoff_s
        logs.warning("group_lost", group=self._group, number=token)

    def _is_ready_to_plan(self, round_input: RoundInput) -> bool:
        """Return whether enough engine states are known to plan."""
        if len(self._states.states) == len(round_input.targets):
            return True
        waited_s = self._clock.monotonic_s() - self._acquired_s
        return waited_s > self._settings.silent_after_s

    def _send_to(
        self,
        target: snapshot.Target,
        orders: abc.Sequence[plans.Order],
        role: str,
        token: int,
    ) -> bool:
        """Send orders in sequence; return whether the token was accepted.

        The role comes first, because it takes effect at once. Without orders the engine
        is sent its current role, which changes nothing but makes it refuse the orders
        of earlier owners. The first failure ends the sequence: the next round reads
        back what took effect.
        """
        client = self._make_client(target)
        is_changed = role != self._states.states[target.name].role
        if is_changed or not orders:
            if not self._may_send(target, token):
                return True
            outcome = client.send_order(token, "set_role", role=role)
            if is_changed:
                counts.record_role(self._group, target.name, role, _describe(outcome))
            if isinstance(outcome, result.Err):
                return not _is_refused(outcome)
        for order in orders:
            if not self._may_send(target, token):
                return True
            self._states.record_sent(target.name, order)
            outcome = client.send_order(token, order.action, **_make_arguments(order))
            counts.record_order(self._group, order, _describe(outcome))
            if _is_refused(outcome):
                return False
            if isinstance(outcome, result.Err):
                self._states.record_unknown(target.name)
                return True
        return True

    def _may_send(self, target: snapshot.Target, token: int) -> bool:
        """Return whether a call would complete before the own term ends."""
        owned = self.ownership
        if owned is None or owned.fencing_token != token:
            return False
        if self._session.compute_remaining_s() <= self._settings.call_timeout_s:
            return False
        return self._owned_groups.may_send_order(self._group, target.checks_fencing)


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
    """Return the outcome label; ``unknown`` means that the answer was lost."""
    if isinstance(outcome, result.Ok):
        return "accepted"
    return "refused" if _is_refused(outcome) else "unknown"
