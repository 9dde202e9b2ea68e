"""A TCP connection whose bytes one task reads and writes."""

from __future__ import annotations

import asyncio
import collections
import socket
import struct
import typing
from collections import abc

# Unread bytes above which the peer is made to wait.
_HIGH_WATERMARK_BYTES = 256 * 1024
# Unacknowledged bytes or keep-alive probes for this long mean a silent connection.
_USER_TIMEOUT_MS = 4000
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Linger for no time, so that closing resets the connection.
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class ByteStream(asyncio.Protocol):
    """Buffers what a connection brings and holds back writers that are too fast.

    :param on_connected: called once with the stream itself
    :ivar is_ended: whether the peer has closed its side or the connection is lost
    """

    def __init__(
        self, on_connected: abc.Callable[[ByteStream], None] | None = None
    ) -> None:
        self.is_ended = False
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._is_lost = False
        self._error: OSError | None = None
        self._readable = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._lost = asyncio.Event()
        self._is_parked = False
        self._on_ended: abc.Callable[[], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and bound the silence of the connection."""
        self._transport = typing.cast("asyncio.Transport", transport)
        _bound_silence(transport.get_extra_info("socket"))
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes of the peer; on a parked connection they end it."""
        if self._is_parked:
            self.abort()
            self._end()
            return
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > _HIGH_WATERMARK_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._readable.set()

    def eof_received(self) -> bool:
        """Note that the peer sends no more; the other direction stays open."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._is_lost = True
        self._lost.set()
        if isinstance(exc, OSError):
            self._error = exc
        self._writable.set()
        self._end()

    def pause_writing(self) -> None:
        """Hold back writers."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    @property
    def has_unread(self) -> bool:
        """Whether bytes of the peer wait to be read."""
        return bool(self._chunks)

    @property
    def is_usable(self) -> bool:
        """Whether both directions are open as far as is known."""
        return not (self.is_ended or self._is_lost)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes have not left yet."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def call_when_ended(self, function: abc.Callable[[], None] | None) -> None:
        """Call a function when the peer closes its side or the connection is lost."""
        self._on_ended = function
        if function is not None and self.is_ended:
            function()

    async def read(self) -> bytes:
        """Return the next bytes, none when the peer has closed its side.

        :raises OSError: when the connection broke
        """
        while not self._chunks:
            if self._error is not None:
                raise self._error
            if self.is_ended:
                return b""
            self._readable.clear()
            await self._readable.wait()
        data = self._chunks.popleft()
        self._unread_bytes -= len(data)
        is_low = self._unread_bytes <= _HIGH_WATERMARK_BYTES
        if is_low and self._transport is not None and not self._is_lost:
            self._transport.resume_reading()
        return data

    def fail(self, error: OSError) -> None:
        """Let the task that reads, or reads next, fail with an error."""
        self._error = self._error or error
        self._chunks.clear()
        self._unread_bytes = 0
        self._readable.set()
        self._writable.set()

    def park(self) -> None:
        """Expect nothing of the peer until the connection is used again.

        Bytes that come meanwhile belong to no call; nobody would read them.
        """
        self._is_parked = True

    def unpark(self) -> None:
        """Take bytes of the peer again."""
        self._is_parked = False

    def write(self, data: bytes) -> None:
        """Send bytes without waiting.

        :raises ConnectionResetError: when the connection is lost
        """
        if self._transport is None or self._is_lost or self._transport.is_closing():
            raise ConnectionResetError
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the peer has taken most of what was written.

        :raises ConnectionResetError: when the connection is lost
        """
        await self._writable.wait()
        if self._is_lost or self._error is not None:
            raise ConnectionResetError from self._error

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        if self._transport is not None:
            self._transport.close()

    async def wait_lost(self, timeout_s: float) -> bool:
        """Wait until all that was written has left and the connection is gone.

        :returns: whether that was so in time
        """
        if self._transport is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._lost.wait()
        except TimeoutError:
            return False
        return True

    def reset(self) -> None:
        """Close the connection such that the peer sees it fail."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._is_lost:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        self._transport.abort()

    def abort(self) -> None:
        """Close the connection at once and drop what was not sent."""
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        is_first = not self.is_ended
        self.is_ended = True
        self._readable.set()
        if is_first and self._on_ended is not None:
            self._on_ended()


def _bound_silence(sock: socket.socket | None) -> None:
    """Let the kernel end a connection whose peer has gone silent."""
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
            # The connection is already gone, or the system lacks the option; the
            # callers' own timeouts still hold.
            return
