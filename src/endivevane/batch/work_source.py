"""Blocking store calls of a runner: list jobs, claim and load chunks, finish jobs."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

import result

from endivevane import exceptions, logs, metrics, utils
from endivevane.batch import chunks, items, jobs, ports, records, segments
from endivevane.coordination import clock, rendezvous, store
from endivevane.external import objects

# At 300 bytes per row two pages are 24 KB; a busy daemon reads them every 10 s.
PAGE = 40
_MAX_CACHED_JOBS = 200
_CURSOR_JITTER_MS = 86_400_000
_MAX_CLAIM_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJobs:
    """Result of one listing of the open jobs.

    :param jobs: open jobs; ``None`` when only the active ones were checked
    :param items_left: estimated number of uncommitted items by job
    :param ended: jobs that are no longer open
    """

    jobs: tuple[records.OpenJob, ...] | None
    items_left: dict[str, int]
    ended: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedChunk:
    """A claimed chunk and its items.

    :param lines: results that an earlier claim released, by item index
    """

    claim: chunks.Claim
    parsed: tuple[items.Item, ...]
    lines: dict[int, items.ResultLine]


@dataclasses.dataclass(slots=True)
class _CachedJob:
    """A job row and its chunk rows as last read; claims rely on their revisions.

    :param is_exhausted: whether these rows show no claimable chunk
    """

    stored: records.StoredJob
    rows: dict[int, store.Row]
    read_at_s: float | None = None
    is_exhausted: bool = False


class WorkSource:
    """Blocking calls on behalf of a runner; not thread-safe.

    :param is_gone: whether the session of an owner and epoch is dead or expired
    """

    def __init__(
        self,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        is_gone: chunks.IsGone,
        source_clock: clock.Clock,
    ) -> None:
        self._store = table_store
        self._objects = object_store
        self._is_gone = is_gone
        self._clock = source_clock
        self._cache: dict[str, _CachedJob] = {}
        self._found_ended: set[str] = set()
        # Daemons start at random cursors, so that together they soon cover all jobs.
        start_ms = source_clock.wall_ms() + random.randrange(_CURSOR_JITTER_MS)
        self._cursor = f"{start_ms:015d}"

    def list_open(
        self, active: abc.Collection[str], needs_page: bool
    ) -> result.Result[OpenJobs, store.StoreError]:
        """Return the open jobs with the earliest deadlines and one page of the others.

        The second page advances with each call, so that jobs are found whose models
        only a few daemons serve. Pages are short, because every daemon reads them
        periodically.

        :param active: jobs to check for their end
        :param needs_page: whether to list open jobs besides the active ones
        """
        rows: list[store.Row] = []
        if needs_page:
            pages = self._scan_pages()
            if isinstance(pages, result.Err):
                return pages
            rows = pages.ok_value
        found = [records.decode(records.OpenJob, row.value) for row in rows]
        ended, self._found_ended = self._found_ended, set()
        for job_id in set(active) - {job.job_id for job in found}:
            row = self._store.read(records.JOBS, job_id)
            if isinstance(row, result.Err):
                return row
            if row.ok_value is None or not _is_open(row.ok_value):
                ended.add(job_id)
        for job_id in ended:
            self._cache.pop(job_id, None)
        while len(self._cache) > _MAX_CACHED_JOBS:
            del self._cache[next(iter(self._cache))]
        left = {job.job_id: self._count_items_left(job) for job in found}
        listed = tuple(found) if needs_page else None
        return result.Ok(OpenJobs(listed, left, frozenset(ended)))

    def _scan_pages(self) -> result.Result[list[store.Row], store.StoreError]:
        first = self._store.scan(records.OPEN, "", limit=PAGE)
        if isinstance(first, result.Err) or len(first.ok_value) < PAGE:
            return first
        last_key = first.ok_value[-1].key
        after = max(last_key, self._cursor)
        further = self._store.scan(records.OPEN, "", after, PAGE)
        if isinstance(further, result.Err):
            return further
        is_end = len(further.ok_value) < PAGE
        self._cursor = "" if is_end else further.ok_value[-1].key
        return result.Ok(first.ok_value + further.ok_value)

    def claim_from(
        self,
        job_id: str,
        owner: chunks.Owner,
        held: abc.Collection[tuple[str, int]],
        max_age_s: float = 2.0,
    ) -> result.Result[chunks.Claim | None, store.StoreError]:
        """Claim one chunk of a job, or finish the job when all chunks are done.

        :param held: job identifiers and numbers of the chunks that the caller holds
        :param max_age_s: maximum age of cached chunk rows
        :returns: ``None`` when there is nothing to claim
        """
        cached = self._refresh(job_id, max_age_s)
        if isinstance(cached, result.Err):
            return cached
        if cached.ok_value is None:
            return result.Ok(None)
        job = cached.ok_value
        for number in self._list_claimable(job, owner, held)[:_MAX_CLAIM_ATTEMPTS]:
            row = job.rows.get(number)
            operation_id = utils.make_id("claim")
            outcome = chunks.claim(
                self._store, job.stored, number, row, owner, operation_id
            )
            if isinstance(outcome, result.Ok):
                self._log_takeover(job_id, number, row, outcome.ok_value)
                return outcome
            if not isinstance(outcome.err_value, store.StoreConflict):
                return outcome
            metrics.BATCH_COMMITS.labels("claim_lost").inc()
            if (records.JOBS, job_id) in outcome.err_value.rows:
                del self._cache[job_id]
                return result.Ok(None)
            self._apply_conflict(job, outcome.err_value)
        job.is_exhausted = True
        return self._finish_if_done(job_id, job)

    def load(
        self, claim: chunks.Claim
    ) -> result.Result[LoadedChunk, exceptions.EndivevaneError]:
        """Load the items and earlier results of a claimed chunk."""
        job = claim.stored_job.job
        segment = self._objects.get(records.make_segment_key(job.upload, claim.number))
        if isinstance(segment, result.Err):
            return segment
        duplicates: frozenset[int] = frozenset()
        if job.duplicates:
            found = self._read_duplicates(job, claim.number)
            if isinstance(found, result.Err):
                return found
            duplicates = found.ok_value
        lines: dict[int, items.ResultLine] = {}
        if claim.partial:
            partial = self._objects.get(claim.partial)
            if isinstance(partial, result.Err):
                return partial
            lines = items.decode_results(partial.ok_value)
        parsed = items.parse_segment(segment.ok_value, duplicates, job.model)
        return result.Ok(LoadedChunk(claim, tuple(parsed), lines))

    def reclaim(
        self, held: chunks.Claim, owner: chunks.Owner
    ) -> result.Result[chunks.Claim | None, store.StoreError]:
        """Renew a claim under a new epoch; ``None`` if the chunk was taken over."""
        row = self._store.read(records.CHUNKS, held.key)
        if isinstance(row, result.Err):
            return row
        if row.ok_value is None or row.ok_value.revision != held.revision:
            return result.Ok(None)
        operation_id = utils.make_id("claim")
        outcome = chunks.claim(
            self._store,
            held.stored_job,
            held.number,
            row.ok_value,
            owner,
            operation_id,
        )
        if isinstance(outcome, result.Err):
            if isinstance(outcome.err_value, store.StoreConflict):
                return result.Ok(None)
            return outcome
        return outcome

    def forget_exhausted(self) -> None:
        """Expire the cached chunk rows, because an owner may be gone."""
        for job in self._cache.values():
            job.read_at_s = None

    def finish_if_done(self, job_id: str) -> result.Result[None, store.StoreError]:
        """Finish a job whose last chunk may just have been committed."""
        if job_id in self._cache:
            self._cache[job_id].read_at_s = None
        cached = self._refresh(job_id, 0.0)
        if isinstance(cached, result.Err):
            return cached
        if cached.ok_value is None:
            return result.Ok(None)
        outcome = self._finish_if_done(job_id, cached.ok_value)
        return outcome if isinstance(outcome, result.Err) else result.Ok(None)

    def _count_items_left(self, job: records.OpenJob) -> int:
        cached = self._cache.get(job.job_id)
        if cached is None:
            return job.item_count
        done = [row for row in cached.rows.values() if _is_done(row)]
        left = job.item_count - len(done) * segments.MAX_SEGMENT_LINES
        return max(1, left)

    def _refresh(
        self, job_id: str, max_age_s: float
    ) -> result.Result[_CachedJob | None, store.StoreError]:
        """Return a job with recent chunk rows; ``None`` if ended or exhausted."""
        now_s = self._clock.monotonic_s()
        cached = self._cache.get(job_id)
        if cached is None:
            row = self._store.read(records.JOBS, job_id)
            if isinstance(row, result.Err):
                return row
            if row.ok_value is None or not _is_open(row.ok_value):
                self._found_ended.add(job_id)
                return result.Ok(None)
            cached = _CachedJob(records.decode_job(row.ok_value), {})
            self._cache[job_id] = cached
        is_recent = (
            cached.read_at_s is not None and now_s - cached.read_at_s < max_age_s
        )
        if is_recent:
            return result.Ok(None if cached.is_exhausted else cached)
        rows = jobs.scan_chunks(self._store, job_id, self._find_done_prefix(cached))
        if isinstance(rows, result.Err):
            return rows
        for found in rows.ok_value:
            cached.rows[records.parse_chunk_number(found.key)] = found
        cached.read_at_s = now_s
        cached.is_exhausted = False
        return result.Ok(cached)

    def _find_done_prefix(self, cached: _CachedJob) -> str:
        """Return the key of the last chunk of the done prefix, empty for none."""
        number = 0
        while (row := cached.rows.get(number)) is not None:
            if not _is_done(row):
                break
            number += 1
        if number == 0:
            return ""
        return records.make_chunk_key(cached.stored.job.job_id, number - 1)

    def _list_claimable(
        self,
        cached: _CachedJob,
        owner: chunks.Owner,
        held: abc.Collection[tuple[str, int]],
    ) -> abc.Sequence[int]:
        """Return the claimable chunks in an order that differs between daemons."""
        job = cached.stored.job
        claimable = [
            number
            for number in range(job.chunk_count)
            if chunks.is_claimable(
                cached.rows.get(number),
                owner,
                (job.job_id, number) in held,
                self._is_gone,
            )
        ]

        def rank(number: int) -> float:
            key = records.make_chunk_key(job.job_id, number)
            return rendezvous.score(key, owner.daemon)

        return sorted(claimable, key=rank, reverse=True)

    def _log_takeover(
        self, job_id: str, number: int, row: store.Row | None, claim: chunks.Claim
    ) -> None:
        # The new claim is not cached here: it is read with the next refresh, and until
        # then the caller lists the chunk as held.
        if row is not None and row.value["owner"] != claim.owner.daemon:
            logs.info(
                "chunk_taken_over",
                job_id=job_id,
                number=number,
                from_owner=row.value["owner"],
                claim_epoch=claim.claim_epoch,
            )

    def _apply_conflict(
        self, cached: _CachedJob, conflict: store.StoreConflict
    ) -> None:
        """Update the cached chunk rows with those of a conflict."""
        for (table, key), row in conflict.rows.items():
            if table == records.CHUNKS and row is not None:
                cached.rows[records.parse_chunk_number(key)] = row

    def _finish_if_done(
        self, job_id: str, cached: _CachedJob
    ) -> result.Result[chunks.Claim | None, store.StoreError]:
        rows = list(cached.rows.values())
        if not chunks.is_all_done(rows, cached.stored.job.chunk_count):
            return result.Ok(None)
        outcome = jobs.finish(self._store, cached.stored, rows, self._clock.wall_ms())
        if isinstance(outcome, result.Err):
            return outcome
        if outcome.ok_value is chunks.WriteOutcome.APPLIED:
            logs.info("job_completed", job_id=job_id)
        self._cache.pop(job_id, None)
        return result.Ok(None)

    def _read_duplicates(
        self, job: records.Job, number: int
    ) -> result.Result[frozenset[int], exceptions.EndivevaneError]:
        key = records.make_duplicates_key(job.upload, number)
        data = self._objects.get(key)
        if isinstance(data, result.Err):
            if isinstance(data.err_value, objects.ObjectMissing):
                return result.Ok(frozenset())
            return data
        return result.Ok(frozenset(int(part) for part in data.ok_value.split(b",")))


def _is_done(row: store.Row) -> bool:
    return bool(row.value["state"] == records.ChunkState.DONE)


def _is_open(row: store.Row) -> bool:
    return bool(row.value["state"] == records.JobState.IN_PROGRESS)
