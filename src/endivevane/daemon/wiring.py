"""Builds the tasks of a daemon and connects them."""

from __future__ import annotations

import functools
import random
import threading
import typing

from endivevane import logs, metrics, types, utils
from endivevane.batch import api as batch_api
from endivevane.batch import ports, runner
from endivevane.cluster import events, link_shares, tasks
from endivevane.configuration import snapshot
from endivevane.coordination import clock, register
from endivevane.daemon import (
    admin,
    batch_port,
    batch_senders,
    health,
    history,
    load_board,
    orders_settings,
    outcome_flusher,
    quarantine_exchange,
    settings,
)
from endivevane.external import http_pool, link, objects, table, vms
from endivevane.online import (
    at_most_once,
    contract,
    forward,
    front,
    link_budget,
    loads,
    messages,
    plain_targets,
    relay,
    relay_settings,
    routing,
    scheduler,
)
from endivevane.orders import demand as orders_demand
from endivevane.orders import task as orders_task
from endivevane.retention import task as retention_task
from endivevane.web import app, server

# Delay before the server drains, so that an operator's drain request is answered.
_DRAIN_RESPONSE_S = 0.2


class Daemon:
    """All tasks of one daemon.

    :param daemon_settings: the loaded settings file
    :param daemon_clock: clock for all tasks
    """

    def __init__(
        self, daemon_settings: settings.Settings, daemon_clock: clock.Clock
    ) -> None:
        self._settings = daemon_settings
        self._clock = daemon_clock
        self._is_draining = False
        self._daemon_count: int | None = None
        section = daemon_settings.daemon
        self._place = routing.Place(section.name, section.zone, section.region)
        self._leaving: frozenset[str] = frozenset()
        self._stop_requested = threading.Event()
        self._stopped = threading.Event()
        self._build_platform()
        self._build_cluster()
        self._build_online()
        self._build_plain()
        self._build_batch()
        self._build_orders()
        self._build_retention()
        self._build_server()

    def start(self) -> None:
        """Start all tasks; the HTTP server last."""
        self.cluster.subscribe(self._handle_event)
        self.relay.start()
        self._quarantine.start()
        self.cluster.start()
        self._loads.start()
        self._runner.start()
        self._orders.start()
        if self._settings.retention.enabled:
            self._retention.start()
        self._flusher.start()
        self._server.start()
        logs.info(
            "daemon_started",
            daemon=self._settings.daemon.name,
            zone=self._settings.daemon.zone,
            listen=self._server.address,
        )

    def request_stop(self) -> None:
        """Request a graceful shutdown, without waiting for it."""
        self._stop_requested.set()

    def wait_stop_requested(self, timeout_s: float) -> bool:
        """Wait for a shutdown request; return whether there was one."""
        return self._stop_requested.wait(timeout_s)

    def run_planned_stop(self) -> bool:
        """Drain all work and stop all tasks.

        Reports not ready first, so that the load balancer opens no new connections,
        then refuses new work and waits for requests in flight.

        :returns: whether every request was completed
        """
        drain = self._settings.drain
        self._is_draining = True
        logs.info("drain_started", grace_s=drain.grace_s, timeout_s=drain.timeout_s)
        deadline_s = self._clock.monotonic_s() + drain.grace_s + drain.timeout_s
        self.cluster.drain(deadline_s)
        self._orders.drain(deadline_s)
        self._stopped.wait(max(drain.grace_s, _DRAIN_RESPONSE_S))
        self._server.begin_drain()
        batch_stop = threading.Thread(
            target=self._runner.drain, args=(drain.timeout_s,), name="batch-drain"
        )
        batch_stop.start()
        is_answered = self._server.drain(deadline_s)
        is_finished = self.relay.drain(deadline_s) and is_answered
        batch_stop.join()
        self._stop_tasks()
        logs.info("drain_ended", finished=is_finished)
        return is_finished

    def list_unready_reasons(self) -> list[str]:
        """Return the reasons why the daemon is not ready."""
        reasons = []
        if self._is_draining:
            reasons.append("the daemon is stopping")
        if not self.cluster.is_ready():
            reasons.append("the configuration is not known to be current")
        return reasons

    def _build_platform(self) -> None:
        platform = self._settings.platform
        limits = http_pool.PoolSettings(
            read_timeout_s=platform.timeout_s,
            response_timeout_s=platform.response_timeout_s,
            max_response_bytes=platform.max_response_bytes,
        )
        is_remote = platform.region not in ("", self._settings.daemon.region)
        self._shares = link_shares.LinkShares(
            self._settings.daemon.name, self._clock, lambda: self._link.measure_need()
        )
        self._link = link_budget.LinkBudget(
            self._clock, self._shares.compute_share, self._shares.compute_even_share
        )
        share = link.LinkShare(
            self._clock, self._link.compute_bulk_rate, self._link.note_short
        )
        charge = self._link.charge

        def make_pool(
            address: str, purpose: str, link_share: link.LinkShare | None = None
        ) -> http_pool.HttpPool:
            parsed = types.parse_address(address)
            if is_remote:
                return link.LinkPool(
                    parsed, limits, purpose, link_share, charge if link_share else None
                )
            return http_pool.HttpPool(parsed, limits, self._clock)

        self._table = table.TableClient(make_pool(platform.table_service, "store"))
        self._objects = objects.ObjectClient(
            make_pool(platform.object_store, "batch", share)
        )
        self._vms = vms.VmListClient(make_pool(platform.vm_list, "control"))

    def _build_cluster(self) -> None:
        self.cluster = tasks.ClusterTask(
            self._settings, self._clock, self._table, self._vms, shares=self._shares
        )
        self._port = batch_port.ClusterPort(self.cluster, self._table, self._clock)
        self._senders = batch_senders.BatchSenders(self._port.live_members)
        self._history = history.RequestHistory(self._clock)
        logs.add_observer(self._history.observe)

    def _build_online(self) -> None:
        online_scheduler = scheduler.Scheduler(
            self._place,
            self._clock,
            random.Random(),
            count_daemons=self._count_daemons,
            link=self._link,
        )
        self._demand = orders_demand.DemandExchange(
            self._place.daemon, self._clock, online_scheduler.demand.read, self._table
        )
        self.relay = relay.RelayTask(
            relay_settings.RelaySettings(max_streams=self._settings.limits.max_streams),
            self._clock,
            online_scheduler,
            self._publish,
        )
        self._quarantine = quarantine_exchange.QuarantineExchange(
            self._clock, self._table, self.cluster.broadcast, self.relay.post
        )
        self._load_table = load_board.LoadTable(self.relay.post)
        self._loads = loads.LoadsTask(
            self._place,
            loads.LoadsSettings(),
            self._clock,
            self._get_snapshot,
            self._load_table.post,
            get_further_targets=self._list_batch_targets,
            count_daemons=self._count_daemons,
        )

    def _build_plain(self) -> None:
        self._plain = plain_targets.PlainTargets(
            self._place,
            self._clock,
            random.Random(),
            count_daemons=self._count_daemons,
            budget=self._link,
        )
        call_register = register.Register(
            self._table, lambda: utils.make_id("register")
        )
        keeper = at_most_once.OutcomeKeeper(call_register, self._objects)
        self._forwarder = forward.Forwarder(
            self._plain,
            call_register,
            keeper,
            self._clock,
            self._settings.limits.max_request_bytes,
        )
        self._flusher = outcome_flusher.OutcomeFlusher(call_register, keeper)

    def _build_batch(self) -> None:
        self._runner = runner.BatchRunner(
            self._settings.batch,
            self._table,
            self._objects,
            self._port,
            self._load_table,
            self._clock,
            self._quarantine,
        )
        self._batch_api = batch_api.BatchApi(
            self._table,
            self._objects,
            self._clock,
            self._settings.limits.max_upload_bytes,
            self._runner.notify_cancelled,
        )

    def _build_orders(self) -> None:
        self._orders = orders_task.OrdersTask(
            self._settings.daemon.name,
            orders_settings.make_settings(
                self._settings.orders, self._settings.session.term_s
            ),
            self._clock,
            self._table,
            self.cluster.session,
            self._get_snapshot,
            self._list_daemon_names,
            lambda: self._leaving,
            self._load_table.find_load_share,
            self._demand,
            self.cluster.send,
        )

    def _build_retention(self) -> None:
        self._retention = retention_task.RetentionTask(
            self._settings.daemon.name,
            self._settings.retention.interval_s,
            self._table,
            self._objects,
            self._clock,
            self._get_snapshot,
            self._list_daemon_names,
            self.cluster.is_ready,
        )

    def _list_daemon_names(self) -> list[str]:
        return [item.name for item in self._port.live_members()]

    def _build_server(self) -> None:
        limits = self._settings.limits
        dependencies = admin.AdminDependencies(
            settings=self._settings,
            cluster=self.cluster,
            loads=self._load_table,
            history=self._history,
            count_streams=lambda: self.relay.open_streams,
            get_leaving=lambda: self._leaving,
            get_unready_reasons=self.list_unready_reasons,
            request_drain=self.request_stop,
        )
        routes = [
            *front.routes(self.relay, self._clock),
            *self._forwarder.routes(),
            *self._batch_api.routes(),
            *admin.AdminApi(dependencies).routes(),
            *health.routes(self.list_unready_reasons),
        ]
        application = app.Application(
            routes, self._get_snapshot, limits.max_request_bytes
        )
        server_settings = server.ServerSettings(
            listen=types.parse_address(self._settings.daemon.listen),
            worker_threads=self._settings.daemon.worker_threads,
            max_connections=limits.max_connections,
            max_body_bytes=limits.max_request_bytes,
            max_upload_bytes=limits.max_upload_bytes,
        )
        self._server = server.HttpServer(server_settings, application)

    def _get_snapshot(self) -> snapshot.Snapshot:
        return self.cluster.snapshot

    @functools.singledispatchmethod
    def _handle_event(self, event: events.Event) -> None:
        """Forward a cluster event to the other tasks; runs on the cluster thread."""

    @_handle_event.register
    def _(self, event: events.ConfigurationChanged) -> None:
        metrics.CONFIG_REVISION.set(event.snapshot.revision)
        self.relay.post(messages.SnapshotChanged(event.snapshot))

    @_handle_event.register
    def _(self, event: events.MembersChanged) -> None:
        self._senders.clear()
        self._daemon_count = None

    @_handle_event.register
    def _(self, event: events.VmsChanged) -> None:
        self._leaving = event.leaving
        self.relay.post(messages.TargetsLeaving(event.leaving))
        self._plain.set_leaving(event.leaving)
        self._loads.set_leaving(event.leaving)

    @_handle_event.register
    def _(self, event: events.PeerMessage) -> None:
        if event.kind == "quarantine":
            self._quarantine.receive(event.body)
        if event.kind == orders_demand.KIND:
            self._demand.receive(event.sender, event.body)

    def _count_daemons(self) -> int:
        """Return the number of alive daemons; cached, as each decision reads it."""
        if self._daemon_count is None:
            self._daemon_count = max(1, len(self._port.live_members()))
        return self._daemon_count

    @functools.singledispatchmethod
    def _publish(self, message: object) -> None:
        """Send a message of the relay to the daemons that it concerns."""
        raise TypeError(f"relay published an unsupported message: {message!r}")

    @_publish.register
    def _(self, message: messages.QuarantineChanged) -> None:
        self._quarantine.publish(message)

    @_publish.register
    def _(self, message: contract.UseNotice) -> None:
        body = {"target": message.target.name, "in_flight": message.in_flight}
        self._notify_sender(message.target, ports.ONLINE_USE, body)

    @_publish.register
    def _(self, message: contract.YieldRequest) -> None:
        body = {"target": message.target.name, "slots": message.slots}
        self._notify_sender(message.target, ports.YIELD_SLOTS, body)

    def _notify_sender(
        self, target: snapshot.Target, kind: str, body: dict[str, typing.Any]
    ) -> None:
        """Send a message to the batch sender of a target, which may be this daemon."""
        sender = self._senders.find(target)
        if sender == self._settings.daemon.name:
            self._port.deliver(sender, kind, body)
        elif sender is not None:
            self.cluster.send(sender, kind, body)

    def _list_batch_targets(self) -> list[snapshot.Target]:
        """Return the engines that this daemon sends batch items to."""
        name = self._settings.daemon.name
        return self._senders.list_targets(name, self.cluster.snapshot)

    def _stop_tasks(self) -> None:
        self._stopped.set()
        self._flusher.stop()
        self._retention.stop()
        self._quarantine.stop()
        self._orders.stop()
        self._loads.stop()
        self._runner.stop()
        self.relay.stop()
        self._server.stop()
        self.cluster.stop()
