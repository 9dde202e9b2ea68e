"""The order in which organisations take turns with items of the same urgency."""

from __future__ import annotations

import collections
import typing
from collections import abc

T = typing.TypeVar("T")


def order_by_turns(
    items: abc.Sequence[T],
    describe: abc.Callable[[T], tuple[int, str]],
    held: abc.Mapping[str, int],
) -> list[T]:
    """Return items such that those of organisations with fewer slots go first.

    Items of different urgency, and those of one organisation, keep their order.

    :param items: in the order in which they would go if all were of one organisation
    :param describe: returns the urgency of an item, the lowest first, and whose it is
    :param held: slots that each organisation holds
    """
    described = [describe(item) for item in items]
    if len({organisation for _, organisation in described}) < 2:
        return list(items)
    before: collections.Counter[str] = collections.Counter(held)
    keys = []
    for position, (urgency, organisation) in enumerate(described):
        keys.append((urgency, before[organisation], position))
        before[organisation] += 1
    return [items[position] for *_, position in sorted(keys)]


class Turns:
    """Counts the slots for items that organisations hold, to order further ones."""

    def __init__(self) -> None:
        self._held: collections.Counter[str] = collections.Counter()

    def record_grant(self, organisation: str | None) -> None:
        """Record a slot, of ``None`` if it is not known whose it is."""
        if organisation is not None:
            self._held[organisation] += 1

    def record_end(self, organisation: str | None) -> None:
        """Record that such a slot is free again."""
        if organisation is None:
            return
        self._held[organisation] -= 1
        if not self._held[organisation]:
            del self._held[organisation]

    def order(
        self, items: abc.Sequence[T], describe: abc.Callable[[T], tuple[int, str]]
    ) -> list[T]:
        """Return items in their order; see :func:`order_by_turns`."""
        return order_by_turns(items, describe, self._held)
