"""Rate limits for the retention calls to the table service and the object store."""

from __future__ import annotations

import enum
from collections import abc

from endivevane import exceptions
from endivevane.coordination import clock


class BudgetKind(enum.StrEnum):
    """Calls and rows that have a rate limit of their own."""

    ROWS_READ = "rows_read"
    ROWS_WRITTEN = "rows_written"
    OBJECT_CALLS = "object_calls"


# Limits of the whole fleet. The estimated load for 81,000 jobs a day with 46 chunks
# each is 50 row writes and 90 object calls a second, and 250 rows read a second with a
# daily sweep and 20,000 open jobs. The store allows 300 row writes and 2,000 reads a
# second.
FLEET_BUDGET_PER_S: abc.Mapping[BudgetKind, float] = {
    BudgetKind.ROWS_READ: 400.0,
    BudgetKind.ROWS_WRITTEN: 80.0,
    BudgetKind.OBJECT_CALLS: 150.0,
}


class SweepStopped(exceptions.EndivevaneError):
    """The daemon is stopping."""

    def format_message(self) -> str:
        """Return the message."""
        return "the daemon is stopping"


class Pacer:
    """Rate limiter that keeps all daemons together within the fleet's budget.

    It allows no bursts: each call defers the next one of its kind.

    :param count_daemons: returns the number of daemons alive, which share the budget
        equally
    :param wait: waits for seconds and returns whether the daemon is stopping
    """

    def __init__(
        self,
        pacer_clock: clock.Clock,
        count_daemons: abc.Callable[[], int],
        wait: abc.Callable[[float], bool],
        budget_per_s: abc.Mapping[BudgetKind, float] = FLEET_BUDGET_PER_S,
    ) -> None:
        self._clock = pacer_clock
        self._count_daemons = count_daemons
        self._wait = wait
        self._budget_per_s = budget_per_s
        self._next_start_s: dict[BudgetKind, float] = {}

    def acquire(self, kind: BudgetKind, count: int) -> None:
        """Wait until the calls may be made, and deduct them from the budget.

        :raises SweepStopped: when the daemon is stopping
        """
        now_s = self._clock.monotonic_s()
        start_s = max(now_s, self._next_start_s.get(kind, now_s))
        rate_per_s = self._budget_per_s[kind] / max(1, self._count_daemons())
        self._next_start_s[kind] = start_s + count / rate_per_s
        if self._wait(start_s - now_s):
            raise SweepStopped
