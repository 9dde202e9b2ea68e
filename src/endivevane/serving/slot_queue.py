"""The order in which requests get places on targets, and who is refused.

The queue is plain code on data with a clock passed in. A daemon runs it for its own
requests, and the coordinator of a region runs it for those of all daemons there.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections import abc

from endivevane.serving import load_table, model, target_selection

# Time that a request needs at a target at least; one with less left is refused.
_SHORTEST_RUN_S = 0.1
# Mean time from a place to the first event, until some have been seen.
_FIRST_START_S = 0.1
_START_WEIGHT = 0.1
# A request that needs this many times the usual time to its first event is late.
_START_MARGIN = 1.3
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 1.5
# Requests with limits of their own that find no place in one look, after which the
# others of their service are left for the next one.
_MOST_MISSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """What a request needs.

    :param objective_s: monotonic time until which the answer is on time
    :param deadline_s: monotonic time after which the answer is of no use
    :param may_retry: whether the client comes again after a refusal
    :param excluded: targets that it must not go to
    :param allowed: targets that it may go to, ``None`` for any
    :param avoided: targets that its daemon has seen fail a moment ago
    :param availability_zone: where its daemon stands, empty for this daemon's own
    :param request: the request's id, for the log
    """

    service: str
    priority: int
    objective_s: float
    deadline_s: float
    may_retry: bool = False
    excluded: frozenset[str] = frozenset()
    allowed: frozenset[str] | None = None
    avoided: frozenset[str] = frozenset()
    availability_zone: str = ""
    request: str = ""

    @property
    def is_limited(self) -> bool:
        """Whether it may find no place where another request finds one."""
        return bool(self.excluded or self.avoided) or self.allowed is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A request gets a place."""

    target: model.Target


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request gets no place.

    :param retry_after_s: when its client finds room best
    :param coordinator: daemon that decided so, empty if this one did
    """

    retry_after_s: float
    coordinator: str = ""


Verdict = Granted | Refused
Settle = abc.Callable[[Verdict], None]


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a place.

    :param settle: called once with the verdict; it counts the place
    """

    wish: SlotRequest
    number: int
    settle: Settle
    is_settled: bool = False

    def order(self, now_s: float, start_s: float) -> tuple[bool, int, float, int]:
        """Return the place in the queue: what can be on time, the urgent, the old.

        :param start_s: time from a place to the first event
        """
        is_late = now_s + start_s > self.wish.objective_s
        return (is_late, self.wish.priority, self.wish.objective_s, self.number)


class SlotQueue:
    """Gives places to requests in order, and keeps those waiting that find none."""

    def __init__(
        self,
        choices: target_selection.TargetSelector,
        board: load_table.LoadTable,
        generator: random.Random,
    ) -> None:
        self._choices = choices
        self._board = board
        self._generator = generator
        self._waiters: list[Waiter] = []
        self._start_s: dict[str, float] = {}
        self._tickets = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiters)

    def ask(self, wish: SlotRequest, settle: Settle, now_s: float) -> Waiter | None:
        """Settle a request at once, or keep it waiting.

        :returns: ``None`` when it was settled
        """
        verdict = self._decide(wish, now_s)
        if verdict is not None:
            settle(verdict)
            return None
        waiter = Waiter(wish, next(self._tickets), settle)
        self._waiters.append(waiter)
        self._count_waiting(now_s)
        return waiter

    def withdraw(self, waiter: Waiter, now_s: float) -> None:
        """Forget a request that waits no longer."""
        waiter.is_settled = True
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._count_waiting(now_s)

    def pump(self, now_s: float) -> None:
        """Give free places to those who wait, and give up on the hopeless."""
        if not self._waiters:
            return
        misses: collections.Counter[str] = collections.Counter()
        for waiter in self._list_ordered(now_s):
            if waiter.is_settled:
                continue
            wish = waiter.wish
            if wish.deadline_s - now_s < _SHORTEST_RUN_S:
                self._settle(waiter, self._refuse(wish.service))
                continue
            if misses[wish.service] >= _MOST_MISSES:
                continue
            target = self._choose(wish, now_s)
            if target is None:
                misses[wish.service] += 1 if wish.is_limited else _MOST_MISSES
                continue
            self._settle(waiter, Granted(target))
        self._waiters = [item for item in self._waiters if not item.is_settled]
        self._count_waiting(now_s)

    def record_hold(self, service: str, hold_s: float) -> None:
        """Note how long a request held its place."""
        self._choices.record_hold(service, hold_s)

    def record_first_event(self, service: str, start_s: float) -> None:
        """Note the time from a place to the first event."""
        mean_s = self._start_s.get(service, _FIRST_START_S)
        self._start_s[service] = mean_s + _START_WEIGHT * (start_s - mean_s)

    def get_mean_first_event_s(self, service: str) -> float:
        """Return the mean time from a place to the first event."""
        return self._start_s.get(service, _FIRST_START_S)

    def estimate_wait_s(self, service: str) -> float:
        """Return how long one more request that can be on time waits for a place."""
        slots = self._choices.count_slots(service)
        if not slots:
            return _LONGEST_RETRY_S
        ahead = self._board.count_waiting_requests(service)
        return (ahead + 1) * self._choices.find_hold_s(service) / slots

    def retry_after_s(self, service: str) -> float:
        """Return when a refused client finds room best, spread over a while."""
        wait_s = self.estimate_wait_s(service)
        wait_s = min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, wait_s))
        return wait_s * (0.75 + 0.5 * self._generator.random())

    def describe_load(self, service: str) -> dict[str, object]:
        """Return what a refusal for lack of a place was decided on, for the log."""
        return {
            "slots": self._choices.count_slots(service),
            "running": self._choices.count_running(service),
            "waiting": self._board.count_waiting_requests(service),
            "wait_ms": int(self.estimate_wait_s(service) * 1000),
            "load_age_ms": int(self._board.same_region_age_s * 1000),
        }

    def _decide(self, wish: SlotRequest, now_s: float) -> Verdict | None:
        """Return the verdict on a new request, ``None`` if it has to wait."""
        if wish.deadline_s - now_s < _SHORTEST_RUN_S:
            return self._refuse(wish.service)
        if not self._has_rivals(wish, now_s):
            target = self._choose(wish, now_s)
            if target is not None:
                return Granted(target)
        if not self._choices.has_targets(wish.service, now_s):
            return self._refuse(wish.service)
        if self._should_refuse(wish, now_s):
            return self._refuse(wish.service)
        return None

    def _settle(self, waiter: Waiter, verdict: Verdict) -> None:
        waiter.is_settled = True
        waiter.settle(verdict)

    def _refuse(self, service: str) -> Refused:
        return Refused(self.retry_after_s(service))

    def _list_ordered(self, now_s: float) -> list[Waiter]:
        """Return those who wait, in the order in which they get places."""
        return sorted(
            self._waiters,
            key=lambda item: item.order(now_s, self._find_start_s(item.wish.service)),
        )

    def _count_waiting(self, now_s: float) -> None:
        """Tell the others of the requests that wait here and can be on time."""
        self._board.set_waiting_requests(
            collections.Counter(
                item.wish.service
                for item in self._waiters
                if not item.order(now_s, self._find_start_s(item.wish.service))[0]
            )
        )

    def _has_rivals(self, wish: SlotRequest, now_s: float) -> bool:
        """Whether others of the service wait that go before this request."""
        start_s = self._find_start_s(wish.service)
        mine = (now_s + start_s > wish.objective_s, wish.priority)
        for waiter in self._waiters:
            if waiter.wish.service != wish.service or waiter.wish.is_limited:
                continue
            if waiter.order(now_s, start_s)[:2] <= mine:
                return True
        return False

    def _should_refuse(self, wish: SlotRequest, now_s: float) -> bool:
        """Whether a request is better off elsewhere in time than in the queue.

        What would be late and comes again is asked to return when there is room; what
        can't be served at all is told so at once.
        """
        served_s = now_s + self.estimate_wait_s(wish.service)
        if served_s + _SHORTEST_RUN_S > wish.deadline_s:
            return True
        start_s = self._find_start_s(wish.service)
        return wish.may_retry and served_s + start_s > wish.objective_s

    def _find_start_s(self, service: str) -> float:
        return _START_MARGIN * self.get_mean_first_event_s(service)

    def _choose(self, wish: SlotRequest, now_s: float) -> model.Target | None:
        return self._choices.choose_online(
            wish.service,
            now_s,
            wish.excluded | wish.avoided,
            wish.allowed,
            wish.availability_zone,
        )
