"""The tokens of one organisation at a daemon, and the requests that wait for one."""

from __future__ import annotations

import collections
import dataclasses
import math

from endivevane.quotas import issuer, messages

# Requests of this time tell how many will come.
_DEMAND_MEMORY_S = 2.0
# Without a request for this long, none is expected.
_QUIET_AFTER_S = 30.0
# Other daemons that have not asked for this long ask elsewhere.
_SERVES_OTHERS_S = 5.0


@dataclasses.dataclass(slots=True)
class Batch:
    """Tokens that were granted together.

    :param source: the daemon that granted them, which takes unused ones back
    :param number: the request that they were granted for
    """

    source: str
    number: int
    count: int
    until_s: float


@dataclasses.dataclass(slots=True)
class Waiter:
    """Requests of this daemon or another one that wait for tokens.

    :param asker: the other daemon, empty for this one
    :param number: the other daemon's request, or this daemon's ticket
    :param ahead: tokens that the other daemon would like beyond those
    :param until_s: time until which they wait
    """

    asker: str
    number: int
    count: int
    ahead: int
    until_s: float


@dataclasses.dataclass(slots=True)
class OpenAsk:
    """A request for tokens that has not been answered.

    :param first_sent_s: time from which the life of its tokens counts
    """

    source: str
    number: int
    need: messages.Need
    first_sent_s: float
    sent_s: float
    sent_count: int = 1


class Pool:
    """Tokens, waiting requests and recent demand of one organisation.

    :ivar open: what has been asked of another daemon
    :ivar refuse_until_s: time until which no token is to be had
    :ivar retry_s: time at which one is likely due
    :ivar refused: requests that were refused since the last question
    :ivar life_s: life of the tokens that were granted last
    :ivar ahead_after_s: time from which tokens may be asked for ahead
    """

    def __init__(self) -> None:
        self.batches: collections.deque[Batch] = collections.deque()
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.open: OpenAsk | None = None
        self.refuse_until_s = float("-inf")
        self.retry_s = float("-inf")
        self.refused = 0
        self.life_s = issuer.LENT_TTL_S
        self.ahead_after_s = float("-inf")
        self._demand = 0.0
        self._demand_s = 0.0
        self._wanted_s = float("-inf")
        self._others_s = float("-inf")

    def add_demand(self, count: int, now_s: float, is_other: bool = False) -> None:
        """Count requests.

        :param is_other: whether they are another daemon's
        """
        if is_other:
            self._others_s = now_s
        self._demand = self._decay(now_s) + count
        self._demand_s = now_s
        self._wanted_s = now_s

    def find_demand_per_s(self, now_s: float) -> float:
        """Return the requests a second of the last moments."""
        return self._decay(now_s) / _DEMAND_MEMORY_S

    def is_quiet(self, now_s: float) -> bool:
        """Whether no request is expected."""
        return now_s - self._wanted_s >= _QUIET_AFTER_S

    def serves_others(self, now_s: float) -> bool:
        """Whether other daemons have asked for tokens here lately."""
        return now_s - self._others_s < _SERVES_OTHERS_S

    def count_missing(self, now_s: float) -> int:
        """Return how many tokens the requests that wait need beyond those held.

        Where requests were refused since the last question, as many are likely to come.
        """
        waiting = sum(waiter.count for waiter in self.waiters)
        missing = max(0, waiting - self.count(now_s))
        return missing + self.refused if missing else 0

    def has_waiter(self, asker: str, number: int) -> bool:
        """Whether a request of another daemon waits."""
        return any(
            waiter.asker == asker and waiter.number == number for waiter in self.waiters
        )

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing has to be remembered."""
        is_empty = not (self.batches or self.waiters or self.open)
        return is_empty and self.is_quiet(now_s)

    def drop_void(self, now_s: float) -> int:
        """Drop tokens that have become void; return how many."""
        void = sum(item.count for item in self.batches if item.until_s <= now_s)
        if void or (self.batches and self.batches[0].until_s <= now_s):
            self.batches = collections.deque(
                item for item in self.batches if item.until_s > now_s
            )
        return void

    def count(self, now_s: float, for_s: float = 0.0) -> int:
        """Return the number of tokens that can be used for some time."""
        return sum(item.count for item in self.batches if item.until_s > now_s + for_s)

    def take(self, most: int, now_s: float) -> tuple[int, float]:
        """Remove tokens; return how many, and until when all of them can be used."""
        taken, until_s = 0, float("inf")
        while self.batches and taken < most:
            batch = self.batches[0]
            if batch.until_s <= now_s:
                self.batches.popleft()
                continue
            part = min(batch.count, most - taken)
            batch.count -= part
            taken += part
            until_s = min(until_s, batch.until_s)
            if not batch.count:
                self.batches.popleft()
        return taken, until_s

    def add(self, batch: Batch) -> None:
        """Add tokens, those that become void first at the front."""
        if not batch.count:
            return
        position = len(self.batches)
        while position and self.batches[position - 1].until_s > batch.until_s:
            position -= 1
        self.batches.insert(position, batch)

    def remove_ending(self, source: str, now_s: float, within_s: float) -> list[Batch]:
        """Remove the tokens from a daemon that become void soon."""
        ending = [
            item
            for item in self.batches
            if item.source == source and now_s < item.until_s <= now_s + within_s
        ]
        if ending:
            self.batches = collections.deque(
                item for item in self.batches if item not in ending
            )
        return ending

    def list_held(self, source: str, now_s: float) -> tuple[messages.Remainder, ...]:
        """Return what is held of a daemon's grants."""
        return tuple(
            messages.Remainder(item.number, item.count)
            for item in self.batches
            if item.source == source and item.until_s > now_s
        )

    def _decay(self, now_s: float) -> float:
        passed_s = max(0.0, now_s - self._demand_s)
        return self._demand * math.exp(-passed_s / _DEMAND_MEMORY_S)
