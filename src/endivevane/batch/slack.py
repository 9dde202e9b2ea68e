"""Capacity of targets for batch items beside online requests."""

from __future__ import annotations

import collections
from collections import abc

from endivevane.batch import ports
from endivevane.configuration import snapshot
from endivevane.coordination import rendezvous
from endivevane.external import engine

# Without a recent report the online load is unknown, so no batch items are sent.
MAX_REPORT_AGE_MS = 5_000
# Wall clocks of engine and daemon may differ this much under NTP.
_MAX_CLOCK_SKEW_MS = 250
_HISTORY_MS = 2 * MAX_REPORT_AGE_MS
# Long enough for a report to include the online requests that a yield request is for.
HOLD_S = 2.0


class OwnUse:
    """History of this daemon's items in flight at one target, for a few seconds."""

    def __init__(self) -> None:
        self._steps: collections.deque[tuple[int, int]] = collections.deque([(0, 0)])

    @property
    def count(self) -> int:
        """Current number of own items in flight."""
        return self._steps[-1][1]

    def change(self, now_ms: int, difference: int) -> None:
        """Record that items have started (positive) or ended (negative)."""
        self._steps.append((now_ms, self.count + difference))
        while len(self._steps) > 1 and self._steps[1][0] < now_ms - _HISTORY_MS:
            self._steps.popleft()

    def count_at(self, at_ms: int) -> int:
        """Return the count at a time within the history."""
        return self.min_between(at_ms, at_ms)

    def min_between(self, from_ms: int, to_ms: int) -> int:
        """Return the smallest count in an interval."""
        smallest: int | None = None
        before = 0
        for at_ms, count in self._steps:
            if at_ms <= from_ms:
                before = count
                continue
            if at_ms > to_ms:
                break
            smallest = count if smallest is None else min(smallest, count)
        return before if smallest is None else min(before, smallest)


class OnlineUse:
    """Online requests at one target, as reported by the daemons that send them.

    Daemons report their counts while the target is nearly full. An engine report that
    is older than a count is corrected by the change since.
    """

    def __init__(self) -> None:
        self._steps: dict[str, collections.deque[tuple[int, int]]] = {}

    def note(self, daemon: str, in_flight: int, now_ms: int) -> None:
        """Record the count of one daemon."""
        steps = self._steps.setdefault(daemon, collections.deque())
        steps.append((now_ms, in_flight))
        while len(steps) > 1 and steps[1][0] < now_ms - _HISTORY_MS:
            steps.popleft()

    def compute(self, now_ms: int, as_of_ms: int, reported: int) -> int:
        """Return the estimated number of online requests now.

        :param as_of_ms: time of the engine's report
        :param reported: online requests in the report, including those of daemons that
            have sent no count
        """
        # Engine reports already include a count that is unchanged for this long.
        for daemon in [
            name
            for name, steps in self._steps.items()
            if steps[-1][0] < now_ms - _HISTORY_MS
        ]:
            del self._steps[daemon]
        total = 0
        change = 0
        for steps in self._steps.values():
            total += steps[-1][1]
            change += steps[-1][1] - _find_count(steps, as_of_ms)
        return max(total, reported + change, 0)


def _find_count(steps: collections.deque[tuple[int, int]], at_ms: int) -> int:
    """Return the count at a time; before the first step, that of the first step.

    Requests that a daemon had before its first notice are already in the report.
    """
    found = steps[0][1]
    for step_ms, count in steps:
        if step_ms > at_ms:
            break
        found = count
    return found


class Hold:
    """Slots that batch work leaves free for a while after yield requests."""

    def __init__(self) -> None:
        self._holds: list[tuple[float, int]] = []

    def add(self, now_s: float, slots: int) -> None:
        """Leave more slots free for :data:`HOLD_S`."""
        self._holds.append((now_s + HOLD_S, slots))

    def count(self, now_s: float) -> int:
        """Return how many slots to leave free now."""
        self._holds = [item for item in self._holds if item[0] > now_s]
        return sum(slots for _, slots in self._holds)


def compute_room(
    report: engine.LoadReport | None,
    reserve_slots: int,
    use: OwnUse,
    online: OnlineUse,
    now_ms: int,
    held_slots: int,
) -> int:
    """Return how many more batch items a target may run; negative if too many run.

    The report counts own items and all other requests as of ``as_of_s``. The others
    are taken as the online load and corrected by the counts that daemons have sent
    since; the number of own items is exact.

    :param report: latest load report; ``None`` when there is none
    :param reserve_slots: slots that batch work always leaves free
    :param online: counts of online requests that daemons have sent
    :param held_slots: slots left free after yield requests
    """
    if report is None or report.role == "prefill":
        return -use.count
    as_of_ms = int(report.as_of_s * 1000)
    if now_ms - as_of_ms > MAX_REPORT_AGE_MS:
        return -use.count
    reported = report.running + report.waiting - use.count_at(as_of_ms)
    others = online.compute(now_ms, as_of_ms, max(0, reported))
    return report.slots - reserve_slots - held_slots - others - use.count


def is_reported_after(report: engine.LoadReport | None, at_ms: int) -> bool:
    """Tell whether a report is newer than a time by more than the clock skew."""
    return (
        report is not None and int(report.as_of_s * 1000) > at_ms + _MAX_CLOCK_SKEW_MS
    )


def choose_sender(
    target: snapshot.Target, members: abc.Sequence[ports.Member]
) -> str | None:
    """Return the only daemon that sends batch items to a target.

    Daemons in the target's region are preferred, so that batch traffic does not fill
    the link between regions. While the membership changes, two daemons may both act as
    the sender; load reports bound their sum after one report interval.
    """
    local = [item for item in members if item.region == target.region]
    weights = {item.name: 1.0 for item in local or members}
    return rendezvous.choose_member(f"batch-sender/{target.name}", weights)


def choose_victims(running: abc.Sequence[tuple[float, str]], count: int) -> list[str]:
    """Return the attempts to preempt, youngest first.

    The youngest attempts lose the least work.

    :param running: start time and identifier of each attempt
    """
    youngest = sorted(running, reverse=True)
    return [attempt_id for _, attempt_id in youngest[:count]]
