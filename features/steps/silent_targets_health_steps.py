import asyncio
import time

from behave import given, then, when

from endivevane import metrics
from features.support import serving_world

# Events so far apart that the daemon waits as long as it ever does for the next one.
_GAP_S = 0.4
_EVENTS = 6
_SILENT_AFTER_S = 1.3
_ITEM_EVENTS = 40
_ITEM_GAP_S = 0.04


@given("targets whose events are far apart, with streams that are long enough")
def step_far_apart(context):
    context.configuration["routes"][0]["timeoutMs"] = 8000
    serving_world.prepare_all(context, events=_EVENTS, gap_s=_GAP_S)


def _count_stalled():
    return metrics.TARGET_FAULTS.labels("stalled")._value.get()


@when("{count:d} clients stream while the first target is silent for {silence_s:g} s")
def step_stream(context, count, silence_s):
    before = _count_stalled()

    async def act(world):
        async def fall_silent():
            await asyncio.sleep(_SILENT_AFTER_S)
            world.replicas["a"].fall_silent(silence_s)

        requests = [
            serving_world.send_request(
                world.port, serving_world.make_request(attempt=f"attempt{number}"), 9.0
            )
            for number in range(count)
        ]
        silent = asyncio.ensure_future(fall_silent())
        ending = asyncio.gather(*requests)
        await asyncio.sleep(_SILENT_AFTER_S + silence_s)
        now_s = time.monotonic()
        context.is_ejected = world.loads.outcomes.is_ejected("a", now_s)
        await silent
        return await ending

    context.replies = serving_world.play(context, act)
    context.stalled = _count_stalled() - before
    assert any(target.runs for target in context.world.replicas.values())


@then("the silent target is not counted as faulty")
def step_not_faulty(context):
    assert not context.stalled, context.stalled
    assert not context.is_ejected


@given("targets whose items last longer than a silence")
def step_long_items(context):
    context.events = _ITEM_EVENTS
    context.fleet.set_manner(events=_ITEM_EVENTS, gap_s=_ITEM_GAP_S)


@when("the targets fall silent in turn for {silence_s:g} s")
def step_in_turn(context, silence_s):
    fleet = context.fleet
    held = []

    def fall_silent(target):
        held.append(sum(run.ended == "running" for run in target.runs))
        target.fall_silent(silence_s)

    for target in fleet.replicas:
        # Items start within this time of the acceptance or of the last silence.
        time.sleep(0.7)
        fleet.call(fall_silent, target)
        time.sleep(silence_s)
    assert any(held), held
