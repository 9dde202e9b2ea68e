"""Finding, claiming, loading and committing chunks: the blocking side of a runner."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

import result

from endivevane import exceptions, logs, metrics, utils
from endivevane.batch import chunks, items, jobs, ports, records, segments
from endivevane.coordination import clock, rendezvous, store
from endivevane.external import objects

# At 300 bytes a row, two pages are 24 KB; a busy daemon reads them every 10 s.
PAGE = 40
_MAX_KNOWN = 200
_CURSOR_SPAN_MS = 86_400_000
_CLAIM_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJobs:
    """What one look at the open jobs found.

    :param jobs: open jobs; ``None`` when only the active ones were looked at
    :param items_left: estimate of the items that are not committed, by job
    :param ended: jobs that were asked about and are no longer open
    """

    jobs: tuple[records.OpenJob, ...] | None
    items_left: dict[str, int]
    ended: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedChunk:
    """A claimed chunk and its items.

    :param lines: results that an earlier claim handed back
    """

    claim: chunks.Claim
    parsed: tuple[items.Item, ...]
    lines: dict[int, items.ResultLine]


@dataclasses.dataclass(slots=True)
class _KnownJob:
    """A job row and its chunk rows as last read; claims name their revisions.

    :param is_exhausted: whether there was nothing to claim in these rows
    """

    stored: records.StoredJob
    rows: dict[int, store.Row]
    read_at_s: float | None = None
    is_exhausted: bool = False


class WorkSource:
    """Blocking calls on behalf of a runner; used by one thread.

    :param is_gone: whether an owner and epoch are dead or lapsed
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
        self._known: dict[str, _KnownJob] = {}
        self._found_ended: set[str] = set()
        # Daemons begin at different places, so that together they see all jobs soon.
        start_ms = source_clock.wall_ms() + random.randrange(_CURSOR_SPAN_MS)
        self._cursor = f"{start_ms:015d}"

    def list_open(
        self, active: abc.Collection[str], needs_page: bool
    ) -> result.Result[OpenJobs, store.StoreError]:
        """Return open jobs: those with the earliest deadlines and some of the others.

        The page of the others moves on with each call, so that jobs are found whose
        models only a few daemons send to. Pages are short, because every daemon reads
        them again and again.

        :param active: jobs of which the caller wants to know whether they have ended
        :param needs_page: whether to look at open jobs besides the active ones
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
            self._known.pop(job_id, None)
        while len(self._known) > _MAX_KNOWN:
            del self._known[next(iter(self._known))]
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

        :param held: jobs and numbers of the chunks that the caller holds
        :param max_age_s: chunk rows that were read longer ago are read again
        :returns: ``None`` when there is nothing to claim
        """
        known = self._refresh(job_id, max_age_s)
        if isinstance(known, result.Err):
            return known
        if known.ok_value is None:
            return result.Ok(None)
        job = known.ok_value
        for number in self._choose_free(job, owner, held)[:_CLAIM_TRIES]:
            row = job.rows.get(number)
            operation_id = utils.make_id("claim")
            outcome = chunks.claim(
                self._store, job.stored, number, row, owner, operation_id
            )
            if isinstance(outcome, result.Ok):
                self._note_claim(job_id, number, row, outcome.ok_value)
                return outcome
            if not isinstance(outcome.err_value, store.StoreConflict):
                return outcome
            metrics.BATCH_COMMITS.labels("claim_lost").inc()
            if (records.JOBS, job_id) in outcome.err_value.rows:
                del self._known[job_id]
                return result.Ok(None)
            self._learn(job, outcome.err_value)
        job.is_exhausted = True
        return self._finish_if_done(job_id, job)

    def load(
        self, claim: chunks.Claim
    ) -> result.Result[LoadedChunk, exceptions.EndivevaneError]:
        """Read the items of a claimed chunk."""
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
        """Renew a claim under a new epoch; ``None`` when the chunk was taken over."""
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
        """Read the chunk rows again at the next look, since an owner may be gone."""
        for job in self._known.values():
            job.read_at_s = None

    def finish_if_done(self, job_id: str) -> result.Result[None, store.StoreError]:
        """Finish a job whose last chunk may just have been committed."""
        if job_id in self._known:
            self._known[job_id].read_at_s = None
        known = self._refresh(job_id, 0.0)
        if isinstance(known, result.Err):
            return known
        if known.ok_value is None:
            return result.Ok(None)
        outcome = self._finish_if_done(job_id, known.ok_value)
        return outcome if isinstance(outcome, result.Err) else result.Ok(None)

    def _count_items_left(self, job: records.OpenJob) -> int:
        known = self._known.get(job.job_id)
        if known is None:
            return job.item_count
        done = [row for row in known.rows.values() if _is_done(row)]
        left = job.item_count - len(done) * segments.MAX_SEGMENT_LINES
        return max(1, left)

    def _refresh(
        self, job_id: str, max_age_s: float
    ) -> result.Result[_KnownJob | None, store.StoreError]:
        """Return the job with chunk rows that are recent enough; ``None`` if ended."""
        now_s = self._clock.monotonic_s()
        known = self._known.get(job_id)
        if known is None:
            row = self._store.read(records.JOBS, job_id)
            if isinstance(row, result.Err):
                return row
            if row.ok_value is None or not _is_open(row.ok_value):
                self._found_ended.add(job_id)
                return result.Ok(None)
            known = _KnownJob(records.decode_job(row.ok_value), {})
            self._known[job_id] = known
        is_recent = known.read_at_s is not None and now_s - known.read_at_s < max_age_s
        if is_recent:
            return result.Ok(None if known.is_exhausted else known)
        rows = jobs.scan_chunks(self._store, job_id, self._find_done_prefix(known))
        if isinstance(rows, result.Err):
            return rows
        for found in rows.ok_value:
            known.rows[records.parse_chunk_number(found.key)] = found
        known.read_at_s = now_s
        known.is_exhausted = False
        return result.Ok(known)

    def _find_done_prefix(self, known: _KnownJob) -> str:
        """Return the key of the last chunk before the first that is not done."""
        number = 0
        while (row := known.rows.get(number)) is not None:
            if not _is_done(row):
                break
            number += 1
        if number == 0:
            return ""
        return records.make_chunk_key(known.stored.job.job_id, number - 1)

    def _choose_free(
        self,
        known: _KnownJob,
        owner: chunks.Owner,
        held: abc.Collection[tuple[str, int]],
    ) -> abc.Sequence[int]:
        """Return claimable chunks in an order that differs between daemons."""
        job = known.stored.job
        free = [
            number
            for number in range(job.chunk_count)
            if chunks.is_claimable(
                known.rows.get(number),
                owner,
                (job.job_id, number) in held,
                self._is_gone,
            )
        ]

        def rank(number: int) -> float:
            key = records.make_chunk_key(job.job_id, number)
            return rendezvous.score(key, owner.daemon)

        return sorted(free, key=rank, reverse=True)

    def _note_claim(
        self, job_id: str, number: int, row: store.Row | None, claim: chunks.Claim
    ) -> None:
        # The own claim enters the cache when the rows are read again; until then the
        # chunk is known to be held.
        if row is not None and row.value["owner"] != claim.owner.daemon:
            logs.info(
                "chunk_taken_over",
                job_id=job_id,
                number=number,
                from_owner=row.value["owner"],
                claim_epoch=claim.claim_epoch,
            )

    def _learn(self, known: _KnownJob, conflict: store.StoreConflict) -> None:
        """Keep the rows that a conflict has shown."""
        for (table, key), row in conflict.rows.items():
            if table == records.CHUNKS and row is not None:
                known.rows[records.parse_chunk_number(key)] = row

    def _finish_if_done(
        self, job_id: str, known: _KnownJob
    ) -> result.Result[chunks.Claim | None, store.StoreError]:
        rows = list(known.rows.values())
        if not chunks.is_all_done(rows, known.stored.job.chunk_count):
            return result.Ok(None)
        outcome = jobs.finish(self._store, known.stored, rows, self._clock.wall_ms())
        if isinstance(outcome, result.Err):
            return outcome
        if outcome.ok_value is chunks.WriteOutcome.APPLIED:
            logs.info("job_completed", job_id=job_id)
        self._known.pop(job_id, None)
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
