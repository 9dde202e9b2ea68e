"""Fuzzing of session leases against the history of the store.

Two processes share the name ``d1``, as after a restart while the old process is paused.
A process may pause between the start, the run and the record of an attempt, and each
call to the store may fail in any way.
"""

import dataclasses

import result
from hypothesis import stateful
from hypothesis import strategies as st

from endivevane import testing
from endivevane.coordination import clock, lease, store

_TERM_S = 9.0
_MARGIN_S = 1.0
_FAULTS = st.lists(st.sampled_from([None, None, *testing.Fault]), max_size=4)
_DURATIONS = st.sampled_from([0.0, 0.1, 1.0, 3.0, 4.0, 9.5, 30.0])


class Holder:
    def __init__(self, number, make_lease, machine_clock):
        self.number = number
        self.lease = make_lease(machine_clock)
        self.attempt = None
        self.outcome = None
        self.expired = set()
        self.valid_epoch = None


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Two holders of one name and one observer over a faulty store."""

    steps_run = 0
    lease_class = lease.SessionLease
    holders_count = 2

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(wall_ms=1_000_000)
        self.store = testing.MemoryTableStore()
        self.holders = [
            Holder(number, self.make_lease, self.clock)
            for number in range(self.holders_count)
        ]
        self.observer = lease.SessionObserver(_MARGIN_S, self.clock)
        self.applied = {}

    def make_lease(self, machine_clock):
        return self.lease_class("d1", {"zone": "z1"}, _TERM_S, machine_clock)

    def count(self):
        type(self).steps_run += 1

    @stateful.rule(number=st.integers(0, 1), faults=_FAULTS)
    def start_and_run(self, number, faults):
        """Run an attempt; its answer is recorded later."""
        self.count()
        holder = self.holders[number % self.holders_count]
        if holder.outcome is not None:
            return
        holder.attempt = holder.lease.start_attempt()
        self.store.script(*faults)
        holder.outcome = lease.run_attempt(self.store, holder.attempt)
        self.store.script()
        self.store._script.clear()
        self.note_applied(holder)

    @stateful.rule(number=st.integers(0, 1))
    def record(self, number):
        self.count()
        holder = self.holders[number % self.holders_count]
        if holder.outcome is not None:
            holder.lease.record(holder.outcome)
            holder.outcome = None

    @stateful.rule(duration_s=_DURATIONS)
    def advance(self, duration_s):
        self.count()
        self.clock.advance(duration_s)

    @stateful.rule(duration_s=st.sampled_from([0.0, 0.2, 12.0]))
    def observe(self, duration_s):
        """Read the row; the observer may pause before or after the read."""
        self.count()
        started_s = self.clock.monotonic_s()
        self.clock.advance(duration_s)
        row = self.store.rows(lease.TABLE).get("d1")
        self.clock.advance(duration_s)
        self.observer.observe("d1", row, started_s, self.clock.monotonic_s())

    @stateful.rule()
    def delete_row(self):
        """Delete the row while no epoch is valid, as on a planned stop."""
        self.count()
        if any(holder.lease.is_valid() for holder in self.holders):
            return
        row = self.store.rows(lease.TABLE).get("d1")
        if row is not None:
            condition = store.Condition(lease.TABLE, "d1", row.revision)
            write = store.Write(lease.TABLE, "d1", None)
            self.store.transact("delete", [condition], [write])

    def note_applied(self, holder):
        for item in self.store.history:
            if item.operation_id != holder.attempt.operation_id:
                continue
            for write in item.writes:
                if write.value is not None:
                    epoch = write.value[lease.EPOCH_FIELD]
                    self.applied[holder.number, epoch] = holder.attempt.sent_s

    @stateful.invariant()
    def a_valid_epoch_was_written_within_its_term(self):
        now_s = self.clock.monotonic_s()
        for holder in self.holders:
            epoch = holder.lease.epoch
            if epoch is None:
                continue
            sent_s = self.applied.get((holder.number, epoch))
            assert sent_s is not None, f"epoch {epoch} was never written"
            assert now_s < sent_s + _TERM_S, f"valid {now_s - sent_s} s after sending"

    @stateful.invariant()
    def an_expired_epoch_is_never_reused(self):
        for holder in self.holders:
            epoch = holder.lease.epoch
            if holder.valid_epoch is not None and epoch != holder.valid_epoch:
                holder.expired.add(holder.valid_epoch)
            assert epoch not in holder.expired, f"epoch {epoch} was reused"
            holder.valid_epoch = epoch

    @stateful.invariant()
    def epochs_only_increase(self):
        epochs = [
            write.value[lease.EPOCH_FIELD]
            for item in self.store.history
            for write in item.writes
            if write.value is not None
        ]
        assert epochs == sorted(epochs), f"the epoch in the row decreased: {epochs}"


class SingleHolderMachine(LeaseMachine):
    """One holder: no observer may consider its valid epoch expired."""

    steps_run = 0
    holders_count = 1

    @stateful.invariant()
    def no_observer_ends_a_valid_epoch(self):
        epoch = self.holders[0].lease.epoch
        if epoch is not None:
            assert not self.observer.is_expired("d1", epoch), f"{epoch} taken for over"


class _LateLease(lease.SessionLease):
    """Broken: counts the term from the answer."""

    def record(self, outcome):
        if isinstance(outcome, result.Ok):
            attempt = dataclasses.replace(
                outcome.ok_value.attempt, sent_s=self._clock.monotonic_s()
            )
            outcome = result.Ok(dataclasses.replace(outcome.ok_value, attempt=attempt))
        super().record(outcome)


class LateMachine(LeaseMachine):
    """Fuzzes a holder that counts its term from the answer."""

    steps_run = 0
    lease_class = _LateLease


class _RevivingLease(lease.SessionLease):
    """Broken: renews an epoch whose term has ended."""

    def _drop_expired(self):
        if self._epoch is None and self._last_epoch:
            self._epoch = self._last_epoch

    def _drop_epoch(self):
        return


class RevivingMachine(LeaseMachine):
    """Fuzzes a holder that continues an epoch after its term."""

    steps_run = 0
    lease_class = _RevivingLease
