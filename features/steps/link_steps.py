import time
import urllib.request

from behave import given, then, when
from prometheus_client import REGISTRY

from endivevane import metrics
from endivevane.coordination import clock
from endivevane.external import link
from endivevane.online import link_budget
from features.support import engine_caller, online_calls, online_machine
from tools import fleet, jobs

_JOB_BOUND_S = 30.0


@given("a link share of {rate:d} bytes a second on a manual clock")
def step_share(context, rate):
    context.clock = clock.ManualClock()
    context.share = link.LinkShare(context.clock, lambda: float(rate))


@given("a link budget of {rate:d} bytes a second on a manual clock")
def step_budget(context, rate):
    context.clock = clock.ManualClock()
    context.budget = link_budget.LinkBudget(context.clock, lambda data: data)
    context.budget.set_rate(float(rate))


@when("a first stream transfers {size:d} bytes and goes on")
def step_pass_stream(context, size):
    assert context.budget.has_room()
    context.budget.open_stream("attempt-1", "service")
    for _ in range(10):
        context.budget.pass_bytes("attempt-1", size // 10)


@then("no other request may cross the link for {wait:g} seconds")
def step_check_closed(context, wait):
    for _ in range(10):
        assert not context.budget.has_room()
        context.clock.advance(wait / 10)
    assert not context.budget.has_room()


@then("one may cross it after {wait:g} more")
def step_check_open(context, wait):
    context.clock.advance(wait)
    assert context.budget.has_room()


@when(
    "transfers of {size:d} bytes are taken for {duration:d} seconds, each after its "
    "wait"
)
def step_transfers(context, size, duration):
    context.sent = 0
    while True:
        context.clock.advance(context.share.take(size))
        if context.clock.monotonic_s() > duration:
            return
        context.sent += size


@then("between {low:d} and {high:d} bytes were sent")
def step_sent(context, low, high):
    assert low <= context.sent <= high, context.sent


@when("one transfer of {size:d} bytes is taken")
def step_one(context, size):
    context.wait_s = context.share.take(size)


@then("it waits {wait:d} s")
def step_wait(context, wait):
    assert context.wait_s == wait, context.wait_s


@then("the next transfer of {size:d} bytes waits {wait:g} s")
def step_next(context, size, wait):
    assert context.share.take(size) == wait


@given("a fleet whose daemons run in another region than the platform")
def step_fleet(context):
    settings = {"platform": {"region": "elsewhere"}}
    plan = fleet.FleetPlan(daemons=1, engines=1, daemon_settings=settings)
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()


@when("a batch job of {count:d} items has completed")
def step_job(context, count):
    bodies = jobs.make_bodies(context.fleet.plan.model, count, 2, "item")
    job_id = jobs.submit(context.fleet, bodies)
    deadline_s = time.monotonic() + _JOB_BOUND_S
    status = ""
    while status != "completed" and time.monotonic() < deadline_s:
        time.sleep(0.5)
        status = jobs.read_status(context.fleet, job_id) or status
    assert status == "completed", status


@then('the metrics of link bytes show the purposes "{purposes}"')
def step_purposes(context, purposes):
    with urllib.request.urlopen(f"{context.fleet.daemons[0].url}/metrics") as response:
        text = response.read().decode()
    for purpose in purposes.split():
        prefix = f'endivevane_link_bytes_total{{purpose="{purpose}"}} '
        values = [
            float(line.removeprefix(prefix))
            for line in text.splitlines()
            if line.startswith(prefix)
        ]
        assert values and values[0] > 0, (purpose, values)


def _read_online_bytes():
    metrics.LINK_BYTES.labels("online")
    labels = {"purpose": "online"}
    return REGISTRY.get_sample_value("endivevane_link_bytes_total", labels)


@given("a front end whose engine is in the other region behind a link")
def step_front(context):
    online_calls.start_engines(context, 1, token_ms=5)
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=0))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.link = context.fleet.start_link("link", context.engines[0].address)
    targets = {"engine-0": context.link.address}
    context.front = online_machine.Front(targets, region="east")
    context.cleanups.append(context.front.stop)
    context.counted_before = _read_online_bytes()


@when("{count:d} streams of {tokens:d} tokens with a long prompt have passed")
def step_streams(context, count, tokens):
    for number in range(count):
        answer = online_calls.call(context, f"{number} " + "word " * 2000, tokens)
        assert answer.status == 200, answer


@then("the online link bytes are within 2% of what the link has passed")
def step_online_bytes(context):
    """The head of a call is estimated at 300 bytes; all else is exact."""
    counted = _read_online_bytes() - context.counted_before
    record = context.link.record()
    passed = record["outward_bytes"] + record["inward_bytes"]
    print(f"counted {counted:.0f} bytes, passed {passed} bytes")
    assert passed > 30_000 and abs(counted - passed) <= 0.02 * passed


@then("half of the bytes were counted while a longer stream was still running")
def step_counted_early(context):
    before = _read_online_bytes()
    online_calls.call_in_background(context, "a longer stream", 400)

    def is_half_counted():
        return _read_online_bytes() - before > 20_000

    engine_caller.wait_until(is_half_counted, 10.0, "the bytes were not counted")
    assert context.background.is_running
    assert online_calls.finish_call(context).status == 200
    assert _read_online_bytes() - before < 100_000
