import asyncio
import time

from behave import given, then, when

from features.support import serving_world
from standins import replica

_ROUTES = {
    "a resumable route": {},
    "a route that may not be resumed": {"resumable": False},
    "a route that may be repeated": {"kind": "safe"},
    "a route of 400 ms timeout": {"timeoutMs": 400},
}


@given("{count:d} targets behind a daemon with {route}")
def step_world(context, count, route):
    context.configuration = serving_world.make_configuration(**_ROUTES[route])
    context.names = ["a", "b"][:count]
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
        # The first of the two that is asked is cut, the other one goes on.
        shared = replica.Manner(cuts=1, **manners[cut])
        for item in world.replicas.values():
            item.manner = shared

    context.prepare.append(prepare)


@given("each target reads its first request and closes the connection")
def step_drop(context):
    serving_world.prepare_all(context, drop=1)


@given("the first target refuses its next {count:d} requests")
def step_refuse(context, count):
    serving_world.prepare_first(context, refuse=count)


@given("the target answers with status {status:d}")
def step_status(context, status):
    serving_world.prepare_first(context, status=status)


@given("the target sends a second answer behind each whole one")
def step_extra(context):
    serving_world.prepare_first(context, extra=True)


@given("the target resets kept connections when something is sent on them")
def step_reset_kept(context):
    serving_world.prepare_first(context, reset_kept=True)


@given("the target sends a second answer where the next one is due")
def step_extra_late(context):
    serving_world.prepare_first(context, extra_late=True)


@given("the target makes an event every {gap_ms:d} ms")
def step_slow(context, gap_ms):
    serving_world.prepare_first(context, gap_s=gap_ms / 1000)


@given("the target takes {first_ms:d} ms before it answers")
def step_slow_start(context, first_ms):
    serving_world.prepare_first(context, first_s=first_ms / 1000)


@given("the target reads requests and says nothing")
def step_silent(context):
    serving_world.prepare_first(context, silent=True)


@given("the first target is replaced by another one at its address")
def step_replaced(context):
    def prepare(world):
        world.replicas["a"].name = "other"

    context.prepare.append(prepare)


@given("the daemon learns its configuration {late_ms:d} ms after it began to listen")
def step_late_configuration(context, late_ms):
    def prepare(world):
        table, world.door.table = world.door.table, None
        world.door.is_ready.clear()

        def learn():
            world.door.table = table
            world.door.is_ready.set()

        asyncio.get_running_loop().call_later(late_ms / 1000, learn)

    context.prepare.append(prepare)


@when("a client asks for a stream")
def step_ask(context):
    context.reply = serving_world.play(
        context,
        lambda world: serving_world.send_request(
            world.port, serving_world.make_request()
        ),
    )


@when('a client asks for the path "{path}"')
def step_ask_path(context, path):
    request = serving_world.make_request(path=path)
    context.reply = serving_world.play(
        context, lambda world: serving_world.send_request(world.port, request)
    )


@when("{count:d} clients ask for a stream one after the other")
def step_ask_many(context, count):
    async def play(world):
        replies = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
        return replies

    context.replies = serving_world.play(context, play)


@when("{count:d} clients ask for a stream at the same time")
def step_ask_together(context, count):
    async def play(world):
        requests = [
            serving_world.make_request(attempt=f"attempt{number}")
            for number in range(count)
        ]
        asked = [
            serving_world.send_request(world.port, request) for request in requests
        ]
        return await asyncio.gather(*asked)

    context.replies = serving_world.play(context, play)


@when("{count:d} clients ask for a stream, one every {pause_ms:d} ms")
def step_ask_at_intervals(context, count, pause_ms):
    async def play(world):
        replies = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
            await asyncio.sleep(pause_ms / 1000)
        return replies

    context.replies = serving_world.play(context, play)


@then("the target is not held to be failing")
def step_not_failing(context):
    now_s = time.monotonic()
    known = context.world.directory.find("a")
    assert not known.health.is_paused(now_s)
    assert context.world.board.outcomes.find_failure_rate("a", now_s) == 0.0


def _expect(attempt, count):
    return b"".join(replica.make_event(attempt, n) for n in range(1, count + 1))


@then("it gets each of the {count:d} events once, in order, and the end")
def step_whole(context, count):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == _expect("abc", count), context.reply
    assert context.reply.is_complete


@then("it gets {count:d} events and no end")
def step_truncated(context, count):
    assert context.reply.body == _expect("abc", count), context.reply
    assert not context.reply.is_complete


@then("it has the signature of a target that ran it")
def step_signature(context):
    expected = [f"sig-{name}-abc" for name in context.names]
    assert context.reply.headers["response-signature"] in expected


@then("the targets have run it once with the client's path and body")
def step_run_once(context):
    (run,) = context.world.runs
    assert (run.path, run.body) == ("/quote/1", b"hello"), run


@then("the targets have run it {count:d} times")
def step_run_times(context, count):
    assert len(context.world.runs) == count, context.world.runs


@then("the targets have run nothing")
def step_run_nothing(context):
    assert not context.world.runs


@then("the second run began behind the events that the client had")
def step_resumed(context):
    starts = sorted(run.last_event for run in context.world.runs)
    cut_after = next(iter(context.world.replicas.values())).manner.cut_after
    assert starts == [0, cut_after], starts


@then("the answer has status {status:d}")
def step_reply_status(context, status):
    assert context.reply.status == status, context.reply


@then("all of them get {count:d} events")
def step_all_whole(context, count):
    for number, reply in enumerate(context.replies):
        assert reply.body == _expect(f"attempt{number}", count), (number, reply)
        assert reply.is_complete


@then("the answer says when to come back")
def step_retry_after(context):
    assert float(context.reply.headers["retry-after"]) > 0


@when("a client asks for a stream and leaves after {left_ms:d} ms")
def step_leave(context, left_ms):
    async def play(world):
        _, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(serving_world.make_request())
        await asyncio.sleep(left_ms / 1000)
        writer.close()
        left_s = time.monotonic()
        while time.monotonic() < left_s + 0.5:
            await asyncio.sleep(0.02)
            if world.runs and world.runs[0].ended == "cancelled":
                break
        context.ended = world.runs[0].ended
        context.loads = dict(world.board.own)

    serving_world.play(context, play)


@then("within 500 ms the target has cancelled its run")
def step_cancelled(context):
    assert context.ended == "cancelled", context.ended


@then("no request is counted on the target")
def step_nothing_counted(context):
    assert not context.loads, context.loads


@then("it came between {low_ms:d} and {high_ms:d} ms after the request")
def step_took(context, low_ms, high_ms):
    assert low_ms / 1000 <= context.reply.took_s <= high_ms / 1000, context.reply


@when("a client asks for a stream whose target stops sending in the middle")
def step_goes_dark(context):
    async def play(world):
        # Whoever is asked first makes three events; the fourth would take an hour.
        first = next(iter(world.replicas.values()))
        for item in world.replicas.values():
            item.manner = replica.Manner(gap_s=0.02, pause_after=3, pauses=1)
            item.manner = first.manner
        request = serving_world.make_request()
        return await serving_world.send_request(world.port, request)

    context.reply = serving_world.play(context, play)


@then("it took less than {limit_s:g} s")
def step_took_less(context, limit_s):
    assert context.reply.took_s < limit_s, context.reply.took_s


@then("the replaced target is no longer known")
def step_replaced_gone(context):
    assert context.world.directory.find("a") is None


@when("a client sends {count:d} requests at once on one connection")
def step_pipeline(context, count):
    async def play(world):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        for number in range(count):
            writer.write(serving_world.make_request(attempt=f"attempt{number}"))
        replies = [await serving_world.read_reply(reader) for _ in range(count)]
        writer.close()
        return replies

    context.replies = serving_world.play(context, play)


@then("it gets {count:d} answers, each with the events of its own request")
def step_pipelined(context, count):
    assert len(context.replies) == count
    step_all_whole(context, 6)


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
