"""Calls to targets."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing
from collections import abc

import h11

from endivevane.serving import directory, failures, http_client, model

# Silence of targets is looked for this often while an answer is awaited.
_WATCH_S = 0.1
# A request that may run once only goes out on a connection that was used this
# recently: targets may drop an idle one without notice, some after 0.3 s.
UNSAFE_IDLE_S = 0.25


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


class Answer:
    """An answer that is being read.

    :ivar reply: its head
    """

    def __init__(
        self,
        known: directory.KnownTarget,
        connection: http_client.Connection,
        reply: model.TargetReply,
        is_watched: bool,
    ) -> None:
        self.reply = reply
        self.is_whole = False
        self._known = known
        self._connection = connection
        self._is_watched = is_watched
        self._has_events = False

    @property
    def connection(self) -> http_client.Connection:
        """The connection that carries the answer."""
        return self._connection

    @property
    def has_events(self) -> bool:
        """Whether any byte of the body has come."""
        return self._has_events

    async def read(self) -> bytes | None:
        """Return the next bytes of the body, ``None`` at its end.

        :raises failures.TargetCallError: when the answer ends early, or the target is
            silent and the answer is watched
        """
        try:
            data = await _watch(
                self._known, self._connection.read_data(), self._is_watched
            )
        except (http_client.BrokenAnswer, OSError) as error:
            raise failures.TargetCallError(
                self._known.target.target_id,
                str(error),
                may_have_run=True,
                is_bad_answer=True,
            ) from error
        self._known.health.record_heard(time.monotonic())
        if data is None:
            self.is_whole = True
            return None
        if not self._has_events:
            self._has_events = True
            self._known.health.begin_events()
        return data


class TargetCaller:
    """Opens calls to targets and keeps their connections."""

    def __init__(self, pool: http_client.ConnectionPool, codec: CallCodec) -> None:
        self._pool = pool
        self._codec = codec

    @contextlib.asynccontextmanager
    async def call(
        self,
        known: directory.KnownTarget,
        call: model.TargetCall,
        is_idempotent: bool,
    ) -> abc.AsyncIterator[Answer]:
        """Send a call and yield its answer; the connection ends with the block.

        :param is_idempotent: whether the call may be sent again elsewhere; only then
            it is given up when the target goes silent
        :raises failures.TargetCallError: when there is no answer
        """
        target = known.target
        connection = await self._connect(known, is_idempotent)
        known.health.begin_call(time.monotonic())
        answer: Answer | None = None
        try:
            headers = self._codec.encode_call(call, target)
            head = await self._exchange(known, connection, call, headers, is_idempotent)
            answer = self._make_answer(known, connection, head, call, is_idempotent)
            yield answer
        finally:
            has_events = answer is not None and answer.has_events
            known.health.end_call(has_events)
            if answer is not None and answer.is_whole:
                self._pool.keep(
                    target.host,
                    target.port,
                    connection,
                    answer.reply.idle_timeout_s,
                )
            else:
                connection.stream.abort()

    def forget(self, target: model.Target) -> None:
        """Close the idle connections to a target."""
        self._pool.forget(target.host, target.port)

    async def _connect(
        self, known: directory.KnownTarget, is_idempotent: bool
    ) -> http_client.Connection:
        target = known.target
        idle_s = float("inf") if is_idempotent else UNSAFE_IDLE_S
        try:
            return await self._pool.open(target.host, target.port, idle_s)
        except (TimeoutError, OSError) as error:
            known.health.record_failure(time.monotonic())
            raise failures.TargetCallError(
                target.target_id, f"no connection: {error!r}", may_have_run=False
            ) from error

    async def _exchange(
        self,
        known: directory.KnownTarget,
        connection: http_client.Connection,
        call: model.TargetCall,
        headers: list[tuple[bytes, bytes]],
        is_watched: bool,
    ) -> h11.Response:
        """Send the call and return the head of the answer."""
        target_id = known.target.target_id
        try:
            await connection.send(call.method, call.path, headers, call.body)
            return await _watch(known, connection.read_head(), is_watched)
        except h11.LocalProtocolError as error:
            raise failures.TargetCallError(
                target_id, str(error), may_have_run=False
            ) from error
        except (http_client.BrokenAnswer, OSError) as error:
            if connection.is_kept:
                # The target may have dropped the connection while it was idle, which
                # says nothing about the target.
                cause = f"kept connection: {error}"
                raise failures.TargetCallError(
                    target_id, cause, may_have_run=True
                ) from error
            known.health.record_failure(time.monotonic())
            raise failures.TargetCallError(
                target_id, str(error), may_have_run=True, is_bad_answer=True
            ) from error

    def _make_answer(
        self,
        known: directory.KnownTarget,
        connection: http_client.Connection,
        head: h11.Response,
        call: model.TargetCall,
        is_watched: bool,
    ) -> Answer:
        reply = self._codec.decode_reply(
            head.status_code, bytes(head.reason), list(head.headers.raw_items())
        )
        if reply.attempt_id and reply.attempt_id != call.attempt_id:
            raise failures.TargetCallError(
                known.target.target_id,
                "answer to another request",
                may_have_run=True,
                is_bad_answer=True,
            )
        known.health.record_heard(time.monotonic())
        return Answer(known, connection, reply, is_watched)


_T = typing.TypeVar("_T")


async def _watch(
    known: directory.KnownTarget, reading: abc.Coroutine[object, object, _T], on: bool
) -> _T:
    """Return what a read returns, unless the target goes silent before.

    :raises failures.TargetCallError: when the target is silent and ``on`` is set
    """
    if not on:
        return await reading
    task = asyncio.ensure_future(reading)
    try:
        while True:
            done, _ = await asyncio.wait((task,), timeout=_WATCH_S)
            if done:
                return task.result()
            now_s = time.monotonic()
            if known.health.is_silent(now_s):
                known.health.record_failure(now_s)
                raise failures.TargetCallError(
                    known.target.target_id, "silent", may_have_run=True
                )
    finally:
        task.cancel()
