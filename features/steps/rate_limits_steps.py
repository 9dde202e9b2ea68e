import asyncio
import time

from behave import given, then, when

from features.support import serving_world


@given("targets that name a limit of {limit} requests a second")
def step_limit(context, limit):
    context.fleet.set_manner(rate_limit=limit)


@when("for {duration_s:d} s every daemon gets {rate:d} requests a second")
def step_load(context, duration_s, rate):
    context.duration_s = duration_s
    context.load_started_s = time.monotonic()
    context.replies = context.fleet.loop.run(
        _load(context.fleet.daemons, duration_s, rate), duration_s + 20
    )


async def _load(daemons, duration_s, rate):
    calls = []
    for number in range(duration_s * rate):
        for item in daemons:
            attempt = f"{item.name}x{number}"
            request = serving_world.make_request(
                attempt=attempt, extra=("Deadline-Ms: 1500",)
            )
            calls.append(asyncio.ensure_future(_send(item, request)))
        await asyncio.sleep(1 / rate)
    return await asyncio.gather(*calls)


async def _send(daemon, request):
    """Return the response, one without a status if the daemon is down."""
    try:
        return await serving_world.send_request(daemon.port, request)
    except OSError:
        return serving_world.Response()


def count_most(times_s, window_s):
    """Return the most times that lie in a window of some length."""
    ordered = sorted(times_s)
    return max(
        (
            sum(1 for item in ordered if start_s <= item < start_s + window_s)
            for start_s in ordered
        ),
        default=0,
    )


@then(
    "from {after_s:d} s after it first named it no target has got more than {most:d} "
    "requests in {window_s:d} s"
)
def step_bounded(context, after_s, most, window_s):
    counts = {}
    for item in context.fleet.replicas:
        starts = [run.started_s for run in item.runs]
        first_s = min(starts, default=0.0)
        later = [start_s for start_s in starts if start_s >= first_s + after_s]
        counts[item.name] = count_most(later, window_s)
    print(f"most in {window_s} s by target: {counts}")
    assert max(counts.values()) <= most, counts


@then("at least {rate:d} requests a second were served")
def step_served(context, rate):
    served = sum(1 for reply in context.replies if reply.status == 200)
    print(f"served={served} of {len(context.replies)}")
    assert served >= rate * context.duration_s, served


@when(
    "for {duration_s:d} s every daemon gets {rate:d} requests a second, and each in "
    "turn is killed and started"
)
def step_load_with_kills(context, duration_s, rate):
    fleet = context.fleet
    context.duration_s = duration_s
    future = asyncio.run_coroutine_threadsafe(
        _load(fleet.daemons, duration_s, rate), fleet.loop.loop
    )
    for daemon in fleet.daemons:
        time.sleep(duration_s / (len(fleet.daemons) + 1))
        daemon.stop()
        daemon.start()
    context.replies = future.result(duration_s + 20)
