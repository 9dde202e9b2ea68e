"""A store whose reads have many pages, and a copy that a daemon keeps of one table."""

import asyncio
import selectors

from endivevane import logs
from endivevane.serving import failures, follower, store
from features.support import serving_fakes

TABLE = "state"
PAGE_ROWS = 4
# Latency of each call, in seconds of the loop's clock.
LATENCY_S = 0.01
# In this time a copy reads all pages several times.
SETTLE_S = 5.0


class _ClockSelector(selectors.DefaultSelector):
    """Waits for nothing: the clock moves on by the time that a wait would take."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += max(0.0, timeout or 0.0)
        return super().select(0)


def run(coroutine):
    """Run a coroutine on a loop whose clock leaps from one timer to the next."""
    selector = _ClockSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


def make_key(key):
    return store.RowKey(TABLE, "", key)


class PagedStore(serving_fakes.FakeStore):
    """Gives pages of a few rows, and a history that may be dropped.

    :ivar before_page: called before each page with its number in the read, from 0
    :ivar after_read: called after the last page of each read
    :ivar answer_page: changes a page before it is returned
    :ivar calls: name and first key of each call
    """

    def __init__(self):
        super().__init__()
        self.before_page = lambda number: None
        self.after_read = lambda: None
        self.answer_page = lambda number, page: page
        self.calls = []
        self.horizon = 0
        self.page_rows = PAGE_ROWS
        self.latency_s = LATENCY_S
        self._log = []
        self._page = 0

    def put(self, key, value):
        super().put(key, value)
        self._log.append(store.Row(key, value, self.version))

    def remove(self, key):
        if key in self.rows:
            self.version += 1
            del self.rows[key]
            self._log.append(store.Row(key, None, self.version))

    def drop_history(self):
        self.horizon = self.version

    def find_changed(self, key):
        """Return the version of the last change of a row, 0 if there is none."""
        return max((row.version for row in self._log if row.row_key == key), default=0)

    async def read_rows(self, table, partition, start="", end=""):
        self.calls.append(("rows-get", start))
        await asyncio.sleep(self.latency_s)
        self._page = 0 if not start else self._page
        self.before_page(self._page)
        whole = await super().read_rows(table, partition, start, end)
        rows = whole.rows[: self.page_rows]
        page = store.RowPage(rows, whole.version, len(whole.rows) > len(rows))
        page = self.answer_page(self._page, page)
        self._page += 1
        if not page.has_more:
            self.after_read()
        return page

    async def wait_for_changes(self, table, after_version, wait_s):
        self.calls.append(("rows-feed", ""))
        await asyncio.sleep(self.latency_s)
        if after_version < self.horizon:
            raise failures.StoreHistoryGone("rows-feed", "gone")
        changed = [row for row in self._log if row.version > after_version]
        newest = {row.row_key: row for row in changed}
        rows = sorted(newest.values(), key=lambda row: row.version)
        return store.RowPage(tuple(rows), self.version)

    def _apply(self, change):
        result = super()._apply(change)
        if isinstance(result, store.Applied):
            for key, value in change.puts:
                self._log.append(store.Row(key, value, result.version))
        return result


class Copy:
    """A daemon's copy of the table, checked after each full read and each change.

    :ivar reported: rows that were reported, deletions included
    :ivar missing: changes up to the version of the copy that it did not have
    :ivar events: logged events
    :ivar first_age_s: age of the copy when it had been loaded
    """

    def __init__(self, row_store):
        self.store = row_store
        self.reported = []
        self.missing = []
        self.events = []
        self.loads = 0
        self.first_age_s = None
        self.follower = follower.TableFollower(
            row_store, TABLE, "", self.reported.append, on_loaded=self._on_loaded
        )
        logs.add_observer(self._observe)

    def _observe(self, event, fields):
        if fields.get("table") == TABLE:
            self.events.append(event)

    def _on_loaded(self):
        if not self.loads:
            self.first_age_s = self.follower.age.measure_s()
        self.loads += 1
        self.check()

    def check(self):
        """Note the rows that are not as of the version that the copy claims."""
        known = set(self.follower.rows)
        for key in known | {key.key for key in self.store.rows}:
            row_key = make_key(key)
            if self.store.find_changed(row_key) > self.follower.version:
                continue
            value, _ = self.store.rows.get(row_key, (None, 0))
            row = self.follower.rows.get(key)
            if (None if row is None else row.value) != value:
                self.missing.append((key, self.follower.version))

    def is_equal(self):
        stored = {
            key.key: (value, version)
            for key, (value, version) in self.store.rows.items()
        }
        return stored == {
            key: (row.value, row.version) for key, row in self.follower.rows.items()
        }

    async def follow(self, during_s):
        """Follow the table for a time."""
        task = asyncio.ensure_future(self.follower.run())
        await asyncio.sleep(during_s)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def fill(row_store, count=12):
    for number in range(count):
        row_store.put(make_key(f"row/{number:05}"), b"first")


def once_between(change):
    """Return a callback that makes a change before the second page, once."""
    left = [change]

    def before_page(number):
        if number == 1 and left:
            left.pop()()

    return before_page
