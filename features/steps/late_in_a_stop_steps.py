import asyncio
import contextlib
import dataclasses
import time

from behave import given, then, when

from features.support import serving_processes, serving_world

_TIMEOUT_MS = 5000
_INTERVAL_S = 0.15
_UNTIL_S = 6.0
_KEPT_CONNECTIONS = 4
_LATEST_S = 3.0
_WAIT_S = 9.0


@dataclasses.dataclass
class _Sent:
    """A request of the trial.

    :ivar sent_s: time since the SIGTERM
    """

    attempt: str
    sent_s: float
    response: serving_world.Response | None = None


@given(
    "a daemon process before targets that work for {work_s:g} s on requests of {kind}"
)
def step_daemon(context, work_s, kind):
    context.fleet = serving_processes.Fleet(2, 1)
    context.cleanups.append(context.fleet.stop)
    context.fleet.set_manner(plain=True, first_s=work_s)
    configuration = context.fleet.configuration
    kinds = {"a repeatable route": "safe", "a route of one run": "unsafe"}
    route = configuration["routes"][0]
    route.update(kind=kinds[kind], resumable=False, timeoutMs=_TIMEOUT_MS)
    configuration["version"] += 5
    context.fleet.call(context.fleet.store.write, "op", "config", configuration)
    # The daemon follows the store by long polling.
    time.sleep(0.5)


@when("requests come on new and kept connections until 6 s after it got SIGTERM")
def step_requests(context):
    daemon = context.fleet.daemons[0]
    context.sent = context.fleet.loop.run(_send_all(daemon), 30.0)


async def _send_all(daemon):
    sent = []
    began_s = time.monotonic() + 0.5
    calls = [
        _send_on_kept(daemon, number, began_s, sent)
        for number in range(_KEPT_CONNECTIONS)
    ]
    calls.append(_send_on_new(daemon, began_s, sent))
    calls.append(_stop(daemon, began_s))
    await asyncio.gather(*calls)
    return sent


async def _stop(daemon, began_s):
    await asyncio.sleep(began_s - time.monotonic())
    serving_processes.send_signal(daemon)


async def _send_on_new(daemon, began_s, sent):
    """Send a request on a connection of its own at each interval."""
    tasks = []
    number = 0
    while time.monotonic() < began_s + _UNTIL_S:
        number += 1
        tasks.append(
            asyncio.ensure_future(_send_one(daemon, f"new{number}", began_s, sent))
        )
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*tasks)


async def _send_one(daemon, attempt, began_s, sent):
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
        try:
            await _ask(reader, writer, attempt, began_s, sent)
        finally:
            writer.close()


async def _send_on_kept(daemon, number, began_s, sent):
    """Send one request after the other on a connection as long as it is kept."""
    count = 0
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.port)
        while time.monotonic() < began_s + _UNTIL_S:
            count += 1
            response = await _ask(
                reader, writer, f"kept{number}n{count}", began_s, sent
            )
            if not response.status:
                break
        writer.close()


async def _ask(reader, writer, attempt, began_s, sent):
    item = _Sent(attempt, time.monotonic() - began_s)
    sent.append(item)
    writer.write(serving_world.make_request(attempt=attempt))
    try:
        item.response = await asyncio.wait_for(
            serving_world.read_response(reader), _WAIT_S
        )
    except TimeoutError:
        item.response = serving_world.Response()
    return item.response


def _list_run(context):
    return {run.attempt for target in context.fleet.replicas for run in target.runs}


@then("each request that a target has run has a whole answer or a 502")
def step_answered(context):
    run = _list_run(context)
    assert run
    unanswered = [
        item
        for item in context.sent
        if item.attempt in run
        and not (item.response.is_complete and item.response.status in (200, 502, 504))
    ]
    assert not unanswered, unanswered


@then("none that was sent later than 3 s after SIGTERM has reached a target")
def step_none_late(context):
    run = _list_run(context)
    late = [
        item for item in context.sent if item.sent_s > _LATEST_S and item.attempt in run
    ]
    assert not late, late
