"""HTTP responses whose size and duration are bounded."""

from __future__ import annotations

import dataclasses
import functools
import http.client
import io
import socket
import time
import typing

from endivevane import exceptions, sockets

_PIECE_BYTES = 64 << 10
_LAST_STATUS = 599


class ResponseTooLarge(exceptions.EndivevaneError):
    """A peer sent more than is read of a response.

    :param limit_bytes: largest response
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__()
        self.limit_bytes = limit_bytes

    def format_message(self) -> str:
        """Return the limit."""
        return f"the response is larger than {self.limit_bytes} bytes"


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits of one response.

    :param timeout_s: time from its first byte to its last one
    :param max_bytes: its size with head, framing and interim responses
    """

    timeout_s: float
    max_bytes: int


class _BoundedReader(io.RawIOBase):
    """Reads from a socket within the limits of a response.

    :param raw: reads from the socket
    :ivar has_unread_request: whether the peer ended the connection without having
        received the whole request
    """

    def __init__(
        self, sock: socket.socket, raw: io.RawIOBase, limits: ResponseLimits
    ) -> None:
        super().__init__()
        self.has_unread_request = False
        self._sock = sock
        self._raw = raw
        self._limits = limits
        self._wait_s = sock.gettimeout()
        self._until_s: float | None = None
        self._received_bytes = 0

    def readable(self) -> bool:
        """Return that it can be read from."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read the next bytes.

        :raises TimeoutError: when the response takes too long
        :raises ResponseTooLarge: when it is too large
        """
        if self._received_bytes > self._limits.max_bytes:
            raise ResponseTooLarge(self._limits.max_bytes)
        now_s = time.monotonic()
        if self._until_s is not None:
            left_s = self._until_s - now_s
            if left_s <= 0:
                limit_s = self._limits.timeout_s
                raise TimeoutError(f"the response has lasted more than {limit_s:g} s")
            wait_s = left_s if self._wait_s is None else min(self._wait_s, left_s)
            self._sock.settimeout(wait_s)
        received: int | None = self._raw.readinto(buffer)
        if self._until_s is None:
            self._until_s = time.monotonic() + self._limits.timeout_s
        self._received_bytes += received or 0
        if received == 0:
            unread_bytes = sockets.count_unacknowledged_bytes(self._sock)
            self.has_unread_request = unread_bytes > 0
        return received

    def close(self) -> None:
        """Close the reader, and the socket if its connection is closed."""
        self._raw.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """A response that is read within limits."""

    def __init__(
        self,
        sock: socket.socket,
        *arguments: typing.Any,
        limits: ResponseLimits,
        **options: typing.Any,
    ) -> None:
        super().__init__(sock, *arguments, **options)
        raw = self.fp.detach()
        self._reader = _BoundedReader(sock, raw, limits)
        self.fp = io.BufferedReader(self._reader)

    def read_whole(self) -> bytes:
        """Return the body, without allocating what the head announces.

        :raises OSError: when the connection fails, or the response takes too long
        :raises http.client.HTTPException: when it is cut or no valid response
        :raises ResponseTooLarge: when it is too large
        """
        if self.status > _LAST_STATUS:
            raise http.client.BadStatusLine(str(self.status))
        pieces = []
        while piece := self.read(_PIECE_BYTES):
            pieces.append(piece)
        ends_with_connection = self.length is None and not self.chunked
        if self.length or (ends_with_connection and self._reader.has_unread_request):
            raise http.client.IncompleteRead(b"", self.length)
        return b"".join(pieces)


def apply(connection: http.client.HTTPConnection, limits: ResponseLimits) -> None:
    """Let a connection read its responses within limits."""
    connection.response_class = functools.partial(  # type: ignore[assignment]
        _BoundedResponse, limits=limits
    )


def read_whole(response: http.client.HTTPResponse) -> bytes:
    """Return the body of a response of a connection with limits.

    :raises OSError: when the connection fails, or the response takes too long
    :raises http.client.HTTPException: when it is cut or no valid response
    :raises ResponseTooLarge: when it is too large
    """
    return typing.cast("_BoundedResponse", response).read_whole()
