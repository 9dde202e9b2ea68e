import asyncio
import dataclasses
import time

from behave import given, then, when

from endivevane.stream_versions import plan, records, rows
from features.support import version_world

_NOW_MS = 1_000_000
_KEEP_MS = 120_000
_ATTEMPTS = [f"stream{number}" for number in range(20)]
_PLAN_S = 0.4
_SERVED_S = 60.0
_SOON_S = 0.05
_LATER_S = 1.0


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


@when(
    "v2 is added to the plan, and a stream of v2 has its first event at once and 1 s "
    "later"
)
def step_new_epoch(context):
    async def act(fleet, daemon):
        await asyncio.sleep(_PLAN_S)
        fleet.age_plan(_SERVED_S)
        await asyncio.sleep(_SOON_S)
        key = rows.make_plan_key("lm")
        known = rows.decode_plan(key.key, fleet.read_plan())
        now_ms = known.epochs[-2].ended_ms + int(_SERVED_S * 1000)
        ended = dataclasses.replace(known.newest, ended_ms=now_ms)
        epochs = (*known.epochs[:-1], ended, plan.Epoch({"v2": 16}))
        # The daemon's own targets stay those of v1, so that it is not kept waiting.
        fleet.row_store.put(key, rows.encode_plan(plan.Plan(epochs)))
        await asyncio.sleep(_SOON_S)
        (route,) = daemon.router.table.configuration.routes
        context.has_begun = []
        for wait_s in (0.0, _LATER_S):
            await asyncio.sleep(wait_s)
            begun = records.BegunStream("stream0", "lm", "v2", time.monotonic())
            context.has_begun.append(await daemon.versions.service.begin(route, begun))

    asyncio.run(version_world.play(context.fleet, act))


@then("it does not begin at once, and begins later")
def step_begun_later(context):
    assert context.has_begun == [False, True], context.has_begun
