"""Task that keeps the declared models loaded on the engines."""

from __future__ import annotations

import concurrent.futures
import threading
import typing
from collections import abc

from endivevane import logs, types
from endivevane.cluster import sessions
from endivevane.configuration import snapshot
from endivevane.coordination import clock, rendezvous, store
from endivevane.external import engine, http_pool
from endivevane.orders import counts, demand, orders

# The second-ranked daemon tries to acquire a free group this many rounds after the
# first, so that two daemons rarely compete for it.
_SECOND_CHOICE_ROUNDS = 8


class _SessionView:
    """Adapter from the session of the cluster task to :class:`orders.Session`."""

    def __init__(
        self, read: abc.Callable[[], sessions.Session], view_clock: clock.Clock
    ) -> None:
        self._read = read
        self._clock = view_clock

    @property
    def epoch(self) -> int | None:
        """The epoch in force, ``None`` after the session expired."""
        return self._read().epoch

    def compute_remaining_s(self) -> float:
        """Return the time left in the term, 0 after its expiry."""
        current = self._read()
        if not current.is_valid:
            return 0.0
        return max(0.0, current.expires_s - self._clock.monotonic_s())


class OrdersTask:
    """Thread that sends orders to the engine groups that this daemon owns.

    :param daemon: name of this daemon
    :param read_session: returns this daemon's session
    :param get_snapshot: returns the configuration in force
    :param list_daemons: returns the names of the live daemons
    :param get_leaving: returns the names of VMs that are leaving
    :param get_load_share: returns the used share of an engine's slots
    :param exchange: aggregates the demand of all daemons
    :param send: sends a message to another daemon, given its kind and body
    """

    def __init__(
        self,
        daemon: str,
        settings: orders.OrdersSettings,
        task_clock: clock.Clock,
        table_store: store.TableStore,
        read_session: abc.Callable[[], sessions.Session],
        get_snapshot: abc.Callable[[], snapshot.Snapshot],
        list_daemons: abc.Callable[[], abc.Collection[str]],
        get_leaving: abc.Callable[[], abc.Collection[str]],
        get_load_share: abc.Callable[[str], float] | None = None,
        exchange: demand.DemandExchange | None = None,
        send: abc.Callable[[str, str, dict[str, typing.Any]], None] | None = None,
    ) -> None:
        self._daemon = daemon
        self._settings = settings
        self._clock = task_clock
        self._store = table_store
        self._session = _SessionView(read_session, task_clock)
        self._get_snapshot = get_snapshot
        self._list_daemons = list_daemons
        self._get_leaving = get_leaving
        self._get_load_share = get_load_share or (lambda _name: 0.0)
        self._exchange = exchange
        self._send = send or (lambda _daemon, _kind, _body: None)
        self._owners: dict[str, orders.GroupOwner] = {}
        self._skipped_rounds: dict[str, int] = {}
        self._stopped = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix="orders"
        )
        self._thread = threading.Thread(target=self._run, name="orders", daemon=True)

    def start(self) -> None:
        """Start the rounds."""
        self._thread.start()

    def drain(self, deadline_s: float) -> None:
        """Start no further round.

        :param deadline_s: unused; a round takes only a few calls
        """
        self._stopped.set()

    def stop(self) -> None:
        """Stop the rounds and wait for the calls of the current one."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(self._settings.interval_s):
            try:
                self._run_rounds()
            except Exception as error:
                # A malformed answer must not stop the thread.
                logs.error("orders_round_failed", error=repr(error))

    def _run_rounds(self) -> None:
        current = self._get_snapshot()
        groups = {
            name: service
            for name, service in current.services.items()
            if not service.is_plain
        }
        for name in [name for name in self._owners if name not in groups]:
            del self._owners[name]
        daemons = dict.fromkeys(self._list_daemons(), 1.0)
        if self._exchange is not None:
            for daemon, body in self._exchange.run(daemons, groups):
                self._send(daemon, demand.KIND, body)
        for name, service in groups.items():
            if self._stopped.is_set():
                return
            owner = self._owners.get(name) or self._make_owner(name)
            self._owners[name] = owner
            if owner.ownership is None and not self._is_candidate(name, daemons):
                continue
            owner.run_round(self._make_round_input(current, service, daemons))
        owned = sum(item.ownership is not None for item in self._owners.values())
        counts.GROUPS_OWNED.set(owned)

    def _is_candidate(self, group: str, daemons: abc.Mapping[str, float]) -> bool:
        """Return whether this daemon should try to acquire a group in this round."""
        ranked = rendezvous.choose_subset(group, daemons, 2)
        if self._daemon not in ranked:
            self._skipped_rounds.pop(group, None)
            return False
        if ranked[0] == self._daemon:
            return True
        skipped = self._skipped_rounds.get(group, 0) + 1
        self._skipped_rounds[group] = skipped
        return skipped > _SECOND_CHOICE_ROUNDS

    def _make_owner(self, group: str) -> orders.GroupOwner:
        return orders.GroupOwner(
            group,
            self._daemon,
            self._session,
            self._store,
            self._make_client,
            self._executor,
            self._settings,
            self._clock,
        )

    def _make_client(self, target: snapshot.Target) -> engine.EngineClient:
        return make_client(target.address, self._settings, self._clock)

    def _make_round_input(
        self,
        current: snapshot.Snapshot,
        service: snapshot.Service,
        daemons: abc.Collection[str],
    ) -> orders.RoundInput:
        leaving = frozenset(self._get_leaving())
        owned = _list_targets(current, service)
        targets = [target for target in owned if target.name not in leaving]
        protected = frozenset(
            item.name
            for other in current.services.values()
            if other.name != service.name
            for item in other.model.models
        )
        shares = {target.name: self._get_load_share(target.name) for target in targets}
        demand_slots = None
        if self._exchange is not None:
            demand_slots = self._exchange.compute_slots(service.name, daemons)
        groups = sum(not other.is_plain for other in current.services.values())
        return orders.RoundInput(
            service, targets, protected, demand_slots, shares, groups, len(owned)
        )


def make_client(
    address: types.Address, settings: orders.OrdersSettings, client_clock: clock.Clock
) -> engine.EngineClient:
    """Return a client that sends each order at most once.

    The pool resends a call when a reused connection breaks, so connections are not
    reused: an unanswered order must be read back instead.
    """
    limits = http_pool.PoolSettings(
        connect_timeout_s=settings.call_timeout_s,
        read_timeout_s=settings.call_timeout_s,
        max_idle_connections=0,
    )
    return engine.EngineClient(http_pool.HttpPool(address, limits, client_clock))


def _list_targets(
    current: snapshot.Snapshot, service: snapshot.Service
) -> abc.Sequence[snapshot.Target]:
    """Return the engines that belong to the group of a service.

    An engine listed by several services belongs to the first of them by name: two
    groups have different fencing tokens, and the engine would refuse one of them.
    """
    taken = {
        target.address
        for name, other in current.services.items()
        if name < service.name and not other.is_plain
        for target in other.targets
    }
    return [target for target in service.targets if target.address not in taken]
