"""Requests of batch items for slots."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections import abc

from endivevane.fairness import turns
from endivevane.serving import (
    item_estimates,
    model,
    owned_jobs,
    routing_table,
    target_registry,
    target_selection,
)

# How long an item waits for room at the service and version of its events before it
# starts again elsewhere.
_MAX_WAIT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class ItemRequest:
    """An item that needs a slot."""

    urgency: item_estimates.Urgency
    owned: owned_jobs.OwnedJob
    run: owned_jobs.ItemRun
    route: model.Route
    service: str

    @property
    def organisation(self) -> str:
        """Whose item it is, empty for none."""
        return self.owned.entry.job.organisation or ""

    def find_avoided(self, targets: target_registry.TargetRegistry) -> frozenset[str]:
        """Return the targets that a doubtful item need not be sent to again.

        They are those that have refused it, until all have.
        """
        if not self.run.refusals.is_doubtful:
            return frozenset()
        usable = {known.target.target_id for known in targets.list_usable(self.service)}
        refused = usable & self.run.refused_by
        return frozenset() if refused == usable else frozenset(refused)


Ready = tuple[item_estimates.Urgency, owned_jobs.OwnedJob, owned_jobs.ItemRun]


def order_by_shares(
    ready: abc.Sequence[Ready], owned_now: abc.Iterable[owned_jobs.OwnedJob]
) -> list[Ready]:
    """Return items such that organisations take turns among those as urgent.

    :param ready: items by urgency and due time
    :param owned_now: all jobs of this daemon, whose running items count
    """
    if len({owned.entry.job.organisation for _, owned, _ in ready}) < 2:
        return list(ready)
    held: collections.Counter[str] = collections.Counter()
    for owned in owned_now:
        held[owned.entry.job.organisation or ""] += len(owned.list_running())
    # Items that go last do so whose ever they are, as if less urgent still.
    return turns.order_by_turns(
        ready,
        lambda entry: (
            entry[0] + entry[2].goes_last,
            entry[1].entry.job.organisation or "",
        ),
        held,
    )


def choose_service(
    run: owned_jobs.ItemRun,
    route: model.Route,
    generator: random.Random,
    now_s: float,
    targets: target_registry.TargetRegistry,
) -> str:
    """Return the service of its route that an item should run at.

    That is the service of its events, unless the route no longer allows it or the item
    has waited for it too long; at another one the item starts again. A doubtful item is
    sent to all services, whatever their weights.
    """
    if run.service and _may_wait(run, now_s) and route.allows(run.service):
        return run.service
    if run.refusals.is_doubtful:
        served = list_served(route, targets)
        if served:
            return run.refusals.choose_service(served, generator)
    return routing_table.choose_service(route, generator)


def list_served(
    route: model.Route, targets: target_registry.TargetRegistry
) -> list[str]:
    """Return the services of a route that have a target to use."""
    return [
        service.name
        for service in route.services
        if service.weight > 0 and targets.list_usable(service.name)
    ]


def find_fitting(requests: abc.Sequence[ItemRequest], target: model.Target) -> int:
    """Return the position of the item that gets the slot of the first one.

    That is the first item as urgent as that one which need not start again at the
    target, or else the first one itself.
    """
    first = requests[0]
    for position, request in enumerate(requests):
        if (request.service, request.urgency) != (first.service, first.urgency):
            continue
        if request.run.can_go_on_at(target):
            return position
    return 0


def find_version(
    request: ItemRequest, selector: target_selection.TargetSelector, now_s: float
) -> str | None:
    """Return the version that an item should go on at, ``None`` for any.

    It starts again elsewhere if no target serves that version, or none has had room.
    """
    run = request.run
    if run.version is None or run.service != request.service:
        return None
    if not _may_wait(run, now_s):
        return None
    is_served = selector.serves_version(request.service, run.version)
    return run.version if is_served else None


def _may_wait(run: owned_jobs.ItemRun, now_s: float) -> bool:
    """Return whether an item has events that are worth a wait for room."""
    return bool(run.last_event) and now_s - run.advanced_s <= _MAX_WAIT_S
