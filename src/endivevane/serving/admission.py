"""Who waits for a place on a target, and who is refused."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import itertools
import random
import time

from endivevane.serving import load_board, model, placement

# Waiting requests are looked at this often, besides after each change of the load.
_TICK_S = 0.02
# Time that a request needs at a target at least; one with less left is refused.
_SHORTEST_RUN_S = 0.1
# Mean time from a place to the first event, until this daemon has seen some.
_FIRST_START_S = 0.1
_START_WEIGHT = 0.1
# A request that needs this many times the usual time to its first event is late.
_START_MARGIN = 1.3
_SHORTEST_RETRY_S = 0.1
_LONGEST_RETRY_S = 1.5
_tickets = itertools.count()


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request needs.

    :param objective_s: monotonic time until which the answer is on time
    :param deadline_s: monotonic time after which the answer is of no use
    :param may_return: whether the client comes again after a refusal
    :param excluded: targets that it must not go to
    :param only: targets that it may go to, ``None`` for any
    """

    service: str
    priority: int
    objective_s: float
    deadline_s: float
    may_return: bool = False
    excluded: frozenset[str] = frozenset()
    only: frozenset[str] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    wish: Wish
    number: int
    granted: asyncio.Future[model.Target | None]

    def order(self, now_s: float, start_s: float) -> tuple[bool, int, float, int]:
        """Return the place in the queue: what can be on time, the urgent, the old.

        :param start_s: time from a place to the first event
        """
        is_late = now_s + start_s > self.wish.objective_s
        return (is_late, self.wish.priority, self.wish.objective_s, self.number)


class Admission:
    """Gives places to requests in order, and keeps those waiting that find none."""

    def __init__(
        self,
        choices: placement.Placement,
        board: load_board.LoadBoard,
        generator: random.Random,
    ) -> None:
        self._choices = choices
        self._board = board
        self._generator = generator
        self._waiters: list[_Waiter] = []
        self._start_s: dict[str, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiters)

    async def acquire(self, wish: Wish) -> model.Target | None:
        """Return a target, where the request is counted from now on.

        :returns: ``None`` at once when the request can't be served in time, or when
            it has waited until no time is left
        """
        now_s = time.monotonic()
        if wish.deadline_s - now_s < _SHORTEST_RUN_S:
            return None
        if not self._has_rivals(wish, now_s):
            target = self._choose(wish, now_s)
            if target is not None:
                self._board.begin(target.target_id, is_batch=False)
                return target
        if not self._choices.has_targets(wish.service, now_s):
            return None
        if self._should_refuse(wish, now_s):
            return None
        future: asyncio.Future[model.Target | None]
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(wish, next(_tickets), future)
        self._waiters.append(waiter)
        self._count_waiting(now_s)
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._give_back(future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                self._count_waiting(time.monotonic())

    def pump(self) -> None:
        """Give free places to those who wait, and give up on the hopeless."""
        if not self._waiters:
            return
        now_s = time.monotonic()
        full: set[str] = set()
        ordered = sorted(
            self._waiters,
            key=lambda item: item.order(now_s, self._find_start_s(item.wish.service)),
        )
        for waiter in ordered:
            if waiter.granted.done():
                continue
            wish = waiter.wish
            if wish.deadline_s - now_s < _SHORTEST_RUN_S:
                waiter.granted.set_result(None)
                continue
            if wish.service in full:
                continue
            target = self._choose(wish, now_s)
            if target is None:
                if not wish.excluded and wish.only is None:
                    full.add(wish.service)
                continue
            self._board.begin(target.target_id, is_batch=False)
            waiter.granted.set_result(target)
        self._waiters = [item for item in self._waiters if not item.granted.done()]
        self._count_waiting(now_s)

    def record_hold(self, service: str, hold_s: float) -> None:
        """Note how long a request held its place."""
        self._choices.record_hold(service, hold_s)

    def record_start(self, service: str, start_s: float) -> None:
        """Note the time from a place to the first event."""
        mean_s = self._start_s.get(service, _FIRST_START_S)
        self._start_s[service] = mean_s + _START_WEIGHT * (start_s - mean_s)

    def find_usual_start_s(self, service: str) -> float:
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

    def _count_waiting(self, now_s: float) -> None:
        """Tell the others of the requests that wait here and can be on time."""
        self._board.set_waiting_requests(
            collections.Counter(
                item.wish.service
                for item in self._waiters
                if not item.order(now_s, self._find_start_s(item.wish.service))[0]
            )
        )

    def explain(self, service: str) -> dict[str, object]:
        """Return what a refusal for lack of a place was decided on, for the log."""
        return {
            "slots": self._choices.count_slots(service),
            "running": self._choices.count_running(service),
            "waiting": self._board.count_waiting_requests(service),
            "wait_ms": int(self.estimate_wait_s(service) * 1000),
            "load_age_ms": int(self._board.near_age_s * 1000),
        }

    def _has_rivals(self, wish: Wish, now_s: float) -> bool:
        """Whether others of the service wait that go before this request."""
        start_s = self._find_start_s(wish.service)
        mine = (now_s + start_s > wish.objective_s, wish.priority)
        for waiter in self._waiters:
            if waiter.wish.service != wish.service or waiter.wish.excluded:
                continue
            if waiter.order(now_s, start_s)[:2] <= mine:
                return True
        return False

    def _should_refuse(self, wish: Wish, now_s: float) -> bool:
        """Whether a request is better off elsewhere in time than in the queue.

        What would be late and comes again is asked to return when there is room; what
        can't be served at all is told so at once.
        """
        served_s = now_s + self.estimate_wait_s(wish.service)
        if served_s + _SHORTEST_RUN_S > wish.deadline_s:
            return True
        start_s = self._find_start_s(wish.service)
        return wish.may_return and served_s + start_s > wish.objective_s

    def _find_start_s(self, service: str) -> float:
        return _START_MARGIN * self.find_usual_start_s(service)

    def _choose(self, wish: Wish, now_s: float) -> model.Target | None:
        return self._choices.choose_online(
            wish.service, now_s, wish.excluded, wish.only
        )

    def _give_back(self, target: model.Target | None) -> None:
        """Undo the count of a place that nobody took."""
        if target is not None:
            self._board.end(target.target_id, is_batch=False)

    def _arm(self) -> None:
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.pump()
        if self._waiters:
            self._arm()
