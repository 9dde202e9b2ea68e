import dataclasses
import random

from behave import given, then, when

from endivevane import metrics
from endivevane.locality import location, sizes, traffic
from endivevane.serving import (
    coordinator,
    load_table,
    slot_messages,
    slot_queue,
    water_filling,
)
from features.support import locality_world, serving_fakes

NOW_S = locality_world.NOW_S
ZONES = ("z1", "z3", "z2")


def _draw_by_constants(fleet, loads, generator, own_zone, age_s):
    """Draw as the selection did when the cost of distance was constant."""
    candidates = []
    for name, target in fleet.targets.items():
        total = sum(loads[name])
        is_far = target.availability_zone == "z2"
        reserve = min(int(5.0 * age_s), 4) if is_far else 0
        if total >= 9 - reserve:
            continue
        cost = (total + 1) / 8
        if target.availability_zone != own_zone:
            cost += 0.06
            if is_far:
                cost += 0.15 + 1.4 * age_s
        candidates.append(water_filling.Candidate(target, cost))
    online = sum(item[0] for item in loads.values())
    return water_filling.draw_target(candidates, online * 0.03 / 0.8, generator)


@then("{count:d} decisions on random loads are those of the constant costs")
def step_constants(context, count):
    for seed in range(count):
        generator = random.Random(seed)
        zones = {f"t{number}": ZONES[number % 3] for number in range(6)}
        fleet = serving_fakes.Fleet(list(zones), seed=seed, zones=zones)
        fleet.choices._location = dataclasses.replace(
            fleet.choices._location, regions=locality_world.REGIONS
        )
        fleet.choices._distances._location = fleet.choices._location
        age_s = generator.choice((0.0, 0.1, 0.45, 1.7))
        fleet.board.cross_region_age_s = age_s
        loads = {
            name: (generator.randint(0, 8), generator.randint(0, 2)) for name in zones
        }
        fleet.report("others", loads)
        zone = generator.choice(("z1", "z3"))
        got = fleet.choices.choose_online(
            "lm",
            NOW_S,
            zone=zone,
            latest_start_s=NOW_S + generator.random(),
            request_bytes=generator.randint(0, 4_000_000),
        )
        wanted = _draw_by_constants(fleet, loads, random.Random(seed), zone, age_s)
        assert got == wanted, (seed, got, wanted)


@given("2 targets of 8 slots in each of the zones z1, z3 and, in another region, z2")
def step_world(context):
    context.world = locality_world.World(ZONES)
    context.counts = {}


@given("they run {own:d}, {other:d} and {far:d} online requests each")
def step_run(context, own, other, far):
    each = {"z1": own, "z3": other, "z2": far}
    counts = {
        name: each[target.availability_zone]
        for name, target in context.world.targets.items()
    }
    near = {name: load_table.Load(n) for name, n in counts.items() if "z2" not in name}
    context.world.loads.set_report("d1", load_table.LoadReport(near, NOW_S))
    context.counts = {name: n for name, n in counts.items() if "z2" in name}
    context.world.report("far", context.counts, NOW_S - 0.1)


@given("the report of the other region came {age_s:g} s ago")
def step_age(context, age_s):
    context.world.report("far", context.counts, NOW_S - age_s)
    context.world.loads.drop_stale_reports(NOW_S)
    near = context.world.loads.find_report("d1")
    assert near is not None


@given("{crossing:d} requests of {size:d} bytes cross between the regions")
def step_crossing(context, crossing, size):
    # They are of another service, so that they do not take slots of this one.
    context.world.add("other", service="bulk", zone="z1", slots=64)
    context.world.sizes.record("bulk", 0, size)
    counts = {**context.counts, "other": crossing}
    context.world.report("far", counts, NOW_S - 0.1)


@given("requests of the service have {size:d} bytes and {waiting:d} items wait")
def step_items(context, size, waiting):
    context.world.sizes.record("lm", size // 2, size // 2)
    context.world.loads.own_waiting_items = waiting


@given("the targets of {zones} are lost")
def step_lost(context, zones):
    for name, target in list(context.world.targets.items()):
        if target.availability_zone in zones.split(", "):
            leaving = dataclasses.replace(target, is_draining=True)
            context.world.targets[name] = leaving
            row = serving_fakes.make_row(name, b"x", 2)
            context.world.directory.apply(row, NOW_S)


def _assert_goes(context, zone, **fields):
    # Drawn often, since targets are drawn at random by weight.
    world = context.world
    found = {
        world.find_zone(world.selector.choose_online("lm", NOW_S, zone="z1", **fields))
        for _ in range(20)
    }
    assert found <= set(zone.split(" or ")), found


@then("a request from z1 goes to {zone}")
def step_goes(context, zone):
    _assert_goes(context, zone)


@then("a request of {count:d} bytes from z1 goes to {zone}")
def step_sized_goes(context, count, zone):
    _assert_goes(context, zone, request_bytes=count)


@then("a request of {count:d} bytes from z1 with {left_s:g} s left goes to {zone}")
def step_hurried_goes(context, count, left_s, zone):
    _assert_goes(context, zone, request_bytes=count, latest_start_s=NOW_S + left_s)


@when(
    "a daemon of {zone} asks the coordinator for {count:d} bytes with {left_s:g} s left"
)
def step_ask_coordinator(context, zone, count, left_s):
    world = context.world
    queue = slot_queue.SlotQueue(world.selector, world.loads, random.Random(1))
    context.sent = []
    granter = coordinator.Coordinator(
        world.directory,
        world.loads,
        queue,
        world.selector,
        lambda _name, message: context.sent.append(message),
    )
    message, _ = _pass_on(
        availability_zone=zone,
        request_bytes=count,
        objective_left_s=left_s,
        deadline_left_s=5.0,
    )
    granter.handle("d2", message, NOW_S)


@then("it is granted a slot in {zone}")
def step_coordinator_grants(context, zone):
    (granted,) = context.sent
    assert granted.target_id.startswith(zone), granted


@then("a batch item from z1 that is due in {due_s:g} s goes to {zone}")
def step_item_goes(context, due_s, zone):
    target = context.world.selector.choose_batch(
        "lm", NOW_S, zone="z1", due_s=NOW_S + due_s
    )
    assert context.world.find_zone(target) == zone, target


@when(
    "demand steps between {low:g} and {high:g} of its mean every 2 s, in turn in 2 "
    "regions"
)
def step_demand(context, low, high):
    # The 64 slots of a region serve 80 requests of 0.8 s a second.
    def find_rate(region, time_s):
        is_first = time_s % 4.0 < 2.0
        return 64.0 * (high if is_first == (region == "near") else low)

    context.regions = locality_world.TwoRegions(find_rate)
    context.regions.run(12.0)


@when("demand is even in 2 regions")
def step_even(context):
    context.regions = locality_world.TwoRegions(lambda _region, _time_s: 48.0)
    context.regions.run(8.0)


@then("in no 0.5 s more than 1 in 20 requests crosses against the step")
def step_against(context):
    for begin in range(24):
        window = [item for item in context.regions.sent if item[0] // 0.5 == begin]
        loaded = "near" if begin % 8 < 4 else "far"
        # The loads follow the step after the time for which requests hold their slots.
        if begin % 4 < 2:
            continue
        against = sum(is_far for _, region, is_far in window if region != loaded)
        assert against <= len(window) / 20, (begin, against, len(window))


@then("no request waits for {longest_s:g} s")
def step_wait(context, longest_s):
    assert context.regions.longest_wait_s < longest_s, context.regions.longest_wait_s


@then("at most 1 in {share:d} requests crosses")
def step_cross(context, share):
    crossing = sum(is_far for _, _, is_far in context.regions.sent)
    assert crossing <= len(context.regions.sent) / share, crossing


def _pass_on(**fields):
    fields = {"availability_zone": "z1", **fields}
    message = slot_messages.Acquire("run", 1, "lm", **fields)
    kind, *received = serving_fakes.load(slot_messages.encode(message))
    return slot_messages.decode(kind, received), received


@then("a slot request of {count:d} bytes arrives with them")
def step_message(context, count):
    for version in (None, "v1"):
        message, _ = _pass_on(version=version, request_bytes=count)
        assert (message.version, message.request_bytes) == (version, count)


@then("its datagram has the fields of the earlier release")
def step_old_message(context):
    for fields in ({}, {"request_bytes": 5}, {"organisation": "a", "request_bytes": 0}):
        message, received = _pass_on(request="r-1", **fields)
        assert len(received) == 13, received
        assert message.request == "r-1"
        assert message.organisation == fields.get("organisation", "")
        assert message.request_bytes == fields.get("request_bytes")


def _read_counts():
    return {
        reach: (
            metrics.TARGET_REQUESTS.labels(reach)._value.get(),
            metrics.TARGET_BYTES.labels(reach, "sent")._value.get(),
            metrics.TARGET_BYTES.labels(reach, "received")._value.get(),
        )
        for reach in location.Reach
    }


@when("calls of 100 bytes to z1, z3 and z2 are answered by 50 bytes, the last in part")
def step_calls(context):
    context.before = _read_counts()
    context.sizes = sizes.MeanSizes()
    place = location.Location("z1", "near", locality_world.REGIONS)
    counted = traffic.Traffic(place, context.sizes)
    for zone in ZONES:
        transfer = counted.begin(serving_fakes.make_target("t", zone=zone), 100)
        transfer.add_received(50)
        if zone != "z2":
            transfer.record_complete()


@then("each distance has 1 request more, 100 bytes sent and 50 received")
def step_counts(context):
    for reach, after in _read_counts().items():
        added = [
            new - old for new, old in zip(after, context.before[reach], strict=True)
        ]
        assert added == [1, 100, 50], (reach, added)


@then("the mean size of the service is that of a whole response")
def step_mean(context):
    assert context.sizes.get("lm") == sizes.Size(100, 50)
