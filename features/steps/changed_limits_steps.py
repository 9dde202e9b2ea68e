import asyncio
import time

from behave import given, then, when

from features.support import serving_world

# The daemons follow the store by long polling.
_SPREAD_S = 0.5


def _change_limit(context, name, value):
    configuration = context.fleet.configuration
    configuration["limits"][name] = value
    configuration["version"] += 5
    context.fleet.call(context.fleet.store.write, "op", "config", configuration)
    time.sleep(_SPREAD_S)


async def _exchange(context, data):
    """Send bytes on the client's connection and read a response."""
    reader, writer = context.connection
    writer.write(data)
    return await asyncio.wait_for(serving_world.read_response(reader), 10.0)


def _connect(context):
    port = context.fleet.daemons[0].port
    context.connection = context.fleet.loop.run(
        asyncio.open_connection("127.0.0.1", port)
    )


def _send(context, data):
    context.reply = context.fleet.loop.run(_exchange(context, data))


@given("the idle limit of clients is {limit_ms:d} ms")
@when("the idle limit of clients becomes {limit_ms:d} ms")
def step_idle_limit(context, limit_ms):
    _change_limit(context, "idleTimeoutMs", limit_ms)


@when('the limit "{name}" of clients becomes {value:d}')
def step_limit(context, name, value):
    _change_limit(context, name, value)


@given("a client has its response on a connection that it keeps")
def step_first_response(context):
    _connect(context)
    _send(context, serving_world.make_request(attempt="first"))
    context.idle_since_s = time.monotonic()
    assert context.reply.is_complete, context.reply


@when("the client sends its next request after {idle_s:g} s of idle time")
def step_next_request(context, idle_s):
    time.sleep(context.idle_since_s + idle_s - time.monotonic())
    _send(context, serving_world.make_request(attempt="second"))


@when("the client sends nothing for {idle_s:g} s")
def step_nothing(context, idle_s):
    time.sleep(idle_s)


@then("its connection has been closed")
def step_closed(context):
    reader, _ = context.connection
    data = context.fleet.loop.run(asyncio.wait_for(reader.read(1), 1.0))
    assert data == b"", data


@when(
    "a client sends half of a body and the idle limit of clients becomes "
    "{limit_ms:d} ms"
)
def step_half_body(context, limit_ms):
    _connect(context)
    request = serving_world.make_request(attempt="slow", body=b"x" * 1000)
    context.rest = request[-500:]
    context.fleet.call(context.connection[1].write, request[:-500])
    _change_limit(context, "idleTimeoutMs", limit_ms)


@when("it sends the other half after {pause_s:g} s")
def step_other_half(context, pause_s):
    time.sleep(pause_s)
    _send(context, context.rest)


@when("the client sends a request whose {part} has {size:d} bytes")
def step_large_request(context, part, size):
    if part == "body":
        request = serving_world.make_request(attempt="large", body=b"x" * size)
    else:
        line = "X-Long: " + "x" * size
        request = serving_world.make_request(attempt="large", extra=(line,))
    _send(context, request)


@then("it has its response on the same connection")
def step_served(context):
    assert context.reply.status == 200 and context.reply.is_complete, context.reply
