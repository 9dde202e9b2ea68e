"""Result files of jobs, readable while the job runs and afterwards."""

from __future__ import annotations

import typing
from collections import abc

import result

from endivevane.batch import failures, items, jobs, ports, records
from endivevane.coordination import store
from endivevane.external import objects
from endivevane.web import errors

_PAGE = 200


def parse_result_file_id(file_id: str) -> tuple[str, bool] | None:
    """Return the job of a result file and whether it is the error file.

    :returns: ``None`` when the identifier is not that of a result file
    """
    if not file_id.startswith("file-batch_"):
        return None
    name = file_id.removeprefix("file-")
    if name.endswith(records.OUTPUT_SUFFIX):
        return name.removesuffix(records.OUTPUT_SUFFIX), False
    if name.endswith(records.ERRORS_SUFFIX):
        return name.removesuffix(records.ERRORS_SUFFIX), True
    return None


def make_result_file_id(job_id: str, is_errors: bool) -> str:
    """Return the identifier of a job's output or error file."""
    suffix = records.ERRORS_SUFFIX if is_errors else records.OUTPUT_SUFFIX
    return f"file-{job_id}{suffix}"


def describe_result_file(
    job: records.Job, tally: records.Tally, is_errors: bool
) -> dict[str, typing.Any]:
    """Return a result file as an OpenAI file object."""
    ended_ms = job.ended_ms if job.ended_ms is not None else job.created_ms
    kind = "errors" if is_errors else "output"
    return {
        "id": make_result_file_id(job.job_id, is_errors),
        "object": "file",
        "bytes": tally.error_bytes if is_errors else tally.output_bytes,
        "created_at": ended_ms // 1000,
        "filename": f"{job.job_id}_{kind}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


class ResultReader:
    """Reads committed results in input order.

    :param table_store: holds the rows of jobs and chunks
    :param object_store: holds the result objects
    """

    def __init__(
        self, table_store: store.TableStore, object_store: ports.ObjectStore
    ) -> None:
        self._store = table_store
        self._objects = object_store

    def read(self, job_id: str, is_errors: bool) -> abc.Iterator[bytes]:
        """Yield the lines of a result file, one chunk at a time.

        :raises errors.ApiError: when the platform fails or the results expire; the
            stream is then truncated, which callers can tell from a complete one
        """
        after = ""
        while True:
            rows = failures.unwrap(
                self._store.scan(records.CHUNKS, f"{job_id}/", after, _PAGE)
            )
            for row in rows:
                part = self._read_chunk(row, is_errors)
                if part:
                    yield part
            if len(rows) < _PAGE:
                # Otherwise rows deleted during the scan would make a truncated result
                # look complete.
                self._check_kept(job_id)
                return
            after = rows[-1].key

    def _check_kept(self, job_id: str) -> None:
        row = failures.unwrap(self._store.read(records.JOBS, job_id))
        if row is None:
            raise errors.JobExpired(f"batch {job_id} is no longer stored")
        jobs.check_kept(records.decode_job(row).job)

    def _read_chunk(self, row: store.Row, is_errors: bool) -> bytes:
        chunk = records.decode(records.Chunk, row.value)
        wanted = chunk.failed if is_errors else chunk.completed
        if chunk.state != records.ChunkState.DONE or not wanted:
            return b""
        data = self._objects.get(chunk.result)
        if isinstance(data, result.Err) and isinstance(
            data.err_value, objects.ObjectMissing
        ):
            self._check_kept(row.key.partition("/")[0])
        lines = items.decode_results(failures.unwrap(data))
        return b"".join(
            line.data for line in lines.values() if line.is_success != is_errors
        )
