"""State of a service: candidates, queue, retry budget and service time."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import utils
from endivevane.configuration import snapshot
from endivevane.coordination import admission, clock, deadlines, retry
from endivevane.online import contract, target_state
from endivevane.web import errors

# A service whose targets are all avoided queues requests if a probe is this close.
_PROBE_WAIT_S = 1.0
_QUEUE_BYTES = 16 << 20
_INITIAL_SERVICE_TIME_S = 1.0
_MAX_RETRY_AFTER_S = 60.0
# Interval of scans of the whole queue, besides those after changes that may make
# requests unservable; scanning 256 entries takes longer than a decision.
_SCAN_INTERVAL_S = 0.1
# A queued request is refused early only if it would miss its deadline even with the
# estimated wait divided by this factor: the mean of the last ten durations is easily
# off by a third.
_WAIT_ERROR_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class _ModelWait:
    """What the queued requests of one model can expect.

    :param outage: why none of them can be sent soon
    :param each_s: least wait for each request ahead
    :param ahead: requests counted so far
    """

    outage: errors.ApiError | None
    each_s: float
    ahead: int = 0


class ServiceState:
    """A service with its candidates, queue and retry budget.

    :param service: its configuration; replaced when the configuration changes
    """

    def __init__(self, service: snapshot.Service, service_clock: clock.Clock) -> None:
        self.service = service
        self.candidates: list[target_state.TargetState] = []
        self.queue: deadlines.FairQueue[contract.OnlineRequest] = deadlines.FairQueue(
            service.model.online.max_queue, _QUEUE_BYTES
        )
        self.budget = retry.RetryBudget(retry.RetrySettings(), service_clock)
        self.service_time = admission.ServiceTime(_INITIAL_SERVICE_TIME_S)
        self._clock = service_clock
        self._scan_at_s = 0.0

    def set_candidates(self, candidates: list[target_state.TargetState]) -> None:
        """Set the targets to which this daemon sends."""
        self.candidates = candidates
        self.request_scan()

    def request_scan(self) -> None:
        """Scan the whole queue at the next poll."""
        self._scan_at_s = 0.0

    def set_service(
        self, service: snapshot.Service, weights: abc.Mapping[str, float]
    ) -> None:
        """Apply a changed configuration.

        :param weights: weights of the organisations
        """
        self.service = service
        self.queue.max_entries = service.model.online.max_queue
        self.queue.set_weights(dict(weights))

    def list_holders(self, model: str) -> list[target_state.TargetState]:
        """Return the candidates with a model, all candidates if none has it."""
        holders = [
            candidate
            for candidate in self.candidates
            if candidate.can_serve() and candidate.has_model(model)
        ]
        return holders or self.candidates

    def find_outage(self, model: str) -> errors.ApiError | None:
        """Return an error if no target of a model will be available soon."""
        name = self.service.name
        if not self.candidates:
            return errors.Unavailable(f"{name} has no target", retry_after_s=5.0)
        now_s = self._clock.monotonic_s()
        waits: list[float] = []
        for candidate in self.list_holders(model):
            if not candidate.health.is_avoided:
                return None
            probe_s = candidate.health.next_probe_s()
            waits.append(_PROBE_WAIT_S if probe_s is None else probe_s - now_s)
        if min(waits) <= _PROBE_WAIT_S:
            return None
        return errors.Unavailable(
            f"all targets of {model} are failing", retry_after_s=min(waits)
        )

    def check_wait(self, request: contract.OnlineRequest) -> errors.ApiError | None:
        """Return an error if the request would wait past its deadline."""
        ahead = self.queue.count_kind(request.model, request.priority)
        return self._check_wait(request, self._estimate_wait_s(request.model, ahead))

    def enqueue(self, request: contract.OnlineRequest) -> errors.ApiError | None:
        """Queue a request; return an error if the queue is full."""
        entry = deadlines.Entry(
            entry_id=request.request_id,
            organisation=request.organisation,
            priority=int(request.priority),
            deadline_s=request.deadline_s,
            size_bytes=len(utils.encode_json(request.body)),
            item=request,
            kind=request.model,
        )
        full = self.queue.push(entry)
        if full is None:
            return None
        wait_s = self._estimate_wait_s(request.model, len(self.queue))
        return errors.Overloaded(
            f"the queue of {self.service.name} is full ({full.value})",
            retry_after_s=min(wait_s, _MAX_RETRY_AFTER_S),
        )

    def pop_unservable(
        self, check: abc.Callable[[contract.OnlineRequest], errors.ApiError | None]
    ) -> list[contract.Refuse]:
        """Remove queued requests that will not run and return their refusals.

        :param check: returns an error if a request must not run any more
        """
        now_s = self._clock.monotonic_s()
        refusals = [
            contract.Refuse(
                entry.item,
                errors.DeadlineExceeded(
                    "no target became free before the deadline", retry_after_s=1.0
                ),
            )
            for entry in self.queue.pop_expired(now_s)
        ]
        if now_s < self._scan_at_s:
            return refusals
        self._scan_at_s = now_s + _SCAN_INTERVAL_S
        waits = {}
        for entry in list(self.queue):
            model = entry.item.model
            if model not in waits:
                waits[model] = self._make_model_wait(model)
            wait = waits[model]
            wait.ahead += 1
            wait_s = wait.ahead * wait.each_s
            error = wait.outage or check(entry.item)
            error = error or self._check_wait(entry.item, wait_s)
            if error is None:
                continue
            self.queue.remove(entry.entry_id)
            refusals.append(contract.Refuse(entry.item, error))
        return refusals

    def next_timer_s(self, poll_interval_s: float) -> float | None:
        """Return when the queue has to be polled, ``None`` if it is empty.

        :param poll_interval_s: maximum time between two polls
        """
        first_s = self.queue.first_deadline_s()
        if first_s is None:
            return None
        now_s = self._clock.monotonic_s()
        due_s = min(now_s + poll_interval_s, first_s)
        for candidate in self.candidates:
            probe_s = candidate.health.next_probe_s()
            # An overdue probe is not waiting for time, so no timer is set for it.
            if probe_s is not None and probe_s > now_s:
                due_s = min(due_s, probe_s)
        return due_s

    def _make_model_wait(self, model: str) -> _ModelWait:
        each_s = self._estimate_wait_s(model, 0) / _WAIT_ERROR_FACTOR
        return _ModelWait(self.find_outage(model), each_s)

    def _estimate_wait_s(self, model: str, ahead: int) -> float:
        slots = sum(
            candidate.limit.limit
            for candidate in self.list_holders(model)
            if not candidate.health.is_avoided
        )
        # If all targets are avoided, a probe is close, so one slot is assumed.
        return admission.estimate_wait_s(ahead, max(1, slots), self.service_time.mean_s)

    def _check_wait(
        self, request: contract.OnlineRequest, wait_s: float
    ) -> errors.ApiError | None:
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        if wait_s <= remaining_s:
            return None
        return errors.Overloaded(
            f"the wait of about {wait_s:.1f} s exceeds the deadline",
            retry_after_s=min(wait_s - remaining_s, _MAX_RETRY_AFTER_S),
        )
