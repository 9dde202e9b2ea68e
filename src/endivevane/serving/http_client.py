"""HTTP/1.1 client with a pool of persistent connections."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import typing
from collections import abc

import h11

from endivevane.serving import byte_stream, failures, memory_budget

# Idle timeout of a connection when the peer sends no Keep-Alive header.
_DEFAULT_IDLE_TIMEOUT_S = 4.0
# The seconds in a Keep-Alive header may have been rounded up.
_IDLE_MARGIN_S = 0.6
_MAX_IDLE_PER_ENDPOINT = 16
# Interim (1xx) responses before the final one; a peer that sends more is broken.
_MAX_INTERIM_RESPONSES = 8
# Largest body that is read into memory; an object has 8 MB, rows 1 MB.
_MAX_BODY_BYTES = 16 << 20
# Bytes that are decoded before other connections have their turn.
_MAX_READ_BYTES = 64 * 1024
# Larger bodies are written apart from their heads, which saves a copy.
_MAX_JOINED_BYTES = 64 * 1024
_MAX_JOINED_CHUNKS = 64
# Each chunk takes time to decode, so that these are no sound body.
_MAX_SMALL_CHUNKS = 4096
_SMALL_CHUNK_BYTES = 8
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_LAST_STATUS = 599
# Responses with these statuses have no body.
_BODILESS_STATUSES = frozenset((204, 304))


class BrokenAnswer(failures.ServingError):
    """A peer's response ended early or is not valid HTTP.

    :param cause: what is wrong
    """

    def __init__(self, cause: str) -> None:
        super().__init__()
        self.cause = cause

    def format_message(self) -> str:
        """Return the cause."""
        return f"broken answer: {self.cause}"


class AnswerTooLarge(BrokenAnswer):
    """A peer sent more than is kept of its response."""


class InvalidAnswer(BrokenAnswer):
    """A peer sent bytes that are no valid HTTP, and did not end the connection."""


@dataclasses.dataclass(slots=True)
class SentFlag:
    """Whether any byte of a request may have been sent."""

    is_set: bool = False


@dataclasses.dataclass(eq=False)
class Endpoint:
    """An address with a back-off after failures.

    :param is_relay: whether it is a daemon that answers in the store's place, by a
        call of its own or from its copy
    :param path_prefix: prefix of the paths of all calls, empty if they are forwarded
    :param poll_margin_s: time for the answer to a long poll after its wait
    :ivar heard_s: monotonic time of its last response, whatever the status
    :ivar answered_s: monotonic time of the last call that succeeded
    :ivar paused_until_s: monotonic time before which other endpoints are preferred
    """

    host: str
    port: int
    is_relay: bool = False
    path_prefix: str = ""
    poll_margin_s: float = 1.0
    heard_s: float = 0.0
    answered_s: float = 0.0
    paused_until_s: float = 0.0
    _backoff_s: float = 0.0

    def record_failure(self) -> None:
        """Start a back-off, which doubles with each consecutive failure."""
        self._backoff_s = min(_MAX_BACKOFF_S, max(_MIN_BACKOFF_S, self._backoff_s * 2))
        self.paused_until_s = time.monotonic() + self._backoff_s

    def record_success(self) -> None:
        """End the back-off."""
        self.answered_s = time.monotonic()
        self._backoff_s = 0.0
        self.paused_until_s = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    :param headers: names are in lower case
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


def is_framed(head: h11.Response) -> bool:
    """Return whether a response gives its length or comes in chunks."""
    return any(
        name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
    )


class Connection:
    """One connection to a peer, used for one request at a time.

    :ivar is_reused: whether it has carried another request before
    :ivar may_have_sent: whether any byte of the current request may have been sent
    :ivar last_attempt_id: attempt of the last request, whose response the peer may
        send twice
    """

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self.stream = stream
        self.is_reused = False
        self.may_have_sent = False
        self.last_attempt_id = b""
        self.idle_since_s = 0.0
        self.idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self._h11 = h11.Connection(h11.CLIENT)
        self._pending_event: typing.Any = None
        self._chunk_count = 0
        self._body_bytes = 0
        self._is_at_end = False
        self._has_bodiless_method = False
        self._ends_with_connection = False

    def send(
        self,
        method: bytes,
        path: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a request without waiting until the peer takes it.

        The peer may answer before, and read no more of it.

        :raises OSError: when the connection is closed
        """
        self._has_bodiless_method = method == b"HEAD"
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._h11.send(request) or b""
        self.may_have_sent = True
        if len(body) > _MAX_JOINED_BYTES:
            self.stream.write(data)
            data = b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self.stream.write(data)

    async def read_head(self) -> h11.Response:
        """Return the head of the response.

        :raises BrokenAnswer: when the connection ends or the peer sends no valid HTTP
        """
        for _ in range(_MAX_INTERIM_RESPONSES):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenAnswer(f"{type(event).__name__} instead of a response head")
            if event.status_code > _LAST_STATUS:
                raise InvalidAnswer(f"status {event.status_code}")
            is_bodiless = event.status_code in _BODILESS_STATUSES
            self._ends_with_connection = not (
                is_framed(event) or is_bodiless or self._has_bodiless_method
            )
            return event
        raise BrokenAnswer("no final answer")

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` at its end.

        Chunks that have arrived are joined, so that small ones take little memory.

        :raises BrokenAnswer: when the body ends early
        """
        data = bytearray()
        for _ in range(_MAX_JOINED_CHUNKS):
            event = self._find_event() if data else await self._next_event()
            if not isinstance(event, h11.Data):
                break
            data += event.data
            self._record_data(event)
        else:
            await asyncio.sleep(0)
            return bytes(data)
        if data:
            self._pending_event = None if event is h11.NEED_DATA else event
            return bytes(data)
        if not isinstance(event, h11.EndOfMessage):
            raise BrokenAnswer(f"{type(event).__name__} instead of body data")
        if self._ends_with_connection and self.stream.has_unacknowledged:
            # The peer has closed without having read the request, as in a crash.
            raise BrokenAnswer("connection ended before the request was received")
        return None

    def prepare_reuse(self, idle_timeout_s: float | None) -> bool:
        """Prepare the connection for another request; return whether it can be used."""
        if self.stream.has_unacknowledged or self.stream.has_unread:
            return False
        if not self.stream.is_usable or self._h11.trailing_data[0]:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.is_reused = True
        self.may_have_sent = False
        self._chunk_count = self._body_bytes = 0
        self.stream.holding.set_collected(0)
        self.idle_since_s = time.monotonic()
        if idle_timeout_s is not None:
            self.idle_timeout_s = max(0.0, idle_timeout_s - _IDLE_MARGIN_S)
        return True

    def is_fresh(self, max_idle_s: float) -> bool:
        """Return whether the connection is likely to be still open at the peer."""
        idle_s = time.monotonic() - self.idle_since_s
        allowed_idle_s = min(self.idle_timeout_s, max_idle_s)
        return (
            idle_s < allowed_idle_s
            and self.stream.is_usable
            and not self.stream.has_unread
        )

    def _record_data(self, event: h11.Data) -> None:
        """Count a part of the body.

        :raises BrokenAnswer: when its chunks are too small
        """
        self._chunk_count += event.chunk_start
        self._body_bytes += len(event.data)
        if self._chunk_count <= _MAX_SMALL_CHUNKS:
            return
        if self._body_bytes < self._chunk_count * _SMALL_CHUNK_BYTES:
            raise BrokenAnswer("chunks too small")

    def _find_event(self) -> typing.Any:
        """Return the next event of what has arrived; errors show at the next one."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError:
            return h11.NEED_DATA

    async def _next_event(self) -> typing.Any:
        if self._pending_event is not None:
            event, self._pending_event = self._pending_event, None
            return event
        while True:
            try:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                if self.stream.has_unread:
                    # Reading what has arrived gives nothing else a turn.
                    await asyncio.sleep(0)
                data = await self.stream.read(_MAX_READ_BYTES)
                self._is_at_end = not data
                self._h11.receive_data(data)
            except h11.RemoteProtocolError as error:
                kind = BrokenAnswer if self._is_at_end else InvalidAnswer
                raise kind(str(error)[:80]) from error
            except byte_stream.MemoryRevoked as error:
                raise AnswerTooLarge("too much of it is unread") from error
            except OSError as error:
                raise BrokenAnswer(type(error).__name__) from error


class ConnectionPool:
    """Keeps idle connections for later requests to the same address.

    :param budget: bounds what is kept of responses; one of its own if ``None``
    """

    def __init__(
        self,
        connect_timeout_s: float,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self._budget = budget or memory_budget.MemoryBudget("pool")
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int], collections.deque[Connection]] = {}
        self.opened_count = 0

    async def open(
        self,
        host: str,
        port: int,
        max_idle_s: float = float("inf"),
        attempt_id: bytes = b"",
        is_new: bool = False,
    ) -> Connection:
        """Return the most recently used idle connection, or a new one.

        :param max_idle_s: longest idle time of a connection that is reused
        :param attempt_id: attempt of the request; a connection that has carried it
            before is not reused, since a late copy of the earlier response could not
            be told from the new one
        :param is_new: whether the connection must be new
        :raises OSError: when no connection can be opened in time
        """
        idle = self._idle.get((host, port))
        while idle and not is_new:
            connection = idle.pop()
            has_same_attempt = (
                bool(attempt_id) and connection.last_attempt_id == attempt_id
            )
            if connection.is_fresh(max_idle_s) and not has_same_attempt:
                connection.stream.unpark()
                connection.last_attempt_id = attempt_id
                return connection
            connection.stream.close()
        self.opened_count += 1
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_timeout_s):
            _, stream = await loop.create_connection(
                lambda: byte_stream.ByteStream(None, self._budget), host, port
            )
        connection = Connection(stream)
        connection.last_attempt_id = attempt_id
        return connection

    def release(
        self,
        host: str,
        port: int,
        connection: Connection,
        idle_timeout_s: float | None = None,
    ) -> None:
        """Return a connection to the pool after a complete response."""
        idle = self._idle.setdefault((host, port), collections.deque())
        if connection.stream.has_unsent:
            # A peer that has answered may never read the rest of the request.
            connection.stream.abort()
            return
        if len(idle) >= _MAX_IDLE_PER_ENDPOINT or not connection.prepare_reuse(
            idle_timeout_s
        ):
            connection.stream.close()
            return
        connection.stream.park()
        idle.append(connection)

    def forget(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop((host, port), ()):
            connection.stream.close()

    async def call(
        self,
        endpoint: Endpoint,
        method: bytes,
        path: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        sent: SentFlag,
        on_data: abc.Callable[[], None] | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :param on_data: called when a part of the body has arrived
        :raises BrokenAnswer: when the response ends early
        :raises OSError: when no connection can be opened
        """
        connection = await self.open(endpoint.host, endpoint.port)
        response_body = bytearray()
        is_complete = False
        try:
            host = f"{endpoint.host}:{endpoint.port}".encode()
            all_headers = [(b"Host", host), *headers]
            all_headers.append((b"Content-Length", str(len(body)).encode()))
            if body:
                all_headers.append((b"Content-Type", b"application/json"))
            sent.is_set = True
            connection.send(method, path, all_headers, body)
            head = await connection.read_head()
            is_success = 200 <= head.status_code < 300
            if is_success and connection.stream.has_unacknowledged:
                raise BrokenAnswer("success before the request was received")
            while (data := await connection.read_data()) is not None:
                response_body += data
                if on_data is not None:
                    on_data()
                connection.stream.holding.set_collected(len(response_body))
                if len(response_body) > _MAX_BODY_BYTES:
                    raise AnswerTooLarge("body too large")
            is_complete = True
        finally:
            if is_complete:
                self.release(endpoint.host, endpoint.port, connection)
            else:
                # The error's traceback refers to it.
                response_body.clear()
                connection.stream.abort()
        return HttpResponse(head.status_code, tuple(head.headers), bytes(response_body))
