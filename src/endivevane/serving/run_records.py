"""Records of items' runs that are stored before the runs begin."""

from __future__ import annotations

from collections import abc

from endivevane.serving import jobs

# Owners of a job that may be lost before the next ones record runs. Most jobs lose
# none, and need no transaction before a run.
_MAX_UNRECORDED_OWNERS = 2
# Items that may run by a stored record at a time. If their owner is lost, each of them
# counts as run, though it may not have begun.
_MAX_RECORDED_ITEMS = 16


def count_lost_owner(job: jobs.Job) -> int:
    """Return the lost owners to store when a job is claimed from its former owner.

    A released job has lost no owner. Once owners record runs, the records show which
    items may have run, and the number stays.
    """
    if not job.owner:
        return job.lost_owners
    return min(job.lost_owners + 1, _MAX_UNRECORDED_OWNERS)


class RunRecords:
    """Runs of the items of an owned job whose end nobody may know.

    A lost owner leaves at most one failed run of each item that the store does not
    hold. The first lost owners are only counted, and each may have run any item. Later
    owners store a record of an item's run before it begins. While they live, the same
    record serves the item's further runs.

    :param job: the row of the job, as its owner found it
    :param items: all items of the job
    """

    def __init__(self, job: jobs.Job, items: abc.Sequence[jobs.Item]) -> None:
        self._lost_owners = job.lost_owners
        self._positions: dict[str, int] = {}
        # Recorded runs of former owners, by the position of the item.
        self._unknown: list[int] = []
        if self.is_required:
            self._positions = {item.item_id: n for n, item in enumerate(items)}
            self._unknown = [*job.begun_runs, *[0] * len(items)][: len(items)]
        # Items with a record of this owner, and those whose record the store holds.
        self._recorded: set[str] = set()
        self._stored: set[str] = set()
        self._unstored_since_s: float | None = None

    @property
    def is_required(self) -> bool:
        """Whether this owner must record runs."""
        return self._lost_owners >= _MAX_UNRECORDED_OWNERS

    @property
    def unstored_since_s(self) -> float | None:
        """Monotonic time since which a record is not stored, ``None`` if all are."""
        return self._unstored_since_s

    def count_unknown(self, item_id: str) -> int:
        """Return how many runs of an item may have ended unknown to this owner."""
        position = self._positions.get(item_id)
        recorded = 0 if position is None else self._unknown[position]
        return self._lost_owners + recorded

    def is_stored(self, item_id: str) -> bool:
        """Return whether an item may run without a further record."""
        return not self.is_required or item_id in self._stored

    def request(self, item_id: str, now_s: float) -> None:
        """Record the next run of an item, unless too many items have a record."""
        if item_id in self._recorded or len(self._recorded) >= _MAX_RECORDED_ITEMS:
            return
        self._recorded.add(item_id)
        if self._unstored_since_s is None:
            self._unstored_since_s = now_s

    def drop(self, item_id: str) -> None:
        """Drop the record of an item that this owner will not run again."""
        self._recorded.discard(item_id)
        self._stored.discard(item_id)
        self._update_unstored()

    def get_counts(self, without: abc.Collection[str] = ()) -> tuple[int, ...]:
        """Return the recorded runs to store, by the position of the item.

        :param without: items whose results are stored in the same transaction
        """
        counts = list(self._unknown)
        for item_id in self._recorded:
            counts[self._positions[item_id]] += 1
        for item_id in without:
            if item_id in self._positions:
                counts[self._positions[item_id]] = 0
        return _strip(counts)

    def get_counts_of_others(self) -> tuple[int, ...]:
        """Return the recorded runs of former owners, for a job that is released."""
        return _strip(list(self._unknown))

    def record_stored(
        self, counts: abc.Sequence[int], done: abc.Collection[str] = ()
    ) -> None:
        """Record that the store holds these counts.

        :param done: items whose results it holds, which need no record any more
        """
        for item_id in done:
            if item_id in self._positions:
                self._unknown[self._positions[item_id]] = 0
        self._recorded.difference_update(done)
        self._stored.difference_update(done)
        for item_id in self._recorded:
            position = self._positions[item_id]
            if position < len(counts) and counts[position] > self._unknown[position]:
                self._stored.add(item_id)
        self._update_unstored()

    def _update_unstored(self) -> None:
        if self._recorded == self._stored:
            self._unstored_since_s = None


def _strip(counts: list[int]) -> tuple[int, ...]:
    """Return counts without the zeros at their end."""
    while counts and not counts[-1]:
        counts.pop()
    return tuple(counts)
