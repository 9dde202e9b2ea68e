"""Fuzzing of the scheduler against a simple model of requests and targets."""

import dataclasses
import sys

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane import types
from endivevane.online import contract
from endivevane.web import errors
from features.support import scheduling

_TARGETS = ("t1", "t2", "t3", "t4")
_ONLINE = {"max_attempts": 3, "max_queue": 6}
_ORGANISATIONS = {"acme": {"weight": 3.0}, "bolt": {"max_concurrent_requests": 5}}
_MIN_AVOID_S = 0.4
_FAILURES = st.sampled_from(list(contract.AttemptFailure))
_NOT_RUN = (
    contract.AttemptFailure.CONNECT_FAILED,
    contract.AttemptFailure.REFUSED_NOT_RUN,
)


@dataclasses.dataclass
class _RequestState:
    """The oracle's state of an unanswered request."""

    request: contract.OnlineRequest
    attempt: contract.Attempt | None = None
    offset: int = -1
    failed: set = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    resumed_at: int | None = None
    broke: bool = False
    held_at_s: float | None = None
    was_unsent: bool = False

    @property
    def is_in_flight(self):
        return self.attempt is not None and self.held_at_s is None


@dataclasses.dataclass
class _HealthState:
    """The oracle's state of a target's health."""

    streak: int = 0
    avoided_at_s: float | None = None
    avoided_since_s: float = 0.0
    probe: str | None = None


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Simulates callers, targets and time."""

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.targets = list(_TARGETS)
        self.bench = scheduling.Bench(self._make_snapshot())
        self.scheduler = self.bench.scheduler
        self.clock = self.bench.clock
        self.draining = set()
        self.request_states = {}
        self.health_states = {name: _HealthState() for name in _TARGETS}
        self.first_sends = []
        self.retries = []
        self.deaths = {}
        self.never_failed = set(_TARGETS)

    def _make_snapshot(self):
        targets = [scheduling.make_target(name) for name in self.targets]
        return scheduling.make_snapshot(targets, _ONLINE, _ORGANISATIONS)

    # Checks of decisions.

    def _check_decision(self, decision):
        if isinstance(decision, contract.Send):
            self._check_send(decision.attempt)
        elif isinstance(decision, contract.Refuse):
            self._check_refusal(decision)
        elif isinstance(decision, contract.Hold):
            request_state = self.request_states[decision.request.request_id]
            assert request_state.is_in_flight, "a request that was not sent is held"
            request_state.held_at_s = self.clock.monotonic_s()
        else:
            assert isinstance(decision, contract.Queued)
            request_state = self.request_states[decision.request.request_id]
            assert request_state.attempt is None, "a sent request is queued again"

    def _check_send(self, attempt):
        now_s = self.clock.monotonic_s()
        request_state = self.request_states[attempt.request.request_id]
        name = attempt.target.name
        assert name not in self.draining, f"{name} is leaving and gets new work"
        assert name in self.targets, f"{name} is not in the configuration"
        assert (
            name not in request_state.failed
        ), f"{name} has failed this request already"
        assert (
            request_state.offset < 0 or attempt.request.is_deterministic
        ), "a partly delivered response is rerun"
        assert now_s < attempt.request.deadline_s, "sent after the deadline"
        self._check_not_quarantined(attempt.request)
        number = request_state.attempt.number + 1 if request_state.attempt else 1
        assert attempt.number == number <= _ONLINE["max_attempts"]
        request_state.attempt, request_state.resumed_at, request_state.broke = (
            attempt,
            None,
            False,
        )
        request_state.held_at_s = None
        if number == 1:
            self.first_sends.append(now_s)
        elif not request_state.was_unsent:
            self.retries.append(now_s)
        # The window advances in steps of a tenth.
        made = sum(time_s > now_s - 54 for time_s in self.retries)
        sent = sum(time_s > now_s - 60 for time_s in self.first_sends)
        assert made <= 10 + 0.1 * sent, f"{made} retries for {sent} requests"
        self._check_probe(attempt, now_s)

    def _check_probe(self, attempt, now_s):
        health_state = self.health_states[attempt.target.name]
        if health_state.avoided_at_s is None:
            return
        assert (
            health_state.probe is None
        ), "a failing target gets a second concurrent probe"
        age_s = now_s - health_state.avoided_at_s
        assert age_s >= _MIN_AVOID_S, f"a failing target gets work after {age_s:.2f} s"
        health_state.probe = attempt.attempt_id

    def _check_refusal(self, refusal):
        request_state = self.request_states.pop(refusal.request.request_id)
        expected = types.RunState.NOT_RUN
        if request_state.may_have_run:
            expected = types.RunState.MAY_HAVE_RUN
        state = refusal.error.run_state
        assert state is expected, f"the refusal says {state} instead of {expected}"
        assert refusal.error.retry_after_s is not None, "no Retry-After"
        if isinstance(refusal.error, errors.Quarantined):
            deaths = self.deaths.get(refusal.request.fingerprint, [])
            assert (
                len(deaths) >= 2
            ), "a request is quarantined after fewer than two crashes"

    def _check_not_quarantined(self, request):
        deaths = self.deaths.get(request.fingerprint, [])
        now_s = self.clock.monotonic_s()
        if len(deaths) >= 2 and now_s < deaths[-1][1] + 299:
            raise AssertionError(
                f"{request.fingerprint} crashed two targets and is sent"
            )

    # Callers.

    @stateful.rule(
        organisation=st.sampled_from(["acme", "bolt"]),
        priority=st.sampled_from(list(types.Priority)),
        deadline_s=st.sampled_from([0.5, 3.0, 30.0]),
        is_deterministic=st.booleans(),
        fingerprint=st.sampled_from(["f1", "f2", None, None]),
        count=st.integers(1, 4),
    )
    def submit(self, count, **fields):
        type(self).steps_run += 1
        for _ in range(count):
            request = self.bench.make_request(**fields)
            self.request_states[request.request_id] = _RequestState(request)
            self._check_decision(self.scheduler.submit(request))

    @stateful.rule(number=st.integers(0, 20))
    def abandon(self, number):
        type(self).steps_run += 1
        queued = [item for item in self.request_states.values() if item.attempt is None]
        if queued:
            request = queued[number % len(queued)].request
            del self.request_states[request.request_id]
            self.scheduler.abandon(request)

    # Targets.

    def _pick(self, number):
        in_flight_requests = [
            item for item in self.request_states.values() if item.is_in_flight
        ]
        return (
            in_flight_requests[number % len(in_flight_requests)]
            if in_flight_requests
            else None
        )

    def _record_success(self, attempt):
        health_state = self.health_states[attempt.target.name]
        is_old = attempt.started_s < health_state.avoided_since_s
        is_probe = attempt.attempt_id == health_state.probe
        if health_state.avoided_at_s is not None and is_old and not is_probe:
            return
        health_state.streak, health_state.avoided_at_s, health_state.probe = (
            0,
            None,
            None,
        )

    def _record_failure(self, attempt, weight):
        now_s = self.clock.monotonic_s()
        health_state = self.health_states[attempt.target.name]
        if health_state.avoided_at_s is not None:
            if attempt.attempt_id != health_state.probe:
                return
        elif attempt.started_s < health_state.avoided_since_s:
            return
        health_state.streak += weight
        if health_state.avoided_at_s is not None or health_state.streak >= 2:
            health_state.avoided_at_s = health_state.avoided_since_s = now_s
            health_state.probe = None

    def _end(self, attempt):
        health_state = self.health_states[attempt.target.name]
        if health_state.probe == attempt.attempt_id:
            health_state.probe = None

    @stateful.rule(number=st.integers(0, 20), count=st.integers(1, 3))
    def deliver(self, number, count):
        type(self).steps_run += 1
        request_state = self._pick(number)
        if request_state is not None:
            self.scheduler.record_first_token(request_state.attempt)
            self._record_success(request_state.attempt)
            request_state.offset += count

    @stateful.rule(
        number=st.integers(0, 20), outcome=st.sampled_from(contract.AttemptOutcome)
    )
    def finish(self, number, outcome):
        type(self).steps_run += 1
        request_state = self._pick(number)
        if request_state is None:
            return
        self.scheduler.finish(request_state.attempt, outcome)
        if outcome is contract.AttemptOutcome.COMPLETED:
            self._record_success(request_state.attempt)
        self._end(request_state.attempt)
        del self.request_states[request_state.request.request_id]

    @stateful.rule(number=st.integers(0, 20), failure=_FAILURES)
    def fail(self, number, failure):
        type(self).steps_run += 1
        request_state = self._pick(number)
        if request_state is not None:
            self._fail(request_state, failure)

    @stateful.rule(number=st.integers(0, 20))
    def kill_target(self, number):
        """Break a target's connections and refuse new ones."""
        type(self).steps_run += 1
        request_state = self._pick(number)
        if request_state is None:
            return
        name = request_state.attempt.target.name
        victims = [
            item
            for item in self.request_states.values()
            if item.is_in_flight and item.attempt.target.name == name
        ]
        for victim in victims:
            if self._fail(victim, contract.AttemptFailure.BROKEN):
                self._fail(victim, contract.AttemptFailure.CONNECT_FAILED)

    def _fail(self, request_state, failure):
        """Fail the current attempt; return whether it will be resumed."""
        attempt = request_state.attempt
        if failure not in _NOT_RUN:
            request_state.may_have_run = True
        is_resumable = failure in (
            contract.AttemptFailure.BROKEN,
            contract.AttemptFailure.SILENT,
        )
        is_stuck = request_state.resumed_at is not None and (
            request_state.offset <= request_state.resumed_at
        )
        resumed, broke = request_state.resumed_at is not None, request_state.broke
        # The retry of an attempt that reached no target is not charged to the budget.
        is_unconnected = failure is contract.AttemptFailure.CONNECT_FAILED
        request_state.was_unsent = is_unconnected and not resumed
        will_resume = is_resumable and not is_stuck
        if not will_resume:
            self._count_failure(request_state, failure, resumed, broke)
        decision = self.scheduler.retry(attempt, failure, request_state.offset)
        if not isinstance(decision, contract.Resume):
            # The limit of resumes may end an attempt that still makes progress.
            if will_resume:
                self._count_failure(request_state, failure, resumed, broke)
            self._check_decision(decision)
            return False
        assert will_resume, f"resumed after {failure} without progress"
        assert (
            decision.attempt is attempt
            and decision.after_offset == request_state.offset
        )
        request_state.resumed_at = request_state.offset
        request_state.broke = failure is contract.AttemptFailure.BROKEN
        return True

    def _count_failure(self, request_state, failure, resumed, broke):
        attempt = request_state.attempt
        request_state.failed.add(attempt.target.name)
        self.never_failed.discard(attempt.target.name)
        if failure is not contract.AttemptFailure.DEADLINE:
            self._record_failure(attempt, 2 if resumed else 1)
        self._end(attempt)
        excused = (contract.AttemptFailure.SILENT, contract.AttemptFailure.DEADLINE)
        if not broke or failure in excused:
            return
        deaths = self.deaths.setdefault(attempt.request.fingerprint, [])
        now_s = self.clock.monotonic_s()
        is_same = any(
            name == attempt.target.name and now_s - died_s < 2.0
            for name, died_s in deaths
        )
        if not is_same:
            deaths.append((attempt.target.name, now_s))

    @stateful.rule(
        name=st.sampled_from(_TARGETS),
        running=st.integers(0, 4),
        age_s=st.sampled_from([0.0, 1.0, 30.0]),
    )
    def report_load(self, name, running, age_s):
        type(self).steps_run += 1
        as_of_s = self.bench.make_wall_s(age_s)
        report = scheduling.make_report(running=running, as_of_s=as_of_s)
        self.scheduler.set_load(name, report)
        for wanted in self.scheduler.take_yield_requests():
            assert wanted.slots > 0

    # Environment.

    @stateful.rule(names=st.sets(st.sampled_from(_TARGETS), max_size=4))
    def leave(self, names):
        type(self).steps_run += 1
        self.draining = names
        self.scheduler.set_leaving(names)
        self.poll()

    @stateful.rule(names=st.lists(st.sampled_from(_TARGETS), min_size=1, unique=True))
    def publish(self, names):
        type(self).steps_run += 1
        # A target that is removed from the configuration loses its history.
        for name in _TARGETS:
            if name not in names:
                self.never_failed.discard(name)
                self.health_states[name] = _UncheckedHealthState()
        self.targets = names
        self.scheduler.set_snapshot(self._make_snapshot())
        self.poll()

    @stateful.rule(duration_s=st.sampled_from([0.1, 0.3, 1.0, 4.0, 20.0]))
    def wait(self, duration_s):
        """Advance the clock and poll whenever the scheduler's timer is due."""
        type(self).steps_run += 1
        end_s = self.clock.monotonic_s() + duration_s
        while True:
            now_s = self.clock.monotonic_s()
            due_s = self.scheduler.next_timer_s()
            if due_s is None or due_s >= end_s:
                break
            self.clock.advance(max(due_s - now_s, 0.001))
            self.poll()
        self.clock.advance(max(0.0, end_s - self.clock.monotonic_s()))
        self.poll()

    def poll(self):
        for action in self.scheduler.poll():
            assert not isinstance(action, contract.Queued)
            self._check_decision(action)
        # A due notice that is not taken would keep the timer due.
        for notice in self.scheduler.take_use_notices():
            running = [
                item
                for item in self.request_states.values()
                if item.is_in_flight and item.attempt.target.name == notice.target.name
            ]
            assert notice.in_flight == len(running), "a notice has a wrong count"
        queued = [item for item in self.request_states.values() if item.attempt is None]
        now_s = self.clock.monotonic_s()
        for request_state in self.request_states.values():
            held_at_s = request_state.held_at_s
            assert held_at_s is None or now_s < held_at_s + 0.5, "held for too long"
        for request_state in queued:
            assert (
                request_state.request.deadline_s > now_s
            ), "an expired request still waits"
        if queued:
            assert (
                set(self.targets) - self.draining
            ), "a request waits although no target is left"
            due_s = self.scheduler.next_timer_s()
            assert due_s is not None and due_s <= now_s + 0.25 + 1e-6, "no timer"
            self._check_work_conserved()

    def _check_work_conserved(self):
        busy = {
            item.attempt.target.name
            for item in self.request_states.values()
            if item.is_in_flight
        }
        idle = (self.never_failed & set(self.targets)) - self.draining - busy
        assert not idle, f"requests wait although {idle} are idle"

    def teardown(self):
        """Finish all attempts; then every request must be answered or sent."""
        if sys.exc_info()[0] is not None:
            # A failed check must not be hidden by consequent failures.
            return
        self.draining = set()
        self.scheduler.set_leaving(set())
        for _ in range(200):
            for request_state in list(self.request_states.values()):
                if request_state.is_in_flight:
                    self.finish_one(request_state)
            self.clock.advance(0.5)
            self.poll()
            if not self.request_states:
                return
        raise AssertionError(f"{len(self.request_states)} requests are never answered")

    def finish_one(self, request_state):
        self.scheduler.finish(request_state.attempt, contract.AttemptOutcome.COMPLETED)
        self._record_success(request_state.attempt)
        self._end(request_state.attempt)
        del self.request_states[request_state.request.request_id]


class _UncheckedHealthState(_HealthState):
    """Checks nothing for a target whose state may have been dropped."""

    def __setattr__(self, name, value):
        object.__setattr__(self, name, _HealthState.__dataclass_fields__[name].default)
