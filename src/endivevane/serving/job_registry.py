"""In-memory registry of all batch jobs, updated from the store's rows."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
from collections import abc

from endivevane import logs
from endivevane.serving import jobs, store


@dataclasses.dataclass(slots=True)
class JobEntry:
    """A job at a version of its row.

    :param changed_s: monotonic time at which this daemon received the version
    """

    job: jobs.Job
    version: int
    changed_s: float


class JobRegistry:
    """Indexes jobs by id and notifies waiters and observers of changes."""

    def __init__(self) -> None:
        self.entries: dict[str, JobEntry] = {}
        self._watchers: dict[str, set[asyncio.Event]] = collections.defaultdict(set)
        self._observers: list[abc.Callable[[JobEntry], None]] = []

    def call_when_changed(self, function: abc.Callable[[JobEntry], None]) -> None:
        """Register a function to call for each new version of a job."""
        self._observers.append(function)

    def apply(self, row: store.Row) -> None:
        """Apply an update of a job's row."""
        job_id = row.row_key.key.removeprefix(jobs.JOB_PREFIX)
        if row.value is None:
            self.entries.pop(job_id, None)
            self._wake(job_id)
            return
        try:
            job = jobs.decode_job(row.value)
            if job.job_id != job_id:
                raise ValueError("the row of another job")
        except ValueError as error:
            logs.error("job_row_unreadable", job=job_id, cause=error)
            return
        entry = JobEntry(job, row.version, time.monotonic())
        self.entries[job_id] = entry
        self._wake(job_id)
        for function in self._observers:
            function(entry)

    def count_waiting_tokens(self, route: str, organisation: str | None) -> int:
        """Return the number of tokens of items without a result.

        :param organisation: whose items count on the route, ``None`` for all
        """
        return sum(
            entry.job.tokens_left
            for entry in self.entries.values()
            if entry.job.is_open
            and entry.job.route == route
            and organisation in (None, entry.job.organisation)
        )

    async def wait_for_change(self, job_id: str, timeout_s: float) -> None:
        """Wait until the row of a job changes or the timeout expires."""
        event = asyncio.Event()
        self._watchers[job_id].add(event)
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            self._watchers[job_id].discard(event)
            if not self._watchers[job_id]:
                del self._watchers[job_id]

    def _wake(self, job_id: str) -> None:
        for event in self._watchers.get(job_id, ()):
            event.set()
