"""Jobs: creation, reads, cancellation and completion by conditional writes."""

from __future__ import annotations

import dataclasses
import re
import secrets
import typing

import result

from endivevane import types, utils
from endivevane.batch import chunks, failures, items, records
from endivevane.coordination import clock, store
from endivevane.web import errors

_WINDOW = re.compile(r"^([1-9][0-9]{0,5})([smhd])$")
_UNIT_MS = {"s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
_MAX_METADATA = 16
_MAX_WINDOW_MS = 30 * _UNIT_MS["d"]
_PAGE = 500
_MAX_CREATE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class JobRequest:
    """A validated request to create a job.

    :param window_ms: time until the deadline
    """

    organisation: str
    input_file_id: str
    endpoint: str
    completion_window: str
    window_ms: int
    metadata: dict[str, str] | None
    idempotency_key: str


def parse_request(
    organisation: str,
    body: dict[str, typing.Any],
    idempotency_key: str,
    deadline_text: str,
) -> JobRequest:
    """Validate the body of a create call.

    :param deadline_text: value of ``X-Deadline-Ms``; empty when absent
    :raises errors.InvalidRequest: with the name of the invalid parameter
    """
    file_id = body.get("input_file_id")
    if not isinstance(file_id, str) or not file_id:
        raise errors.InvalidRequest(
            "input_file_id must be a non-empty string", param="input_file_id"
        )
    if body.get("endpoint") != items.ENDPOINT:
        text = f"endpoint must be {items.ENDPOINT}"
        raise errors.InvalidRequest(text, param="endpoint")
    window = body.get("completion_window", "24h")
    match = _WINDOW.match(window) if isinstance(window, str) else None
    if match is None:
        text = (
            "completion_window must be a number with the unit s, m, h or d, such as 24h"
        )
        raise errors.InvalidRequest(text, param="completion_window")
    window_ms = int(match[1]) * _UNIT_MS[match[2]]
    if deadline_text:
        if not deadline_text.isdigit() or int(deadline_text) == 0:
            raise errors.InvalidRequest("X-Deadline-Ms must be a positive integer")
        window_ms = int(deadline_text)
    if window_ms > _MAX_WINDOW_MS:
        text = "the deadline is more than 30 days away"
        raise errors.InvalidRequest(text, param="completion_window")
    return JobRequest(
        organisation,
        file_id,
        items.ENDPOINT,
        str(window),
        window_ms,
        _parse_metadata(body.get("metadata")),
        idempotency_key,
    )


def make_job_id(request: JobRequest) -> str:
    """Return the identifier of a job, which is equal for equal requests."""
    if request.idempotency_key:
        digest = utils.digest_text("key", request.organisation, request.idempotency_key)
    else:
        digest = utils.digest_text(
            "file",
            request.organisation,
            request.input_file_id,
            request.endpoint,
            request.completion_window,
            utils.encode_json(request.metadata).decode(),
        )
    prefix = records.make_organisation_prefix(request.organisation)
    return f"batch_{prefix}{digest[:24]}"


class JobService:
    """Creates, reads and cancels jobs.

    :param table_store: holds the rows of files, jobs and chunks
    """

    def __init__(
        self, table_store: store.TableStore, service_clock: clock.Clock
    ) -> None:
        self._store = table_store
        self._clock = service_clock

    def create(self, request: JobRequest) -> records.Job:
        """Create a job, or return the job that an equal request has created.

        :raises errors.ApiError: when the file can't be used or the store fails
        """
        job_id = make_job_id(request)
        for _ in range(_MAX_CREATE_ATTEMPTS):
            earlier = failures.unwrap(self._store.read(records.JOBS, job_id))
            if earlier is not None:
                found = records.decode_job(earlier).job
                check_kept(found)
                return _check_same(request, found)
            job = self._insert(request, job_id)
            if job is not None:
                return job
        raise errors.Unavailable("the file is being changed; retry the request")

    def get(self, organisation: str, job_id: str) -> records.StoredJob:
        """Return a job of the organisation.

        :raises errors.NotFound: when the organisation has no such job
        :raises errors.JobExpired: when the retention of its results has ended
        """
        row = failures.unwrap(self._store.read(records.JOBS, job_id))
        if row is None or row.value["organisation"] != organisation:
            raise errors.NotFound(f"there is no batch {job_id}")
        stored = records.decode_job(row)
        check_kept(stored.job)
        return stored

    def list(
        self, organisation: str, after: str, limit: int
    ) -> tuple[list[records.Job], bool]:
        """Return jobs sorted by identifier and whether there are more."""
        prefix = "batch_" + records.make_organisation_prefix(organisation)
        rows = failures.unwrap(self._store.scan(records.JOBS, prefix, after, limit + 1))
        found = [records.decode_job(row).job for row in rows]
        own = [item for item in found if item.organisation == organisation]
        return own[:limit], len(rows) > limit

    def cancel(self, organisation: str, job_id: str) -> records.Job:
        """Cancel a job; no chunk is claimed or committed after this returns.

        :raises errors.Conflict: when the job has completed
        """
        stored = self.get(organisation, job_id)
        if stored.job.state == records.JobState.IN_PROGRESS:
            ended = dataclasses.replace(
                stored.job,
                state=records.JobState.CANCELLED,
                ended_ms=self._clock.wall_ms(),
            )
            outcome = end_job(self._store, stored, ended)
            if isinstance(outcome, result.Err):
                raise failures.make_api_error(outcome.err_value)
            if outcome.ok_value is chunks.WriteOutcome.APPLIED:
                return ended
            stored = self.get(organisation, job_id)
        if stored.job.state == records.JobState.COMPLETED:
            raise errors.Conflict("the batch has completed and can't be cancelled")
        return stored.job

    def count(self, job: records.Job) -> records.Tally:
        """Return the tally of the committed items of a job."""
        if job.tally is not None:
            return records.decode(records.Tally, dict(job.tally))
        rows = failures.unwrap(scan_chunks(self._store, job.job_id))
        if job.state != records.JobState.IN_PROGRESS:
            # Retention may have deleted the chunk rows; the job row then has the tally.
            row = failures.unwrap(self._store.read(records.JOBS, job.job_id))
            if row is not None and row.value["tally"] is not None:
                return records.decode(records.Tally, row.value["tally"])
        return records.sum_tallies(
            [records.decode(records.Chunk, row.value) for row in rows]
        )

    def list_owners(self, job_id: str) -> set[str]:
        """Return the daemons that hold claims on chunks of a job."""
        rows = failures.unwrap(scan_chunks(self._store, job_id))
        found = [records.decode(records.Chunk, row.value) for row in rows]
        return {
            chunk.owner for chunk in found if chunk.state == records.ChunkState.CLAIMED
        }

    def _insert(self, request: JobRequest, job_id: str) -> records.Job | None:
        """Insert the rows of a job; return ``None`` on a conflicting write."""
        row = failures.unwrap(self._store.read(records.FILES, request.input_file_id))
        if row is None or row.value["organisation"] != request.organisation:
            raise errors.NotFound(f"there is no file {request.input_file_id}")
        source = records.decode(records.InputFile, row.value)
        if source.state == records.FileState.ERASING:
            raise errors.FileExpired("the file was deleted", param="input_file_id")
        if source.state != records.FileState.READY:
            raise errors.Conflict("the file is being deleted", param="input_file_id")
        if source.lines == 0:
            raise errors.InvalidRequest("the file is empty", param="input_file_id")
        job = self._build(request, job_id, source)
        outcome = store.transact_with_readback(
            self._store,
            utils.make_id("create"),
            [
                store.Condition(records.JOBS, job_id, None),
                store.Condition(records.FILES, source.file_id, row.revision),
            ],
            [
                store.Write(records.JOBS, job_id, records.encode(job)),
                store.Write(
                    records.OPEN,
                    records.make_open_key(job),
                    records.encode(records.make_open_row(job)),
                ),
            ],
        )
        if isinstance(outcome, result.Ok):
            return job
        if isinstance(outcome.err_value, store.StoreConflict):
            return None
        raise failures.make_api_error(outcome.err_value)

    def _build(
        self, request: JobRequest, job_id: str, source: records.InputFile
    ) -> records.Job:
        now_ms = self._clock.wall_ms()
        return records.Job(
            job_id=job_id,
            organisation=request.organisation,
            input_file_id=source.file_id,
            endpoint=request.endpoint,
            completion_window=request.completion_window,
            metadata=request.metadata,
            created_ms=now_ms,
            deadline_ms=now_ms + request.window_ms,
            item_count=source.lines,
            chunk_count=source.segments,
            upload=source.upload,
            model=source.model,
            duplicates=source.duplicates,
            generation=secrets.token_hex(4),
        )


def check_kept(job: records.Job) -> None:
    """Reject a call for a job whose results are past their retention.

    :raises errors.JobExpired: with the run state of the job
    """
    if job.expired_ms is None:
        return
    is_completed = job.state == records.JobState.COMPLETED
    raise errors.JobExpired(
        f"the results of batch {job.job_id} are past their retention; use a new"
        " Idempotency-Key to run the items again",
        run_state=(types.RunState.RAN if is_completed else types.RunState.MAY_HAVE_RUN),
    )


def scan_chunks(
    table_store: store.TableStore, job_id: str, after: str = ""
) -> result.Result[list[store.Row], store.StoreError]:
    """Return the chunk rows of a job sorted by number."""
    rows: list[store.Row] = []
    while True:
        page = table_store.scan(records.CHUNKS, f"{job_id}/", after, _PAGE)
        if isinstance(page, result.Err):
            return page
        rows += page.ok_value
        if len(page.ok_value) < _PAGE:
            return result.Ok(rows)
        after = rows[-1].key


def finish(
    table_store: store.TableStore,
    stored: records.StoredJob,
    rows: list[store.Row],
    now_ms: int,
) -> result.Result[chunks.WriteOutcome, store.StoreError]:
    """Complete a job whose chunks are all done.

    :param rows: the chunk rows; done rows are final, so a stale scan is sufficient
    """
    if not chunks.is_all_done(rows, stored.job.chunk_count):
        raise ValueError(f"job {stored.job.job_id} has chunks that are not done")
    tally = records.sum_tallies(
        [records.decode(records.Chunk, row.value) for row in rows]
    )
    ended = dataclasses.replace(
        stored.job,
        state=records.JobState.COMPLETED,
        ended_ms=now_ms,
        tally=dataclasses.asdict(tally),
    )
    return end_job(table_store, stored, ended)


def end_job(
    table_store: store.TableStore, stored: records.StoredJob, ended: records.Job
) -> result.Result[chunks.WriteOutcome, store.StoreError]:
    """Write the final state of a job and delete its ``open`` row."""
    job_id = ended.job_id
    outcome = store.transact_with_readback(
        table_store,
        utils.make_id("end"),
        [store.Condition(records.JOBS, job_id, stored.revision)],
        [
            store.Write(records.JOBS, job_id, records.encode(ended)),
            store.Write(records.OPEN, records.make_open_key(ended), None),
        ],
    )
    if isinstance(outcome, result.Ok):
        return result.Ok(chunks.WriteOutcome.APPLIED)
    if isinstance(outcome.err_value, store.StoreConflict):
        return result.Ok(chunks.WriteOutcome.FENCED)
    return outcome


def _check_same(request: JobRequest, job: records.Job) -> records.Job:
    if job.input_file_id != request.input_file_id:
        raise errors.Conflict("the Idempotency-Key was used for another batch")
    return job


def _parse_metadata(value: typing.Any) -> dict[str, str] | None:
    if value is None:
        return None
    if not isinstance(value, dict) or len(value) > _MAX_METADATA:
        text = f"metadata must be an object with at most {_MAX_METADATA} entries"
        raise errors.InvalidRequest(text, param="metadata")
    return {str(key): str(item) for key, item in value.items()}
