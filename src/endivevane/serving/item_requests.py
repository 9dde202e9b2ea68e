"""Requests of batch items for slots."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.serving import item_estimates, model, owned_jobs, target_selection

# How long an item waits for room at the version of its events before it starts again.
_MAX_VERSION_WAIT_S = 3.0


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


def find_version(
    request: ItemRequest, selector: target_selection.TargetSelector, now_s: float
) -> str | None:
    """Return the version that an item should go on at, ``None`` for any.

    It starts again elsewhere if no target serves that version, or none has had room.
    """
    run = request.run
    if not run.last_event or run.version is None:
        return None
    if now_s - run.ended_s > _MAX_VERSION_WAIT_S:
        return None
    is_served = selector.serves_version(request.service, run.version)
    return run.version if is_served else None
