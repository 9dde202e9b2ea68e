import dataclasses
import time

from behave import given, then, when

from endivevane.configuration import models, snapshot
from endivevane.coordination import rendezvous
from endivevane.external import engine
from endivevane.online import contract
from endivevane.orders import plans, roles
from features.support import engine_caller, scheduling
from tools import fleet


def _report(context, name, role):
    report = scheduling.make_report(as_of_s=context.bench.make_wall_s(), role=role)
    context.bench.scheduler.set_load(name, report)


@given('a scheduler with 3 targets of which "{name}" reports the role "{role}"')
def step_make_scheduler(context, name, role):
    targets = [scheduling.make_target(f"t{index}", slots=16) for index in (1, 2, 3)]
    context.bench = scheduling.Bench(scheduling.make_snapshot(targets))
    for other in ("t2", "t3"):
        _report(context, other, "decode")
    _report(context, name, role)


@when("{count:d} requests are sent and stay open")
def step_send(context, count):
    context.chosen = []
    for _ in range(count):
        decision = context.bench.submit()
        context.chosen.append(decision.attempt.target.name)


@then('none went to "{name}" and both others got some')
def step_check_chosen(context, name):
    assert set(context.chosen) == {"t1", "t2", "t3"} - {name}, context.chosen


@when('all targets report the role "{role}" and a request arrives')
def step_report_all(context, role):
    context.bench.clock.advance(1.0)
    for name in ("t1", "t2", "t3"):
        _report(context, name, role)
    context.decision = context.bench.submit()


@then("it waits")
def step_check_waits(context):
    assert isinstance(context.decision, contract.Queued), context.decision
    assert context.bench.scheduler.poll() == []


@when('"{name}" reports the role "{role}"')
def step_report_one(context, name, role):
    context.bench.clock.advance(1.0)
    _report(context, name, role)


@then('the waiting request is sent to "{name}"')
def step_check_sent(context, name):
    (sent,) = context.bench.scheduler.poll()
    assert sent.attempt.target.name == name


def _make_service(share, declared, targets=()):
    document = {
        "kind": "service",
        "name": "answers",
        "type": "model",
        "organisations": ["acme"],
        "models": [
            {"name": name, "min_replicas": replicas}
            for name, replicas in declared.items()
        ],
        "roles": {"prefill_share": share},
        "targets": [
            {"name": name, "address": "127.0.0.1:9", "zone": "z", "role": role}
            for name, role in targets
        ],
    }
    return snapshot.build_snapshot(1, {"services/answers": document})


def _view(name, *held, role="both"):
    loaded = tuple(engine.LoadedModel(model, "1", ()) for model in held)
    return plans.EngineView(name, "z", loaded, role=role)


@given(
    '{count:d} engines in memory, 2 with "a" alone, and a prefill share of {share:g}'
)
def step_make_engines(context, count, share):
    context.share = share
    context.assigner = roles.RoleAssigner()
    context.views = [_view(f"e{n}", "a" if n < 2 else "b") for n in range(count)]


@when('"a" is declared with {a:d} replicas and "b" with {b:d}')
def step_declare(context, a, b):
    current = _make_service(context.share, {"a": a, "b": b})
    context.service = current.services["answers"]


def _decide(context, views):
    assigned = context.assigner.compute(
        context.service.model, context.service.targets, views, 8
    )
    return {name for name, role in assigned.items() if role == "prefill"}


@then('{count:d} engines have the role prefill, none of them holds "a"')
def step_check_share(context, count):
    context.prefill = _decide(context, context.views)
    assert len(context.prefill) == count, context.prefill
    assert not context.prefill & {"e0", "e1"}, context.prefill


@then(
    "with a share of {share:g} the one engine keeps the role when one that ranks "
    "higher joins"
)
def step_check_kept(context, share):
    context.service = _make_service(share, {"a": 2, "b": 3}).services["answers"]
    (chosen,) = _decide(context, context.views)
    names = (f"n{number}" for number in range(1000))
    higher = next(
        name
        for name in names
        if rendezvous.score("answers", name) > rendezvous.score("answers", chosen)
    )
    views = [
        dataclasses.replace(view, role="prefill") if view.name == chosen else view
        for view in context.views
    ]
    assert _decide(context, [*views, _view(higher, "b")]) == {chosen}


@then("with {count:d} live engines some have the role prefill")
def step_check_some(context, count):
    assert _decide(context, context.views[:count])


@then("with 4, 5 and again 5 live engines none has")
def step_check_lost(context):
    found = [_decide(context, context.views[:count]) for count in (4, 5, 5)]
    assert found == [set()] * 3, found


@given('3 engines in memory that hold "a", of which all are declared as prefill')
def step_declare_prefill(context):
    context.names = ["e0", "e1", "e2"]
    context.declared_roles = dict.fromkeys(context.names, "prefill")


def _decide_declared(context):
    current = _make_service(0.0, {"a": 1}, context.declared_roles.items())
    service = current.services["answers"]
    assert isinstance(service.model, models.ServiceModel)
    views = [_view(name, "a") for name in context.names]
    return roles.RoleAssigner().compute(service.model, service.targets, views, 3)


@then("all 3 engines get the role both")
def step_check_reverted(context):
    assert set(_decide_declared(context).values()) == {"both"}


@when("one is declared as decode instead")
def step_declare_decode(context):
    context.declared_roles["e1"] = "decode"


@then("it is the only one without the role prefill")
def step_check_declared(context):
    assert _decide_declared(context) == context.declared_roles


@given("a fleet of 3 daemons and 4 engines with a prefill share of {share:g}")
def step_start_fleet(context, share):
    plan = fleet.FleetPlan(
        daemons=3, engines=4, model_service={"roles": {"prefill_share": share}}
    )
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()
    context.live = list(context.fleet.engines)


def _read_roles(context):
    return {
        item.name: engine_caller.get(item.address, "/v1/state")[2]["role"]
        for item in context.live
    }


@then("within {limit:d} seconds 1 engine has the role prefill")
def step_wait_prefill(context, limit):
    engine_caller.wait_until(
        lambda: sorted(_read_roles(context).values()) == ["both"] * 3 + ["prefill"],
        limit,
        "no engine has the role prefill",
    )
    context.prefill_name = next(
        name for name, role in _read_roles(context).items() if role == "prefill"
    )


@when("2 of the other engines are killed")
def step_kill_two(context):
    for item in [x for x in context.live if x.name != context.prefill_name][:2]:
        item.kill()
        context.live.remove(item)


@then("within {limit:d} seconds both engines that are left have the role both")
def step_wait_both(context, limit):
    engine_caller.wait_until(
        lambda: list(_read_roles(context).values()) == ["both"] * 2,
        limit,
        "an engine has kept its role",
    )


def _ask_all(context, count, duration_s):
    before = {item.name: len(item.record()["runs"]) for item in context.live}
    key = context.fleet.caller_key()
    for index in range(count):
        daemon = context.fleet.daemons[index % len(context.fleet.daemons)]
        status, _, answer = engine_caller.post(
            daemon.address,
            "/v1/chat/completions",
            engine_caller.make_body(f"question {index}", 5),
            {"Authorization": f"Bearer {key}"},
        )
        assert status == 200, (index, status, answer)
        time.sleep(duration_s / count)
    return {
        item.name: len(item.record()["runs"]) - before[item.name]
        for item in context.live
    }


@then(
    "{count:d} requests over {duration_s:d} seconds are answered and none ran on the "
    "prefill engine"
)
def step_ask_prefill(context, count, duration_s):
    runs = _ask_all(context, count, duration_s)
    assert runs[context.prefill_name] == 0 and sum(runs.values()) == count, runs


@then(
    "{count:d} requests over {duration_s:d} seconds are answered and both engines ran "
    "some"
)
def step_ask_both(context, count, duration_s):
    runs = _ask_all(context, count, duration_s)
    assert min(runs.values()) > 0 and sum(runs.values()) >= count, runs
