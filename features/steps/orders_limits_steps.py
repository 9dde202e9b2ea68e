import dataclasses

from behave import given, then, when

from endivevane.external import engine
from endivevane.orders import placement, plans
from features.support import engine_groups


@given('2 engines in memory, of which one holds "a" and "b" and one "c" and "d"')
def step_make_last(context):
    declared = [engine_groups.make_model(name, 1) for name in "abcd"]
    context.group = engine_groups.MemoryGroup(2, declared)
    for item, names in zip(context.group.engines.values(), ("ab", "cd"), strict=True):
        item.held = {(name, "1"): set() for name in names}


@when('"{model}" of 1 replica is declared as well')
def step_declare(context, model):
    added = engine_groups.make_model(model, 1)
    context.group.declared = (*context.group.declared, added)


@then('no order follows in {count:d} rounds and "{model}" lacks 1 replica')
def step_check_kept(context, count, model):
    group = context.group
    for _ in range(count):
        group.run_round()
    assert group.orders == [], group.orders
    views = [item.view() for item in group.live()]
    plan = placement.compute(
        plans.Group(group.declared, views), group.settings, group.now_s
    )
    assert plan.missing_replicas[model] == 1, plan.missing_replicas


@when('"c" of {replicas:d} replicas is declared and placed')
def step_declare_many(context, replicas):
    added = engine_groups.make_model("c", replicas)
    context.group.declared = (*context.group.declared, added)
    context.most_loading = 0
    for _ in range(100):
        context.group.run_round()
        loading = sum(bool(item.queue) for item in context.group.live())
        context.most_loading = max(context.most_loading, loading)
    assert context.group.count("c") == replicas


@then("{count:d} engines loaded at the same time and never more")
def step_check_most(context, count):
    assert context.most_loading == count, context.most_loading


@given('an engine full with "a" and "b", and another one with "a" and "d"')
def step_make_views(context):
    context.views = [
        plans.EngineView(
            name, "zone-a", tuple(engine.LoadedModel(item, "1", ()) for item in held)
        )
        for name, held in (("full", "ab"), ("other", "ad"))
    ]


@when('"c" without any replica is planned while the other engine is {state}')
def step_plan(context, state):
    is_quiescent = {"uncertain": False, "steady": True}[state]
    full, other = context.views
    # The other engine gets no orders, so that only the full one can load the model.
    other = dataclasses.replace(other, is_fresh=False, is_quiescent=is_quiescent)
    declared = tuple(engine_groups.make_model(name, 1) for name in "abcd")
    group = plans.Group(declared, (full, other))
    context.plan = placement.compute(group, plans.PlacementSettings(), 0.0)


@then('the full engine keeps "a"')
def step_check_keeps(context):
    assert set(context.plan.desired["full"]) == {("a", "1"), ("b", "1")}


@then('the full engine evicts "a" for "c"')
def step_check_gives(context):
    assert set(context.plan.desired["full"]) == {("b", "1"), ("c", "1")}


@given("one engine loads at a time while all may change")
def step_limit_loads(context):
    context.group.settings = plans.PlacementSettings(
        max_loads=1, max_reloading_share=1.0
    )


@then(
    "{count:d} engines hold the model in each of the {limit:d} rounds until all have "
    'version "2"'
)
def step_check_each(context, count, limit):
    group = context.group
    for _ in range(limit):
        group.run_round()
        assert group.count("a") == count, [item.held for item in group.live()]
    held = [item.held for item in group.live()]
    assert held == [{("a", "2"): {"a:tuned"}}] * count, held
