"""Reads of single jobs' rows from the store, which bring the local copy up to date."""

from __future__ import annotations

from endivevane.serving import (
    failures,
    follower,
    job_registry,
    jobs,
    shared_reads,
    store,
)


class JobRows:
    """Reads rows of jobs and applies them to the local copy."""

    def __init__(
        self,
        rows: store.Store,
        state: follower.TableFollower,
        registry: job_registry.JobRegistry,
    ) -> None:
        self._store = rows
        self._state = state
        self._registry = registry
        self._confirmations = shared_reads.SharedReads(self._read_newest)

    async def find(self, job_id: str) -> job_registry.JobEntry | None:
        """Look up a job in the store; return its entry, ``None`` if there is none.

        Reads may be seconds old, so that only a transaction shows that a row does not
        exist.

        :raises failures.StoreFailure: when a call fails
        """
        row_key = jobs.make_job_key(job_id)
        page = await self._store.read_rows(
            row_key.table, row_key.partition, row_key.key, row_key.key + "\0"
        )
        await self._apply_page(row_key, page)
        return self._registry.entries.get(job_id)

    async def confirm(self, job_id: str) -> None:
        """Bring the copy of a job's row up to the time of this call.

        :raises failures.StoreFailure: when the row can't be read as of now
        """
        await self._confirmations.read(job_id)

    async def _read_newest(self, job_id: str) -> None:
        row_key = jobs.make_job_key(job_id)
        # Versions that become known during the call may be later than the page.
        newest = self._state.newest.value
        page = await self._store.read_newest(
            row_key.table, row_key.partition, row_key.key, row_key.key + "\0"
        )
        if page.version < newest:
            cause = f"version {page.version}, but {newest} is known"
            raise failures.StoreRefused("read_newest", cause)
        await self._apply_page(row_key, page)
        known = self._state.rows.get(row_key.key)
        entry = self._registry.entries.get(job_id)
        if known is not None and (entry is None or entry.version < known.version):
            raise failures.StoreRefused("read_newest", "unreadable row")

    async def _apply_page(self, row_key: store.RowKey, page: store.RowPage) -> None:
        """Apply the row of a page, or its deletion once a transaction shows it."""
        rows = page.rows
        if not rows:
            known = self._state.rows.get(row_key.key)
            is_absent = store.Transaction((store.Condition(row_key, 0),))
            result = await self._store.apply(is_absent)
            if isinstance(result, store.Conflict):
                rows = result.rows
            elif known is not None:
                # A row that has been written since has a higher version and stays.
                rows = (store.Row(row_key, None, known.version + 1),)
        for row in rows:
            self._state.apply_row(row)
