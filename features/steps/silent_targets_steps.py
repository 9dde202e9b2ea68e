import asyncio
import dataclasses
import time

from behave import given, then, when

from endivevane import metrics
from endivevane.serving import target_health, target_probe
from features.support import serving_fakes, serving_world
from standins import replica

# A stream takes long enough that the silence falls into many of them, and with the
# longest silence it ends before the timeout of its route.
_EVENTS = 24
_GAP_S = 0.04
_FIRST_SILENT_S = 0.6
_INTERVAL_S = 0.06
# A client leaves a stream after this long without an event.
_CLIENT_PATIENCE_S = 2.0
# Statuses that tell a client that its request has not run.
_NOT_RUN = (429, 503)


def _expect(number):
    return b"".join(
        replica.make_event(f"attempt{number}", n) for n in range(1, _EVENTS + 1)
    )


@given("the targets send whole responses")
def step_whole_responses(context):
    serving_world.prepare_all(context, plain=True, first_s=0.05)


async def _request_in_silence(world, count, silence_s):
    async def request(number):
        await asyncio.sleep(number * _INTERVAL_S)
        data = serving_world.make_request(attempt=f"attempt{number}")
        return await serving_world.send_request(world.port, data)

    async def fall_silent():
        await asyncio.sleep(_FIRST_SILENT_S)
        world.replicas["a"].fall_silent(silence_s)

    *replies, _ = await asyncio.gather(*map(request, range(count)), fall_silent())
    return replies


@when(
    "{count:d} clients request streams while the first target is silent for "
    "{silence_s:g} s"
)
def step_streams_in_silence(context, count, silence_s):
    serving_world.prepare_all(context, events=_EVENTS, gap_s=_GAP_S)
    context.replies = serving_world.play(
        context, lambda world: _request_in_silence(world, count, silence_s)
    )


@when(
    "{count:d} clients request a whole response while the first target is silent for "
    "{silence_s:g} s"
)
def step_whole_in_silence(context, count, silence_s):
    context.replies = serving_world.play(
        context, lambda world: _request_in_silence(world, count, silence_s)
    )


@then("each client has the whole stream or was told that it has not run")
def step_whole_or_refused(context):
    outcomes = [
        (number, reply.status, reply.is_complete, len(reply.body))
        for number, reply in enumerate(context.replies)
        if reply.status not in _NOT_RUN
        and not (reply.is_complete and reply.body == _expect(number))
    ]
    assert not outcomes, outcomes
    ran = {run.attempt for run in context.world.runs}
    for number, reply in enumerate(context.replies):
        assert reply.status == 200 or f"attempt{number}" not in ran, (number, reply)


@then("no stream was cut")
def step_no_cut(context):
    cut = [
        (number, len(reply.body))
        for number, reply in enumerate(context.replies)
        if reply.status == 200 and not reply.is_complete
    ]
    assert not cut, cut


@then("each client has the whole response or was told that it has not run")
def step_whole_response_or_refused(context):
    outcomes = [
        (number, reply.status)
        for number, reply in enumerate(context.replies)
        if reply.status not in _NOT_RUN
        and not (reply.status == 200 and reply.is_complete)
    ]
    assert not outcomes, outcomes
    ran = {run.attempt for run in context.world.runs}
    for number, reply in enumerate(context.replies):
        assert reply.status == 200 or f"attempt{number}" not in ran, (number, reply)


async def _find_busy_target(world):
    """Return the target that runs the first request, once there is one."""
    async with asyncio.timeout(_CLIENT_PATIENCE_S):
        while True:
            for target in world.replicas.values():
                if target.runs:
                    return target
            await asyncio.sleep(0.005)


async def _silence_first(world, events, silence_s):
    """Let the target of the first request fall silent after some events."""
    target = await _find_busy_target(world)
    if events:
        await asyncio.sleep(_GAP_S * (events + 0.5))
    target.fall_silent(silence_s)
    return target


def _count_calls(world):
    """Return the calls of the daemon that are under way."""
    healths = [known.health for known in world.registry.list_all()]
    return sum(health.running + health.waiting for health in healths)


def _record_end(context, world):
    context.held = dict(world.loads.own)


def _play_stream(context, disturb):
    serving_world.prepare_all(context, events=_EVENTS, gap_s=_GAP_S)

    async def play(world):
        request = serving_world.make_request(attempt="attempt0")
        context.reply, _ = await asyncio.gather(
            serving_world.send_request(world.port, request), disturb(world)
        )
        # The cancelled runs have ended by then.
        await asyncio.sleep(0.1)
        _record_end(context, world)

    serving_world.play(context, play)


@when(
    "a client requests a stream whose target is silent for {silence_s:d} s after "
    "{events:d} events"
)
def step_stream_in_silence(context, silence_s, events):
    _play_stream(context, lambda world: _silence_first(world, events, silence_s))


@when("a client requests a stream whose target {ends} after 3 events")
def step_stream_at_ended_target(context, ends):
    accepts = {
        "is silent and refuses connections": False,
        "is silent and accepts no connections": True,
    }

    async def disturb(world):
        target = await _silence_first(world, 3, 30.0)
        target.close_listener()
        if accepts[ends]:
            context.blocked = serving_world.block_port(target.port)
            context.cleanups.append(lambda: [item.close() for item in context.blocked])

    _play_stream(context, disturb)


@when(
    "a client requests a stream whose target is silent and the next begins after 0.5 s"
)
def step_stream_at_slow_second(context):
    async def disturb(world):
        silent = await _silence_first(world, 3, 30.0)
        for target in world.replicas.values():
            if target is not silent:
                target.manner.first_s = 0.5

    _play_stream(context, disturb)


@when("a client leaves while the target of its stream and a second one are silent")
def step_leave_in_silence(context):
    serving_world.prepare_all(context, events=_EVENTS, gap_s=_GAP_S)

    async def play(world):
        _, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(serving_world.make_request(attempt="attempt0"))
        for target in world.replicas.values():
            target.fall_silent(30.0)
        async with asyncio.timeout(_CLIENT_PATIENCE_S):
            while sum(item.connections for item in world.replicas.values()) < 2:
                await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.5)
        context.open_calls = _count_calls(world)
        _record_end(context, world)

    serving_world.play(context, play)


@then("the client has the whole stream")
def step_whole_stream(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.body == _expect(0), context.reply
    assert context.reply.is_complete


@then("at most 2 targets have run it, and each run but the last has been cancelled")
def step_runs_cancelled(context):
    runs = sorted(context.world.runs, key=lambda run: run.started_s)
    assert len(runs) == 2, runs
    assert [run.ended for run in runs] == ["cancelled", "done"], runs


@then("within 500 ms no target is running its request")
def step_no_calls(context):
    assert context.open_calls == 0, context.open_calls


@then("two targets have worked on it for {limit_ms:d} ms at most")
def step_overlap(context, limit_ms):
    first, second = sorted(context.world.runs, key=lambda run: run.started_s)
    overlap_s = first.ended_s - second.started_s
    assert overlap_s <= limit_ms / 1000, overlap_s


@then("no slot is held")
def step_no_slot(context):
    assert not context.held, context.held


@given("a target that has been silent, so that another one took a stream over")
def step_silent_health(context):
    context.health = target_health.TargetHealth()
    for now_s in (0.0, 0.1):
        context.health.begin_call(now_s)
    context.health.record_silence(2.0)
    context.health.end_call(False)


@when("it sends nothing")
def step_sends_nothing(context):
    assert context.health.is_paused(2.1)


@when("it sends an event")
def step_sends_event(context):
    context.health.record_data(2.1)


@then("it gets no new work")
def step_no_new_work(context):
    assert context.health.is_paused(2.1)


@then("it gets new work")
def step_new_work(context):
    assert not context.health.is_paused(2.1)
    assert not context.health.is_unresponsive(2.1)


@when("a client's target is silent for {silence_s:g} s and then refuses all requests")
def step_silent_then_refuses(context, silence_s):
    async def disturb(world):
        for target in world.replicas.values():
            target.fall_silent(silence_s)
        async with asyncio.timeout(_CLIENT_PATIENCE_S):
            while not _count_calls(world):
                await asyncio.sleep(0.005)
        busy = next(item for item in world.registry.list_all() if item.health.waiting)
        context.refusing = world.replicas[busy.target.target_id]
        context.refusing.manner.refuse = 1000

    _play_stream(context, disturb)


@then("the client has an answer of the other target")
def step_other_answer(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.is_complete, context.reply
    assert context.refusing.refused and not context.refusing.runs
    assert len(context.world.runs) == 1, context.world.runs


@when("the daemon stands still for {duration_s:g} s while a client reads a stream")
def step_stand_still(context, duration_s):
    serving_world.prepare_all(context, events=_EVENTS, gap_s=_GAP_S)
    backed_up = metrics.RETRIES.labels("silent")._value

    async def play(world):
        async def stand_still():
            await asyncio.sleep(_FIRST_SILENT_S)
            # Nothing runs meanwhile, neither the daemon nor a target.
            time.sleep(duration_s)

        request = serving_world.make_request(attempt="attempt0")
        context.reply, _ = await asyncio.gather(
            serving_world.send_request(world.port, request), stand_still()
        )

    before = backed_up.get()
    serving_world.play(context, play)
    context.backed_up = backed_up.get() - before


@then("no request was sent to a second target")
def step_not_backed_up(context):
    assert not context.backed_up, context.backed_up
    assert len(context.world.runs) == 1, context.world.runs
    assert context.reply.body == _expect(0), context.reply


@given("a target that refused connections while it was silent")
def step_refused_earlier(context):
    context.target = replica.Replica("a")


@when(
    "it is silent once more, {pause_s:g} s after it accepts connections again",
)
def step_silent_again(context, pause_s):
    silence_s = 0.5

    async def play():
        target = context.target
        await target.start()
        described = serving_fakes.make_target("a")
        described = dataclasses.replace(described, port=target.port)
        target.close_listener()
        probe = target_probe.TargetProbe()
        async with asyncio.timeout(_CLIENT_PATIENCE_S):
            while not probe.has_ended(described, silence_s):
                await asyncio.sleep(0.05)
        await target.start(target.port)
        await asyncio.sleep(pause_s)
        context.has_ended = probe.has_ended(described, silence_s)
        await asyncio.sleep(0.1)
        context.has_ended_later = probe.has_ended(described, silence_s)
        await target.stop()

    asyncio.run(play())


@then("it does not count as ended")
def step_not_ended(context):
    assert not context.has_ended
    assert not context.has_ended_later


_FAILURES = {
    "has status 500": {"status": 500},
    "closes the connection": {"drop": 1000},
    "refuses all requests": {"refuse": 1000},
}


def _let_other_fail(context, world, first, **manner):
    (context.other,) = [item for item in world.replicas.values() if item is not first]
    context.first = first
    for name, value in manner.items():
        setattr(context.other.manner, name, value)


@when(
    "a client's target is silent for {silence_s:g} s after {events:d} events and the "
    "other {fails}"
)
def step_second_fails(context, silence_s, events, fails):
    is_plain = context.configuration["routes"][0]["kind"] == "safe"
    serving_world.prepare_all(context, plain=is_plain, first_s=0.05)

    async def disturb(world):
        first = await _silence_first(world, events, silence_s)
        _let_other_fail(context, world, first, **_FAILURES[fails])

    _play_stream(context, disturb)


@then("the client has an answer of the first target, though the second was tried")
def step_first_answered(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.is_complete, context.reply
    assert [run.ended for run in context.first.runs] == ["done"], context.first.runs
    assert context.other.runs or context.other.refused


@when(
    "a client's target is silent and ends after {delay_s:g} s and the other refuses "
    "all requests"
)
def step_silent_and_ends(context, delay_s):
    serving_world.prepare_all(context, silent=True)

    async def disturb(world):
        first = await _find_busy_target(world)
        _let_other_fail(context, world, first, refuse=1000)
        await asyncio.sleep(delay_s)
        first.crash()

    _play_stream(context, disturb)


@then("the client is not told that it has not run")
def step_not_said_unrun(context):
    assert context.first.runs and context.other.refused
    assert context.reply.status not in _NOT_RUN, context.reply
    assert context.reply.status >= 500, context.reply


@when(
    "a client's target is silent for {silence_s:g} s and the other breaks off "
    "{delay_s:g} s after it began"
)
def step_second_breaks_off(context, silence_s, delay_s):
    is_plain = context.configuration["routes"][0]["kind"] == "safe"
    serving_world.prepare_all(context, plain=is_plain, first_s=0.05)

    async def disturb(world):
        first = await _silence_first(world, 0, silence_s)
        _let_other_fail(context, world, first, silent=True)
        async with asyncio.timeout(_CLIENT_PATIENCE_S):
            while not context.other.runs:
                await asyncio.sleep(0.005)
        await asyncio.sleep(delay_s)
        context.other.manner.silent = False
        context.other.break_connections()

    _play_stream(context, disturb)


@then("the client has a whole answer")
def step_whole_answer(context):
    assert context.reply.status == 200, context.reply
    assert context.reply.is_complete, context.reply
