"""Following a table of the store."""

from __future__ import annotations

import asyncio
import random
import time
from collections import abc

from endivevane import logs
from endivevane.serving import failures, newest_version, store

# One long poll; a connection that went silent is noticed at its end.
_POLL_WAIT_S = 2.0
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5
# Without an answer for this long the store counts as away.
_AWAY_S = 1.0
# Answers that bring nothing new in a row are spaced out by this pause.
_EMPTY_PAUSE_S = 0.02


class TableFollower:
    """Keeps a copy of one partition of a table and tells of each change.

    Versions only go up: an answer that is older than the copy is not taken in.

    :param on_row: called for each new version of a row, also for deleted ones
    :param on_return: called when the store answers again after it was away
    :param pause_s: time after a change for which further changes are collected
    :param on_loaded: called whenever all rows have been read
    :param newest: told of each version that is seen
    :ivar rows: current rows by key
    :ivar version: version of the store up to which the copy is complete
    :ivar confirmed_s: monotonic time of the last answer
    """

    def __init__(
        self,
        rows: store.Store,
        table: str,
        partition: str,
        on_row: store.RowObserver,
        on_return: abc.Callable[[], None] | None = None,
        coalesce_s: float = 0.0,
        on_loaded: abc.Callable[[], None] | None = None,
        newest: newest_version.NewestVersion | None = None,
    ) -> None:
        self.rows: dict[str, store.Row] = {}
        self.version = -1
        self.confirmed_s = 0.0
        self._store = rows
        self._table = table
        self._partition = partition
        self._on_row = on_row
        self._on_return = on_return
        self._pause_s = coalesce_s
        self._on_loaded = on_loaded
        self.newest = newest or newest_version.NewestVersion()
        self._deleted: dict[str, int] = {}
        self._advanced = asyncio.Event()
        self._is_away = False

    @property
    def is_loaded(self) -> bool:
        """Whether the rows have been read at least once."""
        return self.version >= 0

    def is_confirmed(self, now_s: float, within_s: float) -> bool:
        """Whether the store has answered a short while ago."""
        return self.is_loaded and now_s - self.confirmed_s <= within_s

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = _FIRST_PAUSE_S
        must_read = True
        while True:
            try:
                if must_read:
                    must_read = not await self._read_all()
                else:
                    await self._read_changes()
            except failures.StoreHistoryGone:
                logs.limited_info(
                    "store_history_gone", table=self._table, version=self.version
                )
                must_read = True
                continue
            except failures.StoreFailure as error:
                self._note_failure(error)
                must_read = True
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)
                continue
            self._note_answer()
            pause_s = _FIRST_PAUSE_S
            if must_read:
                await asyncio.sleep(_FIRST_PAUSE_S)

    async def wait_until(self, version: int, timeout_s: float) -> bool:
        """Wait until the copy is complete up to a version."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    self._advanced.clear()
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    def take(self, row: store.Row) -> bool:
        """Take in a row unless a newer version of it is known."""
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
        self._on_row(row)
        return True

    async def _read_all(self) -> bool:
        """Read all rows; return whether the answer is not older than the copy."""
        page = await self._store.read_rows(self._table, self._partition)
        if page.version < self.version:
            return False
        seen = set()
        for row in page.rows:
            seen.add(row.row_key.key)
            self.take(row)
        for key in [key for key in self.rows if key not in seen]:
            if self.rows[key].version <= page.version:
                row_key = self.rows[key].row_key
                self.take(store.Row(row_key, None, page.version + 1))
                self._deleted[key] = page.version
        self._advance(page.version)
        if self._on_loaded is not None:
            self._on_loaded()
        return True

    async def _read_changes(self) -> None:
        page = await self._store.wait_for_changes(
            self._table, self.version, _POLL_WAIT_S
        )
        for row in page.rows:
            if row.row_key.partition == self._partition:
                self.take(row)
        is_empty = not page.rows and page.version <= self.version
        self._advance(max(page.version, self.version))
        if is_empty or self._pause_s:
            await asyncio.sleep(max(_EMPTY_PAUSE_S, self._pause_s))

    def _advance(self, version: int) -> None:
        self.version = version
        self.newest.record(version)
        self._advanced.set()

    def _note_answer(self) -> None:
        now_s = time.monotonic()
        if self._is_away:
            self._is_away = False
            logs.info("store_regained", table=self._table, version=self.version)
            if self._on_return is not None:
                self._on_return()
        self.confirmed_s = now_s

    def _note_failure(self, error: failures.StoreFailure) -> None:
        now_s = time.monotonic()
        if self._is_away or now_s - self.confirmed_s < _AWAY_S:
            return
        self._is_away = True
        logs.info("store_lost", table=self._table, cause=error.cause)
