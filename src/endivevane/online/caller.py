"""The caller's connection of a relayed request."""

from __future__ import annotations

import contextlib
import socket
from collections import abc

from endivevane.online import poller
from endivevane.web import server

_RECV_BYTES = 16 << 10
# Bytes that a caller may send after its request; a pipelined request is not served,
# because the connection is closed after the response.
_MAX_IGNORED_BYTES = 1 << 20


class CallerConnection:
    """Writes to a caller without blocking and detects when it disconnects.

    :param on_left: called once when the caller's connection is closed or broken
    :param on_writable: called after buffered bytes were written
    """

    __slots__ = (
        "_buffer",
        "_ignored_bytes",
        "_on_left",
        "_on_writable",
        "_poller",
        "_sock",
        "is_http11",
        "is_open",
        "progress_s",
    )

    def __init__(
        self,
        detached: server.DetachedCaller,
        event_poller: poller.Poller,
        on_left: abc.Callable[[str], None],
        on_writable: abc.Callable[[], None],
    ) -> None:
        self._sock: socket.socket = detached.sock
        self._poller = event_poller
        self._on_left = on_left
        self._on_writable = on_writable
        self._buffer = bytearray()
        self._ignored_bytes = 0
        self.is_http11 = detached.is_http11
        self.is_open = True
        self.progress_s = 0.0
        event_poller.set_events(self._sock, poller.READ, self._handle)

    @property
    def pending_bytes(self) -> int:
        """Number of bytes buffered for the caller."""
        return len(self._buffer)

    def write(self, data: bytes, now_s: float) -> None:
        """Send data and buffer what the socket does not accept."""
        if not self.is_open:
            return
        if self._buffer:
            self._buffer += data
            return
        self.progress_s = now_s
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            self._disconnect(str(error))
            return
        if sent < len(data):
            self._buffer += memoryview(data)[sent:]
            self._watch()

    def flush(self, now_s: float) -> None:
        """Send buffered bytes."""
        try:
            sent = self._sock.send(self._buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._disconnect(str(error))
            return
        self.progress_s = now_s
        del self._buffer[:sent]
        if not self._buffer:
            self._watch()
        self._on_writable()

    def close(self) -> None:
        """Close the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self._poller.set_events(self._sock, 0, self._handle)
        # Closing with unread bytes sends a reset, which can discard the end of the
        # response in transit.
        with contextlib.suppress(OSError):
            self._sock.recv(_RECV_BYTES)
        self._sock.close()

    def _watch(self) -> None:
        events = poller.READ | (poller.WRITE if self._buffer else 0)
        self._poller.set_events(self._sock, events, self._handle)

    def _handle(self, events: int, now_s: float) -> None:
        if not self.is_open:
            return
        if events & poller.READ:
            self._read()
        if events & poller.WRITE and self.is_open:
            self.flush(now_s)

    def _read(self) -> None:
        try:
            data = self._sock.recv(_RECV_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._disconnect(str(error))
            return
        self._ignored_bytes += len(data)
        if not data or self._ignored_bytes > _MAX_IGNORED_BYTES:
            self._disconnect("closed by the caller")

    def _disconnect(self, detail: str) -> None:
        self.close()
        self._on_left(detail)
