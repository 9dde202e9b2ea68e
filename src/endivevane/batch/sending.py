"""Sending of batch items to the targets that are assigned to this daemon."""

from __future__ import annotations

import concurrent.futures
import dataclasses
from collections import abc

from endivevane import logs, metrics
from endivevane.batch import (
    attempts,
    crash_guard,
    item_calls,
    messages,
    ports,
    records,
    slack,
    work,
)
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine, http_pool

_CANCEL_THREADS = 4
_CANCEL_RETRY_S = 0.3
_REFUSED_BACKOFF_S = 0.2
# The moving average follows a change of item durations within about 50 items.
_MEAN_WEIGHT = 0.05

Post = abc.Callable[[messages.Message], None]


@dataclasses.dataclass(slots=True)
class _PendingCancel:
    attempt: attempts.Attempt
    next_try_at_s: float


class ItemSender:
    """Sends items to targets and tracks the items in flight.

    All methods are called by the runner thread.

    :param concurrent_items: limit of items in flight from this daemon
    :param post: puts a message into the inbox of the runner thread
    :param quarantine: registry of requests that crash targets; ``None`` disables it
    """

    def __init__(
        self,
        loads: ports.Loads,
        sender_clock: clock.Clock,
        concurrent_items: int,
        post: Post,
        quarantine: ports.Quarantine | None = None,
    ) -> None:
        self._loads = loads
        self._clock = sender_clock
        self._concurrent_items = concurrent_items
        self._post = post
        self._guard = crash_guard.CrashGuard(quarantine)
        self._snapshot = snapshot.EMPTY
        self._states: dict[str, work.TargetState] = {}
        self._states_by_service: dict[str, list[work.TargetState]] = {}
        self._pools: dict[str, http_pool.HttpPool] = {}
        self._cancelling: dict[str, _PendingCancel] = {}
        self._attempt_count = 0
        self._mean_item_s = 0.0
        self._calls = item_calls.ItemCalls(sender_clock, self._end)
        self._cancel_executor = concurrent.futures.ThreadPoolExecutor(
            _CANCEL_THREADS, "batch-cancel"
        )

    @property
    def running_count(self) -> int:
        """Number of items in flight."""
        return sum(len(state.running) for state in self._states.values())

    def update(
        self,
        current: snapshot.Snapshot,
        daemon: str,
        members: abc.Sequence[ports.Member],
    ) -> None:
        """Compute the targets that this daemon sends to."""
        self._snapshot = current
        self._states_by_service = {}
        for service in current.services.values():
            if service.is_plain or not service.model.batch.enabled:
                continue
            for target in service.targets:
                if slack.choose_sender(target, members) != daemon:
                    continue
                state = self._get_state(target)
                self._states_by_service.setdefault(service.name, []).append(state)

    def find_service(self, job: records.Job | records.OpenJob) -> str | None:
        """Return the service that offers a job's model to its organisation."""
        service = self._snapshot.find_service(job.organisation, job.model)
        return service.name if service is not None else None

    def is_unservable(self, job: records.Job | records.OpenJob) -> bool:
        """Tell whether the items of a job can no longer be run.

        A job is servable until its deadline even if its model is unknown: the model may
        be in a revision that this daemon does not have yet, or be published again. A
        daemon without a configuration can't judge models.
        """
        if not self._snapshot.revision or self.find_service(job) is not None:
            return False
        return job.deadline_ms < self._clock.wall_ms()

    def compute_room(self, service_name: str, model: str) -> int:
        """Return how many more items of a model can be sent now."""
        now_s = self._clock.monotonic_s()
        room = sum(
            max(0, self._compute_room(service_name, state, model, now_s))
            for state in self._states_by_service.get(service_name, ())
        )
        return min(room, self._concurrent_items - self.running_count)

    def has_targets(self, service_name: str) -> bool:
        """Tell whether this daemon sends to any target of a service."""
        return bool(self._states_by_service.get(service_name))

    def list_running_keys(self) -> set[tuple[str, int]]:
        """Return the chunks that have items in flight."""
        return {
            (attempt.job_id, attempt.number)
            for state in self._states.values()
            for attempt in state.running.values()
        }

    def estimate_items_per_s(self, item_s: float) -> float:
        """Return the estimated batch throughput of a fleet without online load.

        :param item_s: duration of one item, used until items have been measured
        """
        slots = 0.0
        for service in self._snapshot.services.values():
            if service.is_plain or not service.model.batch.enabled:
                continue
            reserve = service.model.batch.online_reserve_slots
            for target in service.targets:
                slots += max(0, target.slots - reserve)
        return slots / (self._mean_item_s or item_s)

    def send(self, held: abc.Sequence[work.HeldChunk]) -> int:
        """Send as many items as the targets have room for.

        :param held: running chunks, best first
        :returns: number of sent items
        """
        now_s = self._clock.monotonic_s()
        sent = 0
        for service_name, states in self._states_by_service.items():
            offered = [item for item in held if self._is_served_by(item, service_name)]
            for state in states if offered else ():
                sent += self._fill(service_name, state, offered, now_s)
        return sent

    def record_ended(
        self, attempt: attempts.Attempt, outcome: attempts.Outcome
    ) -> None:
        """Remove an ended attempt from its target."""
        state = self._states[attempt.target.name]
        del state.running[attempt.attempt_id]
        state.use.change(self._clock.wall_ms(), -1)
        self._cancelling.pop(attempt.attempt_id, None)
        self._guard.record_ended(attempt, outcome)
        metrics.BATCH_ITEMS.labels(outcome.kind.value).inc()
        now_s = self._clock.monotonic_s()
        if outcome.kind is attempts.Kind.UNREACHABLE:
            state.record_unreachable(now_s, self._clock.wall_ms())
            return
        if outcome.kind is attempts.Kind.REFUSED:
            state.retry_at_s = now_s + _REFUSED_BACKOFF_S
            state.unreachable_ms = self._clock.wall_ms()
            return
        if outcome.kind is attempts.Kind.BROKEN:
            # The engine may still run the item, for example after a read timeout.
            self._cancel_executor.submit(
                attempts.cancel, self._get_pool(attempt), attempt
            )
            return
        state.record_reachable()
        if outcome.kind is attempts.Kind.ANSWERED:
            duration_s = now_s - attempt.started_s
            previous_s = self._mean_item_s or duration_s
            self._mean_item_s = previous_s + _MEAN_WEIGHT * (duration_s - previous_s)

    def apply_online_use(self, target_name: str, daemon: str, in_flight: int) -> int:
        """Apply a daemon's count of online requests at a target.

        :returns: number of items preempted to free slots
        """
        state = self._states.get(target_name)
        if state is None:
            return 0
        state.online.note(daemon, in_flight, self._clock.wall_ms())
        service = self._snapshot.services.get(state.target.service)
        if service is None:
            return 0
        report = self._loads.load_report(target_name)
        room = slack.compute_room(
            report,
            service.model.batch.online_reserve_slots,
            state.use,
            state.online,
            self._clock.wall_ms(),
            state.hold.count(self._clock.monotonic_s()),
        )
        withdrawn = sum(item.withdrawn.is_set() for item in state.running.values())
        if report is None or room + withdrawn >= 0:
            return 0
        return self._preempt_youngest(state, -room - withdrawn)

    def yield_slots(self, target_name: str, slots: int) -> int:
        """Preempt items at a target at once; return how many."""
        state = self._states.get(target_name)
        if state is None or slots <= 0:
            return 0
        state.hold.add(self._clock.monotonic_s(), slots)
        given = self._preempt_youngest(state, slots)
        logs.info("slots_yielded", target=target_name, asked=slots, given=given)
        return given

    def _preempt_youngest(self, state: work.TargetState, count: int) -> int:
        running = [
            (attempt.started_s, attempt_id)
            for attempt_id, attempt in state.running.items()
            if not attempt.withdrawn.is_set()
        ]
        victims = slack.choose_victims(running, count)
        self._withdraw([state.running[attempt_id] for attempt_id in victims])
        return len(victims)

    def withdraw(self, keys: abc.Collection[tuple[str, int]] | None) -> None:
        """Withdraw the items of the given chunks, or all items for ``None``."""
        self._withdraw(
            [
                attempt
                for state in self._states.values()
                for attempt in state.running.values()
                if keys is None or (attempt.job_id, attempt.number) in keys
            ]
        )

    def retry_cancels(self) -> None:
        """Repeat cancels that may have reached the engine before the request."""
        now_s = self._clock.monotonic_s()
        for entry in self._cancelling.values():
            if now_s >= entry.next_try_at_s:
                entry.next_try_at_s = now_s + _CANCEL_RETRY_S
                self._submit_cancel(entry.attempt)

    def stop(self) -> None:
        """Stop the threads and abandon the calls in flight."""
        self._calls.stop()
        self._cancel_executor.shutdown(wait=False)

    def _withdraw(self, victims: abc.Iterable[attempts.Attempt]) -> None:
        now_s = self._clock.monotonic_s()
        for attempt in victims:
            if attempt.withdrawn.is_set():
                continue
            attempt.withdrawn.set()
            self._cancelling[attempt.attempt_id] = _PendingCancel(
                attempt, now_s + _CANCEL_RETRY_S
            )
            self._submit_cancel(attempt)

    def _submit_cancel(self, attempt: attempts.Attempt) -> None:
        pool = self._get_pool(attempt)
        self._cancel_executor.submit(attempts.cancel, pool, attempt)

    def _is_served_by(self, chunk: work.HeldChunk, service_name: str) -> bool:
        return self.find_service(chunk.job) == service_name

    def _compute_room(
        self, service_name: str, state: work.TargetState, model: str, now_s: float
    ) -> int:
        report = self._loads.load_report(state.target.name)
        is_reported = slack.is_reported_after(report, state.unreachable_ms)
        if now_s < state.retry_at_s and not is_reported:
            return 0
        if report is not None and not offers_model(report, model):
            return 0
        service = self._snapshot.services[service_name]
        return slack.compute_room(
            report,
            service.model.batch.online_reserve_slots,
            state.use,
            state.online,
            self._clock.wall_ms(),
            state.hold.count(now_s),
        )

    def _fill(
        self,
        service_name: str,
        state: work.TargetState,
        offered: abc.Sequence[work.HeldChunk],
        now_s: float,
    ) -> int:
        batch = self._snapshot.services[service_name].model.batch
        sent = 0
        by_model: dict[str, list[work.HeldChunk]] = {}
        for chunk in offered:
            by_model.setdefault(chunk.job.model, []).append(chunk)
        for model, chunk_list in by_model.items():
            room = self._compute_room(service_name, state, model, now_s)
            room = min(room, self._concurrent_items - self.running_count)
            for _ in range(room):
                choice = work.choose_item(
                    chunk_list, state, now_s, batch.max_item_attempts
                )
                if choice is None:
                    break
                fingerprint = self._guard.admit(choice, now_s)
                if fingerprint is None:
                    continue
                self._start(choice, state, batch.item_timeout_s, fingerprint)
                sent += 1
        return sent

    def _start(
        self,
        choice: work.Choice,
        state: work.TargetState,
        timeout_s: float,
        fingerprint: str,
    ) -> None:
        self._attempt_count += 1
        job_id, number = choice.chunk.key
        pending = choice.pending
        attempt = attempts.Attempt(
            attempt_id=f"{job_id}-{number}-{pending.item.index}"
            f"-{choice.chunk.claim.claim_epoch}-{self._attempt_count}",
            job_id=job_id,
            number=number,
            item=pending.item,
            target=state.target,
            started_s=self._clock.monotonic_s(),
            broken_attempts=pending.broken_attempts,
            refusals=pending.refusals,
            is_exclusive=choice.is_exclusive,
            fingerprint=fingerprint,
            engine_crashes=pending.engine_crashes,
        )
        state.running[attempt.attempt_id] = attempt
        state.use.change(self._clock.wall_ms(), 1)
        pool = self._get_pool(attempt)
        self._calls.start(pool, attempt, timeout_s)

    def _end(self, attempt: attempts.Attempt, outcome: attempts.Outcome) -> None:
        self._post(messages.ItemEnded(attempt, outcome))

    def _get_state(self, target: snapshot.Target) -> work.TargetState:
        state = self._states.get(target.name)
        if state is None:
            state = work.TargetState(target)
            self._states[target.name] = state
        state.target = target
        return state

    def _get_pool(self, attempt: attempts.Attempt) -> http_pool.HttpPool:
        address = attempt.target.address
        pool = self._pools.get(str(address))
        if pool is None:
            pool = http_pool.HttpPool(address, http_pool.PoolSettings(), self._clock)
            self._pools[str(address)] = pool
        return pool


def offers_model(report: engine.LoadReport, model: str) -> bool:
    """Tell whether an engine has loaded a model or adapter."""
    return any(
        model == loaded.model or model in loaded.adapters for loaded in report.models
    )
