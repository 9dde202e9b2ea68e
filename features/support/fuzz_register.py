"""Fuzzing of the at-most-once register against a log of the executed calls.

Three daemons compete for two keys. A rule is one step of a call: claim, send, record.
A daemon may die between any two rules, and any call to the store may fail in any way
or be preceded by a whole claim of another daemon.
"""

import itertools
import sys

import result
from hypothesis import stateful
from hypothesis import strategies as st

from endivevane import testing
from endivevane.coordination import register, store

_DAEMONS = 3
_KEYS = ("k1", "k2")
_FAULTS = st.lists(
    st.sampled_from([None, None, *testing.Fault]), min_size=0, max_size=8
)


class Died(BaseException):
    """The daemon dies during a call to the store."""


class InterruptedStore:
    """Forwards calls, preceded by scripted actions such as a claim or a crash."""

    def __init__(self, table_store):
        self.inner = table_store
        self.interruptions = []

    def _interrupt(self):
        if not self.interruptions:
            return
        action = self.interruptions.pop(0)
        if action is not None:
            action()

    def read(self, table, key):
        self._interrupt()
        return self.inner.read(table, key)

    def scan(self, table, prefix, after="", limit=500):
        return self.inner.scan(table, prefix, after, limit)

    def transact(self, operation_id, conditions, writes):
        self._interrupt()
        return self.inner.transact(operation_id, conditions, writes)


class EagerRegister(register.Register):
    """Broken: sends although the outcome of the insert is unknown."""

    def claim(self, organisation, key, digest, now_ms, may_continue=lambda: True):
        outcome = super().claim(organisation, key, digest, now_ms)
        if isinstance(outcome, result.Err) and isinstance(
            outcome.err_value, store.StoreOutcomeUnknown
        ):
            row_key = f"{organisation}/{key}"
            return result.Ok(register.Claim(row_key, digest, now_ms, "eager", None))
        return outcome


class TrustingRegister(register.Register):
    """Broken: treats a row that was absent at the first read as its own claim."""

    def claim(self, organisation, key, digest, now_ms, may_continue=lambda: True):
        row_key = f"{organisation}/{key}"
        found = self._store.read(register.TABLE, row_key)
        outcome = super().claim(organisation, key, digest, now_ms)
        if isinstance(found, result.Ok) and found.ok_value is None:
            trusted = register.Claim(row_key, digest, now_ms, "trusting", None)
            is_claimed = isinstance(outcome, result.Ok) and isinstance(
                outcome.ok_value, register.Claim
            )
            return outcome if is_claimed else result.Ok(trusted)
        return outcome


class ForgivingRegister(register.Register):
    """Broken: releases the key after a call whose answer was lost."""

    frees_lost_calls = True


class _Call:
    def __init__(self, daemon, key, digest, claim):
        self.daemon = daemon
        self.key = key
        self.digest = digest
        self.claim = claim
        self.outcome = None
        self.was_sent = False


class RegisterMachine(stateful.RuleBasedStateMachine):
    """The correct register; subclasses replace ``register_class``."""

    register_class = register.Register
    steps_run = 0

    def __init__(self):
        super().__init__()
        self.store = testing.MemoryTableStore()
        self.ids = (f"op{number}" for number in itertools.count())
        self.stores = [InterruptedStore(self.store) for _ in range(_DAEMONS)]
        self.registers = [self._make_register(index) for index in range(_DAEMONS)]
        self.calls = []
        self.runs = {key: [] for key in _KEYS}
        self.stored = {}

    def _make_register(self, index):
        return self.register_class(self.stores[index], lambda: next(self.ids), 5)

    def _claim(self, daemon, key, digest):
        outcome = self.registers[daemon].claim("org", key, digest, 0)
        if isinstance(outcome, result.Err):
            return
        claim_result = outcome.ok_value
        if isinstance(claim_result, register.Claim):
            assert not self.runs[key], f"{key} is claimed again after it ran"
            self.calls.append(_Call(daemon, key, digest, claim_result))
        elif isinstance(claim_result, register.Finished):
            assert (digest, claim_result.outcome) in self.runs[key], "outcome of no run"
        elif isinstance(claim_result, register.MayHaveRun):
            assert key not in self.stored, "a stored outcome is hidden"

    @stateful.rule(
        daemon=st.integers(0, _DAEMONS - 1),
        key=st.sampled_from(_KEYS),
        digest=st.sampled_from(["d1", "d2"]),
        faults=_FAULTS,
        delay_calls=st.integers(0, 4),
        at_call=st.integers(0, 5),
        dies=st.booleans(),
    )
    def claim(self, daemon, key, digest, faults, delay_calls, at_call, dies):
        """Claim, interrupted at a store call by a competing claim or a crash."""
        type(self).steps_run += 1
        self.store.script(*faults, delay_calls=delay_calls)

        def interrupt():
            if dies:
                raise Died
            self._claim((daemon + 1) % _DAEMONS, key, digest)

        self.stores[daemon].interruptions = [None] * at_call + [interrupt]
        try:
            self._claim(daemon, key, digest)
        except Died:
            self.die(daemon)
        self.stores[daemon].interruptions = []
        self._clear_script()

    def _pick(self, number, condition):
        chosen = [call for call in self.calls if condition(call)]
        return chosen[number % len(chosen)] if chosen else None

    @stateful.rule(number=st.integers(0, 9), answer_is_lost=st.booleans())
    def send(self, number, answer_is_lost):
        type(self).steps_run += 1
        call = self._pick(number, lambda item: not item.was_sent)
        if call is None:
            return
        call.was_sent = True
        outcome = {"run": f"{call.key}/{len(self.runs[call.key])}"}
        self.runs[call.key].append((call.digest, outcome))
        assert len(self.runs[call.key]) == 1, f"{call.key} ran twice"
        if not answer_is_lost:
            call.outcome = outcome
            return
        self.calls.remove(call)
        if getattr(self.register_class, "frees_lost_calls", False):
            self.registers[call.daemon].release(call.claim)

    @stateful.rule(number=st.integers(0, 9), faults=_FAULTS)
    def connect_fails(self, number, faults):
        type(self).steps_run += 1
        call = self._pick(number, lambda item: not item.was_sent)
        if call is None:
            return
        self.calls.remove(call)
        self.store.script(*faults)
        self.registers[call.daemon].release(call.claim)
        self._clear_script()

    @stateful.rule(number=st.integers(0, 9), faults=_FAULTS)
    def record(self, number, faults):
        type(self).steps_run += 1
        call = self._pick(number, lambda item: item.outcome is not None)
        if call is None:
            return
        self.calls.remove(call)
        self.store.script(*faults)
        status = self.registers[call.daemon].record(call.claim, call.outcome)
        self._clear_script()
        if status is register.RecordStatus.STORED:
            row = self.store.rows(register.TABLE)[call.claim.row_key]
            stored = row.value.get("outcome")
            assert stored == call.outcome, "the outcome is not stored"
            self.stored[call.key] = call.outcome

    @stateful.rule(daemon=st.integers(0, _DAEMONS - 1), faults=_FAULTS)
    def flush(self, daemon, faults):
        type(self).steps_run += 1
        self.store.script(*faults)
        self.registers[daemon].flush()
        self._clear_script()

    @stateful.rule(daemon=st.integers(0, _DAEMONS - 1))
    def die(self, daemon):
        type(self).steps_run += 1
        self.stores[daemon].interruptions = []
        self.registers[daemon] = self._make_register(daemon)
        self.calls = [call for call in self.calls if call.daemon != daemon]

    @stateful.rule()
    def let_delayed_writes_arrive(self):
        type(self).steps_run += 1
        self.store.apply_delayed()

    @stateful.invariant()
    def outcomes_stay(self):
        rows = self.store.rows(register.TABLE)
        for key, outcome in self.stored.items():
            value = rows[f"org/{key}"].value
            assert value["state"] == "done", f"the outcome of {key} was overwritten"
            assert value["outcome"] == outcome, f"the outcome of {key} changed"

    def teardown(self):
        """With a healthy store no change stays pending."""
        if sys.exc_info()[0] is not None:
            # Don't hide a failed check behind consequential failures.
            return
        self._clear_script()
        self.store.apply_delayed()
        for item in self.registers:
            assert (
                item.flush() == 0
            ), "a change is pending although the store is healthy"

    def _clear_script(self):
        self.store._script.clear()


class EagerMachine(RegisterMachine):
    register_class = EagerRegister


class TrustingMachine(RegisterMachine):
    register_class = TrustingRegister


class ForgivingMachine(RegisterMachine):
    register_class = ForgivingRegister
