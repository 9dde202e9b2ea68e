"""Shares of organisations in the slots that a queue grants, by service."""

from __future__ import annotations

import collections
import typing
from collections import abc

from endivevane import logs, metrics
from endivevane.fairness import shares
from endivevane.fairness import waiters as fair_waiters
from endivevane.serving import load_table


class Request(fair_waiters.Request, typing.Protocol):
    """A request of a service that waits for a slot."""

    @property
    def service(self) -> str:
        """The service."""

    @property
    def version(self) -> str | None:
        """Software version that it must run at, ``None`` for any."""

    @property
    def deadline_s(self) -> float:
        """Time after which the response is of no use."""

    @property
    def may_retry(self) -> bool:
        """Whether the client retries after a refusal."""


class Waiter(typing.Protocol):
    """A request that waits, with its number and whether it still waits."""

    @property
    def slot_request(self) -> Request:
        """The request."""

    @property
    def number(self) -> int:
        """The lowest came first."""

    @property
    def is_resolved(self) -> bool:
        """Whether it has been granted a slot or refused."""


W = typing.TypeVar("W", bound=Waiter)
# Least time between two checks of all waiting requests of a service.
_CHECK_INTERVAL_S = 0.01
# Least time between two log lines about an organisation at a service.
_LOG_INTERVAL_S = 2.0


class QueueShares(typing.Generic[W]):
    """Keeps the waiting requests of services whose requests belong to organisations.

    A service has shares from the first request of an organisation on.

    :param find_late_before_s: returns the objective before which a request of a service
        is late if it is granted a slot at a time
    """

    def __init__(
        self,
        loads: load_table.LoadTable,
        find_late_before_s: abc.Callable[[str, float], float],
    ) -> None:
        self._loads = loads
        self._find_late_before_s = find_late_before_s
        self._by_service: dict[str, fair_waiters.WaitingRequests[W]] = {}
        # Versions that waiting requests may need, and when all of them were checked.
        self._versions: dict[str, set[str | None]] = collections.defaultdict(set)
        self._checked_s: dict[str, float] = {}

    @property
    def services(self) -> abc.Collection[str]:
        """The services that have shares."""
        return self._by_service.keys()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(len(found) for found in self._by_service.values())

    def find(self, service: str) -> fair_waiters.WaitingRequests[W] | None:
        """Return the waiting requests of a service, ``None`` if it has no shares."""
        return self._by_service.get(service)

    def add(self, waiter: W, now_s: float) -> bool:
        """Add a waiting request; return whether its service has shares."""
        service = waiter.slot_request.service
        found = self._by_service.get(service)
        if found is None:
            return False
        found.add(waiter, self._find_late_before_s(service, now_s))
        self._versions[service].add(waiter.slot_request.version)
        return True

    def remove(self, waiter: W, now_s: float) -> bool:
        """Remove a request; return whether it was waiting here."""
        service = waiter.slot_request.service
        found = self._by_service.get(service)
        if found is None:
            return False
        return found.remove(waiter, self._find_late_before_s(service, now_s))

    def grant(
        self,
        service: str,
        now_s: float,
        refuse_hopeless: abc.Callable[[W], bool],
        handle: abc.Callable[[W], bool],
    ) -> None:
        """Handle the waiting requests of a service in the order of their shares.

        :param refuse_hopeless: refuses a request if it need not wait any longer, and
            returns whether it did
        :param handle: grants a request a slot, refuses it or leaves it waiting, and
            returns whether there may be slots for more requests of its version
        """
        found = self._by_service[service]
        if not len(found):
            return
        late_before_s = self._find_late_before_s(service, now_s)
        if now_s - self._checked_s.get(service, 0.0) >= _CHECK_INTERVAL_S:
            self._checked_s[service] = now_s
            self._versions[service] = set()
            for waiter in found.list_all():
                if refuse_hopeless(waiter):
                    found.remove(waiter, late_before_s)
                else:
                    self._versions[service].add(waiter.slot_request.version)
        versions = set(self._versions[service])
        peers_waiting = self._count_region_waiting(service)
        found.shares.leave_to_peers(
            peers_waiting / max(1, self._loads.count_region_reports())
        )
        fair_order = found.begin_pass(late_before_s, now_s)
        while versions and (first := fair_order.pop()) is not None:
            rank, organisation, waiter = first
            if rank > shares.WITHIN_SHARE and peers_waiting:
                # The others are beyond their shares too.
                break
            if not handle(waiter):
                versions.discard(waiter.slot_request.version)
            if waiter.is_resolved:
                found.remove(waiter, late_before_s)
            fair_order.put_back(organisation, not waiter.is_resolved)

    def _count_region_waiting(self, service: str) -> int:
        """Return the requests that wait within their shares at daemons of this region.

        There are none where this daemon grants the slots for all of them.
        """
        if not self._loads.same_region_age_s:
            return 0
        return self._loads.count_region_waiting(service)

    def has_ahead(
        self,
        slot_request: Request,
        now_s: float,
        may_block: abc.Callable[[W], bool],
    ) -> bool:
        """Whether any request goes before a new one of a service with shares.

        :param may_block: whether the new one could use the slot that a request gets
        """
        service = slot_request.service
        late_before_s = self._find_late_before_s(service, now_s)
        found = self._by_service[service]
        return found.has_ahead(slot_request, late_before_s, now_s, may_block)

    def record_arrival(
        self, slot_request: Request, waiters: list[W], now_s: float
    ) -> None:
        """Record that a request has arrived, which may let its service have shares.

        :param waiters: requests of services without shares; those of a service that has
            them now are removed
        """
        service, organisation = slot_request.service, slot_request.organisation
        if organisation and service not in self._by_service:
            self._by_service[service] = fair_waiters.WaitingRequests()
            waiters[:] = [waiter for waiter in waiters if not self.add(waiter, now_s)]
        found = self._by_service.get(service)
        if found is not None:
            found.shares.record_arrival(organisation, now_s)

    def record_grant(self, slot_request: Request, now_s: float) -> None:
        """Record that a slot has been granted."""
        found = self._by_service.get(slot_request.service)
        if found is not None:
            found.shares.record_grant(slot_request.organisation, now_s)

    def record_end(self, service: str, organisation: str, now_s: float) -> None:
        """Record that a granted slot is free again."""
        found = self._by_service.get(service)
        if found is not None:
            found.shares.record_end(organisation, now_s)

    def record_refusal(self, service: str, organisation: str, now_s: float) -> None:
        """Record a refusal, in the metrics and the log if it is because of a share."""
        found = self._by_service.get(service)
        if found is None or not found.shares.is_over(organisation, now_s):
            return
        metrics.SHARE_REFUSALS.inc()
        refused = found.count_refusal(organisation, _LOG_INTERVAL_S, now_s)
        if not refused:
            return
        logs.limited_info(
            "organisation_held_to_share",
            service=service,
            organisation=organisation,
            share=round(found.shares.find_own_share(organisation, now_s), 1),
            used=round(found.shares.measure_use(organisation, now_s), 1),
            waiting=found.count_waiting(organisation),
            refusals=refused,
        )

    def count_waiting(self, now_s: float) -> collections.Counter[str]:
        """Return the timely waiting requests, within the shares and beyond."""
        counts: collections.Counter[str] = collections.Counter()
        for service, found in self._by_service.items():
            timely = found.count_timely()
            if not timely:
                continue
            within = min(timely, found.count_within(now_s))
            if within:
                counts[service] = within
            if timely > within:
                counts[load_table.name_surplus(service)] = timely - within
        return counts

    def estimate_turns(self, service: str, organisation: str, now_s: float) -> float:
        """Return how many slots have to be freed for one more request to get one.

        That request can be on time.
        """
        found = self._by_service.get(service)
        if found is None:
            return self._loads.count_waiting_requests(service) + 1
        return found.estimate_turns(
            organisation,
            self._loads.count_peers_waiting(service),
            self._loads.count_peers_waiting(load_table.name_surplus(service)),
            now_s,
        )

    def has_long_queue(self, service: str, organisation: str, now_s: float) -> bool:
        """Whether an organisation has as many requests waiting as its share of slots.

        It waits then for as long as a request holds a slot, or longer.
        """
        found = self._by_service.get(service)
        return found is not None and found.has_long_queue(organisation, now_s)

    def is_over(self, service: str, organisation: str, now_s: float) -> bool:
        """Whether an organisation uses all of its share of a service or more."""
        found = self._by_service.get(service)
        return found is not None and found.shares.is_over(organisation, now_s)
