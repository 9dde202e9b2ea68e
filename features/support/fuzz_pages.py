"""Fuzzing of a copy whose table changes between the pages of its reads.

Changes of rows, losses of history and failures are drawn for each call to the store.
After the last of them the store is sound, and the copy must become the store's rows.
"""

import contextlib
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane.serving import failures, full_read, store
from features.support import paged_store

_ROWS = 10
# In this time of the loop's clock the copy has read all its pages several times.
_SETTLE_S = 20.0
_CHANGE = st.tuples(
    st.sampled_from(["put", "delete", "own", "drop"]), st.integers(0, _ROWS - 1)
)
_CALLS = st.lists(
    st.tuples(st.lists(_CHANGE, max_size=3), st.sampled_from([None, None, "fail"])),
    min_size=1,
    max_size=12,
)


class PagesMachine(stateful.RuleBasedStateMachine):
    """Follows a table; each rule is a run of calls with changes between them."""

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.store = paged_store.PagedStore()
        self.store.page_rows = 3
        paged_store.fill(self.store, 7)
        self.copy = paged_store.Copy(self.store)
        self._left = []
        self._number = 0
        self.store.before_page = lambda number: self._meet_call()
        poll = self.store.wait_for_changes

        async def wait_for_changes(*arguments):
            self._meet_call()
            return await poll(*arguments)

        self.store.wait_for_changes = wait_for_changes

    @stateful.rule(calls=_CALLS)
    def follow(self, calls):
        type(self).steps_run += 1
        self._left = list(calls)
        with self.breaking():
            paged_store.run(self.copy.follow(_SETTLE_S))
        self.copy.check()
        assert not self._left, "the calls have not been made"
        assert not self.copy.missing, self.copy.missing
        assert self.copy.is_equal(), "the copy is not the store's"

    def breaking(self):
        """Return what a broken variant changes."""
        return contextlib.nullcontext()

    def _meet_call(self):
        if not self._left:
            return
        changes, fault = self._left.pop(0)
        for kind, number in changes:
            self._change(kind, paged_store.make_key(f"row/{number:05}"))
        if fault:
            raise failures.StoreUncertain("call", "no answer")

    def _change(self, kind, key):
        self._number += 1
        if kind in ("put", "own"):
            self.store.put(key, str(self._number).encode())
        if kind == "own":
            value, version = self.store.rows[key]
            self.copy.follower.apply_row(store.Row(key, value, version))
        if kind == "delete":
            self.store.remove(key)
        if kind == "drop":
            self.store.drop_history()


class LastVersionMachine(PagesMachine):
    """Faulty on purpose: takes the version of the last page for that of all rows."""

    def breaking(self):
        last = property(lambda rows: rows.versions[-1])
        return mock.patch.object(full_read.JoinedRows, "version", last)


class HastyDeletionMachine(PagesMachine):
    """Faulty on purpose: takes rows for deleted at the version of the last page."""

    def breaking(self):
        return mock.patch.object(
            full_read.JoinedRows, "find_version", lambda rows, key: rows.versions[-1]
        )
