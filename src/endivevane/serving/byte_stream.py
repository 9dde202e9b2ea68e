"""TCP connection with buffered reads and back-pressure on writes."""

from __future__ import annotations

import asyncio
import collections
import socket
import struct
import time
import typing
from collections import abc

from endivevane import sockets
from endivevane.serving import memory_budget

# Unread bytes above which reading from the socket is paused.
_HIGH_WATERMARK_BYTES = 64 * 1024
# The most that one read of the socket returns.
_MAX_RECEIVED_BYTES = 64 * 1024
# Bytes of responses that wait in the process until writing is paused.
_MAX_UNSENT_BYTES = 16 * 1024
# Memory that a received piece takes beside its bytes.
_PIECE_OVERHEAD_BYTES = 64
# The kernel drops a connection whose data, or keep-alive probes, go unacknowledged this
# long.
_USER_TIMEOUT_MS = 4000
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class MemoryRevoked(OSError):
    """The connection kept most of the bytes of an exceeded memory budget."""


class Evicted(OSError):
    """The connection was closed in favour of others."""


class ByteStream(asyncio.Protocol):
    """Reads and writes one connection for a single task.

    :param on_connected: called once with the connected stream
    :param budget: bounds what is kept of all connections of a kind
    :ivar holding: what is kept of this one
    :ivar is_ended: whether the peer has closed its side or the connection is closed
    """

    def __init__(
        self,
        on_connected: abc.Callable[[ByteStream], None] | None,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        self.is_ended = False
        self.holding = budget.open(lambda: self.fail(MemoryRevoked()))
        self._on_connected = on_connected
        self._is_accepted = on_connected is not None
        self._transport: asyncio.Transport | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        # Bytes of the first piece that have been read.
        self._offset = 0
        self._unread_bytes = 0
        self._is_closed = False
        self._error: OSError | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.Event()
        self._is_parked = False
        self._is_given_up = False
        self._failure_callback: abc.Callable[[OSError], None] | None = None
        # Since when writing is paused, and what was unsent then.
        self._blocked_since_s = 0.0
        self._blocked_bytes = 0
        self._end_callback: abc.Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the timeouts of its socket."""
        self._transport = typing.cast("asyncio.Transport", transport)
        self._transport.max_size = _MAX_RECEIVED_BYTES  # type: ignore[attr-defined]
        if self._is_accepted:
            self._transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        _set_socket_timeouts(transport.get_extra_info("socket"))
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes; a parked connection is closed instead."""
        if self._is_parked:
            self.abort()
            self._record_end()
            return
        if self._error is not None:
            return
        self._chunks.append(data)
        self._unread_bytes += len(data) + _PIECE_OVERHEAD_BYTES
        if self._unread_bytes > _HIGH_WATERMARK_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._readable.set()
        self.holding.set_received(self._unread_bytes)

    def eof_received(self) -> bool:
        """Record that the peer has closed its side; writing stays possible."""
        self._record_end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self._is_closed = True
        self._closed.set()
        if isinstance(exc, OSError):
            self._error = exc
        self._writable.set()
        self.holding.close()
        self._record_end()

    def pause_writing(self) -> None:
        """Block :meth:`drain`."""
        self._writable.clear()
        self._blocked_since_s = time.monotonic()
        self._blocked_bytes = self._unsent_bytes
        self._record_unsent()

    def resume_writing(self) -> None:
        """Unblock :meth:`drain`."""
        self._writable.set()
        self.holding.set_unsent(0)

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return bool(self._chunks)

    @property
    def _is_readable(self) -> bool:
        return bool(self._chunks) or self.is_ended or self._error is not None

    @property
    def is_usable(self) -> bool:
        """Whether both directions are open as far as is known."""
        return not (self.is_ended or self._is_closed)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes have not been passed to the kernel yet."""
        return self._unsent_bytes > 0

    @property
    def has_unacknowledged(self) -> bool:
        """Whether the peer may lack bytes that were written."""
        if self.has_unsent or self._is_closed or self._transport is None:
            return True
        sock = self._transport.get_extra_info("socket")
        return sock is None or sockets.count_unacknowledged_bytes(sock) > 0

    @property
    def _unsent_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def source(self) -> str:
        """Address of the peer, empty if it is not known."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    @property
    def blocked_s(self) -> float:
        """Time for which the peer has not taken all that was written."""
        if self._writable.is_set():
            return 0.0
        return time.monotonic() - self._blocked_since_s

    @property
    def unsent_rate_bytes_per_s(self) -> float:
        """Bytes a second that the peer has taken since writing was paused."""
        taken = max(0, self._blocked_bytes - self._unsent_bytes)
        return taken / max(1e-3, self.blocked_s)

    def set_end_callback(self, callback: abc.Callable[[], None] | None) -> None:
        """Set a callback for when the peer closes its side or the connection ends."""
        self._end_callback = callback
        if callback is not None and self.is_ended:
            callback()

    def set_failure_callback(self, callback: abc.Callable[[OSError], None]) -> None:
        """Set a callback for when the connection is given up by :meth:`fail`."""
        self._failure_callback = callback

    def check_given_up(self) -> None:
        """Raise the error of :meth:`fail`, if it was called.

        :raises OSError: when it was
        """
        if self._is_given_up and self._error is not None:
            raise self._error

    async def wait_readable(self, timeout_s: float) -> bool:
        """Wait until :meth:`read` returns at once; return whether it does.

        Bytes that arrived count although the timeout has expired as well.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_readable:
                    self._readable.clear()
                    await self._readable.wait()
        except TimeoutError:
            return self._is_readable
        return True

    async def read(self, most: int) -> bytes:
        """Return the next bytes, empty once the peer has closed its side.

        :param most: largest number of bytes to return
        :raises OSError: when the connection failed
        """
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.is_ended:
                return b""
            self._readable.clear()
            await self._readable.wait()
        piece = self._chunks[0]
        data = piece[self._offset : self._offset + most]
        self._offset += len(data)
        self._unread_bytes -= len(data)
        if self._offset == len(piece):
            self._chunks.popleft()
            self._offset = 0
            self._unread_bytes -= _PIECE_OVERHEAD_BYTES
        self.holding.set_received(self._unread_bytes)
        is_below_watermark = self._unread_bytes <= _HIGH_WATERMARK_BYTES
        if is_below_watermark and self._transport is not None and not self._is_closed:
            self._transport.resume_reading()
        return data

    def fail(self, error: OSError) -> None:
        """Make the current and later reads and drains fail with an error.

        The connection is closed at once if written bytes are left.
        """
        self._error = self._error or error
        self._is_given_up = True
        if self._failure_callback is not None:
            self._failure_callback(error)
        if self._is_accepted and self.has_unsent:
            self.abort()
        self._chunks.clear()
        self._offset = 0
        self._unread_bytes = 0
        self.holding.set_received(0)
        self._readable.set()
        self._writable.set()

    def park(self) -> None:
        """Mark the connection as idle: it is closed if the peer sends anything.

        Bytes that arrive on an idle connection belong to no request.
        """
        self._is_parked = True

    def unpark(self) -> None:
        """Accept received bytes again."""
        self._is_parked = False

    def write(self, data: bytes) -> None:
        """Write bytes without waiting.

        :raises ConnectionResetError: when the connection is closed
        """
        if self._transport is None or self._is_closed or self._transport.is_closing():
            raise ConnectionResetError
        if data:
            self._transport.write(data)
            if not self._writable.is_set():
                self._record_unsent()

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        :raises ConnectionResetError: when the connection is closed
        """
        await self._writable.wait()
        if self._is_closed or self._error is not None:
            raise ConnectionResetError from self._error

    async def wait_writable(self, timeout_s: float) -> bool:
        """Wait until the write buffer has room.

        :returns: ``False`` if the peer took no byte for the timeout before that
        """
        return await self._wait_while_sending(self._writable, timeout_s)

    def close(self) -> None:
        """Close the connection once the write buffer is flushed."""
        if self._transport is not None:
            self._transport.close()

    async def wait_closed(self, timeout_s: float) -> bool:
        """Wait until the write buffer is flushed and the connection is closed.

        :returns: ``False`` if the peer took no byte for the timeout before that
        """
        if self._transport is None:
            return True
        return await self._wait_while_sending(self._closed, timeout_s)

    def reset(self) -> None:
        """Close the connection with a TCP reset, so that the peer sees an error."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._is_closed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._transport.abort()

    def release(self) -> None:
        """Drop what refers to others, once nothing reads or writes any more.

        Reference cycles would keep what was received until the garbage collector runs.
        """
        self._on_connected = self._end_callback = self._failure_callback = None
        self._error = None
        self._chunks.clear()
        self.holding.release()

    def abort(self) -> None:
        """Close the connection at once and discard the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_while_sending(self, event: asyncio.Event, timeout_s: float) -> bool:
        """Wait for an event as long as the peer goes on taking bytes."""
        while not event.is_set():
            unsent_before = self._count_untaken()
            try:
                async with asyncio.timeout(timeout_s):
                    await event.wait()
            except TimeoutError:
                if self._count_untaken() >= unsent_before:
                    return event.is_set()
                self._record_unsent()
        return True

    def _count_untaken(self) -> int:
        """Return the bytes that the peer's system has not acknowledged.

        The kernel takes more from the process only once much of its buffer is free.
        """
        if self._transport is None or self._is_closed:
            return self._unsent_bytes
        sock = self._transport.get_extra_info("socket")
        queued = 0 if sock is None else sockets.count_unacknowledged_bytes(sock)
        return self._unsent_bytes + queued

    def _record_unsent(self) -> None:
        if self._is_accepted and not self._is_closed:
            self.holding.set_unsent(self._unsent_bytes)

    def _record_end(self) -> None:
        is_first = not self.is_ended
        self.is_ended = True
        self._readable.set()
        if is_first and self._end_callback is not None:
            self._end_callback()


def _set_socket_timeouts(sock: socket.socket | None) -> None:
    """Make the kernel close the connection when its peer is unresponsive."""
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            # The connection is closed already, or the system lacks the option; the
            # timeouts of the callers still apply.
            return
