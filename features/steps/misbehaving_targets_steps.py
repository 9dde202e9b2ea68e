import asyncio
import dataclasses
import time

from behave import given, then, when

from endivevane.serving import http_client, target_registry
from features.support import serving_fakes, serving_world
from standins import replica

_FLOODS = {
    "its head": "head",
    "one line of its head": "line",
    "answers before the final": "interim",
    "the body of a refusal": "refusal",
    "an event": "event",
}


@given("the first target reports that it is draining, in {answer}")
def step_draining(context, answer):
    manner = {
        "a whole answer": {},
        "a refusal": {"refuse": 100},
        "an answer that is cut": {"cut_after": 1, "cuts": 1},
    }[answer]
    serving_world.prepare_first(context, leaving=True, **manner)


@then("the first target has received at most {most:d} request")
def step_few_requests(context, most):
    first = context.world.replicas["a"]
    assert len(first.runs) + first.refused <= most, (first.runs, first.refused)


@when(
    "{count:d} clients request a stream together, once the first target has served one"
)
def step_after_one(context, count):
    async def play(world):
        # Ends once the draining target has responded to one of the requests.
        replies = []
        number = 0
        while not world.replicas["a"].runs:
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
            number += 1
        requests = [
            serving_world.make_request(attempt=f"attempt{number + each}")
            for each in range(count)
        ]
        calls = [
            serving_world.send_request(world.port, request) for request in requests
        ]
        return replies + await asyncio.gather(*calls)

    context.replies = serving_world.play(context, play)


@given("a target that has reported that it is draining")
def step_reported_draining(context):
    context.targets = {"t0": serving_fakes.make_target("t0", born=1)}
    context.registry = target_registry.TargetRegistry(
        lambda key, _value: context.targets[key]
    )
    row = serving_fakes.make_row("t0", b"x", 1)
    context.registry.apply(row, 0.0)
    context.registry.record_draining(context.registry.find("t0"))


@when("its registration expires and returns {how}")
def step_expire(context, how):
    context.registry.apply(serving_fakes.make_row("t0", None, 2), 1.0)
    if how == "with a later start":
        context.targets["t0"] = dataclasses.replace(context.targets["t0"], started_ms=2)
    context.registry.apply(serving_fakes.make_row("t0", b"x", 3), 2.0)


@then("the target gets {work}")
def step_gets(context, work):
    usable = context.registry.list_usable("lm")
    assert bool(usable) == (work == "work again"), usable


@given("each target's first response is a flood in {where}")
def step_flood(context, where):
    def prepare(world):
        # The target that gets the first request floods, the other one responds.
        shared = replica.Manner(flood=_FLOODS[where], floods=1)
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@then("no target has sent more than {most:d} MB of flood data")
def step_flooded(context, most):
    sent = [item.flooded_bytes for item in context.world.replicas.values()]
    assert max(sent) > 0, "nothing was flooded"
    # The socket buffers of the kernel hold some MB on both sides.
    assert max(sent) <= most * 1_000_000, sent


@given("the first stream sends single bytes after {events:d} events")
def step_drip(context, events):
    def prepare(world):
        shared = replica.Manner(drip_after=events, drips=1)
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@given("each target sends an event every {gap_ms:d} ms")
def step_all_slow(context, gap_ms):
    serving_world.prepare_all(context, gap_s=gap_ms / 1000)


@given("the target omits its signature and responds with {body}")
def step_unsigned(context, body):
    serving_world.prepare_first(context, unsigned=True, plain=body == "a length")


@given("each target closes half-way through its first response of {size_mb:d} MB")
def step_large_cut(context, size_mb):
    serving_world.prepare_all(
        context, plain=True, plain_bytes=size_mb * 1_000_000, plain_cut=1
    )


@then("the response is incomplete and comes from one target")
def step_not_joined(context):
    reply = context.reply
    assert not reply.is_complete, len(reply.body)
    # More than half of a response would have to come from both targets.
    assert len(reply.body) <= 1_500_000, len(reply.body)


@given("the first stream is closed in the middle of its last event")
def step_closed(context):
    def prepare(world):
        shared = replica.Manner(by_close=1)
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@when("an HTTP/1.0 client requests a stream")
def step_old_client(context):
    async def play(world):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        request = serving_world.make_request().replace(b"HTTP/1.1", b"HTTP/1.0")
        writer.write(request)
        try:
            await asyncio.wait_for(reader.read(-1), 5)
        except ConnectionResetError:
            return True
        finally:
            writer.close()
        return False

    context.is_reset = serving_world.play(context, play)


@then("its connection is reset")
def step_reset(context):
    assert context.is_reset


@given("the target refuses one request and sends the refusal again later")
def step_copied_refusal(context):
    serving_world.prepare_first(context, refuse=1, copy_refusal=True)


@given("an idle connection to a target")
def step_idle(context):
    context.sent = b"x" * 100_000


@when("the target sends bytes on the connection")
def step_unexpected_bytes(context):
    async def run():
        received = asyncio.Event()
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            received.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.ConnectionPool(1.0)
        connection = await pool.open("127.0.0.1", port)
        host = [(b"Host", b"t")]
        connection.send(b"GET", b"/", host, b"")
        await connection.read_head()
        assert await connection.read_data() is None
        pool.release("127.0.0.1", port, connection)
        writers[0].write(context.sent)
        limit_s = time.monotonic() + 2.0
        while connection.stream.is_usable and time.monotonic() < limit_s:
            await asyncio.sleep(0.01)
        context.is_usable = connection.stream.is_usable
        context.has_unread = connection.stream.has_unread
        server.close()
        for writer in writers:
            writer.close()

    asyncio.run(run())


@then("the connection is closed and none of the bytes are buffered")
def step_idle_closed(context):
    assert not context.is_usable
    assert not context.has_unread


@given("the route's timeout is {timeout_s:d} s")
def step_timeout(context, timeout_s):
    context.configuration["routes"][0]["timeoutMs"] = timeout_s * 1000


@then("the request has run at most {most:d} times")
def step_few_runs(context, most):
    assert len(context.world.runs) <= most, context.world.runs


@given(
    "the target responds with a length, and sends an extra response before the next one"
)
def step_late_plain(context):
    serving_world.prepare_first(context, plain=True, extra_late=True)


@then("each client receives the response to its own request")
def step_own_body(context):
    for number, reply in enumerate(context.replies):
        assert reply.body == b"plain body", (number, reply)
        assert reply.headers["attempt-id"] == f"attempt{number}", reply


@given("each target's first stream ends with its connection after the head")
def step_empty_stream(context):
    shared = replica.Manner(empty_by_close=1)

    def prepare(world):
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@given("targets whose first stream ends with its connection after the head")
def step_empty_item(context):
    context.fleet.set_manner(empty_by_close=1)


@then("each result has the text of {events:d} events")
def step_item_texts(context, events):
    assert context.results, "no results were read"
    for result in context.results:
        lines = result["text"].split("\n")
        assert len(lines) == events, result


@given("the target ends {response} with its connection, without a length or chunks")
def step_unframed(context, response):
    is_plain = response == "a body"
    serving_world.prepare_first(
        context, unframed=True, plain=is_plain, plain_bytes=4000
    )


@given("each target resets its first body without a length half-way")
def step_reset_body(context):
    shared = replica.Manner(unframed=True, plain=True, plain_bytes=4000, resets=1)

    def prepare(world):
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@then("the response is complete, with the target's body of {size:d} bytes")
def step_complete_body(context, size):
    assert context.reply.is_complete, context.reply
    assert len(context.reply.body) == size, len(context.reply.body)
