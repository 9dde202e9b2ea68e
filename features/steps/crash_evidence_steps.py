import asyncio

from behave import given, then, when

from endivevane.quarantine import evidence, messages, registry
from features.support import serving_world


def _list_items(text):
    return [] if text == "nothing" else [item.strip() for item in text.split(",")]


@given("a daemon that has seen answers on {answered}")
def step_answers(context, answered):
    context.registry = registry.QuarantineRegistry()
    context.later_answers = []
    for item in _list_items(answered):
        segment, _, count = item.partition(" x ")
        earlier, _, is_earlier = item.partition(" ")
        if is_earlier == "earlier":
            # Answers on other segments before any target ended.
            context.registry.evidence.answer_count += int(earlier)
        elif count:
            # Answers on other segments while targets end.
            context.later_answers = [segment] * int(count)
        else:
            context.registry.record_answers([segment], 1.0)


@when("targets end under {ends}")
def step_ends(context, ends):
    """Report ends, written as RUN:REQUEST/SEGMENT,...

    A ~ marks a request without a head, a + one whose answer was under way.
    """
    items = ends.split()
    for position, item in enumerate(items):
        run, _, suspect = item.partition(":")
        name, _, segments = suspect.partition("/")
        context.registry.evidence.add_end(
            run,
            10.0 + int(run),
            [
                evidence.Suspect(
                    f"request:{name.lstrip('~+')}",
                    tuple(segments.split(",")),
                    was_beginning=name[0] not in "~+",
                )
            ],
        )
        if not any(later.startswith(f"{run}:") for later in items[position + 1 :]):
            context.registry.decide(10.0 + int(run))
    for segment in context.later_answers:
        context.registry.evidence.answer_count += 1
        context.registry.record_answers([segment], 20.0)
    context.registry.decide(21.0)


@when("an answer on {segments} is whole")
def step_answer(context, segments):
    context.registry.record_answers(_list_items(segments), 22.0)


@then("in quarantine are {quarantined}")
def step_quarantined(context, quarantined):
    expected = set()
    for item in _list_items(quarantined):
        expected.add(item.replace("request ", "request:"))
    found = {"+".join(sorted(entry.traits)) for entry in context.registry.entries}
    assert found == expected, (found, expected)


def _make_news(now_retry_s=30.0):
    notice = messages.EntryNotice("p", ("p",), 0, 0.0, now_retry_s)
    return messages.QuarantineNews("near", entries=(notice,))


@when("the daemon hears of a quarantine while a request waits for its first event")
def step_hear_during(context):
    async def play(world):
        request = serving_world.make_request(extra=("Prompt-Prefix: a:5,p:5,own:5",))
        call = asyncio.ensure_future(serving_world.send_request(world.port, request))
        while not world.runs:
            await asyncio.sleep(0.01)
        world.quarantine.handle(_make_news(), "front-2")
        reply = await call
        await asyncio.sleep(0.1)
        return reply

    context.reply = serving_world.play(context, play)


@when("the daemon hears of a quarantine before a request arrives")
def step_hear_before(context):
    async def play(world):
        world.quarantine.handle(_make_news(), "front-2")
        request = serving_world.make_request(extra=("Prompt-Prefix: a:5,p:5,own:5",))
        return await serving_world.send_request(world.port, request)

    context.reply = serving_world.play(context, play)


@then("the target has seen its caller leave")
def step_left(context):
    assert [run.ended for run in context.world.runs] == ["cancelled"]


@then("it says to return after {least:d} to {most:d} s")
def step_return(context, least, most):
    assert least <= float(context.reply.headers["retry-after"]) <= most, context.reply


@then("the target has run nothing")
def step_nothing(context):
    assert not context.world.runs, context.world.runs


@when(
    "the daemon hears that the first target has ended, and {count:d} clients request a "
    "stream"
)
def step_hear_end(context, count):
    async def play(world):
        run_key = world.registry.find("a").target.run_key
        suspect = evidence.Suspect("request:r1", ("p",), was_beginning=True)
        report = messages.EndReport(run_key, 0.0, (suspect,), {})
        news = messages.QuarantineNews("near", ends=(report,))
        world.quarantine.handle(news, "front-2")
        replies = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, request))
        return replies

    context.replies = serving_world.play(context, play)


@when(
    'the daemon hears that another target has ended under "{segment}", and {count:d} '
    'requests with "{segment_again}" come'
)
def step_suspects(context, segment, count, segment_again):
    async def play(world):
        suspect = evidence.Suspect("request:r1", ("a", segment), was_beginning=True)
        report = messages.EndReport("other/1", 0.0, (suspect,), {})
        news = messages.QuarantineNews("near", ends=(report,))
        world.quarantine.handle(news, "front-2")
        extra = (f"Prompt-Prefix: a:5,{segment}:5,own:5",)
        # Sent together, since the first answer clears the segment.
        calls = [
            serving_world.send_request(
                world.port,
                serving_world.make_request(attempt=f"attempt{number}", extra=extra),
            )
            for number in range(count)
        ]
        return await asyncio.gather(*calls)

    context.replies = serving_world.play(context, play)


@then("one target has run all of them")
def step_one_target(context):
    counts = [len(item.runs) for item in context.world.replicas.values()]
    assert sorted(counts)[0] == 0, counts
