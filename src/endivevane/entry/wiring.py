"""Putting the daemon's tasks together."""

from __future__ import annotations

import asyncio
import pathlib
import random
import secrets
import signal
import time

from endivevane import exceptions, logs, metrics, types
from endivevane.entry import (
    health_endpoints,
    membership,
    process_pause,
    settings,
    settings_reload,
    store_endpoints,
)
from endivevane.platform import (
    headers,
    job_codec,
    records,
    store_relay,
    table_store,
)
from endivevane.serving import (
    admission,
    batch_slots,
    coordinator,
    follower,
    http_client,
    http_server,
    job_api,
    job_changes,
    job_reader,
    job_registry,
    job_runner,
    job_sweeper,
    job_takeover,
    jobs,
    load_table,
    model,
    newest_version,
    online_service,
    peer_registry,
    peers,
    request_router,
    routing_table,
    slot_client,
    slot_queue,
    slot_registry,
    store,
    target_client,
    target_registry,
    target_selection,
)

# A connection between regions takes two round trips of 40 ms.
_CONNECT_TIMEOUT_S = 0.35
# The platform stops sending clients about this long after the first refusal.
_LEAVE_ROTATION_S = 2.6
# What a planned stop leaves of the grace before the process is killed.
_GRACE_MARGIN_S = 1.2
_STOP_LOOK_S = 0.05
_INTERNAL_LIMITS = model.ClientLimits(
    max_body_bytes=16 << 20, header_timeout_s=3.0, idle_timeout_s=60.0
)
_EXPIRY_LOOK_S = 0.5
# A daemon that has just started, or stood still, hears what the others hold in this
# time.
_SETTLE_S = 0.5
# Changes of jobs are collected for this long, so that a result does not cost a call
# at each daemon; operators' changes and those of targets are taken in at once.
_STATE_PAUSE_S = 0.3


class EntryDaemon:
    """Owns the tasks of one daemon on the platform."""

    def __init__(self, path: pathlib.Path, loaded: settings.Settings) -> None:
        self._settings = loaded
        self._path = path
        self._generator = random.Random(secrets.randbits(64))
        self._identity = peer_registry.Identity(
            name=loaded.vm.name,
            region=loaded.vm.region,
            incarnation=secrets.token_hex(4),
            host=loaded.vm.ip,
            port=loaded.listen.internal_port,
            weight=loaded.vm.processor_share,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_asked = asyncio.Event()
        self._is_stopping = False
        self._board = load_table.LoadTable()
        self._newest = newest_version.NewestVersion()
        self._roster = peer_registry.PeerRegistry(self._identity)
        self._book_of_places = slot_registry.SlotRegistry(self._board)
        self._network = peers.PeerNetwork(
            self._identity,
            self._roster,
            self._board,
            self._newest,
            self._book_of_places,
            self._on_report,
        )
        self._network.set_seeds(
            (types.parse_address(seed).host, self._identity.port)
            for seed in self._settings.peers.seeds
        )
        self._make_store()
        self._make_targets()
        self._make_jobs()
        self._make_servers()

    async def run(self) -> None:
        """Serve until a planned stop is over."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked.set)
        watch = settings_reload.SettingsWatch(
            self._path, self._settings, self._apply_settings
        )
        loop.add_signal_handler(signal.SIGHUP, watch.request)
        await self._listen()
        logs.info(
            "daemon_started",
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            zone=self._settings.vm.availability_zone,
        )
        for job in (
            self._targets_feed.run(),
            self._configuration_feed.run(),
            self._state_feed.run(),
            self._network.run(),
            self._runner.run(),
            self._claims.run(),
            self._sweeper.run(),
            self._members.join(),
            self._drop_expired(),
            watch.run(),
            process_pause.watch_process_pauses(self._note_standstill),
        ):
            self._tasks.append(asyncio.ensure_future(job))
        await self._stop_asked.wait()
        await self._stop()

    def _make_store(self) -> None:
        self._endpoints = store_endpoints.StoreEndpoints(
            self._settings, self._roster, self._generator
        )
        self._store_pool = http_client.ConnectionPool(_CONNECT_TIMEOUT_S)
        self._store = table_store.TableStore(self._store_pool, self._endpoints.list_all)
        self._members = membership.Membership(self._identity, self._roster, self._store)
        self._book = job_registry.JobRegistry()
        self._state_feed = follower.TableFollower(
            self._store,
            jobs.STATE_TABLE,
            jobs.PARTITION,
            self._on_state_row,
            coalesce_s=_STATE_PAUSE_S,
            on_loaded=self._settle_when_known,
            newest=self._newest,
        )
        self._targets_feed = follower.TableFollower(
            self._store,
            records.TARGETS_TABLE,
            "",
            lambda row: self._directory.apply(row, time.monotonic()),
            lambda: self._directory.record_store_recovery(time.monotonic()),
            on_loaded=self._open_when_known,
        )
        self._configuration_feed = follower.TableFollower(
            self._store, records.CONFIGURATION_TABLE, "", self._on_operator_row
        )

    def _make_targets(self) -> None:
        vm = self._settings.vm
        self._directory = target_registry.TargetRegistry(records.decode_target)
        location = target_selection.Location(
            vm.availability_zone, vm.region, dict(self._settings.regions)
        )
        self._choices = target_selection.TargetSelector(
            location,
            self._directory,
            self._board,
            self._generator,
        )
        queue = slot_queue.SlotQueue(self._choices, self._board, self._generator)
        self._client = slot_client.SlotClient(
            self._identity,
            vm.availability_zone,
            self._roster,
            self._directory,
            self._book_of_places,
            self._network.send_slot_message,
        )
        self._network.connect(
            self._client,
            coordinator.Coordinator(
                self._directory,
                self._board,
                queue,
                self._choices,
                self._network.send_slot_message,
            ),
        )
        self._places = admission.Admission(queue, self._book_of_places, self._client)
        self._codec = headers.HeaderCodec()
        self._caller = target_client.TargetClient(
            http_client.ConnectionPool(_CONNECT_TIMEOUT_S),
            self._codec,
            self._directory.record_draining,
        )
        self._directory.add_removal_callback(self._caller.forget)

    def _make_jobs(self) -> None:
        self._changes = job_changes.JobChanges(
            self._store, self._state_feed, self._book, self._identity.owner
        )
        self._reader = job_reader.JobReader(
            self._book, self._changes, lambda: self._network.propagation_s
        )
        self._runner = job_runner.JobRunner(
            job_runner.RunnerDependencies(
                targets=self._directory,
                load_table=self._board,
                choices=self._choices,
                slots=batch_slots.BatchSlots(
                    self._choices, self._board, self._book_of_places, self._client
                ),
                caller=self._caller,
                row_store=self._store,
                changes=self._changes,
                reader=self._reader,
                routes=lambda: self._front_door.table,
                encode_headers=self._codec.encode_item_headers,
                generator=self._generator,
                owner=self._identity.owner,
            )
        )
        self._book.call_when_changed(self._runner.apply_change)
        self._client.set_batch_callbacks(self._runner.wake, self._runner.preempt_slot)
        self._claims = job_takeover.JobTakeover(
            self._identity,
            self._roster,
            self._state_feed,
            self._book,
            self._changes,
            self._runner,
        )
        self._sweeper = job_sweeper.JobSweeper(
            self._store,
            self._book,
            self._roster,
            self._identity.name,
            self._settings.retention.job_s,
        )

    def _make_servers(self) -> None:
        online = online_service.OnlineService(
            self._directory, self._board, self._places, self._caller, self._generator
        )
        codec = job_codec.JobCodec()
        batch = job_api.JobApi(codec, self._changes, self._reader, self._runner)
        self._front_door = request_router.RequestRouter(online, batch, codec)
        relay = store_relay.StoreRelay(
            self._store_pool,
            lambda: self._endpoints.store,
            (
                (records.CONFIGURATION_TABLE, self._configuration_feed),
                (records.TARGETS_TABLE, self._targets_feed),
            ),
        )
        self._clients = http_server.Server(
            self._codec, self._front_door.handle, self._find_limits
        )
        self._internal = http_server.Server(
            self._codec, relay.handle, lambda: _INTERNAL_LIMITS
        )
        self._readiness = http_server.Server(
            self._codec,
            health_endpoints.make_readiness(lambda: self._is_ready),
            lambda: _INTERNAL_LIMITS,
        )
        self._metrics = http_server.Server(
            self._codec, health_endpoints.answer_metrics, lambda: _INTERNAL_LIMITS
        )

    async def _listen(self) -> None:
        listen = self._settings.listen
        clients = types.parse_address(listen.clients)
        readiness = types.parse_address(listen.readiness)
        ip = self._settings.vm.ip
        await self._clients.listen(clients.host, clients.port)
        await self._readiness.listen(readiness.host, readiness.port)
        await self._internal.listen(ip, listen.internal_port)
        await self._metrics.listen(ip, listen.metrics_port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self._network, local_addr=(ip, listen.internal_port)
        )

    def _find_limits(self) -> model.ClientLimits:
        table = self._front_door.table
        return model.ClientLimits() if table is None else table.configuration.limits

    def _apply_settings(self, loaded: settings.Settings) -> None:
        self._settings = loaded
        logs.set_level(loaded.log.level)
        self._endpoints.apply_settings(loaded)

    def _on_operator_row(self, row: store.Row) -> None:
        if row.row_key.key != records.CONFIGURATION_KEY or row.value is None:
            return
        try:
            configuration = records.decode_configuration(row.value)
        except exceptions.ProtocolError as error:
            logs.error("configuration_unusable", version=row.version, cause=error)
            return
        self._front_door.table = routing_table.RoutingTable(configuration)
        self._open_when_known()
        metrics.CONFIG_REVISION.set(configuration.version)
        logs.info(
            "configuration_in_force",
            version=configuration.version,
            row_version=row.version,
            routes=len(configuration.routes),
        )

    def _open_when_known(self) -> None:
        """Let requests in once the configuration and the targets are known."""
        if self._front_door.table is not None and self._targets_feed.is_loaded:
            self._front_door.is_ready.set()

        self._settle_when_known()

    def _settle_when_known(self) -> None:
        """Coordinate the region, if it comes to that, once this daemon knows enough."""
        is_known = self._front_door.is_ready.is_set() and self._state_feed.is_loaded
        if is_known and self._roster.warmed_up_s == float("inf"):
            self._roster.warmed_up_s = time.monotonic() + _SETTLE_S

    def _note_standstill(self) -> None:
        """Hear of the others anew before anything is decided for them."""
        self._claims.record_process_pause()
        self._roster.warmed_up_s = time.monotonic() + _SETTLE_S

    def _on_state_row(self, row: store.Row) -> None:
        key = row.row_key.key
        if key.startswith(jobs.JOB_PREFIX):
            self._book.apply(row)
        elif key.startswith(jobs.MEMBER_PREFIX):
            self._members.apply(row)

    def _on_report(self) -> None:
        self._places.dispatch()
        self._runner.wake()

    async def _drop_expired(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_LOOK_S)
            self._directory.drop_expired(time.monotonic())

    @property
    def _is_ready(self) -> bool:
        return not self._is_stopping and self._front_door.is_ready.is_set()

    async def _stop(self) -> None:
        """Leave the rotation, hand back batch work, and finish what was begun."""
        began_s = time.monotonic()
        self._is_stopping = True
        self._clients.is_stopping = True
        logs.info("daemon_stopping", busy=self._clients.active_connections)
        self._network.announce_stop()
        self._changes.stop_owning()
        handing_back = asyncio.ensure_future(self._runner.release_jobs())
        last_s = began_s + self._settings.stopping.grace_s - _GRACE_MARGIN_S
        await asyncio.sleep(_LEAVE_ROTATION_S)
        # Nothing new is taken from here on: handing back may wait for the store until
        # the end, which would cut what is begun meanwhile.
        self._clients.close_listener()
        while time.monotonic() < last_s:
            self._clients.close_idle()
            await asyncio.sleep(_STOP_LOOK_S)
            if not self._clients.active_connections and handing_back.done():
                break
        logs.info(
            "daemon_stopped",
            cut=self._clients.active_connections,
            took_ms=int((time.monotonic() - began_s) * 1000),
        )
        for task in self._tasks:
            task.cancel()
