import asyncio

from behave import given, then, when

from features.support import scripted_items, scripted_world, serving_world
from standins import replica, scripted_replica

_NAMES = ("a", "b")
_FRAMINGS = {
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "a length": b"Content-Length: 10\r\n",
}
_ATTEMPT = "abc"
_PLAIN_BODY = b"plain bodyplain body"[:10]


def _cut(head, where):
    if where == "two bytes before its end":
        return head[:-2]
    if where == "one byte before its end":
        return head[:-1]
    return head[: int(where.split(" ")[1])]


@given("heads of {framing} that break off {where}")
def step_heads(context, framing, where):
    context.heads = [
        _cut(
            scripted_world.make_head(content_type=content_type)
            + _FRAMINGS[framing]
            + b"\r\n",
            where,
        )
        for content_type in (b"text/event-stream", b"text/plain")
    ]


async def _play(kind, head, end, attempts):
    configuration = serving_world.make_configuration(
        kind=kind, resumable=kind == "streaming", maxAttempts=attempts
    )
    acts = [scripted_replica.Act(head, end=end)]

    async def act(world):
        for target in world.replicas.values():
            target.manner.plain = kind != "streaming"
        request = serving_world.make_request(attempt=_ATTEMPT)
        return await serving_world.send_request(world.port, request)

    return await scripted_world.serve(configuration, _NAMES, acts, act)


@when("clients request streams and whole responses, with 1 and 2 attempts allowed")
def step_request(context):
    context.cases = [
        (kind, head, end, attempts)
        for kind, head in zip(("streaming", "safe"), context.heads, strict=True)
        for end in ("close", "reset")
        for attempts in (1, 2)
    ]
    plays = (_play(*case) for case in context.cases)
    context.replies = asyncio.run(scripted_world.gather_few(plays))


def _expect(kind):
    if kind != "streaming":
        return _PLAIN_BODY
    events = range(1, scripted_world.EVENTS + 1)
    return b"".join(replica.make_event(_ATTEMPT, number) for number in events)


def _is_whole(kind, reply):
    return reply.status == 200 and reply.is_complete and reply.body == _expect(kind)


@then("each answer is whole as its target meant it, or no success")
def step_no_false_success(context):
    false = [
        (case, reply)
        for case, reply in zip(context.cases, context.replies, strict=True)
        if reply.status < 400 and not _is_whole(case[0], reply)
    ]
    assert not false, false
    assert all(reply.status for reply in context.replies), context.replies


@then("each with 2 attempts is whole")
def step_whole(context):
    broken = [
        (case, reply)
        for case, reply in zip(context.cases, context.replies, strict=True)
        if case[3] == 2 and not _is_whole(case[0], reply)
    ]
    assert not broken, broken


@when("an item's first run is answered so")
def step_item(context):
    acts = [scripted_replica.Act(context.heads[0], end="close")]

    async def act(world):
        return await scripted_items.run_item(world)

    configuration = serving_world.make_configuration()
    context.run = asyncio.run(scripted_world.serve(configuration, _NAMES, acts, act))


@then("the item has the text of its events, once and in order")
def step_item_text(context):
    texts = [
        f"{_ATTEMPT} piece {number}".encode()
        for number in range(1, scripted_world.EVENTS + 1)
    ]
    assert context.run.pieces == texts, context.run.pieces
