import time

from behave import given, then, when

from endivevane.online import contract
from features.support import bench_steps, engine_caller, scheduling
from standins import completions
from tools import fleet, fleet_plan

_BLOCK_BYTES = 256


def _report(context, name, role):
    context.bench.clock.advance(1.0)
    report = scheduling.make_report(
        as_of_s=context.bench.make_wall_s(), slots=16, role=role
    )
    context.bench.scheduler.set_load(name, report)


@given(
    "a scheduler with 2 decode engines and a prefill engine in its region, handover "
    "from {size:d} bytes"
)
def step_make_scheduler(context, size):
    targets = [scheduling.make_target(name, slots=16) for name in ("t1", "t2", "t3")]
    # The prefill engine of the other region must not be used.
    targets.append(scheduling.make_target("t4", zone="zone-c", slots=16))
    current = scheduling.make_snapshot(
        targets, service={"roles": {"handover_min_prompt_bytes": size}}
    )
    context.bench = scheduling.Bench(current)
    for name, role in (("t1", "decode"), ("t2", "prefill"), ("t3", "decode")):
        _report(context, name, role)
    _report(context, "t4", "prefill")


def _submit(context, size, seed=0):
    hashes = [seed * 1000 + index for index in range(1, size // _BLOCK_BYTES + 1)]
    attempt = context.bench.submit(prefix_hashes=hashes).attempt
    assert attempt.target.name in ("t1", "t3"), attempt
    return attempt


@then("a prompt of {size:d} bytes goes to a decode engine over the near prefill engine")
def step_check_over(context, size):
    assert _submit(context, size).prefill.name == "t2"


@then("a prompt of {size:d} bytes goes to a decode engine directly")
def step_check_short(context, size):
    assert _submit(context, size, seed=1).prefill is None


@then("the prompt of {size:d} bytes sent again goes to a decode engine directly")
def step_check_cached(context, size):
    assert _submit(context, size).prefill is None


@then("a prompt of {size:d} bytes whose first attempt fails is sent again directly")
def step_check_again(context, size):
    attempt = _submit(context, size, seed=2)
    assert attempt.prefill is not None
    failure = contract.AttemptFailure.CONNECT_FAILED
    again = bench_steps.fail(context.bench, attempt, failure).attempt
    assert (again.number, again.prefill) == (2, None), again


@when('the near prefill engine reports the role "{role}"')
def step_report(context, role):
    _report(context, "t2", role)


@then("another prompt of {size:d} bytes is not handed over")
def step_check_none(context, size):
    hashes = [9000 + index for index in range(size // _BLOCK_BYTES)]
    decision = context.bench.submit(prefix_hashes=hashes)
    assert decision.attempt.prefill is None, decision


@given(
    "a fleet of 1 daemon and 4 engines of which one is for prefill, handover from "
    "{size:d} bytes"
)
def step_start_fleet(context, size):
    plan = fleet.FleetPlan(
        daemons=1,
        engines=4,
        zones=(fleet_plan.Zone("zone-a", "west"),),
        model_service={
            "roles": {"prefill_share": 0.25, "handover_min_prompt_bytes": size}
        },
    )
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()
    context.prompts = 0

    def find_prefill():
        context.prefill = [
            item
            for item in context.fleet.engines
            if engine_caller.get(item.address, "/v1/load")[2]["role"] == "prefill"
        ]
        return len(context.prefill) == 1

    engine_caller.wait_until(find_prefill, 32, "no engine has the role prefill")
    context.others = [
        item for item in context.fleet.engines if item not in context.prefill
    ]
    # Two polls of the load reports.
    time.sleep(2.0)


@when("a prompt of {size:d} bytes is answered within {limit:d} seconds")
@then("a prompt of {size:d} bytes is answered within {limit:d} seconds")
def step_ask(context, size, limit):
    context.prompts += 1
    text = context.prompt = f"question {context.prompts} ".ljust(size, "x")
    key = context.fleet.caller_key()
    started_s = time.monotonic()
    status, _, answer = engine_caller.post(
        context.fleet.daemons[0].address,
        "/v1/chat/completions",
        engine_caller.make_body(text, 8),
        {"Authorization": f"Bearer {key}"},
    )
    elapsed_s = time.monotonic() - started_s
    assert status == 200, (status, answer)
    found = answer["choices"][0]["message"]["content"]
    assert found == engine_caller.expected_text(text, 8), found
    assert elapsed_s < limit, elapsed_s
    print(f"elapsed_ms={elapsed_s * 1000:.0f}")


@when("each engine crashes on a prompt of {size:d} bytes that is sent {count:d} times")
def step_send_crashing(context, size, count):
    for item in context.fleet.engines:
        item.set_faults(crash_on="poison")
    context.statuses = [
        engine_caller.post(
            context.fleet.daemons[0].address,
            "/v1/chat/completions",
            engine_caller.make_body("poison".ljust(size, "x"), 8),
            {"Authorization": f"Bearer {context.fleet.caller_key()}"},
        )[0]
        for _ in range(count)
    ]


@then(
    "it was never answered and {deaths:d} engines have crashed, the prefill engine "
    "among them"
)
def step_check_crashes(context, deaths):
    crashed = [item for item in context.fleet.engines if not item.process.is_running]
    print(f"statuses={context.statuses} died={len(crashed)}")
    assert 200 not in context.statuses, context.statuses
    assert len(crashed) == deaths and context.prefill[0] in crashed, crashed


def _list_runs(engines):
    return [run for item in engines for run in item.record()["runs"]]


@then("the prefill engine ran it with one token and the other engine had it cached")
def step_check_handed_over(context):
    (prompt,) = _list_runs(context.prefill)
    (run,) = _list_runs(context.others)
    assert prompt["tokens"] == 1 and prompt["state"] == "finished", prompt
    assert run["cached_blocks"] == 32 and run["tokens"] == 8, run


@when("the {engine} fails at the {step} of the next prompt")
def step_set_fault(context, engine, step):
    # Only the engine that receives the handover crashes; no other imports anything.
    engines = context.prefill if engine == "prefill engine" else context.others
    for item in engines:
        faults = {"silent": True} if step == "silence" else {"crash_on_kv": step}
        item.set_faults(**faults)
    context.faulty = engines


@then("exactly one engine has finished it and {deaths:d} crashed")
def step_check_once(context, deaths):
    alive = [item for item in context.others if item.process.is_running]
    crashed = [item for item in context.faulty if not item.process.is_running]
    digest = completions.digest_messages(engine_caller.make_messages(context.prompt))
    runs = [run for run in _list_runs(alive) if run["prompt_sha256"] == digest]
    print(f"alive={len(alive)} died={len(crashed)} runs={len(runs)}")
    assert len(crashed) == deaths, crashed
    assert [run["tokens"] for run in runs] == [8], runs
