"""HTTP/1.1 calls over kept connections."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
import typing

import h11

from endivevane.serving import byte_stream, failures

# A connection that the peer said nothing about is not used again after this long.
_DEFAULT_IDLE_S = 4.0
# Whole seconds of the Keep-Alive header may have been rounded up.
_IDLE_MARGIN_S = 0.6
_MAX_IDLE_PER_ENDPOINT = 16
# Interim answers before the final one; more of them are no answer.
_MOST_INTERIM_ANSWERS = 8
# Whole answers above this size are not taken.
_MOST_WHOLE_BYTES = 64 << 20
_FIRST_PAUSE_S = 0.25
_LONGEST_PAUSE_S = 2.0


class BrokenAnswer(failures.ServingError):
    """A peer's answer ended early or is not HTTP.

    :param cause: what was wrong
    """

    def __init__(self, cause: str) -> None:
        super().__init__()
        self.cause = cause

    def format_message(self) -> str:
        """Return the cause."""
        return f"broken answer: {self.cause}"


@dataclasses.dataclass(slots=True)
class SentFlag:
    """Whether any byte of a call may have left."""

    is_set: bool = False


@dataclasses.dataclass(eq=False)
class Endpoint:
    """An address, with a pause after failures.

    :ivar paused_until_s: monotonic time before which it is a last resort
    """

    host: str
    port: int
    paused_until_s: float = 0.0
    _pause_s: float = 0.0

    def record_failure(self) -> None:
        """Use the endpoint less for a while, longer after each failure in a row."""
        self._pause_s = min(_LONGEST_PAUSE_S, max(_FIRST_PAUSE_S, self._pause_s * 2))
        self.paused_until_s = time.monotonic() + self._pause_s

    def record_success(self) -> None:
        """Use the endpoint as before."""
        self._pause_s = 0.0
        self.paused_until_s = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WholeReply:
    """A whole answer.

    :param headers: names in lower case
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Connection:
    """One connection to a peer, used for one call at a time.

    :ivar is_kept: whether it has carried a call before this one
    :ivar has_sent: whether any byte of the current call may have left
    :ivar last_attempt: attempt of the last call; a second copy of its answer may come
    """

    def __init__(self, stream: byte_stream.ByteStream) -> None:
        self.stream = stream
        self.is_kept = False
        self.has_sent = False
        self.last_attempt = b""
        self.idle_since_s = 0.0
        self.idle_limit_s = _DEFAULT_IDLE_S
        self._http = h11.Connection(h11.CLIENT)

    async def send(
        self,
        method: bytes,
        path: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a whole request."""
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.has_sent = True
        self.stream.write(data)
        await self.stream.drain()

    async def read_head(self) -> h11.Response:
        """Return the head of the answer.

        :raises BrokenAnswer: when the peer breaks off or does not speak HTTP
        """
        for _ in range(_MOST_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return event
            raise BrokenAnswer(f"{type(event).__name__} instead of a head")
        raise BrokenAnswer("no final answer")

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` at its end.

        :raises BrokenAnswer: when the body ends early
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenAnswer(f"{type(event).__name__} instead of data")

    def finish(self, idle_limit_s: float | None) -> bool:
        """Return whether the connection can be used for another call."""
        if self.stream.has_unsent or self.stream.has_unread:
            return False
        if not self.stream.is_usable or self._http.trailing_data[0]:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.is_kept = True
        self.has_sent = False
        self.idle_since_s = time.monotonic()
        if idle_limit_s is not None:
            self.idle_limit_s = max(0.0, idle_limit_s - _IDLE_MARGIN_S)
        return True

    def is_fresh(self, longest_idle_s: float) -> bool:
        """Whether the connection can be expected to work still."""
        idle_s = time.monotonic() - self.idle_since_s
        limit_s = min(self.idle_limit_s, longest_idle_s)
        return idle_s < limit_s and self.stream.is_usable and not self.stream.has_unread

    async def _next_event(self) -> typing.Any:
        while True:
            try:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self.stream.read())
            except h11.RemoteProtocolError as error:
                raise BrokenAnswer(str(error)[:80]) from error
            except OSError as error:
                raise BrokenAnswer(type(error).__name__) from error


class ConnectionPool:
    """Connections that are kept for the next call to the same address."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int], collections.deque[Connection]] = {}
        self.opened = 0

    async def open(
        self,
        host: str,
        port: int,
        longest_idle_s: float = float("inf"),
        attempt: bytes = b"",
    ) -> Connection:
        """Return a connection, the most recently used one if there is any.

        :param longest_idle_s: how long the connection may have been idle
        :param attempt: names the attempt; a connection that has carried it is not
            used, since a late copy of the former answer could not be told from the new
            one
        :raises OSError: when no connection can be made in time
        """
        idle = self._idle.get((host, port))
        while idle:
            connection = idle.pop()
            is_same = bool(attempt) and connection.last_attempt == attempt
            if connection.is_fresh(longest_idle_s) and not is_same:
                connection.stream.unpark()
                connection.last_attempt = attempt
                return connection
            connection.stream.close()
        self.opened += 1
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._connect_timeout_s):
            _, stream = await loop.create_connection(byte_stream.ByteStream, host, port)
        connection = Connection(stream)
        connection.last_attempt = attempt
        return connection

    def keep(
        self,
        host: str,
        port: int,
        connection: Connection,
        idle_limit_s: float | None = None,
    ) -> None:
        """Take back a connection after a whole answer."""
        idle = self._idle.setdefault((host, port), collections.deque())
        if len(idle) >= _MAX_IDLE_PER_ENDPOINT or not connection.finish(idle_limit_s):
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
    ) -> WholeReply:
        """Return the whole answer to a call.

        :raises BrokenAnswer: when the answer ends early
        :raises OSError: when there is no connection
        """
        connection = await self.open(endpoint.host, endpoint.port)
        is_whole = False
        try:
            host = f"{endpoint.host}:{endpoint.port}".encode()
            lines = [(b"Host", host), *headers]
            lines.append((b"Content-Length", str(len(body)).encode()))
            if body:
                lines.append((b"Content-Type", b"application/json"))
            sent.is_set = True
            await connection.send(method, path, lines, body)
            head = await connection.read_head()
            chunks = []
            size = 0
            while (data := await connection.read_data()) is not None:
                chunks.append(data)
                size += len(data)
                if size > _MOST_WHOLE_BYTES:
                    raise BrokenAnswer("body too large")
            is_whole = True
        finally:
            if is_whole:
                self.keep(endpoint.host, endpoint.port, connection)
            else:
                connection.stream.abort()
        return WholeReply(head.status_code, tuple(head.headers), b"".join(chunks))
