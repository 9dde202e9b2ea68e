"""Drawing a target such that daemons with the same view fill the targets evenly.

Daemons that all choose the least loaded target fill it together before any of them
hears of it. So what the others have placed meanwhile is taken into account: it is
shared out by water-filling, which raises the lowest loads to a common level, and a
target is drawn by its share.
"""

from __future__ import annotations

import dataclasses
import random
from collections import abc

from endivevane.serving import model


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may get a request.

    :param cost: its load as a share of its slots, and what else speaks against it in
        the same unit
    """

    target: model.Target
    cost: float


def weigh(candidates: abc.Sequence[Candidate], amount: float) -> list[float]:
    """Return what each candidate gets when requests are shared out by water-filling.

    :param candidates: by rising cost
    :param amount: requests, more than 0
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


def draw(
    candidates: abc.Iterable[Candidate], unknown: float, generator: random.Random
) -> model.Target | None:
    """Return a target, ``None`` if there is no candidate.

    :param unknown: requests that others have placed and that no cost contains yet
    """
    ordered = sorted(candidates, key=lambda item: item.cost)
    if not ordered:
        return None
    weights = weigh(ordered, unknown + 1.0)
    return generator.choices([item.target for item in ordered], weights)[0]
