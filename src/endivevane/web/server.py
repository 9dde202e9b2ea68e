"""The HTTP server: waitress with JSON errors, draining and detachable sockets."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import threading
import time
import typing
from collections import abc

import waitress.adjustments
import waitress.server
import waitress.task

from endivevane import exceptions, logs, types
from endivevane.web import app, channel, upload_body

# The kernel would grow the send buffer of a slow client to 4 MB, for each of some
# thousand streams; this size allows 6 MB/s at a round-trip time of 40 ms.
_SEND_BUFFER_BYTES = 128 << 10
# A client machine that has gone down neither acknowledges data nor closes connections.
_TCP_USER_TIMEOUT_S = 30.0
# How often connections are checked during a drain.
_DRAIN_POLL_INTERVAL_S = 0.2

# The type stubs of waitress lack most attributes of this class.
_BaseServer: typing.Any = waitress.server.TcpWSGIServer

WsgiApplication = abc.Callable[
    [dict[str, typing.Any], abc.Callable[..., typing.Any]], abc.Iterable[bytes]
]


class NotDetachable(exceptions.EndivevaneError):
    """The socket of the request can't be detached from waitress."""

    def format_message(self) -> str:
        """Return the reason."""
        return "the client has disconnected or has not read an earlier response"


@dataclasses.dataclass(frozen=True, slots=True)
class DetachedCaller:
    """A client connection that waitress no longer owns.

    :param sock: non-blocking socket; the request has been read from it
    :param host: IP address of the client
    :param is_http11: whether the client accepts chunked transfer encoding
    """

    sock: socket.socket
    host: str
    is_http11: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Address and limits of the HTTP server.

    :param listen: address to listen on; port 0 chooses a free one
    :param worker_threads: threads that run handlers
    :param max_connections: connections that waitress owns at a time
    :param max_body_bytes: largest body, except on the upload paths
    :param max_upload_bytes: largest body on the upload paths
    :param upload_paths: paths to which ``max_upload_bytes`` applies
    :param idle_timeout_s: a connection without a request in progress, or whose
        response makes no progress, is closed after this time
    :param receive_timeout_s: timeout for receiving one complete request
    :param drain_idle_s: how long an idle connection stays open during a drain, so
        that a request already in transit is still answered
    """

    listen: types.Address
    worker_threads: int = 16
    max_connections: int = 4000
    max_header_bytes: int = 32 << 10
    max_body_bytes: int = 4 << 20
    max_upload_bytes: int = 200 << 20
    upload_paths: tuple[str, ...] = ("/v1/files",)
    idle_timeout_s: float = 75.0
    receive_timeout_s: float = 60.0
    drain_idle_s: float = 1.0


def detach(environ: dict[str, typing.Any]) -> DetachedCaller:
    """Detach the client's socket from waitress.

    Afterwards waitress neither reads, writes nor closes the socket, and the response
    that the handler returns is not written.

    :param environ: WSGI environment of the request in progress
    :raises NotDetachable: when the request did not come through this server, or the
        client has disconnected or has not read an earlier response
    """
    client_channel = environ.get(app.CHANNEL_KEY)
    if not isinstance(client_channel, channel.Channel):
        raise NotDetachable()
    sock = client_channel.detach_socket()
    if sock is None:
        raise NotDetachable()
    # The next read or write detects a connection that is already broken.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(_TCP_USER_TIMEOUT_S * 1000)
        )
    is_http11 = environ.get("SERVER_PROTOCOL") == "HTTP/1.1"
    return DetachedCaller(sock, environ.get("REMOTE_ADDR", ""), is_http11)


class HttpServer:
    """Runs the HTTP server in its own thread.

    :param settings: address and limits
    :param application: WSGI application
    """

    def __init__(self, settings: ServerSettings, application: WsgiApplication) -> None:
        self._settings = settings
        self._dispatcher = waitress.task.ThreadedTaskDispatcher()
        self._server = _Server(settings, application, self._dispatcher)
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)
        self.address = types.Address(
            self._server.effective_host, int(self._server.effective_port)
        )

    def start(self) -> None:
        """Start the workers and the server's thread."""
        self._dispatcher.set_thread_count(self._settings.worker_threads)
        self._thread.start()

    def begin_drain(self) -> None:
        """Accept no new connection and respond with ``Connection: close``."""
        self._server.call_on_loop(self._server.begin_drain)

    def drain(self, deadline_s: float) -> bool:
        """Wait until every request that waitress owns is answered or detached.

        :param deadline_s: monotonic time after which the wait ends
        :return: whether no connection is left
        """
        self.begin_drain()
        return self._server.drained.wait(max(0.0, deadline_s - time.monotonic()))

    def stop(self) -> None:
        """Close all connections and end the threads."""
        self._server.call_on_loop(self._server.request_stop)
        self._thread.join(timeout=10.0)
        self._dispatcher.shutdown(timeout=5)
        self._server.close_trigger()

    def _run(self) -> None:
        while not self._server.is_stopped:
            try:
                self._server.run_once()
            except Exception as error:
                logs.error("http_loop_failed", error=repr(error))
                time.sleep(0.05)
        self._server.close_all()


class _Server(_BaseServer):  # type: ignore[misc]
    """Waitress's server with draining, stopping and stricter timeouts."""

    socket: typing.Any
    channel_class = upload_body.UploadChannel

    def __init__(
        self,
        settings: ServerSettings,
        application: WsgiApplication,
        dispatcher: waitress.task.ThreadedTaskDispatcher,
    ) -> None:
        adjustments = _make_adjustments(settings)
        self.settings = settings
        self.is_draining = False
        self.is_stopped = False
        self.drained = threading.Event()
        super().__init__(application, {}, dispatcher=dispatcher, adj=adjustments)

    def call_on_loop(self, function: abc.Callable[[], None]) -> None:
        """Run a function on the server's thread."""
        if not self.is_stopped:
            self.trigger.pull_trigger(function)

    def run_once(self) -> None:
        """Wait for events once and handle them."""
        wait_s = (
            _DRAIN_POLL_INTERVAL_S
            if self.is_draining
            else self.adj.asyncore_loop_timeout
        )
        self.asyncore.poll2(wait_s, self._map)
        if not self.is_draining:
            return
        # Waitress calls this only while the listening socket is open.
        self.maintenance(time.time())
        if not self.active_channels:
            self.drained.set()

    def begin_drain(self) -> None:
        """Stop accepting; connections already in the accept queue are served."""
        if self.is_draining:
            return
        while self._accept_pending():
            self.handle_accept()
        self.is_draining = True
        self.accepting = False
        self.del_channel()
        self.socket.close()
        self.socket = None

    def request_stop(self) -> None:
        """End the event loop after the current iteration."""
        self.is_stopped = True

    def close_all(self) -> None:
        """Close every socket that the server still owns, but for the trigger."""
        for item in list(self._map.values()):
            if item is not self.trigger:
                item.close()
        self.drained.set()

    def close(self) -> None:
        """Close the listening socket; waitress would close the trigger with it."""
        self.asyncore.dispatcher.close(self)

    def close_trigger(self) -> None:
        """Close the pipe that wakes the server's thread.

        Other threads write to it, so they and the server's thread must have ended.
        """
        self.trigger.close()

    def maintenance(self, now: float) -> None:
        """Close idle, stalled and slow connections.

        Iterates over a copy, because workers remove the channels that they detach.
        """
        for item in list(self.active_channels.values()):
            item.check_limits(now)

    def _accept_pending(self) -> bool:
        before = len(self.active_channels)
        self.handle_accept()
        return len(self.active_channels) > before


def _make_adjustments(settings: ServerSettings) -> channel.Adjustments:
    # Waitress rejects a body that is as large as its limit, hence one byte more.
    adjustments = channel.Adjustments(
        host=settings.listen.host,
        port=settings.listen.port,
        threads=settings.worker_threads,
        connection_limit=settings.max_connections,
        max_request_header_size=settings.max_header_bytes,
        max_request_body_size=settings.max_upload_bytes + 1,
        # Below the 1 MB at which waitress spools a response to a temporary file.
        outbuf_high_watermark=512 << 10,
        channel_timeout=max(1, int(settings.idle_timeout_s)),
        cleanup_interval=1,
        # select() can't handle descriptors above 1023.
        asyncore_use_poll=True,
        asyncore_loop_timeout=1,
        log_socket_errors=False,
        clear_untrusted_proxy_headers=False,
        ident=None,
    )
    adjustments.set_body_limit(settings.max_body_bytes + 1, settings.upload_paths)
    return adjustments
