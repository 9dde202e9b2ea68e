import threading
import time

from behave import given, then, when

from bench import experiment, load
from tools import fleet

_LEAVING_LIMIT_S = 3.0


def start_fleet(context, **plan):
    context.fleet = fleet.Fleet(fleet.FleetPlan(has_balancer=True, **plan))
    context.cleanups.append(context.fleet.close)
    context.fleet.start()


def start_load(context, duration_s, rate_per_s=15.0, **call):
    """Run online requests through the balancer on a thread."""
    kinds = (
        experiment.CallKind(name="streamed", weight=3, max_tokens=40, **call),
        experiment.CallKind(name="whole", streamed=False, max_tokens=20, **call),
    )
    plan = experiment.Experiment(
        name="steps",
        seed=11,
        duration_s=duration_s,
        arrivals=experiment.Arrivals(rate_per_s=rate_per_s),
        calls=kinds,
    )
    context.load_result = None

    def run():
        context.load_result = load.run_load(
            plan, [context.fleet.balancer.url], context.fleet.caller_key()
        )

    context.load_thread = threading.Thread(target=run)
    context.load_thread.start()
    print(f"seed {plan.seed}")


@given("a fleet of {daemons:d} daemons and {engines:d} engines behind a balancer")
@given("a fleet of {daemons:d} daemon and {engines:d} engines behind a balancer")
def step_fleet(context, daemons, engines):
    start_fleet(context, daemons=daemons, engines=engines)


@when(
    "online requests run while {count:d} daemons are stopped and started one after "
    "another"
)
def step_rolling(context, count):
    daemons = context.fleet.daemons
    # A stop takes 1 s of grace plus the longest stream, a start 1 to 2 s.
    start_load(context, duration_s=count * 3.0)
    context.statuses = []
    for index in range(count):
        daemon = daemons[index % len(daemons)]
        daemon.terminate()
        context.statuses.append(daemon.process.wait(30.0))
        daemon.restart()
    context.load_thread.join()


@then("every online request is answered completely")
def step_whole(context):
    outcomes = context.load_result.outcomes
    assert len(outcomes) > 50, len(outcomes)
    broken = [
        (item.arrival.at_s, item.status, item.run_state, item.problem)
        for item in outcomes
        if not item.is_complete
    ]
    assert not broken, (len(broken), len(outcomes), broken[:5])


@then("every stopped daemon has ended with status 0")
def step_statuses(context):
    assert set(context.statuses) == {0}, context.statuses


@when(
    '"{name}" is listed as leaving while online requests run for {duration:d} seconds'
)
def step_leaving(context, name, duration):
    start_load(context, duration_s=duration, rate_per_s=30.0)
    time.sleep(duration / 3)
    context.fleet.set_vms({name: "leaving"})
    context.listed_at_s = time.time()
    context.load_thread.join()


@then('"{name}" starts no request later than 3 seconds after the listing')
def step_no_new_work(context, name):
    engine = next(item for item in context.fleet.engines if item.name == name)
    runs = engine.record()["runs"]
    before = [run for run in runs if run["started_at_s"] <= context.listed_at_s]
    late = [
        run["started_at_s"] - context.listed_at_s
        for run in runs
        if run["started_at_s"] > context.listed_at_s + _LEAVING_LIMIT_S
    ]
    assert len(before) > 5, len(before)
    assert not late, late


@when("a stream of 400 tokens runs while its engine is listed as leaving")
def step_long_stream(context):
    running = context.fleet
    kind = experiment.CallKind(name="long", max_tokens=400)
    plan = experiment.Experiment(
        name="long",
        duration_s=0.2,
        arrivals=experiment.Arrivals(kind="fixed", rate_per_s=8),
        calls=(kind,),
    )

    def run():
        context.load_result = load.run_load(
            plan, [running.balancer.url], running.caller_key()
        )

    thread = threading.Thread(target=run)
    thread.start()
    time.sleep(0.6)
    used = [engine for engine in running.engines if engine.record()["runs"]]
    running.set_vms({used[0].name: "leaving"})
    context.first_engine = used[0]
    thread.join()


@then("the stream is answered completely by that engine alone")
def step_one_engine(context):
    outcome, *_ = context.load_result.outcomes
    assert outcome.is_complete, outcome.problem
    counts = {item.name: len(item.record()["runs"]) for item in context.fleet.engines}
    others = sum(counts.values()) - counts[context.first_engine.name]
    assert counts[context.first_engine.name] == 1, counts
    assert others == 0, counts
