import asyncio
import time
import types

import orjson
from behave import given, then, when

from endivevane import logs
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
    context.copy = types.SimpleNamespace(events=[])
    logs.add_observer(lambda event, _fields: context.copy.events.append(event))
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
    table.before_page = paged_store.once_between(lambda: table._apply(accepted))

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
    context.rows = paged_store.PagedStore()
    paged_store.fill(context.rows)
    context.copy = paged_store.Copy(context.rows)
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
    context.rows.before_page = paged_store.once_between(
        lambda: context.rows.put(paged_store.make_key("row/00001a"), b"new")
    )
    paged_store.run(context.copy.follow(paged_store.SETTLE_S))
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
    paged_store.run(context.copy.follow(paged_store.SETTLE_S))


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
