import asyncio
import contextlib

import prometheus_client
from behave import given, then, when

from endivevane import logs
from endivevane.platform import headers
from endivevane.serving import http_server, model, responder
from features.support import serving_world

_ID = "attempt7"
_HEAD = model.TargetReply(200, b"", (), False, False, b"", True, None)


async def _wait(response):
    await asyncio.sleep(30)


async def _begin_and_wait(response):
    response.begin(_HEAD)
    await _wait(response)


async def _respond(response):
    response.send(responder.Response(200, b"whole"))


async def _break_off(response):
    response.begin(_HEAD)
    await response.write(b"part")
    response.abort()


async def _fail_half_way(response):
    response.begin(_HEAD)
    await response.write(b"part")
    raise RuntimeError("fault of the handler")


async def _be_cancelled(response):
    shared = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_later(0.05, shared.cancel)
    await shared


async def _return(response):
    await asyncio.sleep(0)


_MANNERS = {
    "is cancelled by another part": _be_cancelled,
    "returns without a response": _return,
    "waits": _wait,
    "begins and waits": _begin_and_wait,
    "responds": _respond,
    "breaks its response off": _break_off,
    "fails in its response": _fail_half_way,
}


def _count(cause):
    name = "endivevane_unanswered_requests_total"
    return prometheus_client.REGISTRY.get_sample_value(name, {"cause": cause}) or 0.0


async def _read(server, reader, writer):
    return await asyncio.wait_for(serving_world.read_response(reader), 5.0)


async def _leave(server, reader, writer):
    await asyncio.sleep(0.1)
    writer.close()


async def _end_side(server, reader, writer):
    await asyncio.sleep(0.1)
    writer.write_eof()
    return await asyncio.wait_for(serving_world.read_response(reader), 0.5)


async def _stop(server, reader, writer):
    await asyncio.sleep(0.1)
    tasks = list(server._connections.values())
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks, timeout=5.0)


_ACTIONS = {
    "its client reads": _read,
    "its client leaves": _leave,
    "its client ends its side": _end_side,
    "the server stops": _stop,
}


@given("a server whose handler {manner}")
def step_handler(context, manner):
    context.manner = _MANNERS[manner]


@when("one request is read and {action}")
def step_send_and_act(context, action):
    events = context.events = []
    logs.add_observer(lambda event, fields: events.append((event, fields)))
    causes = ("client_left", "broken_off", "handler_failed", "stopped")
    context.counted = {cause: _count(cause) for cause in causes}

    async def handle(request, response):
        await context.manner(response)

    async def run():
        server = http_server.Server(headers.HeaderCodec(), handle, model.ClientLimits)
        await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(serving_world.make_request(attempt=_ID))
        context.reply = await _ACTIONS[action](server, reader, writer)
        writer.close()
        # The server notices the end of a connection on the next pass of the loop.
        await asyncio.sleep(0.1)
        server.close_listener()

    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(run())


@then('the log says that the request ended by "{cause}" {times:d} times')
def step_logged(context, cause, times):
    lines = [
        fields for event, fields in context.events if event == "request_unanswered"
    ]
    assert len(lines) == times, context.events
    for fields in lines:
        assert (fields["request"], fields["cause"]) == (_ID, cause), fields
    context.cause, context.times = cause, times


@then("the client has a response with status {status:d}")
def step_error(context, status):
    assert (context.reply.status, context.reply.is_complete) == (
        status,
        True,
    ), context.reply


@then('the log says that the handler failed by "{cause}"')
def step_fault(context, cause):
    (fault,) = [fields for event, fields in context.events if event == "handler_failed"]
    assert (fault["request"], fault["cause"]) == (_ID, cause), fault


@then("as many requests are counted for the cause")
def step_counted(context):
    for cause, before in context.counted.items():
        expected = context.times if cause == context.cause else 0
        assert _count(cause) - before == expected, (cause, before, _count(cause))
