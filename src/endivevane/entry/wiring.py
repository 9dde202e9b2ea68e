"""Assembly of the daemon from its components."""

from __future__ import annotations

import asyncio
import pathlib
import random
import secrets
import signal
import socket
import time

from endivevane import logs, types
from endivevane.entry import (
    configuration_rows,
    copy_endpoints,
    early_listener,
    feeds,
    graceful_stop,
    internal_servers,
    membership,
    settings,
    settings_reload,
    state_rows,
    store_endpoints,
)
from endivevane.locality import assembly as locality_assembly
from endivevane.locality import location
from endivevane.organisations import identification
from endivevane.platform import (
    headers,
    job_codec,
    records,
    store_relay,
    table_store,
)
from endivevane.quarantine import exchange as quarantine_exchange
from endivevane.quarantine import rows as quarantine_rows
from endivevane.quarantine import service as quarantine_service
from endivevane.quotas import service as quota_service
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    admission,
    batch_slots,
    connection_limiter,
    coordinator,
    feed_readers,
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
    memory_budget,
    model,
    newest_version,
    online_service,
    peer_registry,
    peers,
    process_pauses,
    request_matching,
    request_reader,
    request_router,
    runner_dependencies,
    slot_client,
    slot_queue,
    slot_registry,
    store,
    store_clock,
    target_client,
    target_registry,
    target_selection,
)
from endivevane.stream_versions import assembly as stream_versions_assembly

# A connection between regions takes two round trips of 40 ms.
_CONNECT_TIMEOUT_S = 0.35
# Within this time after a start or a process pause, a daemon has the others' reports of
# the slots that they hold.
_WARM_UP_S = 0.5
# Job changes are coalesced for this long, so that a result does not cost a call at each
# daemon; changes of the configuration and of targets are applied at once.
_STATE_COALESCE_S = 0.3


class EntryDaemon:
    """Builds the components of one daemon and runs its tasks."""

    def __init__(self, path: pathlib.Path, loaded: settings.Settings) -> None:
        self._settings = loaded
        self._path = path
        self._generator = random.Random(secrets.randbits(64))
        self._identity = membership.make_identity(loaded)
        self._tasks: list[asyncio.Task[None]] = []
        self._stop_requested = asyncio.Event()
        self._is_stopping = False
        self._pauses = process_pauses.ProcessPauses()
        self._load_table = load_table.LoadTable()
        self._newest = newest_version.NewestVersion()
        self._peer_registry = peer_registry.PeerRegistry(self._identity)
        self._slot_registry = slot_registry.SlotRegistry(self._load_table)
        self._network = peers.PeerNetwork(
            self._identity,
            self._peer_registry,
            self._load_table,
            self._newest,
            self._slot_registry,
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
        self._feeds.export_ages()

    async def run(self, listener: socket.socket | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        :param listener: listener for clients, ``None`` to open one
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        watch = settings_reload.SettingsWatch(
            self._path, self._settings, self._apply_settings
        )
        loop.add_signal_handler(signal.SIGHUP, watch.request)
        await self._listen(listener)
        logs.info(
            "daemon_started",
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            zone=self._settings.vm.availability_zone,
        )
        for job in (
            self._follow_tables(),
            self._network.run(),
            self._runner.run(),
            self._takeover.run(),
            self._sweeper.run(),
            self._versions.run(),
            self._quarantine.run(),
            self._limits.run(),
            self._quotas.run(),
            self._membership.join(),
            self._target_registry.run_expiry(),
            watch.run(),
            self._pauses.watch(),
        ):
            self._tasks.append(asyncio.ensure_future(job))
        await self._stop_requested.wait()
        await self._stop()

    async def _follow_tables(self) -> None:
        """Follow the tables, once the daemons that keep copies of them are known."""
        tables = self._feeds
        await self._membership.load(tables.state.apply_row)
        await asyncio.gather(
            tables.configuration.run(), tables.targets.run(), tables.state.run()
        )

    def _make_store(self) -> None:
        self._readers = feed_readers.FeedReaders(self._identity, self._peer_registry)
        self._endpoints = store_endpoints.StoreEndpoints(
            self._settings, self._peer_registry, self._generator
        )
        self._store_pool = http_client.ConnectionPool(
            _CONNECT_TIMEOUT_S, self._make_budget("store")
        )
        self._store_clock = store_clock.StoreClock()
        self._store = table_store.TableStore(
            self._store_pool, self._endpoints.list_all, self._store_clock
        )
        self._membership = membership.Membership(
            self._identity, self._peer_registry, self._store
        )
        self._job_registry = job_registry.JobRegistry()
        state = follower.TableFollower(
            self._make_followed_store(),
            jobs.STATE_TABLE,
            jobs.PARTITION,
            lambda row: self._state_rows.apply(row),
            coalesce_s=_STATE_COALESCE_S,
            on_loaded=self._start_warm_up_when_loaded,
            newest=self._newest,
        )
        targets = follower.TableFollower(
            self._make_followed_store(),
            records.TARGETS_TABLE,
            "",
            lambda row: self._target_registry.apply(row, time.monotonic()),
            lambda: self._target_registry.record_store_recovery(time.monotonic()),
            on_loaded=self._open_when_loaded,
        )
        configuration = follower.TableFollower(
            self._make_followed_store(has_polls=True),
            records.CONFIGURATION_TABLE,
            "",
            self._on_configuration_row,
            find_poll_wait_s=self._find_configuration_wait_s,
        )
        self._feeds = feeds.Feeds(configuration, targets, state)

    def _make_followed_store(self, has_polls: bool = False) -> table_store.TableStore:
        """Return the store for a table that the region's readers keep a copy of.

        :param has_polls: whether they are polled for changes too
        """
        copies = copy_endpoints.CopyEndpoints(self._endpoints, self._readers)
        return table_store.TableStore(
            self._store_pool,
            copies.list_all if has_polls else self._endpoints.list_all,
            self._store_clock,
            copies.list_all,
        )

    def _make_targets(self) -> None:
        vm, regions = self._settings.vm, dict(self._settings.regions)
        self._target_registry = target_registry.TargetRegistry(records.decode_target)
        place = location.Location(vm.availability_zone, vm.region, regions)
        self._limits = rate_limits.RateLimits(
            self._identity,
            self._peer_registry,
            self._target_registry,
            place.regions.get,
            self._network.send_message,
        )
        self._limits.call_when_changed(self._on_limits_changed)
        self._versions = stream_versions_assembly.StreamVersionParts(
            self._identity,
            self._peer_registry,
            self._target_registry,
            self._store,
            self._store_clock,
            lambda: self._router.list_stream_services(),
            self._open_when_loaded,
        )
        self._versions.follow(self._feeds.state.age, self._feeds.targets.age)
        locality = locality_assembly.LocalityParts(
            self._settings.locality, place, self._target_registry, self._load_table
        )
        self._target_selector = target_selection.TargetSelector(
            place,
            self._target_registry,
            self._load_table,
            self._limits,
            self._generator,
            locality.holds,
            locality.distances,
        )
        queue = slot_queue.SlotQueue(
            self._target_selector, self._load_table, self._generator
        )
        self._slot_client = slot_client.SlotClient(
            self._identity,
            vm.availability_zone,
            self._peer_registry,
            self._target_registry,
            self._slot_registry,
            self._network.send_message,
        )
        self._quarantine = quarantine_service.QuarantineService(
            vm.region,
            quarantine_exchange.QuarantineExchange(
                self._identity, self._peer_registry, self._network.send_message
            ),
            quarantine_rows.QuarantineRows(self._store),
            self._generator,
            self._target_registry.record_ended,
        )
        self._state_rows = state_rows.StateRows(
            self._job_registry, self._membership, self._quarantine, self._versions
        )
        self._coordinator = coordinator.Coordinator(
            self._target_registry,
            self._load_table,
            queue,
            self._target_selector,
            self._network.send_message,
        )
        self._quotas = quota_service.Quotas(
            self._identity,
            self._peer_registry,
            self._settings.quotas,
            self._pauses,
            lambda name: self._router.find_organisation(name),
            lambda: self._router.has_quotas(),
            self._network.send_message,
        )
        self._network.connect(
            self._slot_client,
            self._coordinator,
            self._quarantine,
            self._limits,
            self._quotas,
        )
        self._admission = admission.Admission(
            queue, self._slot_registry, self._slot_client
        )
        self._codec = headers.HeaderCodec()
        self._target_client = target_client.TargetClient(
            http_client.ConnectionPool(
                _CONNECT_TIMEOUT_S, self._make_budget("targets")
            ),
            self._codec,
            self._target_registry.record_draining,
            self._limits,
            locality.traffic,
        )
        self._target_registry.add_removal_callback(self._target_client.forget)

    def _make_jobs(self) -> None:
        self._changes = job_changes.JobChanges(
            self._store, self._feeds.state, self._job_registry, self._identity.owner
        )
        self._reader = job_reader.JobReader(self._job_registry, self._changes)
        self._runner = job_runner.JobRunner(
            runner_dependencies.RunnerDependencies(
                targets=self._target_registry,
                load_table=self._load_table,
                choices=self._target_selector,
                slots=batch_slots.BatchSlots(
                    self._target_selector,
                    self._load_table,
                    self._slot_registry,
                    self._slot_client,
                ),
                caller=self._target_client,
                row_store=self._store,
                changes=self._changes,
                reader=self._reader,
                routes=lambda: self._router.table,
                encode_headers=self._codec.encode_item_headers,
                decode_segments=self._codec.decode_item_segments,
                quarantine=self._quarantine,
                generator=self._generator,
                owner=self._identity.owner,
                count_daemons=lambda: len(self._peer_registry.list_active()),
            )
        )
        self._job_registry.call_when_changed(self._runner.apply_change)
        self._slot_client.set_batch_callbacks(
            self._runner.wake, self._runner.preempt_slot
        )
        self._takeover = job_takeover.JobTakeover(
            self._identity,
            self._peer_registry,
            self._feeds.state,
            self._job_registry,
            self._changes,
            self._runner,
            self._pauses,
        )
        self._pauses.call_after(self._on_process_pause)
        self._sweeper = job_sweeper.JobSweeper(
            self._store,
            self._job_registry,
            self._peer_registry,
            self._identity.name,
            self._settings.retention.job_s,
        )

    def _make_servers(self) -> None:
        online = online_service.OnlineService(
            self._target_registry,
            self._load_table,
            self._admission,
            self._target_client,
            self._quarantine,
            self._limits,
            self._versions.service,
            self._generator,
        )
        bounds = request_reader.ClientBounds(self._settings.clients)
        codec = job_codec.JobCodec()
        batch = job_api.JobApi(
            codec, self._changes, self._reader, self._runner, bounds.turns
        )
        identifier = identification.Identification(self._settings.keys)
        matcher = request_matching.RequestMatcher(codec, self._job_registry)
        self._router = request_router.RequestRouter(
            online, batch, matcher, identifier, self._quotas
        )
        self._router.follow(self._feeds.configuration.age)
        relay = store_relay.StoreRelay(
            self._store_pool,
            lambda: self._endpoints.store,
            self._feeds.list_relayed(),
            self._feeds.list_copied(self._readers.is_reader),
        )
        budget = memory_budget.MemoryBudget(
            "callers", self._settings.vm.memory_bytes, weighs_stalls=True
        )
        self._client_server = http_server.Server(
            self._codec,
            self._router.handle,
            self._get_limits,
            budget,
            bounds,
            connection_limiter.make_limiter(self._settings.clients),
        )
        self._internal_servers = internal_servers.InternalServers(
            self._codec, relay.handle, lambda: self._is_ready, budget, bounds
        )

    def _make_budget(self, purpose: str) -> memory_budget.MemoryBudget:
        return memory_budget.MemoryBudget(purpose, self._settings.vm.memory_bytes)

    async def _listen(self, listener: socket.socket | None) -> None:
        listen = self._settings.listen
        clients = types.parse_address(listen.clients)
        ip = self._settings.vm.ip
        if listener is not None and not early_listener.is_bound_to(
            listener, clients.host, clients.port
        ):
            # The settings have changed since it was opened.
            listener.close()
            listener = None
        await self._client_server.listen(clients.host, clients.port, listener)
        await self._internal_servers.listen(listen, ip)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._network, local_addr=(ip, listen.internal_port)
        )

    def _get_limits(self) -> model.ClientLimits:
        table = self._router.table
        return model.ClientLimits() if table is None else table.configuration.limits

    def _apply_settings(self, loaded: settings.Settings) -> None:
        self._settings = loaded
        logs.set_level(loaded.log.level)
        self._endpoints.apply_settings(loaded)

    def _find_configuration_wait_s(self) -> float:
        """Return how long a poll of the configuration may be held."""
        return self._settings.keys.find_poll_wait_s(
            self._readers.find_poll_wait_s(follower.POLL_WAIT_S)
        )

    def _on_configuration_row(self, row: store.Row) -> None:
        if row.row_key.key != records.CONFIGURATION_KEY or row.value is None:
            return
        table = configuration_rows.decode_routes(row.value, row.version)
        if table is not None:
            if self._router.table is not None:
                table.keep_former(self._router.table, time.monotonic())
            self._router.table = table
            self._open_when_loaded()

    def _open_when_loaded(self) -> None:
        """Accept requests once configuration, targets and version plans are loaded."""
        is_loaded = self._feeds.targets.is_loaded and self._versions.is_loaded
        if self._router.table is not None and is_loaded:
            self._router.is_ready.set()
        self._start_warm_up_when_loaded()

    def _start_warm_up_when_loaded(self) -> None:
        """Schedule the end of the warm-up once all tables are loaded."""
        is_known = self._router.is_ready.is_set() and self._feeds.state.is_loaded
        if is_known and self._peer_registry.warmed_up_s == float("inf"):
            self._peer_registry.warmed_up_s = time.monotonic() + _WARM_UP_S

    def _on_process_pause(self) -> None:
        """Warm up again before any decision about others, whose state may be stale."""
        self._limits.record_process_pause()
        self._quotas.record_process_pause()
        self._peer_registry.warmed_up_s = time.monotonic() + _WARM_UP_S

    def _on_report(self) -> None:
        self._admission.dispatch()
        self._runner.wake()

    def _on_limits_changed(self) -> None:
        """Use a token that has come, or a target that has a limit no longer."""
        self._coordinator.grant_free_slots(time.monotonic())
        self._on_report()

    @property
    def _is_ready(self) -> bool:
        return not self._is_stopping and self._router.is_ready.is_set()

    async def _stop(self) -> None:
        """Shut down gracefully, then end all tasks."""
        self._is_stopping = True
        parts = graceful_stop.StoppingParts(
            self._client_server,
            self._admission,
            self._network,
            self._changes,
            self._runner,
        )
        await graceful_stop.stop(parts, self._settings.stopping.grace_s)
        for task in self._tasks:
            task.cancel()
