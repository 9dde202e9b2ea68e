import asyncio
import time

from behave import given, then, when

from endivevane.quarantine import messages
from features.support import quarantine_net

_WARM_ANSWERS = 10


@given(
    "{near:d} daemons in one region and {far:d} in another, of whose datagrams "
    "{lost:d}% are lost"
)
def step_net(context, near, far, lost):
    context.loop = asyncio.new_event_loop()
    context.cleanups.append(context.loop.close)
    context.net = quarantine_net.Net(context.loop, near, far, lost / 100)
    context.cleanups.append(context.net.stop)
    context.members = list(context.net.members.values())


def _run(context, act):
    async def run():
        result = act()
        if asyncio.iscoroutine(result):
            result = await result
        return result

    return context.loop.run_until_complete(run())


@given("the store {state}")
def step_store(context, state):
    context.net.store.state = state


@when('two daemons see targets end under requests with "{segment}"')
def step_ends(context, segment):
    async def act():
        for member in context.members:
            for number in range(_WARM_ANSWERS):
                request = quarantine_net.make_request(f"w{number}", "a", f"t{number}")
                member.quarantine.record_answer(request)
        await _end_two(context, context.members[0], context.members[-1], segment)

    _run(context, act)


async def _end_two(context, first, second, segment):
    """Let two daemons find that targets have ended under requests with a segment."""
    context.net.end_target(
        first, f"{segment}1/1", f"request:{segment}1", ("a", segment)
    )
    await asyncio.sleep(0.05)
    context.net.end_target(
        second, f"{segment}2/1", f"request:{segment}2", ("a", segment)
    )
    await asyncio.sleep(0.5)


@when("the regions lose each other")
def step_cut(context):
    context.net.is_cut = True


@when("the regions hear each other again")
def step_heal(context):
    context.net.is_cut = False


@when(
    "two daemons of the first region see targets end under requests with " '"{segment}"'
)
def step_near_ends(context, segment):
    first, second = context.members[:2]
    _run(context, lambda: _end_two(context, first, second, segment))


@when(
    "the store is down and two daemons of the first region see targets end under "
    'requests with "{segment}"'
)
def step_near_ends_without_store(context, segment):
    context.net.store.state = "is down"
    first, second = context.members[:2]
    _run(context, lambda: _end_two(context, first, second, segment))


@when("every daemon reads the store")
def step_read(context):
    async def act():
        for member in context.members:
            member.read_rows()

    _run(context, act)


@when("the third daemon starts again while the store is down")
def step_restart_one(context):
    async def act():
        context.net.store.state = "is down"
        fresh = context.members[2]
        fresh.start()
        fresh.meet(context.members)
        for member in context.members:
            if member is not fresh:
                member.quarantine.greet(fresh.name)

    _run(context, act)


@when("{delay_s:d} s later all daemons start again")
def step_restart_all(context, delay_s):
    async def act():
        await asyncio.sleep(delay_s)
        for member in context.members:
            member.start()
        context.net.meet_all()
        for member in context.members:
            member.read_rows()

    _run(context, act)


def _find_blocked(context, *segments):
    request = quarantine_net.make_request("check", *segments)
    return [
        member.name
        for member in context.members
        if member.quarantine.find_blocking(request) is not None
    ]


def _wait(context, is_done, limit_s):
    async def act():
        until_s = time.monotonic() + limit_s
        while not is_done() and time.monotonic() < until_s:
            await asyncio.sleep(0.02)

    _run(context, act)


@then(
    'within {limit_s:d} s requests with "{segment}" are in quarantine at every daemon'
)
def step_everywhere(context, limit_s, segment):
    def is_done():
        return len(_find_blocked(context, "a", segment)) == len(context.members)

    _wait(context, is_done, limit_s)
    assert is_done(), (len(_find_blocked(context, "a", segment)), len(context.members))


@then('within {limit_s:d} s requests with "{segment}" are in quarantine at no daemon')
def step_nowhere(context, limit_s, segment):
    def is_done():
        return not _find_blocked(context, "a", segment)

    _wait(context, is_done, limit_s)
    assert is_done(), _find_blocked(context, "a", segment)


@then("requests without it are in quarantine at none")
def step_sound(context):
    assert not _find_blocked(context, "a", "t1"), _find_blocked(context, "a", "t1")


@then(
    "a daemon has sent at most {most:d} datagrams and {size:d} bytes in each, on "
    "average"
)
def step_cost(context, most, size):
    total = sum(context.net.sent.values())
    mean = total / len(context.members)
    mean_bytes = context.net.sent_bytes / total
    busiest = max(context.net.sent.values())
    print(f"datagrams mean={mean:.1f} busiest={busiest} bytes={mean_bytes:.0f}")
    assert mean <= most, (mean, context.net.sent)
    assert mean_bytes <= size, mean_bytes


@when(
    'a quarantine of "{segment}" is due for a try, and {count:d} requests with '
    '"{segment_again}" come to each daemon'
)
def step_try(context, segment, count, segment_again):
    async def act():
        notice = messages.EntryNotice(segment, (segment,), 0, 31.0, -1.0)
        news = messages.QuarantineNews("near", entries=(notice,))
        for member in context.members:
            member.quarantine.handle(news, "near-x")
        calls = {
            (member.name, number): member.quarantine.allow(
                quarantine_net.make_request(f"try{number}", "a", segment)
            )
            for member in context.members
            for number in range(count)
        }
        allowed = await asyncio.gather(*calls.values())
        context.sent = [
            key for key, is_sent in zip(calls, allowed, strict=True) if is_sent
        ]
        # Claims of other daemons are told meanwhile.
        await asyncio.sleep(0.2)

    _run(context, act)


@then('{count:d} requests with "{segment}" may be sent')
def step_sent(context, count, segment):
    assert len(context.sent) == count, context.sent


@when("the request that was sent is answered")
def step_tried(context):
    ((name, number),) = context.sent
    request = quarantine_net.make_request(f"try{number}", "a", "p")
    _run(
        context,
        lambda: context.net.members[name].quarantine.record_answer(request),
    )


@then("the store holds no quarantine")
def step_no_rows(context):
    keys = [key.key for key in context.net.store.rows]
    assert not any(key.startswith("quarantine/") for key in keys), keys


@when('an item with "{segment}" is answered at the fourth daemon')
def step_item(context, segment):
    _run(
        context,
        lambda: context.members[3].quarantine.record_answer_on(("b", segment)),
    )
