"""Local copies of store tables, kept up to date by long polling."""

from __future__ import annotations

import asyncio
import random
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import copy_age, failures, full_read, newest_version, store

# A poll with this many rows may have left out later changes.
_MAX_POLLED_ROWS = 500
# Duration of one long poll; an unresponsive connection is detected at its end.
POLL_WAIT_S = 2.0
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5
# The store counts as unavailable after this time without a response.
_UNAVAILABLE_AFTER_S = 1.0
# A daemon without a copy that has failed so many times to read a further page asks for
# all rows again.
_FAILED_UNTIL_WHOLE = 3
# After this many failures in a row a table that is not short is read in full: the store
# may serve rows and no changes.
_MAX_FAILED_POLLS = 3
# Shorter tables are read in full after each failure.
_MAX_SHORT_BYTES = 64 * 1024
# Pause after an empty response, to limit the rate of polls.
_EMPTY_POLL_PAUSE_S = 0.02


class TableFollower:
    """Keeps a copy of one partition of a table and reports each change.

    Versions never go back: a read that is older than the copy is ignored. A full read
    is applied as a whole once its last page is there. It is complete up to the version
    of its first page; what has changed since is read from the history, or by another
    full read if the history is gone.

    :param on_row: called for each new version of a row, deletions included
    :param on_recovery: called when the store is available again
    :param coalesce_s: wait after a change, so that further changes are read together
    :param on_loaded: called after each full read
    :param newest: records each version that is read
    :param find_poll_wait_s: returns how long a poll may be held while nothing changes
    :ivar rows: current rows by key
    :ivar version: version of the store up to which the copy is complete
    :ivar history_start: version from which the copy has seen all changes
    :ivar age: how old the copy is
    """

    def __init__(
        self,
        rows: store.Store,
        table: str,
        partition: str,
        on_row: store.RowObserver,
        on_recovery: abc.Callable[[], None] | None = None,
        coalesce_s: float = 0.0,
        on_loaded: abc.Callable[[], None] | None = None,
        newest: newest_version.NewestVersion | None = None,
        find_poll_wait_s: abc.Callable[[], float] = lambda: POLL_WAIT_S,
    ) -> None:
        self.rows: dict[str, store.Row] = {}
        self.version = -1
        self.history_start = -1
        self.age = copy_age.CopyAge()
        self._store = rows
        self._table = table
        self._partition = partition
        self._on_row = on_row
        self._on_recovery = on_recovery
        self._coalesce_s = coalesce_s
        self._on_loaded = on_loaded
        self._find_poll_wait_s = find_poll_wait_s
        self.newest = newest or newest_version.NewestVersion()
        self._deleted: dict[str, int] = {}
        self._advanced = asyncio.Event()
        # Monotonic time of the last answer of the store.
        self._confirmed_s = 0.0
        self._is_unavailable = False
        self._is_from_memory = False
        # Pages of a full read, kept while the next one can't be read.
        self._reading: full_read.FullRead | None = None
        # Pages of the last full read.
        self._pages = 0

    @property
    def is_loaded(self) -> bool:
        """Whether all rows have been read at least once."""
        return self.version >= 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        failing, rereading = _Backoff(), _Backoff()
        # Whether the next call is a full read, and whether the last one was.
        must_read, is_reread = True, False
        while True:
            try:
                if must_read:
                    must_read = not await self._read_all()
                    is_reread = True
                else:
                    # After a failure, an answer soon shows that the store is back.
                    wait_s = 0.0 if failing.pauses else self._find_poll_wait_s()
                    await self._read_changes(wait_s)
                    is_reread = False
                    rereading.reset()
            except failures.StoreHistoryGone:
                logs.limited_info(
                    "store_history_gone", table=self._table, version=self.version
                )
                must_read = True
                if is_reread:
                    # The history was gone again before it could be read.
                    await rereading.pause()
                continue
            except failures.StoreFailure as error:
                self._record_failure(error)
                if self._is_short() or failing.pauses >= _MAX_FAILED_POLLS:
                    must_read = True
                await failing.pause()
                continue
            if self._is_from_memory:
                # Another daemon has answered from its copy, and may have lost the
                # store: this copy is only loaded.
                await failing.pause()
                continue
            self._record_success()
            failing.reset()
            if must_read:
                await asyncio.sleep(_INITIAL_BACKOFF_S)

    async def wait_until_loaded(self, timeout_s: float) -> bool:
        """Wait until all rows have been read; return ``False`` if late."""
        return await self.wait_until(0, timeout_s)

    async def wait_until(self, version: int, timeout_s: float) -> bool:
        """Wait until the copy is complete up to a version; return ``False`` if late."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    async def wait_for_changes(
        self, after: int, timeout_s: float
    ) -> tuple[store.Row, ...]:
        """Wait until the copy has changes after a version and return them in order.

        :param after: version at or above ``history_start``
        :returns: nothing when the timeout expires; all changes up to the version that
            the copy has when this returns
        """
        until_s = time.monotonic() + timeout_s
        while True:
            # The copy may have advanced in the turn of the loop that ended the wait.
            changes = self._list_changes(after)
            left_s = until_s - time.monotonic()
            if changes or left_s <= 0:
                return changes
            await self.wait_until(self.version + 1, left_s)

    def _list_changes(self, after: int) -> tuple[store.Row, ...]:
        """Return the rows that were written or deleted after a version."""
        changes = [row for row in self.rows.values() if row.version > after]
        for key, version in self._deleted.items():
            if version > after:
                row_key = store.RowKey(self._table, self._partition, key)
                changes.append(store.Row(row_key, None, version))
        return tuple(sorted(changes, key=lambda row: row.version))

    def apply_row(self, row: store.Row) -> bool:
        """Apply a row unless the copy has it or a newer version; return if applied."""
        key = row.row_key.key
        known = self.rows.get(key)
        known_version = self._deleted.get(key, -1) if known is None else known.version
        if row.version <= known_version:
            return False
        if row.value is None:
            self._deleted[key] = row.version
            if self.rows.pop(key, None) is None:
                return False
        else:
            self._deleted.pop(key, None)
            self.rows[key] = row
            self.newest.record(row.version)
        self._report(row)
        return True

    def _report(self, row: store.Row) -> None:
        """Report a row; a failure is logged, so that the rows after it are reported."""
        try:
            self._on_row(row)
        except Exception as error:
            logs.error(
                "row_not_applied",
                table=self._table,
                key=row.row_key.key,
                version=row.version,
                cause=repr(error),
            )

    async def _read_all(self) -> bool:
        """Read all rows; return ``False`` if the read is older than the copy."""
        found = await self._finish_read()
        self._is_from_memory = found.age_s > 0
        if found.version < self.version:
            metrics.FULL_READS.labels(self._table, "outdated").inc()
            return False
        seen = set()
        for row in found.rows:
            seen.add(row.row_key.key)
            self.apply_row(row)
        for key in [key for key in self.rows if key not in seen]:
            version = found.find_version(key)
            # A row that was written after its page was read may still exist.
            if self.rows[key].version <= version:
                row_key = self.rows[key].row_key
                self.apply_row(store.Row(row_key, None, version + 1))
                self._deleted[key] = version
        self._pages = len(found.versions)
        self.history_start = found.version
        self._advance(found.version)
        self.age.confirm(found.as_of_s)
        if self._on_loaded is not None:
            self._on_loaded()
        return True

    async def _finish_read(self) -> full_read.JoinedRows:
        """Read all pages, or those that are left if an earlier call has failed."""
        reading = self._reading
        if reading is None:
            reading = full_read.FullRead(self._store, self._table, self._partition)
            self._reading = reading
        try:
            found = await reading.finish()
        except failures.StoreInconsistent:
            self._reading = None
            raise
        except failures.StoreFailure:
            metrics.FULL_READS.labels(self._table, "delayed").inc()
            if not reading.has_begun:
                self._reading = None
                raise
            logs.limited_info(
                "store_read_delayed", table=self._table, pages=reading.pages
            )
            if self.is_loaded or reading.failed % _FAILED_UNTIL_WHOLE:
                raise
            # A relay that has lost the store gives all rows from its memory at once,
            # and no further pages.
            found = await self._read_at_once()
        self._reading = None
        return found

    async def _read_changes(self, wait_s: float) -> None:
        sent_s = copy_age.read_clock_s()
        page = await self._store.wait_for_changes(self._table, self.version, wait_s)
        self._is_from_memory = False
        if len(page.rows) < _MAX_POLLED_ROWS:
            self.age.confirm(sent_s - page.age_s)
        for row in page.rows:
            if row.row_key.partition == self._partition:
                self.apply_row(row)
        is_empty = not page.rows and page.version <= self.version
        self._advance(max(page.version, self.version))
        if is_empty or self._coalesce_s:
            await asyncio.sleep(max(_EMPTY_POLL_PAUSE_S, self._coalesce_s))

    async def _read_at_once(self) -> full_read.JoinedRows:
        """Read all rows as one page.

        :raises failures.StoreFailure: when there are more pages
        """
        reading = full_read.FullRead(self._store, self._table, self._partition)
        await reading.read_page()
        if not reading.is_complete:
            raise failures.StoreRefused("read_rows", "more pages")
        return await reading.finish()

    def _is_short(self) -> bool:
        """Return whether a read of the whole table costs little more than a poll."""
        if self._pages > 1:
            return False
        size = sum(len(row.value or b"") for row in self.rows.values())
        return size <= _MAX_SHORT_BYTES

    def _advance(self, version: int) -> None:
        self.version = version
        self.newest.record(version)
        self._advanced.set()

    def _record_success(self) -> None:
        now_s = time.monotonic()
        if self._is_unavailable:
            self._is_unavailable = False
            logs.info("store_regained", table=self._table, version=self.version)
            if self._on_recovery is not None:
                self._on_recovery()
        self._confirmed_s = now_s

    def _record_failure(self, error: failures.StoreFailure) -> None:
        now_s = time.monotonic()
        if self._is_unavailable or now_s - self._confirmed_s < _UNAVAILABLE_AFTER_S:
            return
        self._is_unavailable = True
        logs.info("store_lost", table=self._table, cause=error.cause)


class _Backoff:
    """Pauses that grow until they are reset.

    :ivar pauses: number of pauses since then
    """

    def __init__(self) -> None:
        self.pauses = 0
        self._pause_s = _INITIAL_BACKOFF_S

    async def pause(self) -> None:
        """Wait, longer at each call."""
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(_MAX_BACKOFF_S, self._pause_s * 2)
        self.pauses += 1

    def reset(self) -> None:
        """Start again with the shortest pause."""
        self.pauses = 0
        self._pause_s = _INITIAL_BACKOFF_S
