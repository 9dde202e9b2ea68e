"""Deletes result objects, chunk rows and job rows.

Objects and chunk rows are deleted only after a conditional write has marked the job as
expired. Object keys contain the job's generation, and deletes of chunk rows are
conditional on the revision of the job's row, so a sweeper that was paused can't touch a
later job with the same identifier.
"""

from __future__ import annotations

import dataclasses

from endivevane.batch import records
from endivevane.coordination import store
from endivevane.retention import decisions, row_sweeper, shards

_CHUNKS_PER_WRITE = 50


class JobSweeper(row_sweeper.RowSweeper):
    """Applies the retention policy to batch jobs."""

    def advance(self, row: store.Row) -> None:
        """Run the steps that are due, until none is or another writer intervenes."""
        current: store.Row | None = row
        while current is not None:
            current = self._run_step(current)

    def _run_step(self, row: store.Row) -> store.Row | None:
        """Run one step; return the new row, ``None`` when nothing is left to do."""
        job = records.decode_job(row).job
        step = self._policy.decide_job(job)
        if step is decisions.JobStep.COLLECT:
            return self._collect(row, job)
        if step is decisions.JobStep.EXPIRE:
            return self._expire(row, job)
        if step is decisions.JobStep.ERASE:
            return self._erase(row, job)
        if step is decisions.JobStep.FORGET:
            # Daemons that were paused and have lost their claim may have written
            # objects since.
            self._delete_objects(job, frozenset(), "partial_object")
            self._calls.delete_rows(
                [row], "job_row", is_due=lambda: self._policy.decide_job(job) is step
            )
        return None

    def _collect(self, row: store.Row, job: records.Job) -> store.Row | None:
        """Delete the objects of lost and released claims.

        The job has ended, so its chunk rows don't change and these objects are not
        read.
        """
        chunks = self._read_chunks(job)
        kept = {item.result for item in chunks if item.state == records.ChunkState.DONE}
        is_completed = job.state == records.JobState.COMPLETED
        if is_completed and len(chunks) != job.chunk_count:
            # Another sweeper has marked the job as expired and is deleting the rows.
            return None
        self._delete_objects(job, kept, "partial_object")
        return self._write_job(
            row, dataclasses.replace(job, collected_ms=self._now_ms())
        )

    def _expire(self, row: store.Row, job: records.Job) -> store.Row | None:
        tally = job.tally
        if tally is None:
            tally = dataclasses.asdict(records.sum_tallies(self._read_chunks(job)))
        expired = dataclasses.replace(job, expired_ms=self._now_ms(), tally=tally)
        return self._calls.write(
            row,
            records.encode(expired),
            lambda: self._policy.decide_job(job) is decisions.JobStep.EXPIRE,
        )

    def _erase(self, row: store.Row, job: records.Job) -> store.Row | None:
        self._delete_objects(job, frozenset(), "result_object")
        rows = list(self._calls.scan(_make_chunk_shard(job)))
        for start in range(0, len(rows), _CHUNKS_PER_WRITE):
            part = rows[start : start + _CHUNKS_PER_WRITE]
            if not self._calls.delete_rows(part, "chunk_row", guard=row):
                return None
        return self._write_job(row, dataclasses.replace(job, erased_ms=self._now_ms()))

    def _delete_objects(
        self, job: records.Job, kept: frozenset[str] | set[str], kind: str
    ) -> None:
        prefix = records.make_results_prefix(job)
        for key in self._calls.list_objects(prefix):
            # Without a generation, the prefix also matches later jobs with the same
            # identifier.
            is_own = key.count("/") == prefix.count("/") + 1
            if is_own and key not in kept:
                self._calls.delete_object(key, kind)

    def _read_chunks(self, job: records.Job) -> list[records.Chunk]:
        rows = self._calls.scan(_make_chunk_shard(job))
        return [records.decode(records.Chunk, row.value) for row in rows]

    def _write_job(self, row: store.Row, job: records.Job) -> store.Row | None:
        return self._calls.write(row, records.encode(job))

    def _now_ms(self) -> int:
        return self._policy.now_ms()


def _make_chunk_shard(job: records.Job) -> shards.Shard:
    return shards.Shard(records.CHUNKS, f"{job.job_id}/")
