"""Choosing the batch items to preempt for online requests."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane.serving import item_estimates, target_selection

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate(typing.Generic[T]):
    """A running item.

    :param started_s: when its run began, on the caller's clock
    """

    item: T
    urgency: item_estimates.Urgency
    started_s: float


def choose_items(
    running: abc.Iterable[Candidate[T]], surplus: int, batch: int
) -> list[T]:
    """Return the items on a target to preempt.

    Late items are preempted first, then normal ones, then urgent ones; within each
    group those that started last, since they lose the least work. Urgent items keep
    some slots.

    :param running: the caller's items on the target
    :param surplus: how many of them should be preempted
    :param batch: items of all daemons on the target
    """
    ordered = sorted(
        running, key=lambda item: (item.urgency, item.started_s), reverse=True
    )
    chosen: list[T] = []
    for candidate in ordered[:surplus]:
        is_urgent = candidate.urgency is item_estimates.Urgency.URGENT
        if is_urgent and batch - len(chosen) <= target_selection.URGENT_SLOTS:
            break
        chosen.append(candidate.item)
    return chosen
