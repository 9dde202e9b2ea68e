"""Reading the plans anew when a decision needs them as of now."""

from __future__ import annotations

import asyncio
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import copy_age, failures, full_read, jobs, store
from endivevane.stream_versions import plan_table, rows

# Reads a second that all daemons together use at most, but for the first ones.
_MAX_READS_PER_S = 500.0
# Reads that a daemon which has read nothing for a while makes without waiting.
_FREE_READS = 8
# Nothing waits for the plans for this long after they could not be read.
_FAILING_S = 0.3
# After failures for this long, the store and several relays have been asked.
_CUT_OFF_S = 2.0
# Failures that are further apart than this are not of one outage: the process may have
# stood still between them. A read that no one answers takes 4.5 s.
_MAX_FAILURE_GAP_S = 8.0
# Failed reads are repeated after this time while the plans were asked for recently.
_REPEAT_S = 1.0
_ASKED_TTL_S = 30.0


class PlanReader:
    """Reads the plans from the store; those who ask at the same time share a read.

    :param count_daemons: returns how many daemons share the store
    """

    def __init__(
        self,
        row_store: store.Store,
        table: plan_table.PlanTable,
        count_daemons: abc.Callable[[], int],
    ) -> None:
        self._store = row_store
        self._table = table
        self._count_daemons = count_daemons
        self._reading: asyncio.Task[None] | None = None
        # Time of the boot clock until which the reads have used up this daemon's share.
        self._used_until_s = float("-inf")
        # First and last failure of those without a success between them.
        self._failing_since_s = float("-inf")
        self._failed_s = float("-inf")
        self._asked_s = float("-inf")
        self._repeat: asyncio.TimerHandle | None = None

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor a relay with it answers for long."""
        is_recent = copy_age.read_clock_s() - self._failed_s <= _MAX_FAILURE_GAP_S
        return is_recent and self._failed_s - self._failing_since_s >= _CUT_OFF_S

    def start(self) -> None:
        """Begin to read the plans, unless that has just failed."""
        self._asked_s = copy_age.read_clock_s()
        self._start_unless_failing()

    async def confirm(self, moment_s: float, wait_s: float) -> bool:
        """Bring the plans up to a moment; return whether they are as of it.

        :param moment_s: time of the boot clock
        :param wait_s: how long to wait for the store
        """
        try:
            async with asyncio.timeout(wait_s):
                while not self._table.is_as_of(moment_s):
                    self.start()
                    if self._reading is None:
                        break
                    # Whoever waits may leave; the read goes on for the others.
                    await asyncio.shield(self._reading)
        except TimeoutError:
            # The read goes on; its result counts for those who ask later.
            pass
        is_confirmed = self._table.is_as_of(moment_s)
        outcome = "confirmed" if is_confirmed else "failed"
        metrics.PLAN_CONFIRMATIONS.labels(outcome).inc()
        return is_confirmed

    async def load(self) -> bool:
        """Read all plans; return whether the store, and no relay's memory, answered.

        :raises failures.StoreFailure: when neither the store nor a relay answers
        """
        page = await full_read.read_all(
            self._store,
            jobs.STATE_TABLE,
            jobs.PARTITION,
            rows.PLAN_PREFIX,
            rows.PLAN_END,
        )
        self._apply(page.rows, page.as_of_s)
        self._table.is_loaded = True
        return not page.age_s

    async def _read_once(self) -> None:
        """Read the plans, at the interval that the number of daemons allows."""
        try:
            await self._wait_for_turn()
            sent_s = copy_age.read_clock_s()
            page = await self._store.read_newest(
                jobs.STATE_TABLE, jobs.PARTITION, rows.PLAN_PREFIX, rows.PLAN_END
            )
            if not page.has_more:
                self._apply(page.rows, sent_s)
            elif not await self.load():
                self._record_failure()
                return
            self._failed_s = float("-inf")
        except failures.StoreFailure as error:
            logs.limited_info("version_plans_not_read", cause=error)
            self._record_failure()
        finally:
            self._reading = None

    async def _wait_for_turn(self) -> None:
        interval_s = self._count_daemons() / _MAX_READS_PER_S
        now_s = copy_age.read_clock_s()
        self._used_until_s = max(now_s, self._used_until_s) + interval_s
        await asyncio.sleep(self._used_until_s - _FREE_READS * interval_s - now_s)

    def _apply(self, found: abc.Iterable[store.Row], as_of_s: float) -> None:
        for row in found:
            self._table.apply_row(row)
        self._table.age.confirm(as_of_s)

    def _record_failure(self) -> None:
        now_s = copy_age.read_clock_s()
        if now_s - self._failed_s > _MAX_FAILURE_GAP_S:
            self._failing_since_s = now_s
        self._failed_s = now_s
        if now_s - self._asked_s <= _ASKED_TTL_S:
            # So that an outage is known when a stream is asked for next.
            if self._repeat is not None:
                self._repeat.cancel()
            loop = asyncio.get_running_loop()
            self._repeat = loop.call_later(_REPEAT_S, self._start_unless_failing)

    def _start_unless_failing(self) -> None:
        if self._reading is None and not self._is_failing():
            self._reading = asyncio.ensure_future(self._read_once())

    def _is_failing(self) -> bool:
        return copy_age.read_clock_s() - self._failed_s < _FAILING_S
