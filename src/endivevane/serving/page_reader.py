"""Reads of a partition page by page, with checks that the pages fit together."""

from __future__ import annotations

import typing

from endivevane import logs, metrics
from endivevane.serving import copy_age, failures, store

_CALL = "rows-get"
# A read with more pages than this has no end: two million rows of one partition.
_MAX_PAGES = 4_000


class PageReader:
    """Reads the rows with keys in ``[start, end)``, one page after the other.

    Each page is as of one moment, later pages as of later ones. A page that failed is
    read again by the next call; after :exc:`failures.StoreInconsistent` the read is to
    be started anew.

    :ivar pages: number of pages read
    :ivar is_complete: whether the last page has been read
    :ivar sent_s: time of the boot clock at which the call for the first page was sent
    """

    def __init__(
        self,
        rows: store.Store,
        table: str,
        partition: str,
        start: str = "",
        end: str = "",
    ) -> None:
        self.start = start
        self.pages = 0
        self.is_complete = False
        self.sent_s = 0.0
        self._store = rows
        self._table = table
        self._partition = partition
        self._end = end
        self._version = -1

    async def read_next(self) -> store.RowPage:
        """Return the next page; ``start`` is then the first key of the page after it.

        :raises failures.StoreInconsistent: when the page does not fit those before it
        :raises failures.StoreFailure: when the page can't be read
        """
        sent_s = copy_age.read_clock_s()
        page = await self._store.read_rows(
            self._table, self._partition, self.start, self._end
        )
        if self.pages or page.has_more:
            self._check(page)
        if not self.pages:
            self.sent_s = sent_s
        self.pages += 1
        metrics.READ_PAGES.labels(self._table).inc()
        self._version = page.version
        self.is_complete = not page.has_more
        if page.has_more:
            # The next page starts directly after the last key.
            self.start = page.rows[-1].row_key.key + "\0"
        return page

    def _check(self, page: store.RowPage) -> None:
        """Check a page of several; a page that is the whole read fits as it is."""
        if page.version < self._version:
            self._reject(f"version {page.version} after {self._version}")
        if page.has_more and not page.rows:
            self._reject("a page without rows before the end")
        if page.has_more and self.pages >= _MAX_PAGES:
            self._reject(f"more than {_MAX_PAGES} pages")
        lowest = self.start
        for row in page.rows:
            key = row.row_key.key
            if key < lowest or (self._end and key >= self._end):
                self._reject(f"key {key!r} out of order")
            lowest = key + "\0"

    def _reject(self, cause: str) -> typing.NoReturn:
        metrics.FULL_READS.labels(self._table, "inconsistent").inc()
        logs.limited_info(
            "store_read_inconsistent", table=self._table, page=self.pages, cause=cause
        )
        raise failures.StoreInconsistent(_CALL, cause)
