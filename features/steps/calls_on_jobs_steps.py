import asyncio
import base64
import contextlib
import dataclasses
import json
import re

from behave import given, then, when

from endivevane.platform import records
from endivevane.serving import failures, item_gate, routing_table
from features.support import job_world, serving_fakes, serving_world

_JOB = "7c41e09b52d6a3f8"
_BODY = b"the log of a shift"
_ROUTE = re.compile(r"an? (batch|online) route on (/\S*)")
# Time for the first round of a runner, and for a transaction of the fake store.
_ROUND_S = 0.5


class _IdleRunner:
    """A job runner that runs nothing, so that items stay open."""

    def start_job(self, entry, items):
        pass


class _Targets:
    """A target client whose calls reach targets that fail them.

    :ivar runs: item and service of each call
    """

    def __init__(self):
        self.runs = set()

    @contextlib.asynccontextmanager
    async def call(self, known, call, is_idempotent):
        self.runs.add((call.attempt_id, known.target.service))
        raise failures.TargetCallError(known.target.target_id, "reset", True)
        yield None


def _make_configuration(text):
    """Return a configuration with the routes that a step names."""
    configuration = serving_world.make_configuration()
    (sample,) = configuration["routes"]
    configuration["routes"] = []
    for kind, prefix in _ROUTE.findall(text):
        route = {**sample, "name": f"{kind}{prefix}", "prefix": prefix}
        if kind == "batch":
            route |= {"kind": "batch", "maxAttempts": 3, "retentionS": 60}
        else:
            route |= {"kind": "safe"}
        configuration["routes"].append(route)
    return configuration


def _make_submission():
    item = {
        "id": f"{_JOB}00",
        "path": f"/digest/{_JOB}/0",
        "headers": {"Model": "m"},
        "body": base64.b64encode(_BODY).decode(),
        "tokens": 10,
    }
    return json.dumps({"items": [item]}).encode()


async def _call(world, method, path, body=b""):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {serving_world.HOST}:80",
        f"Attempt-Id: {_JOB}",
        f"Content-Length: {len(body)}",
    ]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    return await serving_world.send_request(world.port, data)


async def _submit(world):
    prefix = next(
        route.prefix
        for route in world.router.table.configuration.routes
        if route.kind == "batch"
    )
    return await _call(world, "POST", f"{prefix}{_JOB}", _make_submission())


async def _read_and_end(world):
    item = f"/api/items/{_JOB}?id={_JOB}00"
    return [
        await _call(world, "GET", f"/api/lots/{_JOB}?after=0"),
        await _call(world, "GET", item),
        await _call(world, "DELETE", f"/api/lots/{_JOB}"),
    ]


def _play(context, act, daemons=1):
    """Run daemons that share a store while clients act on them."""

    async def run():
        rows = serving_fakes.FakeStore()
        worlds = []
        for number in range(daemons):
            daemon = job_world.JobDaemon(rows, f"d{number}")
            world = serving_world.World(
                context.configuration,
                replicas=worlds[0].replicas if worlds else None,
                name=f"front-{number + 1}",
                job_daemon=daemon,
                job_runner=_IdleRunner(),
            )
            await world.start()
            worlds.append(world)
        context.world, context.rows = worlds[0], rows
        try:
            context.answers = await act(*worlds)
            context.paths = [run.path for run in worlds[0].runs]
        finally:
            for world in worlds:
                await world.stop()
                world.job_daemon.feed.cancel()

    asyncio.run(run())


@given("a host with {routes}")
def step_host(context, routes):
    context.configuration = _make_configuration(routes)
    context.other_host = None


@given("a job of another host")
def step_job_elsewhere(context):
    context.other_host = "other.example"


@when("a client submits a job, reads its results and an item, and ends it")
def step_submit_read_end(context):
    async def act(world):
        return [await _submit(world), *await _read_and_end(world)]

    _play(context, act)


@when("a job is read and ended at a daemon that does not know it")
def step_read_elsewhere(context):
    async def act(first, second):
        second.job_daemon.feed.cancel()
        assert (await _submit(first)).status == 202
        return await _read_and_end(second)

    _play(context, act, daemons=2)


@when("a job is read and ended after the host has {others}")
def step_read_later(context, others):
    async def act(world):
        assert (await _submit(world)).status == 202
        world.configure({**_make_configuration(others), "version": 2})
        return await _read_and_end(world)

    _play(context, act)


@when("a client calls {method} {path} with the body of a job")
def step_send_body(context, method, path):
    async def act(world):
        return [await _call(world, method, path, _make_submission())]

    _play(context, act)


@when("a client calls {method} {path}")
def step_send(context, method, path):
    async def act(world):
        return [await _call(world, method, path)]

    context.path = path
    _play(context, act)


@when("a client reads the results of that job")
def step_read_other(context):
    async def act(world):
        submission = dataclasses.replace(
            job_world.make_submission(_JOB), host=context.other_host
        )
        await world.job_daemon.changes.accept(submission)
        assert _JOB in world.job_daemon.registry.entries
        return [await _call(world, "GET", context.path)]

    context.path = f"/api/lots/{_JOB}?after=0"
    _play(context, act)


@when("a client submits a job at {path}")
def step_submit_at(context, path):
    async def act(world):
        return [await _call(world, "POST", path, _make_submission())]

    _play(context, act)


@then("the answers are {statuses}, and the item's body came")
def step_statuses(context, statuses):
    expected = [int(status) for status in re.findall(r"\d+", statuses)]
    assert [answer.status for answer in context.answers] == expected, context.answers
    *_, item, _end = context.answers
    assert item.body == _BODY, item


@then("no target has got any of these requests")
def step_no_target(context):
    assert not context.paths, context.paths


@then("a target has got it")
def step_target(context):
    assert context.paths == [context.path], (context.paths, context.answers)


@then("the job is stored and the answer is 202")
def step_accepted(context):
    assert [answer.status for answer in context.answers] == [202], context.answers
    assert context.rows.list_jobs(_JOB)


@then("the answer is 400 and the store holds no job")
def step_no_job(context):
    assert [answer.status for answer in context.answers] == [400], context.answers
    assert not context.rows.list_jobs(_JOB)


@when("a daemon runs a job of {count:d} items under /digest/ there")
def step_run_items(context, count):
    configuration = _make_configuration_of_two_services(context.configuration)
    table = routing_table.RoutingTable(records.decode_configuration(configuration))

    async def run():
        daemon = job_world.JobDaemon(serving_fakes.FakeStore(), "a")
        fleet = serving_fakes.Fleet(["t0"])
        fleet.add("w0", version=2, service="web")
        context.targets = _Targets()
        runner = job_world.make_runner(
            daemon, fleet, context.targets, get_table=lambda: table
        )
        task = asyncio.ensure_future(runner.run())
        submission = job_world.make_submission("job", items=count)
        listed = tuple(
            dataclasses.replace(item, path="/digest/1") for item in submission.items
        )
        submission = dataclasses.replace(
            submission, host=serving_world.HOST, path="/digest/7c4", items=listed
        )
        context.items = {item.item_id.encode() for item in listed}
        entry = await daemon.changes.accept(submission)
        runner.start_job(entry, listed)
        await asyncio.sleep(_ROUND_S)
        owned = runner._owned["job"]
        for item in owned.runs.values():
            item.routeless_since_s -= item_gate._ROUTE_MISSING_LIMIT_S
        await asyncio.sleep(_ROUND_S)
        results = await daemon.changes.load_results("job", 0, count)
        context.states = [result.is_completed for result in results.values()]
        task.cancel()
        daemon.feed.cancel()
        owned.cancel_runs()

    asyncio.run(run())


def _make_configuration_of_two_services(configuration):
    """Return a configuration whose online routes have a service of their own."""
    for route in configuration["routes"]:
        if route["kind"] != "batch":
            route["service"] = "web"
    configuration["services"].append({"name": "web", "maxConns": 50})
    return serving_world.dump(configuration)


@then("all its items have run at the service of the batch route")
def step_have_run(context):
    expected = {(item, "lm") for item in context.items}
    assert context.targets.runs == expected, context.targets.runs
    assert not context.states, context.states


@then("all its items are listed as failed after the limit, none runs")
def step_listed_failed(context):
    assert not context.targets.runs, context.targets.runs
    assert context.states == [False] * len(context.items), context.states
