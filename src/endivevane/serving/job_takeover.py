"""Taking over jobs whose daemon is gone."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
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
)

_TICK_S = 0.25
# The same while no job is open.
_IDLE_TICK_S = 0.5
# A daemon that has just started, or stood still, first hears of the others.
_SETTLE_S = 2.0
# A job that was claimed by somebody is left alone for this long.
_CLAIM_LIFE_S = 2.5
_CLAIM_LIMIT_S = 2.0
# The store must have confirmed this daemon's view of the jobs this recently.
_CONFIRMED_S = 4.0


class JobTakeover:
    """Gives each job without a living owner to one daemon.

    The rank of the daemons for a job names one of them, so that few claims collide;
    the condition on the row's version decides between those that do.
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        members: peer_registry.PeerRegistry,
        state: follower.TableFollower,
        book: job_registry.JobRegistry,
        changes: job_changes.JobChanges,
        runner: job_runner.JobRunner,
    ) -> None:
        self._identity = identity
        self._roster = members
        self._state = state
        self._book = book
        self._changes = changes
        self._runner = runner
        self._settled_s = time.monotonic() + _SETTLE_S
        self._loading: dict[str, asyncio.Task[None]] = {}

    def record_process_pause(self) -> None:
        """Hear of the others anew before the next claim."""
        self._settled_s = time.monotonic() + _SETTLE_S

    async def run(self) -> None:
        """Look for jobs to take over until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S if self._has_open() else _IDLE_TICK_S)
            now_s = time.monotonic()
            if now_s < self._settled_s or self._roster.is_stopping:
                continue
            if not self._state.is_confirmed(now_s, _CONFIRMED_S):
                continue
            if not self._roster.is_membership_current(now_s):
                continue
            for job_id, entry in list(self._book.entries.items()):
                if job_id in self._loading or job_id in self._runner.owned:
                    continue
                if entry.job.is_open and self._is_ours(entry, now_s):
                    task = asyncio.ensure_future(self._take_over(entry))
                    self._loading[job_id] = task

    def _has_open(self) -> bool:
        return any(entry.job.is_open for entry in self._book.entries.values())

    def _is_ours(self, entry: job_registry.BookEntry, now_s: float) -> bool:
        """Whether this daemon should run a job."""
        job = entry.job
        if job.owner == self._identity.owner:
            return True
        name, _, incarnation = job.owner.partition("/")
        if name and self._roster.is_alive(name, incarnation):
            return False
        if name and now_s - entry.changed_s < _CLAIM_LIFE_S:
            return False
        members = dict.fromkeys(self._roster.list_active(), 1.0)
        return rendezvous.choose_member(job.job_id, members) == self._identity.name

    async def _take_over(self, entry: job_registry.BookEntry) -> None:
        job_id = entry.job.job_id
        try:
            if entry.job.owner != self._identity.owner:
                claimed = await self._claim(entry)
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
        latest = self._book.entries.get(job_id)
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
        self._runner.adopt(latest, items, jobs.Taken(done, progress))

    async def _claim(
        self, entry: job_registry.BookEntry
    ) -> job_registry.BookEntry | None:
        """Become the owner of a job; ``None`` when another daemon was faster."""
        claim = dataclasses.replace(
            entry.job,
            owner=self._identity.owner,
            epoch=entry.job.epoch + 1,
            operation=secrets.token_hex(8),
        )
        until_s = time.monotonic() + _CLAIM_LIMIT_S
        stands = await self._changes.replace(entry, claim, until_s)
        if stands is None or stands.job.owner != self._identity.owner:
            return None
        return stands
