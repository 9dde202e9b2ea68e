"""Weighted max-min shares of the slots of one service.

Organisations that need less than an equal share get what they need; what they leave is
divided among the others. Requests within their organisation's share rank equal, and
those beyond it rank after them, by how many slots the organisation would then use.
Nothing here does I/O, and the time is passed in.
"""

from __future__ import annotations

import math
from collections import abc

from endivevane.fairness import usage, usual

# Returns the rank of a request, given its organisation and how many go before it.
FindRank = abc.Callable[[str, int], int]
# Rank of a request within its organisation's share.
WITHIN_SHARE = 0
# The share is computed again after this many changes per organisation, or this time.
_CHANGES_PER_ORGANISATION = 0.05
_MAX_AGE_S = 0.1
# While fewer requests wait per slot in use, all go in the order of their objectives;
# they wait for this share of the time for which a slot is held.
_SHORT_QUEUE = 0.05
# An organisation that uses less than this counts as one that uses nothing.
_LEAST_USE = 0.01


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


class ServiceShares:
    """What each organisation uses and waits for at one service.

    :param waiting: number of waiting requests of each organisation, which the caller
        changes
    :param timely: the same for those that can still meet their objective
    """

    def __init__(
        self, waiting: abc.Mapping[str, int], timely: abc.Mapping[str, int]
    ) -> None:
        self._waiting = waiting
        self._timely = timely
        self._usual = usual.UsualRates()
        self._usages: dict[str, usage.Usage] = {}
        self._capacity = 1.0
        self._share = math.inf
        self._share_s = -math.inf
        self._changes = 0
        self._left_to_peers = 0.0

    def leave_to_peers(self, slots: float) -> None:
        """Leave some slots to requests that wait at other daemons."""
        self._left_to_peers = slots

    def record_arrival(self, organisation: str, now_s: float) -> None:
        """Record that a request has arrived, for the weight of its organisation."""
        self._usual.record(organisation, now_s)

    def record_grant(self, organisation: str, now_s: float) -> None:
        """Record that an organisation holds one more slot."""
        self._usages.setdefault(organisation, usage.Usage()).change(1, now_s)
        self._changes += 1

    def record_end(self, organisation: str, now_s: float) -> None:
        """Record that an organisation has freed a slot."""
        used = self._usages.get(organisation)
        if used is None or not used.held:
            return
        used.change(-1, now_s)
        self._changes += 1

    def record_change(self) -> None:
        """Record that the numbers of waiting requests have changed."""
        self._changes += 1

    def find_share(self, now_s: float) -> float:
        """Return the slots that an organisation may use, per unit of its weight."""
        few = _CHANGES_PER_ORGANISATION * max(len(self._usages), len(self._waiting))
        if self._changes > few or now_s - self._share_s > _MAX_AGE_S:
            self._share = self._compute_share(now_s)
            self._share_s = now_s
            self._changes = 0
        return self._share

    def find_own_share(self, organisation: str, now_s: float) -> float:
        """Return the slots that an organisation may use."""
        return self.find_share(now_s) * self._weigh(organisation)

    def make_ranker(self, now_s: float) -> FindRank:
        """Return a function that ranks requests, the lowest first.

        It takes an organisation and the number of its requests that wait and go before.
        """
        share = self.find_share(now_s)
        find_weight = self._usual.weights.get
        find_usage = self._usages.get

        def rank(organisation: str, ahead: int) -> int:
            weight = find_weight(organisation, 1.0)
            used = find_usage(organisation)
            position = ahead if used is None else used.measure(now_s) + ahead
            if position < share * weight:
                return WITHIN_SHARE
            return 1 + int(position / weight)

        return rank

    def count_within(self, now_s: float) -> int:
        """Return the timely requests that wait within their organisations' shares."""
        share = self.find_share(now_s)
        find_weight = self._usual.weights.get
        find_usage = self._usages.get
        within = 0
        for organisation, timely in self._timely.items():
            room = share * find_weight(organisation, 1.0)
            used = find_usage(organisation)
            if used is not None:
                room -= used.measure(now_s)
            within += timely if room >= timely else max(0, math.ceil(room))
        return within

    def is_over(self, organisation: str, now_s: float) -> bool:
        """Whether an organisation uses its share, and others use the service too."""
        if len(self._usages) < 2:
            return False
        used = self.measure_use(organisation, now_s)
        return used >= self.find_own_share(organisation, now_s)

    def count_surplus(self, organisation: str, ahead: int, now_s: float) -> float:
        """Return how many more slots than its share an organisation would use.

        It is 0 for a request within the share, and counts no slots that it uses now.

        :param ahead: requests that wait and go before the one in question
        """
        own_share = self.find_own_share(organisation, now_s)
        position = self.measure_use(organisation, now_s) + ahead
        if position < own_share:
            return 0.0
        return min(ahead, position - own_share) + 1.0

    def count_turns(self, organisation: str, now_s: float) -> float:
        """Return how many slots are freed for one that an organisation gets.

        It gets its share of them, or what the others have lately left to it.
        """
        own_share = self.find_own_share(organisation, now_s)
        used = self.measure_use(organisation, now_s)
        return max(1.0, self._capacity / max(own_share, used))

    def _weigh(self, organisation: str) -> float:
        return self._usual.weights.get(organisation, 1.0)

    def measure_use(self, organisation: str, now_s: float) -> float:
        """Return the slots that an organisation uses, or has lately used."""
        used = self._usages.get(organisation)
        return used.measure(now_s) if used is not None else 0.0

    def _compute_share(self, now_s: float) -> float:
        """Compute the max-min share of the slots in use, and one that is free."""
        self._usual.update(now_s)
        demands = []
        self._capacity = 1.0
        for organisation, used in list(self._usages.items()):
            slots = used.measure(now_s)
            needed = slots + self._waiting.get(organisation, 0)
            if needed < _LEAST_USE:
                del self._usages[organisation]
                continue
            self._capacity += slots
            demands.append((needed, self._weigh(organisation)))
        for organisation, count in self._waiting.items():
            if organisation not in self._usages:
                demands.append((float(count), self._weigh(organisation)))
        waiting = sum(self._waiting.values())
        if waiting <= _SHORT_QUEUE * self._capacity:
            return math.inf
        return fill(demands, max(1.0, self._capacity - self._left_to_peers))
