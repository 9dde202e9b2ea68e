"""A small target that speaks the users' published protocol and can violate it.

It shares no code with the daemon and writes raw HTTP, so that it can send invalid
responses.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time
from collections import abc


@dataclasses.dataclass
class Run:
    """A request that the target started to run."""

    attempt: str
    path: str
    body: bytes
    last_event: int
    headers: dict[str, str]
    ended: str = "running"
    started_s: float = dataclasses.field(default_factory=time.monotonic)
    ended_s: float | None = None

    def has_segment(self, segment: str) -> bool:
        """Return whether a segment is part of the prompt."""
        parts = self.headers.get("prompt-prefix", "").split(",")
        return any(part.partition(":")[0] == segment for part in parts)


@dataclasses.dataclass
class Manner:
    """How the target responds to the next requests.

    :ivar events: number of events in a stream
    :ivar gap_s: time between events
    :ivar first_s: time until the response begins
    :ivar cut_after: cut the stream after this many events, -1 for never
    :ivar cuts: number of streams to cut
    :ivar status: respond with this status instead of a stream
    :ivar refuse: number of requests to refuse as not executed
    :ivar drop: number of requests to run and close without a response
    :ivar silent: run requests without responding
    :ivar extra: send a second response after each complete one
    :ivar torn: send half of the event at which a stream is cut
    :ivar pause_after: stop sending after this many events, -1 for never
    :ivar pauses: number of streams that stop sending
    :ivar reset_kept: reset a persistent connection as soon as it is reused
    :ivar extra_late: send the second response ahead of the next one
    :ivar plain: respond with a Content-Length instead of an event stream
    :ivar plain_prefixes: path prefixes whose requests get such a response too
    :ivar plain_bytes: size of that response
    :ivar plain_cut: number of such responses to cut in half
    :ivar leaving: report in all responses that the target is draining
    :ivar unsigned: omit the signature
    :ivar flood: part of the response that never ends, one of ``FLOODS``; empty for none
    :ivar floods: number of responses with such a part
    :ivar drip_after: send the next event byte by byte after this many events, -1 for
        never
    :ivar drips: number of such streams
    :ivar by_close: number of streams to end by closing the connection within an event
    :ivar copy_refusal: send a refusal again ahead of the next response
    :ivar crash_segment: prompt segment on which the target crashes when it begins to
        write an answer; empty for none
    :ivar crash_runs: number of runs on which the target crashes, whatever they hold
    :ivar crash_after: number of events of such a run that the target sends before
    :ivar unframed: end responses with the connection, without a length or chunks
    :ivar resets: number of unframed responses to reset half-way
    :ivar empty_by_close: number of streams without chunks to end after the head
    :ivar rate_limit: requests a second that all responses name as the limit, as text;
        empty for none
    :ivar shows_version: name the target's version in each event
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
    plain_prefixes: tuple[str, ...] = ()
    torn: bool = False
    reset_kept: bool = False
    pause_after: int = -1
    pauses: int = 0
    plain_bytes: int = 10
    plain_cut: int = 0
    leaving: bool = False
    unsigned: bool = False
    flood: str = ""
    floods: int = 0
    drip_after: int = -1
    drips: int = 0
    by_close: int = 0
    copy_refusal: bool = False
    crash_segment: str = ""
    empty_by_close: int = 0
    crash_runs: int = 0
    crash_after: int = 0
    unframed: bool = False
    resets: int = 0
    shows_version: bool = False
    rate_limit: str = ""


# Parts that can be endless: the head, one line of it, interim responses, the body of a
# refusal, an event.
FLOODS = ("head", "line", "interim", "refusal", "event")
_FLOOD_BYTES = 4096
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class Replica:
    """Runs requests and records them."""

    def __init__(self, name: str, version: object = "v1") -> None:
        self.name = name
        self.version = version
        self.manner = Manner()
        self.runs: list[Run] = []
        self.refused = 0
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections on which a response was sent.
        self._responded: set[asyncio.StreamWriter] = set()
        # Attempts whose refusal is to be sent again, by connection.
        self._copied_refusals: dict[asyncio.StreamWriter, str] = {}
        self.flooded_bytes = 0
        self.crashed_s: float | None = None
        self._silent_until_s = 0.0
        self.on_crash: abc.Callable[[Replica], None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Abort all connections, as in a crash."""
        self.close_listener()
        self.break_connections()

    def break_connections(self) -> None:
        """Abort all connections, and go on accepting new ones."""
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """Abort all connections and refuse new ones."""
        self.crashed_s = time.monotonic()
        self.close_listener()
        for writer in list(self._writers):
            writer.transport.abort()
        if self.on_crash is not None:
            self.on_crash(self)

    def close_listener(self) -> None:
        """Refuse new connections, and keep those that are open."""
        if self._server is not None:
            self._server.close()

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for a while, and go on afterwards with all runs whole."""
        self._silent_until_s = time.monotonic() + duration_s

    def describe(self, service: str, state: str = "ready") -> dict:
        """Return the target's registration."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            **({} if self.version is None else {"version": self.version}),
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
            self._responded.discard(writer)
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
        await self._wait_out_silence()
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            self._write(writer, 421, attempt, b"", [("Instance-Id", self.name)])
            return True
        manner = self.manner
        if manner.refuse:
            manner.refuse -= 1
            self.refused += 1
            self._write(writer, 503, attempt, b"", [("Not-Executed", "1")])
            if manner.copy_refusal:
                self._copied_refusals[writer] = attempt
            return True
        if manner.flood == "refusal" and manner.floods:
            manner.floods -= 1
            self.refused += 1
            writer.write(
                b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
                + f"Attempt-Id: {attempt}\r\n".encode()
                + b"Transfer-Encoding: chunked\r\n\r\n"
            )
            await self._flood(writer, _chunk(b"x" * _FLOOD_BYTES))
            return False
        if writer in self._copied_refusals:
            copied = self._copied_refusals.pop(writer)
            self._write(writer, 503, copied, b"", [("Not-Executed", "1")])
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
        disconnect = asyncio.ensure_future(reader.read(1))
        try:
            response = asyncio.ensure_future(self._respond(run, writer))
            await asyncio.wait(
                (disconnect, response), return_when=asyncio.FIRST_COMPLETED
            )
            if not response.done():
                run.ended = "cancelled"
                response.cancel()
                return False
            return response.result()
        finally:
            run.ended_s = time.monotonic()
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await disconnect

    async def _respond(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        manner = self.manner
        if manner.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(manner.first_s)
        await self._wait_out_silence()
        if manner.extra_late and writer in self._responded:
            self._write(writer, 200, "another-attempt", b"late answer", [])
        self._responded.add(writer)
        if manner.floods and manner.flood in ("head", "line", "interim"):
            manner.floods -= 1
            await self._flood_head(writer)
            return False
        is_plain = manner.plain or run.path.startswith(manner.plain_prefixes)
        if manner.status != 200 or is_plain:
            return await self._respond_plain(run, writer)
        writer.write(self._make_stream_head(run))
        if await self._end_after_head(run, writer):
            return False
        for number in range(run.last_event + 1, manner.events + 1):
            await asyncio.sleep(manner.gap_s)
            await self._wait_out_silence()
            event = self._make_event(run, number)
            if await self._interrupt(run, writer, number, event):
                return False
            is_raw = manner.by_close or manner.unframed
            writer.write(event if is_raw else _chunk(event))
            await writer.drain()
        if manner.unframed:
            run.ended = "done"
            return await _close(writer)
        writer.write(b"0\r\n\r\n")
        if manner.extra:
            self._write(writer, 200, "another-attempt", b"late answer", [])
        await writer.drain()
        run.ended = "done"
        return True

    async def _wait_out_silence(self) -> None:
        while (left_s := self._silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def _end_after_head(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """End a stream before its first event if a fault applies."""
        manner = self.manner
        if manner.empty_by_close:
            manner.empty_by_close -= 1
            run.ended = "closed"
            await _close(writer)
            return True
        if manner.crash_after or not self._must_crash(run):
            return False
        await writer.drain()
        await asyncio.sleep(manner.gap_s)
        run.ended = "crashed"
        self.crash()
        return True

    def _must_crash(self, run: Run) -> bool:
        manner = self.manner
        is_poisoned = manner.crash_segment and run.has_segment(manner.crash_segment)
        if not (manner.crash_runs or is_poisoned):
            return False
        manner.crash_runs = max(0, manner.crash_runs - 1)
        return True

    async def _interrupt(
        self, run: Run, writer: asyncio.StreamWriter, number: int, event: bytes
    ) -> bool:
        """Interrupt the stream at an event if a fault applies; return whether so."""
        manner = self.manner
        sent = number - run.last_event
        is_due = manner.crash_after and sent == manner.crash_after + 1
        if is_due and self._must_crash(run):
            run.ended = "crashed"
            self.crash()
            return True
        if manner.pauses and sent > manner.pause_after:
            manner.pauses -= 1
            await asyncio.sleep(3600)
        if manner.flood == "event" and manner.floods:
            manner.floods -= 1
            await self._flood(writer, _chunk(b"x" * _FLOOD_BYTES))
            return True
        if manner.drips and sent > manner.drip_after:
            manner.drips -= 1
            run.ended = "dripped"
            await _drip(writer, event)
            return True
        if manner.by_close and number == manner.events:
            manner.by_close -= 1
            run.ended = "closed"
            writer.write(event[: len(event) // 2])
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return True
        if not manner.cuts or sent <= manner.cut_after:
            return False
        manner.cuts -= 1
        run.ended = "cut"
        if manner.torn:
            writer.write(_chunk(event[: len(event) // 2]))
            await writer.drain()
        return True

    def _make_event(self, run: Run, number: int) -> bytes:
        if self.manner.shows_version:
            text = f"{run.attempt} piece {number} at {self.version}"
            return f"id: {number}\ndata: {text}\n\n".encode()
        return make_event(run.attempt, number)

    def _make_stream_head(self, run: Run) -> bytes:
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {run.attempt}",
        ]
        if not self.manner.unsigned:
            lines.append(f"Response-Signature: sig-{self.name}-{run.attempt}")
        lines += self._make_state_headers()
        manner = self.manner
        if not (manner.by_close or manner.empty_by_close or manner.unframed):
            lines.append("Transfer-Encoding: chunked")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _make_state_headers(self) -> list[str]:
        """Return the headers of all responses that tell of the target's state."""
        lines = []
        if self.manner.leaving:
            lines.append("Server-Leaving: 1")
        if self.manner.rate_limit:
            lines.append(f"Server-Limit: {self.manner.rate_limit}")
        return lines

    async def _respond_unframed(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Respond without a length; the body ends with the connection."""
        body = (b"plain body" * (self.manner.plain_bytes // 10 + 1))[
            : self.manner.plain_bytes
        ]
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.attempt}\r\n"
            f"Response-Signature: sig-{self.name}-{run.attempt}\r\n\r\n"
        )
        if not self.manner.resets:
            writer.write(head.encode() + body)
            run.ended = "done"
            return await _close(writer)
        self.manner.resets -= 1
        writer.write(head.encode() + body[: len(body) // 2])
        await writer.drain()
        # Lets the bytes arrive before the reset.
        await asyncio.sleep(0.05)
        run.ended = "reset"
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()
        return False

    async def _respond_plain(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        """Respond with a whole body; return whether to keep the connection."""
        manner = self.manner
        if manner.unframed:
            return await self._respond_unframed(run, writer)
        body = (b"plain body" * (manner.plain_bytes // 10 + 1))[: manner.plain_bytes]
        if not manner.plain_cut:
            self._write(writer, manner.status, run.attempt, body, [])
            run.ended = "done"
            return True
        manner.plain_cut -= 1
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.attempt}\r\n"
            f"Response-Signature: sig-{self.name}-{run.attempt}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body[: len(body) // 2])
        run.ended = "cut"
        writer.close()
        return False

    async def _flood_head(self, writer: asyncio.StreamWriter) -> None:
        """Send a response head that never ends."""
        pieces = {
            "head": b"X-Long: " + b"x" * 80 + b"\r\n",
            "line": b"x" * _FLOOD_BYTES,
            "interim": b"HTTP/1.1 102 Processing\r\n\r\n",
        }
        if self.manner.flood != "interim":
            writer.write(b"HTTP/1.1 200 OK\r\nX-First: ")
        await self._flood(writer, pieces[self.manner.flood])

    async def _flood(self, writer: asyncio.StreamWriter, piece: bytes) -> None:
        """Send the same bytes until the client closes the connection."""
        while not writer.transport.is_closing():
            writer.write(piece)
            self.flooded_bytes += len(piece)
            await writer.drain()
            await asyncio.sleep(0)

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
        is_run = not any(name == "Not-Executed" for name, _ in headers)
        if is_run and not self.manner.unsigned:
            lines.append(f"Response-Signature: sig-{self.name}-{attempt}")
        lines += [f"{name}: {value}" for name, value in headers]
        lines += self._make_state_headers()
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def make_event(attempt: str, number: int) -> bytes:
    """Return the bytes of an event, which are the same for all targets."""
    return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()


async def _close(writer: asyncio.StreamWriter) -> bool:
    """Close a connection in order; return that it can't be kept."""
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    return False


async def _drip(writer: asyncio.StreamWriter, event: bytes) -> None:
    """Send an event byte by byte, too slowly to finish within a caller's timeout."""
    for position in range(len(event) - 1):
        writer.write(_chunk(event[position : position + 1]))
        await writer.drain()
        await asyncio.sleep(0.2)


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
