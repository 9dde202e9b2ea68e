from behave import given, then, when

from endivevane.online import contract
from features.support import bench_steps, scheduling


def _report_model(bench, name, model):
    report = scheduling.make_report(as_of_s=bench.make_wall_s(), model=model)
    bench.scheduler.set_load(name, report)


@given(
    '"{first}" of the bench has the model "{model}" and "{second}" has "{other_model}"'
)
def step_report_two(context, first, model, second, other_model):
    _report_model(context.bench, first, model)
    _report_model(context.bench, second, other_model)


@given('"{empty}" of the bench has no model and "{holder}" has "{model}"')
def step_report_none(context, empty, holder, model):
    _report_model(context.bench, empty, None)
    _report_model(context.bench, holder, model)


@given('of the targets of the bench only "{holder}" has the model "{model}"')
def step_report_all(context, holder, model):
    for target in context.bench.snapshot.services["answers"].targets:
        loaded = model if target.name == holder else "other-lm"
        _report_model(context.bench, target.name, loaded)


@when("requests have used the budget of the link")
def step_use_link(context):
    online = context.bench.scheduler
    while isinstance(decision := context.bench.submit(), contract.Send):
        assert decision.attempt.target.name == "t3", decision
        online.finish(decision.attempt, contract.AttemptOutcome.COMPLETED)
        online.find_meter(decision.attempt)(100_000)
    online.abandon(decision.request)


@then('it is sent to "{name}" within {limit_s:d} seconds')
def step_check_sent(context, name, limit_s):
    polled = []
    for _ in range(limit_s * 4):
        context.bench.clock.advance(0.25)
        polled += context.bench.scheduler.poll()
    assert [item.attempt.target.name for item in polled] == [name], polled


@when('the bench submits {count:d} requests for the model "{model}"')
def step_submit_model(context, count, model):
    for _ in range(count):
        context.decisions.append(context.bench.submit(model=model))


@when('a request at "{name}" has ended and the bench polls')
def step_end_one(context, name):
    sends = bench_steps.list_sends(context)
    (first, *_) = [item for item in sends if item.attempt.target.name == name]
    outcome = contract.AttemptOutcome.COMPLETED
    context.bench.scheduler.finish(first.attempt, outcome)
    context.polled = context.bench.scheduler.poll()


@then('the request that is sent is for the model "{model}"')
def step_check_model(context, model):
    assert [item.attempt.request.model for item in context.polled] == [model]


@when('all requests at "{name}" fail for {duration_s:d} seconds')
def step_fail_all(context, name, duration_s):
    bench = context.bench
    for _ in range(duration_s * 4):
        decisions = [bench.submit(), *bench.scheduler.poll()]
        while decisions:
            decision = decisions.pop()
            if not isinstance(decision, contract.Send):
                continue
            attempt = decision.attempt
            if attempt.target.name == name:
                failure = bench_steps.FAILURE.CONNECT_FAILED
                decisions.append(bench_steps.fail(bench, attempt, failure))
                continue
            bench.scheduler.finish(attempt, contract.AttemptOutcome.COMPLETED)
        bench.clock.advance(0.25)


@when('{count:d} requests for the model "{model}" are refused as not loaded')
def step_refuse(context, count, model):
    failure = bench_steps.FAILURE.REFUSED_NOT_RUN
    for _ in range(count):
        decision = context.bench.submit(model=model)
        assert isinstance(decision, contract.Send), decision
        bench_steps.fail(context.bench, decision.attempt, failure)
