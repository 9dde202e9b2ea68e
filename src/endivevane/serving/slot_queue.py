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

from endivevane.fairness import order
from endivevane.rate_limits import holder as token_holder
from endivevane.rate_limits import messages as rate_messages
from endivevane.serving import load_table, model, queue_shares, target_selection

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
# The same for a client of an organisation that uses all of its share: it lasts until
# the organisation's surplus is served or has ceased.
_MAX_SURPLUS_RETRY_S = 4.0
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
        self._shares = queue_shares.QueueShares(loads)
        self._updated_s = 0.0

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
        self._updated_s = now_s
        self._shares.add(slot_request.service, slot_request.organisation)
        decision = self._decide(slot_request, now_s)
        if decision is not None:
            self._record_grant(slot_request, decision)
            resolve(decision)
            return None
        waiter = Waiter(slot_request, next(self._sequence), resolve)
        self._waiters.append(waiter)
        self._publish_waiting(now_s)
        return waiter

    def cancel(self, waiter: Waiter, now_s: float) -> None:
        """Remove a request that no longer waits."""
        self._updated_s = now_s
        waiter.is_resolved = True
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._publish_waiting(now_s)

    def grant_free_slots(self, now_s: float) -> None:
        """Grant free slots to waiting requests, and refuse those out of time."""
        if not self._waiters:
            return
        self._updated_s = now_s
        # Passes over the targets of one version say nothing of another one's.
        misses: collections.Counter[tuple[str, str | None]] = collections.Counter()
        shared: dict[str, list[Waiter]] = {}
        plain: list[Waiter] = []
        for waiter in self._waiters:
            service = waiter.slot_request.service
            if self._shares.find(service) is None:
                plain.append(waiter)
            else:
                shared.setdefault(service, []).append(waiter)
        for waiter in self._list_ordered(plain, now_s):
            self._handle(waiter, misses, now_s)
        for service, waiters in shared.items():
            self._grant_fairly(service, waiters, misses, now_s)
        self._waiters = [item for item in self._waiters if not item.is_resolved]
        self._publish_waiting(now_s)

    def record_end(self, service: str, organisation: str, now_s: float) -> None:
        """Record that a slot granted by this queue is free again."""
        self._shares.record_end(service, organisation, now_s)

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

    def estimate_wait_s(self, service: str, organisation: str = "") -> float:
        """Estimate how long one more request that can be on time waits for a slot."""
        rate_per_s = self._selector.estimate_rate_per_s(service)
        if not rate_per_s:
            return _MAX_RETRY_S
        turns = self._shares.estimate_turns(service, organisation, self._updated_s)
        return turns / rate_per_s

    def retry_after_s(self, service: str, organisation: str = "") -> float:
        """Return when a refused client should retry, with jitter."""
        wait_s = self.estimate_wait_s(service, organisation)
        is_over = self._shares.is_over(service, organisation, self._updated_s)
        max_s = _MAX_SURPLUS_RETRY_S if is_over else _MAX_RETRY_S
        wait_s = min(max_s, max(_MIN_RETRY_S, wait_s))
        if self._selector.has_rate_limits(service):
            wait_s = _RATE_LIMITED_RETRY_S
        return wait_s * (0.75 + 0.5 * self._generator.random())

    def describe_load(self, service: str, organisation: str = "") -> dict[str, object]:
        """Return the load figures behind a refusal, for the log."""
        return {
            "slots": self._selector.count_slots(service),
            "running": self._selector.count_running(service),
            "waiting": self._loads.count_waiting_requests(service),
            "wait_ms": int(self.estimate_wait_s(service, organisation) * 1000),
            "load_age_ms": int(self._loads.same_region_age_s * 1000),
        }

    def _decide(self, slot_request: SlotRequest, now_s: float) -> Decision | None:
        """Decide on a new request; ``None`` if it has to wait."""
        if slot_request.deadline_s - now_s < _MIN_RUN_S:
            return self._refuse(slot_request)
        if not self._has_waiters_ahead(slot_request, now_s):
            target = self._choose(slot_request, now_s)
            if target is not None:
                return Granted(target)
        if not self._selector.has_targets(slot_request.service, now_s):
            return self._refuse(slot_request)
        if self._is_unservable(slot_request):
            return self._refuse(slot_request)
        if self._should_refuse(slot_request, now_s):
            return self._refuse(slot_request)
        return None

    def _handle(
        self,
        waiter: Waiter,
        misses: collections.Counter[tuple[str, str | None]],
        now_s: float,
    ) -> None:
        """Grant a waiting request a slot, refuse it or leave it waiting.

        :param misses: requests that have found no slot in this pass, by service and
            version
        """
        if waiter.is_resolved:
            return
        slot_request = waiter.slot_request
        if slot_request.deadline_s - now_s < _MIN_RUN_S:
            self._resolve(waiter, self._refuse(slot_request))
            return
        if self._is_unservable(slot_request):
            self._resolve(waiter, self._refuse(slot_request))
            return
        group = (slot_request.service, slot_request.version)
        if misses[group] >= _MAX_MISSES:
            return
        if self._should_yield(slot_request, now_s):
            if now_s > slot_request.objective_s + _MAX_YIELD_S:
                self._resolve(waiter, self._refuse(slot_request))
            return
        target = self._choose(slot_request, now_s)
        if target is None:
            misses[group] += 1 if slot_request.is_restricted else _MAX_MISSES
            return
        self._resolve(waiter, Granted(target))

    def _grant_fairly(
        self,
        service: str,
        waiters: abc.Sequence[Waiter],
        misses: collections.Counter[tuple[str, str | None]],
        now_s: float,
    ) -> None:
        """Grant free slots of a service to its waiting requests by their shares."""
        service_shares = self._shares.find(service)
        if service_shares is None:
            return
        first_event_s = self._estimate_first_event_s(service)
        requests: dict[str, list[tuple[order.Key, Waiter]]] = {}
        for waiter in waiters:
            key = waiter.sort_key(now_s, first_event_s)
            own = requests.setdefault(waiter.slot_request.organisation, [])
            own.append((key, waiter))
        share = service_shares.find_share(now_s)
        fair_order = order.FairOrder(
            requests,
            lambda organisation, passed_over: service_shares.rank(
                organisation, passed_over, share, now_s
            ),
        )
        while (first := fair_order.pop()) is not None:
            organisation, waiter = first
            self._handle(waiter, misses, now_s)
            fair_order.put_back(organisation, not waiter.is_resolved)

    def _is_unservable(self, slot_request: SlotRequest) -> bool:
        """Whether no target serves the version that a request must run at."""
        return slot_request.version is not None and not self._selector.serves_version(
            slot_request.service, slot_request.version
        )

    def _resolve(self, waiter: Waiter, decision: Decision) -> None:
        waiter.is_resolved = True
        self._record_grant(waiter.slot_request, decision)
        waiter.resolve(decision)

    def _record_grant(self, slot_request: SlotRequest, decision: Decision) -> None:
        if isinstance(decision, Granted):
            self._shares.record_grant(
                slot_request.service, slot_request.organisation, self._updated_s
            )

    def _refuse(self, slot_request: SlotRequest) -> Refused:
        return Refused(
            self.retry_after_s(slot_request.service, slot_request.organisation)
        )

    def _list_ordered(
        self, waiters: abc.Iterable[Waiter], now_s: float
    ) -> list[Waiter]:
        """Return waiting requests without shares in the order of their grants."""
        return sorted(
            waiters,
            key=lambda item: item.sort_key(
                now_s, self._estimate_first_event_s(item.slot_request.service)
            ),
        )

    def _publish_waiting(self, now_s: float) -> None:
        """Publish the number of waiting requests that can still be on time."""
        counts: collections.Counter[str] = collections.Counter()
        waiting: dict[str, collections.Counter[str]] = {}
        timely: dict[str, collections.Counter[str]] = {}
        for waiter in self._waiters:
            slot_request = waiter.slot_request
            service = slot_request.service
            is_late = self._is_late(slot_request, now_s)
            if self._shares.find(service) is not None:
                own = waiting.setdefault(service, collections.Counter())
                own[slot_request.organisation] += 1
                if not is_late:
                    own = timely.setdefault(service, collections.Counter())
                    own[slot_request.organisation] += 1
            elif not is_late:
                counts[service] += 1
        counts.update(self._shares.count_waiting(waiting, timely, now_s))
        self._loads.set_waiting_requests(counts)

    def _has_waiters_ahead(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether unrestricted requests of the service wait ahead of this one."""
        first_event_s = self._estimate_first_event_s(slot_request.service)
        find_rank = self._shares.make_rank_finder(slot_request.service, now_s)
        own_key = (
            find_rank(slot_request.organisation),
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
            rank = find_rank(waiter.slot_request.organisation)
            if (rank, *waiter.sort_key(now_s, first_event_s)[:2]) <= own_key:
                return True
        return False

    def _should_refuse(self, slot_request: SlotRequest, now_s: float) -> bool:
        """Whether to refuse a request rather than queue it.

        A request that would be late but whose client retries is refused, to return when
        there is room; one that can't be served at all is refused at once.
        """
        wait_s = self.estimate_wait_s(slot_request.service, slot_request.organisation)
        served_s = now_s + wait_s
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
        )
