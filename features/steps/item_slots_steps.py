import asyncio
import dataclasses
import functools

from behave import then, when

from endivevane.serving import jobs
from features.support import item_world

_SOME_ROUNDS_S = 0.3


@when("the first slot is taken back before its run has begun")
def step_taken_back(context):
    async def act(world):
        context.world = world
        runner = await world.start_job()
        loop = asyncio.get_running_loop()
        # As a message of the coordinator that the loop has already read does.
        world.slots.on_first = lambda slot: loop.call_soon(
            runner.preempt_slot, slot.number
        )
        context.results = await world.wait_until_done()

    asyncio.run(item_world.play(context.arguments, act))


@when("the job ends before the run of its item has begun")
def step_job_ends(context):
    async def act(world):
        context.world = world
        runner = await world.start_job()
        entry = next(iter(world.daemons[0].registry.entries.values()))
        ended = dataclasses.replace(
            entry,
            job=dataclasses.replace(entry.job, state=jobs.JobState.ENDED),
            version=entry.version + 1,
        )
        loop = asyncio.get_running_loop()
        apply = functools.partial(runner.apply_change, ended)
        world.slots.on_first = lambda _slot: loop.call_soon(apply)
        await asyncio.sleep(_SOME_ROUNDS_S)
        assert world.slots.on_first is None

    asyncio.run(item_world.play(context.arguments, act))


@then("no item has run")
def step_none_run(context):
    assert not context.world.targets.runs, context.world.targets.runs


@then("no item holds a slot")
def step_none_held(context):
    assert not context.world.slots.list_held(), context.world.slots.list_held()
