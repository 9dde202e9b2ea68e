"""The requests that wait for slots of one service, by organisation."""

from __future__ import annotations

import collections
import math
import typing
from collections import abc

from endivevane.fairness import order, shares

# The count of requests within their shares may be this old, unless the requests are of
# few organisations.
_COUNT_MAX_AGE_S = 0.01
_FEW_ORGANISATIONS = 16


class Request(typing.Protocol):
    """What counts for the order of a request."""

    @property
    def organisation(self) -> str:
        """Whose it is, empty for none."""

    @property
    def priority(self) -> int:
        """The lowest goes first."""

    @property
    def objective_s(self) -> float:
        """Time until which the response is on time."""


class Waiter(typing.Protocol):
    """A request that waits."""

    @property
    def slot_request(self) -> Request:
        """The request."""

    @property
    def number(self) -> int:
        """The lowest came first."""


W = typing.TypeVar("W", bound=Waiter)


class WaitingRequests(typing.Generic[W]):
    """Keeps the waiting requests of a service and the shares of their organisations.

    A request is late if its objective is before a time that the caller passes in.
    """

    def __init__(self) -> None:
        self._waiting: collections.Counter[str] = collections.Counter()
        self._timely: collections.Counter[str] = collections.Counter()
        self.shares = shares.ServiceShares(self._waiting, self._timely)
        self._waiters: dict[str, dict[int, W]] = {}
        self._within = 0
        self._counted_s = -1.0
        # Organisation -> time at which the last of its refused clients may return.
        self._returns_s: dict[str, float] = {}
        # Organisation -> time of its last report and the refusals since.
        self._refusals: dict[str, tuple[float, int]] = {}

    def __len__(self) -> int:
        return self._waiting.total()

    def add(self, waiter: W, late_before_s: float) -> None:
        """Add a request."""
        slot_request = waiter.slot_request
        own = self._waiters.setdefault(slot_request.organisation, {})
        own[waiter.number] = waiter
        self._waiting[slot_request.organisation] += 1
        if slot_request.objective_s >= late_before_s:
            self._timely[slot_request.organisation] += 1
        self.shares.record_change()

    def remove(self, waiter: W, late_before_s: float) -> bool:
        """Remove a request; return whether it was waiting."""
        slot_request = waiter.slot_request
        own = self._waiters.get(slot_request.organisation, {})
        if own.pop(waiter.number, None) is None:
            return False
        self._waiting[slot_request.organisation] -= 1
        timely = self._timely[slot_request.organisation]
        if slot_request.objective_s >= late_before_s and timely:
            self._timely[slot_request.organisation] -= 1
        self.shares.record_change()
        return True

    def list_all(self) -> list[W]:
        """Return all requests, in no order."""
        return [waiter for own in self._waiters.values() for waiter in own.values()]

    def begin_pass(self, late_before_s: float, now_s: float) -> order.FairOrder[W]:
        """Return the requests in the order in which they are granted slots."""
        if len(self._returns_s) > len(self._waiters):
            self._returns_s = {
                name: last_s
                for name, last_s in self._returns_s.items()
                if last_s > now_s
            }
        requests: dict[str, list[tuple[order.Key, W]]] = {}
        self._timely.clear()
        for organisation, own in list(self._waiters.items()):
            if not own:
                del self._waiters[organisation]
                del self._waiting[organisation]
                continue
            keyed = []
            timely = 0
            for waiter in own.values():
                slot_request = waiter.slot_request
                objective_s = slot_request.objective_s
                is_late = objective_s < late_before_s
                timely += not is_late
                key = (is_late, slot_request.priority, objective_s, waiter.number)
                keyed.append((key, waiter))
            requests[organisation] = keyed
            self._timely[organisation] = timely
        self.shares.record_change()
        return order.FairOrder(requests, self.shares.make_ranker(now_s))

    def has_ahead(
        self,
        slot_request: Request,
        late_before_s: float,
        now_s: float,
        may_block: abc.Callable[[W], bool],
    ) -> bool:
        """Whether any request goes before a new one.

        :param may_block: whether the new one could use the slot that a request gets
        """
        find_rank = self.shares.make_ranker(now_s)
        organisation = slot_request.organisation
        rank = find_rank(organisation, 0)
        own_key = (slot_request.objective_s < late_before_s, slot_request.priority)
        for other, waiters in self._waiters.items():
            if not waiters:
                continue
            other_rank = rank
            if other != organisation:
                other_rank = find_rank(other, 0)
            if other_rank > rank:
                continue
            for waiter in waiters.values():
                if not may_block(waiter):
                    continue
                other_request = waiter.slot_request
                is_late = other_request.objective_s < late_before_s
                key = (is_late, other_request.priority)
                if other_rank < rank or key <= own_key:
                    return True
        return False

    def count_timely(self) -> int:
        """Return the requests that can still be on time."""
        return self._timely.total()

    def count_within(self, now_s: float) -> int:
        """Return those of them that are within their organisations' shares."""
        is_old = now_s - self._counted_s > _COUNT_MAX_AGE_S
        if is_old or len(self._timely) <= _FEW_ORGANISATIONS:
            self._within = self.shares.count_within(now_s)
            self._counted_s = now_s
        return self._within

    def estimate_turns(
        self, organisation: str, peers_within: int, peers_surplus: int, now_s: float
    ) -> float:
        """Return how many slots have to be freed until one more request gets one.

        That request can be on time.

        :param peers_within: requests that wait at other daemons, within their shares
        :param peers_surplus: those beyond them
        """
        own = self._timely[organisation]
        within = self.count_within(now_s)
        surplus = self.shares.count_surplus(organisation, own, now_s)
        if not surplus:
            return max(own, within) + peers_within + 1
        turns = surplus * self.shares.count_turns(organisation, now_s)
        return max(turns, within + peers_within + peers_surplus + 1, own + 1)

    def has_long_queue(self, organisation: str, now_s: float) -> bool:
        """Whether an organisation beside others has as many waiting as its share."""
        waiting = self._waiting[organisation]
        return self.shares.is_over(
            organisation, now_s
        ) and waiting >= self.shares.find_own_share(organisation, now_s)

    def count_refusal(self, organisation: str, interval_s: float, now_s: float) -> int:
        """Count a refusal; return those since the last report, 0 if none is due.

        :param interval_s: least time between two reports
        """
        reported_s, count = self._refusals.get(organisation, (-math.inf, 0))
        if now_s - reported_s < interval_s:
            self._refusals[organisation] = (reported_s, count + 1)
            return 0
        self._refusals[organisation] = (now_s, 0)
        return count + 1

    def count_waiting(self, organisation: str) -> int:
        """Return the waiting requests of an organisation."""
        return self._waiting[organisation]

    def plan_return(
        self,
        organisation: str,
        wait_s: float,
        interval_s: float,
        now_s: float,
        max_s: float,
    ) -> float:
        """Return after what time a refused client may return, after those before it.

        :param wait_s: how long it would wait for a slot
        :param interval_s: time between two slots that its organisation gets
        :param max_s: most time
        """
        return_s = now_s + wait_s
        last_s = self._returns_s.get(organisation)
        if last_s is not None and last_s > now_s:
            return_s = max(return_s, last_s + interval_s)
        return_s = min(return_s, now_s + max_s)
        self._returns_s[organisation] = return_s
        return return_s - now_s
