import asyncio
import time

from behave import given, then, when

from features.support import serving_world

_ROUNDS_PER_S = 4


@given('targets that crash on the segment "{segment}" and return after {back_ms:d} ms')
def step_crashing(context, segment, back_ms):
    context.fleet.set_manner(crash_segment=segment, gap_s=0.02)
    context.fleet.call(context.fleet.restart_after_crashes, back_ms / 1000)


def _make_request(attempt, *segments):
    prompt = ",".join(f"{segment}:10" for segment in (*segments, f"own{attempt}"))
    return serving_world.make_request(
        attempt=attempt, extra=(f"Prompt-Prefix: {prompt}", "Deadline-Ms: 3000")
    )


@when('each daemon has served {count:d} requests with the segment "{segment}"')
def step_warm(context, count, segment):
    for item in context.fleet.daemons:
        for number in range(count):
            attempt = f"warm{item.name}{number}"
            request = _make_request(attempt, segment, f"topic{attempt}")
            reply = context.fleet.ask(item, request)
            assert reply.status == 200, reply


@when(
    'for {duration_s:d} s requests with "{shared}" and "{bad}" arrive at every daemon, '
    "beside sound ones"
)
def step_storm(context, duration_s, shared, bad):
    """Send a crashing request to one daemon and sound ones to all in each round."""
    fleet = context.fleet
    context.sound = []

    async def send(daemon, request):
        sent_s = time.monotonic()
        reply = await serving_world.send_request(daemon.port, request)
        return sent_s, reply

    async def play():
        sound, calls = [], []
        for number in range(duration_s * _ROUNDS_PER_S):
            daemon = fleet.daemons[number % len(fleet.daemons)]
            request = _make_request(f"bad{number}", shared, bad, "doc")
            calls.append(asyncio.ensure_future(send(daemon, request)))
            for item in fleet.daemons:
                attempt = f"sound{item.name}{number}"
                request = _make_request(attempt, shared, f"topic{attempt}")
                sound.append(asyncio.ensure_future(send(item, request)))
            await asyncio.sleep(1 / _ROUNDS_PER_S)
        await asyncio.gather(*calls)
        return await asyncio.gather(*sound)

    context.sound = fleet.loop.run(play(), duration_s + 20)


@then(
    'at most {most:d} requests with "{bad}" reach targets later than {after_s:d} s '
    "after the fifth crash"
)
def step_bounded(context, most, bad, after_s):
    replicas = context.fleet.replicas
    crashes = sorted(item.crashed_s for item in replicas if item.crashed_s)
    starts = sorted(
        run.started_s for item in replicas for run in item.runs if run.has_segment(bad)
    )
    print(f"crashes={len(crashes)} requests={len(starts)}")
    assert crashes, "no target has crashed"
    if len(crashes) < 5:
        return
    late = [start_s for start_s in starts if start_s > crashes[4] + after_s]
    assert len(late) <= most, (len(late), len(crashes), len(starts))


@then("at least {share:d}% of the sound requests of the last {last_s:d} s are served")
def step_served(context, share, last_s):
    end_s = max(sent_s for sent_s, _ in context.sound)
    replies = [reply for sent_s, reply in context.sound if sent_s > end_s - last_s]
    served = [reply for reply in replies if reply.status == 200 and reply.is_complete]
    assert len(served) * 100 >= share * len(replies), (len(served), len(replies))


@then('a request with "{bad}" is refused as not run within {limit_ms:d} ms')
def step_refused(context, bad, limit_ms):
    request = _make_request("late", "shared", bad, "doc")
    reply = context.fleet.ask(context.fleet.daemons[0], request)
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0, reply
    assert reply.elapsed_s * 1000 < limit_ms, reply


@given("targets that crash on their next {runs:d} runs and return after {back_ms:d} ms")
def step_crash_runs(context, runs, back_ms):
    context.fleet.set_manner(crash_runs=runs)
    context.fleet.call(context.fleet.restart_after_crashes, back_ms / 1000)


@then("targets have crashed at least {count:d} times")
def step_crashed(context, count):
    crashed = [item for item in context.fleet.replicas if item.crashed_s]
    assert len(crashed) >= count, len(crashed)
