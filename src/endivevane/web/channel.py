"""Waitress's connection, parser and tasks, adapted to this server."""

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

# How long a connection is read and discarded after an early error answer. Closing it
# with unread data would reset it, and the caller could lose the answer.
_DISCARD_S = 2.0


class HeadersTooLarge(errors.InvalidRequest):
    """The request line and the headers are larger than the limit."""

    status, code = 431, "headers_too_large"


class EncodingNotSupported(errors.InvalidRequest):
    """The transfer encoding is not supported."""

    status, code = 501, "transfer_encoding_not_supported"


class RequestTimeout(errors.InvalidRequest):
    """The caller took too long to send its request."""

    status, code = 408, "request_timeout"


_ERRORS: dict[int, type[errors.ApiError]] = {
    400: errors.InvalidRequest,
    408: RequestTimeout,
    413: errors.BodyTooLarge,
    431: HeadersTooLarge,
    501: EncodingNotSupported,
}


class _ReceiveTimeout(waitress.utilities.Error):
    """Waitress's form of :class:`RequestTimeout`."""

    code = 408
    reason = "Request Timeout"


class Adjustments(_BaseAdjustments):  # type: ignore[misc]
    """Waitress's settings with a smaller body limit outside the upload paths."""

    small: Adjustments
    upload_paths: tuple[str, ...] = ()

    def set_body_limit(self, limit_bytes: int, upload_paths: tuple[str, ...]) -> None:
        """Limit bodies on all other paths.

        :param limit_bytes: first size that is refused
        """
        self.upload_paths = upload_paths
        self.small = copy.copy(self)
        self.small.max_request_body_size = limit_bytes

    def for_path(self, path: str) -> Adjustments:
        """Return the settings that apply to a path."""
        return self if path.rstrip("/") in self.upload_paths else self.small


class Parser(_BaseParser):  # type: ignore[misc]
    """Waitress's parser with a body limit per path."""

    adj: Adjustments

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers.

        The library lets the errors of URL and number parsing through, which would
        close the connection without an answer.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise waitress.parser.ParsingError(str(error)) from error
        self.adj = self.adj.for_path(self.path)


class ErrorTask(_BaseErrorTask):  # type: ignore[misc]
    """Answers a request that could not be parsed, in the JSON shape."""

    def execute(self) -> None:
        """Write the error and close the connection."""
        problem = self.request.error
        kind = _ERRORS.get(problem.code)
        if kind is None:
            error = errors.ApiError(
                "internal error; see the daemon's log",
                run_state=types.RunState.MAY_HAVE_RUN,
            )
        else:
            error = kind(f"{problem.reason}: {problem.body}")
        body = error.encode_body()
        self.status = f"{error.status} {problem.reason}"
        self.response_headers = [
            ("Content-Type", "application/json"),
            (app.REQUEST_ID_HEADER, utils.make_id("req")),
            *error.make_headers().items(),
        ]
        self.channel.must_discard = True
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Task(_BaseTask):  # type: ignore[misc]
    """Runs the application for one request."""

    def get_environment(self) -> dict[str, typing.Any]:
        """Return the WSGI environment with the connection in it."""
        environ: dict[str, typing.Any] = super().get_environment()
        environ[app.CHANNEL_KEY] = self.channel
        return environ

    def build_response_header(self) -> bytes:
        """Return the head of the answer; it announces the close during a stop."""
        if self.channel.server.is_draining:
            self.request.headers["CONNECTION"] = "close"
        head: bytes = super().build_response_header()
        return head

    def write(self, data: bytes) -> None:
        """Write to the caller, unless its socket was detached."""
        if self.channel.is_detached:
            return
        super().write(data)

    def finish(self) -> None:
        """End the answer; a detached connection is not used again."""
        if self.channel.is_detached:
            self.close_on_finish = True
            return
        super().finish()


class Channel(_BaseChannel):  # type: ignore[misc]
    """One caller's connection while waitress owns it."""

    connected: bool
    request: typing.Any
    socket: typing.Any
    will_close: bool

    task_class = Task
    error_task_class = ErrorTask
    parser_class = Parser

    is_detached = False
    must_discard = False
    discard_until: float | None = None
    request_started: float | None = None

    def release_socket(self) -> socket.socket | None:
        """Give up the socket; called by a worker while its request is in progress.

        Waitress polls no connection whose request is in progress, so its loop does
        not hold the descriptor. The lock waits for the loop to leave ``received``.

        :return: the socket; ``None`` when the connection is closed or the caller has
            not read an earlier answer
        """
        with self.outbuf_lock:
            # An answer to an earlier request on the connection goes first.
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
        """Take in data from the caller."""
        if self.request_started is None:
            self.request_started = self.last_activity
        outcome: bool = super().received(data)
        if self.request is None:
            self.request_started = None
        return outcome

    def readable(self) -> bool:
        """Return whether the loop should read.

        A detached descriptor may be closed and used again by another connection while
        the loop waits, so it must never be polled.
        """
        if self.is_detached:
            return False
        if self.discard_until is not None:
            return True
        return bool(super().readable())

    def writable(self) -> bool:
        """Return whether the loop should write or close."""
        if self.is_detached:
            return False
        if self.discard_until is not None:
            return bool(self.will_close)
        return bool(super().writable())

    def handle_read(self) -> None:
        """Read from the caller; discard after an early error answer."""
        if self.discard_until is None:
            super().handle_read()
            return
        try:
            data = self.recv(self.adj.recv_bytes)
        except OSError:
            data = b""
        if not data:
            self.handle_close()

    def handle_close(self) -> None:
        """Close the connection, after an early error answer in two steps."""
        if self.must_discard and self.discard_until is None and self.connected:
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.must_discard = False
            else:
                self.will_close = False
                self.discard_until = self.last_activity + _DISCARD_S
                return
        super().handle_close()

    def check_limits(self, now: float) -> None:
        """Close the connection when a time limit has passed.

        :param now: wall time, as in ``last_activity``
        """
        settings = self.server.settings
        if self.is_detached:
            return
        if self.discard_until is not None:
            self.will_close = self.will_close or now >= self.discard_until
            return
        started = self.request_started
        if started is not None and now - started > settings.receive_timeout_s:
            self._refuse_slow_request()
            return
        limit_s = settings.idle_timeout_s
        if self.server.is_draining and not self.total_outbufs_len:
            limit_s = settings.drain_idle_s
        is_waiting = not self.requests or self.total_outbufs_len > 0
        if is_waiting and now - self.last_activity > limit_s:
            self.will_close = True

    def _refuse_slow_request(self) -> None:
        """Answer a request that takes too long to arrive."""
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
