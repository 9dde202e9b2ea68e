"""Subclasses of waitress's channel, parser and tasks for this server."""

from __future__ import annotations

import copy
import socket
import typing

import waitress.adjustments
import waitress.channel
import waitress.parser
import waitress.task
import waitress.utilities

from endivevane import types, utils
from endivevane.web import app, errors

# The type stubs of waitress lack most attributes of these classes.
_BaseAdjustments: typing.Any = waitress.adjustments.Adjustments
_BaseParser: typing.Any = waitress.parser.HTTPRequestParser
_BaseErrorTask: typing.Any = waitress.task.ErrorTask
_BaseTask: typing.Any = waitress.task.WSGITask
_BaseChannel: typing.Any = waitress.channel.HTTPChannel

# Lingering close: how long input is read and discarded after an early error response.
# Closing a connection with unread data resets it, and the client may lose the response.
_LINGER_TIMEOUT_S = 2.0


class HeadersTooLarge(errors.InvalidRequest):
    """The request line and the headers exceed the limit."""

    status, code = 431, "headers_too_large"


class EncodingNotSupported(errors.InvalidRequest):
    """The transfer encoding is not supported."""

    status, code = 501, "transfer_encoding_not_supported"


class RequestTimeout(errors.InvalidRequest):
    """The client took too long to send its request."""

    status, code = 408, "request_timeout"


_ERRORS: dict[int, type[errors.ApiError]] = {
    400: errors.InvalidRequest,
    408: RequestTimeout,
    413: errors.BodyTooLarge,
    431: HeadersTooLarge,
    501: EncodingNotSupported,
}


class _ReceiveTimeout(waitress.utilities.Error):
    """Waitress's equivalent of :class:`RequestTimeout`."""

    code = 408
    reason = "Request Timeout"


class Adjustments(_BaseAdjustments):  # type: ignore[misc]
    """Waitress's settings with a lower body limit outside the upload paths."""

    non_upload: Adjustments
    upload_paths: tuple[str, ...] = ()

    def set_body_limit(self, limit_bytes: int, upload_paths: tuple[str, ...]) -> None:
        """Set the body limit of all paths but the upload paths.

        :param limit_bytes: smallest size that is rejected
        """
        self.upload_paths = upload_paths
        self.non_upload = copy.copy(self)
        self.non_upload.max_request_body_size = limit_bytes

    def for_path(self, path: str) -> Adjustments:
        """Return the settings that apply to a path."""
        return self if path.rstrip("/") in self.upload_paths else self.non_upload


class Parser(_BaseParser):  # type: ignore[misc]
    """Waitress's parser with a body limit per path."""

    adj: Adjustments

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers.

        Waitress does not handle errors of URL and number parsing, which would close the
        connection without a response.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise waitress.parser.ParsingError(str(error)) from error
        self.adj = self.adj.for_path(self.path)


class ErrorTask(_BaseErrorTask):  # type: ignore[misc]
    """Responds with a JSON error to a request that could not be parsed."""

    def execute(self) -> None:
        """Write the error response and close the connection."""
        parsing_error = self.request.error
        error_class = _ERRORS.get(parsing_error.code)
        if error_class is None:
            error = errors.ApiError(
                "internal error; see the daemon's log",
                run_state=types.RunState.MAY_HAVE_RUN,
            )
        else:
            error = error_class(f"{parsing_error.reason}: {parsing_error.body}")
        body = error.encode_body()
        self.status = f"{error.status} {parsing_error.reason}"
        self.response_headers = [
            ("Content-Type", "application/json"),
            (app.REQUEST_ID_HEADER, utils.make_id("req")),
            *error.make_headers().items(),
        ]
        self.channel.must_linger = True
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Task(_BaseTask):  # type: ignore[misc]
    """Runs the application for one request."""

    def get_environment(self) -> dict[str, typing.Any]:
        """Return the WSGI environment with the channel in it."""
        environ: dict[str, typing.Any] = super().get_environment()
        environ[app.CHANNEL_KEY] = self.channel
        return environ

    def build_response_header(self) -> bytes:
        """Return the response head, with ``Connection: close`` during a drain."""
        if self.channel.server.is_draining:
            self.request.headers["CONNECTION"] = "close"
        head: bytes = super().build_response_header()
        return head

    def write(self, data: bytes) -> None:
        """Write to the client, unless its socket was detached."""
        if self.channel.is_detached:
            return
        super().write(data)

    def finish(self) -> None:
        """Finish the response; a detached connection is not used again."""
        if self.channel.is_detached:
            self.close_on_finish = True
            return
        super().finish()


class Channel(_BaseChannel):  # type: ignore[misc]
    """A client connection that waitress owns."""

    connected: bool
    request: typing.Any
    socket: typing.Any
    will_close: bool

    task_class = Task
    error_task_class = ErrorTask
    parser_class = Parser

    is_detached = False
    must_linger = False
    linger_until: float | None = None
    request_started: float | None = None

    def detach_socket(self) -> socket.socket | None:
        """Detach the socket; called by a worker while its request is in progress.

        Waitress polls no connection whose request is in progress, so its event loop
        does not use the descriptor. The lock waits for the loop to leave ``received``.

        :return: the socket; ``None`` when the connection is closed or the client has
            not read an earlier response
        """
        with self.outbuf_lock:
            # The response to an earlier request on the connection must go out first.
            self._flush_exception(self._flush_some, do_close=False)
        with self.requests_lock:
            sock: socket.socket | None = self.socket
            if sock is None or not self.connected or self.total_outbufs_len:
                return None
            self.is_detached = True
            self.connected = False
            self.del_channel()
            self.socket = None
            return sock

    def received(self, data: bytes) -> bool:
        """Process data from the client."""
        if self.request_started is None:
            self.request_started = self.last_activity
        outcome: bool = super().received(data)
        if self.request is None:
            self.request_started = None
        return outcome

    def readable(self) -> bool:
        """Return whether the event loop should read.

        A detached descriptor may be closed and reused by another connection while the
        loop waits, so it must never be polled.
        """
        if self.is_detached:
            return False
        if self.linger_until is not None:
            return True
        return bool(super().readable())

    def writable(self) -> bool:
        """Return whether the event loop should write or close."""
        if self.is_detached:
            return False
        if self.linger_until is not None:
            return bool(self.will_close)
        return bool(super().writable())

    def handle_read(self) -> None:
        """Read from the client; discard the data during a lingering close."""
        if self.linger_until is None:
            super().handle_read()
            return
        try:
            data = self.recv(self.adj.recv_bytes)
        except OSError:
            data = b""
        if not data:
            self.handle_close()

    def handle_close(self) -> None:
        """Close the connection, with a lingering close after an early error."""
        if self.must_linger and self.linger_until is None and self.connected:
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.must_linger = False
            else:
                self.will_close = False
                self.linger_until = self.last_activity + _LINGER_TIMEOUT_S
                return
        super().handle_close()

    def check_limits(self, now: float) -> None:
        """Close the connection when a timeout has passed.

        :param now: wall time, as in ``last_activity``
        """
        settings = self.server.settings
        if self.is_detached:
            return
        if self.linger_until is not None:
            self.will_close = self.will_close or now >= self.linger_until
            return
        started = self.request_started
        if started is not None and now - started > settings.receive_timeout_s:
            self._reject_slow_request()
            return
        limit_s = settings.idle_timeout_s
        if self.server.is_draining and not self.total_outbufs_len:
            limit_s = settings.drain_idle_s
        is_waiting = not self.requests or self.total_outbufs_len > 0
        if is_waiting and now - self.last_activity > limit_s:
            self.will_close = True

    def _reject_slow_request(self) -> None:
        """Respond with an error to a request that takes too long to arrive."""
        with self.requests_lock:
            request = self.request
            if request is None or self.requests:
                return
            request.error = _ReceiveTimeout("the request did not arrive in time")
            request.completed = True
            self.request = None
            self.request_started = None
            self.requests.append(request)
        self.server.add_task(self)
