"""Fuzzing of the retry budget, the queue and the quarantine against simple oracles."""

import itertools

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane.coordination import clock, deadlines, retry
from endivevane.online import quarantine

_WEIGHTS = {"small": 1.0, "medium": 2.0, "large": 5.0}


class UnlimitedBudget(retry.RetryBudget):
    """Broken: allows every retry."""

    def has_retry(self):
        return True


class BudgetMachine(stateful.RuleBasedStateMachine):
    """The budget against a list of events."""

    budget_class = retry.RetryBudget
    steps_run = 0

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(1000.0)
        self.settings = retry.RetrySettings()
        self.budget = self.budget_class(self.settings, self.clock)
        self.requests = []
        self.retries = []

    def _count(self, times, age_s):
        oldest_s = self.clock.monotonic_s() - age_s
        return sum(time_s > oldest_s for time_s in times)

    @stateful.rule(count=st.integers(1, 30))
    def send(self, count):
        type(self).steps_run += 1
        for _ in range(count):
            self.budget.record_request()
            self.requests.append(self.clock.monotonic_s())

    @stateful.rule(duration_s=st.floats(0.01, 36.0))
    def wait(self, duration_s):
        type(self).steps_run += 1
        self.clock.advance(duration_s)

    @stateful.rule(count=st.integers(1, 5))
    def retry(self, count):
        """Check grants against the largest window and denials against the smallest."""
        type(self).steps_run += 1
        window_s = self.settings.window_s
        bucket_s = window_s / 10
        for _ in range(count):
            wide = self._count(self.requests, window_s)
            narrow = self._count(self.requests, window_s - bucket_s)
            if self.budget.try_retry():
                self.retries.append(self.clock.monotonic_s())
                made = self._count(self.retries, window_s - bucket_s)
                allowed = self.settings.floor + self.settings.share * wide
                assert made <= allowed, f"{made} retries for {wide} requests"
                continue
            made = self._count(self.retries, window_s)
            allowed = self.settings.floor + int(self.settings.share * narrow)
            assert made >= allowed, f"denied after {made} of {allowed} retries"


class UnlimitedBudgetMachine(BudgetMachine):
    budget_class = UnlimitedBudget


class UnfairQueue(deadlines.FairQueue):
    """Broken: ignores fair sharing."""

    def pop(self):
        entry = self.peek()
        if entry is not None:
            self.remove(entry.entry_id)
        return entry


class QueueMachine(stateful.RuleBasedStateMachine):
    """The queue against a list.

    While organisations are continuously backlogged in the same class, their service
    divided by their weight may differ by at most one entry of each.
    """

    queue_class = deadlines.FairQueue
    steps_run = 0

    def __init__(self):
        super().__init__()
        self.queue = self.queue_class(20, 400)
        self.queue.set_weights(_WEIGHTS)
        self.ids = itertools.count()
        self.entries = {}
        self.now_s = 0.0
        # Priority -> organisation -> service since the set of waiting ones changed.
        self.served = {}

    def _backlog(self, priority):
        return {
            entry.organisation
            for entry in self.entries.values()
            if entry.priority == priority
        }

    def _reset(self, priority):
        self.served[priority] = dict.fromkeys(self._backlog(priority), 0.0)

    @stateful.rule(
        organisation=st.sampled_from(sorted(_WEIGHTS)),
        priority=st.integers(0, 1),
        wait_s=st.integers(1, 20),
        size_bytes=st.sampled_from([1, 10, 60]),
        count=st.integers(1, 8),
    )
    def push(self, organisation, priority, wait_s, size_bytes, count):
        type(self).steps_run += 1
        for _ in range(count):
            self._push(organisation, priority, wait_s, size_bytes)

    def _push(self, organisation, priority, wait_s, size_bytes):
        entry_id = f"e{next(self.ids)}"
        entry = deadlines.Entry(
            entry_id, organisation, priority, self.now_s + wait_s, size_bytes, None
        )
        is_full = len(self.entries) >= 20
        is_large = sum(item.size_bytes for item in self.entries.values()) > (
            400 - size_bytes
        )
        refused = self.queue.push(entry)
        assert (refused is not None) == (is_full or is_large), refused
        if refused is not None:
            return
        is_new = organisation not in self._backlog(priority)
        self.entries[entry_id] = entry
        if is_new:
            self._reset(priority)

    @stateful.rule(count=st.integers(1, 6))
    def pop(self, count):
        type(self).steps_run += 1
        for _ in range(count):
            entry = self.queue.pop()
            if entry is None:
                assert not self.entries, "the queue returned no entry"
                return
            assert entry.entry_id in self.entries, "an entry was returned twice"
            best = min(item.priority for item in self.entries.values())
            assert entry.priority == best, "a lower priority was returned first"
            peers = [
                item
                for item in self.entries.values()
                if (item.priority, item.organisation) == (best, entry.organisation)
            ]
            assert entry.deadline_s == min(item.deadline_s for item in peers)
            served = self.served[best]
            served[entry.organisation] += 1 / _WEIGHTS[entry.organisation]
            self._check_fairness(served)
            del self.entries[entry.entry_id]
            if entry.organisation not in self._backlog(best):
                self._reset(best)

    def _check_fairness(self, served):
        for first, second in itertools.permutations(served, 2):
            gap = served[first] - served[second]
            bound = 1 / _WEIGHTS[first] + 1 / _WEIGHTS[second]
            assert gap <= bound + 1e-9, f"{first} is {gap:.2f} ahead of {second}"

    @stateful.rule(number=st.integers(0, 30))
    def remove(self, number):
        type(self).steps_run += 1
        entry_id = f"e{number}"
        entry = self.entries.pop(entry_id, None)
        assert self.queue.remove(entry_id) is entry
        if entry is not None:
            self._reset(entry.priority)

    @stateful.rule(duration_s=st.integers(1, 8))
    def expire(self, duration_s):
        type(self).steps_run += 1
        self.now_s += duration_s
        due = {
            key for key, item in self.entries.items() if item.deadline_s <= self.now_s
        }
        assert {item.entry_id for item in self.queue.pop_expired(self.now_s)} == due
        for key in due:
            self._reset(self.entries.pop(key).priority)

    @stateful.invariant()
    def totals_agree(self):
        assert len(self.queue) == len(self.entries)
        total = sum(item.size_bytes for item in self.entries.values())
        assert self.queue.size_bytes == total
        first_s = min((item.deadline_s for item in self.entries.values()), default=None)
        assert self.queue.first_deadline_s() == first_s
        for priority in (0, 1):
            ahead = sum(item.priority <= priority for item in self.entries.values())
            assert self.queue.count_ahead(priority) == ahead


class UnfairQueueMachine(QueueMachine):
    queue_class = UnfairQueue


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Two daemons that exchange delayed and repeated entries, against a crash list.

    A fingerprint that has crashed fewer than two targets must never be quarantined; one
    that has crashed two as observed by one daemon must be.
    """

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(1000.0, 10**12)
        self.settings = quarantine.QuarantineSettings()
        self.daemons = [
            quarantine.Quarantine(self.settings, self.clock) for _ in range(2)
        ]
        self.deaths = {}
        self.published = []

    @stateful.rule(
        daemon=st.integers(0, 1),
        fingerprint=st.sampled_from(["f1", "f2", "f3"]),
        target_name=st.sampled_from(["t1", "t2", "t3"]),
    )
    def die(self, daemon, fingerprint, target_name):
        type(self).steps_run += 1
        self.clock.advance(2.5)
        self.daemons[daemon].record_death(fingerprint, target_name)
        now_s = self.clock.monotonic_s()
        self.deaths.setdefault(fingerprint, []).append((now_s, daemon))
        recent = [
            item
            for item in self.deaths[fingerprint]
            if item[1] == daemon and now_s - item[0] <= self.settings.memory_s
        ]
        if len(recent) >= self.settings.deaths:
            assert self.daemons[daemon].remaining_s(fingerprint) > 0, "not quarantined"

    @stateful.rule(
        daemon=st.integers(0, 1), fingerprint=st.sampled_from(["f1", "f2", "f3"])
    )
    def see_the_same_death_again(self, daemon, fingerprint):
        """Report one crash twice, as several requests with one fingerprint do."""
        type(self).steps_run += 1
        known = [item for item in self.deaths.get(fingerprint, []) if item[1] == daemon]
        if known and self.clock.monotonic_s() - known[-1][0] < 1.0:
            return
        self.clock.advance(2.5)
        self.daemons[daemon].record_death(fingerprint, "t9")
        self.daemons[daemon].record_death(fingerprint, "t9")
        now_s = self.clock.monotonic_s()
        self.deaths.setdefault(fingerprint, []).append((now_s, daemon))

    @stateful.rule(daemon=st.integers(0, 1))
    def publish(self, daemon):
        type(self).steps_run += 1
        self.published += self.daemons[daemon].take_unpublished()

    @stateful.rule(daemon=st.integers(0, 1), repeats=st.integers(1, 3))
    def receive(self, daemon, repeats):
        """Deliver all published entries, including the daemon's own."""
        type(self).steps_run += 1
        for entry in self.published * repeats:
            self.daemons[daemon].receive(*entry)

    @stateful.rule(duration_s=st.sampled_from([1.0, 100.0, 700.0]))
    def wait(self, duration_s):
        type(self).steps_run += 1
        self.clock.advance(duration_s)

    @stateful.invariant()
    def innocents_are_free(self):
        now_s = self.clock.monotonic_s()
        reach_s = self.settings.memory_s + self.settings.duration_s
        for fingerprint in ("f1", "f2", "f3"):
            recent = [
                item
                for item in self.deaths.get(fingerprint, [])
                if now_s - item[0] <= reach_s
            ]
            for daemon in self.daemons:
                remaining_s = daemon.remaining_s(fingerprint)
                assert remaining_s <= self.settings.duration_s
                if len(recent) < self.settings.deaths:
                    assert remaining_s == 0, f"{fingerprint} is quarantined"


class HastyQuarantine(quarantine.Quarantine):
    """Broken: counts its own report as another crash."""

    def _receive_crash(self, fingerprint, wall_ms, target_name):
        record = self._get_record(fingerprint)
        now_s = self._clock.monotonic_s()
        self._add(fingerprint, record, quarantine._Crash("", wall_ms, now_s))


class HastyQuarantineMachine(QuarantineMachine):
    def __init__(self):
        super().__init__()
        self.daemons = [HastyQuarantine(self.settings, self.clock) for _ in range(2)]
