import statistics

from behave import given, then, when

from endivevane.coordination import members
from features.support import pump

_ZONES = {
    3: [("z1", "r1"), ("z2", "r1"), ("z3", "r2")],
    4: [("z1", "r1"), ("z2", "r1"), ("z3", "r2"), ("z4", "r2")],
}
# A pause of 200 ms every 10 s on average, at 10 ticks a second.
_PAUSE_SHARE = 0.01


@given(
    "{count:d} members in {zones:d} zones of 2 regions with {loss:d}% loss "
    "and {pause:d} ms pauses, seed {seed:d}"
)
def step_build(context, count, zones, loss, pause, seed):
    print(f"network seed {seed}")
    share = _PAUSE_SHARE if pause else 0.0
    context.network = pump.SimulatedNetwork(seed, loss / 100, pause / 1000, share)
    context.network.build(count, _ZONES[zones])


@when("{count:d} members in turn are killed")
def step_kill_in_turn(context, count):
    for _ in range(count):
        # Each zone keeps members: a death is detected only within its region.
        running = context.network.running()
        context.network.kill(
            running[context.network.random.randrange(len(running) // 2)]
        )
        context.network.run(8.0)


@when("{duration:d} simulated seconds pass")
def step_pass(context, duration):
    context.network.run(duration)
    print(f"{context.network.suspicions} suspicions were noted")


@when("a member is paused for {duration:g} seconds 20 times")
def step_pause_often(context, duration):
    names = context.network.running()
    for number in range(20):
        context.network.pause(names[number % len(names)], duration)
        context.network.run(duration + 3.0)


@when("a member is paused for {duration:g} seconds")
def step_pause(context, duration):
    context.paused = context.network.running()[0]
    context.network.pause(context.paused, duration)
    context.network.run(duration)


@when("half of the members are killed and as many join")
def step_replace_half(context):
    running = context.network.running()
    half = sorted(context.network.random.sample(running, len(running) // 2))
    rest = [name for name in running if name not in half]
    for name in half:
        context.network.kill(name)
    for number in range(len(half)):
        zone, region = _ZONES[4][number % 4]
        seeds = context.network.random.sample(rest, 2)
        context.network.add(f"n{number:03d}", zone, region, seeds)
    context.network.run(8.0)


@when("half of the members are killed at once")
def step_kill_half(context):
    running = context.network.running()
    for name in context.network.random.sample(running, len(running) // 2):
        context.network.kill(name)
    context.network.run(10.0)


@when(
    "the link between the regions is cut for {duration:d} seconds "
    "and a member of each region dies"
)
def step_cut(context, duration):
    context.network.is_partitioned = True
    context.network.run(duration / 2)
    for region in ("r1", "r2"):
        nodes = context.network.nodes
        names = [
            name for name in context.network.running() if nodes[name].region == region
        ]
        context.network.kill(names[0])
    context.network.run(duration / 2)
    context.network.is_partitioned = False


@when("a member announces that it is leaving")
def step_leave(context):
    context.leaving = context.network.running()[0]
    context.network.nodes[context.leaving].detector.leave()


@when("another member reads that it is leaving")
def step_read_leaving(context):
    context.leaving, reader = context.network.running()[:2]
    context.network.nodes[reader].detector.report_leaving(context.leaving)


@then("every running member has detected each death within {limit:g} seconds")
def step_check_detection(context, limit):
    late = {}
    for name in context.network.killed_s:
        times = context.network.detection_s(name)
        missing = [observer for observer, time_s in times.items() if time_s is None]
        assert not missing, f"{name} is not dead for {missing[:5]}"
        worst = max(times.values())
        middle = statistics.median(times.values())
        if worst > limit:
            late[name] = round(worst, 2)
        elif len(context.network.killed_s) < 10:
            print(f"{name}: median {middle:.2f} s, worst {worst:.2f} s")
    count = len(context.network.killed_s)
    assert not late, f"{len(late)} of {count} deaths were detected late: {late}"


@then("each death was detected by some member within {limit:g} seconds")
def step_check_first(context, limit):
    first, last = [], []
    for name in context.network.killed_s:
        times = context.network.detection_s(name).values()
        known = [time_s for time_s in times if time_s is not None]
        assert known, f"no member detected the death of {name}"
        first.append(min(known))
        last.append(max(known))
    late = sum(time_s > limit for time_s in last)
    print(f"first detection: worst {max(first):.2f} s; by all: worst {max(last):.2f} s")
    print(
        f"{late} of {len(last)} deaths took longer than {limit:g} s to reach everyone"
    )
    assert max(first) <= limit, max(first)


@then("no running member was declared dead")
def step_check_false(context):
    assert not context.network.false_deaths(), context.network.false_deaths()[:5]


@then("the paused member was declared dead, and nobody else")
def step_check_paused(context):
    assert {item[2] for item in context.network.false_deaths()} == {context.paused}


@then("every running member sees exactly the running members")
def step_check_views(context):
    expected = frozenset(context.network.running())
    views = context.network.views()
    wrong = {name for name, view in views.items() if view != expected}
    assert not wrong, f"{len(wrong)} views differ, for example of {min(wrong)}"


@then("within {limit:g} seconds every running member sees exactly the running members")
def step_check_views_within(context, limit):
    expected = frozenset(context.network.running())
    for step in range(int(limit * 2)):
        if all(view == expected for view in context.network.views().values()):
            print(f"views agreed after {step / 2:g} s")
            return
        context.network.run(0.5)
    step_check_views(context)


@then("within {limit:g} seconds every running member sees it leaving")
def step_check_leaving(context, limit):
    context.network.run(limit)
    for name in context.network.running():
        member = context.network.nodes[name].detector.table.get(context.leaving)
        assert member.state is members.MemberState.LEAVING, (name, member)


@then("it is not seen as alive in the next {duration:d} seconds")
def step_check_still_leaving(context, duration):
    for _ in range(duration):
        context.network.run(1.0)
        for name in context.network.running():
            member = context.network.nodes[name].detector.table.get(context.leaving)
            assert member.state is members.MemberState.LEAVING, (name, member)
