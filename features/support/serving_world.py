"""Online serving of one daemon in this process, with stand-ins for targets."""

import asyncio
import contextlib
import dataclasses
import json
import random
import socket
import time

from endivevane.locality import location, sizes, traffic
from endivevane.organisations import identification
from endivevane.organisations import settings as organisation_settings
from endivevane.platform import headers, job_codec, records
from endivevane.serving import (
    admission,
    follower,
    http_client,
    http_server,
    job_api,
    job_reader,
    job_registry,
    jobs,
    load_table,
    model,
    online_service,
    peer_registry,
    request_matching,
    request_router,
    routing_table,
    slot_queue,
    slot_registry,
    store_clock,
    target_client,
    target_registry,
    target_selection,
)
from endivevane.stream_versions import assembly
from features.support import serving_fakes
from standins import replica

HOST = "shop.example"
# Time of the store's clock when the machine started, above all ages in scenarios.
_STORE_CLOCK_MS = 3_600_000


def make_configuration(**changes):
    route = {
        "name": "quote",
        "host": HOST,
        "prefix": "/quote/",
        "kind": "streaming",
        "timeoutMs": 3000,
        "goalMs": 300,
        "priority": 0,
        "service": "lm",
        "maxAttempts": 2,
        "resumable": True,
        "gapTargetMs": 250,
    }
    route.update(changes)
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "lm", "maxConns": 50, "engine": {}}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 100000},
    }


@dataclasses.dataclass
class Response:
    """Response as a client received it.

    :ivar is_complete: whether the response ended as its framing says
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    elapsed_s: float = 0.0


@dataclasses.dataclass
class FeedAge:
    """The age of a copy that no feed hands over."""

    age_s: float = 0.0

    def measure_s(self):
        return self.age_s


class World:
    """Targets and the online serving of a daemon.

    Several share targets and a store if they are given the same ones.

    :param job_daemon: changes jobs, ``None`` for a daemon without a batch API
    :param job_runner: is told of accepted jobs
    """

    def __init__(
        self,
        configuration,
        names=("a", "b"),
        replicas=None,
        row_store=None,
        name="front-1",
        keys=None,
        job_daemon=None,
        job_runner=None,
    ):
        self.row_store = row_store or serving_fakes.FakeStore()
        self.replicas = replicas
        if replicas is None:
            self.replicas = {name: replica.Replica(name) for name in names}
        self.registry = target_registry.TargetRegistry(records.decode_target)
        self.loads = load_table.LoadTable()
        generator = random.Random(5)
        place = location.Location("z1", "near", {"z1": "near"})
        self.limits = serving_fakes.make_limits(self.registry)
        selector = target_selection.TargetSelector(
            place, self.registry, self.loads, self.limits, generator
        )
        queue = slot_queue.SlotQueue(selector, self.loads, generator)
        slot_admission = admission.Admission(
            queue, slot_registry.SlotRegistry(self.loads)
        )
        codec = headers.HeaderCodec()
        self.client = target_client.TargetClient(
            http_client.ConnectionPool(0.35),
            codec,
            self.registry.record_draining,
            self.limits,
            traffic.Traffic(place, sizes.MeanSizes()),
        )
        self.registry.add_removal_callback(self.client.forget)
        self.quarantine = serving_fakes.make_quarantine(
            on_target_end=self.registry.record_ended
        )
        identity = serving_fakes.make_identity(name)
        self.peers = peer_registry.PeerRegistry(identity)
        self.versions = assembly.StreamVersionParts(
            identity,
            self.peers,
            self.registry,
            self.row_store,
            _make_clock(),
            lambda: self.router.list_stream_services(),
            lambda: None,
        )
        self.quotas = serving_fakes.make_quotas(
            identity, self.peers, lambda name: self.router.find_organisation(name)
        )
        self.targets_age = FeedAge()
        self._tasks = []
        online = online_service.OnlineService(
            self.registry,
            self.loads,
            slot_admission,
            self.client,
            self.quarantine,
            self.limits,
            self.versions.service,
            generator,
        )
        codec_of_jobs = job_codec.JobCodec()
        self.job_daemon = job_daemon
        registry = job_daemon.registry if job_daemon else job_registry.JobRegistry()
        self.router = request_router.RequestRouter(
            online,
            _make_job_api(codec_of_jobs, job_daemon, job_runner),
            request_matching.RequestMatcher(codec_of_jobs, registry),
            identification.Identification(keys or organisation_settings.KeysSection()),
            self.quotas,
        )
        self.configuration_age = FeedAge()
        self.router.follow(self.configuration_age)
        if configuration is not None:
            self.configure(configuration)
            self.router.is_ready.set()
        self.server = http_server.Server(codec, self.router.handle, self._limits)
        self.port = 0

    def _limits(self):
        table = self.router.table
        return model.ClientLimits() if table is None else table.configuration.limits

    def configure(self, configuration):
        """Put a configuration into force, as the daemon's feed does."""
        table = routing_table.RoutingTable(
            records.decode_configuration(dump(configuration))
        )
        if self.router.table is not None:
            table.keep_former(self.router.table, time.monotonic())
        self.router.table = table

    async def start(self):
        await self.server.listen("127.0.0.1", 0)
        self.port = self.server.port
        for number, target in enumerate(self.replicas.values()):
            if not target.port:
                await target.start()
            self.register(target, number + 1)
        feed = follower.TableFollower(
            self.row_store, jobs.STATE_TABLE, jobs.PARTITION, self.versions.apply_row
        )
        self.versions.follow(feed.age, self.targets_age)
        for work in (self.versions.run(), feed.run()):
            self._tasks.append(asyncio.ensure_future(work))

    def register(self, target, version, **changes):
        entry = {**target.describe("lm"), **changes}
        row = serving_fakes.make_row(target.name, dump(entry), version)
        self.registry.apply(row, time.monotonic())

    def unregister(self, target, version):
        row = serving_fakes.make_row(target.name, None, version)
        self.registry.apply(row, time.monotonic())

    async def stop(self):
        self.server.close_listener()
        for task in self._tasks:
            task.cancel()
        for target in self.replicas.values():
            await target.stop()

    @property
    def runs(self):
        return [run for target in self.replicas.values() for run in target.runs]


def _make_job_api(codec, daemon, runner):
    """Return the batch API of a daemon, ``None`` without its part of jobs."""
    if daemon is None:
        return None
    reader = job_reader.JobReader(daemon.registry, daemon.changes)
    return job_api.JobApi(codec, daemon.changes, reader, runner)


def _make_clock():
    """Return a clock of the store that all worlds of the process read the same."""
    clock = store_clock.StoreClock()
    clock.record(int(time.monotonic() * 1000) + _STORE_CLOCK_MS)
    return clock


def dump(value):
    return json.dumps(value).encode()


def make_request(path="/quote/1", attempt="abc", body=b"hello", extra=()):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Content-Length: {len(body)}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader):
    """Read one response and record whether it is complete."""
    response = Response()
    started_s = time.monotonic()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        response.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            response.headers[name.lower()] = value.strip()
        if "content-length" in response.headers:
            response.body = await reader.readexactly(
                int(response.headers["content-length"])
            )
            response.is_complete = True
        else:
            await _read_chunks(reader, response)
    response.elapsed_s = time.monotonic() - started_s
    return response


async def _read_chunks(reader, response):
    while True:
        size = int((await reader.readline()).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            response.is_complete = True
            return
        response.body += data[:-2]


async def send_request(port, data, wait_s=6.0):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(read_response(reader), wait_s)
    finally:
        writer.close()


def prepare_all(context, **manner):
    """Set the behaviour of all targets of the scenario."""

    def prepare(world):
        for target in world.replicas.values():
            for name, value in manner.items():
                setattr(target.manner, name, value)

    context.prepare.append(prepare)


def prepare_first(context, **manner):
    """Set the behaviour of the first target of the scenario."""

    def prepare(world):
        for name, value in manner.items():
            setattr(world.replicas["a"].manner, name, value)

    context.prepare.append(prepare)


def play(context, act):
    """Run the daemon and the targets of the scenario during an action of clients."""

    async def run():
        context.world = World(context.configuration, context.names)
        await context.world.start()
        for prepare in context.prepare:
            prepare(context.world)
        try:
            return await act(context.world)
        finally:
            await context.world.stop()

    return asyncio.run(run())


def block_port(port):
    """Let connections to a port hang, and return the sockets that see to it."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    # The kernel drops the requests for connections beyond its queue.
    listener.listen(0)
    blocked = [listener]
    for _ in range(4):
        item = socket.socket()
        item.setblocking(False)
        item.connect_ex(("127.0.0.1", port))
        blocked.append(item)
    return blocked
