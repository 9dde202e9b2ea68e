import dataclasses
import json
import time
import urllib.error
import urllib.request

import pydantic
from behave import given, then, when

from endivevane.batch import items, records
from endivevane.configuration import models
from endivevane.coordination import clock
from endivevane.retention import decisions, pacing, shards
from features.support import (
    batch_fleet,
    batch_local,
    fuzz_retention,
    fuzzing,
    retention_world,
)

_NOW_MS = 10_000_000_000
_MACHINE = fuzz_retention.RetentionMachine


def _make_job(state, ended_ms, model="m"):
    marks = {
        "collected": {"collected_ms": 1},
        "expired": {"expired_ms": 1},
        "erased": {"expired_ms": 1, "erased_ms": 1},
    }
    return records.Job(
        "b", "org", "f", items.ENDPOINT, "1h", None, 0, 0, 1, 1, "u", model, 0,
        state="completed" if state in marks else state,
        ended_ms=ended_ms,
        **marks.get(state, {}),
    )  # fmt: skip


@given(
    "results are kept for {results_s:d} s, inputs for {inputs_s:d} s, keys for "
    "{keys_s:d} s and outcomes for {outcomes_s:d} s"
)
def step_periods(context, results_s, inputs_s, keys_s, outcomes_s):
    periods = {"results_s": results_s, "inputs_s": inputs_s, "keys_s": keys_s}
    current = batch_local.make_snapshot([("127.0.0.1:1", 1)], retention=periods)
    current = dataclasses.replace(current, register_retention_s=outcomes_s)
    context.policy = decisions.Policy(
        clock.ManualClock(wall_ms=_NOW_MS), lambda: current
    )


@when("a job is {state} and ended {age_s:d} s ago")
def step_job(context, state, age_s):
    job = _make_job(state, _NOW_MS - 1000 * age_s)
    context.next_step = context.policy.decide_job(job)


@when('a job of the model "{model}" is {state} and ended {age_s:d} s ago')
def step_job_of_model(context, model, state, age_s):
    job = _make_job(state, _NOW_MS - 1000 * age_s, model)
    context.next_step = context.policy.decide_job(job)


@when("a register row is {state} and was claimed {age_s:d} s ago")
def step_register_row(context, state, age_s):
    value = {"state": state.split()[0], "claimed_ms": _NOW_MS - 1000 * age_s}
    value["outcome"] = {"object": "o"} if "object" in state else {}
    context.next_step = context.policy.decide_register_row(value)


@then('the next retention step is "{step}"')
def step_check_due(context, step):
    assert context.next_step == step, context.next_step


@when("a service with results_s {results_s:d} and keys_s {keys_s:d} is validated")
def step_validate(context, results_s, keys_s):
    try:
        models.BatchRetentionModel(results_s=results_s, keys_s=keys_s)
        context.refusal = ""
    except pydantic.ValidationError as error:
        context.refusal = str(error)


@then('the document is refused for "{text}"')
def step_check_refused(context, text):
    assert text in context.refusal, context.refusal


@when(
    "shards are listed for {count:d} organisations and divided among {daemons:d} "
    "daemons"
)
def step_shards(context, count, daemons):
    context.organisations = [f"org-{number}" for number in range(count)]
    context.members = [f"daemon-{number}" for number in range(daemons)]
    context.shards = list(shards.list_shards(context.organisations))


@then("each key of known and unknown organisations is swept through one shard")
def step_check_shards(context):
    for name in [*context.organisations[:5], "unknown", "9th"]:
        group = records.make_organisation_prefix(name)
        keys = [("register", f"{name}/key")]
        keys += [("jobs", f"batch_{group}{digit}1") for digit in "07f"]
        keys += [("files", f"file-{group}{digit}1") for digit in "07f"]
        for table, key in keys:
            found = [
                item
                for item in context.shards
                if item.table == table
                and key.startswith(item.prefix)
                and item.find_resume_key(key) is None
            ]
            assert len(found) == 1, (key, found)


@then("every shard has one owner and no daemon has more than a third of them")
def step_check_owners(context):
    counts = dict.fromkeys(context.members, 0)
    for shard in context.shards:
        owners = [
            name
            for name in context.members
            if shards.is_assigned(shard, name, context.members)
        ]
        assert len(owners) == 1, owners
        counts[owners[0]] += 1
    assert max(counts.values()) <= len(context.shards) / 3, counts


@when("the sweepers are fuzzed with {examples:d} examples of {steps:d} steps")
def step_fuzz(context, examples, steps):
    context.steps_run = fuzzing.run_machine(_MACHINE, examples, steps)


@then("the sweepers were fuzzed for at least {count:d} steps")
def step_check_steps(context, count):
    assert context.steps_run >= count, context.steps_run


@then("the fuzzing rejects sweepers without conditional writes")
def step_check_broken(context):
    broken = fuzz_retention.UnconditionalMachine
    assert fuzzing.find_failure(broken, 200, 40) is not None


@when("{daemons:d} daemons sweep for {duration_s:d} s")
def step_pace(context, daemons, duration_s):
    context.rates = {}
    for kind in pacing.BudgetKind:
        manual = clock.ManualClock()
        pacer = pacing.Pacer(manual, lambda: daemons, manual.advance)
        count = 0
        while manual.monotonic_s() < duration_s:
            pacer.acquire(kind, 1)
            count += 1
        context.rates[kind] = count * daemons / duration_s
    print(context.rates)


@then(
    "together they read at most {reads:d} rows and write at most {writes:d} rows a "
    "second"
)
def step_check_rates(context, reads, writes):
    # The first call of each daemon is not delayed, which adds 340 calls to 3,600 s.
    first = 340 / 3600
    assert context.rates[pacing.BudgetKind.ROWS_READ] <= reads + 2 * first
    assert context.rates[pacing.BudgetKind.ROWS_WRITTEN] <= writes + 2 * first


@when("a job of {count:d} chunks is swept until nothing is left")
def step_sweep_job(context, count):
    world = fuzz_retention.RetentionMachine()
    world.chunk_count = count
    world.upload_file(0)
    world.create_job(0)
    (stored,) = world.list_open()
    for number in range(count):
        world.process_chunk(stored, number, "commit")
    world.finish(stored)
    before = len(world.store.history)
    world.store.call_counts.clear()
    for _ in range(6):
        world.clock.advance(retention_world.RESULTS_S * 0.7)
        world.sweepers[0].sweep()
    context.writes = sum(len(item.writes) for item in world.store.history[before:])
    context.left = world.store.rows("jobs"), world.store.rows("chunks")
    print(f"{context.writes} rows written, calls {dict(world.store.call_counts)}")


@then("at most {count:d} rows were written for it")
def step_check_writes(context, count):
    assert context.left == ({}, {}), context.left
    assert context.writes <= count, context.writes


@given(
    "a fleet of {daemons:d} daemons that keeps results for {results_s:d} s and keys "
    "for {keys_s:d} s"
)
def step_fleet(context, daemons, results_s, keys_s):
    periods = {"results_s": results_s, "inputs_s": results_s, "keys_s": keys_s}
    context.batch = batch_fleet.BatchFleet(
        daemon_settings={"retention": {"interval_s": 1.0}},
        daemons=daemons,
        engines=2,
        services=1,
        token_ms=2.0,
        model_service={"batch": {"retention": periods}},
        fleet_document={"register_retention": {"outcomes_s": results_s}},
    )
    context.cleanups.append(context.batch.close)
    context.batch.start()


def _call(context, index, method, path, body=None, **headers):
    """Call a daemon; return the status, the headers and the body."""
    request = urllib.request.Request(
        context.batch.fleet.daemons[index].url + path,
        None if body is None else json.dumps(body).encode(),
        {
            "Authorization": f"Bearer {context.batch.fleet.caller_key()}",
            "Content-Type": "application/json",
            **headers,
        },
        method=method,
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


@when("a job of {count:d} items completes and an at-most-once call is made")
def step_complete(context, count):
    lines = batch_fleet.make_lines(count, context.batch.fleet.plan.model)
    source = context.batch.upload(lines)
    context.headers = {"Idempotency-Key": "night-1"}
    context.source_id = source.id
    created = context.batch.create(source.id, **context.headers)
    context.job = context.batch.wait(created.id)
    assert len(context.batch.read(context.job.output_file_id)) == count
    status, _, body = _call(
        context, 0, "POST", "/services/desk/orders", {}, **{"Idempotency-Key": "o1"}
    )
    assert status in (200, 201), body


@when("a daemon is killed while the sweeps begin")
def step_kill(context):
    """Kill the daemon that sweeps the job's shard."""
    daemons = context.batch.fleet.daemons
    names = [item.name for item in daemons]
    (shard,) = [
        item
        for item in shards.list_shards(context.batch.fleet.plan.organisations)
        if context.job.id.startswith(item.prefix) and not item.skipped
    ]
    owner = next(
        item for item in daemons if shards.is_assigned(shard, item.name, names)
    )
    owner.kill()
    context.alive = next(
        index for index, item in enumerate(daemons) if item is not owner
    )


def _wait_for(is_true, timeout_s, text):
    deadline_s = time.monotonic() + timeout_s
    while not is_true():
        assert time.monotonic() < deadline_s, text()
        time.sleep(0.2)


@then('another daemon reports the job as 410 "{code}" with run state "{run_state}"')
def step_check_gone(context, code, run_state):
    path = f"/v1/batches/{context.job.id}"
    content = f"/v1/files/{context.job.output_file_id}/content"
    _wait_for(
        lambda: _call(context, context.alive, "GET", path)[0] == 410,
        60,
        lambda: "the job has not expired",
    )
    for gone in (path, content):
        status, headers, body = _call(context, context.alive, "GET", gone)
        assert status == 410, (gone, status, body)
        assert json.loads(body)["error"]["code"] == code, body
        assert headers["X-Run-State"] == run_state, headers["X-Run-State"]


@then("the same request gets the same error and creates no job")
def step_check_resubmitted(context):
    body = {
        "input_file_id": context.source_id,
        "endpoint": batch_fleet.ENDPOINT,
        "completion_window": "24h",
    }
    status, headers, data = _call(
        context, context.alive, "POST", "/v1/batches", body, **context.headers
    )
    assert status == 410, (status, data)
    assert headers["X-Run-State"] == "ran"
    rows = _read_rows(context, "jobs")
    assert list(rows) == [context.job.id], rows


def _read_rows(context, table):
    """Return the last value of each row that has not been deleted."""
    last = {}
    for entry in context.batch.fleet.store.record()["history"]:
        if entry["table"] == table:
            last[entry["key"]] = entry["value"]
    return {key: value for key, value in last.items() if value is not None}


@then(
    "its objects, chunk rows, input file and the outcome are deleted within "
    "{limit_s:d} s"
)
def step_check_deleted(context, limit_s):
    def list_left():
        tables = ("chunks", "files", "register")
        left = {table: list(_read_rows(context, table)) for table in tables}
        url = f"{context.batch.fleet.store.url}/v1/objects?prefix="
        with urllib.request.urlopen(url, timeout=20) as response:
            return left, json.load(response)["objects"]

    def is_empty():
        rows, objects = list_left()
        return not objects and not any(rows.values())

    _wait_for(is_empty, limit_s, list_left)


@then("the deletions are counted by kind")
def step_check_metrics(context):
    totals = {}
    for index, daemon in enumerate(context.batch.fleet.daemons):
        if not daemon.process.is_running:
            continue
        for line in _call(context, index, "GET", "/metrics")[2].decode().splitlines():
            if line.startswith("endivevane_retention_deleted_total{"):
                name, value = line.rsplit(" ", 1)
                kind = name.split('"')[1]
                totals[kind] = totals.get(kind, 0) + float(value)
    print(totals)
    expected = {"result_object": 2, "chunk_row": 2, "input_object": 2}
    expected |= {"file_row": 1, "register_row": 1}
    assert totals == expected, totals
