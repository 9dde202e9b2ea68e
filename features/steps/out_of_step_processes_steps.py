import asyncio
import signal
import time

from behave import given, when

from endivevane.stream_versions import rows
from features.support import serving_processes, version_world
from soak import proxy
from standins import replica

_STREAMS = 20
_EVENTS = version_world.EVENTS
_LEAVE_AFTER = 8
# Plans are written, read by the daemons in step and in force within this time.
_PLAN_S = 1.5
_STOPPED_S = 3.0
_SERVED_S = 60.0
_INTERVAL_S = 0.01


def _prepare(target):
    target.manner.events = _EVENTS
    target.manner.gap_s = 0.02
    target.manner.shows_version = True


@given("two daemon processes before targets of v1 that have served for long")
def step_fleet(context):
    fleet = serving_processes.Fleet(targets=2, daemons=2)
    context.cleanups.append(fleet.stop)
    context.fleet = fleet
    for target in fleet.replicas:
        _prepare(target)
    key = rows.make_plan_key("lm")
    value = fleet.call(fleet.store.read_value, key.table, key.key)
    older = version_world.make_older(key, value, _SERVED_S)
    fleet.call(fleet.store.write, key.table, key.key, older)


def _restart_behind_proxy(fleet):
    """Start the second daemon again, with a store that can be cut off from it."""

    async def make_proxy():
        before = proxy.FaultyProxy(fleet.store_port)
        await before.start()
        return before

    before = fleet.loop.run(make_proxy())
    second = fleet.daemons[1]
    second.stop()
    second.write_settings(before.port)
    second.start()
    until_s = time.monotonic() + 20.0
    while not second.is_ready():
        assert time.monotonic() < until_s, second.log_path.read_text()[-2000:]
        time.sleep(0.05)
    return before


async def _add_targets(fleet):
    for name in ("i-8", "i-9"):
        target = replica.Replica(name, "v2")
        _prepare(target)
        await target.start()
        fleet.replicas.append(target)
        fleet.store.write("servers", name, target.describe("lm"))


@when("the second one is {out} while targets of v2 join")
def step_out(context, out):
    fleet = context.fleet
    second = fleet.daemons[1]
    context.is_alone = False
    context.regain = lambda: None
    if out.startswith("cut off"):
        before = _restart_behind_proxy(fleet)
        context.is_alone = "other one" in out
        # Its peers know it again, and it has read the plan.
        time.sleep(_PLAN_S)
        before.blocks_all = True

        def regain():
            before.blocks_all = False
            before.reset()

        context.regain = regain
    else:
        time.sleep(_PLAN_S)
        serving_processes.send_signal(second, signal.SIGSTOP)
        context.regain = lambda: serving_processes.send_signal(second, signal.SIGCONT)
    fleet.loop.run(_add_targets(fleet))
    time.sleep(_STOPPED_S)


@when("clients resume streams of the first daemon at the second {asked}")
def step_resume(context, asked):
    fleet = context.fleet
    first, second = fleet.daemons
    streams = [version_world.Stream(f"stream{number}") for number in range(_STREAMS)]
    context.streams = streams

    async def act():
        await version_world.request_all(
            first, streams, leave_after=_LEAVE_AFTER, interval_s=_INTERVAL_S
        )
        if context.is_alone:
            # It answers no relayed calls and sends no heartbeats.
            serving_processes.send_signal(first, signal.SIGSTOP)
        if asked.startswith("right after"):
            context.regain()
        loop = asyncio.get_running_loop()
        if asked == "before it goes on":
            loop.call_later(0.3, context.regain)
        await version_world.request_all(second, streams, "-again")

    fleet.loop.run(act(), 60)
    versions = {stream.versions[0] for stream in streams}
    assert versions == {"v1", "v2"}, versions
