import time

from behave import given, then, when

from endivevane.configuration import snapshot
from features.support import batch_local, batch_world


@given("a runner that starts with {first} and a job of {count:d} items")
def step_start(context, first, count):
    context.world = batch_world.World(context, 8, 8)
    context.wanted = context.world.hub.current
    context.world.hub.current = {
        "no configuration": snapshot.EMPTY,
        "a configuration without a model": batch_local.make_snapshot([], model="x"),
    }[first]
    context.runner = context.world.start_runner(context, "d1")


@when("the configuration with the model is in force after {wait:d} second")
def step_configure(context, wait):
    time.sleep(wait)
    context.world.hub.current = context.wanted


@then("the job completes with {done:d} items done and {failed:d} failed")
def step_check(context, done, failed):
    def read():
        return context.world.store.rows("jobs")[context.world.job_id].value

    batch_world.wait_until(
        lambda: read()["state"] == "completed", 20, "the job does not complete"
    )
    tally = read()["tally"]
    assert (tally["completed"], tally["failed"]) == (done, failed), tally
