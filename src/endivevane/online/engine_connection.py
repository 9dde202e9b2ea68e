"""The engine's connection of a relayed request."""

from __future__ import annotations

import socket
import typing
from collections import abc

from endivevane import exceptions
from endivevane.online import contract, poller, reader, sse

# recv allocates a buffer of this size per call, usually for one token; a larger one
# costs more than a second read.
_RECV_BYTES = 8 << 10


class Listener(typing.Protocol):
    """Handles what an engine sends; may close the connection in each call."""

    def take_events(self, events: list[sse.Event], now_s: float) -> None:
        """Handle events of the stream."""

    def take_refusal(self, reply: reader.Reply, body: bytes) -> None:
        """Handle a complete response that is not a stream."""

    def take_break(self, failure: contract.AttemptFailure, detail: str) -> None:
        """Handle the end or failure of the connection."""


class EngineConnection:
    """Reads one response of an engine.

    :param sock: non-blocking socket on which the call has been sent
    :param source: name of the engine, for error messages
    :param listener: handles the content
    :param meter: called with the number of bytes of each read, or ``None``
    """

    __slots__ = (
        "_meter",
        "_poller",
        "_reader",
        "_sock",
        "is_open",
        "is_paused",
        "listener",
    )

    def __init__(
        self,
        sock: socket.socket,
        source: str,
        event_poller: poller.Poller,
        listener: Listener,
        meter: abc.Callable[[int], None] | None = None,
    ) -> None:
        self._sock = sock
        self._poller = event_poller
        self.listener = listener
        self._meter = meter
        self._reader = reader.ResponseReader(source)
        self.is_open = True
        self.is_paused = False
        event_poller.set_events(sock, poller.READ, self._read)

    def pause(self) -> None:
        """Stop reading, so that back-pressure slows the engine down."""
        self.is_paused = True
        self._poller.set_events(self._sock, 0, self._read)

    def unpause(self) -> None:
        """Resume reading."""
        self.is_paused = False
        self._poller.set_events(self._sock, poller.READ, self._read)

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self._poller.set_events(self._sock, 0, self._read)
            self._sock.close()

    def _read(self, _events: int, now_s: float) -> None:
        if not self.is_open:
            return
        try:
            data = self._sock.recv(_RECV_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.listener.take_break(contract.AttemptFailure.BROKEN, str(error))
            return
        if not data:
            self._end("closed by the engine")
            return
        if self._meter is not None:
            self._meter(len(data))
        try:
            events = self._reader.feed(data)
        except exceptions.ProtocolError as error:
            failure = contract.AttemptFailure.TARGET_ERROR
            self.listener.take_break(failure, error.format_message())
            return
        if events:
            self.listener.take_events(events, now_s)
        if self.is_open and self._reader.is_complete:
            self._end("the response ended without [DONE]")

    def _end(self, detail: str) -> None:
        reply = self._reader.reply
        if reply is None or reply.is_stream:
            self.listener.take_break(contract.AttemptFailure.BROKEN, detail)
            return
        self.listener.take_refusal(reply, self._reader.body)
