import http.client
import time

from behave import given, then, when

from features.support import engine_caller
from tools import fleet


def _start(context, *arguments):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=0))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.link = context.fleet.start_link(
        "link", context.fleet.store.address, arguments
    )


def _connect(context):
    host, _, port = context.link.address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=5)


@given("a stand-in platform behind a link")
def step_start(context):
    _start(context)


@given(
    "a stand-in platform behind a link of {latency:d} milliseconds and {rate:d} Mbit/s"
)
def step_start_slow(context, latency, rate):
    _start(context, "--latency-ms", str(latency), "--mbit-s", str(rate))


@given("a client with an open connection through the link")
def step_open(context):
    context.connection = _connect(context)
    context.connection.request("GET", "/v1/vms")
    assert context.connection.getresponse().read()


@when("the link goes silent")
def step_silence(context):
    context.link.set_faults(silent=True)


@when("the link passes bytes again")
def step_unsilence(context):
    context.link.set_faults(silent=False)


@when("the connections that are open now go silent")
def step_mute(context):
    context.link.set_faults(silent_after=0)


@when("the link goes down")
def step_cut(context):
    context.link.set_faults(down=True)


@then("the open connection gets no answer within {wait:g} seconds")
def step_check_silent(context, wait):
    context.connection.sock.settimeout(wait)
    context.connection.request("GET", "/v1/vms")
    try:
        data = context.connection.sock.recv(1)
    except TimeoutError:
        return
    raise AssertionError(f"received {data!r}")


@then("the open connection gets its answer")
def step_check_answer(context):
    context.connection.sock.settimeout(5)
    assert context.connection.sock.recv(64).startswith(b"HTTP/1.1 200")


@then("the link's record counts the bytes of both directions")
def step_check_bytes(context):
    record = context.link.record()
    assert record["outward_bytes"] > 0, record
    assert record["inward_bytes"] > 0, record
    assert record["connections"] == 1, record


@then("a new connection through the link is answered")
def step_check_new(context):
    assert engine_caller.get(context.link.address, "/v1/vms")[0] == 200


@then("a new connection through the link is refused")
def step_check_refused(context):
    try:
        engine_caller.get(context.link.address, "/v1/vms")
    except ConnectionRefusedError:
        return
    raise AssertionError("the connection was accepted")


@then("a call through the link takes at least {least:d} milliseconds")
def step_check_latency(context, least):
    step_open(context)
    started_s = time.monotonic()
    context.connection.request("GET", "/v1/vms")
    context.connection.getresponse().read()
    elapsed_ms = (time.monotonic() - started_s) * 1000
    assert elapsed_ms >= least, elapsed_ms


@then("an object of {size:d} bytes takes at least {least:d} milliseconds")
def step_check_rate(context, size, least):
    started_s = time.monotonic()
    context.connection.request("PUT", "/v1/objects/large", bytes(size))
    assert context.connection.getresponse().status == 201
    elapsed_ms = (time.monotonic() - started_s) * 1000
    assert elapsed_ms >= least, elapsed_ms
