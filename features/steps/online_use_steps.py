from behave import given, then, when

from endivevane.batch import slack
from endivevane.external import engine

_OWN_ITEMS = 6


@given("a report of {online:d} online requests and 6 own items as of {as_of_ms:d} ms")
def step_report(context, online, as_of_ms):
    running = online + _OWN_ITEMS
    context.make_report = lambda slots: engine.LoadReport(
        as_of_ms / 1000, running, 0, slots, (), "both", 0.0, 0
    )
    context.use = slack.OwnUse()
    context.use.change(0, _OWN_ITEMS)
    context.online = slack.OnlineUse()


@when("a daemon reports {before:d} requests at 900 ms and {after:d} at 1400 ms")
def step_tell(context, before, after):
    context.online.note("d1", before, 900)
    context.online.note("d1", after, 1400)


@then("of {slots:d} slots {room:d} more may be used for batch at {now_ms:d} ms")
def step_room(context, slots, room, now_ms):
    report = context.make_report(slots)
    found = slack.compute_room(report, 0, context.use, context.online, now_ms, 0)
    assert found == room, found
