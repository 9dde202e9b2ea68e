from behave import given, then, when

from endivevane.coordination import clock
from endivevane.online import contract, quarantine
from features.support import bench_steps, scheduling


@when('a request with fingerprint "{fingerprint}" crashes each target that runs it')
def step_crash(context, fingerprint):
    context.crashed = []
    decision = context.bench.submit(fingerprint=fingerprint)
    while isinstance(decision, contract.Send):
        context.crashed.append(decision.attempt.target.name)
        context.bench.clock.advance(3.0)
        decision = bench_steps.kill_target_of(context.bench, decision.attempt)
    context.decision = decision


@then(
    "it has crashed {count:d} targets and is refused with status {status:d} and "
    '"{state}"'
)
def step_check_crashed(context, count, status, state):
    assert len(set(context.crashed)) == len(context.crashed) == count, context.crashed
    bench_steps.check_refusal(context.decision, status, state)


@then(
    'a resent request with fingerprint "{fingerprint}" is refused with status '
    '{status:d} and "{state}"'
)
def step_check_resent(context, fingerprint, status, state):
    refusal = context.bench.submit(fingerprint=fingerprint)
    bench_steps.check_refusal(refusal, status, state)
    context.fingerprint = fingerprint


@then("another daemon that receives the entry refuses it too")
def step_check_published(context):
    entries = context.bench.scheduler.take_quarantined()
    other = scheduling.Bench(context.bench.snapshot)
    other.clock.advance(context.bench.clock.monotonic_s() - 1000.0)
    for entry in entries:
        other.scheduler.set_quarantine(*entry)
    refusal = other.submit(fingerprint=context.fingerprint)
    bench_steps.check_refusal(refusal, 422, "not-run")


@then("it is accepted again after {seconds:d} seconds")
def step_check_expired(context, seconds):
    context.bench.clock.advance(seconds)
    decision = context.bench.submit(fingerprint=context.fingerprint)
    assert isinstance(decision, contract.Send), decision


@when("{count:d} other requests run alongside a crashing one at the same target")
def step_run_alongside(context, count):
    bench = context.bench
    prefix = tuple(range(10))
    first = bench.submit(fingerprint="poison", prefix_hashes=prefix)
    context.crashing = first.attempt
    context.others = [
        bench.submit(fingerprint=f"innocent-{number}", prefix_hashes=prefix).attempt
        for number in range(count)
    ]
    names = {item.target.name for item in context.others}
    assert names == {context.crashing.target.name}, names


@when("the crashing request crashes each target that runs it")
def step_crash_all(context):
    """Retry all requests of each crashed target; the crashing one crashes another."""
    bench = context.bench
    running = [context.crashing, *context.others]
    for _ in range(2):
        crashed_target = next(
            item.target.name for item in running if item.request.fingerprint == "poison"
        )
        victims = [item for item in running if item.target.name == crashed_target]
        running = [item for item in running if item.target.name != crashed_target]
        for victim in victims:
            decision = bench_steps.kill_target_of(bench, victim)
            if isinstance(decision, contract.Send):
                running.append(decision.attempt)
            else:
                assert victim.request.fingerprint == "poison", decision.error
        bench.clock.advance(3.0)


@then("only the crashing request is quarantined")
def step_check_only_crashing(context):
    for attempt in context.others:
        decision = context.bench.submit(fingerprint=attempt.request.fingerprint)
        assert not isinstance(decision, contract.Refuse), decision.error
    refusal = context.bench.submit(fingerprint="poison")
    bench_steps.check_refusal(refusal, 422, "not-run")


@given("two quarantines that exchange their entries")
def step_two_quarantines(context):
    context.clock = clock.ManualClock(1000.0, scheduling.WALL_MS)
    context.pair = [
        quarantine.Quarantine(quarantine.QuarantineSettings(), context.clock)
        for _ in range(2)
    ]


def _exchange(context):
    entries = [entry for item in context.pair for entry in item.take_unpublished()]
    for receiver in context.pair:
        for entry in entries * 3:
            receiver.receive(*entry)


@when("a fingerprint crashes one target that each of them observes")
def step_two_crashes(context):
    for index, item in enumerate(context.pair):
        item.record_death("shared", f"t{index}")
        context.clock.advance(3.0)
    _exchange(context)


@when("a fingerprint crashes one target that each of them observes at the same moment")
def step_two_crashes_at_once(context):
    for index, item in enumerate(context.pair):
        item.record_death("shared", f"t{index}")
    _exchange(context)


@then("both quarantine it")
def step_check_both(context):
    assert all(item.remaining_s("shared") > 0 for item in context.pair)


@then("repeated reports of a single crash quarantine nothing")
def step_check_echo(context):
    context.pair[0].record_death("single", "t1")
    _exchange(context)
    assert all(item.remaining_s("single") == 0 for item in context.pair)
    assert all(item.is_suspect("single") for item in context.pair)
