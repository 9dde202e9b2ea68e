"""Storing the results of items, and how far the others have come."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    failures,
    job_changes,
    job_reader,
    job_registry,
    jobs,
    owned_jobs,
    store,
)

# Results and bytes that one transaction takes.
_RESULTS_AT_ONCE = 12
_BYTES_AT_ONCE = 400_000
_FOREVER_S = float("inf")
# How often the progress of running items is stored, and how many new events it takes:
# what a crash loses of an item is at most about this much.
_PROGRESS_S = 2.0
_PROGRESS_EVENTS = 16
_PROGRESS_ROWS = 40

Release = abc.Callable[[owned_jobs.OwnedJob, str], None]


class ResultCommitter:
    """Commits results with the row of their job, and the progress of items beside it.

    :param release: called with a job that this daemon no longer runs, and the cause
    """

    def __init__(
        self,
        rows: store.Store,
        changes: job_changes.JobChanges,
        reader: job_reader.JobReader,
        owner: str,
        release: Release,
    ) -> None:
        self._store = rows
        self._changes = changes
        self._reader = reader
        self._owner = owner
        self._release = release
        self._progress_s = 0.0
        self._storing: asyncio.Task[None] | None = None

    def add(self, owned: owned_jobs.OwnedJob, result: jobs.ItemResult) -> None:
        """Store a result soon, with others that come meanwhile."""
        owned.results.append(result)
        if owned.committing is None:
            owned.committing = asyncio.ensure_future(self._commit(owned))

    def store_progress_soon(
        self, owned_all: abc.Iterable[owned_jobs.OwnedJob], now_s: float
    ) -> None:
        """Store the progress of running items if it is time to."""
        if now_s - self._progress_s < _PROGRESS_S or self._storing is not None:
            return
        self._progress_s = now_s
        puts = _list_progress(owned_all, _PROGRESS_EVENTS)
        if puts:
            self._storing = asyncio.ensure_future(self._store_progress(puts))

    async def store_progress(
        self, owned_all: abc.Iterable[owned_jobs.OwnedJob]
    ) -> None:
        """Store the progress of all items, before their jobs are handed back."""
        puts = _list_progress(owned_all, 1)
        if puts:
            await self._store_progress(puts)

    async def _store_progress(self, puts: list[_ProgressPut]) -> None:
        change = store.Transaction(puts=tuple((put.key, put.value) for put in puts))
        try:
            await self._store.apply(change)
        except failures.StoreFailure as error:
            # A crash would lose a little more; the next round stores it.
            logs.limited_info("progress_not_stored", cause=error.format_message())
            return
        finally:
            self._storing = None
        for put in puts:
            put.run.stored_event = put.last_event

    async def _commit(self, owned: owned_jobs.OwnedJob) -> None:
        """Store results until there are none left or the job is no longer ours."""
        try:
            while owned.results:
                if not await self._commit_some(owned):
                    return
        finally:
            owned.committing = None

    async def _commit_some(self, owned: owned_jobs.OwnedJob) -> bool:
        """Store some results; return whether the job is still run here."""
        entry = owned.entry
        job = entry.job
        batch: list[jobs.ItemResult] = []
        puts: list[tuple[store.RowKey, bytes]] = []
        size = 0
        for result in owned.results[:_RESULTS_AT_ONCE]:
            content = jobs.encode_result(result)
            size += len(content)
            if batch and size > _BYTES_AT_ONCE:
                break
            prefix = jobs.make_result_prefix(job.job_id, job.listed + len(batch))
            puts.extend(jobs.split_rows(jobs.RESULT_TABLE, prefix, content))
            batch.append(result)
        unfinished = len(owned.runs) + len(owned.results) - len(batch)
        advanced = dataclasses.replace(
            job,
            listed=job.listed + len(batch),
            tokens_left=sum(run.item.tokens for run in owned.runs.values()),
            state=jobs.JobState.OPEN if unfinished else jobs.JobState.DONE,
            operation=secrets.token_hex(8),
            failed_runs=owned.count_failed_runs(),
        )
        # Sent until its outcome is known: a second change with the same results could
        # put them at two positions.
        stands = await self._changes.replace(entry, advanced, _FOREVER_S, puts)
        if stands is None:
            self._release(owned, "row is gone")
            return False
        if stands.job.operation == advanced.operation:
            return self._note_applied(owned, stands, batch)
        metrics.BATCH_COMMITS.labels("conflict").inc()
        if stands.job.is_open and stands.job.owner == self._owner:
            owned.entry = stands
            return True
        self._release(owned, "moved" if stands.job.is_open else stands.job.state.value)
        return False

    def _note_applied(
        self,
        owned: owned_jobs.OwnedJob,
        stands: job_registry.BookEntry,
        batch: list[jobs.ItemResult],
    ) -> bool:
        job = stands.job
        owned.entry = stands
        del owned.results[: len(batch)]
        start = job.listed - len(batch)
        kept = {start + number: result for number, result in enumerate(batch)}
        self._reader.keep_results(job.job_id, kept)
        metrics.BATCH_COMMITS.labels("applied").inc()
        logs.limited_info(
            "results_stored",
            job=job.job_id,
            listed=job.listed,
            total=job.total,
            version=stands.version,
        )
        if job.is_open:
            return True
        self._release(owned, job.state.value)
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class _ProgressPut:
    """The row of an item's progress, and what it says."""

    run: owned_jobs.ItemRun
    last_event: int
    key: store.RowKey
    value: bytes


def _list_progress(
    owned_all: abc.Iterable[owned_jobs.OwnedJob], least_events: int
) -> list[_ProgressPut]:
    """Return the progress rows to write, of items with enough new events."""
    puts: list[_ProgressPut] = []
    size = 0
    for owned in owned_all:
        for run in owned.runs.values():
            if run.last_event - run.stored_event < least_events:
                continue
            value = jobs.encode_progress(jobs.Progress(run.last_event, run.pieces))
            is_full = size + len(value) > _BYTES_AT_ONCE or len(puts) >= _PROGRESS_ROWS
            if is_full or len(value) > jobs.ROW_BYTES:
                continue
            size += len(value)
            key = jobs.make_progress_key(owned.job_id, run.item.item_id)
            puts.append(_ProgressPut(run, run.last_event, key, value))
    return puts
