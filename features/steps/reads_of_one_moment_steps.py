import asyncio
import time
import types

import orjson
from behave import given, then, when

from endivevane.platform import store_relay
from endivevane.serving import (
    failures,
    follower,
    full_read,
    job_changes,
    job_registry,
    jobs,
    model,
    store,
)
from endivevane.stream_versions import plan_writer, rows
from features.support import paged_store

_SETTLE_S = 5.0
_DROP_COUNTS = {"kept": 0, "dropped after 1 read": 1, "dropped after 5 reads": 5}


@given("a table of {count:d} rows that a daemon reads in pages of {page:d}")
def step_table(context, count, page):
    assert page == paged_store.PAGE_ROWS
    context.rows = paged_store.PagedStore()
    paged_store.fill(context.rows, count)
    context.copy = paged_store.Copy(context.rows)


def _once_between(change):
    """Return a callback that makes a change before the second page, once."""
    left = [change]

    def before_page(number):
        if number == 1 and left:
            left.pop()()

    return before_page


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
    table.before_page = _once_between(changes[change])
    paged_store.run(context.copy.follow(_SETTLE_S))


@when("the daemon writes a row of an earlier page between the pages")
def step_own_row(context):
    table, key = context.rows, paged_store.make_key("row/00001a")

    def write():
        table.put(key, b"own")
        context.copy.follower.apply_row(store.Row(key, b"own", table.version))

    table.before_page = _once_between(write)
    paged_store.run(context.copy.follow(_SETTLE_S))


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
        task = asyncio.ensure_future(context.copy.follow(during_s + _SETTLE_S))
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


@when("every other call for a page fails")
def step_every_other(context):
    context.answered = []
    calls = iter(range(10_000))

    def fail(number):
        if next(calls) % 2:
            raise failures.StoreUncertain("rows-get", "no answer")
        context.answered.append(context.rows.calls[-1][1])

    context.rows.before_page = fail
    paged_store.run(context.copy.follow(_SETTLE_S + 5))


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
    paged_store.run(context.copy.follow(_SETTLE_S))
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
    task = asyncio.ensure_future(copy.follow(1.0 + during_s + _SETTLE_S))
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


@then("the fault was logged, and at most {count:d} reads were begun")
def step_logged(context, count):
    assert "store_read_inconsistent" in context.copy.events, context.copy.events
    assert 2 <= context.begun_reads <= count, context.begun_reads


class _EndlessStore:
    """Gives pages of new rows for ever."""

    def __init__(self, page_rows):
        self.pages = 0
        self._page_rows = page_rows

    async def read_rows(self, table, partition, start="", end=""):
        await asyncio.sleep(0)
        first = self.pages * self._page_rows
        self.pages += 1
        found = tuple(
            store.Row(paged_store.make_key(f"row/{number:09}"), b"", 1)
            for number in range(first, first + self._page_rows)
        )
        return store.RowPage(found, self.pages, True)


@given("a store that gives pages of {count:d} new rows without end")
def step_endless(context, count):
    context.rows = _EndlessStore(count)


@when("all rows are read")
def step_read_all(context):
    context.error = None
    try:
        asyncio.run(full_read.read_all(context.rows, paged_store.TABLE, ""))
    except failures.StoreInconsistent as error:
        context.error = error


@then("the read fails as contradictory after at most {count:d} pages")
def step_read_fails(context, count):
    assert context.error is not None
    assert context.rows.pages <= count, context.rows.pages


def _read_relay(copy):
    """Return what a relay answers without the store, from a copy."""
    answers = []
    relay = store_relay.StoreRelay(
        None,
        lambda: types.SimpleNamespace(paused_until_s=float("inf")),
        (store_relay.FollowedRows(paged_store.TABLE, copy.follower),),
    )
    request = types.SimpleNamespace(path="/api/rows-get?table=state&part=&limit=500")
    responder = types.SimpleNamespace(send=answers.append)
    asyncio.run(relay.handle(request, responder))
    return answers[0]


def _fail_after_first(number):
    if number:
        raise failures.StoreRefused("rows-get", "status 503")


@given("a route with a quota of {quota:d} tokens")
def step_quota(context, quota):
    service = model.WeightedService("lm", 1.0)
    context.route = model.Route(
        name="digest",
        host="h",
        prefix="/p/",
        kind=model.RouteKind.BATCH,
        services=(service,),
        timeout_s=15,
        objective_s=0.4,
        priority=2,
        max_attempts=3,
        completion_s=18,
        retention_s=60,
        token_quota=quota,
    )


def _submit(context, job_id, tokens):
    item = jobs.Item(f"{job_id}-0", "/p/x", {"Model": "m"}, b"body", tokens)
    until_s = time.monotonic() + 2.0
    return job_changes.Submission(job_id, "h", "/p/x", context.route, (item,), until_s)


def _make_changes(row_store, owner):
    registry = job_registry.JobRegistry()

    def apply(row):
        if row.row_key.key.startswith(jobs.JOB_PREFIX):
            registry.apply(row)

    state = follower.TableFollower(row_store, jobs.STATE_TABLE, jobs.PARTITION, apply)
    return state, job_changes.JobChanges(row_store, state, registry, owner)


@when("a job of {tokens:d} tokens is stored between the pages of a daemon's full read")
def step_job_between(context, tokens):
    table = context.rows = paged_store.PagedStore()
    # Jobs are before these keys and the quota row after them, so on another page.
    for number in range(paged_store.PAGE_ROWS + 1):
        table.put(paged_store.make_key(f"member/{number}"), b"")
    _, other = _make_changes(table, "other/1")
    state, changes = _make_changes(table, "own/1")
    submission = _submit(context, "first", tokens)
    accepted = other._make_acceptance(submission, other._make_job(submission), [])
    table.before_page = _once_between(lambda: table._apply(accepted))

    async def submit():
        feed = asyncio.ensure_future(state.run())
        while not state.is_loaded:
            await asyncio.sleep(0)
        assert jobs.make_job_key("first").key not in state.rows
        assert jobs.QUOTA_PREFIX + "digest" in state.rows
        try:
            await changes.accept(_submit(context, "second", tokens))
        except failures.JobRefused as error:
            context.refusal = error
        feed.cancel()

    context.refusal = None
    asyncio.run(submit())


@then("the daemon refuses another job of {tokens:d} tokens as over the quota")
def step_over_quota(context, tokens):
    assert context.refusal is not None
    assert context.refusal.is_over_quota


@given("a relay whose copy has read 1 of 3 pages when the store is gone")
def step_half_read(context):
    step_table(context, 12, paged_store.PAGE_ROWS)
    context.rows.before_page = _fail_after_first
    paged_store.run(context.copy.follow(2.0))
    assert ("rows-get", "row/00003\0") in context.rows.calls


@when("another daemon reads the table there")
def step_read_there(context):
    context.answer = _read_relay(context.copy)


@then("the relay answers 503")
def step_relay_503(context):
    assert context.answer.status == 503, context.answer


@then("once it has read all pages it answers all rows in order of their keys")
def step_relay_all(context):
    # A row of the middle that the copy learns last.
    context.rows.before_page = _once_between(
        lambda: context.rows.put(paged_store.make_key("row/00001a"), b"new")
    )
    paged_store.run(context.copy.follow(_SETTLE_S))
    answer = _read_relay(context.copy)
    keys = [row["key"] for row in orjson.loads(answer.body)["rows"]]
    assert keys == sorted(key.key for key in context.rows.rows), keys


@when("the store is gone after the first page, and a relay answers from its memory")
def step_relay_memory(context):
    table = context.rows
    table.before_page = _fail_after_first
    begun = []

    def answer(number, page):
        begun.append(number)
        if len(begun) == 1:
            return page
        found = [store.Row(key, *table.rows[key]) for key in table.rows]
        return store.RowPage(tuple(found), table.version, age_s=5.0)

    async def poll(*arguments):
        raise failures.StoreRefused("rows-feed", "status 503")

    table.answer_page = answer
    table.wait_for_changes = poll
    paged_store.run(context.copy.follow(_SETTLE_S))


@then("the copy is loaded with {count:d} rows, and is not confirmed")
def step_loaded(context, count):
    kept = context.copy.follower
    assert kept.is_loaded and len(kept.rows) == count, kept.rows
    # No answer counted as one of the store.
    assert not kept._confirmed_s, kept._confirmed_s
    assert kept.age.measure_s() >= 5.0


@given("{expired:d} expired records of streams and 1 that is not, in pages of {page:d}")
def step_records(context, expired, page):
    context.rows = paged_store.PagedStore()
    context.rows.page_rows = page
    for number in range(expired + 1):
        written_ms = 1 if number else plan_writer.KEEP_MS
        record = rows.encode_record(rows.StreamRecord("v1", written_ms))
        context.rows.put(rows.make_record_key("lm", f"{number:x}"), record)


@when("the records are swept")
def step_sweep(context):
    clock = types.SimpleNamespace(read_ms=lambda: plan_writer.KEEP_MS + 2)
    writer = plan_writer.PlanWriter(
        None, None, None, context.rows, None, clock, lambda: set()
    )
    paged_store.run(writer._sweep())


@then("only the record that is not expired is left")
def step_one_left(context):
    assert list(context.rows.rows) == [rows.make_record_key("lm", "0")]
