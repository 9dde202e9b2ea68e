import asyncio
import json
import re
import signal
import time
import types
import urllib.request
from unittest import mock

from aiohttp import web
from behave import given, then, when

from endivevane.entry import copy_endpoints, membership
from endivevane.platform import copied_feed, table_store
from endivevane.serving import (
    copy_age,
    follower,
    http_client,
    jobs,
    peer_registry,
    store,
)
from features.support import serving_fakes, serving_processes, serving_world
from standins import row_store

_TARGETS = 2
# Polls that began before the daemons knew each other have ended after this time.
_SETTLE_S = 4.0
_START_AHEAD_S = 2.0
_FOLLOWED_S = 10.0
_IN_FORCE = re.compile(r"event=configuration_in_force version=(\d+)")


def _add_routes(configuration, count):
    """Return the next version of a configuration, with so many routes more."""
    added = [
        {
            "name": f"r-{number:06x}",
            "host": f"host{number % 7}.example",
            "prefix": f"/added{number:05d}/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "goalMs": 310,
            "priority": 0,
            "service": "lm",
            "maxAttempts": 2,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 500,
        }
        for number in range(count)
    ]
    return {
        **configuration,
        "version": configuration["version"] + 3,
        "routes": [*configuration["routes"], *added],
    }


def _read_version(daemon):
    """Return the newest version of the configuration that a daemon has logged."""
    found = _IN_FORCE.findall(daemon.log_path.read_text())
    return max((int(version) for version in found), default=0)


@given("a region of {count:d} daemons with few routes")
def step_region(context, count):
    fleet = serving_processes.Fleet(targets=_TARGETS, daemons=count)
    context.cleanups.append(fleet.stop)
    context.fleet = fleet
    context.lost = []
    time.sleep(_SETTLE_S)


@when("the operator publishes {count:d} routes more")
def step_publish(context, count):
    fleet = context.fleet
    context.configuration = _add_routes(fleet.configuration, count)
    fleet.call(fleet.store.sent_bytes.clear)
    fleet.call(fleet.store.write, "op", "config", context.configuration)
    context.acked_s = time.monotonic()


@then(
    "all daemons have the new configuration within {limit:d} s of its acknowledgement"
)
def step_in_force(context, limit):
    wanted = context.configuration["version"]
    late = [item for item in context.fleet.daemons if item not in context.lost]
    while late and time.monotonic() < context.acked_s + limit:
        time.sleep(0.05)
        late = [item for item in late if _read_version(item) < wanted]
    assert not late, [(item.name, _read_version(item)) for item in late]


@then("the store has sent the configuration at most {most:d} times")
def step_sent(context, most):
    # The answer to a poll that was under way may still be on its way.
    time.sleep(1.0)
    sent = context.fleet.call(lambda: context.fleet.store.sent_bytes["op"])
    size = len(json.dumps(context.configuration)) * 4 / 3
    assert sent <= most * size * 1.1, f"{sent / size:.1f} times {size:.0f} bytes"


@given("a link to the store that carries {rate:d} MB/s")
def step_link(context, rate):
    context.fleet.store.faults.link_bytes_per_s = rate * 1e6


@when(
    "the operator publishes {count:d} routes more, and changes them each second for "
    "{duration:d} s"
)
def step_publish_often(context, count, duration):
    fleet = context.fleet
    configuration = _add_routes(fleet.configuration, count)
    context.read_s = []
    for _ in range(duration):
        configuration = {**configuration, "version": configuration["version"] + 1}
        fleet.call(fleet.store.write, "op", "config", configuration)
        context.acked_s = time.monotonic()
        context.read_s.append(_measure_read(fleet))
        time.sleep(max(0.0, context.acked_s + 1.0 - time.monotonic()))
    context.configuration = configuration


def _measure_read(fleet):
    """Return how long a read of the targets takes over the link."""
    started_s = time.monotonic()
    url = f"http://127.0.0.1:{fleet.store_port}/api/rows-get?table=servers&part="
    with urllib.request.urlopen(url, timeout=30) as answer:
        answer.read()
    return time.monotonic() - started_s


@then("no answer of the store to a read of another table takes more than {limit:d} s")
def step_reads(context, limit):
    assert max(context.read_s) <= limit, context.read_s


def _find_readers(fleet):
    """Return the daemons of the fleet that read for the others, the first one first."""
    own = peer_registry.Identity("nobody", "near", "1", "127.0.0.1", 1)
    registry = peer_registry.PeerRegistry(own)
    for item in fleet.daemons:
        peer = peer_registry.Peer(item.name, "near", item.ip, 1, "1")
        peer.last_seen_s = time.monotonic()
        registry.add(peer)
    ranked = registry.rank("near", time.monotonic())
    return [item for name in ranked for item in fleet.daemons if item.name == name]


@when("{count:d} of its 2 readers {fate}")
def step_lose_readers(context, count, fate):
    readers = _find_readers(context.fleet)
    assert len(readers) == 2, readers
    context.lost = readers[:count]
    number = signal.SIGKILL if fate == "end" else signal.SIGSTOP
    for item in context.lost:
        serving_processes.send_signal(item, number)


@when("the store holds {count:d} rows of jobs")
def step_jobs(context, count):
    fleet = context.fleet

    def write():
        for number in range(count):
            fleet.store.write("state", f"job/{number:016x}", _make_ended_job(number))

    fleet.call(write)
    rows = fleet.call(lambda: fleet.store.list_values("state"))
    context.job_bytes = sum(
        len(value) * 4 / 3 for key, value in rows.items() if key.startswith("job/")
    )


def _make_ended_job(number):
    """Return the value of the row of a job that has ended a moment ago."""
    now_ms = int(time.time() * 1000)
    job = jobs.Job(
        job_id=f"{number:016x}",
        host=serving_world.HOST,
        path=f"/digest/{number}",
        route="digest",
        total=10,
        created_ms=now_ms,
        due_ms=now_ms + 18000,
        chunks=1,
        state=jobs.JobState.ENDED,
        owner="front-1/00000000",
        epoch=1,
        listed=10,
        tokens_left=0,
        operation=f"{number:016x}",
    )
    return jobs.encode_job(job)


@when("all daemons are killed and start again, its 2 readers first")
def step_restart(context):
    fleet = context.fleet
    readers = _find_readers(fleet)
    for item in fleet.daemons:
        item.stop()
        item.log_path.write_text("")
    fleet.call(fleet.store.sent_bytes.clear)
    for item in readers:
        item.start()
    # Large VMs, which the readers are, start sooner than small ones.
    time.sleep(_START_AHEAD_S)
    for item in fleet.daemons:
        if item not in readers:
            item.start()
    context.restarted_s = time.monotonic()


@then("all daemons are ready and have the new configuration within {limit:d} s")
def step_ready(context, limit):
    wanted = context.configuration["version"]
    until_s = context.restarted_s + limit
    late = list(context.fleet.daemons)
    while late and time.monotonic() < until_s:
        time.sleep(0.1)
        late = [
            item for item in late if _read_version(item) < wanted or not item.is_ready()
        ]
    assert not late, [(item.name, _read_version(item)) for item in late]


@then("the store has sent the rows of jobs at most {most:d} times")
def step_sent_jobs(context, most):
    sent = context.fleet.call(lambda: context.fleet.store.sent_bytes["state"])
    # Of each row its key and its names are sent too, and rows of daemons and plans.
    size = context.job_bytes * 1.5
    assert sent <= most * size, f"{sent / size:.1f} times {size:.0f} bytes"


@given("a store with a configuration and two readers that {manner}")
def step_odd_readers(context, manner):
    context.value = json.dumps(serving_world.make_configuration()).encode()
    context.manner = manner


@when("a daemon that starts beside them follows the configuration")
def step_follow(context):
    asyncio.run(_follow_beside(context))


class _InvalidRows(row_store.RowStore):
    """Responds to all calls with what is no JSON."""

    async def start(self, port=0):
        async def respond(_request):
            return web.Response(body=b"{")

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", respond)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        return self._runner.addresses[0][1]


async def _start_reader(manner):
    """Return a reader that has no table to give, and its port."""
    kind = _InvalidRows if manner == "respond with invalid rows" else row_store.RowStore
    reader = kind()
    if manner == "have no current copy":
        reader.faults.status = 503
    port = await reader.start()
    if manner == "are gone":
        await reader.stop()
    return reader, port


async def _follow_beside(context):
    """Follow a table whose readers give nothing."""
    sound = row_store.RowStore()
    direct = http_client.Endpoint("127.0.0.1", await sound.start())
    sound.write("op", "config", context.value)
    started = [await _start_reader(context.manner) for _ in range(2)]
    readers = [
        peer_registry.Peer(f"front-{port}", "near", "127.0.0.1", port, "1")
        for _, port in started
    ]
    endpoints = copy_endpoints.CopyEndpoints(
        types.SimpleNamespace(list_all=lambda: [direct]),
        types.SimpleNamespace(list_readers=lambda: readers),
    )
    pool = http_client.ConnectionPool(0.5)
    client = table_store.TableStore(
        pool, endpoints.list_all, read_endpoints=endpoints.list_all
    )
    copy = follower.TableFollower(client, "op", "", lambda _row: None)
    task = asyncio.ensure_future(copy.run())
    started_s = time.monotonic()
    while "config" not in copy.rows and time.monotonic() < started_s + _FOLLOWED_S:
        await asyncio.sleep(0.05)
    context.took_s = time.monotonic() - started_s
    task.cancel()
    for server in (sound, *(reader for reader, _ in started)):
        await server.stop()


@then(
    "it has the configuration after {least:g} s at the earliest and {most:d} s at the "
    "latest"
)
def step_has_configuration(context, least, most):
    assert least <= context.took_s <= most, context.took_s


@given("a reader with a copy of the configuration at version 1")
def step_reader(context):
    context.versions = (1, 2)


@when("a poll after version 1 ends in the moment in which the reader applies version 2")
def step_poll_ends(context):
    context.answer = asyncio.run(_poll_beside_change(*context.versions))


async def _poll_beside_change(first, second):
    """Poll a reader whose copy changes in the turn of the loop that ends the wait."""
    copy = follower.TableFollower(None, "op", "", lambda _row: None)

    def apply(version):
        key = store.RowKey("op", "", "config")
        copy.apply_row(store.Row(key, b"value", version))
        copy._advance(version)
        copy.age.confirm(copy_age.read_clock_s())

    apply(first)
    feed = copied_feed.CopiedFeed("op", copy, lambda: True, True)
    query = {"after": str(first), "waitMs": "100"}
    polling = asyncio.ensure_future(feed.answer("/api/rows-feed", query, False))
    await asyncio.sleep(0)
    loop = asyncio.get_running_loop()
    end_s = min(timer.when() for timer in loop._scheduled if not timer.cancelled())
    loop.call_at(end_s - 1e-6, lambda: loop.call_soon(apply, second))
    return json.loads((await polling).body)


@then("its answer has version 1, or version 2 with the row")
def step_whole_answer(context):
    first, second = context.versions
    versions = [row["ver"] for row in context.answer["rows"]]
    answered = (context.answer["ver"], versions)
    assert answered in ((first, []), (second, [second])), answered


@given("a daemon with two readers that has loaded a table from them")
def step_loaded(context):
    peers = [
        peer_registry.Peer(f"front-{number}", "near", f"10.0.0.{number}", 1, "1")
        for number in range(2)
    ]
    direct = http_client.Endpoint("10.0.0.9", 1)
    context.endpoints = copy_endpoints.CopyEndpoints(
        types.SimpleNamespace(list_all=lambda: [direct]),
        types.SimpleNamespace(list_readers=lambda: peers),
    )
    (reader,) = context.endpoints.list_all()
    reader.heard_s = time.monotonic()
    reader.record_success()


@when("it reads the table again {later:d} s later")
def step_later(context, later):
    context.now_s = time.monotonic() + later
    context.listed = _list_at(context.endpoints, context.now_s)


def _list_at(endpoints, now_s):
    """Return whether each endpoint of a call at a time is a reader."""
    with mock.patch.object(time, "monotonic", lambda: now_s):
        return [item.is_relay for item in endpoints.list_all()]


@then("it asks a reader and not the store")
def step_reader_asked(context):
    assert context.listed == [True], context.listed


@then("it asks the store too once no reader has responded for {silence:g} s")
def step_store_asked(context, silence):
    early = _list_at(context.endpoints, context.now_s + silence - 0.1)
    late = _list_at(context.endpoints, context.now_s + silence + 0.1)
    assert early == [True], early
    assert late == [True, True, False], late


@given("a reader with a copy of {count:d} rows")
def step_copy(context, count):
    context.copy = follower.TableFollower(None, "state", "", lambda _row: None)
    for version in range(1, count + 1):
        _apply_row(context.copy, f"job/{version:06d}", version)
    context.feed = copied_feed.CopiedFeed("state", context.copy, lambda: True, False)


def _apply_row(copy, key, version):
    copy.apply_row(store.Row(store.RowKey("state", "", key), b"value", version))
    copy._advance(version)
    copy.age.confirm(copy_age.read_clock_s())


def _read_all(context):
    answer = context.feed.answer("/api/rows-get", {}, False)
    return json.loads(asyncio.run(answer).body)


@when("{count:d} daemons read the table, a row of which changes before each read")
def step_read(context, count):
    context.pages = []
    encode = copied_feed._encode_rows
    with mock.patch.object(copied_feed, "_encode_rows", side_effect=encode) as counted:
        for number in range(count):
            version = context.copy.version + 1
            _apply_row(context.copy, f"job/{number + 1:06d}", version)
            context.pages.append(_read_all(context))
    context.encoded = counted.call_count


@then("the rows have been encoded {count:d} time")
def step_encoded(context, count):
    assert context.encoded == count, context.encoded


@then("each answer names the version that it is complete up to")
def step_complete(context):
    for page in context.pages:
        assert page["ver"] == max(row["ver"] for row in page["rows"]), page["ver"]


@then("a read {later:g} s later has the newest version")
def step_read_later(context, later):
    now_s = copy_age.read_clock_s() + later
    with mock.patch.object(copy_age, "read_clock_s", lambda: now_s):
        page = _read_all(context)
    assert page["ver"] == context.copy.version, page["ver"]
    assert page["relayAgeS"] >= later - 0.1, page["relayAgeS"]


@given("a daemon that has restarted, so that its row names a new run")
def step_restarted(context):
    rows = context.rows = serving_fakes.FakeStore()
    key = store.RowKey("state", "", "member/front-2")
    for incarnation in ("former", "new"):
        identity = peer_registry.Identity("front-2", "near", incarnation, "10.0.0.2", 1)
        rows.put(key, membership.encode_member(identity))
        if incarnation == "former":
            context.earlier = store.RowPage(
                (store.Row(key, *rows.rows[key]),), rows.version, age_s=0.5
            )


@when("another one that starts reads that row, and then a reader's copy from before")
def step_start_beside_old_copy(context):
    own = peer_registry.Identity("front-1", "near", "1", "10.0.0.1", 1)
    context.registry = peer_registry.PeerRegistry(own)
    members = membership.Membership(own, context.registry, context.rows)

    class Reader(serving_fakes.FakeStore):
        """Gives whole tables from a copy, and changes as the store does."""

        async def read_rows(self, *_arguments):
            return context.earlier

    reader = Reader()
    reader.rows, reader.version = context.rows.rows, context.rows.version

    async def start():
        state = follower.TableFollower(reader, "state", "", members.apply)
        await members.load(state.apply_row)
        task = asyncio.ensure_future(state.run())
        await state.wait_until(context.rows.version, 3.0)
        task.cancel()

    asyncio.run(start())


@then("it knows the new run")
def step_knows_new_run(context):
    known = context.registry.peers["front-2"].incarnation
    assert known == "new", known
