import time

from behave import given, then, when

from endivevane.cluster import transport
from endivevane.coordination import gossip_messages
from endivevane.daemon import settings as daemon_settings
from features.support import cluster_members
from tools import ports

_LIMIT_S = 10.0


def _open(context, name, address):
    document = cluster_members.make_settings(
        name, cluster_members.ZONES[0], address, address, []
    )
    settings = daemon_settings.Settings.model_validate(document)
    opened = transport.Transport(settings, 8)
    context.cleanups.append(opened.close)
    return opened


def _make_ping(sender, sequence=1):
    return gossip_messages.Ping(gossip_messages.Header(sender, 1, 0, 0), sequence)


def _receive(receiver, limit_s):
    """Return the next message, or ``None`` after the limit."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        receiver.wait(0.02)
        for message in receiver.receive():
            return message
    return None


def _send_until_received(sender, receiver, name, message):
    end_s = time.monotonic() + _LIMIT_S
    while time.monotonic() < end_s:
        sender.send(name, message)
        if _receive(receiver, 0.3) is not None:
            return
    raise AssertionError(f"nothing reached {name}")


@given("a member that a peer has connections with in both directions")
def step_connect(context):
    context.ports = ports.Ports()
    context.cleanups.append(context.ports.release)
    context.address = context.ports.reserve_address()
    peer_address = context.ports.reserve_address()
    context.peer = _open(context, "peer", peer_address)
    context.member = _open(context, "member", context.address)
    context.member.connect("peer", peer_address, "")
    context.peer.connect("member", context.address, "")
    _send_until_received(context.member, context.peer, "peer", _make_ping("member"))
    _send_until_received(context.peer, context.member, "member", _make_ping("peer"))


@when("the member restarts and asks on the connection that the peer opened")
def step_restart(context):
    context.member.close()
    context.cleanups.remove(context.member.close)
    context.member = _open(context, "member", context.address)
    _send_until_received(context.peer, context.member, "member", _make_ping("peer"))
    assert context.member.send("peer", _make_ping("member", 2))
    question = _receive(context.peer, _LIMIT_S)
    assert question is not None and question.sequence == 2, question


@then("the peer's answer reaches it within {limit:d} seconds")
def step_check_answer(context, limit):
    header = gossip_messages.Header("peer", 1, 0, 0)
    assert context.peer.send(
        "member", gossip_messages.Ack(header, 2), prefer_route=True
    )
    end_s = time.monotonic() + limit
    while time.monotonic() < end_s:
        message = _receive(context.member, 0.1)
        if isinstance(message, gossip_messages.Ack):
            return
    raise AssertionError("the answer did not arrive")
