import asyncio
import itertools
import math
import re
import time

from behave import given, then, when

from endivevane.coordination import rendezvous
from endivevane.platform import headers
from endivevane.rate_limits import beliefs, issuer, messages
from endivevane.rate_limits import holder as token_holder
from endivevane.serving import load_table, model, slot_queue
from features.steps import rate_limits_steps
from features.support import rate_net, serving_fakes

_STEP_S = 0.01
_LIMITS = (
    ("t0", "near", 2.5),
    ("t1", "near", 1.0),
    ("t2", "far", 3.3),
    ("t3", "far", 2.0),
)


@given("a daemon that issues the tokens of a target with a limit of {limit:g} a second")
def step_issuer(context, limit):
    context.beliefs = beliefs.LimitBeliefs()
    context.beliefs.record("t0", beliefs.Belief("t0/1", limit, 0.0))
    context.issuer = issuer.TokenIssuer(context.beliefs)


def _ask(context, holder, number, need, priority, due_s, now_s):
    request = messages.TokenRequest(number, need, priority, due_s, ())
    context.issuer.add(holder, request, ("t0",), now_s)


@when("for {duration_s:d} s it is always asked for more")
def step_always(context, duration_s):
    context.issued_s = []
    numbers = itertools.count()
    number = next(numbers)
    for step in range(int(duration_s / _STEP_S) + 1):
        now_s = step * _STEP_S
        while True:
            _ask(context, "a", number, messages.Need.WAITING, 0, 0.3, now_s)
            if not context.issuer.issue(now_s):
                break
            context.issued_s.append(now_s)
            number = next(numbers)


@then("it issues at most {most:d} tokens in {window_s:d} s")
def step_window(context, most, window_s):
    # Times are compared with a tolerance of less than a step of the simulated clock.
    counted = rate_limits_steps.count_most(context.issued_s, window_s - 1e-6)
    assert counted <= most, counted


@then("it issues between {least:d} and {most:d} tokens in all")
def step_total(context, least, most):
    assert least <= len(context.issued_s) <= most, len(context.issued_s)


@when("it is asked by {asked}")
def step_asked(context, asked):
    for entry in asked.split():
        holder, need, priority, due_s = entry.split(":")
        kind = messages.Need[need.upper()]
        _ask(context, holder, 1, kind, int(priority), float(due_s), 0.0)
    context.order = []
    for step in range(100):
        now_s = step * 0.1
        for entry in asked.split():
            holder, need, priority, due_s = entry.split(":")
            if holder not in context.order:
                kind = messages.Need[need.upper()]
                _ask(context, holder, 1, kind, int(priority), float(due_s), now_s)
        context.order += [item.holder for item in context.issuer.issue(now_s)]


@then("the tokens go to {order}")
def step_order(context, order):
    assert context.order == order.split(", "), context.order


@given("a daemon before a target")
def step_target(context):
    context.fleet = serving_fakes.Fleet(["t0"])


@when("it reads the answers {answers}")
def step_answers(context, answers):
    async def read():
        _read_answers(context, answers)

    asyncio.run(read())


def _read_answers(context, answers):
    fleet, limits = context.fleet, context.fleet.limits
    base_s = time.monotonic() - 100.0
    old = fleet.find("t0").target
    for word in answers.split():
        if word == "pause":
            limits.record_process_pause()
            continue
        if word == "restart":
            fleet.add("t0", version=2, born=2)
            continue
        sent_s, _, text = word.partition("@")
        target = fleet.find("t0").target
        if text.startswith("old:"):
            target, text = old, text.removeprefix("old:")
        statement = _make_statement(text)
        limits.record_answer(target, statement, base_s + float(sent_s))


def _make_statement(text):
    if text == "unusable":
        return model.RateStatement(is_usable=False)
    return model.RateStatement(None if text == "none" else float(text))


@then("it believes a limit of {limit}")
def step_believes(context, limit):
    expected = None if limit == "none" else float(limit)
    believed = context.fleet.limits.find_limit_per_s("t0")
    assert believed == expected, believed


@when('a response names the limit "{text}"')
def step_header(context, text):
    raw = [(b"Server-Limit", text.encode())]
    context.statement = headers.HeaderCodec().decode_reply(200, b"OK", raw).rate


@then("it says {meaning}")
def step_meaning(context, meaning):
    statement = context.statement
    if meaning == "nothing usable":
        assert not statement.is_usable, statement
        return
    assert statement.is_usable
    assert f"{statement.limit_per_s} a second" == meaning, statement


@given(
    "{near:d} daemons in one region and {far:d} in another before limited targets, of "
    "whose datagrams {lost:d}% are lost"
)
def step_rate_net(context, near, far, lost):
    context.loop = asyncio.new_event_loop()
    context.cleanups.append(context.loop.close)
    context.net = rate_net.Net(context.loop, near, far, lost / 100, _LIMITS)
    context.cleanups.append(context.net.stop)


def _play(context, duration_s):
    context.loop.run_until_complete(asyncio.sleep(duration_s))


def _demand(context, busy):
    deciders = context.net.list_deciders()
    count = len(deciders) if busy == "all" else int(busy)
    for daemon in deciders:
        for target in context.net.targets.values():
            daemon.learn(target)
    for daemon in deciders[:count]:
        daemon.demand()


@when(
    "{busy} of the daemons that choose targets always have requests waiting for "
    "{duration_s:d} s"
)
def step_demand(context, busy, duration_s):
    _run(context, lambda: _demand(context, busy))
    context.started_s, context.duration_s = time.monotonic(), duration_s
    _play(context, duration_s)


def _run(context, act):
    async def run():
        act()

    context.loop.run_until_complete(run())


@when(
    "the regions can't reach each other, and all of the daemons that choose targets "
    "have requests waiting for {duration_s:d} s"
)
def step_cut(context, duration_s):
    context.net.is_cut = True
    # What one region learns of the other's targets before the cut does not count.
    step_demand(context, "all", duration_s)


@then("no target has got more than its limit in {window_s:d} s, and a request more")
def step_kept(context, window_s):
    for target in context.net.targets.values():
        most = rate_limits_steps.count_most(target.arrivals_s, window_s)
        allowed = math.ceil(window_s * target.limit_per_s) + 1
        print(f"{target.description.target_id}: most={most} allowed={allowed}")
        assert most <= allowed, (target.description.target_id, most, allowed)


@then(
    "no target has got more than 1.5 times its limit and 5 requests in {window_s:d} s"
)
def step_allowed(context, window_s):
    for target in context.net.targets.values():
        most = rate_limits_steps.count_most(target.arrivals_s, window_s)
        allowed = 1.5 * window_s * target.limit_per_s + 5
        print(f"{target.description.target_id}: most={most} allowed={allowed}")
        assert most <= allowed, (target.description.target_id, most, allowed)


@then("the targets have got at least {used:d}% of their limits")
def step_used(context, used):
    targets = context.net.targets.values()
    got = sum(len(target.arrivals_s) for target in targets)
    allowed = sum(target.limit_per_s for target in targets) * context.duration_s
    print(f"got={got} allowed={allowed}")
    assert got >= allowed * used / 100, (got, allowed)


@then("a daemon has sent at most {most:d} bytes a second, on average")
def step_bytes(context, most):
    net = context.net
    sent = net.bytes / len(net.daemons) / context.duration_s
    print(f"datagrams={net.datagrams} bytes a daemon and second={sent:.0f}")
    assert sent <= most, sent


@when(
    "all of the daemons that choose targets have requests waiting, and after "
    "{before_s:d} s the issuer of a region {event}"
)
def step_issuer_goes(context, before_s, event):
    _run(context, lambda: _demand(context, "all"))
    _play(context, before_s)
    issuing = context.net.find_issuer("near")
    if event == "stops as planned":
        for daemon in context.net.daemons.values():
            daemon.registry.is_stopping = daemon is issuing
            for peer in daemon.registry.peers.values():
                peer.is_stopping = peer.name == issuing.name
        _play(context, 6)
        return
    _run(context, issuing.kill)
    _play(context, 1)
    if "starts" in event:
        _run(context, lambda: (issuing.start(), issuing.demand()))
    # The others go on to count it as alive, so that only its silence tells.
    _play(context, 5)


@then(
    "in the last {duration_s:d} s the targets of that region have got at least "
    "{used:d}% of their limits"
)
def step_goes_on(context, duration_s, used):
    since_s = time.monotonic() - duration_s
    targets = [item for item in context.net.targets.values() if _is_near(item)]
    got = sum(1 for item in targets for at_s in item.arrivals_s if at_s >= since_s)
    allowed = sum(item.limit_per_s for item in targets) * duration_s
    print(f"got={got} allowed={allowed}")
    assert got >= allowed * used / 100, (got, allowed)


def _is_near(target):
    return target.description.availability_zone == "z1"


@when("one daemon reads the limits")
def step_read(context):
    daemon = next(iter(context.net.daemons.values()))

    def act():
        for target in context.net.targets.values():
            daemon.learn(target)

    _run(context, act)


@when("a daemon starts again")
def step_restart(context):
    daemon = list(context.net.daemons.values())[-1]
    _run(context, daemon.stop)
    _run(context, daemon.start)


@when("the targets stop naming limits, and one daemon reads that")
def step_end(context):
    for target in context.net.targets.values():
        target.limit_per_s = None
    step_read(context)


def _list_beliefs(context):
    return {
        daemon.limits.find_limit_per_s(target_id)
        for daemon in context.net.list_deciders()
        for target_id in context.net.targets
    }


def _wait_for_beliefs(context, within_s, expected):
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s:
        _play(context, 0.05)
        if _list_beliefs(context) == expected:
            return
    raise AssertionError(_list_beliefs(context))


@then("within {within_s:d} s all daemons that choose know them")
def step_known(context, within_s):
    expected = {target.limit_per_s for target in context.net.targets.values()}
    _wait_for_beliefs(context, within_s, expected)


@then("within {within_s:d} s no daemon that chooses believes a limit")
def step_unknown(context, within_s):
    _wait_for_beliefs(context, within_s, {None})


@given(
    "a daemon that has {items:d} items and {online:d} online requests on a target of "
    "8 slots"
)
def step_full_target(context, items, online):
    context.fleet = serving_fakes.Fleet(["t0"])
    for _ in range(items):
        context.fleet.board.begin("t0", is_batch=True)
    for _ in range(online):
        context.fleet.board.begin("t0", is_batch=False)


@when("the target names a limit of {limit:g} requests a second")
def step_names(context, limit):
    target = context.fleet.find("t0").target
    statement = model.RateStatement(limit)
    context.fleet.limits.record_answer(target, statement, time.monotonic())


@then("{count} item is preempted")
def step_preempted(context, count):
    expected = 0 if count == "no" else int(count)
    target = context.fleet.find("t0").target
    assert context.fleet.choices.count_to_preempt(target) == expected


@given("a daemon before one target of 8 slots")
def step_one_target(context):
    context.fleet = serving_fakes.Fleet(["t0"])
    context.queue = context.fleet.make_queue()


def _make_slot_request(now_s, objective_s, may_retry):
    return slot_queue.SlotRequest(
        "lm", 0, now_s + objective_s, now_s + 5.0, may_retry=may_retry
    )


@when("{count:d} requests come that may return and be late otherwise")
def step_come(context, count):
    async def come():
        now_s = time.monotonic()
        context.decisions = []
        for _ in range(count):
            request = _make_slot_request(now_s, 0.3, may_retry=True)
            context.queue.ask(request, context.decisions.append, now_s)

    asyncio.run(come())


@then("the last is refused, to return after {least:g} to {most:g} s")
def step_returns(context, least, most):
    decision = context.decisions[-1]
    assert isinstance(decision, slot_queue.Refused), decision
    assert least <= decision.retry_after_s <= most, decision


@when(
    "another daemon reports {count:d} timely requests that wait, and a late one waits "
    "here"
)
def step_late(context, count):
    async def wait():
        now_s = time.monotonic()
        report = load_table.LoadReport({}, now_s, waiting_requests={"lm": count})
        context.fleet.board.set_report("other", report)
        for _ in range(8 + 1):
            context.fleet.board.begin("t0", is_batch=False)
        context.decisions = []
        request = _make_slot_request(now_s, -0.1, may_retry=False)
        context.queue.ask(request, context.decisions.append, now_s)

    asyncio.run(wait())


def _free_slots(context):
    async def grant():
        # A new issuer has its first token at once; a late request waits for 0.5 s.
        for _ in range(30):
            context.queue.grant_free_slots(time.monotonic())
            await asyncio.sleep(0.01)

    asyncio.run(grant())


@then("the late one is granted no slot while they wait")
def step_not_granted(context):
    for _ in range(5):
        context.fleet.board.end("t0", is_batch=False)
    _free_slots(context)
    assert not context.decisions, context.decisions


@then("it is granted a slot once they do not")
def step_granted(context):
    report = load_table.LoadReport({}, time.monotonic())
    context.fleet.board.set_report("other", report)
    _free_slots(context)
    assert isinstance(context.decisions[0], slot_queue.Granted), context.decisions


@then("it is refused between {least:g} and {most:g} s later")
def step_refused_later(context, least, most):
    async def wait():
        started_s = time.monotonic()
        while not context.decisions and time.monotonic() < started_s + 2 * most:
            context.queue.grant_free_slots(time.monotonic())
            await asyncio.sleep(0.01)
        return time.monotonic() - started_s

    took_s = asyncio.run(wait())
    assert isinstance(context.decisions[0], slot_queue.Refused), context.decisions
    assert least <= took_s <= most, took_s


@given('the target that "{segment}" would go to names a limit of {limit:g} a second')
def step_suspect_target(context, segment, limit):
    def prepare(world):
        chosen = rendezvous.choose_member(segment, dict.fromkeys(world.replicas, 1.0))
        context.limited_name = chosen
        target = world.registry.find(chosen).target
        statement = model.RateStatement(limit)
        world.limits.record_answer(target, statement, time.monotonic())

    context.prepare.append(prepare)


@then("the other target has run all of them")
def step_other_target(context):
    counts = {name: len(item.runs) for name, item in context.world.replicas.items()}
    assert counts.pop(context.limited_name) == 0, counts
    assert sum(counts.values()) == len(context.replies), counts


@given(
    "{near:d} daemons in one region and {far:d} in another before {count:d} targets "
    "that name {limit:g} a second"
)
def step_many_targets(context, near, far, count, limit):
    context.loop = asyncio.new_event_loop()
    context.cleanups.append(context.loop.close)
    limits = [(f"t{number}", "near", limit) for number in range(count)]
    context.net = rate_net.Net(context.loop, near, far, 0.0, limits)
    context.cleanups.append(context.net.stop)


@then("it has nothing to tell of the target {later_s:d} s later")
def step_forgotten(context, later_s):
    known = context.fleet.limits.list_beliefs(time.monotonic())
    assert known == [], known


@given(
    'a daemon that asks "{first}" for tokens, else "{second}", and hears nothing of '
    "either"
)
def step_holder(context, first, second):
    context.holder = token_holder.TokenHolder(
        lambda _region, _now_s: (first, second), lambda _name, _now_s: False
    )
    context.asked = []


def _need_token(context, kind, now_s):
    notice = messages.LimitNotice("t0/1", 2.0, 0.1)
    need = token_holder.TokenNeed(kind, 0, now_s + 0.3)
    outgoing = context.holder.request("near", (notice,), need, now_s)
    context.now_s = now_s
    if outgoing is not None:
        context.asked.append(outgoing)


@when(
    "it needs a token for an online request at {first:g} s, and again at {second:g} s"
)
def step_twice(context, first, second):
    for now_s in (first, second):
        _need_token(context, messages.Need.WAITING, now_s)


@when("it needs a token at {times} s too")
def step_times(context, times):
    for now_s in re.findall(r"[\d.]+", times):
        _need_token(context, messages.Need.WAITING, float(now_s))


@then("it has asked {names}, and its region has {word} waited for")
def step_asked_names(context, names, word):
    asked = [item.issuer for item in context.asked]
    if names.endswith(" last"):
        assert asked[-1:] == [names.removesuffix(" last")], asked
    else:
        assert asked == names.split(", "), asked
    expected = word == "been"
    assert context.holder.has_waited("near", context.now_s) == expected


@when("it needs tokens {needs}")
def step_needs(context, needs):
    for now_s, name in re.findall(r"at ([\d.]+) s for (\w+)", needs):
        _need_token(context, messages.Need[name.upper()], float(now_s))


@then("it has told {needs}")
def step_told(context, needs):
    told = [item.message.need.name.lower() for item in context.asked]
    assert told == needs.split(", "), told
