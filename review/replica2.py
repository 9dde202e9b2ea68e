"""A replica of a service: it runs streams, items and plain calls in its slots.

Requests beyond its slots wait in a short queue; beyond that they are refused with 503
and ``Not-Executed``, as PROTOCOL.md says.
"""

from __future__ import annotations

import asyncio
import time
import typing

import wire2 as wire


class Replica:
    """Runs requests and tells ``on_event`` what came, ran and ended.

    :ivar work_s: time from the start of a run to its first event, or to its answer
    :ivar events: number of events of a stream
    :ivar gap_s: time between two events
    :ivar texts: what events hold beside the attempt and their number, in turn
    :ivar weights: version of its weights, which ``Expect-Version`` names
    :ivar limit: value of ``Server-Limit`` in all answers, empty for none
    :ivar finished: ids of the requests that have run to their end
    """

    def __init__(
        self, name: str, slots: int, on_event: typing.Callable[..., None]
    ) -> None:
        self.name = name
        self.slots = slots
        self.queue = 24
        self.work_s = 0.02
        self.events = 0
        self.gap_s = 0.01
        self.weights = 1
        self.limit = ""
        self.texts: list[str] = [""]
        self.finished: set[str] = set()
        self.arrivals: list[tuple[float, str]] = []
        self.port = 0
        self.born = int(time.time() * 1000)
        self._on_event = on_event
        self._gate = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def describe(self, service: str) -> dict:
        """Return its entry in the store."""
        return {
            "service": service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": self.born,
        }

    def write(self, attempt: str, number: int) -> str:
        """Return the data of an event, which is the same at all replicas."""
        text = self.texts[(int(attempt, 16) + number) % len(self.texts)]
        return f"{attempt} {number} {text}".rstrip()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await wire.read_head(reader)) is not None:
                await wire.read_body(reader, message)
                if not message.is_whole or not await self._answer(
                    message, reader, writer
                ):
                    return
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self,
        message: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection can be kept."""
        attempt = message.headers.get("attempt-id", "")
        common = {"Attempt-Id": attempt, "Instance-Id": self.name}
        if self.limit:
            common["Server-Limit"] = self.limit
        expected = message.headers.get("expect-version", str(self.weights))
        is_other = message.headers.get("expect-instance", self.name) != self.name
        if is_other or expected != str(self.weights):
            self._on_event("refused", self.name, attempt, "421")
            writer.write(wire.write_response(421, common))
            return True
        if self._gate.locked() and self._waiting >= self.queue:
            self._on_event("refused", self.name, attempt, "503")
            shed = {**common, "Not-Executed": "1"}
            writer.write(wire.write_response(503, shed))
            return True
        self.arrivals.append((time.monotonic(), attempt))
        self._waiting += 1
        run = asyncio.ensure_future(self._run(message, attempt, common, writer))
        left = asyncio.ensure_future(_wait_for_end(reader))
        await asyncio.wait((run, left), return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
        else:
            left.cancel()
        await asyncio.wait((run, left))
        if run.cancelled() or run.exception() is not None:
            self._on_event("dropped", self.name, attempt, "")
            return False
        return run.result()

    async def _run(
        self,
        message: wire.Message,
        attempt: str,
        common: dict,
        writer: asyncio.StreamWriter,
    ) -> bool:
        try:
            await self._gate.acquire()
        finally:
            self._waiting -= 1
        try:
            self._on_event("ran", self.name, attempt, message.target)
            await asyncio.sleep(self.work_s)
            signed = {**common, "Response-Signature": f"s-{self.name}-{attempt}"}
            if not self.events:
                writer.write(wire.write_response(200, signed, b"x" * 800))
            else:
                await self._stream(message, attempt, signed, writer)
            await writer.drain()
            self.finished.add(attempt)
            self._on_event("finished", self.name, attempt, "")
            return True
        finally:
            self._gate.release()

    async def _stream(
        self,
        message: wire.Message,
        attempt: str,
        headers: dict,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(message.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.write(attempt, number)}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until the sender closes its side or resets the connection."""
    try:
        await reader.read(1)
    except OSError:
        return
