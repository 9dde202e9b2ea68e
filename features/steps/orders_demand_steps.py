import dataclasses

from behave import given, then, when

from features.support import engine_groups


def _run_for(group, duration_s):
    for _ in range(int(duration_s / engine_groups.ROUND_S)):
        group.run_round()


@when('demand is {a:g} slots of "a" and {b:g} of "b" for {duration_s:d} seconds')
def step_run_demand(context, a, b, duration_s):
    context.group.demand_slots = {"a": a, "b": b}
    _run_for(context.group, duration_s)


@then('"{model}" has {count:d} replicas and "{other}" has {other_count:d}')
def step_check_replicas(context, model, count, other, other_count):
    held = {name: context.group.count(name) for name in "abc"}
    assert (held[model], held[other]) == (count, other_count), held


@when(
    'demand swings between "a" and "b" every {swing_s:d} seconds '
    "for {duration_s:d} seconds"
)
def step_swing(context, swing_s, duration_s):
    for swing in range(duration_s // swing_s):
        high, low = ("a", "b") if swing % 2 else ("b", "a")
        context.group.demand_slots = {high: 40.0, low: 4.0}
        _run_for(context.group, swing_s)


@then("at most {limit:d} loads were ordered, {first:d} of them for empty places")
def step_check_loads(context, limit, first):
    orders = [order for _, order, _ in context.group.orders]
    loads = sum(order.action == "load_model" for order in orders)
    unloads = sum(order.action == "unload_model" for order in orders)
    print(f"loads={loads} unloads={unloads}")
    assert loads - unloads == first + 3, (loads, unloads)
    assert loads - 3 <= limit, loads


@then("each unloaded replica had been loaded for {limit_s:d} seconds")
def step_check_residence(context, limit_s):
    loaded_s = {}
    for at_s, order, _ in context.group.orders:
        place = (order.target, order.model)
        if order.action == "load_model":
            loaded_s[place] = at_s
            continue
        assert at_s - loaded_s[place] >= limit_s, (place, loaded_s[place], at_s)


@then("no more than {limit:d} engines loaded at the same time for demand")
def step_check_demand_loads(context, limit):
    assert context.group.most_loading == limit, context.group.most_loading


@given("demand is not known")
def step_unknown(context):
    context.group.demand_slots = None


@given('the document asks for 2 replicas of "c", of which 1 is served')
def step_ask(context):
    group = context.group
    group.declared = (*group.declared, engine_groups.make_model("c", 1))
    _run_for(group, 40)
    assert group.count("c") == 1
    group.declared = tuple(
        engine_groups.make_model("c", 2) if item.name == "c" else item
        for item in group.declared
    )
    group.orders.clear()


@then("no second replica was unloaded for it in {count:d} rounds")
def step_check_kept(context, count):
    for _ in range(count):
        context.group.run_round()
    orders = [dataclasses.astuple(order) for _, order, _ in context.group.orders]
    assert orders == [], orders


@then('"{model}" has {count:d} replicas')
def step_check_count(context, model, count):
    assert context.group.count(model) == count
