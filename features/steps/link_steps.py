import time
import urllib.request

from behave import given, then, when

from endivevane.coordination import clock
from endivevane.platform import link
from tools import fleet, jobs

_JOB_BOUND_S = 30.0


@given("a link share of {rate:d} bytes a second on a manual clock")
def step_share(context, rate):
    context.clock = clock.ManualClock()
    context.share = link.LinkShare(context.clock, lambda: float(rate))


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


@then("the next transfer of {size:d} bytes waits {wait:d} s")
def step_next(context, size, wait):
    assert context.share.take(size) == wait


@given("a fleet whose daemons stand in another region than the platform")
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
