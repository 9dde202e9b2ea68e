"""How many batch items a target can take without harm to online requests."""

from __future__ import annotations

import collections
from collections import abc

from endivevane.batch import ports
from endivevane.configuration import snapshot
from endivevane.coordination import rendezvous
from endivevane.external import engine

# Without a recent report the online load is unknown, and batch must not guess.
MAX_REPORT_AGE_MS = 5_000
# Wall clocks of engine and daemon may differ by this much under NTP.
_SKEW_MS = 250
_HISTORY_MS = 2 * MAX_REPORT_AGE_MS
# Long enough for the online requests behind a yield request to show in a report.
HOLD_S = 2.0


class OwnUse:
    """How many own items were in flight at one target over the last seconds."""

    def __init__(self) -> None:
        self._steps: collections.deque[tuple[int, int]] = collections.deque([(0, 0)])

    @property
    def count(self) -> int:
        """Own items in flight now."""
        return self._steps[-1][1]

    def change(self, now_ms: int, difference: int) -> None:
        """Note that items have started (positive) or ended (negative)."""
        self._steps.append((now_ms, self.count + difference))
        while len(self._steps) > 1 and self._steps[1][0] < now_ms - _HISTORY_MS:
            self._steps.popleft()

    def count_at(self, at_ms: int) -> int:
        """Return the count at a moment of the last seconds."""
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
    """Online requests at one target, as the daemons that send them say.

    A daemon tells its count while the target is nearly full. A report of the engine
    that is older than a count is corrected by what has changed since.
    """

    def __init__(self) -> None:
        self._steps: dict[str, collections.deque[tuple[int, int]]] = {}

    def note(self, daemon: str, in_flight: int, now_ms: int) -> None:
        """Take in the count of one daemon."""
        steps = self._steps.setdefault(daemon, collections.deque())
        steps.append((now_ms, in_flight))
        while len(steps) > 1 and steps[1][0] < now_ms - _HISTORY_MS:
            steps.popleft()

    def compute(self, now_ms: int, as_of_ms: int, reported: int) -> int:
        """Return the online requests now.

        :param as_of_ms: time of the engine's report
        :param reported: online requests in the report, those of silent daemons included
        """
        # A count that has not changed for this long is part of each later report.
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
    """Return the count at a moment; before the first step it is that of the first.

    What a daemon had before its first notice is in the report already.
    """
    found = steps[0][1]
    for step_ms, count in steps:
        if step_ms > at_ms:
            break
        found = count
    return found


class Hold:
    """Slots that batch leaves free for a while after a yield request."""

    def __init__(self) -> None:
        self._holds: list[tuple[float, int]] = []

    def add(self, now_s: float, slots: int) -> None:
        """Leave a number of further slots free for :data:`HOLD_S`."""
        self._holds.append((now_s + HOLD_S, slots))

    def count(self, now_s: float) -> int:
        """Return the slots to leave free now."""
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
    """Return how many more batch items a target may run now; below 0, too many run.

    The report counts own items as well as others' requests, as they were at
    ``as_of_s``. What was not ours then is taken as the online load and corrected by
    what the daemons have told since; own items are known exactly.

    :param report: last load report; ``None`` when there is none
    :param reserve_slots: slots that batch always leaves free
    :param online: what other daemons have told of their requests
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
    """Tell whether a report certainly shows a target after a moment."""
    return report is not None and int(report.as_of_s * 1000) > at_ms + _SKEW_MS


def choose_sender(
    target: snapshot.Target, members: abc.Sequence[ports.Member]
) -> str | None:
    """Return the daemon that alone sends batch items to a target.

    Daemons of the target's region go first: batch should not fill the link between
    the regions. While members change, two daemons may take themselves for the sender;
    the reports keep their sum within bounds after one report interval.
    """
    near = [item for item in members if item.region == target.region]
    weights = {item.name: 1.0 for item in near or members}
    return rendezvous.choose_member(f"batch-sender/{target.name}", weights)


def choose_victims(running: abc.Sequence[tuple[float, str]], count: int) -> list[str]:
    """Return the attempts to cancel when slots are taken back, youngest first.

    The youngest have the least work to lose.

    :param running: start time and identifier of each attempt
    """
    youngest = sorted(running, reverse=True)
    return [attempt_id for _, attempt_id in youngest[:count]]
