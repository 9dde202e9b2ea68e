"""Reads and changes of stored batch jobs; a change is one conditional transaction."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time
from collections import abc

from endivevane import logs
from endivevane.serving import (
    failures,
    follower,
    full_read,
    job_registry,
    job_rows,
    jobs,
    model,
    run_records,
    store,
)

_RETRY_INTERVAL_S = 0.08
# Attempts to accept a job stop this long before the client's deadline, so that the
# response arrives in time.
_RESPONSE_MARGIN_S = 0.25
# How long to wait for the local copy to reach the versions named by a conflict.
_CATCH_UP_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as submitted by a client.

    :param until_s: monotonic time until which the store may be called
    :param organisation: whose job it is, ``None`` where there are no organisations
    """

    job_id: str
    host: str
    path: str
    route: model.Route
    items: tuple[jobs.Item, ...]
    until_s: float
    organisation: str | None = None


class JobChanges:
    """Accepts, ends, claims and advances jobs in the store.

    A lost response is resolved by retrying the same change. This is idempotent: the
    condition on the row's version lets it apply once, and the row's ``operation``
    identifies the change that wrote it.
    """

    def __init__(
        self,
        rows: store.Store,
        state: follower.TableFollower,
        registry: job_registry.JobRegistry,
        owner: str,
    ) -> None:
        self._store = rows
        self._state = state
        self._registry = registry
        self._owner = owner
        self._job_rows = job_rows.JobRows(rows, state, registry)

    @property
    def copy_version(self) -> int:
        """Version of the store up to which the copy of the jobs is complete."""
        return self._state.version

    def measure_copy_age_s(self) -> float:
        """Return the age of the copy of the jobs, infinity before it is loaded."""
        return self._state.age.measure_s()

    def stop_owning(self) -> None:
        """Accept further jobs without an owner, for other daemons to claim."""
        self._owner = ""

    async def accept(self, submission: Submission) -> job_registry.JobEntry | None:
        """Store a job; return its entry if this call has created it.

        :returns: ``None`` when the job existed already
        :raises failures.JobRefused: when the job is not and will not be stored
        :raises failures.JobUncertain: when the outcome is unknown
        """
        known = self._registry.entries.get(submission.job_id)
        if known is not None:
            return None
        job = self._make_job(submission)
        payload = jobs.encode_items(submission.items)
        rows = _split_payload(job, payload)
        is_uncertain = False
        is_payload_stored = bool(job.chunks)
        cause = "no time left"
        while time.monotonic() < submission.until_s - _RESPONSE_MARGIN_S:
            if not await self._complete_count(submission):
                cause = "jobs not known"
                continue
            self._check_quota(submission, job, is_uncertain)
            try:
                if not is_payload_stored:
                    await self._store.put_object(job.job_id, payload)
                    is_payload_stored = True
                result = await self._store.apply(
                    self._make_acceptance(submission, job, rows)
                )
            except failures.StoreFailure as error:
                if isinstance(error, failures.StoreUncertain):
                    is_uncertain = is_uncertain or is_payload_stored
                cause = error.cause
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            if isinstance(result, store.Applied):
                return self._apply_written(job, result.version)
            existing = result.find(jobs.make_job_key(job.job_id))
            if existing is not None:
                return self._apply_existing(job, existing)
            await self._catch_up(result)
        if is_uncertain:
            raise failures.JobUncertain(job.job_id)
        raise failures.JobRefused(cause, is_over_quota=False)

    async def end(self, job_id: str, until_s: float) -> bool:
        """Stop a job; return whether it is known to have stopped."""
        while time.monotonic() < until_s:
            entry = self._registry.entries.get(job_id)
            if entry is None or not entry.job.is_open:
                return entry is not None
            ended = dataclasses.replace(
                entry.job, state=jobs.JobState.ENDED, operation=secrets.token_hex(8)
            )
            result = await self.replace(entry, ended, until_s)
            if result is not None and not result.job.is_open:
                return True
        return False

    async def claim(
        self, entry: job_registry.JobEntry, owner: str, until_s: float
    ) -> job_registry.JobEntry | None:
        """Make a daemon the owner of a job.

        :returns: ``None`` when another daemon claimed it first, or in case of doubt
        """
        claim = dataclasses.replace(
            entry.job,
            owner=owner,
            epoch=entry.job.epoch + 1,
            operation=secrets.token_hex(8),
            lost_owners=run_records.count_lost_owner(entry.job),
        )
        current = await self.replace(entry, claim, until_s)
        if current is None or current.job.owner != owner:
            return None
        return current

    async def replace(
        self,
        entry: job_registry.JobEntry,
        job: jobs.Job,
        until_s: float,
        puts: abc.Sequence[tuple[store.RowKey, bytes]] = (),
    ) -> job_registry.JobEntry | None:
        """Write the next version of a job if its row has not changed (compare-and-set).

        :param job: new version, with a new ``operation``
        :param puts: further rows to write in the same transaction
        :returns: the current entry, whichever change wrote it; ``None`` when the row
            is deleted or the outcome is unknown at ``until_s``
        """
        row_key = jobs.make_job_key(job.job_id)
        change = store.Transaction(
            conditions=(store.Condition(row_key, entry.version),),
            puts=((row_key, jobs.encode_job(job)), *puts),
        )
        while True:
            try:
                result = await self._store.apply(change)
            except failures.StoreFailure as error:
                logs.limited_info(
                    "job_change_delayed", job=job.job_id, cause=error.format_message()
                )
                if time.monotonic() + _RETRY_INTERVAL_S > until_s:
                    return None
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            if isinstance(result, store.Applied):
                return self._apply_written(job, result.version)
            existing = result.find(row_key)
            if existing is None:
                self._state.apply_row(store.Row(row_key, None, entry.version + 1))
                return None
            self._state.apply_row(existing)
            return self._registry.entries.get(job.job_id)

    async def load_items(self, job: jobs.Job) -> tuple[jobs.Item, ...]:
        """Read the items of a job from the store.

        :raises failures.StoreFailure: when they can't be read
        """
        if job.chunks:
            page = await full_read.read_all(
                self._store,
                jobs.PAYLOAD_TABLE,
                jobs.PARTITION,
                job.job_id + "/",
                job.job_id + "0",
            )
            payload = b"".join(row.value or b"" for row in page.rows)
        else:
            payload = await self._store.get_object(job.job_id)
        try:
            return jobs.decode_items(payload)
        except ValueError as error:
            logs.limited_info("payload_unreadable", job=job.job_id, cause=error)
            raise failures.StoreRefused("load_items", "unreadable") from error

    async def load_results(
        self, job_id: str, start: int, end: int
    ) -> dict[int, jobs.ItemResult]:
        """Read the results at positions ``[start, end)`` from the store.

        :raises failures.StoreFailure: when they can't be read
        """
        page = await full_read.read_all(
            self._store,
            jobs.RESULT_TABLE,
            jobs.PARTITION,
            jobs.make_result_prefix(job_id, start),
            jobs.make_result_prefix(job_id, end),
        )
        return jobs.join_results(page.rows)

    async def load_progress(self, job_id: str) -> dict[str, jobs.Progress]:
        """Read the stored progress of a job's items, by item id.

        :raises failures.StoreFailure: when it can't be read
        """
        page = await full_read.read_all(
            self._store, jobs.PROGRESS_TABLE, jobs.PARTITION, job_id + "/", job_id + "0"
        )
        progress = {}
        for row in page.rows:
            try:
                progress[row.row_key.key.partition("/")[2]] = jobs.decode_progress(
                    row.value or b""
                )
            except ValueError as error:
                logs.error("progress_unreadable", job=job_id, cause=error)
        return progress

    async def find_stored(self, job_id: str) -> job_registry.JobEntry | None:
        """Look up a job in the store; return its entry, ``None`` if there is none.

        :raises failures.StoreFailure: when a call fails
        """
        return await self._job_rows.find(job_id)

    async def confirm(self, job_id: str) -> None:
        """Bring the copy of a job's row up to the time of this call.

        :raises failures.StoreFailure: when the row can't be read as of now
        """
        await self._job_rows.confirm(job_id)

    def _make_job(self, submission: Submission) -> jobs.Job:
        now_ms = int(time.time() * 1000)
        size = len(jobs.encode_items(submission.items))
        is_inline = size <= jobs.INLINE_BYTES
        return jobs.Job(
            job_id=submission.job_id,
            host=submission.host,
            path=submission.path,
            route=submission.route.name,
            total=len(submission.items),
            created_ms=now_ms,
            due_ms=now_ms + int(submission.route.completion_s * 1000),
            chunks=-(-size // jobs.ROW_BYTES) if is_inline else 0,
            state=jobs.JobState.OPEN,
            owner=self._owner,
            epoch=1,
            listed=0,
            tokens_left=sum(item.tokens for item in submission.items),
            operation=secrets.token_hex(8),
            organisation=submission.organisation,
        )

    def _make_acceptance(
        self,
        submission: Submission,
        job: jobs.Job,
        rows: list[tuple[store.RowKey, bytes]],
    ) -> store.Transaction:
        """Return the transaction that accepts a job.

        The condition on the quota row serialises acceptance on a route, or of an
        organisation there, so that each daemon has counted the jobs that the others
        accepted.
        """
        row_key = jobs.make_job_key(job.job_id)
        conditions = [store.Condition(row_key, 0)]
        puts = [(row_key, jobs.encode_job(job)), *rows]
        if submission.route.token_quota:
            quota_key = _make_quota_key(submission)
            version = self._find_quota_version(submission)
            conditions.append(store.Condition(quota_key, version))
            puts.append((quota_key, job.job_id.encode()))
        return store.Transaction(tuple(conditions), tuple(puts))

    def _find_quota_version(self, submission: Submission) -> int:
        known = self._state.rows.get(_make_quota_key(submission).key)
        return 0 if known is None else known.version

    async def _complete_count(self, submission: Submission) -> bool:
        """Wait until the copy has all jobs that the quota row stands for.

        A full read may have brought the quota row by a later page than the jobs that
        were accepted before it was written.
        """
        if not submission.route.token_quota:
            return True
        version = self._find_quota_version(submission)
        left_s = submission.until_s - _RESPONSE_MARGIN_S - time.monotonic()
        return await self._state.wait_until(version, left_s)

    def _check_quota(
        self, submission: Submission, job: jobs.Job, is_uncertain: bool
    ) -> None:
        quota = submission.route.token_quota
        if not quota:
            return
        waiting = self._registry.count_waiting_tokens(
            submission.route.name, submission.organisation
        )
        if waiting + job.tokens_left <= quota:
            return
        logs.limited_info(
            "job_over_quota",
            job=job.job_id,
            tokens=job.tokens_left,
            waiting=waiting,
            quota=quota,
            organisation=submission.organisation,
        )
        if is_uncertain:
            raise failures.JobUncertain(job.job_id)
        raise failures.JobRefused("quota", is_over_quota=True)

    def _apply_written(self, job: jobs.Job, version: int) -> job_registry.JobEntry:
        """Apply a row that this daemon wrote to the local copy."""
        row_key = jobs.make_job_key(job.job_id)
        self._state.apply_row(store.Row(row_key, jobs.encode_job(job), version))
        return self._registry.entries[job.job_id]

    def _apply_existing(
        self, job: jobs.Job, row: store.Row
    ) -> job_registry.JobEntry | None:
        """Apply the row of an existing job; return its entry if this call wrote it."""
        self._state.apply_row(row)
        entry = self._registry.entries.get(job.job_id)
        if entry is not None and entry.job.operation == job.operation:
            return entry
        return None

    async def _catch_up(self, conflict: store.Conflict) -> None:
        """Wait until the local copy has reached the rows of a conflict."""
        newest = max((row.version for row in conflict.rows), default=0)
        await self._state.wait_until(newest, _CATCH_UP_TIMEOUT_S)


def _make_quota_key(submission: Submission) -> store.RowKey:
    """Return the key of the row that orders the acceptance of jobs."""
    key = jobs.QUOTA_PREFIX + submission.route.name
    if submission.organisation is not None:
        key += "/" + submission.organisation
    return store.RowKey(jobs.STATE_TABLE, jobs.PARTITION, key)


def _split_payload(job: jobs.Job, payload: bytes) -> list[tuple[store.RowKey, bytes]]:
    """Return the rows of a payload, none if it is stored as an object."""
    if not job.chunks:
        return []
    return jobs.split_rows(jobs.PAYLOAD_TABLE, job.job_id, payload)
