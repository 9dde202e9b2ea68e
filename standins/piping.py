"""Forwards bytes between two connections, with latency, a rate limit and faults."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections import abc

_READ_BYTES = 64 << 10
_QUEUED_CHUNKS = 64
_SILENCE_POLL_S = 0.05


class Direction:
    """One direction of a link, whose rate all connections share.

    :param bytes_per_s: rate limit; 0 for none
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0
        self.passed_bytes = 0

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Reserve capacity for some bytes and return when the last one is sent."""
        self.passed_bytes += size_bytes
        if not self._bytes_per_s:
            return now_s
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self._bytes_per_s
        return self._free_at_s


@dataclasses.dataclass(slots=True)
class Conditions:
    """Current conditions on a link.

    :param is_silent: forward nothing while this is set
    """

    latency_s: float = 0.0
    is_silent: bool = False


class Pipe:
    """Two connections between which bytes are forwarded.

    :param is_muted: forward nothing any more, while both connections stay open
    """

    def __init__(
        self,
        caller: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        conditions: Conditions,
    ) -> None:
        self._caller = caller
        self._target = target
        self._conditions = conditions
        self.is_muted = False

    async def run(self, outward: Direction, inward: Direction) -> None:
        """Forward bytes until both sides have ended or one has broken."""
        await asyncio.gather(
            self._copy(self._caller[0], self._target[1], outward),
            self._copy(self._target[0], self._caller[1], inward),
        )
        for writer in (self._caller[1], self._target[1]):
            writer.close()

    def abort(self) -> None:
        """Break both connections."""
        for writer in (self._caller[1], self._target[1]):
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Copy one direction; an error on one side aborts both."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_QUEUED_CHUNKS)
        sender = asyncio.create_task(self._send(queue, writer))
        time = asyncio.get_running_loop().time
        try:
            while data := await reader.read(_READ_BYTES):
                sent_s = direction.reserve(len(data), time())
                await queue.put((sent_s + self._conditions.latency_s, data))
            await queue.put((0.0, b""))
            await sender
        except OSError:
            self.abort()
        finally:
            sender.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await sender

    async def _send(
        self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        time = asyncio.get_running_loop().time
        try:
            while True:
                due_s, data = await queue.get()
                if due_s > time():
                    await asyncio.sleep(due_s - time())
                await self._wait_while_silent(writer)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            self.abort()

    async def _wait_while_silent(self, writer: asyncio.StreamWriter) -> None:
        while self.is_muted or self._conditions.is_silent:
            if writer.transport.is_closing():
                return
            await asyncio.sleep(_SILENCE_POLL_S)


Accept = abc.Callable[[asyncio.StreamReader, asyncio.StreamWriter], object]


class TcpListener:
    """A listening TCP socket that can be closed and reopened.

    :param accept: coroutine function that serves one connection
    """

    def __init__(self, address: tuple[str, int], accept: Accept) -> None:
        self._address = address
        self._accept = accept
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening, unless already open."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, *self._address, backlog=1024
            )

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None
