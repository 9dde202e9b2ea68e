"""The order in which waiting requests of several organisations are granted slots."""

from __future__ import annotations

import collections
import heapq
import typing
from collections import abc

from endivevane.fairness import shares

T = typing.TypeVar("T")
# Sort key of a request among those of its organisation; no two are equal.
Key = tuple[typing.Any, ...]


class FairOrder(typing.Generic[T]):
    """Merges the requests of organisations by rank, then by their own keys.

    The rank of an organisation's next request is found as it comes first, so that each
    grant counts for those after it.

    :param requests: requests of each organisation with their keys, at least one, in any
        order
    """

    def __init__(
        self,
        requests: abc.Mapping[str, list[tuple[Key, T]]],
        find_rank: shares.FindRank,
    ) -> None:
        self._requests = requests
        self._find_rank = find_rank
        self._passed_over: collections.Counter[str] = collections.Counter()
        self._heap: list[tuple[int, Key, str]] = []
        for organisation, own in requests.items():
            if len(own) > 1:
                heapq.heapify(own)
            self._heap.append((find_rank(organisation, 0), own[0][0], organisation))
        heapq.heapify(self._heap)

    def pop(self) -> tuple[int, str, T] | None:
        """Return the next request with its rank and organisation, ``None`` at the end.

        :meth:`put_back` has to be called before the next one.
        """
        if not self._heap:
            return None
        rank, _, organisation = heapq.heappop(self._heap)
        _, request = heapq.heappop(self._requests[organisation])
        return rank, organisation, request

    def put_back(self, organisation: str, is_passed_over: bool) -> None:
        """Rank the next request of an organisation after one has been handled.

        :param is_passed_over: whether that one still waits
        """
        self._passed_over[organisation] += is_passed_over
        self._push(organisation)

    def _push(self, organisation: str) -> None:
        own = self._requests[organisation]
        if own:
            rank = self._find_rank(organisation, self._passed_over[organisation])
            heapq.heappush(self._heap, (rank, own[0][0], organisation))
