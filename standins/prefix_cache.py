"""Small cache of prompt prefixes, whose events are delayed and have gaps."""

from __future__ import annotations

import collections
import random
import time
import typing

_KEPT_EVENTS = 10_000


class PrefixCache:
    """LRU cache of prefix hashes.

    :param capacity: maximum number of blocks
    :param event_lag_s: delay until an event can be read
    :param gap_share: share of events that are dropped
    :param seed: seed for the choice of dropped events
    """

    def __init__(
        self, capacity: int, event_lag_s: float, gap_share: float, seed: int
    ) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self.gap_share = gap_share
        self._random = random.Random(seed)
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[float, dict[str, typing.Any]]] = (
            collections.deque(maxlen=_KEPT_EVENTS)
        )
        self._number = 0

    @property
    def used_share(self) -> float:
        """Share of the capacity in use."""
        return len(self._blocks) / self._capacity

    def contains(self, prefix_hash: int) -> bool:
        """Return whether a block is cached."""
        return prefix_hash in self._blocks

    def count_cached(self, hashes: list[int]) -> int:
        """Return the number of leading blocks that are cached."""
        for index, prefix_hash in enumerate(hashes):
            if prefix_hash not in self._blocks:
                return index
        return len(hashes)

    def store(self, hashes: list[int]) -> None:
        """Store blocks and evict the least recently used ones."""
        added = []
        for prefix_hash in hashes:
            if prefix_hash not in self._blocks:
                added.append(prefix_hash)
            self._blocks[prefix_hash] = None
            self._blocks.move_to_end(prefix_hash)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        if added:
            self._publish("stored", added)
        if evicted:
            self._publish("evicted", evicted)

    def read_events(self, after: int) -> list[dict[str, typing.Any]]:
        """Return the readable events numbered above ``after``."""
        limit_s = time.monotonic() - self._event_lag_s
        return [
            event
            for at_s, event in self._events
            if event["n"] > after and at_s <= limit_s
        ]

    def _publish(self, kind: str, hashes: list[int]) -> None:
        self._number += 1
        if self._random.random() < self.gap_share:
            return
        event = {"n": self._number, "kind": kind, "prefix_hashes": hashes}
        self._events.append((time.monotonic(), event))
