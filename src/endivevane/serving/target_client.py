"""Calls to targets."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing
from collections import abc

import h11

from endivevane import logs, metrics
from endivevane.serving import failures, http_client, model, target_registry

# Silence of targets is looked for this often while an answer is awaited.
_WATCH_S = 0.1
# A request that may run once only goes out on a connection that was used this
# recently: targets may drop an idle one without notice, some after 0.3 s.
UNSAFE_IDLE_S = 0.25
_SILENT = "silent"
_STALLED = "stalled"


class CallCodec(typing.Protocol):
    """Translates calls and answers."""

    def encode_call(
        self, call: model.TargetCall, target: model.Target
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a call."""

    def decode_reply(
        self, status: int, reason: bytes, raw: abc.Sequence[tuple[bytes, bytes]]
    ) -> model.TargetReply:
        """Return the head of an answer."""


class _Watch:
    """Breaks a call off whose target has gone silent, or whose events do not come.

    :ivar cause: why the call was broken off, empty while it was not
    """

    def __init__(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        stall_s: float,
    ) -> None:
        self.cause = ""
        self._known = known
        self._connection = connection
        self._stall_s = stall_s
        self._progress_s = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_stalled(self) -> bool:
        """Whether bytes came, but no event."""
        return self.cause == _STALLED

    def start(self) -> None:
        """Look at the call now and then."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_WATCH_S, self._look)

    def stop(self) -> None:
        """Leave the call alone."""
        if self._timer is not None:
            self._timer.cancel()

    def note_progress(self) -> None:
        """Note a whole event."""
        self._progress_s = time.monotonic()

    def _look(self) -> None:
        now_s = time.monotonic()
        health = self._known.health
        if health.is_unresponsive(now_s):
            self.cause = _SILENT
            health.record_inactivity()
        elif now_s - self._progress_s > self._stall_s:
            self.cause = _STALLED
        else:
            self.start()
            return
        health.record_failure(now_s)
        self._connection.stream.fail(TimeoutError(self.cause))


class TargetResponse:
    """An answer that is being read.

    :ivar head: its head
    """

    def __init__(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        reply: model.TargetReply,
        watch: _Watch,
    ) -> None:
        self.head = reply
        self.is_whole = False
        self._known = known
        self._connection = connection
        self._watch = watch
        self._has_events = False

    @property
    def connection(self) -> http_client.Connection:
        """The connection that carries the answer."""
        return self._connection

    @property
    def has_events(self) -> bool:
        """Whether any byte of the body has come."""
        return self._has_events

    def record_event(self) -> None:
        """Note that a whole event has come."""
        self._watch.note_progress()

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` at its end.

        :raises failures.TargetCallError: when the answer ends early, or the target is
            silent and the answer is watched
        """
        try:
            data = await self._connection.read_data()
        except (http_client.BrokenAnswer, OSError) as error:
            raise _make_error(self._known, self._watch, str(error)) from error
        self._known.health.record_data(time.monotonic())
        if data is None:
            self.is_whole = True
            return None
        if not self._has_events:
            self._has_events = True
            self._known.health.begin_events()
        return data


class TargetClient:
    """Opens calls to targets and keeps their connections.

    :param on_leaving: called with a target that says that it leaves
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        codec: CallCodec,
        on_leaving: abc.Callable[[target_registry.KnownTarget], None],
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._on_leaving = on_leaving

    @contextlib.asynccontextmanager
    async def call(
        self,
        known: target_registry.KnownTarget,
        call: model.TargetCall,
        is_idempotent: bool,
    ) -> abc.AsyncIterator[TargetResponse]:
        """Send a call and yield its answer; the connection ends with the block.

        :param is_idempotent: whether the call may be sent again elsewhere; only then
            it is given up when the target goes silent
        :raises failures.TargetCallError: when there is no answer
        """
        target = known.target
        connection = await self._connect(known, call, is_idempotent)
        known.health.begin_call(time.monotonic())
        watch = _Watch(known, connection, call.stall_timeout_s)
        if is_idempotent:
            watch.start()
        answer: TargetResponse | None = None
        try:
            headers = self._codec.encode_call(call, target)
            head = await self._exchange(known, connection, call, headers, watch)
            answer = self._make_answer(known, connection, head, call, watch)
            yield answer
        finally:
            watch.stop()
            has_events = answer is not None and answer.has_events
            known.health.end_call(has_events)
            if answer is not None and answer.is_whole:
                self._pool.keep(
                    target.host,
                    target.port,
                    connection,
                    answer.head.idle_timeout_s,
                )
            else:
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
        idle_s = float("inf") if is_idempotent else UNSAFE_IDLE_S
        try:
            return await self._pool.open(
                target.host, target.port, idle_s, call.attempt_id
            )
        except (TimeoutError, OSError) as error:
            known.health.record_failure(time.monotonic())
            raise failures.TargetCallError(
                target.target_id, f"no connection: {error!r}", may_have_run=False
            ) from error

    async def _exchange(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        call: model.TargetCall,
        headers: list[tuple[bytes, bytes]],
        watch: _Watch,
    ) -> h11.Response:
        """Send the call and return the head of the answer."""
        target_id = known.target.target_id
        try:
            await connection.send(call.method, call.path, headers, call.body)
            return await connection.read_head()
        except h11.LocalProtocolError as error:
            raise failures.TargetCallError(
                target_id, str(error), may_have_run=connection.has_sent
            ) from error
        except (http_client.BrokenAnswer, OSError) as error:
            if connection.is_kept and not watch.cause:
                # The target may have dropped the connection while it was idle, which
                # says nothing about the target.
                cause = f"kept connection: {error}"
                raise failures.TargetCallError(
                    target_id, cause, may_have_run=True
                ) from error
            known.health.record_failure(time.monotonic())
            raise _make_error(known, watch, str(error)) from error

    def _make_answer(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        head: h11.Response,
        call: model.TargetCall,
        watch: _Watch,
    ) -> TargetResponse:
        reply = self._codec.decode_reply(
            head.status_code, bytes(head.reason), list(head.headers.raw_items())
        )
        if reply.is_draining:
            self._on_leaving(known)
        if _is_answer_to(call, reply, connection):
            known.health.record_data(time.monotonic())
            return TargetResponse(known, connection, reply, watch)
        metrics.TARGET_FAULTS.labels("foreign_answer").inc()
        raise failures.TargetCallError(
            known.target.target_id,
            "answer to another request",
            may_have_run=True,
            is_target_fault=True,
        )


def _is_answer_to(
    call: model.TargetCall,
    reply: model.TargetReply,
    connection: http_client.Connection,
) -> bool:
    """Whether an answer belongs to a call.

    On a connection that has carried another call, an answer that does not say to whom
    may be a late copy of the former one.
    """
    if not call.attempt_id or reply.attempt_id == call.attempt_id:
        return True
    return not reply.attempt_id and not connection.is_kept


def _make_error(
    known: target_registry.KnownTarget, watch: _Watch, cause: str
) -> failures.TargetCallError:
    """Return what a broken call means for its request and for the target."""
    # Silence may be due to the path; bytes that are no events are not.
    is_bad_answer = not watch.cause or watch.is_stalled
    if is_bad_answer:
        label = "stalled" if watch.is_stalled else "broken_answer"
        metrics.TARGET_FAULTS.labels(label).inc()
        logs.limited_info(
            "target_fault", target=known.target.target_id, cause=watch.cause or cause
        )
    return failures.TargetCallError(
        known.target.target_id,
        watch.cause or cause,
        may_have_run=True,
        is_target_fault=is_bad_answer,
    )
