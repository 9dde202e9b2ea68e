import collections

from behave import given, then, when

from endivevane.coordination import admission, clock, deadlines, rendezvous
from endivevane.online import prefixes, routing
from features.support import scheduling


@given("a queue of at most {entries:d} entries and {size_bytes:d} bytes")
def step_queue(context, entries, size_bytes):
    context.queue = deadlines.FairQueue(entries, size_bytes)


@when("entries of {size_bytes:d} bytes are pushed {count:d} times")
def step_push(context, size_bytes, count):
    context.pushes = [
        context.queue.push(
            deadlines.Entry(f"e{number}", "acme", 0, 1.0, size_bytes, None)
        )
        for number in range(count)
    ]


@then("the third push is refused for its bytes")
def step_check_bytes(context):
    assert context.pushes == [None, None, deadlines.QueueFull.BYTES], context.pushes


@given("a queue with weights acme {first:d} and bolt {second:d}")
def step_weighted_queue(context, first, second):
    context.queue = deadlines.FairQueue(200, 10**6)
    context.queue.set_weights({"acme": float(first), "bolt": float(second)})


@when("both fill the queue and {count:d} entries are taken out")
def step_fill(context, count):
    for number in range(200):
        name = "bolt" if number % 2 else "acme"
        entry = deadlines.Entry(f"e{number}", name, 0, float(number), 1, None)
        assert context.queue.push(entry) is None
    popped = [context.queue.pop().organisation for _ in range(count)]
    context.shares = collections.Counter(popped)


@then("acme got {first:d} of them and bolt {second:d}")
def step_check_shares(context, first, second):
    assert context.shares == {"acme": first, "bolt": second}, context.shares


@given("a prefix index")
def step_index(context):
    context.clock = clock.ManualClock(1000.0)
    context.settings = prefixes.PrefixSettings(max_hashes=50)
    context.index = prefixes.PrefixIndex(context.settings, context.clock)


@then("a delayed eviction does not remove a prefix that was just sent")
def step_check_late(context):
    index = context.index
    index.record_send((1, 2, 3))
    context.clock.advance(0.5)
    index.apply_events([{"n": 1, "kind": "evicted", "prefix_hashes": [1, 2, 3]}])
    assert index.match((1, 2, 3)) == 3
    context.clock.advance(5.0)
    index.apply_events([{"n": 2, "kind": "evicted", "prefix_hashes": [3]}])
    assert index.match((1, 2, 3)) == 2


@then("a gap in the events shortens the lifetime of older prefixes")
def step_check_gap(context):
    index = context.index
    index.apply_events([{"n": 9, "kind": "stored", "prefix_hashes": [7]}])
    context.clock.advance(context.settings.gap_lifetime_s + 1)
    assert index.match((1, 2)) == 0, "prefixes from before the gap are still cached"
    assert index.match((7,)) == 1


@then("the index stays within its size limit")
def step_check_bound(context):
    for number in range(100):
        context.index.record_send(range(number * 10, number * 10 + 10))
    assert len(context.index) <= 50


@then("decreasing event numbers mean an empty cache")
def step_check_restart(context):
    """A restarted target numbers its events from 1 again."""
    context.index.record_send((41, 42))
    context.clock.advance(5.0)
    context.index.apply_events([{"n": 1, "kind": "stored", "prefix_hashes": [51]}])
    assert context.index.match((41, 42)) == 0
    assert context.index.match((51,)) == 1


@given("{count:d} daemons that share a target of {slots:d} slots without load reports")
def step_daemons(context, count, slots):
    settings = admission.LimitSettings()
    context.slots = slots
    context.limits = [admission.ConcurrencyLimit(settings, slots) for _ in range(count)]


def _measure(context, completions, has_work):
    """Let every daemon fill its limit; the target queues beyond its slots."""
    service_s = 0.1
    for number in range(completions):
        limits = [item.limit if has_work else 1 for item in context.limits]
        total = sum(limits)
        latency_s = service_s * max(1.0, total / context.slots)
        index = number % len(context.limits)
        context.limits[index].record_latency(latency_s, context.limits[index].limit)


@when("each of them has more work than the target can take")
def step_overload(context):
    # A phase without load gives each daemon the latency without queueing.
    _measure(context, 60, has_work=False)
    _measure(context, 2000, has_work=True)


@then("their limits add up to less than {bound:d} after {count:d} completions")
def step_check_limits(context, bound, count):
    total = sum(item.limit for item in context.limits)
    print(f"sum of limits: {total}")
    assert context.slots <= total < bound, total


@then("they rise to {slots:d} each again when the latency is back to normal")
def step_check_recovery(context, slots):
    _measure(context, 600, has_work=False)
    assert [item.limit for item in context.limits] == [slots] * len(context.limits)


@given("{count:d} members and a subset of {size:d}")
def step_members(context, count, size):
    context.members = {f"m{number}": 1.0 for number in range(count)}
    context.size = size


@then("removing any member of the subset replaces only that member")
def step_check_removal(context):
    for key in ("daemon-1", "daemon-2", "daemon-3"):
        before = rendezvous.choose_subset(key, context.members, context.size)
        for name in before:
            left = {item: 1.0 for item in context.members if item != name}
            after = rendezvous.choose_subset(key, left, context.size)
            assert set(before) - set(after) == {name}
            assert len(after) == context.size


@then("a weight of 2 doubles a member's share within {percent:d} percent")
def step_check_weight(context, percent):
    members = {f"m{number}": 1.0 for number in range(9)}
    members["m0"] = 2.0
    owners = collections.Counter(
        rendezvous.choose_member(f"key-{number}", members) for number in range(20_000)
    )
    ratio = owners["m0"] / (20_000 * 2 / 10)
    assert abs(ratio - 1) < percent / 100, ratio


@then("adding a member changes at most one entry")
def step_check_addition(context):
    grown = {**context.members, "new": 1.0}
    for number in range(100):
        key = f"daemon-{number}"
        before = set(rendezvous.choose_subset(key, context.members, context.size))
        after = set(rendezvous.choose_subset(key, grown, context.size))
        assert len(before - after) <= 1


@then(
    "{daemons:d} daemons with {targets:d} targets leave at most {unused:d} unused and "
    "keep at most {kept:d}"
)
def step_check_coverage(context, daemons, targets, unused, kept):
    """With 4 subsets per target on average, 2% are in none; 5% is the tolerance."""
    names = [scheduling.make_target(f"t{number}") for number in range(targets)]
    service = scheduling.make_snapshot(names).services["answers"]
    covered = set()
    for number in range(daemons):
        place = routing.Place(f"daemon-{number}", "zone-a", "west")
        chosen = routing.choose_candidates(
            place, service, (), routing.RoutingSettings(), daemons
        )
        assert len(chosen) <= kept, len(chosen)
        covered.update(item.name for item in chosen)
    assert targets - len(covered) <= unused, targets - len(covered)
