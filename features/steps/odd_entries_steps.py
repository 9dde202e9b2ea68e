import asyncio
import contextlib
import json
import socket
import time

from behave import given, then, when

from endivevane import logs
from endivevane.platform import records, table_store
from endivevane.serving import (
    follower,
    http_client,
    target_registry,
)
from features.support import odd_values, serving_fakes, serving_world
from standins import replica

_ODD_IDS = ("", "a b", "a\r\nb: c", "\u00e9", "x" * 201)


class _LogLines:
    """Counts the log lines of an event by the value of one field."""

    def __init__(self, event, field):
        self._event = event
        self._field = field
        self.counts = {}
        logs.add_observer(self._observe)

    def _observe(self, event, fields):
        if event == self._event:
            key = fields[self._field]
            self.counts[key] = self.counts.get(key, 0) + 1


def _make_odd_entry(field, value):
    odd = odd_values.ODD_VALUES.get(value, value.encode())
    return odd_values.dump_with(odd_values.describe_target(), field, odd)


@when("{count:d} clients request beside an entry whose {field} is {value}")
def step_requests_beside_odd(context, count, field, value):
    context.lines = _LogLines("target_entry_unusable", "target")
    entry = _make_odd_entry(field, value)

    async def act(world):
        row = serving_fakes.make_row("odd", entry, 9)
        world.registry.apply(row, time.monotonic())
        requests = [
            serving_world.send_request(
                world.port, serving_world.make_request(attempt=f"attempt{number}")
            )
            for number in range(count)
        ]
        return await asyncio.gather(*requests)

    context.replies = serving_world.play(context, act)


@then("all of them are served")
def step_all_served(context):
    statuses = [reply.status for reply in context.replies]
    assert statuses == [200] * len(statuses), statuses


@then("the odd entry has left 1 log line and no target")
def step_no_odd_target(context):
    assert context.world.registry.find("odd") is None
    assert context.lines.counts == {"odd": 1}, context.lines.counts


@given("a daemon that follows a table through its targets' registrations")
def step_followed_targets(context):
    context.registry = target_registry.TargetRegistry(records.decode_target)
    context.rows = serving_fakes.FakeStore()
    context.feed = follower.TableFollower(
        context.rows,
        "servers",
        "",
        lambda row: context.registry.apply(row, time.monotonic()),
    )
    context.lines = _LogLines("target_entry_unusable", "target")


@when("the table holds each odd value in each field of an entry, then a sound entry")
def step_every_odd_entry(context):
    sound = odd_values.describe_target()
    context.odd_keys = {
        f"{field}={value.replace(' ', '-')}": odd_values.dump_with(sound, field, odd)
        for field in sound
        for value, odd in odd_values.ODD_VALUES.items()
    }
    entry = json.dumps(sound).encode()
    context.odd_keys.update(dict.fromkeys(_ODD_IDS, entry))
    context.feed_table = "servers"
    rows = [*context.odd_keys.items(), ("sound", entry)]
    asyncio.run(odd_values.follow(context, rows))


@then("each odd entry has left 1 log line and no target")
def step_no_odd_targets(context):
    found = [known.target.target_id for known in context.registry.list_all()]
    assert found == ["sound"], found
    wrong = {
        key: context.lines.counts.get(key, 0)
        for key in context.odd_keys
        if context.lines.counts.get(key, 0) != 1
    }
    assert not wrong, wrong


@then("the sound entry has made a target")
def step_sound_target(context):
    assert context.registry.find("sound") is not None


_ODD_ROWS = {
    "a row whose observer fails": '{"key": "odd", "ver": 2, "value": ""}',
    "a row whose observer overflows": '{"key": "odd", "ver": 2, "value": ""}',
    "a value that is not ASCII": '{"key": "odd", "ver": 2, "value": "\u00e9\u00e9"}',
    "a value of 401 digits": '{"key": "odd", "ver": 2, "value": 1%s}' % ("0" * 300),
    "a value that is a list": '{"key": "odd", "ver": 2, "value": [[]]}',
    "a row without a key": '{"ver": 2, "value": ""}',
    "a row without a version": '{"key": "odd", "ver": null, "value": ""}',
    "a row that is a number": "5",
    "a key that is a number": '{"key": 5, "ver": 2, "value": ""}',
}
_FAILURES = {
    "a row whose observer fails": RecursionError("too deep"),
    "a row whose observer overflows": OverflowError("too large"),
}


class _ScriptedPool:
    """Answers the calls of a store's client with prepared bodies, then never."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)

    async def call(self, *_arguments):
        if not self._bodies:
            await asyncio.sleep(60)
        return http_client.HttpResponse(200, (), self._bodies.pop(0).encode())


@given("a daemon that follows a table whose first read has {row}")
def step_odd_row(context, row):
    sound = '{"key": "sound", "ver": 1, "value": ""}'
    late = '{"key": "late", "ver": 3, "value": ""}'
    pool = _ScriptedPool(
        f'{{"rows": [{sound}, {_ODD_ROWS[row]}], "ver": 2, "hasMore": false}}',
        f'{{"rows": [{late}], "ver": 3}}',
    )
    endpoint = http_client.Endpoint("127.0.0.1", 9)
    context.seen = []

    def observe(observed):
        context.seen.append(observed.row_key.key)
        if observed.row_key.key == "odd" and row in _FAILURES:
            raise _FAILURES[row]

    context.feed = follower.TableFollower(
        table_store.TableStore(pool, lambda: [endpoint]), "t", "", observe
    )


@when("the daemon has read the table, and a sound row is written")
def step_read_odd_table(context):
    async def run():
        feed = asyncio.ensure_future(context.feed.run())
        await context.feed.wait_until(3, 1.0)
        feed.cancel()
        with contextlib.suppress(Exception, asyncio.CancelledError):
            await feed

    asyncio.run(run())


@then('it has reported the rows "{keys}"')
def step_reported_rows(context, keys):
    assert context.seen == keys.split(", "), context.seen


def _write_odd_rows(standin):
    """Write rows as another writer of the store would."""
    for number, value in enumerate(odd_values.ODD_VALUES.values()):
        for table, prefix in (("servers", ""), ("op", ""), ("state", "member/")):
            standin.write(table, f"{prefix}odd{number}", value)
        for field in ("slots", "address", "born"):
            entry = _make_odd_entry(field, value.decode("latin-1"))
            standin.write("servers", f"odd{field}{number}", entry)
        for prefix in ("job/", "quarantine/", "other/"):
            standin.write("state", f"{prefix}odd{number}", value)
        member = ["near", "10.0.0.1", 0, "r", 1.0]
        member = odd_values.dump_with(member, 2, value)
        standin.write("state", f"member/port{number}", member)


@when("odd rows are written to each table, and odd datagrams are sent")
def step_odd_everywhere(context):
    fleet = context.fleet
    fleet.call(_write_odd_rows, fleet.store)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        for daemon in fleet.daemons:
            for value in odd_values.ODD_VALUES.values():
                for data in (value, b'["report",' + value + b"]"):
                    sender.sendto(data[:60_000], (daemon.ip, daemon.internal_port))


@when("both targets are replaced by a new one")
def step_replace_targets(context):
    fleet = context.fleet
    context.new = replica.Replica("i-new")
    fleet.loop.run(context.new.start())
    fleet.call(fleet.store.write, "servers", "i-new", context.new.describe("lm"))
    for item in fleet.replicas:
        fleet.call(fleet.store.write, "servers", item.name, None)


@then("each daemon serves a request at the new target within {limit_s:g} s")
def step_new_target_serves(context, limit_s):
    until_s = time.monotonic() + limit_s
    for number, daemon in enumerate(context.fleet.daemons):
        attempt = f"new{number}x"
        while attempt not in [run.attempt for run in context.new.runs]:
            assert time.monotonic() < until_s, daemon.log_path.read_text()[-2000:]
            attempt += "x"
            request = serving_world.make_request(attempt=attempt)
            reply = context.fleet.ask(daemon, request)
            assert reply.status == 200, reply


@then("no daemon has ended or failed to apply a row")
def step_no_daemon_ended(context):
    for daemon in context.fleet.daemons:
        assert daemon.process.poll() is None
        log = daemon.log_path.read_text()
        assert "row_not_applied" not in log and "Traceback" not in log, log[-3000:]
    context.fleet.loop.run(context.new.stop())
