"""Crowds of clients that nobody controls, and a daemon process of lowered limits."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import re
import socket
import time

from features.support import serving_processes, serving_world

# The smallest VM has 160 MB and 1,638 descriptors, 200 of which are for files. A daemon
# of the tests has a quarter of the descriptors, and of the memory beyond the 60 MB that
# the process takes without any client.
SCALE = 4
DESCRIPTORS = 1638 // SCALE
MOST_DESCRIPTORS = (1638 - 200) // SCALE
MOST_GROWTH_BYTES = ((160 - 60) << 20) // SCALE
MEMORY_MB = 160 // SCALE
MAX_BODY_BYTES = 1 << 20
MAX_HEADER_BYTES = 16384
LARGE_BYTES = 4 << 20
# How long the clients of a crowd go on, and how long one waits to connect again.
CROWD_S = 5.0
_RECONNECT_S = 0.1
_SAMPLE_S = 0.05
_STAY_S = 600.0


class LimitedDaemon(serving_processes.Daemon):
    """A daemon process with few descriptors and little memory."""

    launcher = ("sh", "-c", f'ulimit -n {DESCRIPTORS} && exec "$@"', "sh")

    def write_settings(self, store_port):
        super().write_settings(store_port)
        text = self.path.read_text()
        self.path.write_text(
            text.replace("[listen]\n", f"memory_mb = {MEMORY_MB}\n[listen]\n")
        )


class Watch:
    """Highest number of descriptors and most memory of a process, while it is run."""

    def __init__(self, process):
        self.process = process
        self.descriptors = 0
        self.first_bytes = read_memory(process, "VmRSS")

    @property
    def growth_bytes(self):
        return read_memory(self.process, "VmHWM") - self.first_bytes

    async def run(self):
        while True:
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.descriptors = max(self.descriptors, count)
            await asyncio.sleep(_SAMPLE_S)


def read_memory(process, field):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+) kB", status).group(1)) << 10


def _make_head(path, number, *lines):
    head = (f"POST {path}{number} HTTP/1.1", f"Host: {serving_world.HOST}")
    text = "\r\n".join((*head, f"Attempt-Id: c{number}", *lines))
    return text.encode() + b"\r\n\r\n"


async def _send(writer, pieces):
    for piece in pieces:
        writer.write(piece)
        await writer.drain()


async def _read_answer(reader):
    while await reader.read(65536):
        pass


async def _send_whole_body(reader, writer, path, number):
    length = f"Content-Length: {MAX_BODY_BYTES}"
    writer.write(_make_head(path, number, length, "Connection: close"))
    writer.write(b"x" * MAX_BODY_BYTES)
    await _read_answer(reader)


async def _send_small_pieces(reader, writer, path, number):
    writer.write(_make_head(path, number, f"Content-Length: {MAX_BODY_BYTES}"))
    await _send(writer, itertools.repeat(b"x" * 1000, MAX_BODY_BYTES // 1000))
    await _read_answer(reader)


async def _send_chunks(reader, writer, path, number):
    writer.write(_make_head(path, number, "Transfer-Encoding: chunked"))
    chunk = b"4000\r\n" + b"x" * 16384 + b"\r\n"
    await _send(writer, itertools.repeat(chunk, MAX_BODY_BYTES // 16384))
    await _read_answer(reader)


async def _send_byte_chunks(reader, writer, path, number):
    writer.write(_make_head(path, number, "Transfer-Encoding: chunked"))
    await _send(writer, itertools.repeat(b"1\r\nx\r\n" * 500, MAX_BODY_BYTES // 500))
    await _read_answer(reader)


async def _send_too_much(reader, writer, path, number):
    writer.write(_make_head(path, number, f"Content-Length: {1 << 40}"))
    await _send(writer, itertools.repeat(b"x" * 65536, 4096))
    await _read_answer(reader)


async def _send_short_fields(reader, writer, path, number):
    # Fewer bytes than a head may have, by any way to count them.
    fields = [f"a{n:x}:" for n in range(1600)]
    writer.write(
        _make_head(path, number, "Content-Length: 0", "Connection: close", *fields)
    )
    await _read_answer(reader)


async def _send_ahead(_reader, writer, path, number):
    request = _make_head(path, number, "Content-Length: 0")
    await _send(writer, itertools.repeat(request * 50, 1000))
    await asyncio.sleep(_STAY_S)


async def _send_slow_head(_reader, writer, path, number):
    for byte in _make_head(path, number, "X: " + "x" * 2000):
        await _send(writer, [bytes([byte])])
        await asyncio.sleep(0.2)


async def _stay_idle(reader, _writer, _path, _number):
    await _read_answer(reader)


async def _read_slowly(reader, writer, path, number):
    writer.write(_make_head(path, number, "Content-Length: 0"))
    while await reader.read(1000):
        await asyncio.sleep(1.0)


async def _stop_half_way(reader, writer, path, number):
    head = _make_head(path, number, "Content-Length: 100000")
    if number % 2:
        writer.write(head[: len(head) // 2])
    else:
        writer.write(head + b"x" * 50000)
    await asyncio.sleep(0.2)
    writer.transport.abort()


async def _send_short_items(reader, writer, path, number):
    body = b'{"items":[' + b"{}," * (MAX_BODY_BYTES // 3 - 10) + b"{}]}"
    writer.write(
        _make_head(path, number, f"Content-Length: {len(body)}", "Connection: close")
    )
    writer.write(body)
    await _read_answer(reader)


_BEHAVIOURS = {
    "whole bodies": _send_whole_body,
    "bodies in small pieces": _send_small_pieces,
    "chunks without their end": _send_chunks,
    "chunks of one byte": _send_byte_chunks,
    "bodies far over the limit": _send_too_much,
    "many short fields": _send_short_fields,
    "requests ahead": _send_ahead,
    "heads byte by byte": _send_slow_head,
    "nothing": _stay_idle,
    "requests and read slowly": _read_slowly,
    "half requests": _stop_half_way,
    "jobs of short items": _send_short_items,
}


def locate(daemon, place):
    """Return the host, the port and the path of a place."""
    client = ("127.0.0.1", daemon.port)
    return {
        "a route": (*client, "/quote/"),
        "large responses": (*client, "/large/"),
        "job submissions": (*client, "/digest/"),
        "no route": (*client, "/none/"),
        "calls on jobs": (*client, "/api/lots/"),
        "readiness": ("127.0.0.1", daemon.ready_port, "/"),
        "the internal port": (daemon.ip, daemon.internal_port, "/api/rows-get/"),
        "metrics": (daemon.ip, daemon.metrics_port, "/metrics/"),
    }[place]


class Crowd:
    """Clients of one behaviour at one place, which connect again when closed."""

    def __init__(self, behaviour, place):
        self.connections = 0
        self._behave = _BEHAVIOURS[behaviour]
        self._host, self._port, self._path = place
        self._tasks = []

    async def run(self, count):
        """Let clients act for a time; those that then are connected stay so."""
        self._tasks = [
            asyncio.ensure_future(self._act(number)) for number in range(count)
        ]
        await asyncio.sleep(CROWD_S)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _act(self, number):
        until_s = time.monotonic() + CROWD_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                await self._connect(number)
            await asyncio.sleep(_RECONNECT_S)

    async def _connect(self, number):
        sock = socket.socket()
        # Responses that are not read wait in the daemon, not in the kernel.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (self._host, self._port))
        except BaseException:
            sock.close()
            raise
        self.connections += 1
        reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
        try:
            await self._behave(reader, writer, self._path, number)
        finally:
            writer.transport.abort()


async def ask(port, attempt, wait_s):
    """Send an ordinary request; return the response, of status 0 if there is none."""
    data = serving_world.make_request(f"/quote/{attempt}", attempt)
    try:
        return await serving_world.send_request(port, data, wait_s)
    except (TimeoutError, OSError):
        return serving_world.Response()
