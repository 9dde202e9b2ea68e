"""Pool of HTTP/1.1 connections to one address."""

from __future__ import annotations

import collections
import dataclasses
import enum
import http.client
import socket
import threading
from collections import abc

import result

from endivevane import exceptions, types
from endivevane.coordination import clock
from endivevane.external import bounded_response

# Failures of a call below the HTTP level.
_FAILURES = (OSError, http.client.HTTPException, bounded_response.ResponseTooLarge)


class Stage(enum.StrEnum):
    """Stage at which a call failed."""

    CONNECT = "connect"
    SEND = "send"
    RESPONSE = "response"


class TransportError(exceptions.EndivevaneError):
    """A call failed below the HTTP level.

    :param address: address that was called
    :param stage: stage of the failure; at ``CONNECT`` no byte was sent on the
        connection that failed
    :param detail: cause of the failure
    :param is_timeout: whether a wait timed out, rather than the connection failed
    :param is_unsent: whether no byte was sent on an earlier connection either
    """

    def __init__(
        self,
        address: types.Address,
        stage: Stage,
        detail: str,
        is_timeout: bool = False,
        is_unsent: bool = False,
    ) -> None:
        super().__init__()
        self.address = address
        self.stage = stage
        self.detail = detail
        self.is_timeout = is_timeout
        self.is_unsent = is_unsent

    def format_message(self) -> str:
        """Return address, stage and detail."""
        return f"{self.address}: failed at {self.stage}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of a pool.

    :param connect_timeout_s: timeout of the TCP handshake
    :param read_timeout_s: timeout of each wait for bytes
    :param response_timeout_s: time from the first byte of a response to its last one
    :param max_response_bytes: size of a response with its head
    :param max_idle_s: connections idle for longer are closed; below the usual idle
        timeouts of load balancers and NAT tables
    :param max_age_s: older connections are not reused
    :param max_idle_connections: number of idle connections to keep
    """

    connect_timeout_s: float = 1.0
    read_timeout_s: float = 10.0
    response_timeout_s: float = 30.0
    max_response_bytes: int = 32 << 20
    max_idle_s: float = 15.0
    max_age_s: float = 300.0
    max_idle_connections: int = 8

    @property
    def response_limits(self) -> bounded_response.ResponseLimits:
        """Limits of each response."""
        return bounded_response.ResponseLimits(
            self.response_timeout_s, self.max_response_bytes
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    :param headers: header names in lower case
    """

    status: int
    headers: abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class _PooledConnection:
    connection: http.client.HTTPConnection
    opened_at_s: float
    idle_since_s: float
    is_reused: bool = False


def open_connection(
    address: types.Address, connect_timeout_s: float, user_timeout_s: float
) -> http.client.HTTPConnection:
    """Open a TCP connection with ``TCP_USER_TIMEOUT`` and ``TCP_NODELAY``.

    :param connect_timeout_s: timeout of the handshake
    :param user_timeout_s: how long sent data may stay unacknowledged
    :raises OSError: when the connection can't be opened
    """
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=connect_timeout_s
    )
    connection.connect()
    sock = connection.sock
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_s * 1000)
    )
    return connection


class SentCall:
    """A request that was sent and whose response has not been read.

    :param address: address that was called
    :ivar sock: socket that becomes readable when the response arrives
    """

    def __init__(
        self, address: types.Address, connection: http.client.HTTPConnection
    ) -> None:
        self._address = address
        self._connection = connection
        self.sock: socket.socket = connection.sock

    def receive(self, timeout_s: float) -> result.Result[Response, TransportError]:
        """Read the complete response and close the connection.

        :param timeout_s: timeout of each wait for bytes
        """
        try:
            self.sock.settimeout(timeout_s)
            raw = self._connection.getresponse()
            data = bounded_response.read_whole(raw)
        except _FAILURES as error:
            return result.Err(_make_error(self._address, Stage.RESPONSE, error))
        finally:
            self.close()
        return result.Ok(_make_response(raw, data))

    def close(self) -> None:
        """Close the connection."""
        # HTTPConnection drops its socket without closing it when the response says
        # "Connection: close".
        self.sock.close()
        self._connection.close()


def _make_error(
    address: types.Address, stage: Stage, error: Exception
) -> TransportError:
    is_timeout = isinstance(error, TimeoutError)
    detail = f"{type(error).__name__}: {error}"
    return TransportError(address, stage, detail, is_timeout)


def _make_response(raw: http.client.HTTPResponse, data: bytes) -> Response:
    headers = {key.lower(): value for key, value in raw.getheaders()}
    return Response(raw.status, headers, data)


class HttpPool:
    """A thread-safe pool of keep-alive connections to one address."""

    def __init__(
        self,
        address: types.Address,
        settings: PoolSettings,
        pool_clock: clock.Clock | None = None,
    ) -> None:
        self.address = address
        self._settings = settings
        self._clock = pool_clock or clock.SystemClock()
        self._idle: collections.deque[_PooledConnection] = collections.deque()
        self._lock = threading.Lock()

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: abc.Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        is_repeatable: bool = True,
    ) -> result.Result[Response, TransportError]:
        """Send a request and read the complete response.

        A reused connection may have been closed by the server; a repeatable call that
        fails on one is retried on a new connection. A call that is not repeatable
        always uses a new connection, so that a failure at ``CONNECT`` proves that
        nothing was sent.

        :param timeout_s: timeout of each wait, instead of the pool's read timeout
        """
        was_reused = False
        while True:
            opened = self._acquire(is_repeatable)
            if isinstance(opened, result.Err):
                opened.err_value.is_unsent = not was_reused
                return opened
            pooled = opened.ok_value
            was_reused = pooled.is_reused
            outcome = self._exchange(pooled, method, path, body, headers, timeout_s)
            if isinstance(outcome, result.Ok) or not was_reused:
                return outcome
            self.close_idle()

    def send(
        self, method: str, path: str, body: bytes, headers: abc.Mapping[str, str]
    ) -> result.Result[SentCall, TransportError]:
        """Send a request on a new connection without waiting for the response.

        A failure at ``CONNECT`` proves that nothing was sent.
        """
        opened = self._acquire(may_reuse=False)
        if isinstance(opened, result.Err):
            return opened
        connection = opened.ok_value.connection
        connection.sock.settimeout(self._settings.read_timeout_s)
        try:
            connection.request(method, path, body, dict(headers))
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            return result.Err(_make_error(self.address, Stage.SEND, error))
        return result.Ok(SentCall(self.address, connection))

    def close_idle(self) -> None:
        """Close all idle connections."""
        with self._lock:
            pooled_list = list(self._idle)
            self._idle.clear()
        for pooled in pooled_list:
            pooled.connection.close()

    def _acquire(
        self, may_reuse: bool
    ) -> result.Result[_PooledConnection, TransportError]:
        now_s = self._clock.monotonic_s()
        while may_reuse:
            with self._lock:
                pooled = self._idle.pop() if self._idle else None
            if pooled is None:
                break
            if self._is_stale(pooled, now_s):
                pooled.connection.close()
                continue
            pooled.is_reused = True
            return result.Ok(pooled)
        try:
            connection = open_connection(
                self.address,
                self._settings.connect_timeout_s,
                self._settings.read_timeout_s,
            )
            bounded_response.apply(connection, self._settings.response_limits)
        except OSError as error:
            return result.Err(TransportError(self.address, Stage.CONNECT, str(error)))
        return result.Ok(_PooledConnection(connection, now_s, now_s))

    def _is_stale(self, pooled: _PooledConnection, now_s: float) -> bool:
        idle_s = now_s - pooled.idle_since_s
        age_s = now_s - pooled.opened_at_s
        return idle_s > self._settings.max_idle_s or age_s > self._settings.max_age_s

    def _exchange(
        self,
        pooled: _PooledConnection,
        method: str,
        path: str,
        body: bytes | None,
        headers: abc.Mapping[str, str] | None,
        timeout_s: float | None,
    ) -> result.Result[Response, TransportError]:
        connection = pooled.connection
        connection.sock.settimeout(timeout_s or self._settings.read_timeout_s)
        stage = Stage.SEND
        try:
            sent_headers = dict(headers or {})
            paced = self._pace(body)
            if body is not None and paced is not body:
                sent_headers["Content-Length"] = str(len(body))
            connection.request(method, path, paced, sent_headers)
            stage = Stage.RESPONSE
            raw = connection.getresponse()
            data = bounded_response.read_whole(raw)
        except _FAILURES as error:
            connection.close()
            return result.Err(_make_error(self.address, stage, error))
        if raw.will_close:
            connection.close()
        else:
            self._release(pooled)
        return result.Ok(_make_response(raw, data))

    def _pace(self, body: bytes | None) -> bytes | abc.Iterator[bytes] | None:
        """Return the body to send; subclasses may limit its rate."""
        return body

    def _release(self, pooled: _PooledConnection) -> None:
        pooled.idle_since_s = self._clock.monotonic_s()
        with self._lock:
            if len(self._idle) < self._settings.max_idle_connections:
                self._idle.append(pooled)
                return
        pooled.connection.close()
