"""A bounded queue ordered by priority and deadline, fair among organisations."""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import typing
from collections import abc

import sortedcontainers  # type: ignore[import-untyped]

ItemT = typing.TypeVar("ItemT")


class QueueFull(enum.StrEnum):
    """The limit that a new entry would exceed."""

    ENTRIES = "entries"
    BYTES = "bytes"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry(typing.Generic[ItemT]):
    """A queued item.

    :param priority: lower values are dequeued first
    :param deadline_s: monotonic time at which the entry expires
    :param kind: entries of the same kind can be dequeued at the same times
    """

    entry_id: str
    organisation: str
    priority: int
    deadline_s: float
    size_bytes: int
    item: ItemT
    kind: str = ""


@dataclasses.dataclass(slots=True)
class _PriorityClass(typing.Generic[ItemT]):
    """Entries of one priority.

    :param turns: (virtual time, organisation) of organisations that have entries
    :param times: virtual time by organisation; at twice the weight it advances half
        as much for each entry taken out
    """

    entries: dict[str, sortedcontainers.SortedDict] = dataclasses.field(
        default_factory=dict
    )
    turns: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )
    times: dict[str, float] = dataclasses.field(default_factory=dict)
    virtual_time: float = 0.0


class FairQueue(typing.Generic[ItemT]):
    """Strict priorities; weighted fair queueing among organisations; EDF within each.

    :param max_entries: limit on the number of entries
    :param max_bytes: limit on the sum of their sizes
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self._classes = sortedcontainers.SortedDict()
        self._entries: dict[str, tuple[int, Entry[ItemT]]] = {}
        self._by_deadline = sortedcontainers.SortedDict()
        self._weights: dict[str, float] = {}
        self._numbers = itertools.count()
        self._kinds: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, entry_id: object) -> bool:
        return entry_id in self._entries

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of organisations; the default weight is 1."""
        self._weights = dict(weights)

    def push(self, entry: Entry[ItemT]) -> QueueFull | None:
        """Add an entry; return the limit that it would exceed, if any."""
        if len(self._entries) >= self.max_entries:
            return QueueFull.ENTRIES
        if self.size_bytes + entry.size_bytes > self.max_bytes:
            return QueueFull.BYTES
        number = next(self._numbers)
        self._entries[entry.entry_id] = (number, entry)
        self._by_deadline[entry.deadline_s, number] = entry
        self.size_bytes += entry.size_bytes
        self._kinds[entry.kind] += 1
        group: _PriorityClass[ItemT] = self._classes.setdefault(
            entry.priority, _PriorityClass()
        )
        name = entry.organisation
        if name not in group.entries:
            group.entries[name] = sortedcontainers.SortedDict()
            # An organisation gets no credit for the time in which it was idle.
            start = max(group.virtual_time, group.times.get(name, 0.0))
            group.times[name] = start
            group.turns.add((start, name))
        group.entries[name][entry.deadline_s, number] = entry
        return None

    def peek(self, skipped_kinds: abc.Set[str] = frozenset()) -> Entry[ItemT] | None:
        """Return the entry that :meth:`pop` would remove."""
        if self._kinds.keys() <= skipped_kinds:
            return None
        for group in self._classes.values():
            for _, name in group.turns:
                for entry in group.entries[name].values():
                    if entry.kind not in skipped_kinds:
                        found: Entry[ItemT] = entry
                        return found
        return None

    def pop(self, skipped_kinds: abc.Set[str] = frozenset()) -> Entry[ItemT] | None:
        """Remove and return the next entry, charging its organisation.

        :param skipped_kinds: kinds of entries that stay in the queue
        """
        entry = self.peek(skipped_kinds)
        if entry is None:
            return None
        group, name = self._classes[entry.priority], entry.organisation
        group.virtual_time = group.turns[0][0]
        virtual_time = group.times[name]
        group.turns.remove((virtual_time, name))
        later = virtual_time + 1.0 / self._weights.get(name, 1.0)
        group.times[name] = later
        group.turns.add((later, name))
        self.remove(entry.entry_id)
        return entry

    def remove(self, entry_id: str) -> Entry[ItemT] | None:
        """Remove an entry by its id without charging its organisation."""
        found = self._entries.pop(entry_id, None)
        if found is None:
            return None
        number, entry = found
        self.size_bytes -= entry.size_bytes
        self._kinds[entry.kind] -= 1
        if not self._kinds[entry.kind]:
            del self._kinds[entry.kind]
        del self._by_deadline[entry.deadline_s, number]
        group = self._classes[entry.priority]
        entries = group.entries[entry.organisation]
        del entries[entry.deadline_s, number]
        if entries:
            return entry
        del group.entries[entry.organisation]
        group.turns.remove((group.times[entry.organisation], entry.organisation))
        if not group.entries:
            del self._classes[entry.priority]
        return entry

    def pop_expired(self, now_s: float) -> list[Entry[ItemT]]:
        """Remove and return the entries whose deadline has passed."""
        expired: list[Entry[ItemT]] = []
        while self._by_deadline:
            (deadline_s, _), entry = self._by_deadline.peekitem(0)
            if deadline_s > now_s:
                break
            self.remove(entry.entry_id)
            expired.append(entry)
        return expired

    def first_deadline_s(self) -> float | None:
        """Return the earliest deadline of all entries."""
        if not self._by_deadline:
            return None
        deadline_s: float = self._by_deadline.peekitem(0)[0][0]
        return deadline_s

    def count_kind(self, kind: str, priority: int) -> int:
        """Return how many entries of a kind have this priority or a higher one."""
        if self._kinds.keys() <= {kind}:
            return self.count_ahead(priority)
        return sum(
            entry.kind == kind and entry.priority <= priority
            for _, entry in self._entries.values()
        )

    def count_ahead(self, priority: int) -> int:
        """Return how many entries have this priority or a higher one."""
        return sum(
            len(entries)
            for value, group in self._classes.items()
            if value <= priority
            for entries in group.entries.values()
        )

    def __iter__(self) -> abc.Iterator[Entry[ItemT]]:
        """Iterate over the entries by priority and deadline."""
        listed = [entry for _, entry in self._entries.values()]
        return iter(sorted(listed, key=lambda item: (item.priority, item.deadline_s)))
