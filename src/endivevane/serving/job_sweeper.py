"""Deletion of jobs whose retention period is over."""

from __future__ import annotations

import asyncio
import time

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import (
    failures,
    full_read,
    job_registry,
    jobs,
    peer_registry,
    store,
)

_SWEEP_INTERVAL_S = 5.0
# Margin for clock skew between VMs and for clients that read late.
_RETENTION_FACTOR = 2.0
_MAX_DELETES = 90


class JobSweeper:
    """Deletes the stored data of expired jobs; each job is assigned to one daemon."""

    def __init__(
        self,
        rows: store.Store,
        registry: job_registry.JobRegistry,
        peers: peer_registry.PeerRegistry,
        name: str,
        retention_s: float,
    ) -> None:
        self._store = rows
        self._registry = registry
        self._peers = peers
        self._name = name
        self._retention_s = retention_s

    async def run(self) -> None:
        """Delete expired jobs until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Delete the expired jobs that are assigned to this daemon."""
        for entry in list(self._registry.entries.values()):
            job = entry.job
            if not self._is_expired(entry) or not self._is_assigned(job.job_id):
                continue
            try:
                await self._delete(entry)
            except failures.StoreFailure as error:
                logs.limited_info("job_not_deleted", job=job.job_id, cause=error)

    def _is_expired(self, entry: job_registry.JobEntry) -> bool:
        """Return whether the retention period of a job is over, by both clocks.

        The time of day, by which jobs are due, may be stepped here or where the job
        was accepted.
        """
        job = entry.job
        if job.is_open or time.monotonic() - entry.changed_s < self._retention_s:
            return False
        expired_before_s = time.time() - _RETENTION_FACTOR * self._retention_s
        return job.due_ms < expired_before_s * 1000

    def _is_assigned(self, job_id: str) -> bool:
        peers = dict.fromkeys(self._peers.list_active(), 1.0)
        return rendezvous.choose_member(job_id, peers) == self._name

    async def _delete(self, entry: job_registry.JobEntry) -> None:
        """Delete a job; its row goes last, so that a failed deletion is retried."""
        job_id = entry.job.job_id
        keys: list[store.RowKey] = []
        for table in (
            jobs.PAYLOAD_TABLE,
            jobs.RESULT_TABLE,
            jobs.PROGRESS_TABLE,
        ):
            page = await full_read.read_all(
                self._store, table, jobs.PARTITION, job_id + "/", job_id + "0"
            )
            keys.extend(row.row_key for row in page.rows)
        for start in range(0, len(keys), _MAX_DELETES):
            batch = tuple(keys[start : start + _MAX_DELETES])
            await self._store.apply(store.Transaction(deletes=batch))
        if not entry.job.chunks:
            await self._store.delete_object(job_id)
        row_key = jobs.make_job_key(job_id)
        condition = store.Condition(row_key, entry.version)
        await self._store.apply(
            store.Transaction(conditions=(condition,), deletes=(row_key,))
        )
        logs.info("job_deleted", job=job_id)
