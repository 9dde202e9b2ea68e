import asyncio
import time

from behave import given, then, when

from endivevane.serving import peer_messages, peer_registry, slot_registry
from features.support import region_daemons


@given("a region of {daemons:d} daemons and {targets:d} targets")
def step_region(context, daemons, targets):
    context.make = lambda: region_daemons.Region(daemons, targets)


def _run(context, act):
    async def run():
        context.region = context.make()
        # By then the coordinator has sent its first membership notices.
        await context.region.start(settle_s=2.5)
        try:
            await act(context.region)
        finally:
            context.region.stop()

    asyncio.run(run())


@when("they run for {seconds:d} s")
def step_run(context, seconds):
    async def act(region):
        region.wire.datagrams.clear()
        region.wire.bytes.clear()
        await asyncio.sleep(seconds)
        context.seconds = seconds
        context.coordinators = {item.find_coordinator() for item in region.daemons}
        context.alive = [len(item.roster.list_alive()) for item in region.daemons]
        context.ranked = region.list_ranked()

    _run(context, act)


@then("all of them have the same coordinator")
def step_same(context):
    assert len(context.coordinators) == 1, context.coordinators


@then("all of them know that the others are alive")
def step_alive(context):
    count = len(context.region.daemons)
    assert context.alive == [count - 1] * count, context.alive


@then(
    "every other daemon but the deputy has had at most {datagrams:d} datagrams and "
    "{size:d} bytes a second"
)
def step_cost(context, datagrams, size):
    wire = context.region.wire
    for daemon in context.region.daemons:
        if daemon.identity.name in context.ranked:
            continue
        assert wire.datagrams[daemon.host] / context.seconds <= datagrams
        assert wire.bytes[daemon.host] / context.seconds <= size


_FATES = {
    "is killed": lambda daemon: daemon.kill(),
    "stands still": lambda daemon: daemon.pause(),
    "hears nothing": lambda daemon: daemon.wire.blocked_receivers.add(daemon.host),
    "can say nothing": lambda daemon: daemon.wire.blocked_senders.add(daemon.host),
}


@when("the coordinator {fate} and each other daemon requests a slot")
def step_lost(context, fate):
    async def act(region):
        first, second = region.list_ranked()
        context.deputy = second
        _FATES[fate](region.find(first))
        others = [
            item for item in region.daemons if item.identity.name not in (first, second)
        ]
        context.answers = await asyncio.gather(*(item.ask() for item in others))

    _run(context, act)


@when(
    "each other daemon requests a slot and their process stands still for "
    "{duration_ms:d} ms"
)
def step_stall(context, duration_ms):
    async def act(region):
        context.ranked = region.list_ranked()
        others = [
            item
            for item in region.daemons
            if item.identity.name not in context.ranked[:2]
        ]
        asking = [asyncio.ensure_future(item.ask()) for item in others]
        sent = sum(region.wire.datagrams.values()) + len(others)
        while sum(region.wire.datagrams.values()) < sent:
            await asyncio.sleep(0)
        # All daemons of the region run in this process.
        time.sleep(duration_ms / 1000)
        context.answers = await asyncio.gather(*asking)

    _run(context, act)


@then("{count:d} slots are granted, all by the coordinator")
def step_granted_by_coordinator(context, count):
    granting = [
        answer.coordinator
        for answer, _ in context.answers
        if isinstance(answer, slot_registry.Slot)
    ]
    assert granting == [context.ranked[0]] * count, granting


@then("{count:d} slots are granted within {limit_ms:d} ms each")
def step_granted(context, count, limit_ms):
    granted_s = [
        took_s
        for answer, took_s in context.answers
        if isinstance(answer, slot_registry.Slot)
    ]
    assert len(granted_s) == count, context.answers
    assert max(granted_s) <= limit_ms / 1000, max(granted_s)


@then("{count:d} slots are granted within {limit_ms:d} ms each, all by the deputy")
def step_granted_by_deputy(context, count, limit_ms):
    step_granted(context, count, limit_ms)
    granting = {answer.coordinator for answer, _ in context.answers}
    assert granting == {context.deputy}, granting


@then("no target has more than {most:d} of them")
def step_most(context, most):
    held = [answer.target.target_id for answer, _ in context.answers]
    assert max(held.count(name) for name in set(held)) <= most, held


@when("all daemons but one are killed and it requests a slot")
def step_alone(context):
    async def act(region):
        first, second = region.list_ranked()
        alone = next(
            item for item in region.daemons if item.identity.name not in (first, second)
        )
        for item in region.daemons:
            if item is not alone:
                item.kill()
        context.answers = [await alone.ask()]

    _run(context, act)


@then("it gets a slot within {limit_ms:d} ms")
def step_alone_granted(context, limit_ms):
    step_granted(context, 1, limit_ms)


@when("{count:d} daemons, the coordinator and its deputy among them, are killed")
def step_many_killed(context, count):
    async def act(region):
        killed = [region.find(name) for name in region.list_ranked()]
        killed += [item for item in region.daemons if item not in killed]
        killed = killed[:count]
        alive_daemons = [item for item in region.daemons if item not in killed]
        names = {item.identity.name for item in alive_daemons}
        for item in killed:
            item.kill()
        context.mistaken = 0
        context.is_known = False
        limit_s = time.monotonic() + 5.0
        while time.monotonic() < limit_s and not context.is_known:
            await asyncio.sleep(0.1)
            context.is_known = True
            for item in alive_daemons:
                alive = {peer.name for peer in item.roster.list_alive()}
                others = names - {item.identity.name}
                context.mistaken += len(others - alive)
                if alive != others:
                    context.is_known = False
        context.coordinators = {item.find_coordinator() for item in alive_daemons}
        context.views = [len(item.roster.list_alive()) for item in alive_daemons]

    _run(context, act)


@then("within {limit_s:d} s all others know who is alive and have the same coordinator")
def step_alive_known(context, limit_s):
    assert context.is_known, context.views
    assert len(context.coordinators) == 1, context.coordinators


@then("none of them has considered a live daemon dead")
def step_none_mistaken(context):
    assert not context.mistaken, context.mistaken


@when("the coordinator is paused for {pause_s:g} s during a burst and then continues")
def step_both_act(context, pause_s):
    async def act(region):
        first = region.find(region.list_ranked()[0])
        others = [item for item in region.daemons if item is not first]

        async def serve(daemon):
            answer, _ = await daemon.ask(objective_s=3.0)
            if isinstance(answer, slot_registry.Slot):
                held = daemon.registry.list_held()
                context.held.append(len(held))
                await asyncio.sleep(0.3)
                daemon.admission.release(answer, 0.3)

        context.held = []
        burst = [asyncio.ensure_future(serve(item)) for item in others]
        await asyncio.sleep(0.05)
        first.pause()
        burst += [asyncio.ensure_future(serve(item)) for item in others]
        await asyncio.sleep(pause_s)
        first.resume()
        burst += [asyncio.ensure_future(serve(item)) for item in others]
        await asyncio.wait(burst, timeout=4.0)
        context.unserved = [task for task in burst if not task.done()]
        await asyncio.sleep(2.0)
        context.counted = {
            item.identity.name: sum(
                item.board.total(name).total for name in item.fleet.targets
            )
            for item in region.daemons
        }

    _run(context, act)


@then("each request has had one slot")
def step_one_slot(context):
    assert not context.unserved
    # A daemon has at most the requests of two bursts at a time.
    assert max(context.held) <= 2, context.held


@then("{after_s:d} s after the burst all coordinators count no request")
def step_counted_none(context, after_s):
    assert not any(context.counted.values()), context.counted


@when("the coordinator announces that it stops")
def step_stops(context):
    async def act(region):
        first = region.find(region.list_ranked()[0])
        first.network.announce_stop()
        await asyncio.sleep(1.0)
        others = [item for item in region.daemons if item is not first]
        context.former = first.identity.name
        context.coordinators = {item.find_coordinator() for item in others}

    _run(context, act)


@then("within {limit_s:d} s all others have another one")
def step_another(context, limit_s):
    assert len(context.coordinators) == 1, context.coordinators
    assert context.former not in context.coordinators


def _make_run(incarnation, seen_s=0.0):
    return peer_registry.Peer(
        "d1", "near", "10.0.0.1", 1, incarnation, last_seen_s=seen_s
    )


@given("a daemon that restarts")
def step_restarts(context):
    identity = peer_registry.Identity("d0", "near", "run", "10.0.0.0", 1)
    context.roster = peer_registry.PeerRegistry(identity)
    context.roster.add(_make_run("first"))
    context.roster.record_heartbeat(_make_run("first", time.monotonic()))


@when("its row arrives {when} its first report")
def step_row(context, when):
    if when == "before":
        context.roster.add(_make_run("second"))
    context.roster.record_heartbeat(_make_run("second", time.monotonic()))
    if when == "after":
        context.roster.add(_make_run("second"))


@then("the notices list it as an unregistered peer: {named}")
def step_unregistered(context, named):
    now_s = time.monotonic()
    state = context.roster.describe_region("near", now_s, now_s)
    assert [item.name for item in state.unregistered] == (
        ["d1"] if named == "yes" else []
    )


@when("notices list nobody as unresponsive before and after its new row")
def step_new_run(context):
    # A daemon that does not coordinate learns of the other by rows and notices only.
    identity = peer_registry.Identity("d0", "near", "run", "10.0.0.0", 1)
    context.roster = peer_registry.PeerRegistry(identity)
    state = peer_messages.RegionState("near")
    for incarnation in ("first", "second"):
        context.roster.add(_make_run(incarnation))
        context.roster.apply_region_state(state, time.monotonic())


@then("its new run is alive and its former run is not")
def step_known_run(context):
    assert context.roster.is_alive("d1", "second")
    assert not context.roster.is_alive("d1", "first")


@given("a coordinator that knows a daemon by its reports")
def step_coordinator(context):
    context.coordinator = peer_registry.PeerRegistry(
        peer_registry.Identity("d2", "near", "run", "10.0.0.2", 1)
    )
    context.coordinator.add(_make_run("first"))
    context.coordinator.record_heartbeat(_make_run("first", time.monotonic()))
    context.roster = peer_registry.PeerRegistry(
        peer_registry.Identity("d0", "near", "run", "10.0.0.0", 1)
    )
    context.roster.add(_make_run("first"))


@when("the daemon restarts, and its row reaches all others before its first report")
def step_row_first(context):
    context.coordinator.add(_make_run("second"))
    context.roster.add(_make_run("second"))


def _send_notice(context):
    now_s = time.monotonic()
    # All daemons have had time to report to this coordinator.
    state = context.coordinator.describe_region("near", now_s - 10.0, now_s)
    context.roster.apply_region_state(state, now_s)


@when("the coordinator sends a notice before that report, and one after it")
def step_notices(context):
    _send_notice(context)
    context.coordinator.record_heartbeat(_make_run("second", time.monotonic()))
    _send_notice(context)


@when("a notice of an earlier build names the former run as unregistered")
def step_old_notice(context):
    former = peer_messages.UnregisteredPeer("d1", "10.0.0.1", "first")
    state = peer_messages.RegionState("near", unregistered=(former,))
    context.roster.apply_region_state(state, time.monotonic())


@when("{message} of its former run arrives late")
def step_late_message(context, message):
    if message == "a row":
        context.roster.add(_make_run("first"))
    else:
        context.roster.record_heartbeat(_make_run("first", time.monotonic()))
