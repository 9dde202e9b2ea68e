from behave import given, then, when

from endivevane.stream_versions import plan

_NOW_MS = 1_000_000
_KEEP_MS = 120_000
_ATTEMPTS = [f"stream{number}" for number in range(20)]


@given("a plan that gave all streams to v2, and then to v1 {dropped}")
def step_plan(context, dropped):
    begins_ms = [_NOW_MS - 125_000, _NOW_MS]
    if dropped.startswith("70"):
        begins_ms = [_NOW_MS - 200 * number for number in range(70, 0, -1)]
    context.plan = plan.advance(None, {"v2": 8}, _NOW_MS - 500_000, _KEEP_MS)
    for number, begin_ms in enumerate(begins_ms):
        shares = {"v1": 8 + number % 2}
        context.plan = plan.advance(context.plan, shares, begin_ms, _KEEP_MS)


@then("it leaves the version of each stream open that began {ago:d} s ago")
def step_open(context, ago):
    since_ms = _NOW_MS - ago * 1000
    for attempt in _ATTEMPTS:
        candidates = context.plan.list_candidates(attempt, since_ms)
        assert None in candidates, (attempt, candidates, context.plan.epochs)


@given("a plan with an epoch that began at 5000 ms by the clock of its writer")
def step_late_writer(context):
    context.plan = plan.advance(None, {"v1": 8}, 5000, _KEEP_MS)


@when("a daemon whose clock tells 4000 ms writes the next epoch")
def step_early_writer(context):
    context.plan = plan.advance(context.plan, {"v2": 8}, 4000, _KEEP_MS)


@then("the ends of its epochs rise")
def step_ends(context):
    ends_ms = [epoch.ended_ms for epoch in context.plan.epochs[:-1]]
    assert len(ends_ms) == len(set(ends_ms)) and ends_ms == sorted(ends_ms), ends_ms
