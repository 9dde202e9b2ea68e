import asyncio
import contextlib
import time

from behave import given, then, when

from endivevane.serving import failures, item_sender, jobs, owned_jobs
from endivevane.stream_versions import records, rows
from features.support import scripted_items, version_world

_BREAK_AFTER = 8
_CRASH_S = 0.3
# Many streams begin before the first target breaks, and at all targets.
_INTERVAL_S = 0.01
_PLAN_S = 0.4
_SERVED_S = 60.0
_SLACK_S = 0.2


def _parse_version(text):
    if text == "-":
        return None
    return int(text) if text.isdigit() else text


@given("targets {targets} of one service")
def step_targets(context, targets):
    names = [item.split(" ") for item in targets.split(", ")]
    versions = {name: _parse_version(version) for name, version in names}
    context.fleet = version_world.Fleet(versions, maxAttempts=3)


def _make_streams(count):
    return [version_world.Stream(f"stream{number}") for number in range(count)]


def _play(context, act):
    asyncio.run(version_world.play(context.fleet, act))


@when("{count:d} clients request streams, and the target a {breaks}")
def step_break(context, count, breaks):
    async def act(fleet, daemon):
        first = fleet.replicas["a"]
        await asyncio.sleep(_PLAN_S)
        if breaks == "crashes":
            asyncio.get_running_loop().call_later(_CRASH_S, first.crash)
        else:
            first.manner.cut_after = _BREAK_AFTER
            first.manner.cuts = count
        context.streams = _make_streams(count)
        await version_world.request_all(daemon, context.streams, interval_s=_INTERVAL_S)
        assert any(run.ended in ("cut", "crashed") for run in first.runs) or (
            breaks == "crashes"
        )

    _play(context, act)


async def _age_plan(fleet):
    """Let the targets have served for a while."""
    await asyncio.sleep(_PLAN_S)
    fleet.age_plan(_SERVED_S)
    await asyncio.sleep(0.1)


async def _start_other(fleet, daemon, where):
    if where == "the same daemon":
        return daemon
    if where == "another daemon":
        return fleet.daemons[1]
    other = await fleet.start_daemon()
    await version_world.wait_until_loaded(other)
    fleet.row_store.is_down = where == "a daemon that has lost the store"
    return other


@when("{count:d} clients leave their streams after 8 events and resume them at {where}")
def step_resume(context, count, where):
    async def act(fleet, daemon):
        if where == "another daemon":
            await fleet.start_daemon()
        await _age_plan(fleet)
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        other = await _start_other(fleet, daemon, where)
        await version_world.request_all(other, context.streams, "-again")

    _play(context, act)


@when(
    "{count:d} clients leave their streams after 8 and 16 events and resume them "
    "elsewhere"
)
def step_resume_twice(context, count):
    async def act(fleet, daemon):
        await _age_plan(fleet)
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        second = await fleet.start_daemon()
        await version_world.request_all(
            second, context.streams, "-again", leave_after=16, interval_s=_INTERVAL_S
        )
        third = await fleet.start_daemon()
        await version_world.request_all(third, context.streams, "-third")

    _play(context, act)


@when(
    "{count:d} clients leave their streams after 8 events, which began {begin} a "
    "release of v2"
)
def step_release(context, count, begin):
    async def release(fleet):
        await fleet.add_target("d", "v2")
        await asyncio.sleep(_PLAN_S)
        await fleet.add_target("e", "v2")

    async def act(fleet, daemon):
        await asyncio.sleep(_PLAN_S)
        context.streams = _make_streams(count)
        if begin == "during":
            await release(fleet)
            await asyncio.sleep(0.1)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        if begin == "before":
            await release(fleet)
        await asyncio.sleep(_PLAN_S)
        other = await fleet.start_daemon()
        await version_world.request_all(other, context.streams, "-again")

    _play(context, act)


@when("{count:d} clients leave their streams after 8 events and v1 {state}")
def step_not_served(context, count, state):
    async def act(fleet, daemon):
        await asyncio.sleep(_PLAN_S)
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        first = fleet.replicas["a"]
        if state == "is draining":
            daemon.register(first, 5000, state="draining")
        elif state == "is served no more":
            fleet.remove_target("a")
        else:
            first.version = "v2"
            born = {"born": 1800000000000} if "comes back" in state else {}
            daemon.register(first, 5000, **born)
        await version_world.request_all(daemon, context.streams, "-again")

    _play(context, act)


@given("targets a v1, b v2 of two services")
def step_two_services(context):
    context.fleet = version_world.Fleet({"a": "v1", "b": "v2"}, maxAttempts=3)


@when(
    "a client requests a stream, and the entry of its first target names another "
    "service"
)
def step_entry_service(context):
    async def act(fleet, daemon):
        await _age_plan(fleet)
        begin = daemon.loads.begin
        context.changed = []

        def change_entry(target_id, is_batch):
            begin(target_id, is_batch)
            if not context.changed:
                context.changed.append(fleet.replicas[target_id])
                daemon.register(context.changed[0], 500, service="lm2")

        daemon.loads.begin = change_entry
        context.streams = _make_streams(1)
        await version_world.request_all(daemon, context.streams)

    _play(context, act)


@then("that target has run nothing")
def step_changed_runs_nothing(context):
    (target,) = context.changed
    assert not target.runs, target.runs


def _route_to(first):
    if first == "the one":
        return {"service": "lm"}
    split = [{"service": "lm", "weight": 1}, {"service": "lm2", "weight": 1}]
    return {"service": None, "trafficSplit": split}


@given("a route to {first} of them")
def step_route(context, first):
    routes = context.fleet.configuration["routes"]
    other = {"name": "other", "prefix": "/other/", "service": "lm2"}
    routes.append({**routes[0], **other})
    routes[0].update(_route_to(first))


@when("{count:d} clients leave their streams after 8 events and the route {changes}")
def step_route_changes(context, count, changes):
    async def act(fleet, daemon):
        daemon.register(fleet.replicas["b"], 500, service="lm2")
        # Both services have had targets for a while.
        await asyncio.sleep(_PLAN_S)
        fleet.age_plan(_SERVED_S, "lm")
        fleet.age_plan(_SERVED_S, "lm2")
        await asyncio.sleep(0.1)
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        if changes != "stays":
            fleet.configuration["routes"][0]["service"] = "lm2"
            daemon.configure(fleet.configuration)
        await version_world.request_all(daemon, context.streams, "-again")

    _play(context, act)


@then("no stream has gone on")
def step_none_gone_on(context):
    statuses = {tuple(stream.statuses) for stream in context.streams}
    assert statuses == {(200, 503)}, statuses


@when(
    "{count:d} clients request streams while b can't be reached, and resume them after "
    "its return"
)
def step_unreachable(context, count):
    async def act(fleet, daemon):
        await _age_plan(fleet)
        second = fleet.replicas["b"]
        second.close_listener()
        second.break_connections()
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        await second.start(second.port)
        other = await fleet.start_daemon()
        await version_world.wait_until_loaded(other)
        begun = [stream for stream in context.streams if stream.versions]
        await version_world.request_all(other, begun, "-again")

    _play(context, act)


@then("each stream is whole, or was refused within {limit_s:g} s before it began")
def step_whole_or_refused(context, limit_s):
    whole = [stream for stream in context.streams if stream.is_whole]
    assert whole
    refused = [stream for stream in context.streams if not stream.versions]
    assert refused and len(whole) + len(refused) == len(context.streams)
    for stream in refused:
        assert stream.statuses == [503] and stream.end_s < limit_s, stream


@when("the record of a stream names v1, {written}, and it begins at v2")
def step_other_record(context, written):
    async def act(fleet, daemon):
        # The plan is new, so that it leaves every version open.
        await asyncio.sleep(_PLAN_S)
        (route,) = daemon.router.table.configuration.routes
        versions = daemon.versions.service
        if "on its way" in written:
            fleet.row_store.apply = _delay_apply(fleet.row_store)
        versions.prepare(route, _make_begun("v1"))
        # Records are waited for again some time after one has failed.
        await asyncio.sleep(1.2 if "on its way" in written else 0.1)
        fleet.row_store.is_down = "no more" in written
        context.has_begun = await versions.begin(route, _make_begun("v2"))

    _play(context, act)


def _delay_apply(row_store):
    """Return a function that loses the answer of one transaction, done later."""
    apply = row_store.apply

    async def delay(_change):
        row_store.apply = apply
        raise failures.StoreUncertain("apply", "no answer")

    return delay


def _make_begun(version):
    return records.BegunStream("stream0", "lm", version, time.monotonic())


@then("it begins")
def step_begins(context):
    assert context.has_begun


@then("it does not begin")
def step_does_not_begin(context):
    assert not context.has_begun


@when("a plan that gave all streams to v1 ended 15 s ago")
def step_ended_plan(context):
    async def act(fleet, daemon):
        await asyncio.sleep(_PLAN_S)
        fleet.add_epoch({"v1": 16}, 15.0)
        await asyncio.sleep(0.1)
        (route,) = daemon.router.table.configuration.routes
        context.found = [
            await daemon.versions.service.find(route, "lm", f"stream{number}")
            for number in range(40)
        ]

    _play(context, act)


@then("no stream is found to be of v2 by the plan, and of v1 some are")
def step_found(context):
    versions = {finding.version for finding in context.found}
    assert versions == {"v1", None}, versions


@when("an item is run at a, which breaks it off after 8 events, and then at b")
def step_item(context):
    async def act(fleet, daemon):
        first = fleet.replicas["a"]
        first.manner.cut_after = _BREAK_AFTER
        first.manner.cuts = 1
        sender = scripted_items.make_sender(daemon)
        item = jobs.Item("abc", "/quote/1", {}, b"hello", 1)
        context.run = owned_jobs.ItemRun(item)
        for name in ("a", "b"):
            target = daemon.registry.find(name).target
            with contextlib.suppress(failures.TargetCallError):
                end, _ = await sender.send(scripted_items.JOB, context.run, target)
        assert end is item_sender.RunEnd.COMPLETED

    _play(context, act)


@when("an item with 8 events, stored {stored}, is run by its next owner at {name}")
def step_stored_item(context, stored, name):
    version = None if stored == "without a version" else "v1"
    service = None if stored == "without a service" else "lm"
    pieces = [f"abc piece {n} at v1".encode() for n in range(1, _BREAK_AFTER + 1)]
    value = jobs.encode_progress(jobs.Progress(_BREAK_AFTER, pieces, version, service))

    async def act(fleet, daemon):
        sender = scripted_items.make_sender(daemon)
        context.run = owned_jobs.ItemRun(jobs.Item("abc", "/quote/1", {}, b"hello", 1))
        context.run.restore(jobs.decode_progress(value))
        target = daemon.registry.find(name).target
        end, _ = await sender.send(scripted_items.JOB, context.run, target)
        assert end is item_sender.RunEnd.COMPLETED

    _play(context, act)


@then("its run begins behind event {event:d}")
def step_run_begins(context, event):
    (run,) = [run for item in context.fleet.replicas.values() for run in item.runs]
    assert run.last_event == event, run


@when("{count:d} clients request streams while a and b are silent for {silence_s:g} s")
def step_silent(context, count, silence_s):
    async def act(fleet, daemon):
        await _age_plan(fleet)
        loop = asyncio.get_running_loop()
        for name in ("a", "b"):
            loop.call_later(_CRASH_S, fleet.replicas[name].fall_silent, silence_s)
        context.streams = _make_streams(count)
        await version_world.request_all(daemon, context.streams, interval_s=_INTERVAL_S)

    _play(context, act)


@then("no stream holds events of two versions")
def step_not_joined(context):
    joined = [stream for stream in context.streams if stream.is_joined]
    assert not joined, (len(joined), joined[:3])


@then("all streams are whole")
def step_all_whole(context):
    broken = [
        (stream.attempt, stream.statuses, len(stream.versions))
        for stream in context.streams
        if not stream.is_whole or len(stream.versions) != version_world.EVENTS
    ]
    assert not broken, broken


@then("at least half of the streams are whole")
def step_half_whole(context):
    whole = [stream for stream in context.streams if stream.is_whole]
    statuses = [stream.statuses for stream in context.streams]
    assert 2 * len(whole) >= len(context.streams), statuses


@then("those that broke off were given up by {limit_s:g} s")
def step_given_up(context, limit_s):
    # Their version is served by a failing target only, which may come back until their
    # clients leave.
    broken = [stream for stream in context.streams if not stream.is_whole]
    assert broken
    late = [item.attempt for item in broken if item.end_s > limit_s + _SLACK_S]
    assert not late, late


@then("the streams of v1 were refused within 0.5 s, and the others are whole")
def step_refused_at_once(context):
    versions = {stream.versions[0] for stream in context.streams}
    assert versions == {"v1", "v2"}, versions
    for stream in context.streams:
        if stream.versions[0] == "v2":
            assert stream.is_whole, stream
            continue
        assert stream.statuses == [200, 503], stream
        assert stream.end_s < 0.5, stream


@then("its text is of one version and whole")
def step_item_text(context):
    assert len(context.run.pieces) == version_world.EVENTS, context.run.pieces
    versions = {piece.rpartition(b" ")[2] for piece in context.run.pieces}
    assert len(versions) == 1, context.run.pieces


@when(
    "{count:d} clients leave their streams after 8 events and the plan's row becomes "
    "{row}"
)
def step_odd_row(context, count, row):
    content = {"nothing": b"", "no JSON": b"\xff{"}.get(row, row.encode())

    async def act(fleet, daemon):
        await _age_plan(fleet)
        context.streams = _make_streams(count)
        await version_world.request_all(
            daemon, context.streams, leave_after=8, interval_s=_INTERVAL_S
        )
        fleet.write_plan(content)
        await asyncio.sleep(0.1)
        here, elsewhere = context.streams[: count // 2], context.streams[count // 2 :]
        await version_world.request_all(daemon, here, "-again")
        # This one has no plan until it has written one itself.
        other = await fleet.start_daemon()
        await version_world.request_all(other, elsewhere, "-again")
        await asyncio.sleep(_PLAN_S)
        context.here = here
        context.plan_value = fleet.read_plan()

    _play(context, act)


@then(
    "streams that are resumed at the same daemon are whole, and the row is a plan again"
)
def step_healed(context):
    assert all(stream.is_whole for stream in context.here), context.here
    decoded = rows.decode_plan("plan", context.plan_value)
    assert decoded.newest.shares == {"v1": 16, "v2": 16}, decoded
