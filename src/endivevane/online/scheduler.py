"""Decisions for online requests: send, queue, refuse, retry."""

from __future__ import annotations

import collections
import random
import typing
from collections import abc

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine
from endivevane.online import (
    contract,
    fleet,
    flights,
    link_budget,
    quarantine,
    retrying,
    routing,
    service_state,
    target_state,
)
from endivevane.web import errors

# Queued requests are looked at again this often, besides after each completion.
_TICK_S = 0.25
# Free slots per target below which batch work is asked to yield.
_ONLINE_HEADROOM_SLOTS = 2
_RETRY_AFTER_S = 1.0
_OVERLOAD = frozenset(
    (
        contract.AttemptFailure.FIRST_TOKEN_TIMEOUT,
        contract.AttemptFailure.REFUSED_NOT_RUN,
    )
)


class Scheduler:
    """Decides where and when online requests run, with the clock passed in.

    Not thread-safe and without sockets: one thread calls it.

    :param place: name, zone and region of the daemon
    :param count_daemons: returns how many daemons share the targets; called when the
        configuration or the set of leaving targets changes
    :param link: bounds what crosses the link between the regions
    :ivar find_meter: returns what counts the bytes of an attempt, see
        :meth:`fleet.Fleet.find_meter`
    """

    def __init__(
        self,
        place: routing.Place,
        scheduler_clock: clock.Clock,
        generator: random.Random,
        routing_settings: routing.RoutingSettings | None = None,
        count_daemons: abc.Callable[[], int] | None = None,
        link: link_budget.LinkBudget | None = None,
    ) -> None:
        settings = routing_settings or routing.RoutingSettings()
        count = count_daemons or (lambda: routing.DEFAULT_DAEMONS)
        self._clock = scheduler_clock
        self._fleet = fleet.Fleet(
            place,
            settings,
            scheduler_clock,
            generator,
            count,
            link
            or link_budget.LinkBudget(scheduler_clock, lambda rate: rate / count()),
        )
        self.demand = self._fleet.demand
        self.find_meter = self._fleet.find_meter
        self._router = routing.Router(place, settings)
        self._quarantine = quarantine.Quarantine(
            quarantine.QuarantineSettings(), scheduler_clock
        )
        self._flights: dict[str, flights.Flight] = {}
        self._retrier = retrying.Retrier(
            scheduler_clock,
            self._fleet,
            self._router,
            self._quarantine,
            self._flights,
            self._begin_attempt,
        )
        self._active: collections.Counter[str] = collections.Counter()
        self._yields: dict[str, contract.YieldRequest] = {}

    def set_snapshot(self, current: snapshot.Snapshot) -> None:
        """Put a configuration into force."""
        self._fleet.set_snapshot(current)

    def set_leaving(self, target_names: abc.Iterable[str]) -> None:
        """Set the targets that get no new work; replaces the former set."""
        self._fleet.set_leaving(target_names)

    def set_load(self, target_name: str, report: engine.LoadReport) -> None:
        """Take in the load report of a target."""
        self._fleet.set_load(target_name, report)

    def set_cache_events(
        self, target_name: str, events: abc.Iterable[abc.Mapping[str, typing.Any]]
    ) -> None:
        """Take in cache events of a target."""
        state = self._fleet.targets.get(target_name)
        if state is not None:
            state.prefixes.apply_events(events)

    def set_quarantine(
        self, fingerprint: str, until_wall_ms: int, target_name: str = ""
    ) -> None:
        """Take in a quarantine entry of another daemon."""
        self._quarantine.receive(fingerprint, until_wall_ms, target_name)
        self._fleet.request_scans()

    def submit(self, request: contract.OnlineRequest) -> contract.SubmitDecision:
        """Decide on a new request: send it, queue it or refuse it."""
        error = self._check_request(request)
        if error is not None:
            return contract.Refuse(request, error)
        state = self._fleet.services[request.service.name]
        if not state.queue.count_ahead(request.priority):
            chosen = self._choose(state, request)
            if chosen is not None:
                self._active[request.organisation] += 1
                return self._send_first(state, request, chosen)
        error = state.find_outage() or state.check_wait(request)
        error = error or state.enqueue(request)
        if error is not None:
            return self.demand.record_refusal(contract.Refuse(request, error))
        self.demand.begin_waiting(request)
        self._active[request.organisation] += 1
        self._ask_for_slots(state.candidates)
        return contract.Queued(request)

    def poll(self) -> list[contract.Send | contract.Refuse]:
        """Return what to do with queued and held requests now."""
        actions = self._retrier.take_due()
        for action in actions:
            if isinstance(action, contract.Refuse):
                self._end_request(action.request)
        for state in self._fleet.services.values():
            if not len(state.queue):
                continue
            for refusal in state.take_hopeless(self.check_quarantine):
                self.demand.record_refusal(refusal)
                self._end_request(refusal.request)
                actions.append(refusal)
            while (entry := state.queue.peek()) is not None:
                chosen = self._choose(state, entry.item)
                if chosen is None:
                    break
                state.queue.pop()
                actions.append(self._send_first(state, entry.item, chosen))
        return actions

    def next_timer_s(self) -> float | None:
        """Return the monotonic time when ``poll`` is due, ``None`` if nothing waits."""
        timers = [
            state.next_timer_s(_TICK_S) for state in self._fleet.services.values()
        ]
        timers.append(self._fleet.use_notices.next_due_s())
        timers.append(self._retrier.next_due_s())
        return min((item for item in timers if item is not None), default=None)

    def record_first_token(self, attempt: contract.Attempt) -> None:
        """Note that the target has begun to answer."""
        state = self._fleet.targets.get(attempt.target.name)
        if state is None or attempt.attempt_id not in state.in_flight:
            return
        latency_s = self._clock.monotonic_s() - attempt.started_s
        state.limit.record_latency(latency_s, state.in_flight[attempt.attempt_id])
        state.health.record_success(attempt.attempt_id, attempt.started_s)

    def finish(
        self, attempt: contract.Attempt, outcome: contract.AttemptOutcome
    ) -> None:
        """Note that an attempt ended for good; unknown attempts are ignored."""
        flight = self._flights.get(attempt.request.request_id)
        if flight is None or flight.attempt.attempt_id != attempt.attempt_id:
            return
        if outcome is contract.AttemptOutcome.COMPLETED:
            self._record_completion(attempt)
        is_completed = outcome is contract.AttemptOutcome.COMPLETED
        self._fleet.end_attempt(attempt.target.name, attempt.attempt_id, is_completed)
        self._end_request(attempt.request)

    def retry(
        self,
        attempt: contract.Attempt,
        failure: contract.AttemptFailure,
        delivered_offset: int,
    ) -> contract.RetryDecision:
        """Decide what follows a failed attempt.

        After a :class:`contract.Refuse` the request is over for the scheduler.

        :param delivered_offset: offset of the last event that the caller got, -1 when
            it got none
        """
        flight = self._flights.get(attempt.request.request_id)
        if flight is None or flight.attempt.attempt_id != attempt.attempt_id:
            error = errors.TargetFailed(
                "the attempt is not known", run_state=types.RunState.MAY_HAVE_RUN
            )
            return contract.Refuse(attempt.request, error)
        flight.record_failure(failure)
        if flight.try_resume(failure, delivered_offset):
            return contract.Resume(attempt, delivered_offset)
        self._blame(flight, failure)
        self._fleet.end_attempt(attempt.target.name, attempt.attempt_id)
        decision = self._retrier.decide(flight, failure, delivered_offset)
        if isinstance(decision, contract.Refuse):
            self._end_request(attempt.request)
        return decision

    def abandon(self, request: contract.OnlineRequest) -> None:
        """Forget a queued request whose caller left."""
        state = self._fleet.services.get(request.service.name)
        if state is not None and state.queue.remove(request.request_id) is not None:
            self._end_request(request)

    def take_use_notices(self) -> list[contract.UseNotice]:
        """Return the notices to batch senders that are due."""
        return self._fleet.use_notices.take_due()

    def take_yield_requests(self) -> list[contract.YieldRequest]:
        """Return the requests to batch senders since the last call."""
        taken = list(self._yields.values())
        self._yields.clear()
        return taken

    def record_death(self, fingerprint: str, target_name: str) -> None:
        """Count a target that died of a request."""
        self._quarantine.record_death(fingerprint, target_name)
        self._fleet.request_scans()

    def take_quarantined(self) -> list[tuple[str, int, str]]:
        """Return the quarantine entries to publish since the last call."""
        return self._quarantine.take_unpublished()

    def _check_request(self, request: contract.OnlineRequest) -> errors.ApiError | None:
        """Return why a request can't be taken on whatever the load is."""
        if request.service.name not in self._fleet.services:
            return errors.Unavailable(f"service {request.service.name} is not served")
        error = self.check_quarantine(request)
        if error is not None:
            return error
        if request.deadline_s <= self._clock.monotonic_s():
            return errors.DeadlineExceeded(
                "the deadline has passed", retry_after_s=_RETRY_AFTER_S
            )
        organisation = self._fleet.snapshot.organisations.get(request.organisation)
        if organisation is None:
            return None
        limit = organisation.max_concurrent_requests
        if self._active[request.organisation] < limit:
            return None
        return errors.Overloaded(
            f"{request.organisation} has {limit} requests in flight already",
            retry_after_s=_RETRY_AFTER_S,
        )

    def check_quarantine(
        self, request: contract.OnlineRequest
    ) -> errors.ApiError | None:
        """Return why a request must not run because of what it did to targets."""
        remaining_s = self._quarantine.remaining_s(request.fingerprint)
        if remaining_s <= 0:
            return None
        return errors.Quarantined(
            "requests like this one have crashed targets; change the request",
            retry_after_s=remaining_s,
        )

    def _choose(
        self,
        service: service_state.ServiceState,
        request: contract.OnlineRequest,
    ) -> target_state.TargetState | None:
        now_s = self._clock.monotonic_s()
        tiers = self._fleet.find_tiers(service, request.model)
        return self._router.choose(request, tiers, lambda state: state.is_usable(now_s))

    def _send_first(
        self,
        state: service_state.ServiceState,
        request: contract.OnlineRequest,
        chosen: target_state.TargetState,
    ) -> contract.Send:
        state.budget.record_request()
        attempt = self._begin_attempt(request, chosen, 1)
        self._flights[request.request_id] = flights.Flight(request, attempt)
        return contract.Send(attempt)

    def _begin_attempt(
        self,
        request: contract.OnlineRequest,
        chosen: target_state.TargetState,
        number: int,
    ) -> contract.Attempt:
        attempt = contract.Attempt(
            attempt_id=f"{request.request_id}.{number}",
            request=request,
            target=chosen.target,
            number=number,
            started_s=self._clock.monotonic_s(),
            prefill=self._fleet.find_prefill(request, chosen) if number == 1 else None,
        )
        self._fleet.begin_attempt(chosen, attempt)
        return attempt

    def _end_request(self, request: contract.OnlineRequest) -> None:
        self._flights.pop(request.request_id, None)
        self.demand.end_waiting(request.request_id)
        self._active[request.organisation] -= 1
        if self._active[request.organisation] <= 0:
            del self._active[request.organisation]

    def _record_completion(self, attempt: contract.Attempt) -> None:
        target = self._fleet.targets.get(attempt.target.name)
        if target is not None:
            target.health.record_success(attempt.attempt_id, attempt.started_s)
        service = self._fleet.services.get(attempt.request.service.name)
        if service is not None:
            duration_s = self._clock.monotonic_s() - attempt.started_s
            service.service_time.record(duration_s)

    def _blame(self, flight: flights.Flight, failure: contract.AttemptFailure) -> None:
        """Count a failure against the target, and a death against the request."""
        attempt = flight.attempt
        if failure is contract.AttemptFailure.CONNECT_FAILED or flight.is_death(
            failure
        ):
            flight.lost_targets += 1
        if flight.is_death(failure):
            self.record_death(attempt.request.fingerprint, attempt.target.name)
        state = self._fleet.targets.get(attempt.target.name)
        if state is None or failure is contract.AttemptFailure.DEADLINE:
            return
        if flight.is_death(failure):
            state.prefixes.restart()
        if failure in _OVERLOAD:
            state.limit.record_overload()
        # A failed resume is the second failure in a row: connection, then target.
        weight = 1 if flight.resumed_at is None else 2
        state.health.record_failure(
            attempt.attempt_id, attempt.started_s, self._clock.monotonic_s(), weight
        )

    def _ask_for_slots(self, states: abc.Iterable[target_state.TargetState]) -> None:
        """Ask batch senders for slots where online load comes close to the slots."""
        for state in states:
            slots = state.take_wanted_slots(_ONLINE_HEADROOM_SLOTS)
            if slots <= 0:
                continue
            name = state.target.name
            if name in self._yields:
                slots += self._yields[name].slots
            self._yields[name] = contract.YieldRequest(state.target, slots)
