"""Daemons of one process, one of which is out of step with the store for a while."""

import asyncio
import dataclasses

from endivevane.serving import failures, jobs, store
from endivevane.stream_versions import rows

# A call to a store that is silent is given up after this time.
_CALL_TIMEOUT_S = 0.5


class StoreView:
    """The store as one daemon reaches it.

    :ivar manner: ``"sound"``; ``"refuses"``; ``"silent"``: calls time out; ``"held"``:
        answers wait unread until the daemon goes on; ``"relay"``: only a relay that has
        lost the store answers, from its memory
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
        return page

    async def wait_for_changes(self, table, after_version, wait_s):
        page = await self._store.wait_for_changes(table, after_version, wait_s)
        await self._answer("wait_for_changes")
        return page

    async def apply(self, change):
        await self._answer("apply")
        return await self._store.apply(change)

    async def _answer(self, call):
        """Let an answer reach the daemon, or not, as the manner is."""
        if self.manner == "sound":
            return
        if self.manner == "held":
            await self._is_back.wait()
            return
        if self.manner == "silent":
            await asyncio.sleep(_CALL_TIMEOUT_S)
            raise failures.StoreUncertain(call, "TimeoutError")
        raise failures.StoreRefused(call, "status 503")

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
