import dataclasses
import random

from behave import given, then, when

from features.support import engine_groups

_PLACE_ROUNDS = 200


@given(
    '{count:d} engines in memory with models "a" of {a:d}, "b" of {b:d} '
    'and "c" of {c:d} replicas'
)
def step_make_three(context, count, a, b, c):
    declared = [
        engine_groups.make_model(name, replicas)
        for name, replicas in (("a", a), ("b", b), ("c", c))
    ]
    context.group = engine_groups.MemoryGroup(count, declared)


@given("all models are placed")
def step_place(context):
    context.group.run_until_quiet(_PLACE_ROUNDS)
    for item in context.group.declared:
        assert context.group.count(item.name) == item.min_replicas, item
    context.group.orders.clear()
    context.group.most_loading = 0


def _make_holding(context, count, names):
    declared = [engine_groups.make_model(name, 1) for name in names]
    context.group = engine_groups.MemoryGroup(count, declared)
    for item in context.group.engines.values():
        item.held = {(name, "1"): set() for name in names}


@given('{count:d} engines in memory, which all hold "a" of 1 replica')
def step_make_one(context, count):
    _make_holding(context, count, ("a",))


@given(
    '{count:d} engines in memory, which all hold "a" of 1 replica and "b" of 1 replica'
)
def step_make_two(context, count):
    _make_holding(context, count, ("a", "b"))


@when('the engines that hold "c" and others are lost, {count:d} in all')
def step_lose_half(context, count):
    engines = sorted(
        context.group.live(), key=lambda item: (("c", "1") not in item.held, item.name)
    )
    context.group.lose([item.name for item in engines[:count]])
    assert context.group.count("c") == 0


@then('"{model}" is the first model to be loaded')
def step_check_first(context, model):
    first = context.group.run_round()
    loads = [item.model for item in first if item.action == "load_model"]
    assert loads[0] == model, first


@then("every model is served again within {limit:d} rounds")
def step_check_served(context, limit):
    for _ in range(limit):
        context.group.run_round()
        if all(context.group.count(item.name) for item in context.group.declared):
            return
    raise AssertionError([item.held for item in context.group.live()])


@then("all models reach their replicas or every engine is full within {limit:d} rounds")
def step_check_replicas(context, limit):
    group = context.group
    group.run_until_quiet(limit)
    is_full = all(len(item.held) >= group.settings.max_models for item in group.live())
    is_complete = all(
        group.count(item.name) >= item.min_replicas for item in group.declared
    )
    assert is_complete or is_full, [item.held for item in group.live()]


@then("each model has a replica in each of {count:d} zones")
def step_check_zones(context, count):
    for declared in context.group.declared:
        zones = {
            item.zone
            for item in context.group.live()
            if (declared.name, declared.version) in item.held
        }
        assert len(zones) == count, (declared.name, zones)


@when("{count:d} rounds run")
def step_run(context, count):
    for _ in range(count):
        context.group.run_round()


@then("no order was sent")
def step_check_no_order(context):
    assert context.group.orders == [], context.group.orders


def _declare(group, *declared):
    names = {item.name for item in declared}
    kept = [item for item in group.declared if item.name not in names]
    group.declared = (*kept, *declared)


@when('"c" of 1 replica and "d" of 1 replica are declared as well')
def step_declare_more(context):
    _declare(
        context.group,
        engine_groups.make_model("c", 1),
        engine_groups.make_model("d", 1),
    )


@then("the models without any replica are loaded at once")
def step_check_at_once(context):
    context.group.run_until_quiet(_PLACE_ROUNDS)
    assert context.group.now_s < context.group.settings.residence_s


@then('"a", "b", "c" and "d" are all served and no order follows in {count:d} rounds')
def step_check_four(context, count):
    given_before = len(context.group.orders)
    for _ in range(count):
        context.group.run_round()
    assert [context.group.count(name) for name in "abcd"] == [1, 1, 1, 1]
    assert len(context.group.orders) == given_before, context.group.orders


@when('the document asks for 2 replicas of "c", of which 1 is served')
def step_ask_two(context):
    _declare(context.group, engine_groups.make_model("c", 2))
    for _ in range(400):
        context.group.run_round()


@then(
    'the second replica of "c" is ordered no earlier than {limit:d} seconds '
    "after the start"
)
def step_check_second(context, limit):
    loads = [
        at_s
        for at_s, order, _ in context.group.orders
        if (order.action, order.model) == ("load_model", "c")
    ]
    assert len(loads) == 2, context.group.orders
    assert loads[0] < limit <= loads[1], loads
    assert context.group.count("c") == 2


@when('the document declares version "{version}" of "a" with adapter "{adapter}"')
def step_change_version(context, version, adapter):
    changed = engine_groups.make_model("a", 1, version, (adapter,))
    _declare(context.group, changed)


@then(
    'after at most {limit:d} rounds all {count:d} engines hold only version "2" '
    "with the adapter"
)
def step_check_version(context, limit, count):
    # Every round checks that the model is served somewhere.
    context.group.run_until_quiet(limit)
    held = [item.held for item in context.group.live()]
    assert held == [{("a", "2"): {"a:tuned"}}] * count, held


@when('"b" is no longer declared and {count:d} rounds run')
def step_undeclare(context, count):
    context.group.declared = tuple(
        item for item in context.group.declared if item.name != "b"
    )
    for _ in range(count):
        context.group.run_round()
        is_past_residence = context.group.now_s > context.group.settings.residence_s
        assert is_past_residence or context.group.count("b") == 3


@then('"b" is not loaded anywhere and "a" is served by {count:d} engines')
def step_check_undeclared(context, count):
    assert context.group.count("b") == 0
    assert context.group.count("a") == count


def _change_randomly(group, generator):
    """Lose or return engines and change the document; return the expected loads."""
    causes = 0
    for item in list(group.engines.values()):
        if not item.is_live and generator.random() < 0.08:
            group.bring_back([item.name])
            continue
        # Three stay, so that there is capacity for every model.
        if item.is_live and len(group.live()) > 3 and generator.random() < 0.03:
            causes += len(item.view().models) + len(item.view().loading)
            group.lose([item.name])
    if generator.random() < 0.05:
        changed = generator.choice(group.declared)
        wanted = generator.randint(1, 5)
        causes += max(0, wanted - changed.min_replicas)
        _declare(group, engine_groups.make_model(changed.name, wanted))
    group.demand_slots = {item.name: generator.random() * 10 for item in group.declared}
    return causes


@when("engines are lost and return at random over {count:d} rounds with seed {seed:d}")
def step_run_random(context, count, seed):
    print(f"seed={seed}")
    generator = random.Random(seed)
    group = context.group
    group.settings = dataclasses.replace(group.settings, residence_s=60.0)
    # No replica is missing before the first round.
    context.causes = 0
    for _ in range(count):
        context.causes += _change_randomly(group, generator)
        group.run_round()


@then("every unload is past the residence time or makes room for an unserved model")
def step_check_residence(context):
    loaded_s = {}
    unloads = 0
    rounds = context.group.orders
    for at_s, order, unserved in rounds:
        replica = (order.target, order.model, order.version)
        if order.action == "load_model":
            loaded_s[replica] = at_s
        if order.action != "unload_model":
            continue
        unloads += 1
        loads = {
            other.model
            for other_s, other, _ in rounds
            if other_s == at_s
            and other.target == order.target
            and other.action == "load_model"
        }
        is_past_residence = at_s - loaded_s.get(replica, 0.0) >= 60.0
        assert is_past_residence or loads & unserved, (order, at_s, loads, unserved)
    print(f"unloads={unloads}")
    assert unloads, "no replica was evicted for another one"


@then("each load replaces a lost or evicted replica or adds a newly declared one")
def step_check_causes(context):
    orders = [order for _, order, _ in context.group.orders]
    loads = sum(order.action == "load_model" for order in orders)
    unloads = sum(order.action == "unload_model" for order in orders)
    print(f"loads={loads} unloads={unloads} causes={context.causes}")
    assert 0 < loads <= context.causes + unloads


@then("no order follows once the engines no longer change")
def step_check_quiet(context):
    context.group.run_until_quiet(_PLACE_ROUNDS)
    given_before = len(context.group.orders)
    for _ in range(200):
        context.group.run_round()
    assert len(context.group.orders) == given_before, context.group.orders[-4:]
