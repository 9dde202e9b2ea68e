"""Draw a target such that daemons with the same view load the targets evenly.

Daemons that all choose the least loaded target overload it together before any of
them learns of it. So the requests that others have placed meanwhile are estimated and
distributed by water-filling, which raises the lowest loads to a common level; a target
is drawn with its share of them as its weight.
"""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from endivevane.serving import model


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a request.

    :param cost: its load as a share of its slots, plus penalties in the same unit
    """

    target: model.Target
    cost: float


def compute_shares(candidates: abc.Sequence[Candidate], amount: float) -> list[float]:
    """Return each candidate's share of requests distributed by water-filling.

    :param candidates: in ascending order of cost
    :param amount: number of requests, more than 0
    """
    left = amount
    slots = 0
    level = 0.0
    for candidate in candidates:
        rise = candidate.cost - level
        if slots and slots * rise >= left:
            break
        left -= slots * rise
        level = candidate.cost
        slots += candidate.target.slots
    if slots:
        level += left / slots
    return [max(0.0, (level - item.cost) * item.target.slots) for item in candidates]


def draw_target(
    candidates: abc.Iterable[Candidate], unreported: float, generator: random.Random
) -> model.Target | None:
    """Return a target drawn by weight, ``None`` if there is no candidate.

    :param unreported: requests placed by others that no cost includes yet
    """
    ordered = sorted(candidates, key=lambda item: item.cost)
    if not ordered:
        return None
    weights = compute_shares(ordered, unreported + 1.0)
    return generator.choices([item.target for item in ordered], weights)[0]
