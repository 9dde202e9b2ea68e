"""Bodies of uploads that reach their handler while they arrive.

Waitress receives a whole body before it calls the application and moves what is larger
than 512 KB to a temporary file. VMs have no disks, and an upload may have 200 MB.
"""

from __future__ import annotations

import collections
import contextlib
import threading
import typing
from collections import abc

import werkzeug.exceptions

from endivevane.web import channel

# Enough for some round trips of the object store between two reads of the handler.
_ROOM_BYTES = 256 << 10
_READ_TIMEOUT_S = 60.0


class BodyPipe:
    """A bounded buffer between the server's loop and the worker that reads the body.

    Takes the place of waitress's receiver of a body, whose interface it has.

    :param size_bytes: length of the body
    """

    error = None

    def __init__(self, size_bytes: int) -> None:
        self.wake: abc.Callable[[], None] = _do_nothing
        self._size_bytes = size_bytes
        self._left_bytes = size_bytes
        self._parts: collections.deque[bytes] = collections.deque()
        self._held_bytes = 0
        self._is_closed = False
        self._is_aborted = False
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return self._size_bytes

    @property
    def completed(self) -> bool:
        """Whether the whole body has arrived."""
        return self._left_bytes == 0

    @property
    def has_room(self) -> bool:
        """Whether the loop should read more from the caller."""
        return self._is_closed or self._held_bytes < _ROOM_BYTES

    def received(self, data: bytes) -> int:
        """Take bytes of the body; called by the loop."""
        taken = data[: self._left_bytes]
        with self._changed:
            self._left_bytes -= len(taken)
            if not self._is_closed:
                self._parts.append(bytes(taken))
                self._held_bytes += len(taken)
            self._changed.notify()
        return len(taken)

    def abort(self) -> None:
        """Note that the caller is gone."""
        with self._changed:
            self._is_aborted = not self.completed
            self._changed.notify()

    def read(self, size: int = -1) -> bytes:
        """Return the next bytes, empty at the end of the body; called by the worker.

        :raises werkzeug.exceptions.ClientDisconnected: when the rest does not come
        """
        parts: list[bytes] = []
        while size < 0 and (part := self._read_some(_ROOM_BYTES)):
            parts.append(part)
        return b"".join(parts) if size < 0 else self._read_some(size)

    def getfile(self) -> BodyPipe:
        """Return the stream for the WSGI environment."""
        return self

    def getbuf(self) -> BodyPipe:
        """Return what waitress closes after the request."""
        return self

    def close(self) -> None:
        """Drop what has not been read."""
        with self._changed:
            self._is_closed = True
            self._parts.clear()
            self._held_bytes = 0
        self.wake()

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
            self._held_bytes -= len(part)
            has_room = was_full and self.has_room
        if has_room:
            self.wake()
        return part

    def _can_read(self) -> bool:
        return bool(self._parts) or self.completed or self._is_aborted


class UploadParser(channel.Parser):
    """Gives uploads of known length a pipe as the receiver of their body."""

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
        """The pipe of an upload that has not arrived as a whole."""
        body = self.body_rcv
        if isinstance(body, BodyPipe) and not body.completed:
            return body
        return None


class UploadTask(channel.Task):
    """Closes the connection when an upload is answered before its end."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if isinstance(self.request, UploadParser) and self.request.pipe is not None:
            self.channel.must_discard = True
            self.request.headers["CONNECTION"] = "close"
        return super().build_response_header()


class UploadChannel(channel.Channel):
    """Starts the handler of an upload as soon as its headers have arrived."""

    task_class = UploadTask
    parser_class = UploadParser

    def received(self, data: bytes) -> bool:
        """Take in data from the caller."""
        outcome = super().received(data)
        request = self.request
        if not isinstance(request, UploadParser) or request.pipe is None:
            return outcome
        # The time limit counts from the last data: an upload may take minutes.
        self.request_started = self.last_activity
        if request.headers_finished and not request.is_dispatched:
            self._dispatch(request, request.pipe)
        return outcome

    def readable(self) -> bool:
        """Return whether the loop should read."""
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
        pipe.wake = self._wake_loop
        request.is_dispatched = True
        # Waitress would queue the request a second time at its end, unless empty.
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
        if self.is_detached or is_closing or self.discard_until is not None:
            return None
        request = self.request
        if isinstance(request, UploadParser) and request.is_dispatched:
            return request.pipe
        return None


def _do_nothing() -> None:
    """Stand for the wake-up while nobody reads."""
