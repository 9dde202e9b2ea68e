"""Sending of batch items to targets."""

from __future__ import annotations

import enum
from collections import abc

from endivevane import logs, metrics
from endivevane.quarantine import service as quarantine_service
from endivevane.serving import (
    event_reader,
    event_sequence,
    failures,
    item_refusals,
    jobs,
    model,
    owned_jobs,
    target_client,
    target_registry,
    target_responses,
)

# The target can't process this item; a retry would not help.
_UNPROCESSABLE_STATUS = 422
_FAILED_STATUS = 500
_OK_STATUS = 200
# Time without a complete event after which an item is retried elsewhere; a healthy
# target may delay an event by some seconds.
_STALL_TIMEOUT_S = 5.0
# A longer output can't be listed, so that it is no output of the item.
_MAX_OUTPUT_BYTES = 1 << 20
# Memory that the data of an event takes beside its bytes.
_EVENT_OVERHEAD_BYTES = 64

HeaderEncoder = abc.Callable[[str, abc.Mapping[str, str]], model.Headers]
SegmentDecoder = abc.Callable[[abc.Mapping[str, str]], tuple[str, ...]]


class RunEnd(enum.Enum):
    """How a run of an item ended; the values are metric labels and log values."""

    COMPLETED = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    BROKEN = "broken"
    PREEMPTED = "yielded"


class ItemSender:
    """Runs items on targets; an item resumes after its last event."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        caller: target_client.TargetClient,
        encode_headers: HeaderEncoder,
        decode_segments: SegmentDecoder,
        quarantine: quarantine_service.QuarantineService,
        refusal_judge: item_refusals.RefusalJudge,
    ) -> None:
        self._refusal_judge = refusal_judge
        self._decode_segments = decode_segments
        self._quarantine = quarantine
        self._targets = targets
        self._caller = caller
        self._encode_headers = encode_headers

    async def send(
        self, job: jobs.Job, run: owned_jobs.ItemRun, target: model.Target
    ) -> tuple[RunEnd, int]:
        """Send an item; return how the run ended and the response status, 0 for none.

        :raises failures.TargetCallError: when the response is missing or truncated
        """
        known = self._targets.find(target.target_id)
        if known is None or known.is_draining:
            return RunEnd.NOT_RUN, 0
        if known.target.service != target.service:
            # The item's route may not allow the service that it has now.
            return RunEnd.NOT_RUN, 0
        target = known.target
        last_event = run.last_event if run.can_go_on_at(target) else 0
        call = model.TargetCall(
            method=b"POST",
            path=run.item.path.encode("latin-1"),
            headers=self._encode_headers(job.host, run.item.headers),
            body=run.item.body,
            attempt_id=run.item.item_id.encode("latin-1"),
            last_event_id=_encode_event_id(last_event),
            stall_timeout_s=_STALL_TIMEOUT_S,
            was_refused=target.target_id in run.refused_by,
            organisation=job.organisation,
        )
        async with self._caller.call(known, call, True) as response:
            status = response.head.status
            if response.head.is_not_run:
                self._record_refusal(job, run, known, response.head)
                return RunEnd.NOT_RUN, status
            self._refusal_judge.record_taken(job.route, run.item.tokens, run.refusals)
            if status == _UNPROCESSABLE_STATUS:
                return RunEnd.UNPROCESSABLE, status
            if status == _FAILED_STATUS:
                return RunEnd.FAILED, status
            if status != _OK_STATUS:
                return RunEnd.BROKEN, status
            target_responses.check_signature(known, response.head)
            event_reader.check_content_type(known, response.head)
            if last_event != run.last_event:
                _restart(job, run, target)
            try:
                end = await self._read_events(known, target, run, response)
            except failures.TargetAnswerTooLarge:
                run.restart()
                raise
            if end is RunEnd.COMPLETED:
                known.health.record_success()
            return end, status

    async def _read_events(
        self,
        known: target_registry.KnownTarget,
        target: model.Target,
        run: owned_jobs.ItemRun,
        response: target_client.TargetResponse,
    ) -> RunEnd:
        """Add the events of a response to an item.

        :param target: the target as it was when it got the item
        """
        is_resumed = run.last_event > 0
        sequence = event_sequence.EventSequence(_encode_event_id(run.last_event))
        reader = event_reader.EventReader(known, sequence)
        size = sum(len(piece) for piece in run.pieces)
        while (data := await response.read()) is not None:
            size += len(data)
            response.record_kept(
                size + len(run.pieces) * _EVENT_OVERHEAD_BYTES + reader.unread_bytes
            )
            for event in reader.feed(data):
                response.record_event()
                run.add_event(event, target)
            reader.check()
            if size > _MAX_OUTPUT_BYTES:
                raise target_responses.make_too_large(known, "output too large")
        reader.finish(response.is_framed)
        if response.is_framed and not is_resumed:
            self._quarantine.record_answer_on(self._decode_segments(run.item.headers))
        return RunEnd.COMPLETED

    def _record_refusal(
        self,
        job: jobs.Job,
        run: owned_jobs.ItemRun,
        known: target_registry.KnownTarget,
        reply: model.TargetReply,
    ) -> None:
        run.refused_by.add(known.target.target_id)
        was_doubtful = run.refusals.is_doubtful
        self._refusal_judge.record_refusal(
            job.route, run.item.tokens, run.refusals, known, reply
        )
        if run.refusals.is_doubtful and not was_doubtful:
            logs.limited_info(
                "item_doubtful",
                job=job.job_id,
                item=run.item.item_id,
                tokens=run.item.tokens,
                refused_by=len(run.refused_by),
            )
        if reply.is_wrong_target:
            self._targets.record_replaced(known.target)


def _restart(job: jobs.Job, run: owned_jobs.ItemRun, target: model.Target) -> None:
    """Drop the events of an item that starts again at a target."""
    metrics.BATCH_RESTARTS.inc()
    logs.limited_info(
        "item_restarted",
        job=job.job_id,
        item=run.item.item_id,
        target=target.target_id,
        service=target.service,
        software=target.version,
        former_service=run.service,
        former=run.version,
        events=run.last_event,
    )
    run.restart()


def _encode_event_id(number: int) -> bytes:
    """Return the id of an event, empty for none."""
    return str(number).encode() if number else b""
