"""Counts of the failed runs of a job's items, and what the store holds of them."""

from __future__ import annotations

from collections import abc

# Limit of the counts in a job's row, whose other fields take less than half of it.
_MAX_BYTES = 24_000
# A quote of an id takes two bytes in JSON; its count and the marks around it take the
# rest.
_BYTES_PER_CHARACTER = 2
_BYTES_PER_COUNT = 8


class FailedRuns:
    """Failed runs of the items of an owned job that have no stored result.

    A run has failed if the target answered it with an error status. No item with a
    count that is not stored may run, so that each loss of an owner loses at most one
    failed run of an item.

    :param stored: counts by item id, as the store holds them
    """

    def __init__(self, stored: abc.Mapping[str, int]) -> None:
        self._counts = dict(stored)
        # Item id -> monotonic time since which its count is not stored, oldest first.
        self._unstored_s: dict[str, float] = {}

    @property
    def unstored_since_s(self) -> float | None:
        """Monotonic time since which a count is not stored, ``None`` if all are."""
        return next(iter(self._unstored_s.values()), None)

    def record(self, item_id: str, now_s: float) -> int:
        """Record a failed run of an item; return how many it has."""
        count = self.count(item_id) + 1
        self._counts[item_id] = count
        self._unstored_s[item_id] = now_s
        return count

    def count(self, item_id: str) -> int:
        """Return the failed runs of an item."""
        return self._counts.get(item_id, 0)

    def is_stored(self, item_id: str) -> bool:
        """Return whether the store holds all failed runs of an item."""
        return item_id not in self._unstored_s

    def get_counts(self, without: abc.Collection[str] = ()) -> dict[str, int]:
        """Return the counts to store, by item id, as many as fit into a job's row.

        Those that failed first go first; the others wait until these have results.

        :param without: items whose results are stored in the same transaction
        """
        counts = {}
        size = 0
        for item_id, count in self._counts.items():
            if item_id in without:
                continue
            size += len(item_id) * _BYTES_PER_CHARACTER + _BYTES_PER_COUNT
            if size > _MAX_BYTES:
                break
            counts[item_id] = count
        return counts

    def record_stored(
        self, counts: abc.Mapping[str, int], done: abc.Collection[str] = ()
    ) -> None:
        """Record that the store holds these counts.

        :param done: items whose results it holds, which need no count any more
        """
        for item_id, count in counts.items():
            if self._counts.get(item_id) == count:
                self._unstored_s.pop(item_id, None)
        for item_id in done:
            self._counts.pop(item_id, None)
            self._unstored_s.pop(item_id, None)
