"""Deleting jobs whose time to be read is over."""

from __future__ import annotations

import asyncio
import time

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import failures, job_registry, jobs, peer_registry, store

_LOOK_S = 5.0
# Clocks of VMs differ and clients may read a little longer than they need.
_LIFE_FACTOR = 2.0
_ROWS_AT_ONCE = 90


class JobSweeper:
    """Deletes the rows of old jobs, one daemon for each job."""

    def __init__(
        self,
        rows: store.Store,
        book: job_registry.JobRegistry,
        members: peer_registry.PeerRegistry,
        name: str,
        job_life_s: float,
    ) -> None:
        self._store = rows
        self._book = book
        self._roster = members
        self._name = name
        self._job_life_s = job_life_s

    async def run(self) -> None:
        """Look for old jobs until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            limit_ms = (time.time() - _LIFE_FACTOR * self._job_life_s) * 1000
            for entry in list(self._book.entries.values()):
                job = entry.job
                is_old = not job.is_open and job.due_ms < limit_ms
                if not is_old or not self._is_ours(job.job_id):
                    continue
                try:
                    await self._delete(entry)
                except failures.StoreFailure as error:
                    logs.limited_info("job_not_deleted", job=job.job_id, cause=error)

    def _is_ours(self, job_id: str) -> bool:
        members = dict.fromkeys(self._roster.list_active(), 1.0)
        return rendezvous.choose_member(job_id, members) == self._name

    async def _delete(self, entry: job_registry.BookEntry) -> None:
        """Delete the payload and the results first, so that the job names them."""
        job_id = entry.job.job_id
        keys: list[store.RowKey] = []
        for table in (
            jobs.PAYLOAD_TABLE,
            jobs.RESULT_TABLE,
            jobs.PROGRESS_TABLE,
        ):
            page = await self._store.read_rows(
                table, jobs.PARTITION, job_id + "/", job_id + "0"
            )
            keys.extend(row.row_key for row in page.rows)
        for start in range(0, len(keys), _ROWS_AT_ONCE):
            part = tuple(keys[start : start + _ROWS_AT_ONCE])
            await self._store.apply(store.Transaction(deletes=part))
        if not entry.job.chunks:
            await self._store.delete_object(job_id)
        row_key = jobs.make_job_key(job_id)
        condition = store.Condition(row_key, entry.version)
        await self._store.apply(
            store.Transaction(conditions=(condition,), deletes=(row_key,))
        )
        logs.info("job_deleted", job=job_id)
