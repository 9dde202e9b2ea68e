import asyncio
import time

from behave import given, then, when

from features.support import serving_processes, serving_world
from standins import replica

_EVENTS = 10
_CUT_STREAMS = 3


def _expect(attempt):
    return b"".join(replica.make_event(attempt, n) for n in range(1, _EVENTS + 1))


@given("{count:d} clients whose requests run, wait or were cut, one sending its body")
def step_requests(context, count):
    fleet = context.fleet
    fleet.replicas[0].manner.cut_after = 3
    fleet.replicas[0].manner.cuts = _CUT_STREAMS
    port = fleet.daemons[0].port
    context.asking = []
    for number in range(count):
        data = serving_world.make_request(attempt=f"attempt{number}")
        sending = serving_world.send_request(port, data, wait_s=20.0)
        context.asking.append(
            asyncio.run_coroutine_threadsafe(sending, fleet.loop.loop)
        )
    request = serving_world.make_request(attempt="body", body=b"x" * 1000)
    context.rest = request[-500:]
    context.sender = fleet.loop.run(asyncio.open_connection("127.0.0.1", port))
    fleet.call(context.sender[1].write, request[:-500])
    time.sleep(0.25)


def _change_route(context, **changes):
    configuration = context.fleet.configuration
    configuration["routes"][0].update(changes)
    configuration["version"] += 5
    context.fleet.call(context.fleet.store.write, "op", "config", configuration)


@when("a configuration drops the route")
def step_drop(context):
    _change_route(context, prefix="/other/")


@when("a configuration moves the route away from targets")
def step_move(context):
    context.fleet.configuration["services"].append(
        {"name": "empty", "maxConns": 50, "engine": {}}
    )
    _change_route(context, service="empty")


@when("a configuration shortens the timeout")
def step_shorten(context):
    _change_route(context, timeoutMs=300)


@when("a configuration allows one attempt")
def step_one_attempt(context):
    _change_route(context, maxAttempts=1)


@when("the settings are read again")
def step_reload(context):
    daemon = context.fleet.daemons[0]
    text = daemon.path.read_text()
    daemon.path.write_text(text + "[stopping]\ngrace_s = 7\n")
    serving_processes.send_signal(daemon, serving_processes.signal.SIGHUP)


@then("each of the {count:d} clients has the complete stream")
def step_complete(context, count):
    time.sleep(0.5)
    context.fleet.call(context.sender[1].write, context.rest)
    replies = [item.result(30) for item in context.asking]
    wrong = [
        (number, reply.status, len(reply.body), reply.is_complete)
        for number, reply in enumerate(replies)
        if not reply.is_complete or reply.body != _expect(f"attempt{number}")
    ]
    assert len(replies) == count and not wrong, wrong


@then("the client that sent its body meanwhile gets {expected}")
def step_body_status(context, expected):
    reply = context.fleet.loop.run(serving_world.read_response(context.sender[0]))
    assert reply.status and reply.is_complete, reply
    if expected != "an answer":
        assert f"status {reply.status}" == expected, reply


@then("requests have waited, and some have gone on at another target")
def step_were_in_states(context):
    runs = [run for item in context.fleet.replicas for run in item.runs]
    began_s = min(run.started_s for run in runs)
    late = [run for run in runs if run.started_s > began_s + 0.7 and not run.last_event]
    resumed = [run for run in runs if run.last_event]
    assert late and len(resumed) >= _CUT_STREAMS, (len(late), len(resumed))
