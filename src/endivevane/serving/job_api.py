"""Handlers of the batch API."""

from __future__ import annotations

import http
import time
import typing
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    failures,
    job_changes,
    job_reader,
    job_runner,
    jobs,
    model,
    responder,
    work_turns,
)

# Timeout of a call for which the client sets none.
_DEFAULT_TIMEOUT_S = 4.0
_MAX_WAIT_S = 1.0
# Retry-After of calls that failed because the store was unavailable.
_RETRY_AFTER_S = 0.4
# Larger bodies are decoded in turns.
_MAX_LIGHT_BYTES = 64 * 1024


class JobCodec(typing.Protocol):
    """Decodes and encodes the bodies of batch calls."""

    def decode_job_id(self, attempt_id: bytes) -> str:
        """Return the id of a submitted job."""

    def decode_items(self, body: bytes) -> tuple[jobs.Item, ...]:
        """Return the items of a submitted job."""

    def encode_results(
        self, total: int, position: int, results: abc.Sequence[jobs.ItemResult]
    ) -> bytes:
        """Return the response body of a read of results."""


class JobApi:
    """Handles the batch calls of clients."""

    def __init__(
        self,
        codec: JobCodec,
        changes: job_changes.JobChanges,
        reader: job_reader.JobReader,
        runner: job_runner.JobRunner,
        turns: work_turns.WorkTurns | None = None,
    ) -> None:
        self._turns = turns or work_turns.WorkTurns()
        self._codec = codec
        self._changes = changes
        self._reader = reader
        self._runner = runner

    async def submit(
        self, request: model.ClientRequest, route: model.Route
    ) -> responder.Response:
        """Accept a job and respond once the store holds it."""
        try:
            job_id = self._codec.decode_job_id(request.attempt_id)
            items = await self._decode_items(request)
        except work_turns.NoTurn:
            logs.limited_info("job_not_decoded", job=job_id)
            metrics.REFUSALS.labels("turns", "not-run").inc()
            return responder.Response(
                http.HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
            )
        except failures.InvalidJob as error:
            logs.limited_info(
                "job_invalid",
                job=request.attempt_id.decode("latin-1"),
                cause=error.reason,
            )
            return responder.Response(http.HTTPStatus.BAD_REQUEST)
        submission = job_changes.Submission(
            job_id,
            request.host,
            request.path,
            route,
            items,
            _get_deadline_s(request),
            request.told_organisation,
        )
        try:
            entry = await self._changes.accept(submission)
        except failures.JobRefused as error:
            return self._refuse(job_id, error)
        except failures.JobUncertain:
            logs.limited_info("job_uncertain", job=job_id)
            return responder.Response(http.HTTPStatus.GATEWAY_TIMEOUT)
        if entry is not None and entry.job.owner:
            self._runner.start_job(entry, items)
        logs.info(
            "job_accepted",
            job=job_id,
            items=len(items),
            is_new=entry is not None,
            took_ms=int((time.monotonic() - request.received_s) * 1000),
        )
        return responder.Response(http.HTTPStatus.ACCEPTED)

    async def _decode_items(
        self, request: model.ClientRequest
    ) -> tuple[jobs.Item, ...]:
        """Return the items of a submission; large ones are decoded in turns.

        :raises failures.InvalidJob: when the body is invalid
        :raises work_turns.NoTurn: when there was no turn in time
        """
        if len(request.body) <= _MAX_LIGHT_BYTES:
            return self._codec.decode_items(request.body)
        return await self._turns.run(
            request, lambda: self._codec.decode_items(request.body)
        )

    async def call(
        self, request: model.ClientRequest, job_call: jobs.JobCall
    ) -> responder.Response:
        """Handle a call that reads or ends a job."""
        try:
            if not await self._is_allowed(request, job_call.job_id):
                logs.limited_info("job_of_another", job=job_call.job_id)
                return responder.Response(http.HTTPStatus.NOT_FOUND)
            match job_call:
                case jobs.ReadResults():
                    return await self._read(job_call, request.wait_s)
                case jobs.ReadItem():
                    return await self._read_item(job_call)
                case jobs.EndJob():
                    return await self._end(job_call, _get_deadline_s(request))
        except failures.StoreFailure as error:
            logs.limited_info(
                "job_call_unsure", job=job_call.job_id, cause=error.format_message()
            )
            return responder.Response(
                http.HTTPStatus.SERVICE_UNAVAILABLE, retry_after_s=_RETRY_AFTER_S
            )

    async def _is_allowed(self, request: model.ClientRequest, job_id: str) -> bool:
        """Return whether a client may call on a job, as far as its row is known.

        :raises failures.StoreFailure: when that can't be decided
        """
        caller = request.told_organisation
        if caller is None:
            return True
        entry = await self._reader.find(job_id)
        return entry is None or entry.job.organisation in (None, caller)

    async def _read(
        self, job_call: jobs.ReadResults, wait_s: float
    ) -> responder.Response:
        found = await self._reader.read(
            job_call.job_id, job_call.position, min(wait_s, _MAX_WAIT_S)
        )
        if found is None:
            logs.limited_info("job_unknown", job=job_call.job_id)
            return responder.Response(http.HTTPStatus.NOT_FOUND)
        total, results = found
        if not results:
            self._reader.record_empty_read(job_call.job_id, job_call.position)
        body = self._codec.encode_results(total, job_call.position, results)
        return responder.Response(
            http.HTTPStatus.OK, body, content_type="application/json"
        )

    async def _read_item(self, job_call: jobs.ReadItem) -> responder.Response:
        body = await self._reader.read_body(job_call.job_id, job_call.item_id)
        if body is None:
            logs.limited_info("item_unknown", job=job_call.job_id)
            return responder.Response(http.HTTPStatus.NOT_FOUND)
        return responder.Response(
            http.HTTPStatus.OK, body, content_type="application/octet-stream"
        )

    async def _end(self, job_call: jobs.EndJob, until_s: float) -> responder.Response:
        entry = await self._reader.find(job_call.job_id)
        if entry is None:
            return responder.Response(http.HTTPStatus.NOT_FOUND)
        is_ended = await self._changes.end(job_call.job_id, until_s)
        logs.info(
            "job_end_asked",
            job=job_call.job_id,
            row_version=entry.version,
            is_ended=is_ended,
        )
        if is_ended:
            return responder.Response(http.HTTPStatus.OK)
        return responder.Response(http.HTTPStatus.GATEWAY_TIMEOUT)

    def _refuse(self, job_id: str, error: failures.JobRefused) -> responder.Response:
        logs.info("job_refused", job=job_id, cause=error.reason)
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if error.is_over_quota:
            status = http.HTTPStatus.TOO_MANY_REQUESTS
        return responder.Response(status, retry_after_s=_RETRY_AFTER_S)


def _get_deadline_s(request: model.ClientRequest) -> float:
    """Return the monotonic time until which the client waits for the response."""
    if request.deadline_s is not None:
        return request.deadline_s
    return request.received_s + _DEFAULT_TIMEOUT_S
