import asyncio
import dataclasses
import json
import secrets
import time
from unittest import mock

from behave import given, then, when

from endivevane.platform import headers, job_codec
from endivevane.serving import (
    copy_age,
    failures,
    job_api,
    job_reader,
    jobs,
    store,
)
from features.support import job_world, out_of_step_world, serving_fakes

# Job ids are hexadecimal on the wire.
_JOB = "5f0e83c1a9d24b76"
_ROW_KEY = jobs.make_job_key(_JOB)
_SETTLE_S = 0.05
_LIMIT_S = 3.0
_HANGING_S = 60.0


class _View(out_of_step_world.StoreView):
    """The store as a daemon reaches it whose copy of the jobs may stand still.

    :ivar feed: what polls and reads of all rows do: ``"goes on"``, ``"hangs"`` or
        ``"keeps failing"``, as large answers do on a link that is full
    :ivar page_version: version of the pages of a job's row, ``None`` for the store's
    :ivar lacks_row: whether these pages lack the row
    :ivar refuses_rows: whether reads of a job's row are refused
    :ivar refuses_changes: whether transactions are refused
    :ivar row_reads: number of reads of the job's row
    """

    def __init__(self, row_store):
        super().__init__(row_store)
        self.feed = "goes on"
        self.page_version = None
        self.lacks_row = False
        self.refuses_rows = False
        self.refuses_changes = False
        self.row_reads = 0

    async def read_rows(self, table, partition, start="", end=""):
        if not start:
            await self._stand_still("read_rows")
        if start != _ROW_KEY.key:
            return await super().read_rows(table, partition, start, end)
        self.row_reads += 1
        if self.refuses_rows:
            raise failures.StoreRefused("read_rows", "status 503")
        page = await super().read_rows(table, partition, start, end)
        if self.page_version is not None:
            page = dataclasses.replace(page, version=self.page_version)
        return dataclasses.replace(page, rows=()) if self.lacks_row else page

    async def wait_for_changes(self, table, after_version, wait_s):
        await self._stand_still("wait_for_changes")
        page = await super().wait_for_changes(table, after_version, wait_s)
        # The poll under way has no answer either.
        await self._stand_still("wait_for_changes")
        return page

    async def apply(self, change):
        if self.refuses_changes:
            raise failures.StoreRefused("apply", "status 503")
        return await super().apply(change)

    async def _stand_still(self, call):
        if self.feed == "hangs":
            await asyncio.sleep(_HANGING_S)
        if self.feed != "goes on":
            raise failures.StoreUncertain(call, "TimeoutError")


class _Play:
    """Two daemons, the second one with its own view of the store."""

    def __init__(self):
        self.rows = serving_fakes.FakeStore()
        self.view = _View(self.rows)
        self.daemons = {
            "a": job_world.JobDaemon(self.rows, "a"),
            "b": job_world.JobDaemon(self.view, "b"),
        }
        self.clients = []
        self._codec = job_codec.JobCodec()
        reading = self.daemons["b"]
        reader = job_reader.JobReader(reading.registry, reading.changes)
        self._api = job_api.JobApi(self._codec, reading.changes, reader, None)

    def find_entry(self, name):
        return self.daemons[name].registry.entries.get(_JOB)

    async def list_results(self, count):
        """Commit results as the owner of the job does."""
        entry = self.find_entry("a")
        listed = entry.job.listed
        puts = []
        for position in range(listed, listed + count):
            result = jobs.ItemResult(f"{_JOB}-{position}", True, f"text {position}")
            prefix = jobs.make_result_prefix(_JOB, position)
            content = jobs.encode_result(result)
            puts += jobs.split_rows(jobs.RESULT_TABLE, prefix, content)
        is_done = listed + count == entry.job.total
        job = dataclasses.replace(
            entry.job,
            listed=listed + count,
            state=jobs.JobState.DONE if is_done else jobs.JobState.OPEN,
            operation=secrets.token_hex(8),
        )
        until_s = time.monotonic() + _LIMIT_S
        current = await self.daemons["a"].changes.replace(entry, job, until_s, puts)
        assert current.job.listed == listed + count

    async def wait_for_row(self):
        """Wait until the second daemon has the newest row of the job."""
        async with asyncio.timeout(_LIMIT_S):
            while (
                self.find_entry("b") is None
                or self.find_entry("b").version != self.rows.rows[_ROW_KEY][1]
            ):
                await asyncio.sleep(0.01)

    async def call(self, path, wait_ms=0):
        """Return the response of the second daemon to a call on the job."""
        raw = [(b"Host", b"h"), (b"Wait-Ms", str(wait_ms).encode())]
        request = headers.HeaderCodec().decode_request(
            b"GET", path.encode(), raw, b"", time.monotonic()
        )
        return await self._api.call(request, self._codec.decode_call(b"GET", path))

    def start_reads(self, position, count=1, wait_ms=0):
        path = f"/api/lots/{_JOB}?after={position}"
        self.clients += [
            asyncio.ensure_future(self.call(path, wait_ms)) for _ in range(count)
        ]

    async def finish_reads(self):
        """Return the status and the item ids of each read, and forget the reads."""
        clients, self.clients = self.clients, []
        async with asyncio.timeout(_LIMIT_S):
            responses = await asyncio.gather(*clients)
        return [_decode(response) for response in responses]

    async def stop(self):
        for daemon in self.daemons.values():
            daemon.feed.cancel()
        feeds = [daemon.feed for daemon in self.daemons.values()]
        await asyncio.gather(*feeds, *self.clients, return_exceptions=True)


def _decode(response):
    """Return the status of a response and its item ids, none unless it is 200."""
    if response.status != 200:
        return int(response.status), None
    content = json.loads(response.body)
    return 200, [result["id"] for result in content["results"]]


def _expect(status, position, count):
    """Return what a read gives, by the words of a step."""
    if status != 200:
        return status, None
    ids = range(position, position + (0 if count == "no" else int(count)))
    return 200, [f"{_JOB}-{number}" for number in ids]


@given('a job of 5 items, 2 of them listed, that daemons "a" and "b" know')
def step_job(context):
    context.loop = asyncio.Runner()
    context.cleanups.append(context.loop.close)

    async def start():
        play = _Play()
        submission = job_world.make_submission(_JOB, items=5)
        await play.daemons["a"].changes.accept(submission)
        await play.list_results(2)
        await play.wait_for_row()
        play.view.row_reads = 0
        return play

    context.play = context.loop.run(start())
    context.cleanups.append(lambda: context.loop.run(context.play.stop()))


async def _settle():
    await asyncio.sleep(_SETTLE_S)


@when('the feed of "b" {fault}')
def step_feed(context, fault):
    context.play.view.feed = fault
    context.loop.run(_settle())


@when('"a" lists {count:d} results')
def step_list(context, count):
    context.loop.run(context.play.list_results(count))


@when('"a" ends the job')
def step_end(context):
    changes = context.play.daemons["a"].changes
    assert context.loop.run(changes.end(_JOB, time.monotonic() + _LIMIT_S))


@when('"b" has the row of the job')
def step_has_row(context):
    context.loop.run(context.play.wait_for_row())


@when('the copy of "b" is {age_s:f} s old')
def step_age(context, age_s):
    # The clock stands still, so that a slow machine makes the copy no older.
    copy = context.play.daemons["b"].state.age
    now_s = copy_age.read_clock_s() - copy.measure_s() + age_s
    clock = mock.patch.object(copy_age, "read_clock_s", lambda: now_s)
    clock.start()
    context.cleanups.append(clock.stop)
    context.loop.run(_settle())


async def _lose_store(context, manner):
    context.play.view.lose(manner)


@when('the store refuses the calls of "b"')
def step_refuse(context):
    context.loop.run(_lose_store(context, "refuses"))


@when('the store {manner} the calls of "b" for rows of jobs')
def step_refuse_rows(context, manner):
    context.play.view.refuses_rows = manner == "refuses"


@when('the pages that "b" reads have the {which} version that it was told')
def step_page_version(context, which):
    newest = context.play.rows.version + 7
    context.play.daemons["b"].state.newest.record(newest)
    is_newest = which == "newest"
    context.play.view.page_version = newest if is_newest else newest - 1


@when('"b" is told a newer version')
def step_told(context):
    context.play.daemons["b"].state.newest.record(context.play.rows.version + 7)


@when("the row of the job becomes unreadable")
def step_unreadable(context):
    context.play.rows.put(_ROW_KEY, b"no job")


@when("the job {is_there} and pages lack its row")
def step_lacks_row(context, is_there):
    context.play.view.lacks_row = True
    if is_there == "is deleted":
        change = store.Transaction(deletes=(_ROW_KEY,))
        context.loop.run(context.play.rows.apply(change))


@when('transactions of "b" {outcome}')
def step_transactions(context, outcome):
    context.play.view.refuses_changes = outcome == "are refused"


@when('the answers of the store to "b" are held')
def step_hold(context):
    context.loop.run(_lose_store(context, "held"))


@when('the answers of the store reach "b"')
def step_release_answers(context):
    context.play.view.regain()


@when('a client reads at "b" from position {position:d}')
def step_start_read(context, position):
    step_start_reads(context, 1, position)


@when('{count:d} clients read at "b" from position {position:d}')
def step_start_reads(context, count, position):
    async def start():
        context.play.start_reads(position, count)
        await _settle()

    context.position = position
    context.loop.run(start())


@when('a client reads at "b" from position {position:d} and waits for {wait_s:f} s')
def step_start_wait(context, position, wait_s):
    async def start():
        context.play.start_reads(position, wait_ms=int(wait_s * 1000))
        await _settle()

    context.position = position
    context.loop.run(start())


@when("the first client leaves")
def step_leave(context):
    async def leave():
        context.play.clients.pop(0).cancel()
        await _settle()

    context.loop.run(leave())


@when('"b" gets the new row of the job from a transaction')
def step_new_row(context):
    value, version = context.play.rows.rows[_ROW_KEY]
    state = context.play.daemons["b"].state
    assert state.apply_row(store.Row(_ROW_KEY, value, version))


@then('a read at "b" from position {position:d} gives {status:d} and {count} results')
def step_read(context, position, status, count):
    step_reads(context, 1, position, status, count)


@then(
    '{reads:d} reads at "b" from position {position:d} give {status:d} and {count} '
    "results"
)
def step_reads(context, reads, position, status, count):
    async def read():
        context.play.start_reads(position, reads)
        return await context.play.finish_reads()

    found = context.loop.run(read())
    assert found == [_expect(status, position, count)] * reads, found


@then("the client gets {status:d} and {count} results")
@then("the others get {status:d} and {count} results")
def step_clients_get(context, status, count):
    found = context.loop.run(context.play.finish_reads())
    assert found, "no client is left"
    assert found == [_expect(status, context.position, count)] * len(found), found


@then("the first client gets 200, and the others get {status:d} and {count} results")
def step_first_and_others(context, status, count):
    (first_status, _), *others = context.loop.run(context.play.finish_reads())
    # A result that was listed after it asked may be missing.
    assert first_status == 200
    expected = _expect(status, context.position, count)
    assert others == [expected] * len(others), others


@then('a read at "b" of the body of an item gives {status:d}')
def step_read_body(context, status):
    path = f"/api/items/{_JOB}?id={_JOB}-0"
    response = context.loop.run(context.play.call(path))
    assert (response.status, response.body) == (status, b"body"), response


@then('"b" has read the row of the job {reads:d} times')
def step_row_reads(context, reads):
    assert context.play.view.row_reads == reads, context.play.view.row_reads
