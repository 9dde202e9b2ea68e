"""Retry policy: what follows a failed attempt."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import metrics
from endivevane.coordination import clock
from endivevane.online import (
    contract,
    fleet,
    flights,
    quarantine,
    routing,
    target_state,
)

# A crash report reaches all daemons in a few hops of at most 20 ms each; the rest is
# a margin for busy machines.
_REPORT_WAIT_S = 0.5

BeginAttempt = abc.Callable[
    [contract.OnlineRequest, target_state.TargetState, int], contract.Attempt
]


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A request whose next attempt waits for crash reports of other daemons."""

    sent: flights.SentRequest
    failure: contract.AttemptFailure
    delivered_offset: int
    due_s: float


class Retrier:
    """Decides what follows a failed attempt.

    A request whose targets were lost may have crashed them. Its copies at other daemons
    go to the same two targets, so a retry at the second one puts no further target at
    risk. A retry elsewhere waits until reports of other crashes would have arrived.

    :param in_flight: requests that have been sent, by request id
    :param begin_attempt: registers an attempt and returns it
    """

    def __init__(
        self,
        retrier_clock: clock.Clock,
        targets: fleet.Fleet,
        router: routing.Router,
        fingerprint_quarantine: quarantine.Quarantine,
        in_flight: abc.Mapping[str, flights.SentRequest],
        begin_attempt: BeginAttempt,
    ) -> None:
        self._clock = retrier_clock
        self._fleet = targets
        self._router = router
        self._quarantine = fingerprint_quarantine
        self._sent_requests = in_flight
        self._begin_attempt = begin_attempt
        self._held: dict[str, _Held] = {}

    def next_due_s(self) -> float | None:
        """Return when the next held request is due, or ``None``."""
        return min((held.due_s for held in self._held.values()), default=None)

    def take_due(self) -> list[contract.Send | contract.Refuse]:
        """Return the decisions for held requests whose wait is over."""
        now_s = self._clock.monotonic_s()
        decisions = []
        for request_id, held in list(self._held.items()):
            if self._sent_requests.get(request_id) is not held.sent:
                del self._held[request_id]
                continue
            if now_s < held.due_s:
                continue
            del self._held[request_id]
            failure, offset = held.failure, held.delivered_offset
            refusal = self._find_refusal(held.sent, failure, offset)
            chosen = self._choose_retry_target(held.sent)
            decisions.append(refusal or self._send(held.sent, failure, chosen))
        return decisions

    def decide(
        self,
        sent: flights.SentRequest,
        failure: contract.AttemptFailure,
        delivered_offset: int,
    ) -> contract.Send | contract.Hold | contract.Refuse:
        """Decide between a further attempt, a wait before it and a final error."""
        refusal = self._find_refusal(sent, failure, delivered_offset)
        if refusal is not None:
            return refusal
        chosen = self._choose_retry_target(sent)
        if chosen is not None and self._must_wait(sent, chosen):
            due_s = self._clock.monotonic_s() + _REPORT_WAIT_S
            request = sent.request
            held = _Held(sent, failure, delivered_offset, due_s)
            self._held[request.request_id] = held
            return contract.Hold(request)
        return self._send(sent, failure, chosen)

    def _find_refusal(
        self,
        sent: flights.SentRequest,
        failure: contract.AttemptFailure,
        delivered_offset: int,
    ) -> contract.Refuse | None:
        """Return the final error if no further attempt is allowed."""
        request, number = sent.request, sent.attempt.number
        is_late = self._clock.monotonic_s() >= request.deadline_s
        if is_late or failure is contract.AttemptFailure.DEADLINE:
            return sent.make_deadline_refusal()
        remaining_s = self._quarantine.remaining_s(request.fingerprint)
        if remaining_s > 0:
            metrics.RETRIES_DENIED.labels("quarantined").inc()
            return sent.make_quarantine_refusal(remaining_s)
        if delivered_offset >= 0 and not request.is_deterministic:
            metrics.RETRIES_DENIED.labels("partly_delivered").inc()
            return sent.make_refusal("part of the answer was delivered already")
        if number >= request.service.model.online.max_attempts:
            metrics.RETRIES_DENIED.labels("max_attempts").inc()
            return sent.make_refusal("no further attempt is allowed")
        return None

    def _send(
        self,
        sent: flights.SentRequest,
        failure: contract.AttemptFailure,
        chosen: target_state.TargetState | None,
    ) -> contract.Send | contract.Refuse:
        request = sent.request
        if chosen is None:
            metrics.RETRIES_DENIED.labels("no_target").inc()
            return sent.make_refusal("there is no other target")
        budget = self._fleet.services[request.service.name].budget
        if not sent.is_unsent(failure) and not budget.try_retry():
            metrics.RETRIES_DENIED.labels("budget").inc()
            return sent.make_refusal("the retry budget is exhausted")
        metrics.RETRIES.labels(failure.value).inc()
        number = sent.attempt.number + 1
        sent.begin(self._begin_attempt(request, chosen, number))
        return contract.Send(sent.attempt)

    def _must_wait(
        self, sent: flights.SentRequest, chosen: target_state.TargetState
    ) -> bool:
        """Return whether the next attempt might crash a third target.

        Daemons of another region send the request to targets there, so with two regions
        the second attempt has to wait already.
        """
        if not sent.lost_targets:
            return False
        candidates = self._fleet.services[sent.request.service.name].candidates
        regions = {item.target.region for item in candidates}
        return len(regions) > 1 or chosen not in self._find_pair(sent, candidates)

    def _find_pair(
        self, sent: flights.SentRequest, candidates: list[target_state.TargetState]
    ) -> list[target_state.TargetState]:
        """Return the pair of targets in the region to which the request hashes."""
        region = sent.attempt.target.region
        local = [item for item in candidates if item.target.region == region]
        return routing.choose_pair(sent.request.fingerprint, local)

    def _choose_retry_target(
        self, sent: flights.SentRequest
    ) -> target_state.TargetState | None:
        """Return a target that has not failed this request, or ``None``.

        After a crash, all requests that ran at the target are suspects. They are
        retried on different targets, so that the one at fault does not crash a second
        target under the others.
        """
        state = self._fleet.services.get(sent.request.service.name)
        if state is None:
            return None
        request, now_s = sent.request, self._clock.monotonic_s()
        # Free slots are not required: a retry can't be queued, and the retry budget
        # limits the excess load.
        others = [
            item
            for item in self._fleet.find_sendable(state.candidates)
            if item.target.name not in sent.failed and item.health.is_usable(now_s)
        ]
        # A probe is likely to fail, and a retry has few attempts left.
        others = [item for item in others if not item.health.is_avoided] or others
        if self._quarantine.is_suspect(request.fingerprint):
            suspects = {
                other.attempt.target.name
                for other in self._sent_requests.values()
                if other.failed
                and self._quarantine.is_suspect(other.request.fingerprint)
            }
            apart = [item for item in others if item.target.name not in suspects]
            others = apart or others
        if sent.lost_targets:
            pair = self._find_pair(sent, state.candidates)
            others = [item for item in others if item in pair] or others
        tiers = self._fleet.sort_tiers(request.model, others)
        return self._router.choose(request, tiers, lambda _: True)
