import re
import time

from behave import given, then, when

from endivevane.cluster import transport
from endivevane.coordination import gossip_messages
from endivevane.daemon import settings as daemon_settings
from features.support import cluster_members, key_rotation
from tools import fleet_plan, ports


def _open(context, name, address, pair, peers):
    keys = {"public": pair[0], "secret": pair[1], "peers": peers}
    document = cluster_members.make_settings(
        name, cluster_members.ZONES[0], address, address, [], keys
    )
    settings = daemon_settings.Settings.model_validate(document)
    opened = transport.Transport(settings, 8)
    context.cleanups.append(opened.close)
    return opened, settings


def _exchange(sender, receiver, name, limit_s):
    """Send until a message arrives; return whether one did."""
    message = gossip_messages.Ping(
        gossip_messages.Header(sender[1].daemon.name, 1, 0, 0), 1
    )
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        sender[0].send(name, message)
        for side in (sender, receiver):
            side[0].wait(0.02)
        if list(receiver[0].receive()):
            return True
        list(sender[0].receive())
    return False


@given(
    "a member that allows a peer's key and has connections with it in both directions"
)
def step_connect(context):
    reserved = ports.Ports()
    context.cleanups.append(reserved.release)
    pairs = [fleet_plan.make_pair() for _ in range(2)]
    addresses = [reserved.reserve_address() for _ in range(2)]
    peers = {"member": pairs[0][0], "peer": pairs[1][0]}
    context.member = _open(context, "member", addresses[0], pairs[0], peers)
    context.peer = _open(context, "peer", addresses[1], pairs[1], peers)
    context.member[0].connect("peer", addresses[1], pairs[1][0])
    context.peer[0].connect("member", addresses[0], pairs[0][0])
    assert _exchange(context.member, context.peer, "peer", 10)
    assert _exchange(context.peer, context.member, "member", 10)


@when("the member removes the peer's key")
def step_remove_key(context):
    keys = context.member[1].keys
    peers = {"member": keys.peers["member"]}
    context.member[0].replace_keys(keys.model_copy(update={"peers": peers}))


@then(
    "both connections are closed within {limit:d} seconds and the peer receives nothing"
)
def step_check_closed(context, limit):
    counts = context.member[0].counts
    assert not _exchange(context.peer, context.member, "member", limit)
    assert not _exchange(context.member, context.peer, "peer", 1)
    assert counts.closed == {"in": 1, "out": 1}, counts.closed
    # A new handshake of the peer proves that its connection was closed.
    assert counts.dropped["handshake"] > 0, counts.dropped


@given("{count:d} running daemons with keys of their own")
def step_start(context, count):
    context.rotation = key_rotation.Rotation(count)
    context.cleanups.append(context.rotation.close)
    context.rotation.start()


@when("each daemon gets an invalid settings file and SIGHUP")
def step_invalid_file(context):
    context.rotation.apply_invalid_files()


@then("each has rejected the file and none is declared dead")
def step_check_refused(context):
    rotation = context.rotation
    for daemon in rotation.daemons:
        log = daemon.process.read_log()
        line = rf"event=settings_reload_refused.*file={daemon.settings_path}.*keys"
        assert re.search(line, log), log[-2000:]
    assert not rotation.faults, rotation.faults
    rotation.expect_answers()


@when("each daemon in turn gets a new key as the operations page describes")
def step_rotate(context):
    for index in range(len(context.rotation.daemons)):
        context.rotation.rotate(index)


@then(
    "each was seen alive within {limit:d} seconds of its restart, "
    "and at all other times"
)
def step_check_alive(context, limit):
    rotation = context.rotation
    print(f"seen alive after: {rotation.seen_alive_s}")
    assert len(rotation.seen_alive_s) == len(rotation.daemons), rotation.seen_alive_s
    assert all(value <= limit for value in rotation.seen_alive_s), rotation.seen_alive_s
    assert not rotation.faults, rotation.faults


@then("every daemon has received answers after each step")
def step_check_answers(context):
    assert context.rotation.unresponsive == [], context.rotation.unresponsive
