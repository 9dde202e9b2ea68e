"""Reads of batch jobs for clients, with a cache."""

from __future__ import annotations

import asyncio
import collections
import time

from endivevane import logs, metrics
from endivevane.serving import failures, job_changes, job_registry, jobs

# Clients may count on a result that they have read being there a second later; the rest
# of the second is for the time that an answer takes to reach them.
_MAX_COPY_AGE_S = 0.7
# Limit of the result texts in one response.
_MAX_RESPONSE_BYTES = 800_000
# Limit of the cached result texts; jobs cached first are evicted first.
_MAX_CACHED_BYTES = 24_000_000
_MAX_CACHED_PAYLOADS = 32
# Limit of the cached bodies of items.
_MAX_CACHED_PAYLOAD_BYTES = 12_000_000


class JobReader:
    """Reads results and item bodies, from the cache or the store."""

    def __init__(
        self,
        registry: job_registry.JobRegistry,
        changes: job_changes.JobChanges,
    ) -> None:
        self._registry = registry
        self._changes = changes
        self._results: collections.OrderedDict[str, dict[int, jobs.ItemResult]]
        self._results = collections.OrderedDict()
        self._result_bytes = 0
        self._payloads: collections.OrderedDict[str, dict[str, bytes]]
        self._payloads = collections.OrderedDict()
        self._payload_bytes = 0
        self._locks: dict[str, asyncio.Lock] = {}

    async def find(self, job_id: str) -> job_registry.JobEntry | None:
        """Return a job, ``None`` when there is no such job.

        :raises failures.StoreFailure: when that can't be decided
        """
        entry = self._registry.entries.get(job_id)
        if entry is not None:
            return entry
        return await self._changes.find_stored(job_id)

    async def read(
        self, job_id: str, position: int, wait_s: float
    ) -> tuple[int, list[jobs.ItemResult]] | None:
        """Return the number of items and the results from a position on.

        :param wait_s: how long to wait for a first result
        :returns: ``None`` when there is no such job
        :raises failures.StoreFailure: when the results can't be read
        """
        entry = await self.find(job_id)
        until_s = time.monotonic() + wait_s
        while entry is not None and entry.job.is_open:
            left_s = until_s - time.monotonic()
            if entry.job.listed > position or left_s <= 0:
                break
            await self._registry.wait_for_change(job_id, left_s)
            entry = self._registry.entries.get(job_id)
        if entry is not None and self._may_lack_result(entry.job, position):
            await self._changes.confirm(job_id)
            entry = self._registry.entries.get(job_id)
        if entry is None:
            return None
        if entry.job.listed <= position:
            return entry.job.total, []
        return entry.job.total, await self._load(entry.job, position)

    def _may_lack_result(self, job: jobs.Job, position: int) -> bool:
        """Return whether the store may have a result that the copy of a job lacks.

        Nothing is listed any more once a job has ended.
        """
        if not job.is_open or not job.listed <= position < job.total:
            return False
        return self._changes.measure_copy_age_s() > _MAX_COPY_AGE_S

    def record_empty_read(self, job_id: str, position: int) -> None:
        """Log from which copy of the jobs a read of results found none."""
        age_s = self._changes.measure_copy_age_s()
        metrics.EMPTY_READ_AGE_SECONDS.observe(age_s)
        entry = self._registry.entries.get(job_id)
        logs.limited_info(
            "job_read_empty",
            job=job_id,
            position=position,
            listed=None if entry is None else entry.job.listed,
            row_version=None if entry is None else entry.version,
            copy_version=self._changes.copy_version,
            copy_age_ms=int(age_s * 1000) if age_s < float("inf") else None,
        )

    async def read_body(self, job_id: str, item_id: str) -> bytes | None:
        """Return the body of an item, ``None`` when there is no such item.

        :raises failures.StoreFailure: when it can't be read
        """
        entry = await self.find(job_id)
        if entry is None:
            return None
        bodies = self._payloads.get(job_id)
        if bodies is None:
            items = await self._changes.load_items(entry.job)
            bodies = self.cache_bodies(job_id, items)
        return bodies.get(item_id)

    def cache_bodies(
        self, job_id: str, items: tuple[jobs.Item, ...]
    ) -> dict[str, bytes]:
        """Cache the item bodies of a job and return them by item id."""
        bodies = {item.item_id: item.body for item in items}
        self._forget_payload(job_id)
        self._payloads[job_id] = bodies
        self._payload_bytes += _count_bytes(bodies)
        while len(self._payloads) > 1 and (
            len(self._payloads) > _MAX_CACHED_PAYLOADS
            or self._payload_bytes > _MAX_CACHED_PAYLOAD_BYTES
        ):
            self._forget_payload(next(iter(self._payloads)))
        return bodies

    def _forget_payload(self, job_id: str) -> None:
        self._payload_bytes -= _count_bytes(self._payloads.pop(job_id, {}))

    def cache_results(self, job_id: str, results: dict[int, jobs.ItemResult]) -> None:
        """Cache results that the store holds."""
        known = self._results.setdefault(job_id, {})
        for position, result in results.items():
            if position not in known:
                known[position] = result
                self._result_bytes += len(result.text)
        while self._result_bytes > _MAX_CACHED_BYTES and len(self._results) > 1:
            _, evicted = self._results.popitem(last=False)
            self._result_bytes -= sum(len(item.text) for item in evicted.values())

    async def _load(self, job: jobs.Job, position: int) -> list[jobs.ItemResult]:
        lock = self._locks.setdefault(job.job_id, asyncio.Lock())
        async with lock:
            known = self._results.get(job.job_id, {})
            missing = [
                number for number in range(position, job.listed) if number not in known
            ]
            if missing:
                loaded = await self._changes.load_results(
                    job.job_id, missing[0], missing[-1] + 1
                )
                self.cache_results(job.job_id, loaded)
                known = self._results[job.job_id]
        if not lock.locked():
            self._locks.pop(job.job_id, None)
        return self._select_page(job, known, position)

    def _select_page(
        self, job: jobs.Job, known: dict[int, jobs.ItemResult], position: int
    ) -> list[jobs.ItemResult]:
        """Return the results from a position on that fit into one response."""
        results: list[jobs.ItemResult] = []
        size = 0
        for number in range(position, job.listed):
            result = known.get(number)
            if result is None:
                if not results:
                    raise failures.StoreRefused("load_results", "a result is missing")
                break
            size += len(result.text)
            if results and size > _MAX_RESPONSE_BYTES:
                break
            results.append(result)
        return results


def _count_bytes(bodies: dict[str, bytes]) -> int:
    return sum(len(body) for body in bodies.values())
