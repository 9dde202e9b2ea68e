import json
import urllib.error
import urllib.request

from behave import given, then, when

from tools import fleet, fleet_plan

_DRAIN_TIMEOUT_S = 10.0


@given(
    "a fleet for operators with {daemons:d} daemons, {engines:d} engines and "
    "{services:d} plain service"
)
def step_fleet(context, daemons, engines, services):
    plan = fleet.FleetPlan(daemons=daemons, engines=engines, services=services)
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()


def _post_chat(context, daemon, model="small-lm"):
    body = {"model": model, "messages": [{"role": "user", "content": "hello"}]}
    request = urllib.request.Request(
        f"{daemon.url}/v1/chat/completions",
        json.dumps(body).encode(),
        {"Authorization": f"Bearer {context.fleet.caller_key()}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.headers, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.load(error)


@when('endivevanectl runs "status", "services", "targets" and "jobs list" as JSON')
def step_read(context):
    context.outputs = {}
    for words in (["status"], ["services"], ["targets"], ["jobs", "list"]):
        run = context.fleet.run_ctl(*words, "--output", "json")
        assert run.returncode == 0, run
        context.outputs[words[0]] = run.stdout


@then("each output is one JSON object")
def step_json(context):
    context.outputs = {key: json.loads(text) for key, text in context.outputs.items()}
    assert all(isinstance(value, dict) for value in context.outputs.values())


@then("the status names both daemons as alive and a revision above 0")
def step_status(context):
    status = context.outputs["status"]
    states = {item["name"]: item["state"] for item in status["members"]}
    assert states == {"daemon-0": "alive", "daemon-1": "alive"}, states
    assert status["ready"] and status["revision"] > 0, status


@then("the targets have reported their slots")
def step_targets(context):
    rows = {row["name"]: row for row in context.outputs["targets"]["targets"]}
    assert rows["engine-0"]["slots"] == context.fleet.plan.slots, rows
    assert rows["service-0"]["service"] == fleet_plan.PLAIN_SERVICE, rows


@when("a caller completes a chat")
def step_chat(context):
    status, headers, _ = _post_chat(context, context.fleet.daemons[1])
    assert status == 200, status
    context.request_id = headers["X-Request-Id"]


@then('"explain" with its request id shows the target, the attempts and the outcome')
def step_explain(context):
    run = context.fleet.run_ctl("explain", context.request_id, "--output", "json")
    assert run.returncode == 0, run
    details = " ".join(item["detail"] for item in json.loads(run.stdout)["events"])
    for text in ("target=engine-", "attempts=1", "outcome=completed"):
        assert text in details, details


@then('"explain" with an unknown request id fails with exit code 1 and says so')
def step_explain_unknown(context):
    run = context.fleet.run_ctl("explain", "req-unknown")
    assert run.returncode == 1, run
    assert "no record of req-unknown" in run.stderr, run


@when("the same service is published from two different files")
def step_publish_twice(context):
    path = context.fleet.documents / f"{fleet_plan.PLAIN_SERVICE}.endivevane.toml"
    text = path.read_text()
    for timeout_s in (6.0, 7.0):
        path.write_text(text + f"\n[online]\ndeadline_s = {timeout_s}\n")
        run = context.fleet.run_ctl("publish", str(path), "--wait-s", "0")
        assert run.returncode in (0, 6), run


@then("the second publish changes it to the second file's content")
def step_second(context):
    path = context.fleet.documents / f"{fleet_plan.PLAIN_SERVICE}.endivevane.toml"
    run = context.fleet.run_ctl("diff", str(path), "--output", "json")
    assert run.returncode == 0, run
    assert json.loads(run.stdout)["changed"] == [], run.stdout


@then("a publish while the table service is down ends with exit code 5")
def step_down(context):
    context.fleet.store.set_faults(down=True)
    run = context.fleet.run_ctl("publish", str(context.fleet.documents))
    context.fleet.store.set_faults(down=False)
    assert run.returncode == 5, run


@when("endivevanectl drains the first daemon")
def step_drain(context):
    run = context.fleet.run_ctl("drain", context.fleet.daemons[0].address)
    assert run.returncode == 0, run


@then("the first daemon ends with status 0 within 10 seconds")
def step_ended(context):
    assert context.fleet.daemons[0].process.wait(_DRAIN_TIMEOUT_S) == 0


@then("the second daemon answers requests")
def step_goes_on(context):
    status, _, _ = _post_chat(context, context.fleet.daemons[1])
    assert status == 200, status


@when('"status" runs with a caller\'s key')
def step_caller_key(context):
    context.fleet.operator_key = context.fleet.caller_key()
    context.run = context.fleet.run_ctl("status")


@when('"status" runs with an unknown key')
def step_unknown_key(context):
    context.fleet.operator_key = "nobody"
    context.run = context.fleet.run_ctl("status")


@then('the exit code of the command is {code:d} and standard error mentions "{text}"')
def step_exit(context, code, text):
    assert context.run.returncode == code, context.run
    assert text in context.run.stderr, context.run.stderr


@when("a caller asks for an unknown model")
def step_unknown_model(context):
    status, headers, body = _post_chat(context, context.fleet.daemons[0], "no-model")
    assert status == 404, status
    assert headers["X-Run-State"] == "not-run"
    assert body["error"]["code"] == "model_not_found", body


@then('the metrics show one refusal "{reason}" with "{run_state}"')
def step_metrics(context, reason, run_state):
    with urllib.request.urlopen(f"{context.fleet.daemons[0].url}/metrics") as response:
        text = response.read().decode()
    line = f'endivevane_refusals_total{{reason="{reason}",run_state="{run_state}"}} 1.0'
    assert line in text, [item for item in text.splitlines() if "refusals" in item]
