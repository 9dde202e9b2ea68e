"""One daemon's online serving in this process, before stand-ins for targets."""

import asyncio
import contextlib
import dataclasses
import json
import random
import time

from endivevane.platform import headers, job_codec, records
from endivevane.serving import (
    admission,
    http_client,
    http_server,
    load_table,
    model,
    online_service,
    request_router,
    routing_table,
    slot_queue,
    slot_registry,
    target_client,
    target_registry,
    target_selection,
)
from features.support import serving_fakes
from standins import replica

HOST = "shop.example"


def make_configuration(**changes):
    fields = {
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
    fields.update(changes)
    return {
        "version": 1,
        "routes": [fields],
        "services": [{"name": "lm", "maxConns": 50, "engine": {}}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 100000},
    }


@dataclasses.dataclass
class Response:
    """What a client got.

    :ivar is_complete: whether the answer ended as HTTP says
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    took_s: float = 0.0


class World:
    """Targets, a daemon's front and its clients."""

    def __init__(self, configuration, names=("a", "b")):
        self.replicas = {name: replica.Replica(name) for name in names}
        self.directory = target_registry.TargetRegistry(records.decode_target)
        self.board = load_table.LoadTable()
        generator = random.Random(5)
        place = target_selection.Location("z1", "near", {"z1": "near"})
        choices = target_selection.TargetSelector(
            place, self.directory, self.board, generator
        )
        queue = slot_queue.SlotQueue(choices, self.board, generator)
        admitted = admission.Admission(queue, slot_registry.SlotRegistry(self.board))
        codec = headers.HeaderCodec()
        caller = target_client.TargetClient(
            http_client.ConnectionPool(0.35), codec, self.directory.record_draining
        )
        self.directory.add_removal_callback(caller.forget)
        online = online_service.OnlineService(
            self.directory, self.board, admitted, caller, generator
        )
        self.door = request_router.RequestRouter(online, None, job_codec.JobCodec())
        if configuration is not None:
            decoded = records.decode_configuration(dump(configuration))
            self.door.table = routing_table.RoutingTable(decoded)
            self.door.is_ready.set()
        self.server = http_server.Server(codec, self.door.handle, self._limits)
        self.port = 0

    def _limits(self):
        table = self.door.table
        return model.ClientLimits() if table is None else table.configuration.limits

    async def start(self):
        await self.server.listen("127.0.0.1", 0)
        self.port = self.server.port
        for number, item in enumerate(self.replicas.values()):
            await item.start()
            self.register(item, number + 1)

    def register(self, item, version):
        row = serving_fakes.make_row(item.name, dump(item.describe("lm")), version)
        self.directory.apply(row, time.monotonic())

    async def stop(self):
        self.server.close_listener()
        for item in self.replicas.values():
            await item.stop()

    @property
    def runs(self):
        return [run for item in self.replicas.values() for run in item.runs]


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


async def read_reply(reader):
    """Read one answer, and say whether it was whole."""
    reply = Response()
    began_s = time.monotonic()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        reply.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            reply.headers[name.lower()] = value.strip()
        if "content-length" in reply.headers:
            reply.body = await reader.readexactly(int(reply.headers["content-length"]))
            reply.is_complete = True
        else:
            await _read_chunks(reader, reply)
    reply.took_s = time.monotonic() - began_s
    return reply


async def _read_chunks(reader, reply):
    while True:
        size = int((await reader.readline()).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            reply.is_complete = True
            return
        reply.body += data[:-2]


async def send_request(port, data, wait_s=6.0):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await asyncio.wait_for(read_reply(reader), wait_s)
    finally:
        writer.close()


def prepare_all(context, **manner):
    """Give all targets of the scenario a manner."""

    def prepare(world):
        for item in world.replicas.values():
            for name, value in manner.items():
                setattr(item.manner, name, value)

    context.prepare.append(prepare)


def prepare_first(context, **manner):
    """Give the first target of the scenario a manner."""

    def prepare(world):
        for name, value in manner.items():
            setattr(world.replicas["a"].manner, name, value)

    context.prepare.append(prepare)


def play(context, act):
    """Run the daemon and the targets of the scenario while clients act."""

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
