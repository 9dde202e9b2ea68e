"""Weighted max-min shares of the slots of one service.

Organisations that need less than an equal share get what they need; what they leave is
divided among the others. Requests within their organisation's share rank equal, and
those beyond it rank after them, by how many slots the organisation would then use.
Nothing here does I/O, and the time is passed in.
"""

from __future__ import annotations

import math
from collections import abc

from endivevane.fairness import usage

# Rank of a request within its organisation's share.
WITHIN_SHARE = 0
# The share is computed again after this many changes per organisation, or this time.
_CHANGES_PER_ORGANISATION = 0.05
_MAX_AGE_S = 0.1
# An organisation that uses less than this counts as one that uses nothing.
_LEAST_USE = 0.01

Weigh = abc.Callable[[str], float]


def fill(demands: abc.Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the share per unit of weight, infinite if there is enough for all.

    :param demands: slots that each organisation needs, and its weight
    """
    ordered = sorted((demand / weight, weight) for demand, weight in demands)
    weight_left = sum(weight for _, weight in ordered)
    left = capacity
    for demand, weight in ordered:
        if demand * weight_left > left:
            return left / weight_left
        left -= demand * weight
        weight_left -= weight
    return math.inf


def weigh_equally(organisation: str) -> float:
    """Return the same weight for each organisation."""
    return 1.0


class ServiceShares:
    """What each organisation uses and waits for at one service.

    :param weigh: returns the weight of an organisation
    """

    def __init__(self, weigh: Weigh = weigh_equally) -> None:
        self._weigh = weigh
        self._usages: dict[str, usage.Usage] = {}
        self._held = 0
        self._waiting: abc.Mapping[str, int] = {}
        self._timely: abc.Mapping[str, int] = {}
        self._share = math.inf
        self._share_s = -math.inf
        self._changes = 0

    def record_grant(self, organisation: str, now_s: float) -> None:
        """Record that an organisation holds one more slot."""
        self._usages.setdefault(organisation, usage.Usage()).change(1, now_s)
        self._held += 1
        self._changes += 1

    def record_end(self, organisation: str, now_s: float) -> None:
        """Record that an organisation has freed a slot."""
        used = self._usages.get(organisation)
        if used is None or not used.held:
            return
        used.change(-1, now_s)
        self._held -= 1
        self._changes += 1

    def set_waiting(
        self, waiting: abc.Mapping[str, int], timely: abc.Mapping[str, int]
    ) -> None:
        """Replace the numbers of waiting requests, of each organisation.

        :param timely: those that can still meet their objective
        """
        self._waiting = waiting
        self._timely = timely
        self._changes += 1

    def find_share(self, now_s: float) -> float:
        """Return the slots that an organisation may use, per unit of its weight."""
        few = _CHANGES_PER_ORGANISATION * len(self._usages)
        if self._changes > few or now_s - self._share_s > _MAX_AGE_S:
            self._share = self._compute_share(now_s)
            self._share_s = now_s
            self._changes = 0
        return self._share

    def rank(self, organisation: str, ahead: int, share: float, now_s: float) -> int:
        """Return the rank of a request, the lowest first.

        :param ahead: requests of its organisation that wait and go before it
        :param share: what :meth:`find_share` has returned
        """
        weight = self._weigh(organisation)
        position = self._measure(organisation, now_s) + ahead
        if position < share * weight:
            return WITHIN_SHARE
        return 1 + int(position / weight)

    def count_within(self, now_s: float) -> int:
        """Return the timely requests that wait within their organisations' shares."""
        share = self.find_share(now_s)
        return sum(
            self._count_before(organisation, share, now_s)
            for organisation in self._timely
        )

    def count_timely(self) -> int:
        """Return the timely requests that wait."""
        return sum(self._timely.values())

    def count_ahead(self, organisation: str, rank: int, now_s: float) -> int:
        """Return the timely requests that go before one more of an organisation.

        :param rank: rank of that one
        """
        share = max(self.find_share(now_s), float(rank))
        return self._timely.get(organisation, 0) + sum(
            self._count_before(other, share, now_s)
            for other in self._timely
            if other != organisation
        )

    def rank_next(self, organisation: str, now_s: float) -> int:
        """Return the rank of one more request of an organisation."""
        ahead = self._timely.get(organisation, 0)
        return self.rank(organisation, ahead, self.find_share(now_s), now_s)

    def is_over(self, organisation: str, now_s: float) -> bool:
        """Whether an organisation uses all of its share or more."""
        return self.rank(organisation, 0, self.find_share(now_s), now_s) > WITHIN_SHARE

    def estimate_turns(self, organisation: str, now_s: float) -> float:
        """Return how many slots have to be freed until one more request gets its turn.

        An organisation beyond its share gets only its share of those that are freed.
        """
        used = self._usages.get(organisation)
        held = used.held if used is not None else 0
        own_share = self.find_share(now_s) * self._weigh(organisation)
        position = held + self._timely.get(organisation, 0) + 1
        if position <= own_share:
            return 0.0
        return (position - own_share) * (self._held + 1) / own_share

    def _measure(self, organisation: str, now_s: float) -> float:
        used = self._usages.get(organisation)
        return used.measure(now_s) if used is not None else 0.0

    def _count_before(self, organisation: str, share: float, now_s: float) -> int:
        """Return the timely requests of an organisation within a share."""
        timely = self._timely[organisation]
        room = share * self._weigh(organisation) - self._measure(organisation, now_s)
        if room >= timely:
            return timely
        return max(0, math.ceil(room))

    def _compute_share(self, now_s: float) -> float:
        """Compute the max-min share of the slots held, and one that is free."""
        demands = []
        for organisation, used in list(self._usages.items()):
            needed = used.measure(now_s) + self._waiting.get(organisation, 0)
            if needed < _LEAST_USE:
                del self._usages[organisation]
                continue
            demands.append((needed, self._weigh(organisation)))
        for organisation, count in self._waiting.items():
            if organisation not in self._usages:
                demands.append((float(count), self._weigh(organisation)))
        return fill(demands, self._held + 1.0)
