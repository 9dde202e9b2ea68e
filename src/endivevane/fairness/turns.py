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
