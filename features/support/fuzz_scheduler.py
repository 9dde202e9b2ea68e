"""Fuzzing of the scheduler against a plain account of requests and targets."""

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
class _Account:
    """What the oracle knows of a request that was not yet answered."""

    request: contract.OnlineRequest
    attempt: contract.Attempt | None = None
    offset: int = -1
    failed: set = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    resumed_at: int | None = None
    broke: bool = False
    held_at_s: float | None = None

    @property
    def is_flying(self):
        return self.attempt is not None and self.held_at_s is None


@dataclasses.dataclass
class _Watch:
    """What the oracle knows of a target's health."""

    streak: int = 0
    avoided_at_s: float | None = None
    avoided_since_s: float = 0.0
    probe: str | None = None


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Plays callers, targets and time."""

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.targets = list(_TARGETS)
        self.bench = scheduling.Bench(self._make_snapshot())
        self.scheduler = self.bench.scheduler
        self.clock = self.bench.clock
        self.leaving = set()
        self.accounts = {}
        self.watches = {name: _Watch() for name in _TARGETS}
        self.first_sends = []
        self.retries = []
        self.deaths = {}
        self.never_failed = set(_TARGETS)

    def _make_snapshot(self):
        targets = [scheduling.make_target(name) for name in self.targets]
        return scheduling.make_snapshot(targets, _ONLINE, _ORGANISATIONS)

    # Checks of decisions.

    def _take(self, decision):
        if isinstance(decision, contract.Send):
            self._take_send(decision.attempt)
        elif isinstance(decision, contract.Refuse):
            self._take_refusal(decision)
        elif isinstance(decision, contract.Hold):
            account = self.accounts[decision.request.request_id]
            assert account.is_flying, "a request is held that was not sent"
            account.held_at_s = self.clock.monotonic_s()
        else:
            assert isinstance(decision, contract.Queued)
            account = self.accounts[decision.request.request_id]
            assert account.attempt is None, "a request is queued after it was sent"

    def _take_send(self, attempt):
        now_s = self.clock.monotonic_s()
        account = self.accounts[attempt.request.request_id]
        name = attempt.target.name
        assert name not in self.leaving, f"{name} is leaving and gets new work"
        assert name in self.targets, f"{name} is not in the configuration"
        assert name not in account.failed, f"{name} failed this request before"
        assert account.offset < 0 or attempt.request.is_deterministic, "mixed answers"
        assert now_s < attempt.request.deadline_s, "sent after the deadline"
        self._check_not_quarantined(attempt.request)
        number = account.attempt.number + 1 if account.attempt else 1
        assert attempt.number == number <= _ONLINE["max_attempts"]
        account.attempt, account.resumed_at, account.broke = attempt, None, False
        account.held_at_s = None
        (self.first_sends if number == 1 else self.retries).append(now_s)
        # The window slides in tenths.
        made = sum(time_s > now_s - 54 for time_s in self.retries)
        sent = sum(time_s > now_s - 60 for time_s in self.first_sends)
        assert made <= 10 + 0.1 * sent, f"{made} retries for {sent} requests"
        self._watch_send(attempt, now_s)

    def _watch_send(self, attempt, now_s):
        watch = self.watches[attempt.target.name]
        if watch.avoided_at_s is None:
            return
        assert watch.probe is None, "a failing target gets a second probe"
        age_s = now_s - watch.avoided_at_s
        assert age_s >= _MIN_AVOID_S, f"a failing target gets work after {age_s:.2f} s"
        watch.probe = attempt.attempt_id

    def _take_refusal(self, refusal):
        account = self.accounts.pop(refusal.request.request_id)
        expected = types.RunState.NOT_RUN
        if account.may_have_run:
            expected = types.RunState.MAY_HAVE_RUN
        state = refusal.error.run_state
        assert state is expected, f"the refusal says {state} instead of {expected}"
        assert refusal.error.retry_after_s is not None, "no Retry-After"
        if isinstance(refusal.error, errors.Quarantined):
            deaths = self.deaths.get(refusal.request.fingerprint, [])
            assert len(deaths) >= 2, "an innocent request is quarantined"

    def _check_not_quarantined(self, request):
        deaths = self.deaths.get(request.fingerprint, [])
        now_s = self.clock.monotonic_s()
        if len(deaths) >= 2 and now_s < deaths[-1][1] + 299:
            raise AssertionError(f"{request.fingerprint} killed two targets and runs")

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
            self.accounts[request.request_id] = _Account(request)
            self._take(self.scheduler.submit(request))

    @stateful.rule(number=st.integers(0, 20))
    def abandon(self, number):
        type(self).steps_run += 1
        queued = [item for item in self.accounts.values() if item.attempt is None]
        if queued:
            request = queued[number % len(queued)].request
            del self.accounts[request.request_id]
            self.scheduler.abandon(request)

    # Targets.

    def _pick(self, number):
        flying = [item for item in self.accounts.values() if item.is_flying]
        return flying[number % len(flying)] if flying else None

    def _record_success(self, attempt):
        watch = self.watches[attempt.target.name]
        is_old = attempt.started_s < watch.avoided_since_s
        is_probe = attempt.attempt_id == watch.probe
        if watch.avoided_at_s is not None and is_old and not is_probe:
            return
        watch.streak, watch.avoided_at_s, watch.probe = 0, None, None

    def _record_failure(self, attempt, weight):
        now_s = self.clock.monotonic_s()
        watch = self.watches[attempt.target.name]
        if watch.avoided_at_s is not None:
            if attempt.attempt_id != watch.probe:
                return
        elif attempt.started_s < watch.avoided_since_s:
            return
        watch.streak += weight
        if watch.avoided_at_s is not None or watch.streak >= 2:
            watch.avoided_at_s = watch.avoided_since_s = now_s
            watch.probe = None

    def _end(self, attempt):
        watch = self.watches[attempt.target.name]
        if watch.probe == attempt.attempt_id:
            watch.probe = None

    @stateful.rule(number=st.integers(0, 20), count=st.integers(1, 3))
    def deliver(self, number, count):
        type(self).steps_run += 1
        account = self._pick(number)
        if account is not None:
            self.scheduler.record_first_token(account.attempt)
            self._record_success(account.attempt)
            account.offset += count

    @stateful.rule(
        number=st.integers(0, 20), outcome=st.sampled_from(contract.AttemptOutcome)
    )
    def finish(self, number, outcome):
        type(self).steps_run += 1
        account = self._pick(number)
        if account is None:
            return
        self.scheduler.finish(account.attempt, outcome)
        if outcome is contract.AttemptOutcome.COMPLETED:
            self._record_success(account.attempt)
        self._end(account.attempt)
        del self.accounts[account.request.request_id]

    @stateful.rule(number=st.integers(0, 20), failure=_FAILURES)
    def fail(self, number, failure):
        type(self).steps_run += 1
        account = self._pick(number)
        if account is not None:
            self._fail(account, failure)

    @stateful.rule(number=st.integers(0, 20))
    def kill_target(self, number):
        """Break a target's connections and refuse new ones."""
        type(self).steps_run += 1
        account = self._pick(number)
        if account is None:
            return
        name = account.attempt.target.name
        victims = [
            item
            for item in self.accounts.values()
            if item.is_flying and item.attempt.target.name == name
        ]
        for victim in victims:
            if self._fail(victim, contract.AttemptFailure.BROKEN):
                self._fail(victim, contract.AttemptFailure.CONNECT_FAILED)

    def _fail(self, account, failure):
        """Fail the attempt under way; return whether it is to be resumed."""
        attempt = account.attempt
        if failure not in _NOT_RUN:
            account.may_have_run = True
        is_resumable = failure in (
            contract.AttemptFailure.BROKEN,
            contract.AttemptFailure.SILENT,
        )
        is_stuck = account.resumed_at is not None and (
            account.offset <= account.resumed_at
        )
        resumed, broke = account.resumed_at is not None, account.broke
        will_resume = is_resumable and not is_stuck
        if not will_resume:
            self._count_failure(account, failure, resumed, broke)
        decision = self.scheduler.retry(attempt, failure, account.offset)
        if not isinstance(decision, contract.Resume):
            # The bound on resumes ends an attempt that still makes progress.
            if will_resume:
                self._count_failure(account, failure, resumed, broke)
            self._take(decision)
            return False
        assert will_resume, f"resumed after {failure} without progress"
        assert decision.attempt is attempt and decision.after_offset == account.offset
        account.resumed_at = account.offset
        account.broke = failure is contract.AttemptFailure.BROKEN
        return True

    def _count_failure(self, account, failure, resumed, broke):
        attempt = account.attempt
        account.failed.add(attempt.target.name)
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
        self.leaving = names
        self.scheduler.set_leaving(names)
        self.poll()

    @stateful.rule(names=st.lists(st.sampled_from(_TARGETS), min_size=1, unique=True))
    def publish(self, names):
        type(self).steps_run += 1
        # A target that is not in use loses its history with its configuration.
        for name in _TARGETS:
            if name not in names:
                self.never_failed.discard(name)
                self.watches[name] = _Forgetful()
        self.targets = names
        self.scheduler.set_snapshot(self._make_snapshot())
        self.poll()

    @stateful.rule(duration_s=st.sampled_from([0.1, 0.3, 1.0, 4.0, 20.0]))
    def wait(self, duration_s):
        """Let time pass; poll whenever the scheduler's timer is due."""
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
            self._take(action)
        # A notice that is due and not taken keeps the timer due.
        for notice in self.scheduler.take_use_notices():
            running = [
                item
                for item in self.accounts.values()
                if item.is_flying and item.attempt.target.name == notice.target.name
            ]
            assert notice.in_flight == len(running), "a notice with a wrong count"
        queued = [item for item in self.accounts.values() if item.attempt is None]
        now_s = self.clock.monotonic_s()
        for account in self.accounts.values():
            held_at_s = account.held_at_s
            assert held_at_s is None or now_s < held_at_s + 0.5, "held for too long"
        for account in queued:
            assert account.request.deadline_s > now_s, "a dead request still waits"
        if queued:
            assert set(self.targets) - self.leaving, "waits although no target is left"
            due_s = self.scheduler.next_timer_s()
            assert due_s is not None and due_s <= now_s + 0.25 + 1e-6, "no timer"
            self._check_work_conserved()

    def _check_work_conserved(self):
        busy = {
            item.attempt.target.name
            for item in self.accounts.values()
            if item.is_flying
        }
        idle = (self.never_failed & set(self.targets)) - self.leaving - busy
        assert not idle, f"requests wait although {idle} are idle"

    def teardown(self):
        """All attempts end; then every request is answered or sent."""
        if sys.exc_info()[0] is not None:
            # A failed check must not be hidden by those that follow from it.
            return
        self.leaving = set()
        self.scheduler.set_leaving(set())
        for _ in range(200):
            for account in list(self.accounts.values()):
                if account.is_flying:
                    self.finish_one(account)
            self.clock.advance(0.5)
            self.poll()
            if not self.accounts:
                return
        raise AssertionError(f"{len(self.accounts)} requests are never answered")

    def finish_one(self, account):
        self.scheduler.finish(account.attempt, contract.AttemptOutcome.COMPLETED)
        self._record_success(account.attempt)
        self._end(account.attempt)
        del self.accounts[account.request.request_id]


class _Forgetful(_Watch):
    """Makes no claims about a target whose state may have been dropped."""

    def __setattr__(self, name, value):
        object.__setattr__(self, name, _Watch.__dataclass_fields__[name].default)
