"""Requests of batch items for slots."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.serving import item_estimates, model, owned_jobs


@dataclasses.dataclass(frozen=True, slots=True)
class ItemRequest:
    """An item that needs a slot."""

    urgency: item_estimates.Urgency
    owned: owned_jobs.OwnedJob
    run: owned_jobs.ItemRun
    route: model.Route
    service: str


def find_fitting(requests: abc.Sequence[ItemRequest], target: model.Target) -> int:
    """Return the position of the item that gets the slot of the first one.

    That is the first item as urgent as that one which need not start again at the
    target's version, or else the first one itself.
    """
    first = requests[0]
    for position, request in enumerate(requests):
        if (request.service, request.urgency) != (first.service, first.urgency):
            continue
        if request.run.can_go_on_at(target.version):
            return position
    return 0
