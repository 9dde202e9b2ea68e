"""HTTP/1.1 server for clients, health checks and other daemons."""

from __future__ import annotations

import asyncio
import http
import socket
import time
import typing
from collections import abc

import h11

from endivevane import logs
from endivevane.serving import byte_stream, model, responder

_BACKLOG = 1024
# How long the end of an answer may take to reach a client that does not read.
_FLUSH_S = 2.0


class RequestCodec(typing.Protocol):
    """Translates requests of clients."""

    def decode_request(
        self,
        method: bytes,
        path: bytes,
        raw: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        received_s: float,
    ) -> model.ClientRequest:
        """Return a client's request."""


Handler = abc.Callable[
    [model.ClientRequest, responder.Responder], abc.Coroutine[object, object, None]
]
LimitsSource = abc.Callable[[], model.ClientLimits]


def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()


def _measure_head(head: h11.Request) -> int:
    """Return the bytes of a request's line and headers, about."""
    headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return headers + len(head.method) + len(head.target)


class _TooLarge(Exception):
    """A body is larger than allowed."""


class _ClientConnection:
    """Serves the requests of one connection, one after the other."""

    def __init__(self, server: Server, stream: byte_stream.ByteStream) -> None:
        self._server = server
        self._stream = stream
        self._limits = server.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        self.is_idle = True

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            while await self._serve_next():
                self._http.start_next_cycle()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
        except _TooLarge:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        except (OSError, TimeoutError, h11.LocalProtocolError) as error:
            logs.limited_info("client_connection_ended", cause=repr(error))
        finally:
            self.is_idle = False
            self._stream.close()
            # A stop waits for what has been answered to leave.
            await self._stream.wait_lost(_FLUSH_S)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.is_idle and not self._stream.has_unread:
            self._stream.close()

    async def _serve_next(self) -> bool:
        """Read and serve a request; return whether another one may follow."""
        self.is_idle = True
        if not await self._wait_for_bytes():
            return False
        self.is_idle = False
        async with asyncio.timeout(self._limits.header_timeout_s):
            head = await self._next_event()
        if not isinstance(head, h11.Request):
            return False
        if _measure_head(head) > self._limits.max_header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return False
        body = await self._read_body()
        request = self._server.codec.decode_request(
            bytes(head.method),
            bytes(head.target),
            list(head.headers.raw_items()),
            body,
            time.monotonic(),
        )
        answer = _Responder(self._http, self._stream, self._server)
        await self._handle(request, answer)
        if answer.is_aborted or self._stream.is_ended:
            return False
        await self._flush()
        is_done = self._http.our_state is h11.DONE
        return is_done and self._http.their_state is h11.DONE

    async def _wait_for_bytes(self) -> bool:
        """Wait for the first bytes of a request, return whether there are any."""
        if self._http.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                data = await self._stream.read()
        except (OSError, TimeoutError):
            # Clients may leave and idle connections are closed: nothing is lost.
            return False
        if not data:
            return False
        self._http.receive_data(data)
        return True

    async def _handle(self, request: model.ClientRequest, answer: _Responder) -> None:
        """Run the handler, and cancel it when the client leaves."""
        task = asyncio.ensure_future(self._server.handler(request, answer))
        self._stream.call_when_ended(lambda: _cancel(task))
        try:
            await asyncio.wait((task,))
        finally:
            self._stream.call_when_ended(None)
            task.cancel()
        if task.cancelled():
            answer.abort()
            return
        error = task.exception()
        if error is None:
            return
        logs.error("handler_failed", cause=repr(error), path=request.path)
        if answer.is_begun:
            answer.abort()
            return
        # What the handler did before it failed is not known.
        answer.send(responder.Response(500))

    async def _flush(self) -> None:
        async with asyncio.timeout(_FLUSH_S):
            await self._stream.drain()

    async def _read_body(self) -> bytes:
        if self._http.they_are_waiting_for_100_continue:
            self._stream.write(
                self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
                or b""
            )
        chunks: list[bytes] = []
        size = 0
        while True:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                raise _TooLarge

    async def _next_event(self) -> typing.Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.read())

    def _reject(self, status: int) -> None:
        """Answer a request that can't be read, and close the connection."""
        logs.limited_info("request_rejected", status=status)
        try:
            head = h11.Response(
                status_code=status,
                headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
            )
            data = self._http.send(head) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            self._stream.write(data)
        except (h11.LocalProtocolError, OSError) as error:
            logs.limited_info("rejection_not_sent", cause=repr(error))


class _Responder:
    """Writes an answer to a client with h11."""

    def __init__(
        self, http_state: h11.Connection, stream: byte_stream.ByteStream, server: Server
    ) -> None:
        self.is_begun = False
        self.is_aborted = False
        self._http = http_state
        self._stream = stream
        self._server = server

    def send(self, answer: responder.Response) -> None:
        """Write a whole answer."""
        headers = [*answer.headers]
        if answer.content_type:
            headers.append((b"Content-Type", answer.content_type.encode()))
        if answer.retry_after_s is not None:
            headers.append((b"Retry-After", f"{answer.retry_after_s:.2f}".encode()))
        headers.append((b"Content-Length", str(len(answer.body)).encode()))
        data = self._write_head(answer.status, answer.reason, headers)
        if answer.body:
            data += self._http.send(h11.Data(data=answer.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._stream.write(data)

    def begin(self, reply: model.TargetReply) -> None:
        """Write the head of an answer whose body follows in pieces."""
        data = self._write_head(reply.status, reply.reason, [*reply.headers])
        self._stream.write(data)

    async def write(self, data: bytes) -> None:
        """Write a piece of the body and wait until the client takes more."""
        if not data:
            return
        self._stream.write(self._http.send(h11.Data(data=data)) or b"")
        await self._stream.drain()

    def finish(self) -> None:
        """Write the end of the body."""
        self._stream.write(self._http.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self.is_aborted = True
        if self._is_ended_by_close:
            # To this client an orderly close is the end of a whole answer.
            self._stream.reset()
        else:
            self._stream.close()

    @property
    def _is_ended_by_close(self) -> bool:
        """Whether the client takes the end of the connection for that of the answer."""
        version = self._http.their_http_version
        return self.is_begun and version is not None and version < b"1.1"

    def _write_head(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> bytes:
        if self._server.is_stopping:
            headers.append((b"Connection", b"close"))
        self.is_begun = True
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._http.send(head) or b""


class Server:
    """Accepts connections at one address and hands their requests to a handler.

    :ivar is_stopping: whether answers ask clients to close their connections
    """

    def __init__(
        self, codec: RequestCodec, handler: Handler, limits: LimitsSource
    ) -> None:
        self.codec = codec
        self.handler = handler
        self.limits = limits
        self.is_stopping = False
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._connections: dict[_ClientConnection, asyncio.Task[None]] = {}
        self._adopting: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept connections."""
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server((host, port), backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._server = await loop.create_server(
            self._make_stream, sock=self._socket, backlog=_BACKLOG
        )

    @property
    def port(self) -> int:
        """The port that is listened to, 0 before :meth:`listen`."""
        if self._socket is None:
            return 0
        return int(self._socket.getsockname()[1])

    @property
    def active_connections(self) -> int:
        """Number of connections on which a request is read or served."""
        served = sum(1 for item in self._connections if not item.is_idle)
        return served + len(self._adopting)

    def close_listener(self) -> None:
        """Accept no more connections, but those that clients have made already.

        The system would reset what waits to be accepted.
        """
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                # None is left, or the listener was closed before.
                break
            accepted.setblocking(False)
            task = loop.create_task(self._adopt(accepted))
            self._adopting.add(task)
            task.add_done_callback(self._adopting.discard)
        self._server.close()

    async def _adopt(self, accepted: socket.socket) -> None:
        """Serve a connection that was accepted by hand."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_stream, accepted)
        except OSError as error:
            logs.limited_info("client_connection_ended", cause=repr(error))

    def _make_stream(self) -> byte_stream.ByteStream:
        return byte_stream.ByteStream(self._accept)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _accept(self, stream: byte_stream.ByteStream) -> None:
        connection = _ClientConnection(self, stream)
        task = asyncio.ensure_future(connection.run())
        self._connections[connection] = task
        task.add_done_callback(lambda _task: self._connections.pop(connection, None))
