"""Relaying of a target's response to the client of an online request."""

from __future__ import annotations

import dataclasses
import time

from endivevane import logs
from endivevane.quarantine import service as quarantine_service
from endivevane.quarantine import watches
from endivevane.serving import (
    attempts,
    event_reader,
    event_sequence,
    exchange,
    model,
    outcome_recorder,
    responder,
    sse,
    target_client,
    target_registry,
    target_responses,
)
from endivevane.stream_versions import records as stream_records
from endivevane.stream_versions import service as stream_versions

# Responses of routes that do not stream are buffered completely up to this size.
_MAX_BUFFERED_BYTES = 1 << 20
# The same while much of the memory for responses is used.
_MAX_SCARCE_BYTES = 32 * 1024
# Statuses that tell the client that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_FIRST_FAILED_STATUS = 500


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request at a target.

    :ivar granted_s: monotonic time at which it was granted its slot
    :ivar first_event_s: monotonic time of the request's first event, ``None`` unless
        this attempt brought it
    :ivar is_presumed_run: whether its target counts as one that may have run the
        request only because it is silent
    """

    target: model.Target
    item: exchange.Exchange
    granted_s: float
    first_event_s: float | None = None
    is_presumed_run: bool = False


def make_stream(attempt: Attempt) -> stream_records.BegunStream:
    """Return the stream that an attempt begins, at the version of its target."""
    progress = attempt.item.progress
    return stream_records.BegunStream(
        progress.stream, progress.service, attempt.target.version, time.monotonic()
    )


class AnswerRelay:
    """Passes responses on to clients, and records what they show of the targets."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        outcomes: outcome_recorder.OutcomeRecorder,
        quarantine: quarantine_service.QuarantineService,
        versions: stream_versions.StreamVersions,
    ) -> None:
        self._versions = versions
        self._targets = targets
        self._outcomes = outcomes
        self._quarantine = quarantine

    async def relay(
        self,
        known: target_registry.KnownTarget,
        attempt: Attempt,
        waiting: watches.Watch,
        target_response: target_client.TargetResponse,
    ) -> attempts.Outcome | None:
        """Relay a response; return ``None`` if the request may be sent again.

        :param waiting: told of the first event, and ended by the whole response
        :raises failures.TargetCallError: when the response is broken
        """
        relaying = _Relaying(known, attempt, waiting, target_response)
        progress, head = attempt.item.progress, target_response.head
        if head.is_not_run:
            await target_responses.drain_refusal(target_response)
            self._record_refusal(relaying)
            return None
        known.health.record_taken(time.monotonic())
        progress.ran_on.add(known.target.target_id)
        target_responses.check_signature(known, head)
        is_stream = progress.route.kind is model.RouteKind.STREAMING
        if is_stream and head.status == 200:
            return await self._relay_events(relaying)
        if attempt.item.response.is_started:
            # The client already has part of a stream, which only events can continue.
            raise target_responses.make_target_fault(known, f"status {head.status}")
        return await self._relay_buffered(relaying)

    async def _relay_events(self, relaying: _Relaying) -> attempts.Outcome:
        """Relay complete events, so that another target can resume a broken stream."""
        known, target_response = relaying.known, relaying.target_response
        response = relaying.item.response
        event_reader.check_content_type(known, target_response.head)
        is_resumed = attempts.is_event_id(relaying.item.progress.last_event_id)
        reader = event_reader.EventReader(known, _make_sequence(relaying.item.progress))
        while (data := await target_response.read()) is not None:
            if events := reader.feed(data):
                target_response.record_event()
                await self._deliver(relaying, events)
            reader.check()
            target_response.record_kept(reader.unread_bytes)
        reader.finish(target_response.is_framed)
        self._record_whole_answer(relaying, is_resumed)
        await self._claim(relaying)
        if not response.is_started:
            response.begin(target_response.head)
        known.health.record_success()
        response.finish()
        self._versions.end(relaying.item.progress.stream)
        return attempts.Outcome.SERVED

    async def _deliver(self, relaying: _Relaying, events: list[sse.Event]) -> None:
        """Write events to the client."""
        attempt, progress = relaying.attempt, relaying.item.progress
        response = relaying.item.response
        relaying.waiting.begin_answer()
        await self._claim(relaying)
        await self._begin_stream(relaying)
        now_s = time.monotonic()
        progress.idle_deadline_s = now_s + progress.route.stream_idle_timeout_s
        if progress.first_event_s is None:
            progress.first_event_s = now_s
            attempt.first_event_s = now_s
            self._outcomes.record_first_event(
                attempt.target, progress, now_s - attempt.granted_s
            )
        if not response.is_started:
            response.begin(relaying.target_response.head)
        progress.delivered_events += len(events)
        progress.runs_without_event = 0
        for event in events:
            progress.last_event_id = event.event_id or progress.last_event_id
        await response.write(b"".join(event.raw for event in events))

    async def _begin_stream(self, relaying: _Relaying) -> None:
        """Tie a stream to the version of its target, with its first event.

        :raises failures.TargetCallError: when nobody could find it later, after the
            loss of this process
        """
        progress = relaying.item.progress
        if progress.stream_version is not None:
            return
        if not progress.route.has_resumable_streams:
            return
        stream = make_stream(relaying.attempt)
        progress.stream_version = stream.version
        if not await self._versions.begin(progress.route, stream):
            progress.stream_version = None
            raise target_responses.make_unplanned(relaying.known)

    async def _relay_buffered(self, relaying: _Relaying) -> attempts.Outcome | None:
        """Relay a response: small ones once complete, large ones as they arrive."""
        known, head = relaying.known, relaying.target_response.head
        item = relaying.item
        response = item.response
        kept = bytearray()
        size = 0
        is_failure = (
            head.status >= _FIRST_FAILED_STATUS or head.status in _NOT_RUN_STATUSES
        )
        while (data := await relaying.target_response.read()) is not None:
            if not is_failure:
                relaying.waiting.begin_answer()
            kept += data
            size += len(data)
            relaying.target_response.record_kept(len(kept))
            if not _must_pass_on(relaying, size, is_failure):
                continue
            await self._claim(relaying)
            if not response.is_started:
                response.begin(head)
            await response.write(bytes(kept))
            kept.clear()
            relaying.target_response.record_kept(0)
        if not is_failure:
            self._record_whole_answer(relaying)
        if response.is_started:
            await response.write(bytes(kept))
            response.finish()
            return attempts.Outcome.SERVED
        self._outcomes.record_status(known.target, head.status, is_failure)
        if is_failure and _may_be_answered_otherwise(item):
            item.progress.causes.append(f"status {head.status}")
            return None
        if not is_failure:
            known.health.record_success()
        await self._claim(relaying)
        if head.status in _NOT_RUN_STATUSES:
            # The target may have run the request, so the client must not be told that
            # it has not run.
            response.send(responder.Response(502))
            return attempts.Outcome.FAILED
        full_response = responder.Response(
            head.status, bytes(kept), head.headers, head.reason
        )
        response.send(full_response)
        return attempts.Outcome.FAILED if is_failure else attempts.Outcome.SERVED

    async def _claim(self, relaying: _Relaying) -> None:
        """Answer the client by this attempt, once it may; others are cancelled."""
        if await relaying.item.race.claim():
            logs.limited_info(
                "silence_ended",
                request=relaying.item.progress.request_id,
                target=relaying.known.target.target_id,
            )

    def _record_whole_answer(
        self, relaying: _Relaying, is_resumed: bool = False
    ) -> None:
        """Record that a target has answered a request whole.

        :param is_resumed: whether other runs brought the first events, so that this one
            may have been too short to show anything
        """
        waiting = relaying.waiting
        if not waiting.is_open:
            return
        if not is_resumed and relaying.target_response.is_framed:
            self._quarantine.record_answer(relaying.item.request)
        elif not is_resumed:
            self._quarantine.record_unframed_answer(waiting, relaying.known.target)
        waiting.end()

    def _record_refusal(self, relaying: _Relaying) -> None:
        known, head = relaying.known, relaying.target_response.head
        progress = relaying.item.progress
        progress.causes.append(f"not run, status {head.status}")
        progress.runs_without_event -= 1
        if relaying.attempt.is_presumed_run:
            progress.ran_on.discard(known.target.target_id)
        progress.refused_by.add(known.target.target_id)
        progress.answered_refusals.add(known.target.target_id)
        if head.is_wrong_target:
            self._targets.record_replaced(known.target)
            return
        now_s = time.monotonic()
        known.health.record_full(now_s)
        known.health.record_refused(now_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Relaying:
    """A response that is being relayed."""

    known: target_registry.KnownTarget
    attempt: Attempt
    waiting: watches.Watch
    target_response: target_client.TargetResponse

    @property
    def item(self) -> exchange.Exchange:
        """The request that is answered."""
        return self.attempt.item


def _make_sequence(progress: attempts.Progress) -> event_sequence.EventSequence | None:
    """Return the order of a stream's events, ``None`` if a single run produces them."""
    if not progress.route.is_resumable:
        return None
    return event_sequence.EventSequence(progress.last_event_id)


def _must_pass_on(relaying: _Relaying, size: int, is_failure: bool) -> bool:
    """Whether a response must be passed on before it is complete.

    :param size: number of bytes received of its body
    :param is_failure: whether another attempt may answer instead
    """
    if size > _MAX_BUFFERED_BYTES or relaying.item.response.is_started:
        return True
    is_large = size > _MAX_SCARCE_BYTES
    return is_large and relaying.target_response.is_memory_scarce and not is_failure


def _may_be_answered_otherwise(item: exchange.Exchange) -> bool:
    """Whether another attempt may answer instead of one that brought a failure."""
    if not item.progress.route.is_idempotent:
        return False
    return item.race.running > 1 or item.progress.may_retry(item.response.is_started)
