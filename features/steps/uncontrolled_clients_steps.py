import asyncio
import time

from behave import given, then, when

from features.support import client_crowds, endless_answers, serving_processes
from standins import replica

_FOLLOW_S = 1.0
# Time between two ordinary requests, and the wait for each of them.
_GAP_S = 0.25
_WAIT_S = 4.0
# A daemon that serves no ordinary request for this long is taken as one that hangs.
_HANG_S = 40.0


@given("a daemon with a quarter of the smallest VM")
def step_daemon(context):
    fleet = serving_processes.Fleet(2, 1, client_crowds.LimitedDaemon)
    context.cleanups.append(fleet.stop)
    context.fleet = fleet
    trouble = endless_answers.Trouble(fleet)
    context.cleanups.append(trouble.stop)
    context.crowd_loop = trouble.loop
    fleet.configuration["limits"] = {
        "maxHeaderBytes": client_crowds.MAX_HEADER_BYTES,
        "maxBodyBytes": client_crowds.MAX_BODY_BYTES,
    }
    large = endless_answers.make_routes("lm")[0]
    trouble.add_routes([large | {"name": "large", "prefix": "/large/"}])
    fleet.set_manner(plain_prefixes=("/large/",), plain_bytes=client_crowds.LARGE_BYTES)
    time.sleep(_FOLLOW_S)
    context.watch = client_crowds.Watch(fleet.daemons[0].process)
    context.watching = fleet.loop.begin(context.watch.run())
    context.asked = 0


@when("{count:d} clients send {behaviour} to {place}")
def step_crowd(context, count, behaviour, place):
    daemon = context.fleet.daemons[0]
    crowd = client_crowds.Crowd(behaviour, client_crowds.locate(daemon, place))
    context.cleanups.append(lambda: context.crowd_loop.run(crowd.stop()))
    context.crowd = crowd
    others = context.fleet.loop.begin(_ask_meanwhile(daemon.port))
    context.crowd_loop.run(crowd.run(count))
    served, statuses = others.result(client_crowds.CROWD_S + 2 * _WAIT_S)
    print(f"\nconnections {crowd.connections}, ordinary served {served}: {statuses}")


async def _ask_meanwhile(port):
    until_s = time.monotonic() + client_crowds.CROWD_S
    calls = []
    while time.monotonic() < until_s:
        attempt = f"o{len(calls)}"
        calls.append(asyncio.ensure_future(client_crowds.ask(port, attempt, _WAIT_S)))
        await asyncio.sleep(_GAP_S)
    statuses = [item.status for item in await asyncio.gather(*calls)]
    return statuses.count(200), statuses


@then("the daemon's process lives")
def step_lives(context):
    process = context.fleet.daemons[0].process
    assert process.poll() is None, process.returncode


@then("an ordinary request gets its target's response while they stay")
def step_ask_crowded(context):
    _ask(context)


@then("an ordinary request gets its target's response when they have left")
def step_ask_alone(context):
    context.crowd_loop.run(context.crowd.stop())
    _ask(context)


def _ask(context):
    """Ask until the daemon has served, as a client whose request has not run does."""
    until_s = time.monotonic() + _HANG_S
    statuses = []
    while time.monotonic() < until_s:
        context.asked += 1
        attempt = f"p{context.asked}"
        port = context.fleet.daemons[0].port
        response = context.fleet.loop.run(client_crowds.ask(port, attempt, _WAIT_S))
        statuses.append(response.status)
        if response.status == 200:
            expected = b"".join(replica.make_event(attempt, n) for n in range(1, 7))
            assert response.body == expected, response
            print(f"ordinary request: {statuses}")
            return
        time.sleep(_GAP_S)
    raise AssertionError(statuses)


@then("the daemon's memory and descriptors stayed within their bounds")
def step_bounds(context):
    step_lives(context)
    watch = context.watch
    print(
        f"memory {watch.first_bytes >> 20} MB + {watch.growth_bytes >> 20} MB, "
        f"descriptors {watch.descriptors}"
    )
    assert watch.growth_bytes <= client_crowds.MOST_GROWTH_BYTES, watch.growth_bytes
    assert watch.descriptors <= client_crowds.MOST_DESCRIPTORS, watch.descriptors
    context.watching.cancel()
