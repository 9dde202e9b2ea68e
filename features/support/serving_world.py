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
    directory,
    exchange,
    front_door,
    http_client,
    ingress,
    load_board,
    model,
    place_queue,
    placement,
    places,
    routing_table,
    target_calls,
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
class Reply:
    """What a client got.

    :ivar is_whole: whether the answer ended as HTTP says
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    took_s: float = 0.0


class World:
    """Targets, a daemon's front and its clients."""

    def __init__(self, configuration, names=("a", "b")):
        self.replicas = {name: replica.Replica(name) for name in names}
        self.directory = directory.Directory(records.decode_target)
        self.board = load_board.LoadBoard()
        generator = random.Random(5)
        place = placement.Location("z1", "near", {"z1": "near"})
        choices = placement.Placement(place, self.directory, self.board, generator)
        queue = place_queue.PlaceQueue(choices, self.board, generator)
        admitted = admission.Admission(queue, places.PlaceBook(self.board))
        codec = headers.HeaderCodec()
        caller = target_calls.TargetCaller(
            http_client.ConnectionPool(0.35), codec, self.directory.record_leaving
        )
        self.directory.call_when_gone(caller.forget)
        online = exchange.OnlineService(
            self.directory, self.board, admitted, caller, generator
        )
        self.door = front_door.FrontDoor(online, None, job_codec.JobCodec())
        if configuration is not None:
            decoded = records.decode_configuration(dump(configuration))
            self.door.table = routing_table.RoutingTable(decoded)
            self.door.is_open.set()
        self.server = ingress.Server(codec, self.door.handle, self._limits)
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
    reply = Reply()
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
            reply.is_whole = True
        else:
            await _read_chunks(reader, reply)
    reply.took_s = time.monotonic() - began_s
    return reply


async def _read_chunks(reader, reply):
    while True:
        size = int((await reader.readline()).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            reply.is_whole = True
            return
        reply.body += data[:-2]


async def ask(port, data, wait_s=6.0):
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
