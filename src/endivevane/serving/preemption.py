"""Which batch items on a target give way to online requests."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane.serving import item_estimates, target_selection

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate(typing.Generic[T]):
    """An item that runs.

    :param started_s: when its run began, on the caller's clock
    """

    item: T
    urgency: item_estimates.Urgency
    started_s: float


def choose_items(
    running: abc.Iterable[Candidate[T]], surplus: int, batch: int
) -> list[T]:
    """Return the items that leave a target.

    Late items go first; among others, those that started last lose least. Urgent items
    keep some places.

    :param running: this daemon's items on the target
    :param surplus: how many of them should leave
    :param batch: items of all daemons on the target
    """
    ordered = sorted(
        running, key=lambda item: (item.urgency, item.started_s), reverse=True
    )
    chosen: list[T] = []
    for candidate in ordered[:surplus]:
        is_urgent = candidate.urgency is item_estimates.Urgency.URGENT
        if is_urgent and batch - len(chosen) <= target_selection.URGENT_PLACES:
            break
        chosen.append(candidate.item)
    return chosen
