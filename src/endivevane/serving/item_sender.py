"""Sending a batch item to a target."""

from __future__ import annotations

import enum
import time
from collections import abc

from endivevane.serving import (
    jobs,
    model,
    owned_jobs,
    sse,
    target_client,
    target_registry,
    target_responses,
)

# The target says that the item itself can't be done.
_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500
_OK_STATUS = 200
# Time without a whole event after which an item goes on elsewhere; a sound target may
# keep it waiting for some seconds.
_STALL_S = 5.0
# Text of an item above which its answer is taken for broken.
_MOST_TEXT_BYTES = 4 << 20

HeaderEncoder = abc.Callable[[str, abc.Mapping[str, str]], model.Headers]


class RunEnd(enum.Enum):
    """How a run of an item ended."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    YIELDED = "yielded"


class ItemSender:
    """Runs an item at a target, from behind its last event on."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        caller: target_client.TargetClient,
        encode_headers: HeaderEncoder,
    ) -> None:
        self._targets = targets
        self._caller = caller
        self._encode_headers = encode_headers

    async def send(
        self, job: jobs.Job, run: owned_jobs.ItemRun, target: model.Target
    ) -> tuple[RunEnd, int]:
        """Return how the run ended and the status of the answer, 0 for none.

        :raises failures.TargetCallError: when the answer does not come or breaks off
        """
        known = self._targets.find(target.target_id)
        if known is None or known.is_draining:
            return RunEnd.NOT_RUN, 0
        call = model.TargetCall(
            method=b"POST",
            path=run.item.path.encode("latin-1"),
            headers=self._encode_headers(job.host, run.item.headers),
            body=run.item.body,
            attempt_id=run.item.item_id.encode("latin-1"),
            last_event_id=str(run.last_event).encode() if run.last_event else b"",
            stall_timeout_s=_STALL_S,
        )
        async with self._caller.call(known, call, True) as answer:
            status = answer.head.status
            if answer.head.is_not_run:
                self._note_refusal(known, answer.head)
                return RunEnd.NOT_RUN, status
            if status == _IMPOSSIBLE_STATUS:
                return RunEnd.IMPOSSIBLE, status
            if status == _FAILED_STATUS:
                return RunEnd.FAILED, status
            if status != _OK_STATUS:
                return RunEnd.BROKEN, status
            target_responses.check_signature(known, answer.head)
            end = await _read_events(known, run, answer)
            if end is RunEnd.WHOLE:
                known.health.record_success()
            return end, status

    def _note_refusal(
        self, known: target_registry.KnownTarget, reply: model.TargetReply
    ) -> None:
        known.health.record_full(time.monotonic())
        if reply.is_wrong_target:
            self._targets.record_replaced(known.target)


async def _read_events(
    known: target_registry.KnownTarget,
    run: owned_jobs.ItemRun,
    answer: target_client.TargetResponse,
) -> RunEnd:
    splitter = sse.EventParser()
    size = sum(len(piece) for piece in run.pieces)
    while (data := await answer.read()) is not None:
        size += len(data)
        for event in target_responses.parse_events(known, splitter, data):
            answer.record_event()
            if not run.take(event):
                return RunEnd.BROKEN
        if size > _MOST_TEXT_BYTES:
            return RunEnd.BROKEN
    return RunEnd.BROKEN if splitter.remainder else RunEnd.WHOLE
