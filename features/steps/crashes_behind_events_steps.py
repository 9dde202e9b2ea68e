import asyncio

from behave import given, then, when

from endivevane.quarantine import evidence, messages
from features.support import quarantine_net, scripted_items, serving_world

_EVENTS = 20
_PROMPT = ("Prompt-Prefix: a:5,p:5,own:5",)
# Answers that a daemon has seen before it judges by a single request.
_EARLIER_ANSWERS = 9
# Time in which the end of a target is found out and told.
_FINDING_S = 0.25


@given(
    'targets that crash on the segment "{segment}" behind event {event:d} of '
    "{events:d} and return after {back_ms:d} ms"
)
def step_crashing(context, segment, event, events, back_ms):
    context.fleet.set_manner(
        crash_segment=segment, crash_after=event, events=events, gap_s=0.02
    )
    context.fleet.call(context.fleet.restart_after_crashes, back_ms / 1000)


def _set_manner(world, **manner):
    for item in world.replicas.values():
        for name, value in manner.items():
            setattr(item.manner, name, value)


def _hear_of_end(world):
    suspect = evidence.Suspect("request:r1", ("a", "p"), was_beginning=True)
    report = messages.EndReport("other/1", 0.0, (suspect,), {})
    news = messages.QuarantineNews("near", ends=(report,))
    world.quarantine.handle(news, "front-2")


def _begin_request(world, **arguments):
    request = serving_world.make_request(**arguments)
    return asyncio.ensure_future(serving_world.send_request(world.port, request))


_MANNERS = {
    "is under way": {"events": _EVENTS, "gap_s": 0.05},
    "is whole": {},
    "is brought by two runs": {"cuts": 1, "cut_after": 3},
    "ends with its connection": {"unframed": True},
    "ends with its connection and target": {
        "unframed": True,
        "crash_runs": 1,
        "crash_after": 3,
    },
}


def _play_ending(context, ending, send):
    async def play(world):
        _set_manner(world, gap_s=0.01)
        shared = next(iter(world.replicas.values())).manner
        for item in world.replicas.values():
            item.manner = shared
        _set_manner(world, **_MANNERS[ending])
        _hear_of_end(world)
        task = asyncio.ensure_future(send(world))
        if ending == "is under way":
            await asyncio.sleep(0.3)
            assert [run.ended for run in world.runs] == ["running"]
        else:
            await task
            await asyncio.sleep(_FINDING_S)
        request = quarantine_net.make_request("later", "a", "p")
        context.suspect = world.quarantine.find_suspect_segment(request)
        await task

    serving_world.play(context, play)


@when(
    'the daemon hears that another target has ended under "p", and an answer with "p" '
    "{ending}"
)
def step_answer(context, ending):
    async def send(world):
        await _begin_request(world, extra=_PROMPT)

    _play_ending(context, ending, send)


@when(
    'the daemon hears that another target has ended under "p", and an item with "p" '
    "{ending}"
)
def step_item(context, ending):
    async def send(world):
        await scripted_items.run_item(world, segments=("b", "p"))

    _play_ending(context, ending, send)


def _make_end(run_key, fingerprint):
    suspect = evidence.Suspect(fingerprint, (), was_beginning=False)
    return messages.EndReport(run_key, 0.0, (suspect,), {})


@when(
    "{count:d} targets end beside a request that was answered up to the end of its "
    "connection"
)
def step_answered_unframed(context, count):
    async def play(world):
        _set_manner(world, unframed=True)
        _hear_of_end(world)
        await _begin_request(world)
        await asyncio.sleep(_FINDING_S)
        # The same as the request that was answered.
        request = quarantine_net.make_request("hello")
        fingerprint = evidence.make_fingerprint(request)
        ends = tuple(_make_end(f"t{n}/1", fingerprint) for n in range(count))
        world.quarantine.handle(messages.QuarantineNews("near", ends=ends), "front-2")
        await asyncio.sleep(_FINDING_S)
        context.blocked_s = world.quarantine.find_blocking(request)

    serving_world.play(context, play)


@then("that request is not in quarantine")
def step_not_blocked(context):
    assert context.blocked_s is None, context.blocked_s


async def _leave_and_crash(world, target):
    """Let a client leave a target, which then ends under another request."""
    count = len(target.runs)
    leaving = _begin_request(world, attempt=f"left{target.name}", extra=_PROMPT)
    while len(target.runs) == count:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    leaving.cancel()
    staying = _begin_request(
        world, attempt=f"stays{target.name}", extra=("Prompt-Prefix: a:5,x:5,own:5",)
    )
    await asyncio.sleep(0.2)
    target.crash()
    await asyncio.sleep(_FINDING_S)
    staying.cancel()


@when('clients with "p" leave each target 200 ms before it ends under other requests')
def step_left(context):
    async def play(world):
        _set_manner(world, events=_EVENTS, gap_s=0.05)
        first, second = world.replicas.values()
        world.unregister(second, 10)
        await _leave_and_crash(world, first)
        world.register(second, 11)
        world.unregister(first, 12)
        await _leave_and_crash(world, second)
        request = quarantine_net.make_request("later", "a", "p")
        context.suspect = world.quarantine.find_suspect_segment(request)

    serving_world.play(context, play)


@then('"p" is suspect')
def step_suspect(context):
    assert context.suspect == "p", context.suspect


@then('"p" is cleared')
def step_cleared(context):
    assert context.suspect != "p", context.suspect


async def _wait_for_events(world, count):
    """Return the target that works on the stream, once it has sent some events."""
    while True:
        for item in world.replicas.values():
            if item.crashed_s is None and any(
                run.ended == "running" for run in item.runs
            ):
                await asyncio.sleep(count * item.manner.gap_s)
                return item
        await asyncio.sleep(0.005)


@when("3 targets end one after the other while they send a stream")
def step_three_ends(context):
    async def play(world):
        _set_manner(world, events=_EVENTS, gap_s=0.03)
        for number in range(_EARLIER_ANSWERS):
            world.quarantine.record_answer_on((f"t{number}",))
        call = _begin_request(world, attempt="attempt0", extra=_PROMPT)
        for _ in range(3):
            target = await _wait_for_events(world, 4)
            target.crash()
        return [await call]

    context.replies = serving_world.play(context, play)
    context.reply = context.replies[0]


@then("the stream's segments are not in quarantine")
def step_not_quarantined(context):
    request = quarantine_net.make_request("later", "a", "p")
    assert context.world.quarantine.find_blocking(request) is None


@when("each target crashes behind 2 events of a request that was answered before")
def step_many_ends(context):
    async def play(world):
        _set_manner(world, events=_EVENTS, gap_s=0.02)
        reply = await _begin_request(world, attempt="first")
        assert reply.is_complete, reply
        _set_manner(world, crash_runs=1, crash_after=2)
        return await _begin_request(world)

    context.reply = serving_world.play(context, play)


@then("{count:d} targets have crashed")
def step_crashed(context, count):
    replicas = context.world.replicas.values()
    crashed = [item.name for item in replicas if item.crashed_s]
    assert len(crashed) == count, crashed


@then("the answer is broken off")
def step_broken_off(context):
    assert context.reply.status == 200 and not context.reply.is_complete
