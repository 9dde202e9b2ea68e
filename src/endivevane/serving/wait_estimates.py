"""How long requests wait for a slot, and when refused clients should return."""

from __future__ import annotations

import random
import typing

from endivevane.serving import load_table, queue_shares, target_selection

# Least time that a request needs at a target; one with less left is refused.
MIN_RUN_S = 0.1
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


class WaitEstimator:
    """Estimates waits from the rate at which targets serve and what is ahead."""

    def __init__(
        self,
        selector: target_selection.TargetSelector,
        loads: load_table.LoadTable,
        shares: queue_shares.QueueShares[typing.Any],
        generator: random.Random,
    ) -> None:
        self._selector = selector
        self._loads = loads
        self._shares = shares
        self._generator = generator
        self._mean_first_event_s: dict[str, float] = {}

    def record_first_event(self, service: str, first_event_s: float) -> None:
        """Record the time from the grant to the first event."""
        mean_s = self.get_mean_first_event_s(service)
        self._mean_first_event_s[service] = mean_s + _FIRST_EVENT_WEIGHT * (
            first_event_s - mean_s
        )

    def get_mean_first_event_s(self, service: str) -> float:
        """Return the mean time from the grant to the first event."""
        return self._mean_first_event_s.get(service, _INITIAL_FIRST_EVENT_S)

    def estimate_first_event_s(self, service: str) -> float:
        """Return the time from the grant to the first event, with a margin."""
        return _FIRST_EVENT_MARGIN * self.get_mean_first_event_s(service)

    def estimate_wait_s(self, service: str, organisation: str, now_s: float) -> float:
        """Estimate how long one more request that can be on time waits for a slot."""
        rate_per_s = self._selector.estimate_rate_per_s(service)
        if not rate_per_s:
            return _MAX_RETRY_S
        turns = self._shares.estimate_turns(service, organisation, now_s)
        return turns / rate_per_s

    def retry_after_s(self, service: str, organisation: str, now_s: float) -> float:
        """Return when a refused client should retry, with jitter."""
        wait_s = self.estimate_wait_s(service, organisation, now_s)
        wait_s = max(_MIN_RETRY_S, wait_s)
        if self._shares.is_over(service, organisation, now_s):
            wait_s = self._plan_return(service, organisation, wait_s, now_s)
        else:
            wait_s = min(_MAX_RETRY_S, wait_s)
        if self._selector.has_rate_limits(service):
            wait_s = _RATE_LIMITED_RETRY_S
        return wait_s * (0.75 + 0.5 * self._generator.random())

    def should_refuse(self, slot_request: queue_shares.Request, now_s: float) -> bool:
        """Whether to refuse a request rather than queue it.

        A request that would be late but whose client retries is refused, to return when
        there is room, and so is one whose organisation has as many waiting as its share
        of slots; one that can't be served at all is refused at once.
        """
        service, organisation = slot_request.service, slot_request.organisation
        served_s = now_s + self.estimate_wait_s(service, organisation, now_s)
        if served_s + MIN_RUN_S > slot_request.deadline_s:
            return True
        first_event_s = self.estimate_first_event_s(service)
        return served_s + first_event_s > slot_request.objective_s and (
            slot_request.may_retry
            or self._shares.has_long_queue(service, organisation, now_s)
        )

    def describe_load(
        self, service: str, organisation: str, now_s: float
    ) -> dict[str, object]:
        """Return the load figures behind a refusal, for the log."""
        wait_s = self.estimate_wait_s(service, organisation, now_s)
        is_over = self._shares.is_over(service, organisation, now_s)
        return {
            "slots": self._selector.count_slots(service),
            "running": self._selector.count_running(service),
            "waiting": self._loads.count_waiting_requests(service),
            "wait_ms": int(wait_s * 1000),
            "load_age_ms": int(self._loads.same_region_age_s * 1000),
            "held_to_share": organisation if is_over else None,
        }

    def _plan_return(
        self, service: str, organisation: str, wait_s: float, now_s: float
    ) -> float:
        """Return when a client of an organisation with a surplus should return.

        Each refused client is given the time of a slot of its own.
        """
        found = self._shares.find(service)
        rate_per_s = self._selector.estimate_rate_per_s(service)
        if found is None or not rate_per_s:
            return min(_MAX_SURPLUS_RETRY_S, wait_s)
        interval_s = found.shares.count_turns(organisation, now_s) / rate_per_s
        return found.plan_return(
            organisation, wait_s, interval_s, now_s, _MAX_SURPLUS_RETRY_S
        )
