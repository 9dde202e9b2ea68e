import asyncio
import collections
import dataclasses
import pathlib
import time

from behave import given, then, when

from bench.fleet import pattern, simulation
from endivevane.serving import (
    item_estimates,
    load_table,
    newest_version,
    peer_registry,
    peers,
    slot_queue,
    slot_registry,
    water_filling,
)
from features.support import serving_fakes


@when(
    "{daemons:d} daemons each place one request on {count:d} equal targets by the "
    "same reports, {age_s:g} s old"
)
def step_spread(context, daemons, count, age_s):
    names = [f"t{number}" for number in range(count)]
    context.chosen = collections.Counter()
    for seed in range(daemons):
        fleet = serving_fakes.Fleet(names, seed=seed, age_s=age_s)
        target = fleet.choices.choose_online("lm", time.monotonic())
        context.chosen[target.target_id] += 1


@then("no target gets more than {most:d} of the requests")
def step_spread_bound(context, most):
    # Random choice puts 5 of 60 on each of 12 targets; 13 is over 3.5 deviations.
    assert max(context.chosen.values()) <= most, context.chosen


@when(
    "{daemons:d} daemons each place one request on {count:d} targets by the same "
    "reports, {age_s:g} s old"
)
def step_even_fleet(context, daemons, count, age_s):
    context.even = (daemons, [f"t{number}" for number in range(count)], age_s)


@when("{low:d} run on the first of them and {high:d} on each other one")
def step_even_runs(context, low, high):
    daemons, names, age_s = context.even
    loads = {name: (high, 0) for name in names} | {names[0]: (low, 0)}
    context.fullest = []
    for run_number in range(100):
        held = collections.Counter({name: count for name, (count, _) in loads.items()})
        for daemon in range(daemons):
            fleet = serving_fakes.Fleet(
                names, seed=run_number * daemons + daemon, age_s=age_s
            )
            fleet.report("others", loads)
            # 32 requests of 0.16 s each are 20 in the time between two reports.
            for _ in range(100):
                fleet.choices.record_hold("lm", 0.16)
            held[fleet.choices.choose_online("lm", time.monotonic()).target_id] += 1
        context.fullest.append(max(held.values()))


@then("no target holds more than {most:d} of them in {least:d} of 100 runs")
def step_even_held(context, most, least):
    # Evenly, 52 requests on 6 targets are 8.7 each; 20 draws deviate by 1.7, so
    # that 14 is three of them above.
    held = sum(fullest <= most for fullest in context.fullest)
    assert held >= least, collections.Counter(context.fullest)


@given("targets of 8 slots with costs {first:g}, {second:g} and {third:g}")
def step_costs(context, first, second, third):
    context.candidates = [
        water_filling.Candidate(serving_fakes.make_target(f"t{number}"), cost)
        for number, cost in enumerate((first, second, third))
    ]


@when("{amount:d} requests are distributed over them")
def step_share_out(context, amount):
    context.shares = water_filling.compute_shares(context.candidates, amount)


@then("they get {first:d}, {second:d} and {third:d} of them")
def step_shares(context, first, second, third):
    wanted = (first, second, third)
    for got, expected in zip(context.shares, wanted, strict=True):
        assert abs(got - expected) < 1e-9, context.shares


@given("the loads of the other region are {age_s:g} s old")
def step_far_age(context, age_s):
    context.fleet.board.cross_region_age_s = age_s


@then("an online request goes to the first target")
def step_first(context):
    assert _choose(context) == "t0"


@when('the fleet model simulates "{name}" for {seconds:d} s')
def step_model(context, name, seconds):
    path = pathlib.Path("bench/fleet/patterns") / f"{name}.toml"
    played = pattern.load_pattern(path)
    played = played.model_copy(update={"duration_s": float(seconds)})
    context.tally = simulation.Simulation(played, seed=3).run()


@then("at most {most:d} in 100 requests are late")
def step_model_late(context, most):
    tally = context.tally
    assert tally.late <= most / 100 * tally.served, tally


@then("all batch items are completed on time")
def step_model_items(context):
    tally = context.tally
    assert tally.items_due and tally.items_on_time == tally.items_due, tally


@given("{count:d} targets of 8 slots")
def step_targets(context, count):
    context.names = [f"t{number}" for number in range(count)]
    context.fleet = serving_fakes.Fleet(context.names)


@given("a near and a far target of 8 slots")
def step_near_far(context):
    context.names = ["t0", "t1"]
    context.fleet = serving_fakes.Fleet(context.names, zones={"t1": "z2"})


@given("peers run {first:d}, {second:d} and {third:d} online requests on them")
@when("peers run {first:d}, {second:d} and {third:d} online requests on them")
def step_loads(context, first, second, third):
    counts = (first, second, third)
    loads = {
        name: (count, 0)
        for name, count in zip(context.names, counts, strict=False)
        if count
    }
    context.fleet.report("peer", loads)


@when("the first target {trouble}")
def step_trouble(context, trouble):
    now_s = time.monotonic()
    health = context.fleet.find("t0").health
    if trouble == "says that it leaves":
        context.fleet.add("t0", version=9, leaving=True)
    elif trouble == "has failed a moment ago":
        health.record_failure(now_s)
    elif trouble == "has refused a request as full":
        health.record_full(now_s)
    else:
        health.begin_call(now_s - 2.0)
        health.begin_events()
        health.record_data(now_s - 2.0)


def _choose(context):
    target = context.fleet.choices.choose_online("lm", time.monotonic())
    return None if target is None else target.target_id


@then("an online request goes to the second target")
def step_second(context):
    assert _choose(context) == "t1"


@then("an online request goes to one of the first two targets")
def step_first_two(context):
    assert _choose(context) in ("t0", "t1")


@then("an online request finds no target")
def step_no_target(context):
    assert _choose(context) is None


@then("at least {least:d} of 100 online requests go to the {which} target")
def step_distance(context, least, which):
    name = "t0" if which == "near" else "t1"
    chosen = collections.Counter(_choose(context) for _ in range(100))
    assert chosen[name] >= least, chosen


@then("a batch item goes to the first target")
def step_batch(context):
    target = context.fleet.choices.choose_batch("lm", time.monotonic())
    assert target.target_id == "t0"


@then("a batch item finds no target")
def step_no_batch(context):
    assert context.fleet.choices.choose_batch("lm", time.monotonic()) is None


@when(
    "{owners:d} daemons with one item each share a target of 8 slots with {surplus:d} "
    "online requests too many, {times:d} times"
)
def step_preempt(context, owners, surplus, times):
    online = 8 - owners + surplus
    preempted = 0
    for seed in range(times):
        for owner in range(owners):
            fleet = serving_fakes.Fleet(["t0"], seed=seed * owners + owner)
            fleet.report("others", {"t0": (online, owners - 1)})
            fleet.board.begin("t0", is_batch=True)
            preempted += fleet.choices.count_to_preempt(fleet.targets["t0"])
    context.mean = preempted / times / surplus


@then(
    "on average between {low:g} and {high:g} items are preempted for each one that "
    "has to be"
)
def step_preempt_mean(context, low, high):
    assert low <= context.mean <= high, context.mean


def _fill(context, online):
    context.fleet = serving_fakes.Fleet(["t0"])
    context.fleet.report("peer", {"t0": (online, 0)})
    context.admission = context.fleet.make_admission()


def _make_slot_request(priority, objective_s, left_s=5.0):
    now_s = time.monotonic()
    return slot_queue.SlotRequest(
        service="lm",
        priority=priority,
        objective_s=now_s + objective_s,
        deadline_s=now_s + left_s,
    )


@given("a full target and waiting requests {names}")
def step_waiting(context, names):
    _fill(context, 10)
    context.order = []
    kinds = {
        "late urgent": (0, -0.5),
        "timely background": (2, 0.4),
        "timely urgent": (0, 0.4),
    }
    context.slot_requests = {
        name.strip().strip('"'): _make_slot_request(*kinds[name.strip().strip('"')])
        for name in names.split(",")
    }


@when("slots become free one after the other")
def step_free(context):
    async def wait(name, slot_request):
        await context.admission.acquire(slot_request)
        context.order.append(name)

    async def run():
        tasks = [
            asyncio.ensure_future(wait(name, slot_request))
            for name, slot_request in context.slot_requests.items()
        ]
        await asyncio.sleep(0)
        for free in (8, 7, 6):
            # A target accepts one request beyond its slots; those placed before are
            # counted here already.
            context.fleet.report("peer", {"t0": (free, 0)})
            context.admission.dispatch()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await asyncio.wait(tasks, timeout=1)

    asyncio.run(run())


@then("they go to {names}")
def step_order(context, names):
    expected = [name.strip().strip('"') for name in names.split(",")]
    assert context.order == expected, context.order


@given("a full target of 8 slots and {count:d} waiting requests")
def step_queue(context, count):
    _fill(context, 10)
    context.count = count


@when("a request with {left_ms:d} ms left requests a slot")
def step_short_deadline(context, left_ms):
    async def run():
        waiting = [
            asyncio.ensure_future(
                context.admission.acquire(_make_slot_request(0, 30, 60))
            )
            for _ in range(context.count)
        ]
        await asyncio.sleep(0)
        began_s = time.monotonic()
        context.granted = await context.admission.acquire(
            _make_slot_request(0, 0.3, left_ms / 1000)
        )
        context.took_s = time.monotonic() - began_s
        context.retry_delay_s = context.admission.queue.retry_after_s("lm")
        for task in waiting:
            task.cancel()
        await asyncio.wait(waiting)

    asyncio.run(run())


@then("it is refused within {limit_ms:d} ms")
def step_refused(context, limit_ms):
    assert isinstance(context.granted, slot_queue.Refused), context.granted
    assert context.took_s <= limit_ms / 1000, context.took_s


@then("the suggested retry delay is between {low_ms:d} ms and {high_s:g} s")
def step_retry_delay(context, low_ms, high_s):
    assert low_ms / 1000 <= context.retry_delay_s <= high_s, context.retry_delay_s


@when("the waiting request is cancelled as its slot is granted")
def step_cancel(context):
    async def run():
        task = asyncio.ensure_future(
            context.admission.acquire(_make_slot_request(0, 1))
        )
        await asyncio.sleep(0)
        context.fleet.report("peer", {"t0": (3, 0)})
        context.admission.dispatch()
        assert context.fleet.board.total("t0").online == 4
        task.cancel()
        await asyncio.wait((task,))

    asyncio.run(run())


@then("the target counts only the requests of the peers")
def step_counted(context):
    assert context.fleet.board.total("t0").online == 3


@given("an online peak of {count:d} requests on each of them in the last seconds")
def step_peak(context, count):
    now_s = time.monotonic()
    context.fleet.report("peer", {name: (count, 0) for name in context.names})
    context.fleet.choices.record_peaks(now_s - 2.0)
    context.fleet.report("peer", {})
    context.fleet.choices.record_peaks(now_s)


@when("{count:d} batch items are ready to run")
def step_ready(context, count):
    context.placed = collections.Counter()
    for left in range(count, 0, -1):
        context.fleet.board.own_waiting_items = left
        target = context.fleet.choices.choose_batch("lm", time.monotonic())
        if target is not None:
            context.fleet.board.begin(target.target_id, is_batch=True)
            context.placed[target.target_id] += 1


@then("{count:d} of them get a slot, and at most {most:d} on one target")
def step_placed(context, count, most):
    assert sum(context.placed.values()) == count, context.placed
    assert max(context.placed.values()) <= most, context.placed


class _Wire:
    """Carries datagrams between daemons and counts those between regions."""

    def __init__(self):
        self.networks = {}
        self.regions = {}
        self.cross_region = 0

    def make_transport(self, host):
        wire = self

        class Transport:
            def sendto(self, data, address):
                target = address[0]
                wire.cross_region += wire.regions[host] != wire.regions[target]
                loop = asyncio.get_running_loop()
                network = wire.networks[target]
                loop.call_later(0.001, network.datagram_received, data, (host, 1))

            def is_closing(self):
                return False

        return Transport()


@when(
    "{count:d} daemons of two regions report for {seconds:g} s and one has "
    "{load:d} requests on a target"
)
def step_report(context, count, seconds, load):
    wire = context.wire = _Wire()
    context.daemons = []
    context.newest = []

    async def run():
        for number in range(count):
            host, region = f"10.0.0.{number}", f"r{number % 2}"
            identity = peer_registry.Identity(f"d{number}", region, "run", host, 1)
            board = load_table.LoadTable()
            newest = newest_version.NewestVersion()
            members = peer_registry.PeerRegistry(identity)
            registry = slot_registry.SlotRegistry(board)
            network = peers.PeerNetwork(
                identity, members, board, newest, registry, lambda: None
            )
            context.newest.append(newest)
            network.connection_made(wire.make_transport(host))
            wire.networks[host], wire.regions[host] = network, region
            context.daemons.append((network, members, board))
        for _, members, _ in context.daemons:
            for number in range(count):
                region = f"r{number % 2}"
                peer = peer_registry.Peer(
                    f"d{number}", region, f"10.0.0.{number}", 1, "run"
                )
                members.add(peer)
        for _ in range(load):
            context.daemons[0][2].begin("t0", is_batch=False)
        context.newest[0].record(7)
        for _ in range(2):
            context.daemons[0][2].outcomes.record("t0", time.monotonic(), 1.0)
        tasks = [asyncio.ensure_future(item.run()) for item, _, _ in context.daemons]
        await asyncio.sleep(seconds)
        context.alive = [len(item.list_alive()) for _, item, _ in context.daemons]
        for task in tasks:
            task.cancel()

    asyncio.run(run())


@then("every daemon counts {load:d} requests on the target")
def step_counted_everywhere(context, load):
    counts = [board.total("t0").online for _, _, board in context.daemons]
    assert counts == [load] * len(counts), counts


@then("every daemon knows that the other {count:d} are alive")
def step_alive_everywhere(context, count):
    assert context.alive == [count] * len(context.daemons), context.alive


@then("every daemon knows that the target has failed, and the newest version")
def step_known_everywhere(context):
    now_s = time.monotonic()
    shares = [
        board.outcomes.find_failure_rate("t0", now_s) for _, _, board in context.daemons
    ]
    assert min(shares) > 0, shares
    assert [newest.value for newest in context.newest] == [7] * len(shares)


@then("at most {most:d} reports crossed between the regions")
def step_cross_region(context, most):
    # Two regions, ten reports a second each at most, and a second one at the start to a
    # region that has not been seen yet.
    assert context.wire.cross_region <= most, context.wire.cross_region


@given("a full target of 8 slots and {count:d} waiting requests that are late")
def step_late_queue(context, count):
    _fill(context, 10)
    context.count = count
    context.waiting_objective_s = -1.0


@when("a {which} request with an objective of {objective_ms:d} ms requests a slot")
def step_overload(context, which, objective_ms):
    waiting_s = getattr(context, "waiting_objective_s", 30)

    async def run():
        waiting = [
            asyncio.ensure_future(
                context.admission.acquire(_make_slot_request(0, waiting_s, 60))
            )
            for _ in range(context.count)
        ]
        await asyncio.sleep(0)
        slot_request = _make_slot_request(0, objective_ms / 1000)
        slot_request = dataclasses.replace(slot_request, may_retry=which == "first")
        asked = asyncio.ensure_future(context.admission.acquire(slot_request))
        done, _ = await asyncio.wait((asked,), timeout=0.05)
        context.is_refused = bool(done) and isinstance(
            asked.result(), slot_queue.Refused
        )
        context.retry_delay_s = context.admission.queue.retry_after_s("lm")
        for task in (*waiting, asked):
            task.cancel()
        await asyncio.wait((*waiting, asked))

    asyncio.run(run())


@then("it is kept waiting")
def step_kept(context):
    assert not context.is_refused


@then("it is asked to return in {low_s:g} s to {high_s:g} s")
def step_asked_to_return(context, low_s, high_s):
    assert context.is_refused
    assert low_s <= context.retry_delay_s <= high_s, context.retry_delay_s


@then("an urgent batch item goes to the first target, and another one not")
def step_urgent(context):
    placed = []
    for _ in range(2):
        target = context.fleet.choices.choose_batch(
            "lm", time.monotonic(), is_urgent=True
        )
        placed.append(target is not None)
        if target is not None:
            context.fleet.board.begin(target.target_id, is_batch=True)
    assert placed == [True, False], placed


@given("items of {events:d} events that take {event_ms:d} ms each")
def step_estimator(context, events, event_ms):
    context.estimator = item_estimates.ItemEstimator()
    for _ in range(60):
        context.estimator.record_run(events, events * event_ms / 1000)
    context.estimator.record_item(events)


@then("an item with {events:d} events so far and {left_s:g} s left is {urgency}")
def step_urgency(context, events, left_s, urgency):
    assert context.estimator.classify_urgency(events, left_s).name == urgency
