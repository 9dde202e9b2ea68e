import dataclasses

from behave import given, then, when

from endivevane.online import contract
from features.support import demand_daemons, engine_groups, scheduling


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


@then("at most {limit:d} loads were ordered, {first:d} of them without an eviction")
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
        replica = (order.target, order.model)
        if order.action == "load_model":
            loaded_s[replica] = at_s
            continue
        assert at_s - loaded_s[replica] >= limit_s, (replica, loaded_s[replica], at_s)


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


@given("a scheduler with one target of {slots:d} slots and a queue of {queue:d}")
def step_make_scheduler(context, slots, queue):
    target = scheduling.make_target("t1", slots=slots)
    current = scheduling.make_snapshot([target], {"max_queue": queue})
    context.bench = scheduling.Bench(current)


@when("{count:d} requests arrive and the clock advances by {duration_s:d} seconds")
def step_arrive(context, count, duration_s):
    context.decisions = [context.bench.submit(deadline_s=500.0) for _ in range(count)]
    context.first = context.bench.scheduler.demand.read()
    context.bench.clock.advance(duration_s)


@then(
    "the demand is {running:d} running and {waiting:d} waiting, and just after the "
    "arrival {sent:g} were sent and {refused:g} refused a second"
)
def step_check_demand(context, running, waiting, sent, refused):
    first = context.first["answers"]["small-lm"]
    late = context.bench.scheduler.demand.read()["answers"]["small-lm"]
    found = [late.running_requests, late.waiting_requests]
    found += [first.sent_per_s, first.refused_per_s]
    assert [round(item, 2) for item in found] == [running, waiting, sent, refused]
    assert late.sent_per_s < 0.01, late


@when("all end and the clock advances by {duration_s:d} seconds")
def step_leave(context, duration_s):
    online = context.bench.scheduler
    for decision in context.decisions:
        if isinstance(decision, contract.Queued):
            online.abandon(decision.request)
        elif isinstance(decision, contract.Send):
            online.finish(decision.attempt, contract.AttemptOutcome.CALLER_LEFT)
    context.bench.clock.advance(duration_s)


@then("no demand is left")
def step_check_none(context):
    assert context.bench.scheduler.demand.read() == {}


@given(
    "{count:d} daemons that each have {running:g} running requests of each of "
    "{services:d} services"
)
def step_make_daemons(context, count, running, services):
    context.daemons = demand_daemons.DemandDaemons(count, services, running)


@when("they exchange demand for {duration_s:d} seconds")
def step_exchange(context, duration_s):
    context.daemons.run(duration_s)


@when("they exchange demand for {duration_s:d} seconds while 2 of 3 reports are lost")
def step_exchange_lost(context, duration_s):
    context.daemons.run(duration_s, lambda sender: int(sender[-3:]) % 3 != 0)


@then("each owner knows of {running:d} running requests of its service")
def step_check_slots(context, running):
    # Rounding loses up to a hundredth of a slot per collector.
    for models in context.daemons.read_slots():
        (slots,) = models.values()
        assert abs(slots / running - 1.05) < 0.02, slots


@then("no owner knows the demand")
def step_check_unknown(context):
    known = [models for models in context.daemons.read_slots() if models is not None]
    assert not known, len(known)


@then("no daemon sends and receives more than {limit:d} bytes a second")
def step_check_bytes(context, limit):
    daemons = context.daemons
    rates = sorted(
        daemons.size_bytes[name] / daemons.elapsed_s for name in daemons.names
    )
    print(f"bytes_s median={rates[len(rates) // 2]:.0f} most={rates[-1]:.0f}")
    assert 0 < rates[-1] <= limit, rates[-1]


@when("{count:d} daemons that own nothing are lost and {duration_s:d} seconds pass")
def step_go(context, count, duration_s):
    context.daemons.lose(context.daemons.names[-count:])
    context.daemons.run(duration_s)
