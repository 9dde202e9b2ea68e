"""Reading of one connection's requests, within the limits for clients."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import time
import typing
from collections import abc

import h11

from endivevane import logs, metrics
from endivevane.serving import (
    byte_stream,
    client_settings,
    model,
    work_turns,
)

# Clients may go by the idle timeout that was in force before until a change has spread.
_IDLE_SLACK_S = 3.0
# Bytes that are decoded before other connections have their turn.
_MAX_READ_BYTES = 64 * 1024
# Bytes that are read at a time while a head is expected.
_MAX_HEAD_READ_BYTES = 16 * 1024
_MAX_CHUNKS_PER_TURN = 64
# Each chunk takes time to decode, so that these are no sound body.
_MAX_SMALL_CHUNKS = 4096
_SMALL_CHUNK_BYTES = 8
# A head of more lines is decoded in a turn of its own.
_MAX_LIGHT_LINES = 100
# Memory of a field beside its bytes.
_FIELD_BYTES = 160

_Result = typing.TypeVar("_Result")
LimitsSource = abc.Callable[[], model.ClientLimits]


class BodyTooLarge(Exception):
    """The body of a request exceeds the limit."""


class HeadTooLarge(Exception):
    """The head of a request exceeds the limits."""


class BodyTooSlow(Exception):
    """The body of a request took too long."""


@dataclasses.dataclass(slots=True)
class ClientBounds:
    """What bounds the clients of all servers of a process."""

    section: client_settings.ClientsSection = dataclasses.field(
        default_factory=client_settings.ClientsSection
    )
    turns: work_turns.WorkTurns = dataclasses.field(
        default_factory=work_turns.WorkTurns
    )


def record_limit(limit: str, source: str) -> None:
    """Log and count that a client was refused or closed by a limit."""
    metrics.CLIENT_LIMITS.labels(limit).inc()
    logs.limited_info("client_limited", limit=limit, source=source)


def _estimate_head_bytes(head: h11.Request) -> int:
    """Return the approximate size of a request line with its headers."""
    headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return headers + len(head.method) + len(head.target)


class RequestReader:
    """Reads the requests of one connection.

    :ivar h11: state of the connection's protocol
    :ivar ahead: number of requests in succession that came before the response to the
        one before them was written
    """

    def __init__(
        self,
        limits: LimitsSource,
        stream: byte_stream.ByteStream,
        bounds: ClientBounds,
    ) -> None:
        self.ahead = 0
        self._get_limits = limits
        self._limits = limits()
        self._stream = stream
        self._bounds = bounds
        self._turn: asyncio.Future[None] | None = None
        self._lines = 0
        self._head_bytes = 0
        self._received_bytes = 0
        self._began_s = time.monotonic()
        self.h11 = self._make_h11()
        stream.set_failure_callback(self._end_waiting)

    @property
    def rate_bytes_per_s(self) -> float:
        """Bytes a second of the request that is being read."""
        return self._received_bytes / max(1e-3, self.reading_s)

    @property
    def reading_s(self) -> float:
        """Time since the request that is being read began."""
        return time.monotonic() - self._began_s

    @property
    def is_waiting_turn(self) -> bool:
        """Whether decoding the request waits for its turn, since it takes long."""
        return self._turn is not None and not self._turn.done()

    def _end_waiting(self, error: OSError) -> None:
        """End the wait for a turn with an error."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_exception(error)

    @property
    def has_next(self) -> bool:
        """Whether bytes of a further request have arrived."""
        return bool(self.h11.trailing_data[0]) or self._stream.has_unread

    async def wait_for_request(self) -> bool:
        """Wait for the start of a request; return whether there is one."""
        self._limits = self._get_limits()
        self._lines = self._received_bytes = 0
        trailing = self.h11.trailing_data[0]
        if trailing:
            self.ahead += 1
            self._record_received(trailing)
            return True
        self.ahead = self.ahead + 1 if self._stream.has_unread else 0
        if not await self._wait_within_idle_timeout():
            return False
        try:
            data = await self._stream.read(_MAX_HEAD_READ_BYTES)
        except OSError:
            # The client disconnected between requests, so no request is lost.
            return False
        if not data:
            return False
        self._receive(data)
        return True

    async def read_head(self) -> h11.Request | None:
        """Return the head of the next request, ``None`` if there is no further one.

        :raises HeadTooLarge: when it has too many bytes or fields
        """
        self._began_s = time.monotonic()
        self._apply_limits()
        until_s = self._began_s + self._limits.header_timeout_s
        head = await self._next_head(until_s)
        if not isinstance(head, h11.Request):
            return None
        if len(head.headers) > self._bounds.section.max_fields:
            record_limit("fields", self._stream.source)
            raise HeadTooLarge
        self._head_bytes = _estimate_head_bytes(head)
        if self._head_bytes > self._limits.max_header_bytes:
            raise HeadTooLarge
        self._head_bytes += len(head.headers) * _FIELD_BYTES
        return head

    async def read_body(self) -> bytes:
        """Return the body of a request, which then counts as one that is handled.

        :raises BodyTooLarge: when it has too many bytes
        :raises BodyTooSlow: when it has not ended in time
        """
        if self.h11.they_are_waiting_for_100_continue:
            self._stream.write(
                self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                or b""
            )
        body = bytearray()
        holding = self._stream.holding
        try:
            await self._collect_body(body)
            holding.set_collected(len(self.h11.trailing_data[0]))
            if not holding.set_handled(self._head_bytes + len(body)):
                raise byte_stream.MemoryRevoked
            return bytes(body)
        except BaseException:
            holding.set_collected(0)
            raise
        finally:
            # The traceback of an error refers to it.
            body.clear()

    async def run_costly(
        self, head_fields: int, work: abc.Callable[[], model.ClientRequest]
    ) -> model.ClientRequest:
        """Run what takes long for a head of many fields, in a turn if it does."""
        if head_fields <= _MAX_LIGHT_LINES:
            return work()
        return await self._run_in_turn(work)

    async def _run_in_turn(self, work: abc.Callable[[], _Result]) -> _Result:
        return await self._bounds.turns.run(self, work, self._record_wait)

    def _record_wait(self, turn: asyncio.Future[None] | None) -> None:
        self._turn = turn

    def _make_h11(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _apply_limits(self) -> None:
        """Use the limits in force for the next request."""
        former, self._limits = self._limits, self._get_limits()
        if self._limits == former:
            return
        received = self.h11.trailing_data[0]
        self.h11 = self._make_h11()
        if received:
            self.h11.receive_data(received)

    async def _wait_within_idle_timeout(self, until_s: float = math.inf) -> bool:
        """Wait until the client sends something; return ``False`` if it does not.

        The longest timeout applies that was in force since the wait began, so that a
        change cuts no client that goes by the one before or by the new one.
        """
        began_s = time.monotonic()
        while True:
            timeout_s = max(
                self._limits.idle_timeout_s, self._get_limits().idle_timeout_s
            )
            idle_until_s = began_s + timeout_s + _IDLE_SLACK_S
            left_s = min(idle_until_s, until_s) - time.monotonic()
            if await self._stream.wait_readable(max(0.0, left_s)):
                return True
            if left_s <= 0:
                return False

    async def _next_head(self, until_s: float) -> typing.Any:
        """Return a request's head; costly ones are decoded in turns."""
        while True:
            if self._lines > _MAX_LIGHT_LINES or self.ahead:
                event = await self._run_in_turn(self.h11.next_event)
            else:
                event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._read_more(until_s, _MAX_HEAD_READ_BYTES)

    async def _collect_body(self, body: bytearray) -> None:
        """Add the parts of a body as they arrive, up to its end."""
        until_s = time.monotonic() + self._bounds.section.body_timeout_s
        chunk_count = 0
        while True:
            # Small chunks cost most, so that their decoding goes in turns.
            if chunk_count > _MAX_CHUNKS_PER_TURN:
                events = await self._run_in_turn(self._decode_parts)
                await asyncio.sleep(0)
            else:
                events = [self.h11.next_event()]
            for event in events:
                if event is h11.NEED_DATA:
                    await self._read_more(math.inf, _MAX_READ_BYTES)
                    continue
                if isinstance(event, h11.EndOfMessage):
                    return
                if not isinstance(event, h11.Data):
                    raise ConnectionResetError
                body += event.data
                chunk_count += event.chunk_start
            self._check_body(len(body), chunk_count, until_s)

    def _decode_parts(self) -> list[typing.Any]:
        """Return the next parts of a body, as many as one turn allows."""
        events = []
        for _ in range(_MAX_CHUNKS_PER_TURN):
            events.append(self.h11.next_event())
            if not isinstance(events[-1], h11.Data):
                break
        return events

    def _check_body(self, size: int, chunk_count: int, until_s: float) -> None:
        """Check what has arrived of a body against the limits."""
        self._stream.holding.set_collected(self._head_bytes + size)
        if size > self._limits.max_body_bytes:
            raise BodyTooLarge
        if time.monotonic() > until_s:
            record_limit("body_time", self._stream.source)
            raise BodyTooSlow
        is_long = chunk_count > _MAX_SMALL_CHUNKS
        if is_long and size < chunk_count * _SMALL_CHUNK_BYTES:
            raise h11.RemoteProtocolError("chunks too small")

    async def _read_more(self, until_s: float, most: int) -> None:
        """Pass on what the client sends next.

        :raises TimeoutError: when the client sent nothing in time; what it sent counts,
            even if the daemon reads it late
        """
        if not await self._wait_within_idle_timeout(until_s):
            raise TimeoutError
        if self._stream.has_unread:
            # Reading what has arrived gives nothing else a turn.
            await asyncio.sleep(0)
        self._receive(await self._stream.read(most))

    def _receive(self, data: bytes) -> None:
        self.h11.receive_data(data)
        self._record_received(data)

    def _record_received(self, data: bytes) -> None:
        """Count received bytes, and the fields that a head may have by its lines."""
        self._received_bytes += len(data)
        if self.h11.their_state is h11.IDLE:
            self._lines += data.count(b"\n")
            self._stream.holding.set_collected(
                self._received_bytes + self._lines * _FIELD_BYTES
            )
