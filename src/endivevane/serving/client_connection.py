"""One connection of a client: its requests are read, handled and answered in order."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import http
import time
import typing
from collections import abc

import h11

from endivevane import logs, metrics
from endivevane.serving import (
    byte_stream,
    client_responder,
    model,
    request_reader,
    responder,
    unanswered,
    work_turns,
)

# How long a client may take no byte of a response that has been written.
_FLUSH_TIMEOUT_S = 2.0
# Idle connections, and senders, are not closed for others before this time.
_NEW_S = 0.05
# Time after which a sender or a reader may be closed for others.
_SLOW_S = 1.0
# Retry-After of requests that were refused since too much is in progress.
_RETRY_AFTER_S = b"1.00"


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
LimitsSource = request_reader.LimitsSource


class Standing(enum.IntEnum):
    """How much a connection is worth keeping; the lowest are closed first.

    ``UNUSED`` has had no request, ``IDLE`` has none at present, ``SLOW_SENDER`` and
    ``SLOW_READER`` are below the least rates, ``COSTLY`` waits for a turn to be
    decoded, ``SENDER`` has sent for long, and ``BUSY`` is never closed for others.
    """

    UNUSED = 0
    SLOW_SENDER = 1
    IDLE = 2
    COSTLY = 3
    SLOW_READER = 4
    SENDER = 5
    BUSY = 6


@dataclasses.dataclass(slots=True)
class Served:
    """What the connections of one server have in common.

    :ivar bounds: limits that apply beside the configuration's
    :ivar is_stopping: whether responses carry ``Connection: close``
    :ivar is_closing: whether connections are closed behind their current response
    """

    codec: RequestCodec
    handler: Handler
    limits: LimitsSource
    bounds: request_reader.ClientBounds
    is_stopping: bool = False
    is_closing: bool = False


def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """How a request that has not run is refused.

    :ivar limit: the limit to count, ``None`` if that has been done
    """

    status: http.HTTPStatus
    limit: str | None = None


_UNAVAILABLE = http.HTTPStatus.SERVICE_UNAVAILABLE
_REFUSED: dict[type[Exception], _Refusal] = {
    request_reader.HeadTooLarge: _Refusal(
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    ),
    request_reader.BodyTooLarge: _Refusal(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    request_reader.BodyTooSlow: _Refusal(http.HTTPStatus.REQUEST_TIMEOUT),
    work_turns.NoTurn: _Refusal(_UNAVAILABLE, "turns"),
    byte_stream.MemoryRevoked: _Refusal(_UNAVAILABLE, "bytes"),
    byte_stream.Evicted: _Refusal(_UNAVAILABLE),
}
_REFUSALS = tuple(_REFUSED)


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
        self._reader = request_reader.RequestReader(
            served.limits, stream, served.bounds
        )
        self._exchange: _Exchange | None = None
        self.is_idle = True
        self._is_reading = False
        self._since_s = time.monotonic()

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            while await self._serve_next():
                self._reader.h11.start_next_cycle()
        except h11.RemoteProtocolError as error:
            self._send_error(error.error_status_hint)
        except _REFUSALS as error:
            self._refuse(error)
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
                self._stream.release()

    @property
    def is_active(self) -> bool:
        """Whether a request is being read or served, or its response is not sent."""
        return not self.is_idle or self._stream.has_unsent

    @property
    def source(self) -> str:
        """Address of the client."""
        return self._stream.source

    @property
    def standing(self) -> tuple[Standing, float]:
        """Whether it is worth to be kept, and since when or how fast it is used."""
        now_s, section = time.monotonic(), self._served.bounds.section
        age_s = now_s - self._since_s
        if self.is_idle and not self._stream.has_unread:
            if age_s < _NEW_S:
                return Standing.BUSY, 0.0
            standing = Standing.UNUSED if self._exchange is None else Standing.IDLE
            return standing, self._since_s
        if self._is_reading:
            rate = self._reader.rate_bytes_per_s
            is_slow = self._reader.reading_s >= _NEW_S
            if is_slow and rate < section.min_send_bytes_per_s:
                return Standing.SLOW_SENDER, rate
            if self._reader.is_waiting_turn:
                return Standing.COSTLY, 0.0
            if self._reader.reading_s >= _SLOW_S:
                return Standing.SENDER, rate
            return Standing.BUSY, 0.0
        rate = self._stream.unsent_rate_bytes_per_s
        is_slow = self._stream.blocked_s >= _SLOW_S
        if is_slow and rate < section.min_read_bytes_per_s:
            return Standing.SLOW_READER, rate
        return Standing.BUSY, 0.0

    def refuse(self) -> None:
        """Close a connection that has just been accepted, without reading from it."""
        self._send_error(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self._stream.close()

    def evict(self) -> None:
        """Close the connection in favour of others."""
        if self.is_idle:
            self._stream.close()
        else:
            self._stream.fail(byte_stream.Evicted())

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.is_idle and not self._stream.has_unread:
            self._stream.close()

    async def _serve_next(self) -> bool:
        """Read and serve a request; return whether the connection can be reused."""
        self.is_idle = True
        self._since_s = time.monotonic()
        if not await self._reader.wait_for_request():
            return False
        self.is_idle = False
        self._is_reading = True
        request = await self._read_request()
        self._is_reading = False
        if request is None:
            return False
        served, h11_connection = self._served, self._reader.h11
        response = client_responder.ClientResponder(
            h11_connection, self._stream, lambda: served.is_stopping
        )
        self._exchange = _Exchange(request, response)
        try:
            await self._run_handler(request, response)
        finally:
            self._stream.holding.set_handled(0)
        if response.is_aborted or self._stream.is_ended:
            return False
        await self._flush()
        if self._served.is_closing and not self._reader.has_next:
            # The response may have begun before clients were told of the stop.
            return False
        if self._reader.ahead >= self._served.bounds.section.max_requests_ahead:
            request_reader.record_limit("requests_ahead", self.source)
            return False
        is_done = h11_connection.our_state is h11.DONE
        return is_done and h11_connection.their_state is h11.DONE

    async def _read_request(self) -> model.ClientRequest | None:
        """Return the next request, ``None`` if there is no further one."""
        head = await self._reader.read_head()
        if head is None:
            return None
        body = await self._reader.read_body()
        request = await self._reader.run_costly(
            len(head.headers),
            lambda: self._served.codec.decode_request(
                bytes(head.method),
                bytes(head.target),
                list(head.headers.raw_items()),
                body,
                time.monotonic(),
            ),
        )
        # What was given up while it waited must not run.
        self._stream.check_given_up()
        return request

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

    def _refuse(self, error: Exception) -> None:
        """Refuse a request that has not run, or give up its response."""
        refusal = _REFUSED[type(error)]
        if refusal.limit is not None:
            request_reader.record_limit(refusal.limit, self.source)
        if self._is_reading or self.is_idle:
            self._send_error(refusal.status)

    def _send_error(self, status: int) -> None:
        """Send an error for an unreadable request; the connection then closes."""
        logs.limited_info("request_rejected", status=status)
        try:
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
                headers.append((b"Retry-After", _RETRY_AFTER_S))
            head = h11.Response(status_code=status, headers=headers)
            data = self._reader.h11.send(head) or b""
            data += self._reader.h11.send(h11.EndOfMessage()) or b""
            self._stream.write(data)
        except (h11.LocalProtocolError, OSError) as error:
            logs.limited_info("rejection_not_sent", cause=repr(error))
