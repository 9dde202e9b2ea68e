import collections

from behave import given, then, when

from endivevane.online import contract, target_state
from features.support import bench_steps, scheduling

# One of nine equal shares of 60% of 15 Mbit/s.
_LINK_SHARE_BYTES_S = 15e6 / 8 * 0.6 / 9


@given("a scheduling bench with {count:d} target of {slots:d} slots")
@given("a scheduling bench with {count:d} targets of {slots:d} slots")
def step_bench(context, count, slots):
    bench_steps.make_bench(context, bench_steps.make_targets(count, slots))


@given(
    "a scheduling bench with {count:d} target of {slots:d} slots and a queue of "
    "{queue:d}"
)
def step_bench_queue(context, count, slots, queue):
    bench_steps.make_bench(
        context, bench_steps.make_targets(count, slots), {"max_queue": queue}
    )


@given("a scheduling bench with these targets of {slots:d} slots")
def step_bench_zones(context, slots):
    targets = [
        scheduling.make_target(row["name"], row["zone"], slots) for row in context.table
    ]
    bench_steps.make_bench(context, targets)


@given("a scheduling bench with {count:d} targets of {slots:d} slots and no avoidance")
def step_bench_without_avoidance(context, count, slots):
    """Without avoidance, only the retry budget limits the sends."""
    bench_steps.make_bench(
        context, bench_steps.make_targets(count, slots), {"max_attempts": 10}
    )
    for state in context.bench.scheduler._fleet.targets.values():
        state.health._settings = target_state.HealthSettings(failures=10**9)


@given(
    "a scheduling bench with {count:d} targets of {slots:d} slots and a large retry "
    "budget"
)
def step_bench_large_budget(context, count, slots):
    """Many completed requests fill the retry budget for each affected request."""
    bench_steps.make_bench(context, bench_steps.make_targets(count, slots))
    for _ in range(200):
        decision = context.bench.submit()
        context.bench.scheduler.finish(
            decision.attempt, contract.AttemptOutcome.COMPLETED
        )


@given("completed requests of the bench took {duration_s:d} seconds each")
def step_measure(context, duration_s):
    for _ in range(50):
        decision = context.bench.submit()
        context.bench.clock.advance(duration_s)
        context.bench.scheduler.finish(
            decision.attempt, contract.AttemptOutcome.COMPLETED
        )


@given('"{name}" of the bench reports {running:d} running requests')
def step_report(context, name, running):
    bench = context.bench
    slots = bench.snapshot.services["answers"].targets[0].slots
    report = scheduling.make_report(
        running=running, slots=slots, as_of_s=bench.make_wall_s()
    )
    bench.scheduler.set_load(name, report)
    bench.clock.advance(0.5)


@when("the bench submits {count:d} request")
@when(
    "the bench submits {count:d} requests with {deadline_s:d} seconds to the deadline"
)
def step_submit(context, count, deadline_s=30):
    for _ in range(count):
        decision = context.bench.submit(deadline_s=float(deadline_s))
        context.decisions.append(decision)


@when('target "{name}" of the bench is draining')
def step_drain(context, name):
    context.bench.scheduler.set_leaving({name})


@when('the targets "{names}" of the bench are draining')
def step_drain_many(context, names):
    context.bench.scheduler.set_leaving(set(names.split()))


@when("the bench polls")
def step_poll(context):
    context.polled = context.bench.scheduler.poll()


@then('the bench refuses it with status {status:d}, "{state}" and Retry-After')
def step_check_refused(context, status, state):
    bench_steps.check_refusal(context.decisions[-1], status, state)


@then("{sent:d} of them are sent and {queued:d} are queued")
def step_check_counts(context, sent, queued):
    kinds = collections.Counter(type(item).__name__ for item in context.decisions)
    assert (kinds["Send"], kinds["Queued"]) == (sent, queued), kinds


@then('the others are refused with status {status:d}, "{state}" and Retry-After')
def step_check_others(context, status, state):
    refusals = bench_steps.list_refusals(context.decisions)
    assert refusals
    for refusal in refusals:
        bench_steps.check_refusal(refusal, status, state)


@then(
    '{count:d} queued requests are refused with status {status:d}, "{state}" and '
    "Retry-After"
)
def step_check_polled(context, count, status, state):
    refusals = bench_steps.list_refusals(context.polled)
    assert len(refusals) == count, context.polled
    for refusal in refusals:
        bench_steps.check_refusal(refusal, status, state)


@then("between {low:d} and {high:d} queued requests are refused with status {status:d}")
def step_check_polled_range(context, low, high, status):
    refusals = bench_steps.list_refusals(context.polled)
    assert low <= len(refusals) <= high, len(refusals)
    for refusal in refusals:
        bench_steps.check_refusal(refusal, status, "not-run")


@then("the refusals came {seconds:d} seconds after the loss")
def step_check_at_once(context, seconds):
    """The clock has not advanced since the targets began to drain."""
    for refusal in bench_steps.list_refusals(context.polled):
        waited_s = context.bench.clock.monotonic_s() - refusal.request.received_s
        assert waited_s == seconds, waited_s


@then('no request of the bench went to "{name}"')
def step_check_unused(context, name):
    assert all(
        item.attempt.target.name != name for item in bench_steps.list_sends(context)
    )


@then('"{name}" got {count:d} requests of the bench')
def step_check_used(context, name, count):
    used = [
        item
        for item in bench_steps.list_sends(context)
        if item.attempt.target.name == name
    ]
    assert len(used) == count, len(used)


@then('the batch sender of "{name}" is notified of {count:d} online request in flight')
@then('the batch sender of "{name}" is notified of {count:d} online requests in flight')
def step_check_notice(context, name, count):
    notices = context.bench.scheduler.take_use_notices()
    told = [(item.target.name, item.in_flight) for item in notices]
    assert told == [(name, count)], told


@then("the bench asks for no slots")
def step_check_no_yield(context):
    """Slots are requested only when a request has to wait."""
    assert not context.bench.scheduler.take_yield_requests()


@then('the bench asks for {slots:d} slots at "{name}"')
def step_check_yield(context, slots, name):
    wanted = context.bench.scheduler.take_yield_requests()
    assert [(item.target.name, item.slots) for item in wanted] == [(name, slots)]


@then("the loads of the targets differ by at most {bound:d}")
def step_check_balance(context, bound):
    sends = collections.Counter(
        item.attempt.target.name for item in bench_steps.list_sends(context)
    )
    loads = [sends["t1"], sends["t2"] + 6]
    assert abs(loads[0] - loads[1]) <= bound, loads


@when("a request with a long prefix has run")
def step_prefix(context):
    context.prefix = tuple(range(100, 120))
    decision = context.bench.submit(prefix_hashes=context.prefix)
    context.home = decision.attempt.target.name
    context.bench.scheduler.finish(decision.attempt, contract.AttemptOutcome.COMPLETED)


@then("{count:d} requests with the same prefix go to the same target")
def step_check_affine(context, count):
    names = {
        context.bench.submit(prefix_hashes=context.prefix).attempt.target.name
        for _ in range(count)
    }
    assert names == {context.home}, names


@then("of {count:d} more with the same prefix some go elsewhere")
def step_check_spread(context, count):
    names = collections.Counter(
        context.bench.submit(prefix_hashes=context.prefix).attempt.target.name
        for _ in range(count)
    )
    assert names[context.home] <= 5, names


@given(
    "a scheduling bench with one full target here and a free one in the other region"
)
def step_bench_spill(context):
    targets = [
        scheduling.make_target("t1", "zone-a", 1),
        scheduling.make_target("t2", "zone-c", 4000),
    ]
    bench_steps.make_bench(context, targets)
    assert context.bench.submit(deadline_s=3600.0).attempt.target.name == "t1"


@when(
    "{count:d} requests of {size:d} bytes come over {seconds:d} seconds and each ends "
    "after 1 second"
)
def step_spill(context, count, size, seconds):
    """Half of a response is transferred at its start, the rest at its end."""
    bench = context.bench
    context.spilled = 0
    context.answer_bytes = size
    context.passed_bytes = 0
    running = collections.deque()

    def take(decision):
        if isinstance(decision, contract.Send):
            assert decision.attempt.target.name == "t2"
            context.spilled += 1
            pass_half(decision.attempt)
            running.append(decision.attempt)

    def pass_half(attempt):
        bench.scheduler.find_meter(attempt)(size // 2)
        context.passed_bytes += size // 2

    for _ in range(count):
        bench.clock.advance(seconds / count)
        now_s = bench.clock.monotonic_s()
        while running and running[0].started_s <= now_s - 1.0:
            attempt = running.popleft()
            pass_half(attempt)
            bench.scheduler.finish(attempt, contract.AttemptOutcome.COMPLETED)
        for action in bench.scheduler.poll():
            take(action)
        take(bench.submit(deadline_s=2.0))


@then(
    "at most {seconds:d} seconds of the daemon's share of the link, and a burst, are "
    "used"
)
def step_check_link(context, seconds):
    """The burst allowance is 2 s of the rate plus one request."""
    allowed_bytes = (seconds + 2) * _LINK_SHARE_BYTES_S + context.answer_bytes
    print(f"passed {context.passed_bytes} of at most {allowed_bytes:.0f} bytes")
    assert context.passed_bytes <= allowed_bytes, context.passed_bytes


@then("at least 80% of {seconds:d} seconds of the daemon's share of the link are used")
def step_check_used(context, seconds):
    used = context.passed_bytes / (seconds * _LINK_SHARE_BYTES_S)
    assert used >= 0.8, used


@then("some requests were spilled")
def step_check_spilled(context):
    assert context.spilled >= 50, context.spilled
