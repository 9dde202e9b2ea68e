import json
import time

import openai
from behave import given, then, when

from features.support import batch_fleet

MODEL = "small-lm"


def _start(context, **plan):
    context.batch = batch_fleet.BatchFleet(model=MODEL, **plan)
    context.cleanups.append(context.batch.close)
    context.batch.start()


@given("a batch fleet of {daemons:d} daemons and {engines:d} engines")
def step_fleet(context, daemons, engines):
    _start(context, daemons=daemons, engines=engines, token_ms=4.0)


@given(
    "a batch fleet of {daemons:d} daemons and {engines:d} engines with items of "
    "{item_ms:d} ms"
)
def step_slow_fleet(context, daemons, engines, item_ms):
    _start(context, daemons=daemons, engines=engines, token_ms=item_ms / 8)


@when("a job of {count:d} items is created")
def step_create(context, count):
    context.count = count
    source = context.batch.upload(batch_fleet.make_lines(count, MODEL))
    context.job = context.batch.create(source.id)


@when('a job of {count:d} items is created with the key "{key}"')
def step_create_with_key(context, count, key):
    context.count = count
    context.lines = batch_fleet.make_lines(count, MODEL)
    headers = {"Idempotency-Key": key}
    source = context.batch.upload(context.lines, **headers)
    context.job = context.batch.create(source.id, **headers)
    context.source = source
    context.headers = headers


@when("the daemon that holds a chunk is killed")
def step_kill(context):
    context.victim = context.batch.wait_for_owner()
    context.victim.kill()
    context.killed_at_s = time.time()


@when("the daemon that holds a chunk is paused for {pause_s:d} s")
def step_pause(context, pause_s):
    context.victim = context.batch.wait_for_owner()
    context.victim.pause()
    time.sleep(pause_s)
    context.victim.resume()


@when("the store is down for {outage_s:d} s")
def step_outage(context, outage_s):
    context.batch.wait_for_owner()
    store = context.batch.fleet.store
    store.set_faults(down=True)
    try:
        client = context.batch.client().with_options(max_retries=0)
        client.batches.create(
            input_file_id="file-x",
            endpoint=batch_fleet.ENDPOINT,
            completion_window="24h",
        )
        context.refusal = None
    except openai.APIStatusError as error:
        context.refusal = error
    time.sleep(outage_s)
    store.set_faults(down=False)


@then("a job that is created meanwhile is refused as not run")
def step_check_refusal(context):
    assert context.refusal is not None
    assert context.refusal.status_code == 503, context.refusal
    assert context.refusal.response.headers["X-Run-State"] == "not-run"
    assert int(context.refusal.response.headers["Retry-After"]) > 0


@when("the store loses the answers to the next {count:d} writes")
def step_lose(context, count):
    context.batch.fleet.store.set_faults(lose_answer=count)


@then("the same request to another daemon gives the same job")
def step_resend(context):
    source = context.batch.upload(context.lines, 1, **context.headers)
    assert source.id == context.source.id
    again = context.batch.create(source.id, 1, **context.headers)
    assert again.id == context.job.id


@then("there is one job in the store")
def step_check_one_job(context):
    history = context.batch.fleet.store.record()["history"]
    keys = {entry["key"] for entry in history if entry["table"] == "jobs"}
    assert keys == {context.job.id}, keys


def _find_live(context):
    daemons = context.batch.fleet.daemons
    return next(index for index, item in enumerate(daemons) if item.process.is_running)


@then("the job completes with {count:d} results in input order")
def step_check_results(context, count):
    index = _find_live(context)
    job = context.batch.wait(context.job.id, index)
    assert job.status == "completed", job
    assert job.request_counts.completed == count, job.request_counts
    found = context.batch.read(job.output_file_id, index)
    assert [line["custom_id"] for line in found] == [f"c{n}" for n in range(count)]
    assert all(line["response"]["status_code"] == 200 for line in found)
    runs = context.batch.runs()
    print(f"items {count}, runs at the engines {len(runs)}")


@then("no chunk was committed twice")
def step_check_commits(context):
    counts = context.batch.count_commits()
    assert len(counts) == -(-context.count // 512), counts
    assert set(counts.values()) == {1}, counts


def _list_takeovers(context):
    """Return the times at which other daemons took over chunks of the victim."""
    name = context.victim.name
    last_owner = {}
    taken = []
    for entry in context.batch.chunk_rows():
        owner = entry["value"]["owner"]
        if last_owner.get(entry["key"]) == name != owner:
            taken.append(entry["at_s"])
        last_owner[entry["key"]] = owner
    assert taken, "nothing was taken over"
    return taken


@then("another daemon claimed the chunk within {limit_s:d} s of the kill")
def step_check_takeover(context, limit_s):
    delays_s = [at_s - context.killed_at_s for at_s in _list_takeovers(context)]
    print(f"taken over after {delays_s}")
    assert max(delays_s) <= limit_s, delays_s


@then("another daemon has taken over a chunk from it")
def step_check_taken_over(context):
    _list_takeovers(context)


@when("the job is cancelled through another daemon once items run")
def step_cancel(context):
    context.batch.wait_for_owner()
    deadline_s = time.monotonic() + 10
    while not any(run["state"] == "started" for run in context.batch.runs()):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    started_s = time.time()
    job = context.batch.client(2).batches.cancel(context.job.id)
    context.acknowledged_s = time.time()
    context.cancelled = job
    print(f"cancel took {context.acknowledged_s - started_s:.3f} s")
    assert job.status == "cancelled", job


@then("every running item is cancelled at the engines within {limit_s:d} s")
def step_check_cancelled(context, limit_s):
    time.sleep(max(0.0, context.acknowledged_s + limit_s - time.time()))
    runs = context.batch.runs()
    late = [
        run
        for run in runs
        if run["ended_at_s"] is None
        or run["ended_at_s"] > context.acknowledged_s + limit_s
    ]
    assert not late, late
    cancelled = [run for run in runs if run["state"] == "cancelled"]
    print(f"runs {len(runs)}, cancelled {len(cancelled)}")
    assert cancelled


@then("no item was sent after the cancel was acknowledged")
def step_check_sent(context):
    time.sleep(1.0)
    late = [
        run["accepted_at_s"] - context.acknowledged_s
        for run in context.batch.runs()
        if run["accepted_at_s"] > context.acknowledged_s
    ]
    assert not late, late


@then("no result was added after the cancel was acknowledged")
def step_check_no_result(context):
    late = [
        entry
        for entry in context.batch.chunk_rows()
        if entry["at_s"] > context.acknowledged_s
    ]
    assert not late, late
    job = context.batch.client().batches.retrieve(context.job.id)
    assert job.request_counts == context.cancelled.request_counts


@given('every engine crashes on "{text}" and is restarted')
def step_crash_engines(context, text):
    context.batch.engine_restarter = batch_fleet.EngineRestarter(
        context.batch.fleet.engines, crash_on=text
    )


@when("a job of {count:d} items whose item {index:d} crashes engines is created")
def step_create_crashing(context, count, index):
    lines = batch_fleet.make_lines(count, MODEL)
    lines[index] = lines[index].replace("question", "poison")
    context.count = count
    source = context.batch.upload(lines)
    context.job = context.batch.create(source.id)


@then('the job completes with item {index:d} failed as "{code}"')
def step_check_crashing(context, index, code):
    job = context.batch.wait(context.job.id, timeout_s=90)
    assert job.status == "completed", job
    failed = context.batch.read(job.error_file_id)
    reasons = [(line["custom_id"], line["error"]["code"]) for line in failed]
    assert reasons == [(f"c{index}", code)], reasons
    print(f"engine restarts {context.batch.engine_restarter.restart_count}")
    context.done = job


@then("engines were restarted at most {count:d} times")
def step_check_restarts(context, count):
    assert (
        context.batch.engine_restarter.restart_count <= count
    ), context.batch.engine_restarter.restart_count


@then("the other {count:d} items have results")
def step_check_others(context, count):
    found = context.batch.read(context.done.output_file_id)
    assert len({line["custom_id"] for line in found}) == len(found) == count


_INVALID = {
    "{not json": (None, "invalid_json"),
    "[1]": (None, "invalid_item"),
    '{"method":"POST"}': (None, "invalid_custom_id"),
    '{"custom_id":"m","method":"GET"}': ("m", "invalid_method"),
    '{"custom_id":"u","method":"POST","url":"/v1/x"}': ("u", "invalid_url"),
    '{"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":1}': (
        "b",
        "invalid_body",
    ),
}


@when("a job with every kind of invalid line is created")
def step_create_invalid(context):
    good = batch_fleet.make_lines(3, MODEL)
    refused = json.loads(good[0])
    refused["custom_id"] = "r"
    refused["body"]["messages"] = "text"
    other = json.loads(good[0])
    other["custom_id"] = "o"
    other["body"]["model"] = "other-lm"
    extra = [good[1], json.dumps(refused), json.dumps(other)]
    source = context.batch.upload([*good, *_INVALID, "", *extra])
    context.job = context.batch.create(source.id)


@then("each invalid line has its reason in the error file")
def step_check_invalid(context):
    job = context.batch.wait(context.job.id)
    assert job.status == "completed", job
    found = context.batch.read(job.error_file_id)
    reasons = [
        (line["custom_id"], line["error"]["code"] if line["error"] else None)
        for line in found
    ]
    expected = [
        *_INVALID.values(),
        ("c1", "duplicate_custom_id"),
        ("r", None),
        ("o", "model_mismatch"),
    ]
    assert reasons == expected, reasons
    answered = next(line for line in found if line["custom_id"] == "r")
    assert answered["response"]["status_code"] == 400, answered
    assert job.request_counts.completed == 3, job.request_counts


@when("the client uploads, lists, reads and creates")
def step_client(context):
    client = context.batch.client()
    lines = batch_fleet.make_lines(600, MODEL)
    source = context.batch.upload(lines)
    assert client.files.retrieve(source.id).bytes == source.bytes
    assert source.id in [item.id for item in client.files.list()]
    text = client.files.content(source.id).text
    assert text == "\n".join(lines) + "\n"
    job = client.batches.create(
        input_file_id=source.id,
        endpoint=batch_fleet.ENDPOINT,
        completion_window="24h",
        metadata={"shift": "night"},
    )
    assert job.metadata == {"shift": "night"}
    assert job.id in [item.id for item in client.batches.list()]
    context.source, context.job = source, job


@then("an input file in use can't be deleted until the job is cancelled")
def step_delete(context):
    client = context.batch.client(1)
    try:
        client.files.delete(context.source.id)
        raise AssertionError("the file was deleted while a job used it")
    except openai.ConflictError as error:
        assert context.job.id in str(error), error
    assert client.batches.cancel(context.job.id).status == "cancelled"
    assert client.files.delete(context.source.id).deleted
    try:
        client.files.retrieve(context.source.id)
        raise AssertionError("the file is still there")
    except openai.NotFoundError:
        pass
