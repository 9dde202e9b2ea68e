import asyncio
import itertools

from behave import given, then, when

from features.support import scripted_items, scripted_world, serving_world
from standins import replica, scripted_replica

_NAMES = ("a", "b", "c")
_ALL_ATTEMPTS = (1, 2, 3)
_NOT_RUN = (408, 421, 429, 503)
_HEAD = b"HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror"
_END = b"0\r\n\r\n"


def _make_answers(n):
    """Return the answers to a continuation behind event ``n``, by name."""
    next_event = scripted_world.make_events(n + 1, n + 1)
    rest = scripted_world.make_events(n + 1, scripted_world.EVENTS)
    stream = scripted_world.make_stream
    plain = scripted_world.make_plain
    unframed = scripted_world.make_head() + b"\r\n"
    signed = b"Response-Signature: sig-$ID\r\n"
    return {
        "an error with a text": plain(500, b"error\n\nno memory\n\n"),
        "a 404": plain(404, b"not found\n\n"),
        "a refusal": scripted_world.make_refusal(body=b"full\n\n"),
        "a 503 that may have run": plain(503, b"full\n\n"),
        "a 421": scripted_world.make_refusal(status=421, body=b"moved\n\n"),
        "a body with a length": plain(200, b"all is well", lines=signed),
        "a body of lines with a length": plain(
            200, b"all\n\nis well\n\n", lines=signed
        ),
        "an empty body of another type": plain(200, b"", lines=signed),
        "an empty stream without framing": unframed,
        "events without a signature": stream(rest, lines=b""),
        "a head within the chunks": stream(next_event, is_whole=False) + _HEAD,
        "a head in a chunk": stream(next_event, is_whole=False)
        + scripted_world.chunk(_HEAD + b"\n\n")
        + _END,
        "a head in a chunk, in one event": stream(_HEAD.replace(b"\r\n", b"\n") + rest),
        "a head between events without framing": unframed
        + next_event
        + _HEAD
        + b"\n\n",
        "a text between events": stream(next_event + b"out of memory\n\n" + rest),
        "an error as an event": stream(next_event + b'data: {"error": "memory"}\n\n'),
        "the last event again": stream(scripted_world.make_events(n, n) + rest),
        "events behind a gap": stream(scripted_world.make_events(n + 2, 6)),
        "events from the first one on": stream(scripted_world.make_events(1, 6)),
        "events without ids": stream(b"data: one\n\ndata: two\n\n"),
        "events with ids that are no numbers": stream(b"id: x4\ndata: one\n\n"),
        "a gap at a later place": stream(
            next_event + scripted_world.make_events(n + 3, 6)
        ),
    }


@given("3 scripted targets, and a stream that breaks off anywhere")
def step_anywhere(context):
    # Behind the fifth event no gap is possible, and before the first no repetition.
    context.breaks = list(
        itertools.product(
            (0, 1, 3),
            ("chunks", "a length", "its connection"),
            ("close", "reset"),
            (False, True),
        )
    )
    context.answer = None


@given("3 scripted targets, and a stream that breaks off behind its last event")
def step_behind_last(context):
    # Without framing, the orderly end of the connection would be the stream's.
    context.breaks = [
        (scripted_world.EVENTS, framing, end, False)
        for framing in ("chunks", "a length")
        for end in ("close", "reset")
    ]
    context.answer = None


@given("3 scripted targets, and a stream that may not be resumed")
def step_not_resumable(context):
    context.configuration = serving_world.make_configuration(resumable=False)


@given("the answer to its request is {answer}")
@given("the answer to its continuation is {answer}")
def step_answer(context, answer):
    context.answer = answer


def _make_acts(context, broken):
    acts = [scripted_world.make_broken_stream(*broken)]
    if context.answer is None:
        return acts
    events = broken[0]
    if _is_sound(context.answer, events):
        return acts
    return [*acts, _make_answer(context.answer, events)]


def _make_answer(name, events):
    data = _make_answers(events)[name]
    is_refusal = b"Not-Executed" in data
    end = "close" if "without framing" in name else "keep"
    return scripted_replica.Act(data, end=end, is_run=not is_refusal)


def _is_sound(answer, events):
    """Return whether an answer is the right one behind a number of events."""
    is_start = answer in ("the last event again", "events from the first one on")
    return is_start and not events


def _can_tell(broken):
    """Return whether the stream's end can be told from a whole stream's."""
    events, framing, end, is_torn = broken
    is_orderly = framing == "its connection" and end == "close"
    return not is_orderly or is_torn or not events


@when("clients request that stream, with 1, 2 and 3 attempts allowed")
def step_request(context):
    async def play(broken, attempts):
        configuration = serving_world.make_configuration(maxAttempts=attempts)
        acts = _make_acts(context, broken)

        async def act(world):
            request = serving_world.make_request()
            reply = await serving_world.send_request(world.port, request)
            return reply, len(world.runs)

        return await scripted_world.serve(configuration, _NAMES, acts, act)

    breaks = [broken for broken in context.breaks if _can_tell(broken)]
    cases = list(itertools.product(breaks, _ALL_ATTEMPTS))
    plays = (play(*case) for case in cases)
    replies = asyncio.run(scripted_world.gather_few(plays))
    context.plays = list(zip(cases, replies, strict=True))


@when("a client requests that stream")
def step_request_once(context):
    acts = [_make_answer(context.answer, 0)]

    async def act(world):
        context.world = world
        request = serving_world.make_request()
        return await serving_world.send_request(world.port, request)

    context.reply = asyncio.run(
        scripted_world.serve(context.configuration, _NAMES, acts, act)
    )


@then("it has the event before the foreign bytes, and no end")
def step_event_before(context):
    assert context.reply.body == replica.make_event("abc", 1), context.reply
    assert not context.reply.is_complete


@then("each has events in order, and an end only behind the last one")
def step_in_order(context):
    count = scripted_world.EVENTS
    prefixes = [
        b"".join(replica.make_event("abc", n) for n in range(1, last + 1))
        for last in range(count + 1)
    ]
    wrong = []
    for case, (reply, runs) in context.plays:
        if reply.status == 200:
            is_right = reply.body in prefixes
            is_right &= not reply.is_complete or reply.body == prefixes[-1]
        else:
            # Before the first event, a failure of the target may be passed on.
            is_right = not case[0][0] and (reply.status not in _NOT_RUN or not runs)
        if not is_right:
            wrong.append((case, reply.status, reply.body, reply.is_complete))
    assert not wrong, f"{len(wrong)} of {len(context.plays)}, first: {wrong[0]}"


@then("each with 3 attempts has the whole stream")
def step_whole(context):
    whole = b"".join(
        replica.make_event("abc", n) for n in range(1, scripted_world.EVENTS + 1)
    )
    wrong = [
        (case, reply.status, reply.body)
        for case, (reply, _) in context.plays
        if case[1] == 3
        and reply.status != 404
        and not (reply.is_complete and reply.body == whole)
    ]
    assert not wrong, f"{len(wrong)}, first: {wrong[0]}"


@when("that item is run until it is completed")
def step_run_items(context):
    async def play(broken):
        acts = _make_acts(context, broken)
        configuration = serving_world.make_configuration()
        return await scripted_world.serve(
            configuration, _NAMES, acts, scripted_items.run_item
        )

    breaks = [broken for broken in context.breaks if _can_tell(broken)]
    plays = (play(broken) for broken in breaks)
    runs = asyncio.run(scripted_world.gather_few(plays))
    context.item_runs = list(zip(breaks, runs, strict=True))


@then("each item has the text of its events, once and in order")
def step_item_text(context):
    pieces = [b"abc piece %d" % n for n in range(1, scripted_world.EVENTS + 1)]
    wrong = [
        (broken, run.pieces)
        for broken, run in context.item_runs
        if run.pieces != pieces
    ]
    assert not wrong, f"{len(wrong)} of {len(context.item_runs)}, first: {wrong[0]}"
