"""Storing of item results, failed runs and the progress of unfinished items."""

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

# Limits of one transaction.
_MAX_RESULTS = 12
_MAX_BYTES = 400_000
_NO_DEADLINE_S = float("inf")
# Interval of storing the progress of running items, and the new events that an item
# must have. A crash loses at most about this much of an item.
_PROGRESS_INTERVAL_S = 2.0
_MIN_NEW_EVENTS = 16
_MAX_PROGRESS_ROWS = 40
# Transactions that store no results, of all daemons together. The
# store applies 300 transactions a second on the jobs' rows.
_FAILED_RUNS_WRITES_PER_S = 60.0

Release = abc.Callable[[owned_jobs.OwnedJob, str], None]


class ResultCommitter:
    """Commits results together with the job's row, and item progress separately.

    The job's row holds the failed runs of items and the records of runs, which are
    stored with results, or alone while nothing of the job is committed.

    :param count_daemons: returns the number of daemons that share the store
    :param release: called with a job that this daemon must stop running, and the cause
    """

    def __init__(
        self,
        rows: store.Store,
        changes: job_changes.JobChanges,
        reader: job_reader.JobReader,
        owner: str,
        count_daemons: abc.Callable[[], int],
        release: Release,
    ) -> None:
        self._store = rows
        self._changes = changes
        self._reader = reader
        self._owner = owner
        self._count_daemons = count_daemons
        self._release = release
        self._progress_started_s = 0.0
        self._progress_task: asyncio.Task[None] | None = None
        self._failed_runs_due_s = 0.0
        self._is_storing_failed_runs = False

    def add(self, owned: owned_jobs.OwnedJob, result: jobs.ItemResult) -> None:
        """Queue a result to be committed, batched with later ones."""
        owned.results.append(result)
        if owned.committing is None:
            owned.committing = asyncio.ensure_future(self._commit(owned))

    def store_progress_if_due(
        self, owned_all: abc.Iterable[owned_jobs.OwnedJob], now_s: float
    ) -> None:
        """Start to store the progress of unfinished items if it is due."""
        if (
            now_s - self._progress_started_s < _PROGRESS_INTERVAL_S
            or self._progress_task is not None
        ):
            return
        self._progress_started_s = now_s
        puts = _list_progress(owned_all, _MIN_NEW_EVENTS)
        if puts:
            self._progress_task = asyncio.ensure_future(self._store_progress(puts))

    async def store_progress(
        self, owned_all: abc.Iterable[owned_jobs.OwnedJob]
    ) -> None:
        """Store the progress of all items, before their jobs are released."""
        puts = _list_progress(owned_all, 1)
        if puts:
            await self._store_progress(puts)

    async def _store_progress(self, puts: list[_ProgressPut]) -> None:
        change = store.Transaction(puts=tuple((put.key, put.value) for put in puts))
        try:
            await self._store.apply(change)
        except failures.StoreFailure as error:
            # Retried at the next interval; until then a crash loses more progress.
            logs.limited_info("progress_not_stored", cause=error.format_message())
            return
        finally:
            self._progress_task = None
        for put in puts:
            put.run.stored_event = put.last_event

    def store_failed_runs_if_due(
        self, owned_all: abc.Iterable[owned_jobs.OwnedJob], now_s: float
    ) -> None:
        """Start to store the failed runs and records of the job that waits longest.

        The next result of a job stores them too. Transactions without a result are
        limited, and one at a time waits for the store.
        """
        if now_s < self._failed_runs_due_s or self._is_storing_failed_runs:
            return
        waiting = [
            (since_s, owned)
            for owned in owned_all
            if owned.committing is None
            and (since_s := owned.unstored_since_s) is not None
        ]
        if not waiting:
            return
        _, longest = min(waiting, key=lambda entry: entry[0])
        interval_s = max(1, self._count_daemons()) / _FAILED_RUNS_WRITES_PER_S
        self._failed_runs_due_s = now_s + interval_s
        longest.committing = asyncio.ensure_future(self._store_failed_runs(longest))

    async def _store_failed_runs(self, owned: owned_jobs.OwnedJob) -> None:
        """Store failed runs and records, then the results that a job has got since."""
        self._is_storing_failed_runs = True
        try:
            is_running_here = await self._commit_batch(owned)
        finally:
            self._is_storing_failed_runs = False
            owned.committing = None
        if is_running_here and owned.results:
            owned.committing = asyncio.ensure_future(self._commit(owned))

    async def _commit(self, owned: owned_jobs.OwnedJob) -> None:
        """Commit results until none are left or this daemon no longer owns the job."""
        try:
            while owned.results:
                if not await self._commit_batch(owned):
                    return
        finally:
            owned.committing = None

    async def _commit_batch(self, owned: owned_jobs.OwnedJob) -> bool:
        """Commit one batch of results; return whether the job still runs here."""
        entry = owned.entry
        job = entry.job
        batch: list[jobs.ItemResult] = []
        puts: list[tuple[store.RowKey, bytes]] = []
        size = 0
        for result in owned.results[:_MAX_RESULTS]:
            content = jobs.encode_result(result)
            size += len(content)
            if batch and size > _MAX_BYTES:
                break
            prefix = jobs.make_result_prefix(job.job_id, job.listed + len(batch))
            puts.extend(jobs.split_rows(jobs.RESULT_TABLE, prefix, content))
            batch.append(result)
        done = frozenset(result.item_id for result in batch)
        unfinished = len(owned.runs) + len(owned.results) - len(batch)
        advanced = dataclasses.replace(
            job,
            listed=job.listed + len(batch),
            tokens_left=sum(run.item.tokens for run in owned.runs.values()),
            state=jobs.JobState.OPEN if unfinished else jobs.JobState.DONE,
            operation=secrets.token_hex(8),
            failed_runs=owned.failed_runs.get_counts(without=done),
            begun_runs=owned.records.get_counts(without=done),
        )
        # Retried until the outcome is known: another change with the same results
        # could list them at two positions.
        current = await self._changes.replace(entry, advanced, _NO_DEADLINE_S, puts)
        if current is None:
            self._release(owned, "row is gone")
            return False
        if current.job.operation == advanced.operation:
            return self._record_commit(owned, current, batch)
        metrics.BATCH_COMMITS.labels("conflict").inc()
        if current.job.is_open and current.job.owner == self._owner:
            owned.entry = current
            return True
        self._release(
            owned, "moved" if current.job.is_open else current.job.state.value
        )
        return False

    def _record_commit(
        self,
        owned: owned_jobs.OwnedJob,
        current: job_registry.JobEntry,
        batch: list[jobs.ItemResult],
    ) -> bool:
        job = current.job
        owned.entry = current
        del owned.results[: len(batch)]
        done = frozenset(result.item_id for result in batch)
        owned.failed_runs.record_stored(job.failed_runs, done)
        owned.records.record_stored(job.begun_runs, done)
        start = job.listed - len(batch)
        cached = {start + number: result for number, result in enumerate(batch)}
        self._reader.cache_results(job.job_id, cached)
        _log_commit(current, has_results=bool(batch))
        if job.is_open:
            return True
        self._release(owned, job.state.value)
        return False


def _log_commit(current: job_registry.JobEntry, has_results: bool) -> None:
    job = current.job
    if not has_results:
        metrics.BATCH_COMMITS.labels("failed_runs").inc()
        logs.limited_info("failed_runs_stored", job=job.job_id, version=current.version)
        return
    metrics.BATCH_COMMITS.labels("applied").inc()
    logs.limited_info(
        "results_stored",
        job=job.job_id,
        listed=job.listed,
        total=job.total,
        version=current.version,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _ProgressPut:
    """A progress row to write for an item, up to its last event."""

    run: owned_jobs.ItemRun
    last_event: int
    key: store.RowKey
    value: bytes


def _list_progress(
    owned_all: abc.Iterable[owned_jobs.OwnedJob], min_new_events: int
) -> list[_ProgressPut]:
    """Return progress rows of items with enough new events, for one transaction."""
    puts: list[_ProgressPut] = []
    size = 0
    for owned in owned_all:
        for run in owned.runs.values():
            if run.last_event - run.stored_event < min_new_events:
                continue
            progress = jobs.Progress(
                run.last_event, run.pieces, run.version, run.service
            )
            value = jobs.encode_progress(progress)
            is_full = size + len(value) > _MAX_BYTES or len(puts) >= _MAX_PROGRESS_ROWS
            if is_full or len(value) > jobs.ROW_BYTES:
                continue
            size += len(value)
            key = jobs.make_progress_key(owned.job_id, run.item.item_id)
            puts.append(_ProgressPut(run, run.last_event, key, value))
    return puts
