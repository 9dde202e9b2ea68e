import asyncio

from behave import given, then, when

from endivevane.serving import store_clock
from features.support import out_of_step_world, serving_world, version_world

_SERVED_S = 60.0
# Plans are written and take effect within this time.
_PLAN_S = 1.0
# The second daemon is out of step for this long before the streams begin.
_OUT_S = 3.0
_INTERVAL_S = 0.01
_STOOD_STILL_S = 60.0
_OLD_TARGETS_S = 5.0
_OTHERS = 4
# Streams are asked for at this interval while a daemon is cut off.
_ASK_S = 0.3
_ASKS = 10
_QUIET_S = 7.0
_MANNERS = {
    "is refused by the store": "refuses",
    "gets no answer from the store": "silent",
    "stands still before unread answers": "held",
    "reads a relay that has lost the store": "relay",
    "can't read the new plan": "garbled",
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


@then("each stream is whole or refused")
def step_whole_or_refused(context):
    for stream in context.streams:
        assert stream.is_whole or stream.statuses == [200, 503], stream


@when(
    "the second daemon stood still for 60 s, has lost the store and hears {heard:d} of "
    "4 others"
)
def step_stood_still(context, heard):
    async def act(_fleet, trial):
        trial.view.lose("refuses")
        others = out_of_step_world.let_others_be_heard(trial.second, _OTHERS, heard)
        hearing = asyncio.ensure_future(others)
        await asyncio.sleep(0)
        with out_of_step_world.shift_boot_clock(_STOOD_STILL_S):
            context.statuses = {}
            context.statuses["in the moment"] = await _ask(trial.second, "first")
            for number in range(_ASKS):
                await asyncio.sleep(_ASK_S)
                await _ask(trial.second, f"between{number}-")
            context.statuses["3 s later"] = await _ask(trial.second, "last")
            await asyncio.sleep(_QUIET_S)
            context.statuses["7 quiet s later"] = await _ask(trial.second, "quiet")
        hearing.cancel()

    context.acts.append(act)
    asyncio.run(_play(context))


async def _ask(daemon, name):
    """Ask for new streams; return the status of each."""
    streams = [version_world.Stream(f"{name}{number}") for number in range(10)]
    await version_world.request_all(daemon, streams, leave_after=1)
    return [status for stream in streams for status in stream.statuses]


@then("of 10 new streams {when} it begins {begun}")
def step_begun(context, when, begun):
    statuses = context.statuses[when]
    assert statuses == [200 if begun == "all" else 503] * 10, context.statuses


@when("targets of v2 join, and the second daemon has not read its targets for 5 s")
def step_old_targets(context):
    async def act(fleet, trial):
        trial.second.targets_age.age_s = _OLD_TARGETS_S
        before = out_of_step_world.count_plan_writes(fleet.row_store)
        for name in ("d", "e"):
            await fleet.add_target(name, "v2", [trial.first])
        await asyncio.sleep(_OUT_S)
        context.writes = out_of_step_world.count_plan_writes(fleet.row_store) - before

    context.acts.append(act)
    asyncio.run(_play(context))


@then("the plan was written at most once a target in the 3 s after, and has v2")
def step_written_seldom(context):
    assert b"v2" in context.fleet.read_plan(), context.fleet.read_plan()
    assert 1 <= context.writes <= 2, context.writes


@given("a daemon that has the time of the store")
def step_store_clock(context):
    context.clock = store_clock.StoreClock()
    context.clock.record(5_000_000)


@when("its VM is suspended for 60 s")
def step_suspended(context):
    before_ms = context.clock.read_ms()
    with out_of_step_world.shift_boot_clock(_STOOD_STILL_S):
        context.passed_ms = context.clock.read_ms() - before_ms


@then("it tells a time of the store 60 s later")
def step_store_time(context):
    # The two readings are less than a second apart.
    assert 0 <= context.passed_ms - _STOOD_STILL_S * 1000 < 1000, context.passed_ms


@given("a daemon whose configuration is known to be current as of {age:d} s ago")
def step_configuration_age(context, age):
    context.age_s = age


@when("a client asks for a path without a route")
def step_no_route(context):
    async def run():
        daemon = serving_world.World(serving_world.make_configuration())
        await daemon.start()
        daemon.configuration_age.age_s = context.age_s
        try:
            request = serving_world.make_request(path="/added/1")
            context.response = await serving_world.send_request(daemon.port, request)
        finally:
            await daemon.stop()

    asyncio.run(run())


@then("the client is told {status:d}, {when}")
def step_told(context, status, when):
    assert context.response.status == status, context.response
    has_retry = "retry-after" in context.response.headers
    assert has_retry == (when == "to come back soon"), context.response.headers
