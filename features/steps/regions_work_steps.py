import concurrent.futures
import time

import openai
from behave import given, then, when

from features.support import batch_fleet, engine_caller, region_fleet, region_plan
from tools import fleet_plan, toml_text

_SERVICE = "chat"
_SECOND_MODEL = "second-lm"
_ORDERS = "/services/desk/orders"
# A daemon polls the open jobs at least every 0.55 s. A poll takes up to two calls of
# the table service, each of which may first try a connection from before the cut.
_CANCEL_LIMIT_S = 3.0


@given('two regions in which "{owner}" of the second one owns the engines')
def step_start(context, owner):
    context.regions = regions = region_fleet.RegionFleet(
        services=2,
        service_arguments=("--work-ms", "1500"),
        engine_arguments=("--load-ms", "200"),
        # Each engine must have the model, so that the owner reacts when one loses it.
        model_service={"models": [{"name": "small-lm", "min_replicas": 4}]},
    )
    context.cleanups.append(regions.close)
    regions.start()
    _rename_service(regions.fleet)
    context.first = [item for item in regions.fleet.daemons if item.zone == "zone-a"]
    context.second = [item for item in regions.fleet.daemons if item.zone == "zone-c"]
    context.answers = {}
    engine_caller.wait_until(
        lambda: _read_owner(context)[0] == owner,
        20.0,
        f"{owner} does not own the engines",
    )


def _rename_service(running):
    """Publish the service under a new name.

    During start-up any daemon may become the owner of the engines. The owner for a new
    name is the one that the hash selects among all daemons.
    """
    old, new = fleet_plan.MODEL_SERVICE, _SERVICE
    path = running.documents / f"{old}.endivevane.toml"
    text = path.read_text().replace(f'name = "{old}"', f'name = "{new}"')
    path.rename(path.with_name(f"{new}.endivevane.toml")).write_text(text)
    command = ("publish", str(running.documents), "--remove", f"services/{old}")
    run = running.run_ctl(*command)
    assert run.returncode == 0, run


def _rows(context, table):
    history = context.regions.fleet.store.record()["history"]
    return [entry for entry in history if entry["table"] == table and entry["value"]]


def _read_owner(context):
    """Return the owner of the engines and its fencing token."""
    store = context.regions.fleet.store
    status, _, row = engine_caller.get(store.address, f"/v1/rows/owners/{_SERVICE}")
    return (row["value"]["owner"], row["revision"]) if status == 200 else ("", 0)


def _claims(context, job_id):
    """Return the owner of each chunk of a job that is claimed now."""
    last = {item["key"]: item["value"] for item in _rows(context, "chunks")}
    return {
        key: row["owner"]
        for key, row in last.items()
        if key.startswith(job_id) and row["state"] == "claimed"
    }


@given("two jobs, of {count:d} and {other:d} items, with chunks claimed on both sides")
def step_jobs(context, count, other):
    regions = context.regions
    context.file_id = regions.upload(
        batch_fleet.make_lines(other, "small-lm", 100, "long {}")
    ).id
    context.cancelled_id = regions.create(context.file_id).id
    _await_shared(context, context.cancelled_id)
    lines = batch_fleet.make_lines(count, "small-lm", 10, "short {}")
    context.job_id = regions.create(regions.upload(lines).id, window="12h").id
    _await_shared(context, context.job_id)


def _await_shared(context, job_id):
    """Wait until daemons of both regions hold chunks of a job.

    A busy daemon polls for further jobs every 10 s.
    """
    names = {item.name for item in context.second}

    def is_shared():
        owners = set(_claims(context, job_id).values())
        return owners & names and owners - names

    engine_caller.wait_until(is_shared, 25.0, "no chunks claimed on both sides")


def _order(daemon, context, key):
    headers = {"Authorization": f"Bearer {context.regions.fleet.caller_key()}"}
    headers["Idempotency-Key"] = key
    return engine_caller.post(daemon.address, _ORDERS, {"key": key}, headers)


@given('an order call "{key}" that runs in the second region')
def step_order(context, key):
    executor = concurrent.futures.ThreadPoolExecutor(1)
    context.running = executor.submit(_order, context.second[0], context, key)
    service = context.regions.fleet.services[1]
    engine_caller.wait_until(
        lambda: service.record()["calls"], 5.0, "the call does not run"
    )


@when("the link between the regions is cut")
def step_cut(context):
    context.regions.cut(is_silent=False)
    context.cut_wall_s = time.time()
    context.held = {
        key
        for key, owner in _claims(context, context.cancelled_id).items()
        if owner in {item.name for item in context.second}
    }


@then('the order call "{key}" is answered, and the first region does not send it again')
def step_answered(context, key):
    status, headers, context.answers[key] = context.running.result()
    assert status == 200, (status, context.answers[key])
    status, headers, body = _order(context.first[0], context, key)
    state = headers["X-Run-State"]
    assert (status, state) == (409, "may-have-run"), (status, state, body)


@then("new jobs and order calls are refused as not run in the second region")
def step_refused(context):
    for index, daemon in enumerate(context.second):
        status, headers, body = _order(daemon, context, f"cut-{index}")
        assert (status, headers["X-Run-State"]) == (503, "not-run"), (status, body)
        client = context.regions.client(context.regions.fleet.daemons.index(daemon))
        try:
            client.with_options(max_retries=0).batches.create(
                input_file_id=context.file_id,
                endpoint=batch_fleet.ENDPOINT,
                completion_window="6h",
            )
        except openai.APIStatusError as error:
            state = error.response.headers["X-Run-State"]
            assert (error.status_code, state) == (503, "not-run"), error
        else:
            raise AssertionError("a job was created without the store")
    status, _, body = _order(context.first[0], context, "first")
    assert status == 200, body
    context.answers["first"] = body


@when('the second job is cancelled and a second model is published without "{zone}"')
def step_cancel(context, zone):
    regions = context.regions
    regions.client().batches.cancel(context.cancelled_id)
    context.cancelled_wall_s = time.time()
    running = regions.fleet
    path = running.documents / f"{_SERVICE}.endivevane.toml"
    added = toml_text.render({"models": [{"name": _SECOND_MODEL, "min_replicas": 1}]})
    path.write_text(f"{path.read_text()}\n{added}")
    run = running.run_ctl("publish", str(running.documents), "--exclude-zone", zone)
    assert run.returncode == 0, run


@when("an engine of the second region loses its model after the old owner's term")
def step_lose_model(context):
    left_s = context.regions.cut_s + region_plan.TERM_S + 1.0 - time.monotonic()
    time.sleep(max(0.0, left_s))
    engine = context.regions.fleet.engines[1]
    number = engine_caller.get(engine.address, "/v1/state")[2]["fencing_number"]
    order = {"action": "unload_model", "model": "small-lm", "version": "1"}
    order |= {"fencing_number": number, "sender": "scenario"}
    status, _, body = engine_caller.post(engine.address, "/v1/orders", order)
    assert status == 202, body


@then("the first job completes with each of its {count:d} items committed once")
def step_completed(context, count):
    regions = context.regions
    context.back_wall_s = time.time() - (time.monotonic() - regions.back_s)
    job = regions.wait(context.job_id)
    assert job.status == "completed", job
    assert (job.request_counts.completed, job.request_counts.failed) == (count, 0), job
    lines = regions.read(job.output_file_id)
    ids = [item["custom_id"] for item in lines]
    assert ids == [f"c{index}" for index in range(count)], len(ids)
    doubled = [key for key, number in regions.count_commits().items() if number > 1]
    assert not doubled, doubled
    assert len({row["key"] for row in _rows(context, "jobs")}) == 2


@then(
    "the cut-off daemons ran only their chunks of the cancelled job and stopped in time"
)
def step_stopped(context):
    time.sleep(max(0.0, context.back_wall_s + _CANCEL_LIMIT_S + 2.0 - time.time()))
    late = []
    count = 0
    for engine in context.regions.fleet.engines:
        for run in engine.record()["runs"]:
            if not run["attempt_id"].startswith(context.cancelled_id):
                continue
            sent_s = run["accepted_at_s"]
            if sent_s < context.cancelled_wall_s:
                continue
            count += 1
            number = run["attempt_id"].removeprefix(f"{context.cancelled_id}-")
            chunk = f"{context.cancelled_id}/{int(number.split('-')[0]):06d}"
            if chunk not in context.held or engine.zone != "zone-c":
                late.append((engine.name, run))
            if sent_s > context.back_wall_s + _CANCEL_LIMIT_S:
                late.append((engine.name, run))
    print(
        f"{count} items of the cancelled job sent after the cancel, of {context.held}"
    )
    assert not late, late[:3]


@then("no result was added to the cancelled job")
def step_no_result(context):
    rows = [row for row in _rows(context, "jobs") if row["key"] == context.cancelled_id]
    assert rows[-1]["value"]["state"] == "cancelled", rows[-1]
    revision = max(row["revision"] for row in rows)
    later = [
        row
        for row in _rows(context, "chunks")
        if row["key"].startswith(context.cancelled_id) and row["revision"] > revision
    ]
    assert not later, later


@then("order calls are repeated with their first answer and none ran twice")
def step_orders(context):
    for daemon in context.regions.fleet.daemons:
        for key, answer in context.answers.items():
            status, _, body = _order(daemon, context, key)
            assert (status, body) == (200, answer), (daemon.name, key, status, body)
        # A refused call did not run, so a retry runs.
        status, _, body = _order(daemon, context, "cut-0")
        assert status == 200, (daemon.name, body)
    records = [item.record() for item in context.regions.fleet.services]
    keys = [call["key"] for record in records for call in record["calls"]]
    assert sorted(keys) == ["before", "cut-0", "first"], keys


@then("no engine accepted an order of the old owner after its term")
def step_old_owner(context):
    owner, context.number = _read_owner(context)
    assert owner in {item.name for item in context.first}, owner
    end_s = context.cut_wall_s + region_plan.TERM_S
    for engine in context.regions.fleet.engines:
        orders = engine.record()["orders"]
        taken = [item["fencing_number"] for item in orders if item["accepted"]]
        assert taken == sorted(taken), (engine.name, taken)
        late = [
            item
            for item in orders
            if item["fencing_number"] < context.number
            and item["at_s"] > end_s
            and item.get("sender") != "scenario"
        ]
        assert not late, (engine.name, late)


@then("within 12 s every engine follows the new owner and has the published models")
def step_new_owner(context):
    engines = context.regions.fleet.engines

    def has_converged():
        states = [engine_caller.get(item.address, "/v1/state")[2] for item in engines]
        loaded = [{model["model"] for model in item["models"]} for item in states]
        numbers = {item["fencing_number"] for item in states}
        has_first = all("small-lm" in item for item in loaded)
        has_second = any(_SECOND_MODEL in item for item in loaded)
        return min(numbers) >= context.number and has_first and has_second

    engine_caller.wait_until(
        has_converged, 12.0, "the engines do not follow the new owner"
    )
