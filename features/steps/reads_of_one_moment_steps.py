import asyncio
from unittest import mock

from behave import given, then, when

from endivevane.serving import (
    copy_age,
    failures,
    store,
)
from features.support import paged_store

_DROP_COUNTS = {"kept": 0, "dropped after 1 read": 1, "dropped after 5 reads": 5}


@given("a table of {count:d} rows that a daemon reads in pages of {page:d}")
def step_table(context, count, page):
    assert page == paged_store.PAGE_ROWS
    context.rows = paged_store.PagedStore()
    paged_store.fill(context.rows, count)
    context.copy = paged_store.Copy(context.rows)


@when("a row of an earlier page is {change} between the pages, with the history {kept}")
def step_changed_between(context, change, kept):
    table = context.rows
    changes = {
        "changed": lambda: table.put(paged_store.make_key("row/00001"), b"second"),
        "created": lambda: table.put(paged_store.make_key("row/00001a"), b"new"),
        "deleted": lambda: table.remove(paged_store.make_key("row/00001")),
    }
    drops = iter(range(_DROP_COUNTS[kept]))

    def drop():
        if next(drops, None) is not None:
            # Something else changes, or the history up to here would not be needed.
            table.put(paged_store.make_key("row/00011"), b"later")
            table.drop_history()

    table.after_read = drop
    table.before_page = paged_store.once_between(changes[change])
    paged_store.run(context.copy.follow(paged_store.SETTLE_S))


@when("the daemon writes a row of an earlier page between the pages")
def step_own_row(context):
    table, key = context.rows, paged_store.make_key("row/00001a")

    def write():
        table.put(key, b"own")
        context.copy.follower.apply_row(store.Row(key, b"own", table.version))

    table.before_page = paged_store.once_between(write)
    paged_store.run(context.copy.follow(paged_store.SETTLE_S))


@then("the copy is the store's rows")
def step_equal(context):
    copied = {key: row.version for key, row in context.copy.follower.rows.items()}
    stored = {key.key: version for key, (_, version) in context.rows.rows.items()}
    assert context.copy.is_equal(), (copied, stored)


@then("the copy never lacked a change up to the version that it claimed")
def step_never_lacked(context):
    context.copy.check()
    assert not context.copy.missing, context.copy.missing


@then("no row was reported as deleted")
def step_none_deleted(context):
    deleted = [row.row_key.key for row in context.copy.reported if row.value is None]
    assert not deleted, deleted


@when(
    "each call takes {latency_s:g} s, rows change before each page, and the history is "
    "always gone for {during_s:g} s"
)
def step_always_gone(context, latency_s, during_s):
    table = context.rows
    table.latency_s = latency_s
    context.begun = []

    def change(number):
        if number == 0:
            context.begun.append(table.version)
        table.put(paged_store.make_key(f"row/{number:05}"), b"%d" % table.version)
        table.drop_history()

    table.before_page = change
    table.after_read = lambda: change(1)
    _record_loads(context)
    _follow_then_settle(context, during_s)


def _record_loads(context):
    """Record the version that each full read claims."""
    context.claimed = []
    check = context.copy.check

    def record():
        context.claimed.append(context.copy.follower.version)
        check()

    context.copy.check = record


def _follow_then_settle(context, during_s, poll=None):
    """Follow the table while it is in trouble, and for a time afterwards."""
    table = context.rows
    sound_poll = table.wait_for_changes
    if poll is not None:
        table.wait_for_changes = poll

    async def follow():
        task = asyncio.ensure_future(
            context.copy.follow(during_s + paged_store.SETTLE_S)
        )
        await asyncio.sleep(during_s)
        table.before_page, table.after_read = (lambda number: None), (lambda: None)
        table.wait_for_changes = sound_poll
        table.latency_s = paged_store.LATENCY_S
        await task

    paged_store.run(follow())


@then("each full read showed all changes up to its beginning")
def step_showed_changes(context):
    assert not context.copy.missing, context.copy.missing
    pairs = list(zip(context.begun, context.claimed, strict=False))
    assert pairs
    late = [(begun, claimed) for begun, claimed in pairs if claimed < begun]
    assert not late, late


@then("at least {least:d} and at most {most:d} full reads were made")
def step_read_count(context, least, most):
    assert least <= context.copy.loads <= most, context.copy.loads


@then("{count:d} full read was made")
def step_one_read(context, count):
    assert context.copy.loads == count, context.copy.loads


@when(
    "each call takes {latency_s:g} s, and the first call and that for the third page "
    "fail once"
)
def step_slow_start(context, latency_s):
    context.rows.latency_s = latency_s
    faults = {0, 2}

    def fail(number):
        if number in faults:
            faults.remove(number)
            raise failures.StoreUncertain("rows-get", "no answer")

    def read_clock_s():
        return asyncio.get_running_loop().time()

    context.rows.before_page = fail
    with mock.patch.object(copy_age, "read_clock_s", read_clock_s):
        paged_store.run(context.copy.follow(paged_store.SETTLE_S))
    assert not faults


@then("the copy is from {least:g} to {most:g} s old when it is loaded")
def step_age(context, least, most):
    assert least <= context.copy.first_age_s <= most, context.copy.first_age_s


@when("every other call for a page fails")
def step_every_other(context):
    context.answered = []
    calls = iter(range(10_000))

    def fail(number):
        if next(calls) % 2:
            raise failures.StoreUncertain("rows-get", "no answer")
        context.answered.append(context.rows.calls[-1][1])

    context.rows.before_page = fail
    paged_store.run(context.copy.follow(paged_store.SETTLE_S + 5))


@then("the daemon read each page once, besides the calls that failed")
def step_each_once(context):
    assert len(context.answered) == 10, context.answered
    assert len(set(context.answered)) == 10, context.answered


@when("{count:d} polls fail one after the other and a row changes")
def step_polls_fail(context, count):
    sound_poll, left = context.rows.wait_for_changes, list(range(count))

    async def poll(*arguments):
        if left:
            left.pop()
            context.rows.put(paged_store.make_key("row/00001"), b"second")
            raise failures.StoreUncertain("rows-feed", "no answer")
        return await sound_poll(*arguments)

    context.rows.wait_for_changes = poll
    paged_store.run(context.copy.follow(paged_store.SETTLE_S))
    assert not left


@when("all polls fail for {during_s:g} s while rows change")
def step_all_polls_fail(context, during_s):
    table = context.rows
    context.begun = []

    def change(number):
        if number == 0:
            context.begun.append(table.version)
        table.put(paged_store.make_key("row/00001"), b"%d" % table.version)

    async def poll(*arguments):
        await asyncio.sleep(paged_store.LATENCY_S)
        raise failures.StoreUncertain("rows-feed", "no answer")

    table.before_page = change
    _record_loads(context)
    _follow_then_settle(context, during_s, poll)


@given("the daemon has read the table, and the history is gone")
def step_has_read(context):
    context.is_history_gone = True


@when("the store gives {fault} for {during_s:g} s while rows change")
def step_fault(context, fault, during_s):
    paged_store.run(_meet_fault(context, fault, during_s))


def _answer_badly(table, fault):
    """Return what the store makes of the pages of a read."""

    def answer(number, page):
        names = sorted(table.rows, key=lambda key: key.key)
        found = [store.Row(key, *table.rows[key]) for key in names]
        size = paged_store.PAGE_ROWS
        chosen = {
            "the pages in another order": {0: 1, 1: 0}.get(number, number),
            "the same page twice": 0,
        }.get(fault, number)
        part = tuple(found[chosen * size : (chosen + 1) * size])
        if fault == "no rows and more pages" and number:
            part = ()
        is_lower = fault == "a lower version on the second page" and number
        return store.RowPage(part, table.version - (5 if is_lower else 0), True)

    return answer


async def _meet_fault(context, fault, during_s):
    table, copy = context.rows, context.copy
    task = asyncio.ensure_future(copy.follow(1.0 + during_s + paged_store.SETTLE_S))
    await asyncio.sleep(1.0)
    before = dict(copy.follower.rows)
    assert copy.is_equal()
    sound = table.answer_page
    table.answer_page = _answer_badly(table, fault)
    table.before_page = lambda number: table.put(
        paged_store.make_key("row/00002"), b"%d" % table.version
    )
    table.horizon = float("inf")
    table.calls.clear()
    await asyncio.sleep(during_s)
    context.is_unchanged = before == copy.follower.rows
    context.begun_reads = table.calls.count(("rows-get", ""))
    table.answer_page, table.before_page = sound, lambda number: None
    table.drop_history()
    await task


@then("the copy stayed as it was for that time")
def step_unchanged(context):
    assert context.is_unchanged


@then("the fault was logged")
def step_only_logged(context):
    assert "store_read_inconsistent" in context.copy.events, context.copy.events


@then("the fault was logged, and at most {count:d} reads were begun")
def step_logged(context, count):
    assert "store_read_inconsistent" in context.copy.events, context.copy.events
    assert 2 <= context.begun_reads <= count, context.begun_reads
