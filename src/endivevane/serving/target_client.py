"""HTTP client for targets, with supervision of their responses."""

from __future__ import annotations

import contextlib
import time
import typing
from collections import abc

import h11

from endivevane import logs, metrics
from endivevane.locality import traffic
from endivevane.serving import (
    call_watchdog,
    failures,
    http_client,
    model,
    target_registry,
)

# Longest idle time of a connection that is reused for a non-idempotent request. Targets
# may drop idle connections without notice, some after 0.3 s.
NON_IDEMPOTENT_MAX_IDLE_S = 0.25


class CallCodec(typing.Protocol):
    """Encodes calls and decodes responses."""

    def encode_call(
        self, call: model.TargetCall, target: model.Target
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call."""

    def decode_reply(
        self, status: int, reason: bytes, raw: abc.Sequence[tuple[bytes, bytes]]
    ) -> model.TargetReply:
        """Return the head of a response."""


class LimitObserver(typing.Protocol):
    """Learns what responses say of the rate limits of their targets."""

    def record_answer(
        self, target: model.Target, rate: model.RateStatement, sent_s: float
    ) -> None:
        """Record what a response says.

        :param sent_s: monotonic time at which the request was sent
        """


class TargetResponse:
    """A response of a target whose body is being read.

    :ivar head: head of the response
    :ivar is_framed: whether the body has a length or chunks; otherwise it ends with the
        connection, also when the target does
    """

    def __init__(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        reply: model.TargetReply,
        watchdog: call_watchdog.Watchdog,
        transfer: traffic.Transfer,
        is_framed: bool = True,
    ) -> None:
        self.head = reply
        self.is_complete = False
        self.is_framed = is_framed
        self._known = known
        self._connection = connection
        self._watchdog = watchdog
        self._transfer = transfer
        self._has_body_data = False

    @property
    def connection(self) -> http_client.Connection:
        """The connection that carries the response."""
        return self._connection

    @property
    def has_body_data(self) -> bool:
        """Whether any byte of the body has arrived."""
        return self._has_body_data

    @property
    def is_memory_scarce(self) -> bool:
        """Whether little may be kept of responses at present."""
        return self._connection.stream.holding.is_scarce

    def record_kept(self, count: int) -> None:
        """Record how many bytes are kept of the body."""
        self._connection.stream.holding.set_collected(count)

    def record_event(self) -> None:
        """Record that an event is complete."""
        self._watchdog.record_progress()

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` at its end.

        :raises failures.TargetCallError: when the response ends early or the call was
            aborted
        """
        try:
            data = await self._connection.read_data()
        except (http_client.BrokenAnswer, OSError) as error:
            raise _make_call_error(
                self._known, self._watchdog, error, had_head=True
            ) from error
        self._known.health.record_data(time.monotonic())
        if data is None:
            self.is_complete = True
            self._transfer.record_complete()
            return None
        self._transfer.add_received(len(data))
        if not self._has_body_data:
            self._has_body_data = True
            self._known.health.begin_events()
        return data


class TargetClient:
    """Sends calls to targets over pooled connections.

    :param on_draining: called with a target that reports that it is draining
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        codec: CallCodec,
        on_draining: abc.Callable[[target_registry.KnownTarget], None],
        limits: LimitObserver,
        target_traffic: traffic.Traffic,
    ) -> None:
        self._traffic = target_traffic
        self._limits = limits
        self._pool = pool
        self._codec = codec
        self._on_draining = on_draining

    @contextlib.asynccontextmanager
    async def call(
        self,
        known: target_registry.KnownTarget,
        call: model.TargetCall,
        is_idempotent: bool,
        control: call_watchdog.CallControl | None = None,
    ) -> abc.AsyncIterator[TargetResponse]:
        """Send a call and yield its response.

        When the block ends, the connection returns to the pool if the response is
        complete, and is aborted otherwise.

        :param is_idempotent: whether the call may be retried on another target; only
            then is it watched for a target that is unresponsive or stalls
        :param control: can abort the call until its block ends, and is told of silence;
            without it a silent call is aborted
        :raises failures.TargetCallError: when there is no valid response
        """
        target = known.target
        connection = await self._connect(known, call, is_idempotent)
        sent_s = time.monotonic()
        known.health.begin_call(sent_s)
        on_silence = None if control is None else control.on_silence
        watchdog = call_watchdog.Watchdog(
            known, connection, call.stall_timeout_s, on_silence
        )
        if is_idempotent:
            watchdog.start()
        if control is not None:
            control.begin(watchdog)
        response: TargetResponse | None = None
        try:
            headers = self._codec.encode_call(call, target)
            request_bytes = traffic.count_head_bytes(headers) + len(call.body)
            transfer = self._traffic.begin(target, request_bytes)
            head = await self._send_request(known, connection, call, headers, watchdog)
            transfer.add_received(traffic.count_head_bytes(head.headers))
            response = self._make_response(
                known, connection, head, call, watchdog, transfer
            )
            self._limits.record_answer(target, response.head.rate, sent_s)
            yield response
        finally:
            watchdog.stop()
            if control is not None:
                control.end()
            has_body_data = response is not None and response.has_body_data
            known.health.end_call(has_body_data)
            if response is not None and response.is_complete:
                self._pool.release(
                    target.host,
                    target.port,
                    connection,
                    response.head.idle_timeout_s,
                )
            else:
                if not watchdog.cause:
                    watchdog.record_end(time.monotonic())
                connection.stream.abort()

    def forget(self, target: model.Target) -> None:
        """Close the idle connections to a target."""
        self._pool.forget(target.host, target.port)

    async def _connect(
        self,
        known: target_registry.KnownTarget,
        call: model.TargetCall,
        is_idempotent: bool,
    ) -> http_client.Connection:
        target = known.target
        max_idle_s = float("inf") if is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        try:
            return await self._pool.open(
                target.host,
                target.port,
                max_idle_s,
                call.attempt_id,
                is_new=call.was_refused,
            )
        except (TimeoutError, OSError) as error:
            known.health.record_failure(time.monotonic())
            raise failures.TargetCallError(
                target.target_id, f"no connection: {error!r}", may_have_run=False
            ) from error

    async def _send_request(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        call: model.TargetCall,
        headers: list[tuple[bytes, bytes]],
        watchdog: call_watchdog.Watchdog,
    ) -> h11.Response:
        """Send the call and return the head of the response."""
        target_id = known.target.target_id
        try:
            connection.send(call.method, call.path, headers, call.body)
            return await connection.read_head()
        except h11.LocalProtocolError as error:
            raise failures.TargetCallError(
                target_id, str(error), may_have_run=connection.may_have_sent
            ) from error
        except (http_client.BrokenAnswer, OSError) as error:
            is_invalid = isinstance(error, http_client.InvalidAnswer)
            if connection.is_reused and not (watchdog.cause or is_invalid):
                # The target may have closed the idle connection, which does not count
                # as a failure of the target.
                cause = f"kept connection: {error}"
                raise failures.TargetCallError(
                    target_id, cause, may_have_run=True, is_disconnect=True
                ) from error
            known.health.record_failure(time.monotonic())
            raise _make_call_error(known, watchdog, error, had_head=False) from error

    def _make_response(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        head: h11.Response,
        call: model.TargetCall,
        watchdog: call_watchdog.Watchdog,
        transfer: traffic.Transfer,
    ) -> TargetResponse:
        reply = self._codec.decode_reply(
            head.status_code, bytes(head.reason), list(head.headers.raw_items())
        )
        if reply.is_draining:
            self._on_draining(known)
        if _belongs_to_call(call, reply, connection):
            known.health.record_data(time.monotonic())
            return TargetResponse(
                known,
                connection,
                reply,
                watchdog,
                transfer,
                http_client.is_framed(head),
            )
        metrics.TARGET_FAULTS.labels("foreign_answer").inc()
        raise failures.TargetCallError(
            known.target.target_id,
            "answer to another request",
            may_have_run=True,
            is_target_fault=True,
        )


def _belongs_to_call(
    call: model.TargetCall,
    reply: model.TargetReply,
    connection: http_client.Connection,
) -> bool:
    """Return whether a response belongs to a call.

    On a reused connection, a response without an attempt id may be a late copy of the
    previous response.
    """
    if not call.attempt_id or reply.attempt_id == call.attempt_id:
        return True
    return not reply.attempt_id and not connection.is_reused


def _make_call_error(
    known: target_registry.KnownTarget,
    watchdog: call_watchdog.Watchdog,
    error: Exception,
    had_head: bool,
) -> failures.TargetCallError:
    """Return the error of a failed call, and count faults of the target."""
    # An unresponsive target may be due to the network path, invalid bytes are not.
    cause = str(error)
    is_too_large = isinstance(error, http_client.AnswerTooLarge)
    is_invalid = isinstance(error, http_client.InvalidAnswer)
    is_stalled = watchdog.cause == call_watchdog.STALLED
    is_faulty = is_stalled or not watchdog.cause
    if is_faulty:
        label = "stalled" if is_stalled else "broken_answer"
        label = "too_large" if is_too_large else label
        metrics.TARGET_FAULTS.labels(label).inc()
        logs.limited_info(
            "target_fault", target=known.target.target_id, cause=watchdog.cause or cause
        )
    kind = failures.TargetAnswerTooLarge if is_too_large else failures.TargetCallError
    return kind(
        known.target.target_id,
        watchdog.cause or cause,
        may_have_run=True,
        is_target_fault=is_faulty,
        is_disconnect=not (watchdog.cause or is_invalid),
        had_head=had_head,
    )
