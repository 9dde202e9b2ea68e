"""Reading the plans anew when a decision needs them as of now."""

from __future__ import annotations

import asyncio
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import copy_age, failures, jobs, store
from endivevane.stream_versions import plan_table, rows

# Reads a second that all daemons together use at most.
_MAX_READS_PER_S = 500.0
# Nothing waits for the plans for this long after they could not be read.
_FAILING_S = 0.3


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
        self._read_s = float("-inf")
        self._failed_s = float("-inf")

    async def confirm(self, moment_s: float, wait_s: float) -> bool:
        """Bring the plans up to a moment; return whether they are as of it.

        :param moment_s: time of the boot clock
        :param wait_s: how long to wait for the store
        """
        try:
            async with asyncio.timeout(wait_s):
                while not self._table.is_as_of(moment_s):
                    if time.monotonic() - self._failed_s < _FAILING_S:
                        break
                    if self._reading is None:
                        self._reading = asyncio.ensure_future(self._read_once())
                    # Whoever waits may leave; the read goes on for the others.
                    await asyncio.shield(self._reading)
        except TimeoutError:
            # The read goes on; its result counts for those who ask later.
            pass
        is_confirmed = self._table.is_as_of(moment_s)
        outcome = "confirmed" if is_confirmed else "failed"
        metrics.PLAN_CONFIRMATIONS.labels(outcome).inc()
        return is_confirmed

    async def read(self) -> bool:
        """Read all plans; return whether the store, and no relay's memory, answered.

        :raises failures.StoreFailure: when neither the store nor a relay answers
        """
        sent_s = copy_age.read_clock_s()
        page = await self._store.read_rows(
            jobs.STATE_TABLE, jobs.PARTITION, rows.PLAN_PREFIX, rows.PLAN_END
        )
        for row in page.rows:
            self._table.apply_row(row)
        self._table.is_loaded = True
        self._table.age.confirm(sent_s - page.age_s)
        return not page.age_s

    async def _read_once(self) -> None:
        """Read the plans, at the interval that the number of daemons allows."""
        try:
            interval_s = self._count_daemons() / _MAX_READS_PER_S
            await asyncio.sleep(self._read_s + interval_s - time.monotonic())
            self._read_s = time.monotonic()
            if not await self.read():
                self._failed_s = time.monotonic()
        except failures.StoreFailure as error:
            logs.limited_info("version_plans_not_read", cause=error)
            self._failed_s = time.monotonic()
        finally:
            self._reading = None
