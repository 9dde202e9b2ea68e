"""HTTP/1.1 server for clients, health checks and other daemons."""

from __future__ import annotations

import asyncio
import socket

from endivevane import logs
from endivevane.serving import (
    byte_stream,
    client_connection,
    connection_limiter,
    memory_budget,
    request_reader,
)

Handler = client_connection.Handler

_BACKLOG = 1024
# Connections that are accepted before others that wait are closed to make room.
_MAX_ACCEPTED_AT_ONCE = 16


class Server:
    """Listens on one address and passes requests to a handler.

    :param budget: bounds what is kept of requests that are not whole; one of its own if
        ``None``
    :param bounds: limits for clients beside the configuration's, the defaults if
        ``None``
    :param limiter: bounds the number of connections, ``None`` for no bound
    """

    def __init__(
        self,
        codec: client_connection.RequestCodec,
        handler: Handler,
        limits: client_connection.LimitsSource,
        budget: memory_budget.MemoryBudget | None = None,
        bounds: request_reader.ClientBounds | None = None,
        limiter: connection_limiter.ConnectionLimiter | None = None,
    ) -> None:
        self._budget = budget or memory_budget.MemoryBudget("server")
        self._limiter = limiter
        self._served = client_connection.Served(
            codec, handler, limits, bounds or request_reader.ClientBounds()
        )
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._connections: dict[
            client_connection.ClientConnection, asyncio.Task[None]
        ] = {}
        self._accepting: set[asyncio.Task[None]] = set()

    async def listen(
        self, host: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Start to accept connections.

        :param listener: a socket that listens there already, ``None`` to open one
        """
        loop = asyncio.get_running_loop()
        self._socket = listener or socket.create_server((host, port), backlog=_BACKLOG)
        self._socket.setblocking(False)
        self._server = await loop.create_server(
            self._make_stream, sock=self._socket, backlog=_MAX_ACCEPTED_AT_ONCE
        )
        # The loop accepts as many at once as it lets wait.
        self._socket.listen(_BACKLOG)

    @property
    def port(self) -> int:
        """The port that the server listens on, 0 before :meth:`listen`."""
        if self._socket is None:
            return 0
        return int(self._socket.getsockname()[1])

    @property
    def active_connections(self) -> int:
        """Number of connections with a request that is not answered and sent."""
        served = sum(1 for item in self._connections if item.is_active)
        return served + len(self._accepting)

    def close_listener(self) -> None:
        """Accept the connections in the backlog and stop listening.

        Each connection that serves a request is closed behind the response.
        Closing the socket would make the kernel reset connections in the backlog.
        """
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                # The backlog is empty, or the socket was closed before.
                break
            accepted.setblocking(False)
            task = loop.create_task(self._serve_accepted(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        self._server.close()
        self._served.is_closing = True

    async def _serve_accepted(self, accepted: socket.socket) -> None:
        """Serve a connection that was accepted from the backlog."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_stream, accepted)
        except OSError as error:
            logs.limited_info("client_connection_ended", cause=repr(error))

    def _make_stream(self) -> byte_stream.ByteStream:
        return byte_stream.ByteStream(self._start_connection, self._budget)

    def announce_stop(self) -> None:
        """Tell clients with each response that their connection will be closed."""
        self._served.is_stopping = True

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    async def close_connections(self, timeout_s: float) -> None:
        """Close all connections; requests without a response get status 502."""
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)

    def _start_connection(self, stream: byte_stream.ByteStream) -> None:
        connection = client_connection.ClientConnection(self._served, stream)
        if self._limiter is not None and not self._limiter.admit(connection):
            connection.refuse()
            return
        task = asyncio.ensure_future(connection.run())
        self._connections[connection] = task
        task.add_done_callback(lambda _task: self._forget(connection))

    def _forget(self, connection: client_connection.ClientConnection) -> None:
        self._connections.pop(connection, None)
        if self._limiter is not None:
            self._limiter.remove(connection)
