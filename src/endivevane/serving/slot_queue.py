"""The order in which requests are granted slots, and which requests are refused.

The queue does no I/O, and the time is passed in. A daemon runs it for its own requests,
and the coordinator of a region runs it for those of all daemons there.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections import abc

from endivevane.rate_limits import holder as token_holder
from endivevane.rate_limits import messages as rate_messages
from endivevane.serving import (
    load_table,
    model,
    queue_shares,
    target_selection,
    wait_estimates,
)

# A request that has left its place to timely ones until this long after its objective
# is refused.
_MAX_YIELD_S = 0.6
# Restricted requests of a service that find no slot in one pass, after which the others
# of that service are left for the next pass.
_MAX_MISSES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """What an online request requires of a slot.

    :param objective_s: monotonic time until which the response is on time
    :param deadline_s: monotonic time after which the response is of no use
    :param may_retry: whether the client retries after a refusal
    :param excluded: targets that it must not go to
    :param allowed: targets that it may go to, ``None`` for any
    :param version: software version that it must run at, ``None`` for any
    :param avoided: targets that its daemon has recently seen fail
    :param availability_zone: zone of its daemon, empty for this daemon's
    :param request: the request's id, for the log
    :param organisation: whose request it is, empty for none
    :param request_bytes: size of its body, ``None`` if unknown
    """

    service: str
    priority: int
    objective_s: float
    deadline_s: float
    may_retry: bool = False
    excluded: frozenset[str] = frozenset()
    allowed: frozenset[str] | None = None
    version: str | None = None
    avoided: frozenset[str] = frozenset()
    availability_zone: str = ""
    request: str = ""
    organisation: str = ""
    request_bytes: int | None = None

    @property
    def is_restricted(self) -> bool:
        """Whether it may find no slot where another of its version finds one."""
        return bool(self.excluded or self.avoided) or self.allowed is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A slot is granted."""

    target: model.Target


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A slot is refused.

    :param retry_after_s: time after which the client is best served on a retry
    :param coordinator: daemon that decided, empty if this one did
    """

    retry_after_s: float
    coordinator: str = ""


Decision = Granted | Refused
# Requests that have found no slot in one pass, by service and version.
Misses = collections.Counter[tuple[str, str | None]]
ResolveCallback = abc.Callable[[Decision], None]


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a slot.

    :param resolve: called once with the decision; records a granted slot as held
    """

    slot_request: SlotRequest
    number: int
    resolve: ResolveCallback
    is_resolved: bool = False

    def sort_key(
        self, now_s: float, first_event_s: float
    ) -> tuple[bool, int, float, int]:
        """Return the sort key: timely before late, then by priority, objective, age.

        :param first_event_s: time from the grant to the first event
        """
        is_late = now_s + first_event_s > self.slot_request.objective_s
        return (
            is_late,
            self.slot_request.priority,
            self.slot_request.objective_s,
            self.number,
        )


class SlotQueue:
    """Grants slots to requests in order and queues those that find none."""

    def __init__(
        self,
        selector: target_selection.TargetSelector,
        loads: load_table.LoadTable,
        generator: random.Random,
    ) -> None:
        self._selector = selector
        self._loads = loads
        self._waiters: list[Waiter] = []
        self._sequence = itertools.count()
        # Requests of services with shares wait there, the others in the list.
        self._shares: queue_shares.QueueShares[Waiter] = queue_shares.QueueShares(
            loads, self._find_late_before_s
        )
        self._estimates = wait_estimates.WaitEstimator(
            selector, loads, self._shares, generator
        )
        self._updated_s = 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters) + self._shares.waiting

    def ask(
        self, slot_request: SlotRequest, resolve: ResolveCallback, now_s: float
    ) -> Waiter | None:
        """Resolve a request at once, or queue it.

        :returns: ``None`` when it was resolved
        """
        self._updated_s = now_s
        self._shares.record_arrival(slot_request, self._waiters, now_s)
        decision = self._decide(slot_request, now_s)
        if decision is not None:
            resolve(decision)
            return None
        waiter = Waiter(slot_request, next(self._sequence), resolve)
        if not self._shares.add(waiter, now_s):
            self._waiters.append(waiter)
        self._publish_waiting(now_s)
        return waiter

    def cancel(self, waiter: Waiter, now_s: float) -> None:
        """Remove a request that no longer waits."""
        self._updated_s = now_s
        waiter.is_resolved = True
        if self._shares.remove(waiter, now_s):
            self._publish_waiting(now_s)
        elif waiter in self._waiters:
            self._waiters.remove(waiter)
            self._publish_waiting(now_s)

    def grant_free_slots(self, now_s: float) -> None:
        """Grant free slots to waiting requests, and refuse those out of time."""
        if not self.waiting:
            return
        self._updated_s = now_s
        # Passes over the targets of one version say nothing of another one's.
        misses: Misses = collections.Counter()
        find_first_event_s = self._estimates.estimate_first_event_s
        for waiter in sorted(
            self._waiters,
            key=lambda item: item.sort_key(
                now_s, find_first_event_s(item.slot_request.service)
            ),
        ):
            self._handle(waiter, misses, now_s)
        self._waiters = [item for item in self._waiters if not item.is_resolved]
        for service in self._shares.services:
            self._shares.grant(
                service,
                now_s,
                lambda waiter: self._refuse_hopeless(waiter, now_s),
                lambda waiter: self._handle(waiter, misses, now_s),
            )
        self._publish_waiting(now_s)

    def record_end(self, service: str, organisation: str, now_s: float) -> None:
        """Record that a slot granted by this queue is free again."""
        self._shares.record_end(service, organisation, now_s)

    def record_hold(self, service: str, hold_s: float) -> None:
        """Record how long a request held its slot."""
        self._selector.record_hold(service, hold_s)

    def record_first_event(self, service: str, first_event_s: float) -> None:
        """Record the time from the grant to the first event."""
        self._estimates.record_first_event(service, first_event_s)

    def get_mean_first_event_s(self, service: str) -> float:
        """Return the mean time from the grant to the first event."""
        return self._estimates.get_mean_first_event_s(service)

    def retry_after_s(self, service: str, organisation: str = "") -> float:
        """Return when a refused client should retry, with jitter."""
        return self._estimates.retry_after_s(service, organisation, self._updated_s)

    def describe_load(self, service: str, organisation: str = "") -> dict[str, object]:
        """Return the load figures behind a refusal, for the log."""
        return self._estimates.describe_load(service, organisation, self._updated_s)

    def _decide(self, slot_request: SlotRequest, now_s: float) -> Decision | None:
        """Decide on a new request; ``None`` if it has to wait."""
        if slot_request.deadline_s - now_s < wait_estimates.MIN_RUN_S:
            return self._refuse(slot_request)
        if not self._has_waiters_ahead(slot_request, now_s):
            target = self._choose(slot_request, now_s)
            if target is not None:
                return Granted(target)
        if (
            not self._selector.has_targets(slot_request.service, now_s)
            or self._cannot_run(slot_request, now_s)
            or self._estimates.should_refuse(slot_request, now_s)
        ):
            return self._refuse(slot_request)
        return None

    def _handle(self, waiter: Waiter, misses: Misses, now_s: float) -> bool:
        """Grant a waiting request a slot, refuse it or leave it waiting.

        :returns: whether there may be slots for more requests of its version
        """
        if waiter.is_resolved:
            return True
        slot_request = waiter.slot_request
        if self._cannot_run(slot_request, now_s):
            self._refuse_waiter(waiter)
            return True
        group = (slot_request.service, slot_request.version)
        if misses[group] >= _MAX_MISSES:
            return False
        if self._should_yield(slot_request, now_s):
            if now_s > slot_request.objective_s + _MAX_YIELD_S:
                self._refuse_waiter(waiter)
            return True
        target = self._choose(slot_request, now_s)
        if target is not None:
            waiter.is_resolved = True
            waiter.resolve(Granted(target))
            return True
        misses[group] += 1 if slot_request.is_restricted else _MAX_MISSES
        return misses[group] < _MAX_MISSES

    def _refuse_hopeless(self, waiter: Waiter, now_s: float) -> bool:
        """Refuse a request of a service with shares that need not wait any longer.

        A late request of an organisation that uses all of its share would be passed by
        the timely ones until it is out of time.
        """
        slot_request = waiter.slot_request
        is_hopeless = self._cannot_run(slot_request, now_s) or (
            now_s > slot_request.objective_s + _MAX_YIELD_S
            and self._shares.is_over(
                slot_request.service, slot_request.organisation, now_s
            )
        )
        if is_hopeless:
            self._refuse_waiter(waiter)
        return is_hopeless

    def _find_late_before_s(self, service: str, now_s: float) -> float:
        """Return the objective before which a request is late if granted now."""
        return now_s + self._estimates.estimate_first_event_s(service)

    def _cannot_run(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether a request is out of time, or no target serves its version."""
        if slot_request.deadline_s - now_s < wait_estimates.MIN_RUN_S:
            return True
        service, version = slot_request.service, slot_request.version
        return version is not None and not self._selector.serves_version(
            service, version
        )

    def _refuse_waiter(self, waiter: Waiter) -> None:
        waiter.is_resolved = True
        waiter.resolve(self._refuse(waiter.slot_request))

    def _refuse(self, slot_request: SlotRequest) -> Refused:
        service, organisation = slot_request.service, slot_request.organisation
        self._shares.record_refusal(service, organisation, self._updated_s)
        return Refused(self.retry_after_s(service, organisation))

    def _publish_waiting(self, now_s: float) -> None:
        """Publish the number of waiting requests that can still be on time."""
        counts = collections.Counter(
            item.slot_request.service
            for item in self._waiters
            if not self._is_late(item.slot_request, now_s)
        )
        counts.update(self._shares.count_waiting(now_s))
        self._loads.set_waiting_requests(counts)

    def _has_waiters_ahead(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether unrestricted requests of the service wait ahead of this one."""
        service = slot_request.service

        def may_block(waiter: Waiter) -> bool:
            version = waiter.slot_request.version
            is_same = version in (None, slot_request.version)
            return is_same and not waiter.slot_request.is_restricted

        if self._shares.find(service) is not None:
            return self._shares.has_ahead(slot_request, now_s, may_block)
        first_event_s = self._estimates.estimate_first_event_s(service)
        own_key = (self._is_late(slot_request, now_s), slot_request.priority)
        return any(
            waiter.sort_key(now_s, first_event_s)[:2] <= own_key
            for waiter in self._waiters
            if waiter.slot_request.service == service and may_block(waiter)
        )

    def _should_yield(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether a late request leaves its place to timely ones of any daemon."""
        service = slot_request.service
        return (
            self._selector.has_rate_limits(service)
            and self._is_late(slot_request, now_s)
            and self._loads.count_waiting_requests(service) > 0
        )

    def _is_late(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether a request misses its objective even if it is granted a slot now."""
        late_before_s = self._find_late_before_s(slot_request.service, now_s)
        return slot_request.objective_s < late_before_s

    def _choose(self, slot_request: SlotRequest, now_s: float) -> model.Target | None:
        """Return the target that a request is granted, ``None`` if it has to wait.

        One that has to wait requests a token of the targets that have a limit.
        """
        target = self._find_target(slot_request, now_s)
        if target is None and self._request_token(slot_request, now_s):
            target = self._find_target(slot_request, now_s)
        if target is not None:
            self._shares.record_grant(slot_request, now_s)
        return target

    def _request_token(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Request a token for a request; return whether one is there."""
        is_late = self._is_late(slot_request, now_s)
        need = token_holder.TokenNeed(
            rate_messages.Need.LATE if is_late else rate_messages.Need.WAITING,
            slot_request.priority,
            slot_request.objective_s,
        )
        return self._selector.request_online_token(
            slot_request.service,
            need,
            now_s,
            slot_request.excluded | slot_request.avoided,
            slot_request.allowed,
            slot_request.version,
        )

    def _find_target(
        self, slot_request: SlotRequest, now_s: float
    ) -> model.Target | None:
        return self._selector.choose_online(
            slot_request.service,
            now_s,
            slot_request.excluded | slot_request.avoided,
            slot_request.allowed,
            slot_request.version,
            slot_request.availability_zone,
            slot_request.objective_s
            - self._estimates.estimate_first_event_s(slot_request.service),
            slot_request.request_bytes,
        )
