"""A small target that speaks the users' published protocol and can misbehave.

It shares no code with the daemon; it writes raw HTTP, so that it can also break it.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses


@dataclasses.dataclass
class Run:
    """A request that the target began to work on."""

    attempt: str
    path: str
    body: bytes
    last_event: int
    headers: dict[str, str]
    ended: str = "running"


@dataclasses.dataclass
class Manner:
    """How the target treats the next requests.

    :ivar events: events of a stream
    :ivar gap_s: time between events
    :ivar first_s: time before the answer begins
    :ivar cut_after: cut the stream behind this many events, -1 for never
    :ivar cuts: how many streams are cut
    :ivar status: answer with this status instead of a stream
    :ivar refuse: refuse this many requests as not run
    :ivar drop: read this many requests, run them and close without an answer
    :ivar silent: read requests, run them and say nothing
    :ivar extra: send a second answer behind each whole one
    :ivar torn: send half of the event at which a stream is cut
    :ivar pause_after: go silent behind this many events, -1 for never
    :ivar pauses: how many streams go silent
    :ivar reset_kept: reset a kept connection as soon as something is sent on it
    :ivar extra_late: send the second answer where the next one is due
    :ivar plain: answer with a length instead of a stream of events
    """

    events: int = 6
    gap_s: float = 0.01
    first_s: float = 0.0
    cut_after: int = -1
    cuts: int = 0
    status: int = 200
    refuse: int = 0
    drop: int = 0
    silent: bool = False
    extra: bool = False
    extra_late: bool = False
    plain: bool = False
    torn: bool = False
    reset_kept: bool = False
    pause_after: int = -1
    pauses: int = 0


class Replica:
    """Runs requests and remembers each of them."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.manner = Manner()
        self.runs: list[Run] = []
        self.refused = 0
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections that have carried an answer.
        self._answered: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self, service: str, state: str = "ready") -> dict:
        """Return the target's registration."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "callSeq": 1,
            "born": 1700000000000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                if self.manner.reset_kept:
                    await reader.read(1)
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._answered.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            self._write(writer, 421, attempt, b"", [("Instance-Id", self.name)])
            return True
        manner = self.manner
        if manner.refuse:
            manner.refuse -= 1
            self.refused += 1
            self._write(writer, 503, attempt, b"", [("Not-Executed", "1")])
            return True
        run = Run(
            attempt=attempt,
            path=request_line.split(" ")[1],
            body=body,
            last_event=int(headers.get("last-event-id", 0)),
            headers=headers,
        )
        self.runs.append(run)
        return await self._run(run, reader, writer)

    async def _run(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        manner = self.manner
        if manner.drop:
            manner.drop -= 1
            run.ended = "dropped"
            return False
        gone = asyncio.ensure_future(reader.read(1))
        try:
            work = asyncio.ensure_future(self._answer(run, writer))
            await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                run.ended = "cancelled"
                work.cancel()
                return False
            return work.result()
        finally:
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await gone

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        manner = self.manner
        if manner.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(manner.first_s)
        if manner.extra_late and writer in self._answered:
            self._write(writer, 200, "another-attempt", b"late answer", [])
        self._answered.add(writer)
        if manner.status != 200 or manner.plain:
            self._write(writer, manner.status, run.attempt, b"plain body", [])
            run.ended = "done"
            return True
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"Attempt-Id: {run.attempt}\r\n".encode()
            + f"Response-Signature: sig-{self.name}-{run.attempt}\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(run.last_event + 1, manner.events + 1):
            await asyncio.sleep(manner.gap_s)
            if manner.pauses and number - run.last_event > manner.pause_after:
                manner.pauses -= 1
                await asyncio.sleep(3600)
            event = make_event(run.attempt, number)
            if manner.cuts and number - run.last_event > manner.cut_after:
                manner.cuts -= 1
                if manner.torn:
                    writer.write(_chunk(event[: len(event) // 2]))
                    await writer.drain()
                run.ended = "cut"
                return False
            writer.write(_chunk(event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        if manner.extra:
            self._write(writer, 200, "another-attempt", b"late answer", [])
        await writer.drain()
        run.ended = "done"
        return True

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        attempt: str,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {attempt}"]
        lines += [f"Content-Length: {len(body)}"]
        if not any(name == "Not-Executed" for name, _ in headers):
            lines.append(f"Response-Signature: sig-{self.name}-{attempt}")
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def make_event(attempt: str, number: int) -> bytes:
    """Return the bytes of an event, which do not depend on the target."""
    return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
