"""Targets, clients and a store that send bytes without end to daemon processes."""

import asyncio
import contextlib
import itertools
import pathlib
import re

from features.support import serving_processes, serving_world

SERVICE = "faulty"
# The smallest VM that the users' pages name has this much memory.
VM_MEMORY_BYTES = 200 << 20
_SLOTS = 8
_PIECE_BYTES = 16384
_DRIP_S = 1.0
# What one connection sends at most, in case nobody closes it.
_MAX_SENT_BYTES = 256 << 20


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


_EVENT_TEXT = b"x" * 4000


def _make_events(text=_EVENT_TEXT):
    for number in itertools.count(1):
        yield _chunk(b"id: %d\ndata: %s\n\n" % (number, text))


_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_SMALL_CHUNKS = b"2\r\nxx\r\n" * (_PIECE_BYTES // 7)
# Where the bytes are: the rest of the head, and what is repeated behind it.
_FORMS = {
    "a line of the head": (b"X-First: ", b"x" * _PIECE_BYTES),
    "headers": (b"", b"X-Long: xxxxxxxx\r\n" * 800),
    "interim answers": (None, b"HTTP/1.1 102 Processing\r\n\r\n" * 400),
    "no HTTP": (None, b"\x00\xff" * (_PIECE_BYTES // 2)),
    "a body in chunks": (_CHUNKED, _chunk(b"x" * _PIECE_BYTES)),
    "a body in small chunks": (_CHUNKED, _SMALL_CHUNKS),
    "a body with a length": (b"Content-Length: 99999999999\r\n\r\n", b"x" * 16384),
    "a body without a length": (b"\r\n", b"x" * _PIECE_BYTES),
    "a chunk of absurd size": (_CHUNKED + b"f" * 20 + b"\r\n", b"x" * _PIECE_BYTES),
    "a chunk extension": (_CHUNKED + b"1;", b"x" * _PIECE_BYTES),
    "trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Long: xxxxxxxx\r\n" * 800),
    "comments": (_CHUNKED, _chunk(b": x\n\n" * 3000)),
    "one event": (_CHUNKED, _chunk(b"data: " + b"x" * _PIECE_BYTES)),
    "bytes behind the answer": (b"Content-Length: 2\r\n\r\nok", b"x" * _PIECE_BYTES),
}
EVENTS = "events"
SMALL_EVENTS = "small events"
_STREAM_FORMS = (
    "comments",
    "one event",
    EVENTS,
    SMALL_EVENTS,
    "a body in small chunks",
)
REFUSAL = "a refusal"


class EndlessTarget:
    """Answers each request with bytes that do not end.

    :ivar is_drip: whether it sends a byte a second, instead of all that is taken
    :ivar sent_bytes: bytes sent to all callers
    :ivar most_calls: largest number of calls at a time
    """

    def __init__(self, name, form, is_drip=False):
        self.name = name
        self.is_drip = is_drip
        self.sent_bytes = 0
        self.calls = 0
        self.most_calls = 0
        self.port = 0
        self._form = form
        self._server = None
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def describe(self):
        return {
            "service": SERVICE,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": _SLOTS,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 1,
            "born": 1700000000000,
        }

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self.calls += 1
        self.most_calls = max(self.most_calls, self.calls)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            self.calls -= 1
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, reader, writer):
        request = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        found = re.search(r"(?im)^attempt-id: *(\S+)", request)
        attempt = found.group(1) if found else ""
        if self._form == REFUSAL:
            rest, pieces = _CHUNKED, itertools.repeat(_chunk(b"x" * _PIECE_BYTES))
        elif self._form == EVENTS:
            rest, pieces = _CHUNKED, _make_events()
        elif self._form == SMALL_EVENTS:
            rest, pieces = _CHUNKED, _make_events(b"x")
        else:
            rest, piece = _FORMS[self._form]
            pieces = itertools.repeat(piece)
        if rest is not None:
            writer.write(self._make_head(attempt) + rest)
        await self._send(writer, pieces)

    def _make_head(self, attempt):
        is_refusal = self._form == REFUSAL
        kind = "text/event-stream" if self._form in _STREAM_FORMS else "text/plain"
        own = (
            "Not-Executed: 1"
            if is_refusal
            else f"Response-Signature: sig-{self.name}-{attempt}"
        )
        status = "503 X" if is_refusal else "200 OK"
        return (
            f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{own}\r\n"
            f"Content-Type: {kind}\r\n"
        ).encode()

    async def _send(self, writer, pieces):
        sent = 0
        for piece in pieces:
            if self.is_drip:
                await self._drip(writer, piece)
                continue
            writer.write(piece)
            sent += len(piece)
            self.sent_bytes += len(piece)
            await writer.drain()
            if writer.transport.is_closing() or sent > _MAX_SENT_BYTES:
                return

    async def _drip(self, writer, piece):
        for position in range(len(piece)):
            writer.write(piece[position : position + 1])
            self.sent_bytes += 1
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(_DRIP_S)


def make_routes(service=SERVICE):
    """Return routes to a service: whole responses, streams, and batch jobs."""
    route = {
        "host": serving_world.HOST,
        "timeoutMs": 3000,
        "goalMs": 300,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
    }
    return [
        {**route, "name": "w", "prefix": "/whole/", "kind": "safe"},
        {
            **route,
            "name": "s",
            "prefix": "/stream/",
            "kind": "streaming",
            "resumable": True,
            "gapTargetMs": 250,
        },
        {**route, "name": "o", "prefix": "/once/", "kind": "unsafe", "maxAttempts": 1},
    ]


def read_peak_bytes(daemon):
    """Return the largest resident memory that a daemon process has had."""
    status = pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) << 10


class Trouble:
    """Targets that send without end, on an event loop of their own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.loop = serving_processes.Loop()
        self.targets = []

    def stop(self):
        for target in self.targets:
            self.loop.run(target.stop())
        self.loop.stop()

    def add_targets(self, count, form, is_drip=False):
        for number in range(count):
            target = EndlessTarget(f"e-{number}", form, is_drip)
            self.loop.run(target.start())
            self.targets.append(target)
            self.fleet.call(
                self.fleet.store.write, "servers", target.name, target.describe()
            )

    def add_routes(self, routes):
        configuration = self.fleet.configuration
        configuration["version"] += 5
        configuration["routes"] = [*configuration["routes"], *routes]
        known = {service["name"] for service in configuration["services"]}
        if SERVICE not in known:
            configuration["services"].append(
                {**configuration["services"][0], "name": SERVICE}
            )
        self.fleet.call(self.fleet.store.write, "op", "config", configuration)


async def call_all(port, path, count, read_bytes_per_s=None, prefix="f"):
    """Send requests at once and read what comes until each connection ends."""

    async def call(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096)
        attempt = f"{prefix}{number}"
        writer.write(
            serving_world.make_request(
                f"{path}{number}",
                attempt,
                extra=("Deadline-Ms: 3000", "Connection: close"),
            )
        )
        received = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(read_bytes_per_s or 65536):
                received += len(data)
                if read_bytes_per_s is not None:
                    await asyncio.sleep(1.0)
        writer.close()
        return received

    return await asyncio.gather(
        *(call(number) for number in range(count)), return_exceptions=True
    )


async def serve_others(port, path, count, gap_s):
    """Send requests one after the other; return the responses."""

    async def call(number):
        data = serving_world.make_request(f"{path}{number}", f"o{number}")
        try:
            return await serving_world.send_request(port, data)
        except (TimeoutError, OSError):
            return serving_world.Response()

    calls = []
    for number in range(count):
        calls.append(asyncio.ensure_future(call(number)))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*calls)


async def send_bodies(port, path, count, piece, size):
    """Send bodies in chunks, without their ends, until the connections close."""

    async def send(number):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (
            f"POST {path}{number} HTTP/1.1\r\nHost: {serving_world.HOST}\r\n"
            f"Attempt-Id: b{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        sent = 0
        with contextlib.suppress(OSError):
            while sent < size:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
            await asyncio.wait_for(reader.read(1), 2.0)
        writer.close()

    await asyncio.gather(
        *(send(number) for number in range(count)), return_exceptions=True
    )


class EndlessStore:
    """Forwards connections to a store, or answers without end.

    :ivar is_endless: whether it answers so from now on
    """

    def __init__(self, port):
        self.is_endless = False
        self.sent_bytes = 0
        self.port = 0
        self._store_port = port
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def begin_endless(self):
        """Close all connections and answer new ones without end."""
        self.is_endless = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if self.is_endless:
                    await self._flood(reader, writer)
                else:
                    await self._forward(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _flood(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        piece = _chunk(b" " * 65536)
        while not writer.transport.is_closing():
            writer.write(piece)
            self.sent_bytes += len(piece)
            await writer.drain()

    async def _forward(self, reader, writer):
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self._store_port
        )
        try:
            await asyncio.gather(
                _copy(reader, store_writer), _copy(store_reader, writer)
            )
        finally:
            store_writer.transport.abort()


async def _copy(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    writer.transport.abort()


# Pieces of a request's body: in chunks of two bytes, and of many.
BODY_PIECES = {
    "small chunks": b"2\r\nxx\r\n" * 2000,
    "large chunks": _chunk(b"x" * _PIECE_BYTES),
}


async def read_metrics(host, port, request):
    """Return the metrics of a daemon."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(request)
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(re.search(r"(?im)^content-length: *(\d+)", head).group(1))
        return await reader.readexactly(length)
    finally:
        writer.close()
