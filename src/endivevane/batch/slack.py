"""How many batch items a target can take without harm to online requests."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from endivevane.batch import ports
from endivevane.configuration import snapshot
from endivevane.coordination import rendezvous
from endivevane.platform import engine

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
    now_ms: int,
    held_slots: int,
) -> int:
    """Return how many more batch items a target may run now.

    The report counts own items as well as others' requests, as they were at
    ``as_of_s``. What was not ours then is taken as the online load; own items are
    known exactly. The smallest own count around that time is used, so that clock
    skew makes the estimate of the online load too high rather than too low.

    :param report: last load report; ``None`` when there is none
    :param reserve_slots: slots that batch always leaves free
    :param held_slots: slots left free after yield requests
    """
    if report is None:
        return 0
    as_of_ms = int(report.as_of_s * 1000)
    if now_ms - as_of_ms > MAX_REPORT_AGE_MS:
        return 0
    own_then = use.min_between(as_of_ms - _SKEW_MS, as_of_ms + _SKEW_MS)
    others = max(0, report.running + report.waiting - own_then)
    room = report.slots - reserve_slots - held_slots - others - use.count
    return max(0, room)


def is_reported_after(report: engine.LoadReport | None, at_ms: int) -> bool:
    """Tell whether a report certainly shows a target after a moment."""
    return report is not None and int(report.as_of_s * 1000) > at_ms + _SKEW_MS


def choose_sender(
    target: snapshot.Target, members: Sequence[ports.Member]
) -> str | None:
    """Return the daemon that alone sends batch items to a target.

    Daemons of the target's region go first: batch should not fill the link between
    the regions. While members change, two daemons may take themselves for the sender;
    the reports keep their sum within bounds after one report interval.
    """
    near = [item for item in members if item.region == target.region]
    weights = {item.name: 1.0 for item in near or members}
    return rendezvous.choose_member(f"batch-sender/{target.name}", weights)


def choose_victims(running: Sequence[tuple[float, str]], count: int) -> list[str]:
    """Return the attempts to cancel when slots are taken back, youngest first.

    The youngest have the least work to lose.

    :param running: start time and identifier of each attempt
    """
    youngest = sorted(running, reverse=True)
    return [attempt_id for _, attempt_id in youngest[:count]]
