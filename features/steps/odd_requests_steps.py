import asyncio
import collections
import contextlib
import itertools
import json
import re
import time
import urllib.parse
import zlib

from behave import given, then, when

from endivevane import logs
from endivevane.platform import headers
from endivevane.serving import (
    event_sequence,
    failures,
    follower,
    job_changes,
    job_reader,
    job_registry,
    jobs,
    sse,
    store,
)
from features.support import odd_values, serving_fakes, serving_world

_MAX_ANSWER_S = 3.0
_UNSURE = "unsure"
_DAY_S = 86_400.0
_JOB = "job0001"

_ITEM = {
    "id": "item1",
    "path": "/digest/1",
    "headers": {"Model": "m"},
    "body": "aGVsbG8=",
    "tokens": 5,
}
# As the configuration of the fleet says.
_MAX_BODY_BYTES = 100_000
_HARMLESS_IN_ITEMS = {"headers": ("an empty object",), "body": ("an empty text",)}
_ODD_ITEM_VALUES = {
    **odd_values.ODD_VALUES,
    "fewer nested lists": b"[" * 40_000 + b"]" * 40_000,
    "a text that is not Latin-1": '"\u65e5"'.encode(),
    "a header with a line break": b'{"a": "b\\r\\nc: d"}',
    "a header that is not Latin-1": '{"a": "\u65e5"}'.encode(),
    "a header without a name": b'{"": "a"}',
}


def _post_job(context, case, job_id, body):
    lines = (
        "POST /digest/1 HTTP/1.1",
        f"Host: {serving_world.HOST}",
        f"Attempt-Id: {job_id}",
        "Deadline-Ms: 1500",
        f"Content-Length: {len(body)}",
    )
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    reply = context.fleet.ask(context.fleet.daemons[0], request)
    context.cases.append(case)
    expected = 413 if len(body) > _MAX_BODY_BYTES else 400
    if reply.status != expected:
        context.wrong[case] = reply.status


@when("jobs with each odd value in each field of an item are submitted")
def step_odd_jobs(context):
    context.cases, context.wrong = [], {}
    for field in _ITEM:
        for value, odd in _ODD_ITEM_VALUES.items():
            if value in _HARMLESS_IN_ITEMS.get(field, ()):
                continue
            item = odd_values.dump_with(_ITEM, field, odd)
            body = b'{"items": [' + item + b"]}"
            _post_job(context, f"{field}: {value}", f"job{len(context.cases)}", body)
    sound = json.dumps({"items": [_ITEM]}).encode()
    for job_id in ("a/b", "a b", "\u00e9", "x" * 91):
        _post_job(context, f"job {job_id}", job_id, sound)


@then("each of these jobs is refused with 400, or 413 where it is too long")
def step_odd_jobs_refused(context):
    assert context.cases and not context.wrong, context.wrong


_ODD_NUMBERS = ("9" * 401, "nan", "inf", "-inf", "1e400", "-1", "", "\u00b2", "\u00e9")


def _list_odd_requests():
    """Return heads of requests with an odd number."""
    for number in _ODD_NUMBERS:
        for name in ("Deadline-Ms", "Last-Event-Id", "Content-Length"):
            yield f"POST /quote/1 HTTP/1.1\r\n{name}: {number}\r\n"
        yield f"POST /digest/1 HTTP/1.1\r\nDeadline-Ms: {number}\r\n"
        yield f"GET /api/lots/{_JOB}?after=0 HTTP/1.1\r\nWait-Ms: {number}\r\n"
        yield f"DELETE /api/lots/other HTTP/1.1\r\nDeadline-Ms: {number}\r\n"
        query = urllib.parse.quote(number)
        yield f"GET /api/lots/{_JOB}?after={query} HTTP/1.1\r\n"
        yield f"GET /api/items/{_JOB}?id={query} HTTP/1.1\r\n"


@when("clients send odd numbers with requests, submissions and calls on the job")
def step_odd_numbers(context):
    context.wrong = []
    for number, head in enumerate(_list_odd_requests()):
        ids = f"Host: {serving_world.HOST}\r\nAttempt-Id: n{number}\r\n\r\n"
        request = (head + ids).encode("latin-1")
        reply = context.fleet.ask(context.fleet.daemons[0], request)
        if reply.status in (0, 500) or reply.elapsed_s > _MAX_ANSWER_S:
            context.wrong.append((head, reply.status, reply.elapsed_s))


@then("each of them is answered within 3 s, and none with 500")
def step_odd_numbers_answered(context):
    assert not context.wrong, context.wrong


@when("a daemon reads heads with each odd number as a time")
def step_odd_times(context):
    codec = headers.HeaderCodec()
    context.times_s = []
    for number in _ODD_NUMBERS:
        value = number.encode("latin-1")
        raw = [(b"Deadline-Ms", value), (b"Wait-Ms", value)]
        request = codec.decode_request(b"POST", b"/", raw, b"", 0.0)
        raw = [(b"Keep-Alive", b"timeout=" + value)]
        reply = codec.decode_reply(200, b"OK", raw)
        context.times_s += [request.deadline_s, request.wait_s, reply.idle_timeout_s]


@then("each of these times is missing, or at most one day")
def step_times_end(context):
    wrong = [time_s for time_s in context.times_s if time_s and not time_s <= _DAY_S]
    assert not wrong, wrong


async def _answer_oddly(line, asked, reader, writer):
    """Answer requests with 200 and one odd line in each head."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(b"hello"))
            asked.append(head)
            attempt = re.search(rb"(?i)attempt-id: (\S+)", head)
            lines = [b"HTTP/1.1 200 OK", b"Response-Signature: x", line]
            if b"Content-Length" not in line:
                lines.append(b"Content-Length: 2")
            if b"Attempt-Id" not in line:
                lines.append(b"Attempt-Id: " + attempt.group(1))
            writer.write(b"\r\n".join(lines) + b"\r\n\r\nok")
    writer.close()


@when('{count:d} clients request beside a target that answers with "{line}: {value}"')
def step_odd_heads(context, count, line, value):
    text = value.replace("DIGITS", "9" * 401).replace("\\xe9", "\u00e9")
    odd = f"{line}: {text}".encode("latin-1")
    events = context.events = collections.Counter()
    logs.add_observer(lambda event, _fields: events.update([event]))

    asked = context.asked = []

    async def act(world):
        server = await asyncio.start_server(
            lambda reader, writer: _answer_oddly(odd, asked, reader, writer),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        entry = {**odd_values.describe_target(), "address": f"127.0.0.1:{port}"}
        row = serving_fakes.make_row("odd", json.dumps(entry).encode(), 9)
        world.registry.apply(row, time.monotonic())
        replies = []
        for number in range(count):
            data = serving_world.make_request(attempt=f"attempt{number}")
            replies.append(await serving_world.send_request(world.port, data))
        server.close()
        return replies

    context.replies = serving_world.play(context, act)


@then("no handler has failed")
def step_no_handler_failed(context):
    assert context.asked
    assert not context.events["handler_failed"], context.events


@when("an item gets an event with a number of {digits:d} digits")
def step_long_event_id(context, digits):
    sequence = event_sequence.EventSequence()
    context.is_added = sequence.accept(sse.Event(b"", b"9" * digits, b"data"))


@then("the event is not added")
def step_event_not_added(context):
    assert not context.is_added


class _StoredJob:
    """A job in a store, and a daemon that has not read its rows yet."""

    def __init__(self):
        self.rows = serving_fakes.FakeStore()
        self.job = jobs.Job(
            "j", "h", "/p/", "r", 2, 1, 1, 1, jobs.JobState.OPEN, "", 1, 2, 0, "o"
        )
        item = jobs.Item("i1", "/p/1", {"a": "b"}, b"body", 5)
        self.payload = jobs.encode_items([item])
        self.results = [
            jobs.encode_result(jobs.ItemResult(f"i{n}", True, "text")) for n in (0, 1)
        ]
        self.progress = jobs.encode_progress(jobs.Progress(1, [b"piece"]))

    def make_daemon(self):
        registry = job_registry.JobRegistry()
        row = store.Row(jobs.make_job_key("j"), jobs.encode_job(self.job), 1)
        registry.apply(row)
        feed = follower.TableFollower(self.rows, jobs.STATE_TABLE, "", registry.apply)
        changes = job_changes.JobChanges(self.rows, feed, registry, "d/1")
        return changes, job_reader.JobReader(registry, changes)

    async def write(self, payload, result, progress):
        puts = [
            (store.RowKey(jobs.PAYLOAD_TABLE, "", "j/0000"), payload),
            (store.RowKey(jobs.RESULT_TABLE, "", "j/000000/0000"), result),
            (store.RowKey(jobs.RESULT_TABLE, "", "j/000001/0000"), self.results[1]),
            (jobs.make_progress_key("j", "i0"), progress),
            (jobs.make_progress_key("j", "i1"), self.progress),
        ]
        await self.rows.apply(store.Transaction(puts=tuple(puts)))


def _list_odd_contents(fields):
    """Return contents, compressed or not, in which one part is odd."""
    for odd in odd_values.ODD_VALUES.values():
        yield odd
        yield zlib.compress(odd)
        for name in range(len(fields)):
            yield zlib.compress(odd_values.dump_with(fields, name, odd))


@given("a stored job with 2 results and the progress of 2 items")
def step_stored_job(context):
    context.stored = _StoredJob()


def _list_odd_payloads():
    """Return payloads of one item in which one part of its head is odd."""
    for odd in odd_values.ODD_VALUES.values():
        for name in range(5):
            head = odd_values.dump_with(["i1", "/p/1", {}, 5, 4], name, odd)
            packed = b"[" + head + b"]"
            yield zlib.compress(len(packed).to_bytes(4, "big") + packed + b"body")


async def _read_or_unsure(call):
    try:
        return await call
    except failures.StoreFailure:
        return _UNSURE


async def _read_beside_odd_rows(context):
    stored = context.stored
    odd_rows = itertools.zip_longest(
        _list_odd_contents(["i0", True, "text"]),
        (*_list_odd_contents([]), *_list_odd_payloads()),
        _list_odd_contents([1, ["piece"], "v1", "lm"]),
        fillvalue=b"",
    )
    for result, payload, progress in odd_rows:
        await stored.write(payload, result, progress)
        changes, reader = stored.make_daemon()
        context.bodies.append(await _read_or_unsure(reader.read_body("j", "i1")))
        context.read.append((await reader.read("j", 1, 0.0))[1][0].item_id)
        context.progress.append((await changes.load_progress("j"))["i1"].last_event)


@when("each odd value takes the place of each part of its first rows")
def step_odd_job_rows(context):
    context.bodies, context.read, context.progress = [], [], []
    asyncio.run(_read_beside_odd_rows(context))


@then("a read of the item whose rows are odd is unsure, or finds what they hold")
def step_unsure(context):
    assert len(context.bodies) > len(odd_values.ODD_VALUES)
    # An odd text is the id of another item, or its path.
    assert set(context.bodies) == {_UNSURE, None, b"body"}, context.bodies


@then("the second result and the progress of the second item are read")
def step_sound_rows_read(context):
    assert set(context.read) == {"i1"}, context.read
    assert set(context.progress) == {1}, context.progress
