import contextlib
import copy
import io
import threading
import time

from behave import given, then, when

from bench import bars, experiment, load
from tools import fleet

_TOKENS = 6


def _make_experiment(rate, duration, kind, seed=1):
    return experiment.Experiment(
        name="scenario",
        seed=seed,
        duration_s=duration,
        arrivals=experiment.Arrivals(kind=kind, rate_per_s=rate),
        calls=(experiment.CallKind(name="call", max_tokens=_TOKENS),),
    )


@given(
    "an experiment of {rate:d} calls a second for {duration:d} seconds "
    "with the seed {seed:d}"
)
def step_make_seeded(context, rate, duration, seed):
    context.experiment = _make_experiment(rate, duration, "exponential", seed)


@given(
    "an experiment of {rate:d} calls a second at equal gaps for {duration:d} seconds"
)
@given("an experiment of {rate:d} calls a second at equal gaps for {duration:d} second")
def step_make_fixed(context, rate, duration):
    # Half a gap more keeps the last arrival within the duration despite rounding.
    context.experiment = _make_experiment(rate, duration + 0.5 / rate, "fixed")
    context.expected_calls = rate * duration


@given("the rate is {rate:d} calls a second from {start:d} to {end:d} seconds")
def step_add_phases(context, rate, start, end):
    arrivals = context.experiment.arrivals.model_dump()
    arrivals["phases"] = [
        {"from_s": start, "rate_per_s": rate},
        {"from_s": end, "rate_per_s": arrivals["rate_per_s"]},
    ]
    context.experiment = context.experiment.change(arrivals=arrivals)


@then("making the schedule twice gives the same arrivals")
def step_check_same(context):
    first = experiment.make_schedule(context.experiment)
    assert first == experiment.make_schedule(context.experiment)


@then("the seed {seed:d} gives other arrivals")
def step_check_other(context, seed):
    other = experiment.make_schedule(context.experiment.change(seed=seed))
    assert other != experiment.make_schedule(context.experiment)


@then("there are between {least:d} and {most:d} arrivals")
def step_check_count(context, least, most):
    count = len(experiment.make_schedule(context.experiment))
    assert least <= count <= most, count


@then(
    "{before:d} arrivals are before {start:d} seconds, {inside:d} from {start2:d} "
    "to {end:d} seconds and {after:d} after"
)
def step_check_phases(context, before, start, inside, start2, end, after):
    times = [item.at_s for item in experiment.make_schedule(context.experiment)]
    # An arrival exactly at a change of the rate belongs to the earlier phase.
    limit_s = 1e-6
    counts = [
        sum(at_s <= start + limit_s for at_s in times),
        sum(start + limit_s < at_s <= end + limit_s for at_s in times),
        sum(at_s > end + limit_s for at_s in times),
    ]
    assert counts == [before, inside, after], counts


@given("an engine for the load tool")
def step_start_engine(context):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=1, slots=256))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.engine = context.fleet.engines[0]


@given("the engine breaks one stream after {tokens:d} tokens")
def step_break(context, tokens):
    context.engine.set_faults(drop_after=tokens)


@given("the engine rejects {count:d} calls")
def step_reject(context, count):
    context.engine.set_faults(reject=count)


@when("the experiment runs")
def step_run(context):
    context.result = load.run_load(context.experiment, [context.engine.url])
    context.kind = context.result.kinds["call"]
    assert context.kind.calls == context.expected_calls, context.kind


@when(
    "the experiment runs while the engine is paused from {start:d} to {end:d} seconds"
)
def step_run_paused(context, start, end):
    def pause():
        time.sleep(start)
        context.engine.pause()
        time.sleep(end - start)
        context.engine.resume()

    thread = threading.Thread(target=pause)
    thread.start()
    step_run(context)
    thread.join()


@then("all calls are complete")
def step_check_complete(context):
    assert context.kind.complete == context.kind.calls, context.kind


@then("all calls but {count:d} are complete")
def step_check_all_but(context, count):
    assert context.kind.complete == context.kind.calls - count, context.kind


@then("at least {count:d} calls took longer than {limit:d} milliseconds")
def step_check_slow(context, count, limit):
    # 50 calls are due during the pause of 1 s; the 5 due in its last 100 ms need not be
    # slow, and 2 more allow for the delay until the pause starts. Without a pause, a
    # call takes about 35 ms.
    slow = [item for item in context.result.outcomes if item.ended_s * 1000 > limit]
    assert len(slow) >= count, len(slow)


@then("the longest call took at least {limit:d} milliseconds")
def step_check_longest(context, limit):
    longest_s = max(item.ended_s for item in context.result.outcomes)
    assert longest_s * 1000 >= limit, longest_s


@then("the problem of the other is a broken connection")
def step_check_broken(context):
    assert dict(context.kind.problems) == {"ClientPayloadError": 1}, context.kind


@when("one token of an answer is replaced")
def step_replace_token(context):
    context.outcome = copy.deepcopy(context.result.outcomes[0])
    token = load.join_text(context.outcome)[:6].encode()
    events = context.outcome.events
    events[0] = events[0].replace(token, b"xxxxxx")


@then("that answer is a wrong answer")
def step_check_wrong(context):
    load.check_answer(context.outcome)
    assert context.outcome.problem == "wrong answer", context.outcome


@then('{count:d} calls are refused as "{text}"')
def step_check_refused(context, count, text):
    assert dict(context.kind.refused) == {text: count}, context.kind


@given("a bar with the target {target:g}")
def step_make_bar(context, target):
    context.target = target


@then("the value {value:g} does not hold and is printed so")
def step_check_bar_fails(context, value):
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        holds = bars.print_bars([bars.Bar("ratio", value, context.target)])
    assert not holds
    assert printed.getvalue().startswith("DOES NOT HOLD"), printed.getvalue()


@then("the value {value:g} holds")
def step_check_bar_holds(context, value):
    assert bars.Bar("ratio", value, context.target).holds
