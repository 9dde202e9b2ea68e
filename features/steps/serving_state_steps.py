import asyncio
import collections
import contextlib
import dataclasses
import random
import secrets
import time

from behave import given, then, when

from endivevane import exceptions
from endivevane.platform import records
from endivevane.serving import (
    failures,
    follower,
    item_gate,
    job_changes,
    job_reader,
    job_registry,
    job_takeover,
    jobs,
    peer_registry,
    process_pauses,
    store,
)
from features.support import job_world, serving_fakes


@when("the entry of a target is {entry}")
def step_entry(context, entry):
    context.error = None
    try:
        records.decode_target("i-1", entry.encode())
    except exceptions.ProtocolError as error:
        context.error = error


@then("the entry is rejected")
def step_entry_refused(context):
    assert context.error is not None
    assert "i-1" in context.error.format_message()


@given('targets "a" and "b"')
def step_two_targets(context):
    context.fleet = serving_fakes.Fleet(["a", "b"])
    context.now_s = time.monotonic()


@when('the registration of "a" ends')
def step_registration_ends(context):
    row = serving_fakes.make_row("a", None, 9)
    context.fleet.directory.apply(row, context.now_s)


@when("the store recovers from an outage")
def step_store_recovers(context):
    context.fleet.directory.record_store_recovery(context.now_s)


@when("{seconds:g} s have passed")
def step_passed(context, seconds):
    context.fleet.directory.drop_expired(context.now_s + seconds)


@then('the usable targets are "{names}"')
def step_usable(context, names):
    usable = context.fleet.directory.list_usable("lm")
    found = sorted(known.target.target_id for known in usable)
    assert found == names.split(", "), found


@when('"a" has failed and registers again with a new start time')
def step_restarts(context):
    health = context.fleet.find("a").health
    health.record_failure(context.now_s)
    assert health.is_paused(context.now_s)
    context.fleet.add("a", version=10, born=2)


@then('"a" counts as healthy')
def step_healthy(context):
    assert not context.fleet.find("a").health.is_paused(context.now_s)


class _ScriptedStore(serving_fakes.FakeStore):
    """A store whose history is gone and whose first reads are out of date."""

    def __init__(self):
        super().__init__()
        self.stale_reads = 0
        self.is_history_gone = False

    async def read_rows(self, table, partition, start="", end=""):
        page = await super().read_rows(table, partition, start, end)
        if not self.stale_reads:
            return page
        self.stale_reads -= 1
        rows = tuple(
            store.Row(row.row_key, b"old", row.version - 3) for row in page.rows
        )
        return store.RowPage(rows, page.version - 3)

    async def wait_for_changes(self, table, after_version, wait_s):
        if self.is_history_gone:
            self.is_history_gone = False
            raise failures.StoreHistoryGone("feed", "gone")
        return await super().wait_for_changes(table, after_version, wait_s)


_KEY = store.RowKey("op", "", "config")


@given("a table that a daemon follows, with a row written 5 times")
def step_followed(context):
    context.rows = _ScriptedStore()
    context.seen = []
    context.follower = follower.TableFollower(
        context.rows,
        "op",
        "",
        lambda row: context.seen.append((row.version, row.value)),
    )


def _follow(context, change):
    async def run():
        for number in range(5):
            put = store.Transaction(puts=((_KEY, str(number).encode()),))
            await context.rows.apply(put)
        task = asyncio.ensure_future(context.follower.run())
        await asyncio.sleep(0.15)
        await change()
        await asyncio.sleep(0.8)
        task.cancel()

    asyncio.run(run())


@when(
    "the daemon applies versions 9, 5 and 9 of a row, its deletion at 7, and version 10"
)
def step_apply_older(context):
    for version, value in ((9, b"a"), (5, b"b"), (9, b"c"), (7, None), (10, b"d")):
        context.follower.apply_row(store.Row(_KEY, value, version))


@then("it has reported versions 9 and 10 only")
def step_reported(context):
    assert context.seen == [(9, b"a"), (10, b"d")], context.seen


@when("the history is gone and reads are 3 versions behind for a while")
def step_stale(context):
    async def change():
        context.rows.stale_reads = 3
        context.rows.is_history_gone = True
        await context.rows.apply(store.Transaction(puts=((_KEY, b"last"),)))

    _follow(context, change)


@then("the daemon has seen only increasing versions and ends with the last one")
def step_increasing(context):
    versions = [version for version, _ in context.seen]
    assert versions == sorted(set(versions)), context.seen
    assert context.seen[-1][1] == b"last", context.seen
    assert not context.rows.stale_reads


@when("the row is deleted together with the history")
def step_deleted(context):
    async def change():
        context.rows.is_history_gone = True
        await context.rows.apply(store.Transaction(deletes=(_KEY,)))

    _follow(context, change)


@then("the daemon knows no row")
def step_no_row(context):
    assert context.follower.rows == {}
    assert context.seen[-1][1] is None


async def _commit(daemon, entry, results):
    """Commit results as the runner does; return the current entry and if applied."""
    job = entry.job
    puts = []
    for number, result in enumerate(results):
        prefix = jobs.make_result_prefix(job.job_id, job.listed + number)
        content = jobs.encode_result(result)
        puts.extend(jobs.split_rows(jobs.RESULT_TABLE, prefix, content))
    listed = job.listed + len(results)
    advanced = dataclasses.replace(
        job,
        listed=listed,
        state=jobs.JobState.OPEN if listed < job.total else jobs.JobState.DONE,
        operation=secrets.token_hex(8),
    )
    current = await daemon.changes.replace(entry, advanced, float("inf"), puts)
    is_applied = current is not None and current.job.operation == advanced.operation
    return current, is_applied


async def _simulate(seed, faults, counts):
    rows = serving_fakes.FakeStore(seed, faults)
    generator = random.Random(seed)
    daemons = [job_world.JobDaemon(rows, "a"), job_world.JobDaemon(rows, "b")]
    job_id = f"job{seed}"
    try:
        try:
            await daemons[0].changes.accept(job_world.make_submission(job_id))
        except failures.JobRefused:
            rows._late.clear()
            counts["refused with a row"] += bool(rows.list_jobs(job_id))
            counts["refused"] += 1
            return rows
        except failures.JobUncertain:
            counts["uncertain"] += 1
        await _run_owners(daemons, generator, job_id, counts)
    finally:
        for daemon in daemons:
            daemon.feed.cancel()
    return rows


async def _run_owners(daemons, generator, job_id, counts):
    for _ in range(14):
        daemon = generator.choice(daemons)
        try:
            entry = await daemon.changes.find_stored(job_id)
        except failures.StoreFailure:
            continue
        if entry is None or not entry.job.is_open:
            continue
        action = generator.random()
        if action < 0.3:
            claim = dataclasses.replace(
                entry.job,
                owner=daemon.owner,
                epoch=entry.job.epoch + 1,
                operation=secrets.token_hex(8),
            )
            await daemon.changes.replace(entry, claim, time.monotonic() + 0.2)
            counts["claims"] += 1
        elif action < 0.35:
            await daemon.changes.end(job_id, time.monotonic() + 0.2)
        elif entry.job.owner == daemon.owner:
            done = await _list_done(daemon, job_id, entry.job.listed)
            if done is None:
                continue
            left = [f"{job_id}-{n}" for n in range(3) if f"{job_id}-{n}" not in done]
            text = secrets.token_hex(4)
            results = [jobs.ItemResult(item, True, text) for item in left[:1]]
            await _commit(daemon, entry, results)


async def _list_done(daemon, job_id, listed):
    try:
        results = await daemon.changes.load_results(job_id, 0, listed)
    except failures.StoreFailure:
        return None
    return {result.item_id for result in results.values()}


@when(
    "{count:d} histories of two daemons are simulated with seed {seed:d} and "
    "{share:d} of 100 transactions going wrong"
)
def step_histories(context, count, seed, share):
    # No pauses between attempts, so that many histories fit into the test's time.
    context.counts = collections.Counter()
    context.stores = []
    former, job_changes._RETRY_INTERVAL_S = job_changes._RETRY_INTERVAL_S, 0.0

    async def run():
        for number in range(count):
            rows = await _simulate(seed * 1000 + number, share / 100, context.counts)
            context.stores.append(rows)

    try:
        asyncio.run(run())
    finally:
        job_changes._RETRY_INTERVAL_S = former


@then("each position was written once with one content")
def step_positions(context):
    for rows in context.stores:
        written = collections.Counter(
            key for key, _ in rows.writes if key.table == jobs.RESULT_TABLE
        )
        assert all(times == 1 for times in written.values()), written


@then("no item is listed at two positions")
def step_items_once(context):
    for rows in context.stores:
        results = [
            jobs.decode_result(value)
            for key, value in rows.writes
            if key.table == jobs.RESULT_TABLE
        ]
        items = collections.Counter(result.item_id for result in results)
        assert all(times == 1 for times in items.values()), items


@then("a refused job left no row")
def step_refused_clean(context):
    assert not context.counts["refused with a row"]


@then(
    "the histories had at least {lost:d} lost responses and {claims:d} changes of owner"
)
def step_histories_hard(context, lost, claims):
    found = sum(rows.lost for rows in context.stores)
    assert found >= lost, found
    assert context.counts["claims"] >= claims, context.counts


@given("a quota of {quota:d} tokens")
def step_quota(context, quota):
    context.quota = quota


@when("{daemons:d} daemons accept jobs of 30 tokens at the same moment")
def step_accept_many(context, daemons):
    async def run():
        rows = serving_fakes.FakeStore()
        fleet = [job_world.JobDaemon(rows, f"d{number}") for number in range(daemons)]
        await asyncio.sleep(0.05)
        outcomes = await asyncio.gather(
            *(
                daemon.changes.accept(
                    job_world.make_submission(f"job{number}", quota=context.quota)
                )
                for number, daemon in enumerate(fleet)
            ),
            return_exceptions=True,
        )
        for daemon in fleet:
            daemon.feed.cancel()
        return outcomes

    context.outcomes = asyncio.run(run())


@then("{taken:d} jobs were accepted and the others refused as over the quota")
def step_accepted(context, taken):
    entries = [
        item for item in context.outcomes if isinstance(item, job_registry.JobEntry)
    ]
    refusals = [
        item
        for item in context.outcomes
        if isinstance(item, failures.JobRefused) and item.is_over_quota
    ]
    assert len(entries) == taken, context.outcomes
    assert len(entries) + len(refusals) == len(context.outcomes), context.outcomes


class _LosingStore(serving_fakes.FakeStore):
    """A store that applies nothing and never responds."""

    async def apply(self, change):
        await asyncio.sleep(0)
        raise failures.StoreUncertain("apply", "no response")


@when("the store loses every response while a job is accepted")
def step_lose_all(context):
    async def run():
        daemon = job_world.JobDaemon(_LosingStore(), "a")
        try:
            await daemon.changes.accept(job_world.make_submission("job", left_s=0.6))
        except failures.ServingError as error:
            context.error = error
        daemon.feed.cancel()

    asyncio.run(run())


@then("the outcome is reported as unknown")
def step_unknown(context):
    assert isinstance(context.error, failures.JobUncertain), context.error


class _HangingClient:
    """A target client that counts calls and never gets a response."""

    def __init__(self):
        self.attempts = collections.Counter()

    @contextlib.asynccontextmanager
    async def call(self, known, call, is_idempotent):
        self.attempts[call.attempt_id] += 1
        await asyncio.sleep(3600)
        yield None


class _FullStore(serving_fakes.FakeStore):
    """A store that keeps objects and refuses all transactions."""

    def __init__(self):
        super().__init__()
        self.objects = {}

    async def apply(self, change):
        await asyncio.sleep(0)
        raise failures.StoreRefused("apply", "status 429")

    async def put_object(self, name, content):
        self.objects.setdefault(name, content)

    async def delete_object(self, name):
        self.objects.pop(name, None)


@when(
    "the store refuses all transactions while a job with a payload of over 600 kB is "
    "accepted"
)
def step_refuse_large(context):
    async def run():
        daemon = job_world.JobDaemon(_FullStore(), "a")
        submission = job_world.make_submission("job", items=1, left_s=0.6)
        body = random.Random(1).randbytes(jobs.INLINE_BYTES + 1)
        item = dataclasses.replace(submission.items[0], body=body)
        try:
            await daemon.changes.accept(dataclasses.replace(submission, items=(item,)))
        except failures.ServingError as error:
            context.error = error
        daemon.feed.cancel()
        context.objects = list(daemon.rows.objects)

    asyncio.run(run())


@then("the job is refused and the store holds no object")
def step_refused_without_object(context):
    assert isinstance(context.error, failures.JobRefused), context.error
    assert not context.objects, context.objects


@when("a daemon starts a job of {count:d} items, and again after 100 ms")
def step_start_twice(context, count):
    async def run():
        daemon = job_world.JobDaemon(serving_fakes.FakeStore(), "a")
        fleet = serving_fakes.Fleet(["t0", "t1"])
        context.caller = _HangingClient()
        runner = job_world.make_runner(daemon, fleet, context.caller)
        task = asyncio.ensure_future(runner.run())
        submission = job_world.make_submission("job", items=count)
        entry = await daemon.changes.accept(submission)
        runner.start_job(entry, submission.items)
        await asyncio.sleep(0.1)
        runner.start_job(entry, submission.items)
        await asyncio.sleep(0.4)
        task.cancel()
        daemon.feed.cancel()

    asyncio.run(run())


@then("each of the {count:d} items was sent to a target once")
def step_sent_once(context, count):
    attempts = context.caller.attempts
    assert len(attempts) == count, attempts
    assert set(attempts.values()) == {1}, attempts


@when("a daemon runs a job of {count:d} items whose route is removed")
def step_route_removed(context, count):
    async def run():
        daemon = job_world.JobDaemon(serving_fakes.FakeStore(), "a")
        fleet = serving_fakes.Fleet(["t0"])
        runner = job_world.make_runner(daemon, fleet, _HangingClient(), routes=())
        task = asyncio.ensure_future(runner.run())
        submission = job_world.make_submission("job", items=count)
        entry = await daemon.changes.accept(submission)
        runner.start_job(entry, submission.items)
        await asyncio.sleep(0.5)
        context.early = daemon.registry.entries["job"].job
        for item in runner._owned["job"].runs.values():
            item.routeless_since_s -= item_gate._ROUTE_MISSING_LIMIT_S
        await asyncio.sleep(0.5)
        context.late = daemon.registry.entries["job"].job
        listed = await daemon.changes.load_results("job", 0, count)
        context.states = [result.is_completed for result in listed.values()]
        task.cancel()
        daemon.feed.cancel()

    asyncio.run(run())


@then("0.5 s later nothing is listed")
def step_nothing_listed(context):
    assert context.early.is_open and not context.early.listed, context.early


@then(
    "once the route has been missing for longer than the limit, all are listed "
    "as failed"
)
def step_route_missing(context):
    assert context.late.state is jobs.JobState.DONE, context.late
    assert context.states == [False] * context.late.total, context.states


class _StaleReadStore(serving_fakes.FakeStore):
    """A store whose reads are out of date while ``is_stale`` is set."""

    def __init__(self):
        super().__init__()
        self.is_stale = False
        self.takes_changes = True

    async def read_rows(self, table, partition, start="", end=""):
        if not self.is_stale:
            return await super().read_rows(table, partition, start, end)
        return store.RowPage((), 0)

    async def apply(self, transaction):
        if not self.takes_changes:
            raise failures.StoreRefused("apply", "busy")
        return await super().apply(transaction)


@given(
    "a daemon that has accepted a job, and another one whose store reads are out of "
    "date"
)
def step_old_answers(context):
    context.takes_changes = True


@given("no change of the other one reaches the store")
def step_no_changes(context):
    context.takes_changes = False


@when("the other daemon is asked for {which} before any report has arrived")
def step_ask_other(context, which):
    async def run():
        rows = _StaleReadStore()
        first, second = job_world.JobDaemon(rows, "a"), job_world.JobDaemon(rows, "b")
        for daemon in (first, second):
            # Only the reads under test update the daemons.
            daemon.feed.cancel()
        await first.changes.accept(job_world.make_submission("job"))
        rows.is_stale = True
        rows.takes_changes = context.takes_changes
        reader = job_reader.JobReader(second.registry, second.changes)
        job_id = "job" if which == "the job" else "another"
        context.answer = await _ask_for_job(reader, job_id)

    asyncio.run(run())


async def _ask_for_job(reader, job_id):
    try:
        entry = await reader.find(job_id)
    except failures.StoreFailure:
        return "not sure"
    return "unknown" if entry is None else "found"


@then("it finds the job")
def step_answer_job(context):
    assert context.answer == "found", context.answer


@then("it finds no job")
def step_answer_none(context):
    assert context.answer == "unknown", context.answer


@then("it can't decide whether the job exists")
def step_answer_unsure(context):
    assert context.answer == "not sure", context.answer


@when("a daemon releases a job whose first item has failed {count:d} times")
def step_release(context, count):
    async def run():
        rows = serving_fakes.FakeStore()
        first, second = job_world.JobDaemon(rows, "a"), job_world.JobDaemon(rows, "b")
        fleet = serving_fakes.Fleet([])
        submission = job_world.make_submission("job")
        runner = job_world.make_runner(first, fleet, None)
        runner.start_job(await first.changes.accept(submission), submission.items)
        run = runner._owned["job"].runs["job-0"]
        for _ in range(count):
            runner._owned["job"].failed_runs.record("job-0", 0.0)
        run.pieces, run.last_event = [b"one", b"two"], 2
        await runner.release_jobs()
        entry = await second.changes.find_stored("job")
        context.owner = entry.job.owner
        successor = job_world.make_runner(second, fleet, None)
        progress = await second.changes.load_progress("job")
        taken = jobs.JobProgress(progress=progress)
        successor.start_job(entry, submission.items, taken)
        context.runs = successor._owned["job"].runs
        context.failed_counts = successor._owned["job"].failed_runs.get_counts()
        for daemon in (first, second):
            daemon.feed.cancel()

    asyncio.run(run())


@then("the daemon that takes the job over continues from {count:d} failed runs")
def step_continues(context, count):
    assert context.owner == ""
    assert context.failed_counts == {"job-0": count}, context.failed


@then("it resumes the item after the 2 events received so far")
def step_resumes(context):
    begun = context.runs["job-0"]
    assert (begun.last_event, begun.pieces) == (2, [b"one", b"two"])
    assert context.runs["job-1"].last_event == 0


class _FakePeers:
    """A peer registry with fixed peers that are all alive."""

    def __init__(self, name, stopping):
        self.is_stopping = name == stopping
        self._staying = [item for item in ("a", "b") if item != stopping]

    def list_active(self):
        return self._staying

    def is_alive(self, name, incarnation=""):
        return True

    def is_membership_current(self, now_s):
        return True


@given("a job without an owner and two daemons, of which the {which} is stopping")
def step_unowned(context, which):
    context.stopping = "a" if which == "first" else "b"


@when("both look for jobs to take over")
def step_claim(context):
    async def run():
        rows = serving_fakes.FakeStore()
        daemons = {name: job_world.JobDaemon(rows, name) for name in ("a", "b")}
        daemons["a"].changes.stop_owning()
        await daemons["a"].changes.accept(job_world.make_submission("job"))
        tasks = []
        for name, daemon in daemons.items():
            claims = job_takeover.JobTakeover(
                peer_registry.Identity(name, "r", "1", "10.0.0.1", 1),
                _FakePeers(name, context.stopping),
                daemon.state,
                daemon.registry,
                daemon.changes,
                job_world.make_runner(daemon, serving_fakes.Fleet([]), None),
                process_pauses.ProcessPauses(),
            )
            # As if the daemons had been running for long.
            claims._warmed_up_s = 0.0
            tasks.append(asyncio.ensure_future(claims.run()))
        await asyncio.sleep(1.2)
        entry = await daemons["a"].changes.find_stored("job")
        context.owner = entry.job.owner
        for task in (*tasks, *(daemon.feed for daemon in daemons.values())):
            task.cancel()

    asyncio.run(run())


@then("the {which} owns the job")
def step_owner(context, which):
    assert context.owner == ("a/1" if which == "first" else "b/1"), context.owner
