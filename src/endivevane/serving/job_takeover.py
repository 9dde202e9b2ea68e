"""Takeover of jobs that have no alive owner."""

from __future__ import annotations

import asyncio
import time

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import (
    failures,
    follower,
    job_changes,
    job_registry,
    job_runner,
    jobs,
    peer_registry,
    process_pauses,
)

_TICK_S = 0.25
# Interval while no job is open.
_IDLE_TICK_S = 0.5
# Time to receive heartbeats after a start or a pause of the process, before peers are
# judged to be dead.
_WARM_UP_S = 2.0
# A job is claimed from a dead owner only after its row was unchanged for this long.
_CLAIM_GRACE_S = 2.5
_CLAIM_TIMEOUT_S = 2.0
# No claims while the copy of the jobs is older than this; a long poll takes 2 s.
_MAX_STALENESS_S = 4.0


class JobTakeover:
    """Takes over jobs without an alive owner that are assigned to this daemon.

    Rendezvous hashing assigns each job to one active daemon, so that few claims
    collide. Of claims that do, the condition on the row's version lets one succeed.
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        peers: peer_registry.PeerRegistry,
        state: follower.TableFollower,
        registry: job_registry.JobRegistry,
        changes: job_changes.JobChanges,
        runner: job_runner.JobRunner,
        pauses: process_pauses.ProcessPauses,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._state = state
        self._registry = registry
        self._changes = changes
        self._runner = runner
        self._pauses = pauses
        pauses.call_after(self.record_process_pause)
        self._warmed_up_s = time.monotonic() + _WARM_UP_S
        self._loading: dict[str, asyncio.Task[None]] = {}

    def record_process_pause(self) -> None:
        """Wait for new heartbeats of the peers before the next claim."""
        self._warmed_up_s = time.monotonic() + _WARM_UP_S

    async def run(self) -> None:
        """Take over jobs until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S if self._has_open() else _IDLE_TICK_S)
            # The peers were not heard while this process stood still.
            self._pauses.check()
            now_s = time.monotonic()
            if now_s < self._warmed_up_s or self._peers.is_stopping:
                continue
            if self._state.age.measure_s() > _MAX_STALENESS_S:
                continue
            if not self._peers.is_membership_current(now_s):
                continue
            for job_id, entry in list(self._registry.entries.items()):
                if job_id in self._loading or job_id in self._runner.owned:
                    continue
                if entry.job.is_open and self._is_assigned(entry, now_s):
                    task = asyncio.ensure_future(self._take_over(entry))
                    self._loading[job_id] = task

    def _has_open(self) -> bool:
        return any(entry.job.is_open for entry in self._registry.entries.values())

    def _is_assigned(self, entry: job_registry.JobEntry, now_s: float) -> bool:
        """Return whether this daemon should run a job."""
        job = entry.job
        if job.owner == self._identity.owner:
            return True
        name, _, incarnation = job.owner.partition("/")
        if name and self._peers.is_alive(name, incarnation):
            return False
        if name and now_s - entry.changed_s < _CLAIM_GRACE_S:
            return False
        peers = dict.fromkeys(self._peers.list_active(), 1.0)
        return rendezvous.choose_member(job.job_id, peers) == self._identity.name

    async def _take_over(self, entry: job_registry.JobEntry) -> None:
        job_id = entry.job.job_id
        try:
            if entry.job.owner != self._identity.owner:
                until_s = time.monotonic() + _CLAIM_TIMEOUT_S
                claimed = await self._changes.claim(
                    entry, self._identity.owner, until_s
                )
                if claimed is None:
                    return
                entry = claimed
            items = await self._changes.load_items(entry.job)
            results = await self._changes.load_results(job_id, 0, entry.job.listed)
            progress = await self._changes.load_progress(job_id)
        except (failures.StoreFailure, ValueError) as error:
            logs.warning("job_not_loaded", job=job_id, cause=error)
            return
        finally:
            del self._loading[job_id]
        latest = self._registry.entries.get(job_id)
        if latest is None or latest.job.owner != self._identity.owner:
            return
        if len(results) != latest.job.listed or not latest.job.is_open:
            return
        done = frozenset(result.item_id for result in results.values())
        logs.info(
            "job_taken_over",
            job=job_id,
            left=len(items) - len(done),
            begun=len(progress),
            epoch=latest.job.epoch,
            version=latest.version,
        )
        self._runner.start_job(latest, items, jobs.JobProgress(done, progress))
