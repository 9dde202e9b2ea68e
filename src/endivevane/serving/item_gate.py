"""Whether an item of a job may begin a run."""

from __future__ import annotations

import enum
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    item_requests,
    model,
    owned_jobs,
    routing_table,
    target_registry,
)

# An item without a route in the newest configuration fails after this time. While the
# store is degraded, a daemon's configuration may be out of date for nearly as long.
_ROUTE_MISSING_LIMIT_S = 12.5
# An item runs no more once so many times ``max_attempts`` runs of it may have failed.
_MAX_FAILED_FACTOR = 3
# Interval of looks at an item that is held; its route may have changed.
_HELD_INTERVAL_S = 2.0
# Clocks of daemons differ by less than this.
_CLOCK_MARGIN_S = 1.0

GiveUp = abc.Callable[[owned_jobs.OwnedJob, owned_jobs.ItemRun], None]


class Admission(enum.Enum):
    """What becomes of an item that could run."""

    BEGIN = "begin"
    RECORD = "record"
    HOLD = "hold"
    GIVE_UP = "give up"


def decide(
    owned: owned_jobs.OwnedJob,
    run: owned_jobs.ItemRun,
    route: model.Route,
    age_s: float,
) -> Admission:
    """Decide whether an item runs, so that its failed runs stay within their limit.

    A run that was under way when its owner was lost may have failed or not. It counts
    towards the limit of runs, but an item is listed as failed only for failures that
    are known. An item at the limit without enough of them is held until it may be
    abandoned. One that has had an event does not fail at each run.

    :param age_s: time since the job was submitted
    """
    if run.has_had_event:
        return Admission.BEGIN
    item_id = run.item.item_id
    max_attempts = max(1, route.max_attempts)
    failed = owned.failed_runs.count(item_id)
    unknown = owned.records.count_unknown(item_id)
    if failed + unknown < _MAX_FAILED_FACTOR * max_attempts:
        is_stored = owned.records.is_stored(item_id)
        return Admission.BEGIN if is_stored else Admission.RECORD
    if _is_overdue(age_s, route) or failed >= max_attempts:
        return Admission.GIVE_UP
    return Admission.HOLD


def may_be_abandoned(owned: owned_jobs.OwnedJob, route: model.Route) -> bool:
    """Return whether the items of a job may be listed as failed, for their age."""
    return _is_overdue(_get_age_s(owned), route)


def _is_overdue(age_s: float, route: model.Route) -> bool:
    return age_s > route.retention_s + _CLOCK_MARGIN_S


class ItemGate:
    """Finds the routes of items, and holds or gives up those that must not run.

    :param give_up: lists an item as failed
    """

    def __init__(
        self, give_up: GiveUp, targets: target_registry.TargetRegistry
    ) -> None:
        self._give_up = give_up
        self._targets = targets

    def find_route(
        self,
        table: routing_table.RoutingTable,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        now_s: float,
    ) -> model.Route | None:
        """Return the route of an item that may run now, ``None`` if it may not."""
        route = table.find_batch(owned.entry.job.host, run.item.path)
        if route is None:
            self._handle_missing_route(owned, run, now_s)
            return None
        run.routeless_since_s = 0.0
        if self._is_refused_for_good(owned, run, route):
            self._log("refused_item_given_up", owned, run)
            self._give_up(owned, run)
            return None
        admission = decide(owned, run, route, _get_age_s(owned))
        if admission is Admission.BEGIN:
            return route
        if admission is Admission.RECORD:
            owned.records.request(run.item.item_id, now_s)
            return None
        owned.records.drop(run.item.item_id)
        if admission is Admission.GIVE_UP:
            self._log("held_item_given_up", owned, run)
            self._give_up(owned, run)
            return None
        self._hold(owned, run, now_s)
        return None

    def _is_refused_for_good(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun, route: model.Route
    ) -> bool:
        """Return whether an item that may be abandoned fits into no target."""
        if not run.refusals.is_doubtful or not may_be_abandoned(owned, route):
            return False
        return run.refusals.are_final(item_requests.list_served(route, self._targets))

    def _hold(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun, now_s: float
    ) -> None:
        run.not_before_s = now_s + _HELD_INTERVAL_S
        if run.is_held:
            return
        run.is_held = True
        metrics.BATCH_ITEMS_HELD.inc()
        self._log("item_held", owned, run)

    def _handle_missing_route(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun, now_s: float
    ) -> None:
        """Fail an item whose route has been missing for too long."""
        if not run.routeless_since_s:
            run.routeless_since_s = now_s
        if now_s - run.routeless_since_s < _ROUTE_MISSING_LIMIT_S:
            return
        logs.limited_info("item_without_route", job=owned.job_id, item=run.item.item_id)
        self._give_up(owned, run)

    def _log(
        self, event: str, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun
    ) -> None:
        item_id = run.item.item_id
        logs.limited_info(
            event,
            job=owned.job_id,
            item=item_id,
            failed_runs=owned.failed_runs.count(item_id),
            unknown_runs=owned.records.count_unknown(item_id),
        )


def _get_age_s(owned: owned_jobs.OwnedJob) -> float:
    """Return the time since a job was submitted."""
    return time.time() - owned.entry.job.created_ms / 1000.0
