import asyncio
import dataclasses
import logging
import pickle
import time

from behave import given, then, when

from endivevane.organisations import identification
from endivevane.organisations import settings as organisation_settings
from endivevane.platform import headers, job_codec, records
from endivevane.serving import (
    attempts,
    failures,
    follower,
    job_api,
    job_reader,
    jobs,
    model,
)
from features.support import job_world, serving_fakes, serving_world

_HOST = serving_world.HOST
_CREDENTIALS = {
    "the key n1": ("Authorization: Token key-n1",),
    "the key n2": ("Authorization: Token key-n2",),
    "the key s1 and the claim of north": (
        "Authorization: Token key-s1",
        "Tenant: north",
    ),
    "no key": (),
    "the claim of north": ("Tenant: north",),
    "two keys n1 and s1": (
        "Authorization: Token key-n1",
        "authorization: Token key-s1",
    ),
    "the scheme Bearer and n1": ("Authorization: Bearer n1",),
}
_NOT_TOLD = {"no", "nobody"}


@given(
    'a daemon with the organisations "{first}" with key "{first_key}" and "{second}" '
    'with key "{second_key}"'
)
def step_daemon(context, first, first_key, second, second_key):
    context.configuration = serving_world.make_configuration()
    context.configuration["tenants"] = [
        {"name": first, "apiKeys": [first_key]},
        {"name": second, "apiKeys": [second_key]},
    ]
    context.keys = None
    context.age_s = 0.0


@given("its route is public")
def step_public(context):
    context.configuration["routes"][0]["public"] = True


@given("the configuration names no organisations")
def step_none(context):
    del context.configuration["tenants"]


@given('a configuration that takes the key "{key}" away')
def step_revoke(context, key):
    for organisation in context.configuration["tenants"]:
        if key in organisation["apiKeys"]:
            organisation["apiKeys"].remove(key)


@given("keys must stop to work within {limit_s:d} s")
def step_limit(context, limit_s):
    context.keys = organisation_settings.KeysSection(revocation_ms=limit_s * 1000)


@given("the configuration was confirmed {age_s:f} s ago")
def step_age(context, age_s):
    context.age_s = age_s


@when("a client sends a request with {credentials}")
def step_send(context, credentials):
    async def run():
        world = serving_world.World(context.configuration, ("a",), keys=context.keys)
        world.configuration_age.age_s = context.age_s
        await world.start()
        try:
            request = serving_world.make_request(extra=_CREDENTIALS[credentials])
            context.response = await serving_world.send_request(world.port, request)
        finally:
            await world.stop()
        context.runs = world.runs
        context.routing = world.router.table

    records_of_log = context.log_records = []
    handler = logging.Handler()
    handler.emit = lambda record: records_of_log.append(record.getMessage())
    logging.getLogger("absl").addHandler(handler)
    try:
        asyncio.run(run())
    finally:
        logging.getLogger("absl").removeHandler(handler)


@then("the client gets status {status:d}")
def step_status(context, status):
    assert context.response.status == status, context.response


@then("the target was told {name} and never a key")
def step_told(context, name):
    if context.response.status != 200:
        assert not context.runs, context.runs
        return
    (run,) = context.runs
    assert run.headers.get("tenant") == (None if name in _NOT_TOLD else name)
    assert "authorization" not in run.headers, run.headers


@then("the target got the key")
def step_key_passed(context):
    (run,) = context.runs
    assert run.headers["authorization"] == "Token key-n1", run.headers


@then("neither the configuration in memory nor the log holds a key")
def step_hidden(context):
    kept = pickle.dumps(dataclasses.asdict(context.routing.configuration))
    logged = "\n".join(context.log_records)
    assert "key_unknown" in logged, logged
    for key in ("key-n1", "key-n2", "key-s1"):
        assert key.encode() not in kept, key
        assert f'"{key}"' not in logged, logged


@given('"{first}" has the priority {priority:d} and "{second}" has none')
def step_priority(context, first, priority, second):
    listed = context.configuration["tenants"]
    next(item for item in listed if item["name"] == first)["priority"] = priority


@then('requests of "{first}" have the priority {one:d} and those of "{second}" {two:d}')
def step_priorities(context, first, one, second, two):
    content = serving_world.dump(context.configuration)
    configuration = records.decode_configuration(content)
    for key, priority in (("key-n1", one), ("key-s1", two)):
        request = _identify(configuration, key)
        route = configuration.routes[0]
        progress = attempts.begin(request, route, "lm", configuration.version)
        assert progress.priority == priority, (key, progress.priority)


def _identify(configuration, key, path="/quote/1", method=b"POST"):
    raw = [(b"Host", _HOST.encode()), (b"Authorization", b"Token " + key.encode())]
    request = headers.HeaderCodec().decode_request(
        method, path.encode(), raw, b"", time.monotonic()
    )
    identifier = identification.Identification(organisation_settings.KeysSection())
    identifier.follow(serving_world.FeedAge())
    return identifier.identify(request, configuration, is_public=False)


@given("a quota of {quota:d} waiting tokens for each organisation")
def step_quota(context, quota):
    context.quota = quota


@when("daemons accept {count:d} jobs of 30 tokens of each at the same moment")
def step_accept(context, count):
    async def run():
        rows = serving_fakes.FakeStore()
        fleet = [job_world.JobDaemon(rows, f"d{number}") for number in range(count)]
        await asyncio.sleep(0.05)
        calls = []
        for number, daemon in enumerate(fleet):
            for name in ("north", "south"):
                submission = dataclasses.replace(
                    job_world.make_submission(f"{name}{number}", quota=context.quota),
                    organisation=name,
                )
                calls.append(daemon.changes.accept(submission))
        context.outcomes = await asyncio.gather(*calls, return_exceptions=True)
        for daemon in fleet:
            daemon.feed.cancel()

    asyncio.run(run())


@then("{count:d} jobs of each organisation were accepted, the others are over quota")
def step_accepted(context, count):
    names = [
        entry.job.organisation
        for entry in context.outcomes
        if not isinstance(entry, failures.JobRefused)
    ]
    assert sorted(names) == ["north"] * count + ["south"] * count, context.outcomes


@given('a job of "{name}"')
def step_job(context, name):
    context.owner = name


@when('clients of "{first}" and "{second}" read and end it')
def step_read(context, first, second):
    async def run():
        daemon = job_world.JobDaemon(serving_fakes.FakeStore(), "d")
        await asyncio.sleep(0.05)
        submission = dataclasses.replace(
            job_world.make_submission("job"), organisation=context.owner
        )
        entry = await daemon.changes.accept(submission)
        assert jobs.decode_job(jobs.encode_job(entry.job)) == entry.job
        reader = job_reader.JobReader(daemon.registry, daemon.changes)
        api = job_api.JobApi(job_codec.JobCodec(), daemon.changes, reader, None)
        context.statuses = {}
        calls = (jobs.ReadResults("job", 0), jobs.ReadItem("job", "job-0"))
        for name in (first, second):
            content = serving_world.dump(context.configuration)
            configuration = records.decode_configuration(content)
            request = _identify(configuration, f"key-{name[0]}1")
            context.statuses[name] = [
                (await api.call(request, call)).status
                for call in (*calls, jobs.EndJob("job"))
            ]
        daemon.feed.cancel()

    asyncio.run(run())


@then('those of "{first}" get {one:d} and those of "{second}" {two:d}')
def step_read_statuses(context, first, one, second, two):
    assert context.statuses == {first: [one] * 3, second: [two] * 3}, context.statuses


@then("an item's request tells its target the organisation, whatever its headers say")
def step_item(context):
    codec = headers.HeaderCodec()
    sent = {"Tenant": "south", "Authorization": "Token key-n1", "Model": "m"}
    call = model.TargetCall(
        method=b"POST",
        path=b"/p/x",
        headers=codec.encode_item_headers(_HOST, sent),
        body=b"",
        attempt_id=b"i1",
        organisation="north",
    )
    target = model.Target("t1", "lm", "127.0.0.1", 1, "z1", 8, False)
    told = dict(codec.encode_call(call, target))
    assert told[b"Tenant"] == b"north", told
    assert b"Authorization" not in told, told


def _is_served_at(context, age_s):
    content = serving_world.dump(context.configuration)
    raw = [(b"Host", _HOST.encode()), (b"Authorization", b"Token key-n1")]
    request = headers.HeaderCodec().decode_request(b"POST", b"/quote/1", raw, b"", 0.0)
    identifier = identification.Identification(context.keys)
    identifier.follow(serving_world.FeedAge(age_s))
    configuration = records.decode_configuration(content)
    found = identifier.identify(request, configuration, is_public=False)
    return isinstance(found, model.ClientRequest)


@then("a copy that is two polls old still serves keyed requests")
def step_two_polls(context):
    poll_s = context.keys.find_poll_wait_s(follower.POLL_WAIT_S)
    assert _is_served_at(context, 2 * poll_s + 0.1), poll_s


@then("so it does after {share:f} of that time without the store")
def step_without_store(context, share):
    poll_s = context.keys.find_poll_wait_s(follower.POLL_WAIT_S)
    away_s = share * context.keys.revocation_s
    assert _is_served_at(context, 2 * poll_s + away_s - 0.01), poll_s
    assert not _is_served_at(context, context.keys.revocation_s)
