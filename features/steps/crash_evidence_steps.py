from behave import given, then, when

from endivevane.quarantine import evidence, registry


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
    """Report ends, written as RUN:REQUEST/SEGMENT,... with ~ for one without a head."""
    for item in ends.split():
        run, _, suspect = item.partition(":")
        name, _, segments = suspect.partition("/")
        context.registry.evidence.add_end(
            run,
            10.0 + int(run),
            [
                evidence.Suspect(
                    f"request:{name.lstrip('~')}",
                    tuple(segments.split(",")),
                    had_head=not name.startswith("~"),
                )
            ],
        )
        context.registry.decide(10.0 + int(run))
    for segment in context.later_answers:
        context.registry.evidence.answer_count += 1
        context.registry.record_answers([segment], 20.0)
    context.registry.decide(21.0)


@when("an answer begins on {segments}")
def step_answer(context, segments):
    context.registry.record_answers(_list_items(segments), 22.0)


@then("in quarantine are {quarantined}")
def step_quarantined(context, quarantined):
    expected = set()
    for item in _list_items(quarantined):
        expected.add(item.replace("request ", "request:"))
    found = {"+".join(sorted(entry.traits)) for entry in context.registry.entries}
    assert found == expected, (found, expected)
