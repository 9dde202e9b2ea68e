"""Scheduling of online requests: send, queue, refuse or retry."""

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

# Interval at which queued requests are checked, besides after each completion.
_POLL_INTERVAL_S = 0.25
# Free slots per target below which batch senders are asked to free slots.
_ONLINE_HEADROOM_SLOTS = 2
_RETRY_AFTER_S = 1.0
_OVERLOAD_FAILURES = frozenset(
    (
        contract.AttemptFailure.FIRST_TOKEN_TIMEOUT,
        contract.AttemptFailure.REFUSED_NOT_RUN,
    )
)


class Scheduler:
    """Decides where and when online requests run. Not thread-safe; does no I/O.

    :param place: name, zone and region of the daemon
    :param count_daemons: returns how many daemons share the targets; called when the
        configuration or the set of draining targets changes
    :param link: limits the traffic on the link between the regions
    :ivar find_meter: returns the byte counter of an attempt, see
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
        self._sent_requests: dict[str, flights.SentRequest] = {}
        self._retrier = retrying.Retrier(
            scheduler_clock,
            self._fleet,
            self._router,
            self._quarantine,
            self._sent_requests,
            self._begin_attempt,
        )
        self._active: collections.Counter[str] = collections.Counter()
        self._yield_requests: dict[str, contract.YieldRequest] = {}

    def set_snapshot(self, current: snapshot.Snapshot) -> None:
        """Apply a configuration."""
        self._fleet.set_snapshot(current)

    def set_leaving(self, target_names: abc.Iterable[str]) -> None:
        """Set the draining targets, which get no new work; replaces the former set."""
        self._fleet.set_leaving(target_names)

    def set_load(self, target_name: str, report: engine.LoadReport) -> None:
        """Apply the load report of a target."""
        self._fleet.set_load(target_name, report)

    def set_cache_events(
        self, target_name: str, events: abc.Iterable[abc.Mapping[str, typing.Any]]
    ) -> None:
        """Apply cache events of a target."""
        state = self._fleet.targets.get(target_name)
        if state is not None:
            state.prefixes.apply_events(events)

    def set_quarantine(
        self, fingerprint: str, until_wall_ms: int, target_name: str = ""
    ) -> None:
        """Apply a quarantine entry of another daemon."""
        self._quarantine.receive(fingerprint, until_wall_ms, target_name)
        self._fleet.request_scans()

    def submit(self, request: contract.OnlineRequest) -> contract.SubmitDecision:
        """Decide whether to send, queue or refuse a new request."""
        error = self._check_request(request)
        if error is not None:
            return contract.Refuse(request, error)
        state = self._fleet.services[request.service.name]
        if self._is_next(state, request):
            chosen = self._choose(state, request)
            if chosen is not None:
                self._active[request.organisation] += 1
                return self._send_first(state, request, chosen)
        error = state.find_outage(request.model) or state.check_wait(request)
        error = error or state.enqueue(request)
        if error is not None:
            return self.demand.record_refusal(contract.Refuse(request, error))
        self.demand.begin_waiting(request)
        self._active[request.organisation] += 1
        self._request_slots(state.list_holders(request.model))
        return contract.Queued(request)

    def poll(self) -> list[contract.Send | contract.Refuse]:
        """Return the decisions for queued and held requests that are due."""
        actions = self._retrier.take_due()
        for action in actions:
            if isinstance(action, contract.Refuse):
                self._end_request(action.request)
        for state in self._fleet.services.values():
            if not len(state.queue):
                continue
            for refusal in state.pop_unservable(self.check_quarantine):
                self.demand.record_refusal(refusal)
                self._end_request(refusal.request)
                actions.append(refusal)
            actions += self._send_queued(state)
        return actions

    def _send_queued(self, state: service_state.ServiceState) -> list[contract.Send]:
        """Send the queued requests whose targets have room.

        Requests for a model whose targets are busy do not delay those for others.
        """
        sends = []
        blocked_models: set[str] = set()
        while (entry := state.queue.peek(blocked_models)) is not None:
            chosen = self._choose(state, entry.item)
            if chosen is None:
                blocked_models.add(entry.kind)
                continue
            state.queue.pop(blocked_models)
            sends.append(self._send_first(state, entry.item, chosen))
        return sends

    def next_timer_s(self) -> float | None:
        """Return the monotonic time when ``poll`` is due, ``None`` if nothing waits."""
        timers = [
            state.next_timer_s(_POLL_INTERVAL_S)
            for state in self._fleet.services.values()
        ]
        timers.append(self._fleet.use_notices.next_due_s())
        timers.append(self._retrier.next_due_s())
        return min((item for item in timers if item is not None), default=None)

    def record_first_token(self, attempt: contract.Attempt) -> None:
        """Record that the target has begun to answer."""
        state = self._fleet.targets.get(attempt.target.name)
        if state is None or attempt.attempt_id not in state.in_flight:
            return
        latency_s = self._clock.monotonic_s() - attempt.started_s
        state.limit.record_latency(latency_s, state.in_flight[attempt.attempt_id])
        state.health.record_success(attempt.attempt_id, attempt.started_s)

    def finish(
        self, attempt: contract.Attempt, outcome: contract.AttemptOutcome
    ) -> None:
        """Record that an attempt ended without a retry; ignore unknown attempts."""
        sent = self._sent_requests.get(attempt.request.request_id)
        if sent is None or sent.attempt.attempt_id != attempt.attempt_id:
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

        After a :class:`contract.Refuse` the scheduler no longer tracks the request.

        :param delivered_offset: offset of the last event delivered to the caller, -1
            for none
        """
        sent = self._sent_requests.get(attempt.request.request_id)
        if sent is None or sent.attempt.attempt_id != attempt.attempt_id:
            error = errors.TargetFailed(
                "unknown attempt", run_state=types.RunState.MAY_HAVE_RUN
            )
            return contract.Refuse(attempt.request, error)
        sent.record_failure(failure)
        if sent.try_resume(failure, delivered_offset):
            return contract.Resume(attempt, delivered_offset)
        self._record_target_failure(sent, failure)
        self._fleet.end_attempt(attempt.target.name, attempt.attempt_id)
        decision = self._retrier.decide(sent, failure, delivered_offset)
        if isinstance(decision, contract.Refuse):
            self._end_request(attempt.request)
        return decision

    def abandon(self, request: contract.OnlineRequest) -> None:
        """Remove a queued request whose caller disconnected."""
        state = self._fleet.services.get(request.service.name)
        if state is not None and state.queue.remove(request.request_id) is not None:
            self._end_request(request)

    def take_use_notices(self) -> list[contract.UseNotice]:
        """Remove and return the due notices to batch senders."""
        return self._fleet.use_notices.take_due()

    def take_yield_requests(self) -> list[contract.YieldRequest]:
        """Remove and return the requests to batch senders to free slots."""
        taken = list(self._yield_requests.values())
        self._yield_requests.clear()
        return taken

    def record_death(self, fingerprint: str, target_name: str) -> None:
        """Record that a request crashed a target."""
        self._quarantine.record_death(fingerprint, target_name)
        self._fleet.request_scans()

    def take_quarantined(self) -> list[tuple[str, int, str]]:
        """Remove and return the quarantine entries to publish."""
        return self._quarantine.take_unpublished()

    def _check_request(self, request: contract.OnlineRequest) -> errors.ApiError | None:
        """Return why a request is refused regardless of load, or ``None``."""
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
        """Return an error if the request's fingerprint is quarantined."""
        remaining_s = self._quarantine.remaining_s(request.fingerprint)
        if remaining_s <= 0:
            return None
        return errors.Quarantined(
            "requests like this one have crashed targets; change the request",
            retry_after_s=remaining_s,
        )

    def _is_next(
        self, state: service_state.ServiceState, request: contract.OnlineRequest
    ) -> bool:
        """Return whether no queued request that could be sent is ahead."""
        blocked_models: set[str] = set()
        while (entry := state.queue.peek(blocked_models)) is not None:
            if entry.priority > request.priority:
                return True
            if entry.kind == request.model or self._choose(state, entry.item):
                return False
            blocked_models.add(entry.kind)
        return True

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
        self._sent_requests[request.request_id] = flights.SentRequest(request, attempt)
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
        self._sent_requests.pop(request.request_id, None)
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

    def _record_target_failure(
        self, sent: flights.SentRequest, failure: contract.AttemptFailure
    ) -> None:
        """Count a failure against the target, and a crash against the request."""
        attempt = sent.attempt
        if failure is contract.AttemptFailure.CONNECT_FAILED or sent.is_crash(failure):
            sent.lost_targets += 1
        if sent.is_crash(failure):
            self.record_death(attempt.request.fingerprint, attempt.target.name)
        state = self._fleet.targets.get(attempt.target.name)
        if state is None or failure is contract.AttemptFailure.DEADLINE:
            return
        is_refused = failure is contract.AttemptFailure.REFUSED_NOT_RUN
        if is_refused and not state.has_model(attempt.request.model):
            # The target may be sound for the models that it has.
            return
        if sent.is_crash(failure):
            state.prefixes.restart()
        if failure in _OVERLOAD_FAILURES:
            state.limit.record_overload()
        # A failed resume counts twice: the connection broke, then the resume failed.
        weight = 1 if sent.resumed_at is None else 2
        state.health.record_failure(
            attempt.attempt_id, attempt.started_s, self._clock.monotonic_s(), weight
        )

    def _request_slots(self, states: abc.Iterable[target_state.TargetState]) -> None:
        """Ask batch senders to free slots at targets with little headroom."""
        for state in states:
            slots = state.take_wanted_slots(_ONLINE_HEADROOM_SLOTS)
            if slots <= 0:
                continue
            name = state.target.name
            if name in self._yield_requests:
                slots += self._yield_requests[name].slots
            self._yield_requests[name] = contract.YieldRequest(state.target, slots)
