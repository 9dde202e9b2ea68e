import asyncio
import contextlib
import zlib

import orjson
from behave import given, then, when

from endivevane.serving import (
    failures,
    item_refusals,
    item_sender,
    jobs,
    owned_jobs,
)
from features.support import item_world, scripted_items, serving_fakes

_PIECES = [b"one", b"two"]


@given("{count:d} items on a route to {services}")
def step_items(context, count, services):
    context.arguments = (dict.fromkeys(services.split(", "), 1.0), count)


def _play(context, act):
    async def run(world):
        context.world = world
        await act(world)

    asyncio.run(item_world.play(context.arguments, run))


def _change_route(world, changes):
    if "moves to lm-b" in changes or "drops lm-a" in changes:
        world.set_route({"lm-b": 1.0})
        return
    weight = float(changes.rpartition(" ")[2])
    world.set_route({"lm-a": weight, "lm-b": 1.0})


@when("the first run of each item breaks off after 8 events")
def step_break(context):
    async def act(world):
        world.targets.breaks = 1
        await world.start_job()
        context.results = await world.wait_until_done()

    _play(context, act)


@when("the first run of each item breaks off after 8 events, and the route {changes}")
def step_route(context, changes):
    async def act(world):
        await world.begin_items()
        _change_route(world, changes)
        world.end_held_runs()
        context.results = await world.wait_until_done()

    _play(context, act)


@when(
    "their owner is replaced after 8 events of each, and their progress names {service}"
)
def step_owner(context, service):
    async def act(world):
        await world.store_broken_items()
        left_out = {"the service": 0, "no service": 1, "no version": 2}[service]
        for row_key, (value, _) in list(world.rows.rows.items()):
            if left_out and row_key.table == jobs.PROGRESS_TABLE:
                fields = orjson.loads(zlib.decompress(value))
                assert len(fields) == 4, fields
                world.rows.put(row_key, _pack(fields[:-left_out]))
        await world.take_over()
        context.results = await world.wait_until_done()

    _play(context, act)


def _pack(fields):
    return zlib.compress(orjson.dumps(fields))


@then("each item has a whole text of one service")
def step_one_service(context):
    assert len(context.results) == len(context.world.items)
    for item_id, result in context.results.items():
        whole = [item_world.make_text(name, item_id) for name in item_world.SERVICES]
        assert result.is_completed and result.text in whole, result


@then("each second run begins behind event {event:d} at the service of the first")
def step_same_service(context, event):
    services = set()
    for item in context.world.items:
        first, second = context.world.list_runs(item.item_id)
        assert (second.service, second.began_after) == (first.service, event), second
        services.add(first.service)
    assert services == set(item_world.SERVICES), services


@then("each second run begins behind event {event:d} at any service")
def step_any_service(context, event):
    for item in context.world.items:
        _, second = context.world.list_runs(item.item_id)
        assert second.began_after == event, second


@then("each second run is at {service}")
def step_second_run(context, service):
    for item in context.world.items:
        _, second = context.world.list_runs(item.item_id)
        assert second.service == service, second


async def _begin_at_first(world, make_trouble):
    """Begin all items at lm-a, and go on with a split route and its trouble."""
    await world.store_broken_items()
    make_trouble()
    world.set_route({"lm-a": 1.0, "lm-b": 1.0})
    return await world.take_over()


@when(
    "each item breaks off after 8 events, and lm-a has no target while the route is "
    "split"
)
def step_no_target(context):
    async def act(world):
        count = len(world.items)
        runner = await _begin_at_first(world, lambda: world.remove_targets("lm-a"))
        # Some rounds of the runner.
        await asyncio.sleep(0.5)
        context.early_runs = len(world.targets.runs) - count
        world.age_waits(runner)
        context.results = await world.wait_until_done()

    _play(context, act)


@then("no item runs before the wait is over")
def step_waited(context):
    assert context.early_runs == 0, context.early_runs


@when(
    "each item breaks off after 8 events, and lm-a breaks all later runs while the "
    "route is split"
)
def step_breaks_all(context):
    async def act(world):
        count = len(world.items)
        broken = world.targets.broken_services
        runner = await _begin_at_first(world, lambda: broken.add("lm-a"))
        await world.wait_for_runs(count + 1)
        world.age_waits(runner)
        context.results = await world.wait_until_done()

    _play(context, act)


@then("some items have run at lm-a again")
def step_ran_again(context):
    world = context.world
    again = [run for run in world.targets.runs if run.began_after]
    assert again and {run.service for run in again} == {"lm-a"}, again


@then("then each item has a whole text of lm-b")
def step_other_service(context):
    texts = {item_id: result.text for item_id, result in context.results.items()}
    expected = {
        item.item_id: item_world.make_text("lm-b", item.item_id)
        for item in context.world.items
    }
    assert texts == expected, texts


def _make_sender(world):
    return item_sender.ItemSender(
        world.fleet.directory,
        world.targets,
        lambda _host, _headers: (),
        lambda _headers: (),
        serving_fakes.make_quarantine(),
        item_refusals.RefusalJudge(world.fleet.board),
    )


@when("the item breaks off after 8 events, is refused by lm-b, and runs at lm-a again")
def step_refused(context):
    async def act(world):
        world.targets.breaks = 1
        world.targets.refusing_services.add("lm-b")
        sender = _make_sender(world)
        context.run = owned_jobs.ItemRun(world.items[0])
        for service in ("lm-a", "lm-b", "lm-a"):
            target = world.fleet.find(f"{service}-0").target
            with contextlib.suppress(failures.TargetCallError):
                await sender.send(scripted_items.JOB, context.run, target)

    _play(context, act)


@then("each run begins behind event {events}")
def step_begins_behind(context, events):
    found = [str(run.began_after) for run in context.world.targets.runs]
    assert ", ".join(found) == events, found


@then("its text is whole and of {service}")
def step_text(context, service):
    text = b"\n".join(context.run.pieces).decode()
    assert text == item_world.make_text(service, "item0"), text


@when("a slot at a target of lm-a is used after its entry names lm-b")
def step_changed_entry(context):
    async def act(world):
        target = world.fleet.find("lm-a-0").target
        world.fleet.add("lm-a-0", version=60, service="lm-b", software="v1")
        run = owned_jobs.ItemRun(world.items[0])
        context.end = await _make_sender(world).send(scripted_items.JOB, run, target)

    _play(context, act)


@then("the item is not run")
def step_not_run(context):
    assert context.end == (item_sender.RunEnd.NOT_RUN, 0), context.end
    assert not context.world.targets.runs


@when("the progress that {release} has stored is read")
def step_read_progress(context, release):
    texts = [piece.decode() for piece in _PIECES]
    values = {
        "this release": jobs.encode_progress(_make_progress()),
        "the release that names versions": _pack([2, texts, "v1"]),
        "the release that names none": _pack([2, texts]),
    }
    context.progress = jobs.decode_progress(values[release])


def _make_progress():
    return jobs.Progress(2, _PIECES, "v1", "lm-a")


@then("its service is {service} and its version is {version}")
def step_origin(context, service, version):
    progress = context.progress
    assert (progress.last_event, progress.pieces) == (2, _PIECES), progress
    found = (progress.service or "unknown", progress.version or "unknown")
    assert found == (service, version), found


@when("an earlier release reads the progress that this one stores")
def step_earlier_reads(context):
    value = jobs.encode_progress(_make_progress())
    # As that release does: it leaves out what follows the version.
    context.last_event, context.texts, *context.rest = orjson.loads(
        zlib.decompress(value)
    )


@then("it finds the events and the version")
def step_earlier_finds(context):
    assert (context.last_event, context.texts) == (2, ["one", "two"])
    assert context.rest[0] == "v1", context.rest
