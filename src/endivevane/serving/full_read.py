"""Reads of all rows of a range, from pages that are as of different moments."""

from __future__ import annotations

import bisect
import dataclasses

from endivevane import logs, metrics
from endivevane.serving import failures, page_reader, store

# A read that holds more than this is given up, so that memory stays bounded. 110 jobs a
# second (1.9 billion items a day), kept for 4 to 5 minutes, are some 30,000 rows.
_MAX_ROWS = 200_000
_MAX_BYTES = 64_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedRows:
    """The rows of several pages.

    They have all changes up to ``version``, and some later ones. Each page is as of one
    moment, so that a key that is missing had no row at ``find_version(key)``.

    :param starts: first key of the range of each page
    :param versions: version of each page, ascending
    :param sent_s: time of the boot clock at which the first page was asked for
    :param age_s: how long before the call the rows were the store's; above 0 if a
        relay answered from its memory
    """

    rows: tuple[store.Row, ...]
    starts: tuple[str, ...]
    versions: tuple[int, ...]
    sent_s: float
    age_s: float

    @property
    def version(self) -> int:
        """Version up to which no change is missing: that of the first page."""
        return self.versions[0]

    @property
    def as_of_s(self) -> float:
        """Time of the boot clock up to which no change is missing."""
        return self.sent_s - self.age_s

    def find_version(self, key: str) -> int:
        """Return the version of the page whose range has a key."""
        return self.versions[max(0, bisect.bisect_right(self.starts, key) - 1)]


class FullRead:
    """A read of many pages that keeps its pages when one of them fails.

    :param start: first key
    :param end: key after the last one, empty for no bound
    :ivar failed: number of calls in a row that have failed
    """

    def __init__(
        self,
        rows: store.Store,
        table: str,
        partition: str,
        start: str = "",
        end: str = "",
    ) -> None:
        self.failed = 0
        self._pages = page_reader.PageReader(rows, table, partition, start, end)
        self._table = table
        self._rows: list[store.Row] = []
        self._starts: list[str] = []
        self._versions: list[int] = []
        self._bytes = 0
        self._age_s = 0.0

    @property
    def pages(self) -> int:
        """Number of pages read."""
        return self._pages.pages

    @property
    def has_begun(self) -> bool:
        """Whether pages have been read, and not all of them."""
        return self._pages.pages > 0 and not self._pages.is_complete

    @property
    def is_complete(self) -> bool:
        """Whether all pages have been read."""
        return self._pages.is_complete

    async def read_page(self) -> None:
        """Read the next page.

        :raises failures.StoreInconsistent: when the read can't be gone on with
        :raises failures.StoreFailure: when the page can't be read now
        """
        start = self._pages.start
        self.failed += 1
        page = await self._pages.read_next()
        self.failed = 0
        self._rows.extend(page.rows)
        self._starts.append(start)
        self._versions.append(page.version)
        self._bytes += sum(len(row.value or b"") for row in page.rows)
        self._age_s = max(self._age_s, page.age_s)
        if len(self._rows) > _MAX_ROWS or self._bytes > _MAX_BYTES:
            metrics.FULL_READS.labels(self._table, "too_large").inc()
            cause = f"{len(self._rows)} rows of {self._bytes} bytes"
            logs.limited_info(
                "store_read_inconsistent",
                table=self._table,
                page=self._pages.pages,
                cause=cause,
            )
            raise failures.StoreInconsistent("rows-get", cause)

    async def finish(self) -> JoinedRows:
        """Read the pages that are left and return the rows of all.

        :raises failures.StoreInconsistent: when the read can't be gone on with
        :raises failures.StoreFailure: when a page can't be read now
        """
        while not self.is_complete:
            await self.read_page()
        metrics.FULL_READS.labels(self._table, "complete").inc()
        return JoinedRows(
            tuple(self._rows),
            tuple(self._starts),
            tuple(self._versions),
            self._pages.sent_s,
            self._age_s,
        )


async def read_all(
    rows: store.Store, table: str, partition: str, start: str = "", end: str = ""
) -> JoinedRows:
    """Return the rows of a partition in ``[start, end)``, from all pages.

    :raises failures.StoreFailure: when a page can't be read
    """
    return await FullRead(rows, table, partition, start, end).finish()
