import asyncio
import time

from behave import given, then, when

from features.support import serving_world
from standins import replica

_ROUTES = {
    "a resumable route": {},
    "a route that may not be resumed": {"resumable": False},
    "a route that may be repeated": {"kind": "safe"},
    "a route that may run once": {"kind": "unsafe"},
    "a route of 400 ms timeout": {"timeoutMs": 400},
    "a resumable route, one attempt": {"maxAttempts": 1, "timeoutMs": 5000},
    "a repeatable route, one attempt": {"kind": "safe", "maxAttempts": 1},
}


@given("{count:d} targets behind a daemon with {route}")
def step_world(context, count, route):
    context.configuration = serving_world.make_configuration(**_ROUTES[route])
    context.names = list("abcdefgh"[:count])
    context.prepare = []


@given("a daemon without a configuration")
def step_no_configuration(context):
    context.configuration = None
    context.names = ["a"]
    context.prepare = []


@given("each target's first stream is {cut}")
def step_cut(context, cut):
    manners = {
        "cut behind 3 events": {"cut_after": 3},
        "cut in the middle of the 4th": {"cut_after": 3, "torn": True},
        "cut before its first event": {"cut_after": 0},
    }

    def prepare(world):
        # The target that gets the first request is cut, the other one resumes.
        shared = replica.Manner(cuts=1, **manners[cut])
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@given("each target reads its first request and closes the connection")
def step_close_first(context):
    serving_world.prepare_all(context, drop=1)


@given("the first target refuses its next {count:d} requests")
def step_refuse(context, count):
    serving_world.prepare_first(context, refuse=count)


@given("the target answers with status {status:d}")
def step_status(context, status):
    serving_world.prepare_first(context, status=status)


@given("the target sends a second response after each complete one")
def step_second_response(context):
    serving_world.prepare_first(context, extra=True)


@given("the target resets reused connections when a request is sent on them")
def step_reset_kept(context):
    serving_world.prepare_first(context, reset_kept=True)


@given("the target sends an extra response before the next one")
def step_extra_response(context):
    serving_world.prepare_first(context, extra_late=True)


@given("the target sends an event every {gap_ms:d} ms")
def step_event_interval(context, gap_ms):
    serving_world.prepare_first(context, gap_s=gap_ms / 1000)


@given("the target responds after {first_ms:d} ms")
def step_response_delay(context, first_ms):
    serving_world.prepare_first(context, first_s=first_ms / 1000)


@given("the target reads requests but never responds")
def step_no_response(context):
    serving_world.prepare_first(context, silent=True)


@given("the first target is replaced by another one at its address")
def step_replaced(context):
    def prepare(world):
        world.replicas["a"].name = "other"

    context.prepare.append(prepare)


@given("the daemon loads its configuration {late_ms:d} ms after it started to listen")
def step_late_configuration(context, late_ms):
    def prepare(world):
        table, world.router.table = world.router.table, None
        world.router.is_ready.clear()

        def load():
            world.router.table = table
            world.router.is_ready.set()

        asyncio.get_running_loop().call_later(late_ms / 1000, load)

    context.prepare.append(prepare)


@when("a client requests a stream")
def step_request(context):
    context.reply = serving_world.play(
        context,
        lambda world: serving_world.send_request(
            world.port, serving_world.make_request()
        ),
    )


@when('a client requests the path "{path}"')
def step_request_path(context, path):
    request = serving_world.make_request(path=path)
    context.reply = serving_world.play(
        context, lambda world: serving_world.send_request(world.port, request)
    )


@when("{count:d} clients request a stream one after the other")
def step_request_in_turn(context, count):
    async def play(world):
        replies = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
        return replies

    context.replies = serving_world.play(context, play)


@when("{count:d} clients request a stream at the same time")
def step_request_together(context, count):
    async def play(world):
        requests = [
            serving_world.make_request(attempt=f"attempt{number}")
            for number in range(count)
        ]
        calls = [
            serving_world.send_request(world.port, request) for request in requests
        ]
        return await asyncio.gather(*calls)

    context.replies = serving_world.play(context, play)


@when("{count:d} clients request a stream, one every {pause_ms:d} ms")
def step_request_at_intervals(context, count, pause_ms):
    async def play(world):
        replies = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
            await asyncio.sleep(pause_ms / 1000)
        return replies

    context.replies = serving_world.play(context, play)


@then("the target is not marked as failing")
def step_not_failing(context):
    now_s = time.monotonic()
    known = context.world.registry.find("a")
    assert not known.health.is_paused(now_s)
    assert context.world.loads.outcomes.find_failure_rate("a", now_s) == 0.0


def _expect(attempt, count):
    return b"".join(replica.make_event(attempt, n) for n in range(1, count + 1))


@then("it receives each of the {count:d} events once, in order, and the end")
def step_complete(context, count):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == _expect("abc", count), context.reply
    assert context.reply.is_complete


@then("it receives {count:d} events but not the end")
def step_truncated(context, count):
    assert context.reply.body == _expect("abc", count), context.reply
    assert not context.reply.is_complete


@then("the response has the signature of a target that ran the request")
def step_signature(context):
    expected = [f"sig-{name}-abc" for name in context.names]
    assert context.reply.headers["response-signature"] in expected


@then("the request has run once, with the client's path and body")
def step_run_once(context):
    (run,) = context.world.runs
    assert (run.path, run.body) == ("/quote/1", b"hello"), run


@then("the request has run {count:d} times")
def step_run_times(context, count):
    assert len(context.world.runs) == count, context.world.runs


@then("no target has run a request")
def step_run_nothing(context):
    assert not context.world.runs


@then("the second run resumed after the events that the client had")
def step_resumed(context):
    starts = sorted(run.last_event for run in context.world.runs)
    cut_after = next(iter(context.world.replicas.values())).manner.cut_after
    assert starts == [0, cut_after], starts


@then("the answer has status {status:d}")
def step_reply_status(context, status):
    assert context.reply.status == status, context.reply


@then("each client receives {count:d} events")
def step_all_complete(context, count):
    for number, reply in enumerate(context.replies):
        assert reply.body == _expect(f"attempt{number}", count), (number, reply)
        assert reply.is_complete


@then("the response has a Retry-After header")
def step_retry_after(context):
    assert float(context.reply.headers["retry-after"]) > 0


@when("a client requests a stream and disconnects after {left_ms:d} ms")
def step_disconnect(context, left_ms):
    async def play(world):
        _, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(serving_world.make_request())
        await asyncio.sleep(left_ms / 1000)
        writer.close()
        disconnected_s = time.monotonic()
        while time.monotonic() < disconnected_s + 0.5:
            await asyncio.sleep(0.02)
            if world.runs and world.runs[0].ended == "cancelled":
                break
        context.ended = world.runs[0].ended
        context.recorded_load = dict(world.loads.own)

    serving_world.play(context, play)


@then("within 500 ms the target has cancelled its run")
def step_cancelled(context):
    assert context.ended == "cancelled", context.ended


@then("the target has no recorded load")
def step_no_load(context):
    assert not context.recorded_load, context.recorded_load


@then("it arrived between {low_ms:d} and {high_ms:d} ms after the request")
def step_elapsed(context, low_ms, high_ms):
    assert low_ms / 1000 <= context.reply.elapsed_s <= high_ms / 1000, context.reply


@when("a client requests a stream whose target stops sending half-way")
def step_stops_sending(context):
    async def play(world):
        # The target that gets the request first sends three events; the fourth would
        # take an hour.
        first = next(iter(world.replicas.values()))
        for item in world.replicas.values():
            item.manner = replica.Manner(gap_s=0.02, pause_after=3, pauses=1)
            item.manner = first.manner
        request = serving_world.make_request()
        return await serving_world.send_request(world.port, request)

    context.reply = serving_world.play(context, play)


@then("it took less than {limit_s:g} s")
def step_elapsed_less(context, limit_s):
    assert context.reply.elapsed_s < limit_s, context.reply.elapsed_s


@then("the replaced target is no longer registered")
def step_replaced_removed(context):
    assert context.world.registry.find("a") is None


@when("a client pipelines {count:d} requests on one connection")
def step_pipeline(context, count):
    async def play(world):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        for number in range(count):
            writer.write(serving_world.make_request(attempt=f"attempt{number}"))
        replies = [await serving_world.read_response(reader) for _ in range(count)]
        writer.close()
        return replies

    context.replies = serving_world.play(context, play)


@then("it receives {count:d} responses, each with the events of its own request")
def step_pipelined(context, count):
    assert len(context.replies) == count
    step_all_complete(context, 6)


_INPUTS = {
    "bytes that are not HTTP": b"\x16\x03\x01 nothing\r\n\r\n",
    "two lengths that differ": serving_world.make_request(extra=("Content-Length: 7",)),
    "headers of 6000 bytes": serving_world.make_request(
        extra=("X-Long: " + "x" * 6000,)
    ),
    "a body of 200000 bytes": serving_world.make_request(body=b"x" * 200_000),
}


@when("a client sends {name}")
def step_send(context, name):
    context.reply = serving_world.play(
        context, lambda world: serving_world.send_request(world.port, _INPUTS[name])
    )
