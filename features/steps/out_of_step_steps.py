import asyncio

from behave import given, then, when

from features.support import out_of_step_world, version_world

_SERVED_S = 60.0
# Plans are written and take effect within this time.
_PLAN_S = 1.0
# The second daemon is out of step for this long before the streams begin.
_OUT_S = 3.0
_INTERVAL_S = 0.01
_MANNERS = {
    "is refused by the store": "refuses",
    "gets no answer from the store": "silent",
    "stands still before unread answers": "held",
    "reads a relay that has lost the store": "relay",
}


@given("two daemons before targets {targets} that have served for long")
def step_daemons(context, targets):
    names = [item.split(" ") for item in targets.split(", ")]
    context.fleet = version_world.Fleet(dict(names), maxAttempts=3)
    context.acts = []


@when("the second daemon {loses} while targets of v2 {change}, {knowing} them")
def step_lose(context, loses, change, knowing):
    async def act(fleet, trial):
        trial.view.lose(_MANNERS[loses])
        daemons = fleet.daemons if knowing == "knowing" else [trial.first]
        for name in ("d", "e"):
            if change == "join":
                await fleet.add_target(name, "v2", daemons)
            else:
                fleet.remove_target(name, daemons)
        await asyncio.sleep(_OUT_S)

    context.acts.append(act)


@when(
    "{count:d} clients leave streams of the first daemon, and resume them at the "
    "second {asked}"
)
def step_resume(context, count, asked):
    streams = [version_world.Stream(f"stream{number}") for number in range(count)]
    context.streams = streams

    async def act(_fleet, trial):
        await version_world.request_all(
            trial.first, streams, leave_after=8, interval_s=_INTERVAL_S
        )
        versions = {stream.versions[0] for stream in streams}
        assert "v1" in versions, versions
        if asked != "while it is out":
            trial.view.regain()
        await version_world.request_all(trial.second, streams, "-again")

    context.acts.append(act)
    asyncio.run(_play(context))


async def _play(context):
    fleet = context.fleet
    try:
        trial = await out_of_step_world.start(fleet)
        await asyncio.sleep(_PLAN_S)
        fleet.age_plan(_SERVED_S)
        await asyncio.sleep(0.1)
        for act in context.acts:
            await act(fleet, trial)
        context.trial = trial
    finally:
        await fleet.stop()


@then("all resumed streams were refused")
def step_all_refused(context):
    statuses = {tuple(stream.statuses) for stream in context.streams}
    assert statuses == {(200, 503)}, statuses
