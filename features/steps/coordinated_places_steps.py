import asyncio
import collections
import time

from behave import given, then, when

from endivevane.serving import (
    coordinator,
    item_estimates,
    peer_registry,
    slot_client,
    slot_messages,
    slot_queue,
    slot_registry,
)
from features.support import serving_fakes


class Region:
    """A coordinator and the messages that it has sent to each daemon."""

    def __init__(self, daemons, targets):
        names = [f"t{number}" for number in range(targets)]
        self.fleet = serving_fakes.Fleet(names, age_s=0.0)
        self.names = names
        self.daemons = [f"d{number}" for number in range(daemons)]
        self.sent_messages = []
        self.now_s = 100.0
        self.coordinator = coordinator.Coordinator(
            self.fleet.directory,
            self.fleet.board,
            self.fleet.make_queue(),
            self.fleet.choices,
            lambda name, message: self.sent_messages.append((name, message)),
        )
        self._numbers = collections.Counter()

    def ask(self, name, objective_s=0.3, **fields):
        self._numbers[name] += 1
        message = slot_messages.Acquire(
            incarnation="run",
            number=self._numbers[name],
            service="lm",
            availability_zone="z1",
            objective_left_s=objective_s,
            deadline_left_s=5.0,
            **fields,
        )
        self.send(name, message)
        return message

    def send(self, name, message):
        # Each message is encoded and decoded as it is between two daemons.
        data = slot_messages.encode(message)
        kind, *fields = serving_fakes.load(data)
        self.coordinator.handle(name, slot_messages.decode(kind, fields), self.now_s)

    def list_granted(self):
        found = {}
        for name, message in self.sent_messages:
            if isinstance(message, slot_messages.Granted):
                found[(name, message.number)] = message.target_id
        return found

    def count(self, kind):
        return sum(isinstance(message, kind) for _, message in self.sent_messages)

    def release_slots(self, count):
        for (name, number), _ in list(self.list_granted().items())[:count]:
            self.send(name, slot_messages.Release("run", number, 0.5, 0.1))

    def list_loads(self):
        return [self.fleet.board.total(name).total for name in self.names]

    def list_held_slots(self, name):
        return [
            slot_registry.HeldSlot(number, target_id, False)
            for (holder, number), target_id in self.list_granted().items()
            if holder == name
        ]


@given("a coordinator of {daemons:d} daemons before {targets:d} targets of 8 slots")
def step_region(context, daemons, targets):
    context.region = Region(daemons, targets)


@when("each daemon requests {each:d} slots at once")
def step_burst(context, each):
    for name in context.region.daemons:
        for _ in range(each):
            context.region.ask(name)


@then(
    "no target has more than {most:d} requests and the fullest one 1 more than the "
    "emptiest"
)
def step_even(context, most):
    loads = context.region.list_loads()
    assert max(loads) <= most, loads
    assert max(loads) - min(loads) <= 1, loads


@then("{granted:d} slots are granted and {rest:d} requests wait or are refused")
def step_granted(context, granted, rest):
    region = context.region
    assert len(region.list_granted()) == granted
    waiting = region.count(slot_messages.Queued)
    refused = region.count(slot_messages.Refused)
    assert waiting + refused == rest, (waiting, refused)


@when("a daemon requests a slot for a late request, and another one for an urgent one")
def step_late_and_urgent(context):
    region = context.region
    region.fleet.board.set_waiting_requests(collections.Counter())
    context.late = ("d0", region.ask("d0", objective_s=-1.0, priority=0).number)
    context.urgent = ("d1", region.ask("d1", objective_s=0.25, priority=-1).number)


@when("{count:d} slots become free")
def step_free(context, count):
    context.region.release_slots(count)


@then("the urgent request has been granted one of them and the late one none")
def step_one_queue(context):
    granted = context.region.list_granted()
    assert context.urgent in granted
    assert context.late not in granted


@when("a daemon sends the same slot request {times:d} times")
def step_repeat(context, times):
    message = context.region.ask("d0")
    for _ in range(times - 1):
        context.region.send("d0", message)


@then("it has been granted the same slot {times:d} times and {count:d} request counts")
def step_same(context, times, count):
    granted = [
        message
        for _, message in context.region.sent_messages
        if isinstance(message, slot_messages.Granted)
    ]
    assert len(granted) == times and len(set(granted)) == 1, granted
    assert sum(context.region.list_loads()) == count


@when("all daemons report what they hold to a deputy")
def step_deputy(context):
    context.deputy = Region(len(context.region.daemons), len(context.region.names))
    for name in context.region.daemons:
        context.deputy.coordinator.apply_held_slots(
            name, "run", context.region.list_held_slots(name), context.deputy.now_s
        )


@then("the deputy counts the same requests on each target")
def step_same_loads(context):
    assert context.deputy.list_loads() == context.region.list_loads()


@then("the deputy grants at most {most:d} more slots")
def step_deputy_rest(context, most):
    for name in context.deputy.daemons:
        context.deputy._numbers[name] = 100
        context.deputy.ask(name)
    assert len(context.deputy.list_granted()) <= most
    assert max(context.deputy.list_loads()) <= 9


@when(
    "a daemon gets {count:d} slots and reports {after_s:g} s later that it holds none"
)
def step_no_longer(context, count, after_s):
    region = context.region
    for _ in range(count):
        region.ask("d0")
    region.now_s += after_s
    region.coordinator.apply_held_slots("d0", "run", [], region.now_s)


@when("a daemon gets {count:d} slots and {fate}")
def step_fate(context, count, fate):
    region = context.region
    for _ in range(count):
        region.ask("d0")
    if fate == "starts again":
        region.coordinator.apply_held_slots("d0", "second run", [], region.now_s)
        return
    region.now_s += 2.0
    region.coordinator.tick(region.now_s)


@then("{count:d} requests count on the target")
def step_count(context, count):
    assert context.region.list_loads() == [count]


@when(
    "{items:d} daemons run a batch item there and {online:d} get a slot for an online "
    "request"
)
def step_batch_burst(context, items, online):
    region = context.region
    for name in region.daemons[:items]:
        urgency = int(item_estimates.Urgency.NORMAL)
        region.ask(name, objective_s=15.0, is_batch=True, urgency=urgency)
    assert len(region.list_granted()) == items, region.sent_messages
    for name in region.daemons[items : items + online]:
        # The target accepts one request beyond its slots.
        region.fleet.board.add_granted("t0", False)
        del name


@then("after {after_s:g} s {count:d} items have been preempted")
def step_preempted(context, after_s, count):
    region = context.region
    region.coordinator.tick(region.now_s + after_s)
    assert region.count(slot_messages.Preempt) == count, region.sent_messages


@given("{count:d} online requests that fill it and {waiting:d} that waits")
def step_filled(context, count, waiting):
    region = context.region
    for _ in range(count):
        region.ask("d0", objective_s=5.0)
    context.waiting = ("d1", region.ask("d1", objective_s=5.0).number)
    assert len(region.list_granted()) == count


@when("a normal and an urgent batch item request slots")
def step_items(context):
    region = context.region
    numbers = {
        urgency: region.ask(
            name, objective_s=10.0, is_batch=True, urgency=int(urgency)
        ).number
        for name, urgency in (
            ("d2", item_estimates.Urgency.NORMAL),
            ("d3", item_estimates.Urgency.URGENT),
        )
    }
    context.normal = ("d2", numbers[item_estimates.Urgency.NORMAL])
    context.urgent = ("d3", numbers[item_estimates.Urgency.URGENT])


@then("the waiting request has been granted a slot before the items")
def step_online_first(context):
    context.order = list(context.region.list_granted())
    first = context.order.index(context.waiting)
    assert first < context.order.index(context.urgent), context.order


@then("the urgent item has been granted a slot before the normal one")
def step_urgent_first(context):
    order = context.order
    assert context.urgent in order
    if context.normal in order:
        assert order.index(context.urgent) < order.index(context.normal)


@when("an urgent batch item requests a slot and {count:d} slot becomes free")
def step_urgent_item(context, count):
    urgency = int(item_estimates.Urgency.URGENT)
    message = context.region.ask("d2", objective_s=5.0, is_batch=True, urgency=urgency)
    context.urgent = ("d2", message.number)
    context.region.release_slots(count)


@then("the waiting request has been granted it and the item has not")
def step_waiting_first(context):
    granted = context.region.list_granted()
    assert context.waiting in granted
    assert context.urgent not in granted


@when("{count:d} daemons that avoid the first target request slots")
def step_avoiding_daemons(context, count):
    for number in range(count):
        context.region.ask(f"d{number}", avoided=("t0",))


@when("{count:d} other daemons request slots")
def step_others(context, count):
    for number in range(count):
        context.region.ask(f"d{number + 6}")
    context.others = count


@then("the first target has {count:d} requests")
def step_first_target(context, count):
    loads = context.region.list_loads()
    if count:
        # The daemons that avoid it have their requests on the other, which evens out.
        assert loads[0] >= count, loads
    else:
        assert loads[0] == 0, loads


@given(
    "a daemon that has requested {requested:d} slots for batch items and got {got:d} "
    "of them"
)
def step_batch_client(context, requested, got):
    context.sent = []
    fleet = serving_fakes.Fleet(["t0"])
    members = peer_registry.PeerRegistry(
        peer_registry.Identity("d0", "near", "run", "10.0.0.0", 1)
    )
    for number in range(1, 20):
        host = f"10.0.0.{number}"
        members.add(peer_registry.Peer(f"d{number}", "near", host, 1, "run"))
    context.registry = slot_registry.SlotRegistry(fleet.board)
    context.client = slot_client.SlotClient(
        members._identity,
        "z1",
        members,
        fleet.directory,
        context.registry,
        lambda name, message: context.sent.append((name, message)),
    )
    for _ in range(requested):
        context.client.find_batch_slot("lm", item_estimates.Urgency.NORMAL, 10.0)
    context.sent_requests = list(context.sent)
    for name, message in context.sent_requests[:got]:
        context.client.handle(name, slot_messages.Granted(message.number, "t0"))
    assert len(context.registry.list_held()) == got


@when("it has no more items")
def step_no_items(context):
    context.client.refresh_batch_requests({})


@then("it holds no slot and has released all {count:d}")
def step_released(context, count):
    assert not context.registry.list_held()
    ended = {
        message.number
        for _, message in context.sent
        if isinstance(message, slot_messages.Release)
    }
    assert ended == {message.number for _, message in context.sent_requests}
    assert len(ended) == count


@when("it stops while {count:d} of its online requests wait for a coordinator's answer")
def step_stop_waiting(context, count):
    until_s = time.monotonic() + 5.0
    wanted = slot_queue.SlotRequest("lm", 0, objective_s=until_s, deadline_s=until_s)

    async def run():
        asking = [
            asyncio.ensure_future(context.client.ask(wanted)) for _ in range(count)
        ]
        await asyncio.sleep(0)
        context.sent_requests = list(context.sent)
        assert not any(item.done() for item in asking)
        context.client.refuse_waiting(0.05)
        return await asyncio.wait_for(asyncio.gather(*asking), 0.02)

    context.answers = asyncio.run(run())


@then("the {count:d} requests are refused at once")
def step_refused_at_once(context, count):
    assert context.answers == [slot_queue.Refused(0.05)] * count, context.answers


@given(
    "a coordinator of {daemons:d} daemons before {targets:d} targets of 8 slots, of v1 "
    "and v2 by turns"
)
def step_versions(context, daemons, targets):
    context.region = Region(daemons, targets)
    fleet = context.region.fleet
    for number, name in enumerate(context.region.names):
        fleet.add(name, version=100 + number, software=f"v{number % 2 + 1}")


@when("each daemon requests a slot at v2, and then one at v1")
def step_request_versions(context):
    region = context.region
    region.wanted = {}
    for version in ("v2", "v1"):
        for name in region.daemons:
            message = region.ask(name, 1.5, version=version)
            region.wanted[(name, message.number)] = version


@then("{count:d} slots are granted at each version, and the other requests wait")
def step_granted_versions(context, count):
    region = context.region
    granted = collections.Counter()
    for slot, target_id in region.list_granted().items():
        version = region.fleet.find(target_id).target.version
        assert version == region.wanted[slot], (slot, target_id)
        granted[version] += 1
    assert granted == {"v1": count, "v2": count}, granted
    assert region.count(slot_messages.Refused) == 0
    assert region.count(slot_messages.Queued) == len(region.wanted) - 2 * count


@then("a request for a slot at v3 is refused at once")
def step_refused_version(context):
    region = context.region
    before = region.count(slot_messages.Refused)
    region.ask(region.daemons[0], 1.5, version="v3")
    assert region.count(slot_messages.Refused) == before + 1
