"""HTTP routes of files and batches, compatible with the OpenAI API."""

from __future__ import annotations

import itertools
import threading
import typing
from collections import abc

import werkzeug.wrappers

from endivevane import types
from endivevane.batch import files, jobs, ports, records, results
from endivevane.coordination import clock, store
from endivevane.web import app, errors

_MAX_PAGE_SIZE = 100
_DEFAULT_PAGE_SIZE = 20
# An upload holds up to two segments and its custom ids in memory, about 12 MB.
_MAX_UPLOADS = 3
_PIECE_BYTES = 64 << 10


class BatchApi:
    """Handlers of the file and batch routes.

    :param max_upload_bytes: size limit of an input file
    :param notify_cancelled: notifies all daemons of a cancelled job and waits, with a
        timeout, until the named owners of its chunks have stopped
    """

    def __init__(
        self,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        api_clock: clock.Clock,
        max_upload_bytes: int,
        notify_cancelled: abc.Callable[[str, abc.Collection[str]], None],
    ) -> None:
        self._files = files.FileService(table_store, object_store, api_clock)
        self._jobs = jobs.JobService(table_store, api_clock)
        self._results = results.ResultReader(table_store, object_store)
        self._max_upload_bytes = max_upload_bytes
        self._notify_cancelled = notify_cancelled
        self._uploads = threading.BoundedSemaphore(_MAX_UPLOADS)

    def routes(self) -> abc.Sequence[app.Route]:
        """Return the routes for :class:`app.Application`."""
        limit = self._max_upload_bytes
        return [
            app.Route("POST", "/v1/files", self._upload, max_body_bytes=limit),
            app.Route("GET", "/v1/files", self._list_files),
            app.Route("GET", "/v1/files/<file_id>", self._get_file),
            app.Route("GET", "/v1/files/<file_id>/content", self._read_file),
            app.Route("DELETE", "/v1/files/<file_id>", self._delete_file),
            app.Route("POST", "/v1/batches", self._create_job),
            app.Route("GET", "/v1/batches", self._list_jobs),
            app.Route("GET", "/v1/batches/<job_id>", self._get_job),
            app.Route("POST", "/v1/batches/<job_id>/cancel", self._cancel_job),
        ]

    def _upload(self, call: app.Call) -> werkzeug.wrappers.Response:
        if not self._uploads.acquire(blocking=False):
            text = f"{_MAX_UPLOADS} uploads are already in progress at this daemon"
            raise errors.Overloaded(text, retry_after_s=2)
        try:
            record = self._files.upload(call)
        finally:
            self._uploads.release()
        return app.make_json_response(files.describe_file(record))

    def _list_files(self, call: app.Call) -> werkzeug.wrappers.Response:
        after, limit = _parse_page(call)
        found, has_more = self._files.list(call.organisation, after, limit)
        return _make_list([files.describe_file(item) for item in found], has_more)

    def _get_file(self, call: app.Call) -> werkzeug.wrappers.Response:
        file_id = str(call.arguments["file_id"])
        parsed = results.parse_result_file_id(file_id)
        if parsed is None:
            record = self._files.get(call.organisation, file_id)
            return app.make_json_response(files.describe_file(record))
        job_id, is_errors = parsed
        job = self._jobs.get(call.organisation, job_id).job
        tally = self._jobs.count(job)
        return app.make_json_response(
            results.describe_result_file(job, tally, is_errors)
        )

    def _read_file(self, call: app.Call) -> werkzeug.wrappers.Response:
        file_id = str(call.arguments["file_id"])
        parsed = results.parse_result_file_id(file_id)
        if parsed is None:
            record = self._files.get(call.organisation, file_id)
            return _make_stream(self._files.read(record))
        job_id, is_errors = parsed
        self._jobs.get(call.organisation, job_id)
        return _make_stream(self._results.read(job_id, is_errors))

    def _delete_file(self, call: app.Call) -> werkzeug.wrappers.Response:
        file_id = str(call.arguments["file_id"])
        if results.parse_result_file_id(file_id) is not None:
            raise errors.Conflict("result files of a batch can't be deleted")
        self._files.delete(call.organisation, file_id)
        return app.make_json_response(
            {"id": file_id, "object": "file", "deleted": True}
        )

    def _create_job(self, call: app.Call) -> werkzeug.wrappers.Response:
        headers = call.request.headers
        request = jobs.parse_request(
            call.organisation,
            app.read_json(call),
            headers.get("Idempotency-Key", ""),
            headers.get("X-Deadline-Ms", ""),
        )
        return self._respond_to_change(self._jobs.create(request))

    def _list_jobs(self, call: app.Call) -> werkzeug.wrappers.Response:
        after, limit = _parse_page(call)
        found, has_more = self._jobs.list(call.organisation, after, limit)
        return _make_list(
            [describe_job(job, self._jobs.count(job)) for job in found], has_more
        )

    def _get_job(self, call: app.Call) -> werkzeug.wrappers.Response:
        job_id = str(call.arguments["job_id"])
        return self._make_job_response(self._jobs.get(call.organisation, job_id).job)

    def _cancel_job(self, call: app.Call) -> werkzeug.wrappers.Response:
        job_id = str(call.arguments["job_id"])
        job = self._jobs.cancel(call.organisation, job_id)
        try:
            owners = self._jobs.list_owners(job_id)
        except errors.ApiError as error:
            self._notify_cancelled(job_id, ())
            raise _mark_applied(error) from error
        self._notify_cancelled(job_id, owners)
        return self._respond_to_change(job)

    def _make_job_response(self, job: records.Job) -> werkzeug.wrappers.Response:
        return app.make_json_response(describe_job(job, self._jobs.count(job)))

    def _respond_to_change(self, job: records.Job) -> werkzeug.wrappers.Response:
        """Return the job after a change; a read error must not deny the change."""
        try:
            return self._make_job_response(job)
        except errors.ApiError as error:
            raise _mark_applied(error) from error


def describe_job(job: records.Job, tally: records.Tally) -> dict[str, typing.Any]:
    """Return a job as an OpenAI batch object."""
    ended_s = job.ended_ms // 1000 if job.ended_ms is not None else None
    is_kept = job.expired_ms is None
    expired_s = job.expired_ms // 1000 if job.expired_ms is not None else None
    is_completed = job.state == records.JobState.COMPLETED
    is_cancelled = job.state == records.JobState.CANCELLED
    output_id = results.make_result_file_id(job.job_id, is_errors=False)
    errors_id = results.make_result_file_id(job.job_id, is_errors=True)
    return {
        "id": job.job_id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.input_file_id,
        "completion_window": job.completion_window,
        "status": str(job.state) if is_kept else "expired",
        "output_file_id": output_id if is_kept and tally.completed else None,
        "error_file_id": errors_id if is_kept and tally.failed else None,
        "created_at": job.created_ms // 1000,
        "in_progress_at": job.created_ms // 1000,
        "expires_at": job.deadline_ms // 1000,
        "finalizing_at": None,
        "completed_at": ended_s if is_completed else None,
        "failed_at": None,
        "expired_at": expired_s,
        "cancelling_at": ended_s if is_cancelled else None,
        "cancelled_at": ended_s if is_cancelled else None,
        "request_counts": {
            "total": job.item_count,
            "completed": tally.completed,
            "failed": tally.failed,
        },
        "metadata": job.metadata,
    }


def _mark_applied(error: errors.ApiError) -> errors.ApiError:
    """Return an error that tells the caller that the change was applied."""
    return errors.Unavailable(
        f"the batch was changed, but reading it failed: {error.message}",
        run_state=types.RunState.RAN,
        retry_after_s=error.retry_after_s,
    )


def _parse_page(call: app.Call) -> tuple[str, int]:
    arguments = call.request.args
    limit_text = arguments.get("limit", str(_DEFAULT_PAGE_SIZE))
    if not limit_text.isdigit() or int(limit_text) == 0:
        raise errors.InvalidRequest("limit must be a positive integer", param="limit")
    return arguments.get("after", ""), min(int(limit_text), _MAX_PAGE_SIZE)


def _make_list(
    data: list[dict[str, typing.Any]], has_more: bool
) -> werkzeug.wrappers.Response:
    return app.make_json_response(
        {
            "object": "list",
            "data": data,
            "first_id": data[0]["id"] if data else None,
            "last_id": data[-1]["id"] if data else None,
            "has_more": has_more,
        }
    )


def _make_stream(parts: abc.Iterator[bytes]) -> werkzeug.wrappers.Response:
    """Return a streamed response; an error on the first part sets the status."""
    first = next(parts, b"")
    whole = itertools.chain([first], parts)
    return werkzeug.wrappers.Response(
        _split_parts(whole), content_type="application/jsonl"
    )


def _split_parts(parts: abc.Iterable[bytes]) -> abc.Iterator[bytes]:
    """Yield small pieces: the server spools larger ones to a temporary file."""
    for part in parts:
        for start in range(0, len(part), _PIECE_BYTES):
            yield part[start : start + _PIECE_BYTES]
