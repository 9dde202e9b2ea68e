import itertools

import result
from behave import given, then, when

from endivevane import testing, types
from endivevane.coordination import register, store
from endivevane.external import http_pool, objects
from endivevane.online import at_most_once
from features.support import fuzz_register, fuzzing
from tools import fleet


def _make_register(context, backlog_size=1000):
    return register.Register(
        context.memory, lambda: f"op{next(context.numbers)}", backlog_size
    )


@given("a register over a store in memory")
def step_register(context):
    context.memory = testing.MemoryTableStore()
    context.numbers = itertools.count()
    context.register = _make_register(context)


@given("a register over a store in memory with a backlog of {size:d}")
def step_register_backlog(context, size):
    step_register(context)
    context.register = _make_register(context, size)


@when("the answer to the insert is lost after it took effect")
def step_lost_insert(context):
    context.memory.script(testing.Fault.LOST_AFTER)
    context.claimed = context.register.claim("acme", "k", "digest", 0)


@then("the register gives the right to send")
def step_check_right(context):
    assert isinstance(context.claimed.ok_value, register.Claim), context.claimed


@then("a second claim of the key says that it may have run")
def step_check_second(context):
    sight = context.register.claim("acme", "k", "digest", 0).ok_value
    assert isinstance(sight, register.MayHaveRun), sight


@when("the insert is {fault} and the store then stays down")
def step_unknown_insert(context, fault):
    context.memory.script(testing.Fault(fault), delay_calls=2)
    context.memory.is_down = True
    context.claimed = context.register.claim("acme", "k", "digest", 0)


@then("the register gives no right to send")
def step_check_no_right(context):
    assert isinstance(context.claimed, result.Err), context.claimed
    assert isinstance(context.claimed.err_value, store.StoreOutcomeUnknown)


@then("once the store is back the key can be claimed by one daemon only")
def step_check_one_claim(context):
    context.memory.is_down = False
    context.memory.apply_delayed()
    assert context.register.flush() == 0
    rivals = [_make_register(context) for _ in range(3)]
    sights = [item.claim("acme", "k", "digest", 0).ok_value for item in rivals]
    claims = [item for item in sights if isinstance(item, register.Claim)]
    assert len(claims) == 1, sights


@when("{count:d} calls end while the store is down")
def step_end_calls(context, count):
    claims = [
        context.register.claim("acme", f"k{number}", "digest", 0).ok_value
        for number in range(count)
    ]
    context.memory.is_down = True
    context.recordings = [
        context.register.record(claim, {"status": 200}) for claim in claims
    ]


@then("{later:d} outcomes wait and {lost:d} is lost")
def step_check_waiting(context, later, lost):
    counts = [
        context.recordings.count(item)
        for item in (register.RecordStatus.DEFERRED, register.RecordStatus.LOST)
    ]
    assert counts == [later, lost], context.recordings


@then(
    "after the store is back {done:d} keys return their outcome and {open_count:d} may "
    "have run"
)
def step_check_flushed(context, done, open_count):
    context.memory.is_down = False
    assert context.register.flush() == 0
    sights = [
        context.register.claim("acme", f"k{number}", "digest", 0).ok_value
        for number in range(done + open_count)
    ]
    kinds = [type(item) for item in sights]
    assert kinds.count(register.Finished) == done, sights
    assert kinds.count(register.MayHaveRun) == open_count, sights


@given("a register over a store in memory and an object store")
def step_register_objects(context):
    step_register(context)
    plan = fleet.FleetPlan(daemons=0, engines=0, services=0)
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    address = types.parse_address(context.fleet.store.address)
    pool = http_pool.HttpPool(address, http_pool.PoolSettings())
    context.keeper = at_most_once.OutcomeKeeper(
        context.register, objects.ObjectClient(pool)
    )


@when("an answer of {size:d} bytes is kept while the object store is down")
def step_keep_large(context, size):
    claim = context.register.claim("acme", "k", "digest", 0).ok_value
    context.answer = at_most_once.Answer(200, {"etag": "x"}, bytes(range(250)) * 800)
    assert len(context.answer.body) == size
    context.fleet.store.set_faults(down=True)
    recording = context.keeper.keep(claim, context.answer)
    assert recording is register.RecordStatus.DEFERRED, recording


@then("it is not restored before the object store is back")
def step_check_not_restored(context):
    assert context.keeper.flush() == 1
    sight = context.register.claim("acme", "k", "digest", 0).ok_value
    assert isinstance(sight, register.MayHaveRun), sight


@then("afterwards it is restored with the same bytes")
def step_check_restored(context):
    context.fleet.store.set_faults(down=False)
    assert context.keeper.flush() == 0
    sight = context.register.claim("acme", "k", "digest", 0).ok_value
    assert isinstance(sight, register.Finished), sight
    assert context.keeper.restore(sight.outcome).ok_value == context.answer


_BROKEN = {
    "sends when the outcome is unknown": fuzz_register.EagerMachine,
    "trusts a row that was absent before": fuzz_register.TrustingMachine,
    "frees the key of a call with lost answer": fuzz_register.ForgivingMachine,
}


@then("fuzzing of the register runs at least {count:d} steps without a fault")
def step_fuzz_register(context, count):
    assert fuzzing.run_machine(fuzz_register.RegisterMachine, 150, 40) >= count


@then("fuzzing finds that the register which {fault} is broken")
def step_fuzz_broken_register(context, fault):
    error = fuzzing.find_failure(_BROKEN[fault], 600, 40)
    assert error is not None, "the oracle does not see the fault"
    assert "ran" in str(error), error
