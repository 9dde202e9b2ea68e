import collections
import random
import socket
import threading

from behave import given, then, when

from endivevane import types
from endivevane.coordination import clock, fencing
from endivevane.external import engine, http_pool
from endivevane.orders import task
from endivevane.testing import Fault
from features.support import engine_caller, engine_owners

_STORE_FAULTS = (Fault.LOST_BEFORE, Fault.LOST_AFTER, Fault.DELAYED, Fault.DOWN)
_ORDER_FAULTS = ("lost_before", "lost_after", "late")


def _make_engines(group_clock, checks, choose_fault=None):
    return [
        engine_owners.MemoryFencedEngine(f"e{index}", item, group_clock, choose_fault)
        for index, item in enumerate(checks)
    ]


def _make_memory(context, checks, choose_fault=None):
    group_clock = clock.ManualClock(100.0, 1_000_000)
    engines = _make_engines(group_clock, checks, choose_fault)
    context.competition = engine_owners.Competition(engines, clock_=group_clock)


def _sent(context):
    return [item for target in context.competition.engines for item in target.sent]


@given("an owner of engines in memory that check fencing tokens")
def step_make_owner(context):
    _make_memory(context, (True, True))
    context.competition.owners[0].renew()


@when("the owner is paused past its term while it reads back")
def step_pause_reading(context):
    def pause():
        context.competition.clock.advance(engine_owners.TERM_S + 1.0)

    context.competition.engines[0].on_fetch = pause
    context.competition.run(0)
    assert context.competition.owners[0].owner.ownership is None


@when("the owner is paused until less than a call's time of its term is left")
def step_pause_short(context):
    left_s = engine_owners.SETTINGS.call_timeout_s / 2

    def pause():
        context.competition.clock.advance(engine_owners.TERM_S - left_s)

    context.competition.engines[0].on_fetch = pause
    context.competition.run(0)


@then("it sent no order")
def step_check_none(context):
    assert _sent(context) == [], _sent(context)


@then("it sends the orders after it has renewed its session")
def step_check_after(context):
    context.competition.engines[0].on_fetch = lambda: None
    context.competition.owners[0].renew()
    context.competition.run(0)
    assert "load_model" in [item.action for item in _sent(context)]


@when("the answer to its first order to load is lost after it took effect")
def step_lose_answer(context):
    faults = collections.deque(["lost_after"])
    for target in context.competition.engines:
        target.choose_fault = lambda: faults.popleft() if faults else None
    for _ in range(5):
        context.competition.run(0)
        context.competition.clock.advance(engine_owners.SETTINGS.interval_s)
        context.competition.owners[0].renew()


@then("each engine got one order to load and holds the model")
def step_check_once(context):
    for target in context.competition.engines:
        loads = [item for item in target.sent if item.action == "load_model"]
        assert len(loads) == 1, loads
        assert ("b", "1") in target.models


@when("the answer to its acquisition is lost after it took effect")
def step_lose_acquisition(context):
    # The read of the row succeeds; the write and the reads that resolve it fail.
    lost = [None, Fault.LOST_AFTER, *[Fault.DOWN] * 6]
    context.competition.store.script(*lost)
    context.competition.run(0)
    assert context.competition.owners[0].owner.ownership is None
    for _ in range(10):
        context.competition.run(0)
    assert context.competition.owners[0].owner.ownership is not None


@then("it owns the group with the token of the row and has written the row once")
def step_check_acquired(context):
    row = context.competition.store.rows(fencing.TABLE)[engine_owners.GROUP]
    owned = context.competition.owners[0].owner.ownership
    assert owned.fencing_token == row.revision
    written = context.competition.store.count_writes(fencing.TABLE, engine_owners.GROUP)
    assert written == 1, written


@when("two owners renew their sessions and try over {count:d} rounds")
def step_try_both(context, count):
    for _ in range(count):
        context.competition.clock.advance(engine_owners.SETTINGS.interval_s)
        for index in (0, 1):
            context.competition.owners[index].renew()
            context.competition.run(index)


@then("the first keeps the group and its row is written once")
def step_check_kept(context):
    first, second = context.competition.owners
    assert first.owner.ownership is not None
    assert second.owner.ownership is None
    written = context.competition.store.count_writes(fencing.TABLE, engine_owners.GROUP)
    assert written == 1, written
    assert {item.owner for item in _sent(context)} == {"d1"}


@when("two owners compete over {count:d} rounds with faults and seed {seed:d}")
def step_compete(context, count, seed):
    print(f"seed={seed}")
    generator = random.Random(seed)

    def choose_order_fault():
        return generator.choice(_ORDER_FAULTS) if generator.random() < 0.2 else None

    _make_memory(context, (True, True, False, False), choose_order_fault)
    competition = context.competition
    competition.store.choose_fault = lambda _kind: (
        generator.choice(_STORE_FAULTS) if generator.random() < 0.15 else None
    )
    paused_until_s = [0.0, 0.0]
    for _ in range(count):
        competition.clock.advance(generator.uniform(0.2, 3.0))
        _disturb(competition, generator)
        for index in generator.sample((0, 1), 2):
            now_s = competition.clock.monotonic_s()
            if now_s < paused_until_s[index]:
                continue
            if generator.random() < 0.02:
                paused_until_s[index] = now_s + generator.uniform(5.0, 40.0)
                continue
            if generator.random() < 0.7:
                competition.owners[index].renew()
            competition.run(index)


def _disturb(competition, generator):
    """Unload a model without an order, so that the owners must send one."""
    target = generator.choice(competition.engines)
    if generator.random() < 0.3:
        target.models.pop(generator.choice([("a", "1"), ("b", "1")]), None)
    is_slow = generator.random() < 0.05
    pause_s = generator.uniform(0.0, 12.0) if is_slow else 0.0

    def pause():
        target.on_fetch = lambda: None
        competition.clock.advance(pause_s)

    target.on_fetch = pause


@then("no token was used by two owners and both have sent orders")
def step_check_tokens(context):
    owners = collections.defaultdict(set)
    for item in _sent(context):
        owners[item.token].add(item.owner)
    print(f"orders={len(_sent(context))} numbers={len(owners)}")
    assert all(len(names) == 1 for names in owners.values()), dict(owners)
    assert len(set.union(*owners.values())) == 2, "one owner never sent an order"


@then("no order was sent without a valid session")
def step_check_valid(context):
    late = [item for item in _sent(context) if not item.was_valid]
    assert late == [], late[:3]


@then("no engine applied an order with a lower token after one with a higher")
def step_check_increasing(context):
    for target in context.competition.engines:
        tokens = [token for _, token, _ in target.applied]
        assert tokens == sorted(tokens), (target.name, target.checks_fencing)


# Real engines


def _make_socket_competition(context, checks):
    address = context.address
    stub = engine_owners.MemoryFencedEngine("engine-0", checks, None)

    def make_client(target):
        limits = http_pool.PoolSettings(max_idle_connections=0)
        pool = http_pool.HttpPool(target.address, limits)
        return engine.EngineClient(pool)

    context.competition = engine_owners.Competition(
        [stub], make_client, {"engine-0": address}
    )
    context.competition.round_input = engine_owners.make_round_input(
        [("engine-0", checks)], {"engine-0": address}, ("small-lm", "other-lm")
    )
    context.client = make_client(context.competition.round_input.targets[0])


def _state(context):
    return context.client.fetch_state().unwrap()


def _held(context):
    return {item["model"] for item in _state(context)["models"]}


def _wait_idle(context):
    engine_caller.wait_until(
        lambda: _state(context)["in_progress"] == 0, 10, "orders are in progress"
    )


def _run_first_until_loaded(context):
    competition = context.competition
    for _ in range(40):
        competition.owners[0].renew()
        competition.run(0)
        _wait_idle(context)
        if _held(context) == {"small-lm", "other-lm"}:
            return
        competition.clock.advance(engine_owners.SETTINGS.interval_s)
    raise AssertionError(_state(context))


@when("an owner has loaded a second model and is paused until another one owns it")
def step_take_over(context):
    checks = "--ignore-fencing" not in context.engine.process.arguments
    _make_socket_competition(context, checks)
    _run_first_until_loaded(context)
    context.old_token = context.competition.owners[0].owner.ownership.fencing_token
    context.orders_before = len(context.engine.record()["orders"])
    context.competition.pause_first_until_taken_over()
    context.acquired_s = context.competition.clock.monotonic_s()
    context.competition.run(1)
    _wait_idle(context)


@when("the old owner's order to unload the model arrives late")
def step_send_late(context):
    context.late = context.client.send_order(
        context.old_token, "unload_model", model="other-lm", version="1"
    )
    _wait_idle(context)


@then("the engine refuses it and keeps the model")
def step_check_refused(context):
    assert isinstance(context.late.err_value, engine.FencingRefused), context.late
    assert _held(context) == {"small-lm", "other-lm"}


@then("the old owner sends no order when it resumes")
def step_check_old(context):
    before = len(context.engine.record()["orders"])
    context.competition.run(0)
    context.competition.owners[0].renew()
    context.competition.run(0)
    assert len(context.engine.record()["orders"]) == before


@then("the model is gone and the new owner sends no order before the grace period ends")
def step_check_grace(context):
    assert context.late.is_ok(), context.late
    assert _held(context) == {"small-lm"}
    settings = engine_owners.SETTINGS
    grace_s = settings.longest_term_s + settings.longest_order_s
    late_count = len(context.engine.record()["orders"])
    while True:
        now_s = context.competition.clock.monotonic_s()
        step_s = settings.interval_s
        if now_s + step_s >= context.acquired_s + grace_s:
            break
        context.competition.clock.advance(step_s)
        context.competition.owners[1].renew()
        context.competition.run(1)
    orders = context.engine.record()["orders"]
    assert len(orders) == late_count, orders[late_count:]


@then("after the grace period the new owner loads the model again")
def step_check_corrected(context):
    for _ in range(3):
        context.competition.clock.advance(engine_owners.SETTINGS.interval_s)
        context.competition.owners[1].renew()
        context.competition.run(1)
        _wait_idle(context)
    assert _held(context) == {"small-lm", "other-lm"}
    last = context.engine.record()["orders"][-1]
    token = context.competition.owners[1].owner.ownership.fencing_token
    assert (last["action"], last["fencing_number"]) == ("load_model", token), last


@given("an engine that closes the connection after it has read an order")
def step_start_closing(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.cleanups.append(context.listener.close)
    context.received = []
    thread = threading.Thread(target=_serve_closing, args=(context,), daemon=True)
    thread.start()


def _serve_closing(context):
    """Answer each read and close without an answer on each order."""
    body = b'{"models":[],"role":"both","fencing_number":0,"in_progress":0}'
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    while True:
        try:
            connection, _ = context.listener.accept()
        except OSError:
            return
        with connection:
            while data := connection.recv(65536):
                method = data.split(b" ", 1)[0].decode()
                context.received.append(method)
                if method != "GET":
                    break
                connection.sendall(head + body)


@when("an order follows a read over the task's client")
def step_order_after_read(context):
    host, port = context.listener.getsockname()
    client = task.make_client(
        types.Address(host, port), engine_owners.SETTINGS, clock.SystemClock()
    )
    assert client.fetch_state().is_ok()
    context.outcome = client.send_order(1, "load_model", model="a", version="1")


@then("the order fails and was sent once")
def step_check_sent_once(context):
    assert context.outcome.is_err()
    assert context.received == ["GET", "POST"], context.received
