"""Daemons of one process, one of which is out of step with the store for a while."""

import asyncio
import dataclasses
import time
from unittest import mock

from endivevane.serving import copy_age, failures, jobs, peer_registry, store
from endivevane.stream_versions import rows

# A call to a store that is silent is given up after this time.
_CALL_TIMEOUT_S = 0.5
_HEARTBEAT_S = 0.2


class StoreView:
    """The store as one daemon reaches it.

    :ivar manner: ``"sound"``; ``"refuses"``; ``"silent"``: calls time out; ``"held"``:
        answers wait unread until the daemon goes on; ``"relay"``: only a relay that has
        lost the store answers, from its memory; ``"garbled"``: plans can't be read
    """

    def __init__(self, row_store):
        self._store = row_store
        self.manner = "sound"
        self.reads = 0
        self._is_back = asyncio.Event()
        self._memory = []
        self._lost_s = 0.0

    def lose(self, manner):
        loop = asyncio.get_running_loop()
        self.manner, self._lost_s = manner, loop.time()
        self._is_back.clear()
        self._memory = [
            store.Row(key, value, version)
            for key, (value, version) in self._store.rows.items()
        ]
        self._version = self._store.version

    def regain(self):
        self.manner = "sound"
        self._is_back.set()

    async def read_rows(self, table, partition, start="", end=""):
        self.reads += 1
        if self.manner == "relay":
            return self._read_memory(table, partition, start, end)
        page = await self._store.read_rows(table, partition, start, end)
        await self._answer("read_rows")
        return self._garble(page)

    async def read_newest(self, table, partition, start, end):
        if self.manner == "relay":
            raise failures.StoreRefused("read_newest", "a relay without the store")
        return await self.read_rows(table, partition, start, end)

    async def wait_for_changes(self, table, after_version, wait_s):
        page = await self._store.wait_for_changes(table, after_version, wait_s)
        await self._answer("wait_for_changes")
        return self._garble(page)

    async def apply(self, change):
        await self._answer("apply")
        return await self._store.apply(change)

    async def _answer(self, call):
        """Let an answer reach the daemon, or not, as the manner is."""
        if self.manner in ("sound", "garbled"):
            return
        if self.manner == "held":
            await self._is_back.wait()
            return
        if self.manner == "silent":
            await asyncio.sleep(_CALL_TIMEOUT_S)
            raise failures.StoreUncertain(call, "TimeoutError")
        raise failures.StoreRefused(call, "status 503")

    def _garble(self, page):
        if self.manner != "garbled":
            return page
        found = tuple(dataclasses.replace(row, value=b"{}") for row in page.rows)
        return dataclasses.replace(page, rows=found)

    def _read_memory(self, table, partition, start, end):
        found = tuple(
            row
            for row in self._memory
            if (row.row_key.table, row.row_key.partition) == (table, partition)
            and start <= row.row_key.key
            and (not end or row.row_key.key < end)
        )
        age_s = asyncio.get_running_loop().time() - self._lost_s
        return store.RowPage(found, self._version, age_s=age_s)


@dataclasses.dataclass
class Trial:
    """Two daemons; the second one has its own view of the store."""

    first: object
    second: object
    view: StoreView

    def register_at_second(self, target, version):
        """Let the second daemon know a target, as its targets' feed would."""
        self.second.register(target, version)


async def start(fleet):
    """Start two daemons, the second one with a view of the store of its own."""
    first = await fleet.start_daemon()
    view = StoreView(fleet.row_store)
    second = await fleet.start_daemon(view)
    return Trial(first, second, view)


def count_plan_writes(row_store):
    """Return how many times a plan was written."""
    key = rows.make_plan_key("lm")
    assert key.table == jobs.STATE_TABLE
    return sum(1 for written, _ in row_store.writes if written == key)


def shift_boot_clock(by_s):
    """Return a patch with which the boot clock is some seconds later."""
    real = copy_age.read_clock_s
    return mock.patch.object(copy_age, "read_clock_s", lambda: real() + by_s)


async def let_others_be_heard(daemon, total, heard):
    """Let a daemon know others, and hear some of them until cancelled."""
    others = [
        peer_registry.Peer(f"other-{number}", "near", "127.0.0.1", 1, "run1")
        for number in range(total)
    ]
    for other in others:
        daemon.peers.add(other)
    while True:
        for other in others[:heard]:
            seen = dataclasses.replace(other, last_seen_s=time.monotonic())
            daemon.peers.record_heartbeat(seen)
        await asyncio.sleep(_HEARTBEAT_S)
