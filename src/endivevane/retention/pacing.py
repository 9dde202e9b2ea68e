"""Bounds on the calls that retention makes to the table service and object store."""

from __future__ import annotations

import enum
from collections import abc

from endivevane import exceptions
from endivevane.coordination import clock


class Kind(enum.StrEnum):
    """What a budget counts."""

    ROWS_READ = "rows_read"
    ROWS_WRITTEN = "rows_written"
    OBJECT_CALLS = "object_calls"


# Of the whole fleet; estimates for 81,000 jobs a day with 46 chunks each: 50 row writes
# and 90 object calls a second, and 250 rows read a second with a daily sweep and 20,000
# open jobs. The store allows 300 row writes and 2,000 reads a second.
FLEET_BUDGET_PER_S: abc.Mapping[Kind, float] = {
    Kind.ROWS_READ: 400.0,
    Kind.ROWS_WRITTEN: 80.0,
    Kind.OBJECT_CALLS: 150.0,
}


class SweepStopped(exceptions.EndivevaneError):
    """The daemon is stopping."""

    def format_message(self) -> str:
        """Return what happened."""
        return "the daemon is stopping"


class Pacer:
    """Delays calls so that all daemons together keep to the budget.

    Without bursts: each call moves the time of the next one of its kind.

    :param count_daemons: returns the live daemons, which share the budget equally
    :param wait: waits for seconds and returns whether the daemon is stopping
    """

    def __init__(
        self,
        pacer_clock: clock.Clock,
        count_daemons: abc.Callable[[], int],
        wait: abc.Callable[[float], bool],
        budget_per_s: abc.Mapping[Kind, float] = FLEET_BUDGET_PER_S,
    ) -> None:
        self._clock = pacer_clock
        self._count_daemons = count_daemons
        self._wait = wait
        self._budget_per_s = budget_per_s
        self._free_at_s: dict[Kind, float] = {}

    def take(self, kind: Kind, count: int) -> None:
        """Wait until calls may be made, and count them.

        :raises SweepStopped: when the daemon is stopping
        """
        now_s = self._clock.monotonic_s()
        start_s = max(now_s, self._free_at_s.get(kind, now_s))
        rate_per_s = self._budget_per_s[kind] / max(1, self._count_daemons())
        self._free_at_s[kind] = start_s + count / rate_per_s
        if self._wait(start_s - now_s):
            raise SweepStopped
