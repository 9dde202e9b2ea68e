import concurrent.futures
import dataclasses
import threading
import time

from behave import given, then, when

from features.support import engine_caller
from tools import fleet, fleet_plan

_SECOND = "second-lm"


def _start_fleet(context, engines):
    plan = fleet.FleetPlan(
        daemons=3,
        engines=engines,
        loads_weights=True,
        engine_arguments=("--load-ms", "200"),
    )
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()
    context.live = list(context.fleet.engines)


@given("a fleet of 3 daemons and {engines:d} engines with one model")
def step_start_fleet(context, engines):
    _start_fleet(context, engines)


def _publish_models(context, *models):
    running = context.fleet
    plan = dataclasses.replace(
        running.plan,
        model_service={"models": [{"name": running.plan.model}, *models]},
    )
    targets = [
        fleet_plan.PlannedTarget(item.name, item.address, item.zone)
        for item in running.engines
    ]
    fleet_plan.write_documents(running.documents, plan, targets, [])
    running.publish()


@when("the document adds a second model of {count:d} replicas with an adapter")
def step_add_model(context, count):
    added = {"name": _SECOND, "min_replicas": count, "adapters": ["tuned"]}
    _publish_models(context, added)


def _list_holders(context):
    holders = []
    for item in context.live:
        _, _, state = engine_caller.get(item.address, "/v1/state")
        for loaded in state["models"]:
            if loaded["model"] == _SECOND and loaded["adapters"] == [
                f"{_SECOND}:tuned"
            ]:
                holders.append(item)
    return holders


@then("within {limit:d} seconds {count:d} engines hold it with its adapter")
def step_check_holders(context, limit, count):
    engine_caller.wait_until(
        lambda: len(_list_holders(context)) == count,
        limit,
        f"not {count} engines hold the second model",
    )
    context.holders = _list_holders(context)


def _ask(context, model):
    key = context.fleet.caller_key()
    statuses = []
    for daemon in context.fleet.daemons:
        status, _, answer = engine_caller.post(
            daemon.address,
            "/v1/chat/completions",
            engine_caller.make_body("a question", 5, model=model),
            {"Authorization": f"Bearer {key}"},
        )
        if status == 200:
            text = answer["choices"][0]["message"]["content"]
            assert text == engine_caller.expected_text("a question", 5), text
        statuses.append(status)
    return statuses


@then("within {limit:d} seconds every daemon answers a completion of {model}")
def step_check_answers(context, limit, model):
    name = {"it": _SECOND, "its adapter": f"{_SECOND}:tuned"}[model]
    statuses = []

    def is_answered():
        statuses.append(_ask(context, name))
        return set(statuses[-1]) == {200}

    try:
        engine_caller.wait_until(is_answered, limit, f"{name} is not answered")
    except AssertionError as error:
        raise AssertionError(f"{error}: statuses {statuses[-1]}") from error


@when("all engines that hold it are killed")
def step_kill_holders(context):
    for item in context.holders:
        item.kill()
    context.live = [item for item in context.live if item not in context.holders]


@then("only one daemon has sent orders, each engine at most {limit:d} loads")
def step_check_orders(context, limit):
    tokens = set()
    for item in context.live:
        orders = item.record()["orders"]
        tokens |= {order["fencing_number"] for order in orders}
        loads = [order for order in orders if order["action"] == "load_model"]
        assert len(loads) <= limit, loads
        assert all(order["accepted"] for order in orders), orders
    assert len(tokens) == 1, tokens


@then(
    "{count:d} engines hold it within {limit:d} seconds in which callers keep "
    "{requests:d} requests open"
)
def step_check_demand(context, count, limit, requests):
    ended = threading.Event()
    key = context.fleet.caller_key()
    started_s = time.monotonic()

    def keep_asking(daemon):
        while not ended.is_set():
            asked_s = time.monotonic()
            status, _, answer = engine_caller.post(
                daemon.address,
                "/v1/chat/completions",
                engine_caller.make_body("a question", 400, model=_SECOND),
                {"Authorization": f"Bearer {key}"},
            )
            ended_s = time.monotonic()
            assert status == 200, (
                f"{daemon.name} answered {status} {ended_s - asked_s:.2f} s after the "
                f"request, which was sent {asked_s - started_s:.2f} s after the start: "
                f"{answer}"
            )

    with concurrent.futures.ThreadPoolExecutor(requests) as callers:
        daemons = context.fleet.daemons
        asking = [
            callers.submit(keep_asking, daemons[index % len(daemons)])
            for index in range(requests)
        ]
        try:
            step_check_holders(context, limit, count)
        finally:
            ended.set()
            # A failed caller means less demand than the scenario assumes, so its error
            # explains the other failures.
            failures = [str(error) for item in asking if (error := item.exception())]
            if failures:
                kept = context.fleet.keep_logs("orders-demand")
                details = [f"logs: {kept}", *failures]
                raise AssertionError("\n".join(details))
