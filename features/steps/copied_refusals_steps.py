import asyncio
import collections
import itertools

from behave import given, then, when

from features.support import scripted_items, scripted_world, serving_world
from standins import replica, scripted_replica

_KINDS = {
    "stream": {"resumable": False},
    "unsafe": {"kind": "unsafe"},
    "safe": {"kind": "safe"},
}
_NAMES = ("a", "b")
_NOT_RUN = (408, 421, 429, 503)
# Place of the copy: how many answers are sound between the refusal and the copy.
_PLACES = (0, 1, 2)
_LATE_S = (0.0, 0.01, 0.05)
_LATER_REQUESTS = 5
_REFUSED = b"abc"
_INTERIM = b"HTTP/1.1 103 X\r\nLink: <x>\r\n\r\n"

_refusal = scripted_world.make_refusal


def _make_refusing_act(copy, place):
    """Return the refusal of a request, with what is written on its connection."""
    own = _refusal()
    late = _refusal(_REFUSED) if copy == "a copy on the idle connection" else b""
    data = {
        "a copy directly behind it": own + own,
        "a copy without an id directly behind it": own + _refusal(b""),
        "a 421 directly behind it": own + _refusal(status=421),
        "a body longer than its length": _refusal(body=b"full, full", length=4),
        "a body shorter than its length": _refusal(body=b"full", length=40),
    }.get(copy, own)
    act = scripted_replica.Act(data, is_run=False)
    act.late, act.late_s = late, _LATE_S[place]
    return act


def _make_later_act(copy):
    """Return what a target writes into or ahead of a later answer."""
    head = scripted_world.make_head() + b"Transfer-Encoding: chunked\r\n\r\n"
    first = scripted_world.chunk(scripted_world.make_events(1, 1))
    copied = _refusal(_REFUSED)
    ahead = {
        "a copy ahead of a later answer": copied,
        "a copy without an id ahead of a later answer": _refusal(b""),
        "an interim answer and a copy ahead of a later answer": _INTERIM + copied,
        "a 421 ahead of a later answer": _refusal(_REFUSED, status=421),
        "a 421 without an id ahead of a later answer": _refusal(b"", status=421),
        "a part of its head joined with a later head": (
            b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nAttempt-Id: abc"
        ),
    }
    within = {
        "a copy behind the head of a later stream": head + copied,
        "a copy between the chunks of a later answer": head + first + copied,
    }
    if copy in within:
        return scripted_replica.Act(within[copy], end="close")
    return scripted_replica.Act(copy=ahead.get(copy, b""), end="run")


@given("scripted targets that refuse a request and write {copy}")
def step_copy(context, copy):
    context.copy = copy


@when("clients send requests one after the other on kept connections")
def step_send(context):
    async def play(kind, count, place):
        acts = []
        configuration = serving_world.make_configuration(**_KINDS[kind])

        async def act(world):
            # Requests at the same time leave several kept connections to each target.
            await asyncio.gather(*(_send(world, f"w0{n}") for n in range(6)))
            acts.append(_make_refusing_act(context.copy, place))
            acts.extend(scripted_replica.Act(end="run") for _ in range(place))
            acts.append(_make_later_act(context.copy))
            replies = {"abc": await _send(world, "abc")}
            for number in range(_LATER_REQUESTS):
                attempt = f"y0{number}"
                replies[attempt] = await _send(world, attempt)
            is_played = not acts
            acts.clear()
            replies["end"] = await _send(world, "end")
            runs = collections.Counter(run.attempt for run in world.runs)
            return replies, runs, is_played

        return await scripted_world.serve(configuration, _NAMES[:count], acts, act)

    cases = list(itertools.product(_KINDS, (1, 2), _PLACES))
    plays = (play(*case) for case in cases)
    results = asyncio.run(scripted_world.gather_few(plays))
    assert any(is_played for _, _, is_played in results), "no copy was written"
    context.plays = list(zip(cases, results, strict=True))


async def _send(world, attempt):
    request = serving_world.make_request(attempt=attempt)
    return await serving_world.send_request(world.port, request)


@then("no client is told that its request has not run although it has")
def step_told(context):
    wrong = [
        (case, attempt, reply.status, runs[attempt])
        for case, (replies, runs, _) in context.plays
        for attempt, reply in replies.items()
        if reply.status in _NOT_RUN and runs[attempt]
    ]
    assert not wrong, wrong


@then("no request that may run once has run twice")
def step_twice(context):
    wrong = [
        (case, attempt, count)
        for case, (_, runs, _) in context.plays
        for attempt, count in runs.items()
        if case[0] != "safe" and count > 1
    ]
    assert not wrong, wrong


@then("each successful answer is the target's own, also the last one")
def step_own(context):
    wrong = []
    for case, (replies, _, _) in context.plays:
        for attempt, reply in replies.items():
            whole = b"".join(
                replica.make_event(attempt, n)
                for n in range(1, scripted_world.EVENTS + 1)
            )
            if reply.is_complete and reply.status == 200 and reply.body != whole:
                wrong.append((case, attempt, reply))
        if replies["end"].status != 200:
            wrong.append((case, replies))
    assert not wrong, wrong[0]


@when("that item is sent to the same target until it is completed")
def step_send_item(context):
    acts = []

    async def act(world):
        await asyncio.gather(*(_send(world, f"w0{n}") for n in range(6)))
        acts.append(_make_refusing_act(context.copy, 0))
        acts.append(_make_later_act(context.copy))
        run = await scripted_items.run_item(world)
        attempts = [each.attempt for each in world.runs]
        return run, attempts.count(run.item.item_id)

    configuration = serving_world.make_configuration()
    context.item_run, context.run_count = asyncio.run(
        scripted_world.serve(configuration, _NAMES[:1], acts, act)
    )


@then("the item has run once, with the text of its events")
def step_item_once(context):
    assert context.run_count == 1, context.run_count
    pieces = [b"abc piece %d" % n for n in range(1, scripted_world.EVENTS + 1)]
    assert context.item_run.pieces == pieces, context.item_run.pieces
