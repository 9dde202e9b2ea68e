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
from endivevane.serving import load_table, model, target_selection

# Least time that a request needs at a target; one with less left is refused.
_MIN_RUN_S = 0.1
# Mean time from the grant to the first event, until some have been observed.
_INITIAL_FIRST_EVENT_S = 0.1
_FIRST_EVENT_WEIGHT = 0.1
# A request counts as late if it misses its objective when its first event takes this
# many times the mean time.
_FIRST_EVENT_MARGIN = 1.3
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 1.5
# Refused clients return after this time where targets have rate limits: their tokens
# come back as a window of seconds moves on, and clients may return once only.
_RATE_LIMITED_RETRY_S = 1.3
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
        self._generator = generator
        self._waiters: list[Waiter] = []
        self._mean_first_event_s: dict[str, float] = {}
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiters)

    def ask(
        self, slot_request: SlotRequest, resolve: ResolveCallback, now_s: float
    ) -> Waiter | None:
        """Resolve a request at once, or queue it.

        :returns: ``None`` when it was resolved
        """
        decision = self._decide(slot_request, now_s)
        if decision is not None:
            resolve(decision)
            return None
        waiter = Waiter(slot_request, next(self._sequence), resolve)
        self._waiters.append(waiter)
        self._publish_waiting(now_s)
        return waiter

    def cancel(self, waiter: Waiter, now_s: float) -> None:
        """Remove a request that no longer waits."""
        waiter.is_resolved = True
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._publish_waiting(now_s)

    def grant_free_slots(self, now_s: float) -> None:
        """Grant free slots to waiting requests, and refuse those out of time."""
        if not self._waiters:
            return
        # Passes over the targets of one version say nothing of another one's.
        misses: collections.Counter[tuple[str, str | None]] = collections.Counter()
        for waiter in self._list_ordered(now_s):
            if waiter.is_resolved:
                continue
            slot_request = waiter.slot_request
            if slot_request.deadline_s - now_s < _MIN_RUN_S:
                self._resolve(waiter, self._refuse(slot_request.service))
                continue
            if self._is_unservable(slot_request):
                self._resolve(waiter, self._refuse(slot_request.service))
                continue
            group = (slot_request.service, slot_request.version)
            if misses[group] >= _MAX_MISSES:
                continue
            if self._should_yield(slot_request, now_s):
                if now_s > slot_request.objective_s + _MAX_YIELD_S:
                    self._resolve(waiter, self._refuse(slot_request.service))
                continue
            target = self._choose(slot_request, now_s)
            if target is None:
                misses[group] += 1 if slot_request.is_restricted else _MAX_MISSES
                continue
            self._resolve(waiter, Granted(target))
        self._waiters = [item for item in self._waiters if not item.is_resolved]
        self._publish_waiting(now_s)

    def record_hold(self, service: str, hold_s: float) -> None:
        """Record how long a request held its slot."""
        self._selector.record_hold(service, hold_s)

    def record_first_event(self, service: str, first_event_s: float) -> None:
        """Record the time from the grant to the first event."""
        mean_s = self._mean_first_event_s.get(service, _INITIAL_FIRST_EVENT_S)
        self._mean_first_event_s[service] = mean_s + _FIRST_EVENT_WEIGHT * (
            first_event_s - mean_s
        )

    def get_mean_first_event_s(self, service: str) -> float:
        """Return the mean time from the grant to the first event."""
        return self._mean_first_event_s.get(service, _INITIAL_FIRST_EVENT_S)

    def estimate_wait_s(self, service: str) -> float:
        """Estimate how long one more request that can be on time waits for a slot."""
        rate_per_s = self._selector.estimate_rate_per_s(service)
        if not rate_per_s:
            return _MAX_RETRY_S
        ahead = self._loads.count_waiting_requests(service)
        return (ahead + 1) / rate_per_s

    def retry_after_s(self, service: str) -> float:
        """Return when a refused client should retry, with jitter."""
        wait_s = self.estimate_wait_s(service)
        wait_s = min(_MAX_RETRY_S, max(_MIN_RETRY_S, wait_s))
        if self._selector.has_rate_limits(service):
            wait_s = _RATE_LIMITED_RETRY_S
        return wait_s * (0.75 + 0.5 * self._generator.random())

    def describe_load(self, service: str) -> dict[str, object]:
        """Return the load figures behind a refusal, for the log."""
        return {
            "slots": self._selector.count_slots(service),
            "running": self._selector.count_running(service),
            "waiting": self._loads.count_waiting_requests(service),
            "wait_ms": int(self.estimate_wait_s(service) * 1000),
            "load_age_ms": int(self._loads.same_region_age_s * 1000),
        }

    def _decide(self, slot_request: SlotRequest, now_s: float) -> Decision | None:
        """Decide on a new request; ``None`` if it has to wait."""
        if slot_request.deadline_s - now_s < _MIN_RUN_S:
            return self._refuse(slot_request.service)
        if not self._has_waiters_ahead(slot_request, now_s):
            target = self._choose(slot_request, now_s)
            if target is not None:
                return Granted(target)
        if not self._selector.has_targets(slot_request.service, now_s):
            return self._refuse(slot_request.service)
        if self._is_unservable(slot_request):
            return self._refuse(slot_request.service)
        if self._should_refuse(slot_request, now_s):
            return self._refuse(slot_request.service)
        return None

    def _is_unservable(self, slot_request: SlotRequest) -> bool:
        """Whether no target serves the version that a request must run at."""
        return slot_request.version is not None and not self._selector.serves_version(
            slot_request.service, slot_request.version
        )

    def _resolve(self, waiter: Waiter, decision: Decision) -> None:
        waiter.is_resolved = True
        waiter.resolve(decision)

    def _refuse(self, service: str) -> Refused:
        return Refused(self.retry_after_s(service))

    def _list_ordered(self, now_s: float) -> list[Waiter]:
        """Return the waiting requests in the order in which they are granted slots."""
        return sorted(
            self._waiters,
            key=lambda item: item.sort_key(
                now_s, self._estimate_first_event_s(item.slot_request.service)
            ),
        )

    def _publish_waiting(self, now_s: float) -> None:
        """Publish the number of waiting requests that can still be on time."""
        self._loads.set_waiting_requests(
            collections.Counter(
                item.slot_request.service
                for item in self._waiters
                if not item.sort_key(
                    now_s, self._estimate_first_event_s(item.slot_request.service)
                )[0]
            )
        )

    def _has_waiters_ahead(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether unrestricted requests of the service wait ahead of this one."""
        first_event_s = self._estimate_first_event_s(slot_request.service)
        own_key = (
            now_s + first_event_s > slot_request.objective_s,
            slot_request.priority,
        )
        for waiter in self._waiters:
            if (
                waiter.slot_request.service != slot_request.service
                or waiter.slot_request.is_restricted
                or waiter.slot_request.version not in (None, slot_request.version)
            ):
                continue
            if waiter.sort_key(now_s, first_event_s)[:2] <= own_key:
                return True
        return False

    def _should_refuse(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether to refuse a request rather than queue it.

        A request that would be late but whose client retries is refused, to return when
        there is room; one that can't be served at all is refused at once.
        """
        served_s = now_s + self.estimate_wait_s(slot_request.service)
        if served_s + _MIN_RUN_S > slot_request.deadline_s:
            return True
        first_event_s = self._estimate_first_event_s(slot_request.service)
        return (
            slot_request.may_retry
            and served_s + first_event_s > slot_request.objective_s
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
        first_event_s = self._estimate_first_event_s(slot_request.service)
        return now_s + first_event_s > slot_request.objective_s

    def _estimate_first_event_s(self, service: str) -> float:
        return _FIRST_EVENT_MARGIN * self.get_mean_first_event_s(service)

    def _choose(self, slot_request: SlotRequest, now_s: float) -> model.Target | None:
        """Return the target for a request, ``None`` if it has to wait.

        One that has to wait requests a token of the targets that have a limit.
        """
        target = self._find_target(slot_request, now_s)
        if target is not None:
            return target
        is_late = self._is_late(slot_request, now_s)
        need = token_holder.TokenNeed(
            rate_messages.Need.LATE if is_late else rate_messages.Need.WAITING,
            slot_request.priority,
            slot_request.objective_s,
        )
        has_token = self._selector.request_online_token(
            slot_request.service,
            need,
            now_s,
            slot_request.excluded | slot_request.avoided,
            slot_request.allowed,
            slot_request.version,
        )
        return self._find_target(slot_request, now_s) if has_token else None

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
            - self._estimate_first_event_s(slot_request.service),
            slot_request.request_bytes,
        )
