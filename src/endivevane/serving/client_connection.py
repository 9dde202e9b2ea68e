"""One connection of a client: its requests are read, handled and answered in order."""

from __future__ import annotations

import asyncio
import dataclasses
import http
import math
import time
import typing
from collections import abc

import h11

from endivevane import logs, metrics
from endivevane.serving import (
    byte_stream,
    client_responder,
    model,
    responder,
    unanswered,
)

# Clients may go by the idle timeout that was in force before until a change has spread.
_IDLE_SLACK_S = 3.0
# How long a client may take no byte of a response that has been written.
_FLUSH_TIMEOUT_S = 2.0
# Bytes that are decoded before other connections have their turn.
_MAX_READ_BYTES = 64 * 1024
_MAX_CHUNKS_PER_TURN = 64
# Each chunk takes time to decode, so that these are no sound body.
_MAX_SMALL_CHUNKS = 4096
_SMALL_CHUNK_BYTES = 8


class RequestCodec(typing.Protocol):
    """Decodes requests of clients."""

    def decode_request(
        self,
        method: bytes,
        path: bytes,
        raw: abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
        received_s: float,
    ) -> model.ClientRequest:
        """Return a client's request."""


Handler = abc.Callable[
    [model.ClientRequest, responder.Responder], abc.Coroutine[object, object, None]
]
LimitsSource = abc.Callable[[], model.ClientLimits]


@dataclasses.dataclass(slots=True)
class Served:
    """What the connections of one server have in common.

    :ivar is_stopping: whether responses carry ``Connection: close``
    :ivar is_closing: whether connections are closed behind their current response
    """

    codec: RequestCodec
    handler: Handler
    limits: LimitsSource
    is_stopping: bool = False
    is_closing: bool = False


def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()


def _estimate_head_bytes(head: h11.Request) -> int:
    """Return the approximate size of a request line with its headers."""
    headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return headers + len(head.method) + len(head.target)


class _BodyTooLarge(Exception):
    """The body of a request exceeds the limit."""


@dataclasses.dataclass(slots=True)
class _Exchange:
    """The last request that was read whole, and its response.

    :ivar cause: why the response is not whole, ``None`` while it may become whole
    """

    request: model.ClientRequest
    response: client_responder.ClientResponder
    cause: unanswered.Cause | None = None
    detail: str | None = None


class ClientConnection:
    """Serves the requests of one connection in order."""

    def __init__(self, served: Served, stream: byte_stream.ByteStream) -> None:
        self._served = served
        self._stream = stream
        self._limits = served.limits()
        self._h11 = self._make_h11()
        self._exchange: _Exchange | None = None
        self.is_idle = True

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            while await self._serve_next():
                self._h11.start_next_cycle()
        except h11.RemoteProtocolError as error:
            self._send_error(error.error_status_hint)
        except _BodyTooLarge:
            self._send_error(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        except (OSError, TimeoutError, h11.LocalProtocolError) as error:
            logs.limited_info("client_connection_ended", cause=repr(error))
        except asyncio.CancelledError:
            self._record_cause(unanswered.Cause.STOPPED)
            raise
        finally:
            self.is_idle = False
            self._stream.close()
            # A stopping daemon must not exit before responses have been sent.
            is_flushed = False
            try:
                is_flushed = await self._stream.wait_closed(_FLUSH_TIMEOUT_S)
            finally:
                self._record_end(is_flushed)

    @property
    def is_active(self) -> bool:
        """Whether a request is being read or served, or its response is not sent."""
        return not self.is_idle or self._stream.has_unsent

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.is_idle and not self._stream.has_unread:
            self._stream.close()

    async def _serve_next(self) -> bool:
        """Read and serve a request; return whether the connection can be reused."""
        self.is_idle = True
        self._limits = self._served.limits()
        if not await self._wait_for_data():
            return False
        self.is_idle = False
        self._apply_limits()
        head = await self._next_event(time.monotonic() + self._limits.header_timeout_s)
        if not isinstance(head, h11.Request):
            return False
        if _estimate_head_bytes(head) > self._limits.max_header_bytes:
            self._send_error(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return False
        body = await self._read_body()
        request = self._served.codec.decode_request(
            bytes(head.method),
            bytes(head.target),
            list(head.headers.raw_items()),
            body,
            time.monotonic(),
        )
        response = client_responder.ClientResponder(
            self._h11, self._stream, lambda: self._served.is_stopping
        )
        self._exchange = _Exchange(request, response)
        await self._run_handler(request, response)
        if response.is_aborted or self._stream.is_ended:
            return False
        await self._flush()
        has_next = bool(self._h11.trailing_data[0]) or self._stream.has_unread
        if self._served.is_closing and not has_next:
            # The response may have begun before clients were told of the stop.
            return False
        is_done = self._h11.our_state is h11.DONE
        return is_done and self._h11.their_state is h11.DONE

    def _make_h11(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def _apply_limits(self) -> None:
        """Use the limits in force for the next request."""
        former, self._limits = self._limits, self._served.limits()
        if self._limits == former:
            return
        received = self._h11.trailing_data[0]
        self._h11 = self._make_h11()
        if received:
            self._h11.receive_data(received)

    async def _wait_for_data(self) -> bool:
        """Wait for the start of a request; return whether there is one."""
        if self._h11.trailing_data[0]:
            return True
        if not await self._wait_within_idle_timeout():
            return False
        try:
            data = await self._stream.read(_MAX_READ_BYTES)
        except OSError:
            # The client disconnected between requests, so no request is lost.
            return False
        if not data:
            return False
        self._h11.receive_data(data)
        return True

    async def _wait_within_idle_timeout(self, until_s: float = math.inf) -> bool:
        """Wait until the client sends something; return ``False`` if it does not.

        The longest timeout applies that was in force since the wait began, so that a
        change cuts no client that goes by the one before or by the new one.
        """
        began_s = time.monotonic()
        while True:
            timeout_s = max(
                self._limits.idle_timeout_s, self._served.limits().idle_timeout_s
            )
            idle_until_s = began_s + timeout_s + _IDLE_SLACK_S
            left_s = min(idle_until_s, until_s) - time.monotonic()
            if await self._stream.wait_readable(max(0.0, left_s)):
                return True
            if left_s <= 0:
                return False

    async def _run_handler(
        self, request: model.ClientRequest, response: client_responder.ClientResponder
    ) -> None:
        """Run the handler, and cancel it when the client disconnects."""
        task = asyncio.ensure_future(self._served.handler(request, response))
        self._stream.set_end_callback(lambda: _cancel(task))
        try:
            await asyncio.wait((task,))
        except asyncio.CancelledError:
            self._end_stopped(response)
            raise
        finally:
            self._stream.set_end_callback(None)
            task.cancel()
        self._end_handled(task, response)

    def _end_handled(
        self,
        task: asyncio.Future[None],
        response: client_responder.ClientResponder,
    ) -> None:
        """Record why the handler has left no whole response, and answer its faults."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._end_faulty(response, repr(error))
        elif response.is_complete:
            return
        elif response.is_aborted:
            self._record_cause(unanswered.Cause.BROKEN_OFF)
        elif self._stream.is_ended:
            self._record_cause(unanswered.Cause.CLIENT_LEFT)
            response.abort()
        else:
            self._end_faulty(
                response, "cancelled" if task.cancelled() else "no response"
            )

    def _end_faulty(
        self, response: client_responder.ClientResponder, cause: str
    ) -> None:
        """Answer a request whose handler has failed; it may have run."""
        self._record_cause(unanswered.Cause.HANDLER_FAILED, cause)
        request = None if self._exchange is None else self._exchange.request
        logs.error(
            "handler_failed",
            cause=cause,
            request=None if request is None else request.attempt_id.decode("latin-1"),
            path=None if request is None else request.path,
        )
        if response.is_started:
            response.abort()
        else:
            response.send(responder.Response(http.HTTPStatus.INTERNAL_SERVER_ERROR))

    def _end_stopped(self, response: client_responder.ClientResponder) -> None:
        """Answer a request that a stop cannot wait for, which may have run."""
        if response.is_started or not self._stream.is_usable:
            return
        metrics.REFUSALS.labels("stopped", "may-have-run").inc()
        response.send(responder.Response(http.HTTPStatus.BAD_GATEWAY))

    def _record_cause(self, cause: unanswered.Cause, detail: str | None = None) -> None:
        """Keep the first cause for which the current response is not whole."""
        exchange = self._exchange
        if exchange is None or exchange.cause is not None:
            return
        exchange.cause = cause
        exchange.detail = detail

    def _record_end(self, is_flushed: bool) -> None:
        """Record the last request unless the client was sent its whole response."""
        exchange = self._exchange
        if exchange is None or (exchange.response.is_complete and is_flushed):
            return
        if exchange.response.is_complete:
            exchange.cause = unanswered.Cause.CLIENT_SLOW
        unanswered.record(
            exchange.request,
            exchange.cause or unanswered.Cause.HANDLER_FAILED,
            exchange.response.is_started,
            exchange.detail,
        )

    async def _flush(self) -> None:
        """Wait until the response is sent or fits into the write buffer."""
        if not await self._stream.wait_writable(_FLUSH_TIMEOUT_S):
            raise TimeoutError
        await self._stream.drain()

    async def _read_body(self) -> bytes:
        if self._h11.they_are_waiting_for_100_continue:
            self._stream.write(
                self._h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                or b""
            )
        body = bytearray()
        try:
            await self._collect_body(body)
            return bytes(body)
        finally:
            # The traceback of an error refers to it.
            body.clear()
            self._stream.holding.set_collected(0)

    async def _collect_body(self, body: bytearray) -> None:
        """Add the parts of a body as they arrive, up to its end."""
        chunk_count = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise ConnectionResetError
            body += event.data
            self._stream.holding.set_collected(len(body))
            if len(body) > self._limits.max_body_bytes:
                raise _BodyTooLarge
            chunk_count += event.chunk_start
            if chunk_count % _MAX_CHUNKS_PER_TURN == 0:
                await asyncio.sleep(0)
            is_long = chunk_count > _MAX_SMALL_CHUNKS
            if is_long and len(body) < chunk_count * _SMALL_CHUNK_BYTES:
                raise h11.RemoteProtocolError("chunks too small")

    async def _next_event(self, until_s: float = math.inf) -> typing.Any:
        """Return the next part of a request.

        :raises TimeoutError: when the client sent nothing in time; what it sent counts,
            even if the daemon reads it late
        """
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not await self._wait_within_idle_timeout(until_s):
                raise TimeoutError
            if self._stream.has_unread:
                # Reading what has arrived gives nothing else a turn.
                await asyncio.sleep(0)
            self._h11.receive_data(await self._stream.read(_MAX_READ_BYTES))

    def _send_error(self, status: int) -> None:
        """Send an error for an unreadable request; the connection then closes."""
        logs.limited_info("request_rejected", status=status)
        try:
            head = h11.Response(
                status_code=status,
                headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
            )
            data = self._h11.send(head) or b""
            data += self._h11.send(h11.EndOfMessage()) or b""
            self._stream.write(data)
        except (h11.LocalProtocolError, OSError) as error:
            logs.limited_info("rejection_not_sent", cause=repr(error))
