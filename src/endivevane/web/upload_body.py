"""Streaming of upload bodies to their handler while they arrive.

Waitress receives a complete body before it calls the application and spools bodies over
512 KB to a temporary file. VMs have no disks, and an upload may have 200 MB.
"""

from __future__ import annotations

import collections
import contextlib
import threading
import typing
from collections import abc

import werkzeug.exceptions

from endivevane.web import channel

# Covers several round trips to the object store between two reads of the handler.
_BUFFER_BYTES = 256 << 10
_READ_TIMEOUT_S = 60.0


class BodyPipe:
    """A bounded buffer between the event loop and the worker that reads the body.

    Replaces waitress's body receiver and has the same interface.

    :param size_bytes: length of the body
    """

    error = None

    def __init__(self, size_bytes: int) -> None:
        self.resume_reading: abc.Callable[[], None] = _do_nothing
        self._size_bytes = size_bytes
        self._remaining_bytes = size_bytes
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_closed = False
        self._is_aborted = False
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return self._size_bytes

    @property
    def completed(self) -> bool:
        """Whether the whole body has arrived."""
        return self._remaining_bytes == 0

    @property
    def has_room(self) -> bool:
        """Whether the event loop should read more from the client."""
        return self._is_closed or self._buffered_bytes < _BUFFER_BYTES

    def received(self, data: bytes) -> int:
        """Append bytes of the body; called by the event loop."""
        accepted = data[: self._remaining_bytes]
        with self._changed:
            self._remaining_bytes -= len(accepted)
            if not self._is_closed:
                self._parts.append(bytes(accepted))
                self._buffered_bytes += len(accepted)
            self._changed.notify()
        return len(accepted)

    def abort(self) -> None:
        """Record that the client has disconnected."""
        with self._changed:
            self._is_aborted = not self.completed
            self._changed.notify()

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes, empty at the end of the body; called by the worker.

        :raises werkzeug.exceptions.ClientDisconnected: when the client disconnects or
            sends nothing within the timeout
        """
        parts: list[bytes] = []
        while size < 0 and (part := self._read_some(_BUFFER_BYTES)):
            parts.append(part)
        return b"".join(parts) if size < 0 else self._read_some(size)

    def getfile(self) -> BodyPipe:
        """Return the stream for the WSGI environment."""
        return self

    def getbuf(self) -> BodyPipe:
        """Return the object that waitress closes after the request."""
        return self

    def close(self) -> None:
        """Discard the data that has not been read."""
        with self._changed:
            self._is_closed = True
            self._parts.clear()
            self._buffered_bytes = 0
        self.resume_reading()

    def _read_some(self, size: int) -> bytes:
        with self._changed:
            self._changed.wait_for(self._can_read, _READ_TIMEOUT_S)
            if not self._parts:
                if self.completed:
                    return b""
                raise werkzeug.exceptions.ClientDisconnected()
            part = self._parts.popleft()
            if len(part) > size:
                self._parts.appendleft(part[size:])
                part = part[:size]
            was_full = not self.has_room
            self._buffered_bytes -= len(part)
            has_room = was_full and self.has_room
        if has_room:
            self.resume_reading()
        return part

    def _can_read(self) -> bool:
        return bool(self._parts) or self.completed or self._is_aborted


class UploadParser(channel.Parser):
    """Receives the bodies of uploads of known length through a pipe."""

    is_dispatched = False
    body_rcv: typing.Any

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers."""
        super().parse_header(header_plus)
        is_upload = self.path.rstrip("/") in self.adj.upload_paths
        if is_upload and not self.chunked and self.content_length > 0:
            self.body_rcv = BodyPipe(self.content_length)

    @property
    def pipe(self) -> BodyPipe | None:
        """The pipe of an upload that has not arrived completely."""
        body = self.body_rcv
        if isinstance(body, BodyPipe) and not body.completed:
            return body
        return None


class UploadTask(channel.Task):
    """Closes the connection when the response starts before the upload has ended."""

    def build_response_header(self) -> bytes:
        """Return the response head."""
        if isinstance(self.request, UploadParser) and self.request.pipe is not None:
            self.channel.must_linger = True
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class UploadChannel(channel.Channel):
    """Dispatches an upload to its handler as soon as its headers have arrived."""

    task_class = UploadTask
    parser_class = UploadParser

    def received(self, data: bytes) -> bool:
        """Process data from the client."""
        outcome = super().received(data)
        request = self.request
        if not isinstance(request, UploadParser) or request.pipe is None:
            return outcome
        # The timeout runs from the last data received: an upload may take minutes.
        self.request_started = self.last_activity
        if request.headers_finished and not request.is_dispatched:
            self._dispatch(request, request.pipe)
        return outcome

    def readable(self) -> bool:
        """Return whether the event loop should read."""
        pipe = self._get_open_pipe()
        if pipe is None:
            return super().readable()
        return pipe.has_room

    def handle_close(self) -> None:
        """Close the connection and wake the worker that reads an upload."""
        request = self.request
        super().handle_close()
        if isinstance(request, UploadParser) and request.pipe is not None:
            request.pipe.abort()

    def _dispatch(self, request: UploadParser, pipe: BodyPipe) -> None:
        pipe.resume_reading = self._wake_loop
        request.is_dispatched = True
        # Unless it is empty, waitress queues the request again when it is complete.
        request.empty = True
        with self.requests_lock:
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def _wake_loop(self) -> None:
        # The loop may have ended while the worker was reading.
        with contextlib.suppress(OSError):
            self.server.pull_trigger()

    def _get_open_pipe(self) -> BodyPipe | None:
        is_closing = self.will_close or self.close_when_flushed
        if self.is_detached or is_closing or self.linger_until is not None:
            return None
        request = self.request
        if isinstance(request, UploadParser) and request.is_dispatched:
            return request.pipe
        return None


def _do_nothing() -> None:
    """Do nothing; callback of a pipe before its request is dispatched."""
