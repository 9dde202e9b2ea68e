import threading
import time

from behave import then, when

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import http_pool, link, objects, vms

# The link without the control reserve of the default configuration.
_LINK = snapshot.Link(15e6 / 8, 0.9, 400_000.0)
_CONTROL_INTERVAL_S = 0.1


def _move_objects(context, number, size, deadline_s):
    """Write objects if the number is odd, read them if it is even."""
    share = link.LinkShare(
        clock.SystemClock(), lambda: _LINK.data_bytes_s / context.daemons
    )
    client = objects.ObjectClient(
        link.LinkPool(context.link_address, http_pool.PoolSettings(), "batch", share)
    )
    data = bytes(size)
    while time.monotonic() < deadline_s:
        if number % 2:
            client.put(f"object-{number}", data).unwrap()
        else:
            assert len(client.get("seed").unwrap()) == size


def _call_control(context, deadline_s):
    limits = http_pool.PoolSettings()
    client = vms.VmListClient(link.LinkPool(context.link_address, limits, "control"))
    while time.monotonic() < deadline_s:
        started_s = time.monotonic()
        client.fetch().unwrap()
        context.control_s.append(time.monotonic() - started_s)
        time.sleep(_CONTROL_INTERVAL_S)


@when(
    "{count:d} daemons move objects of {size:d} MB within their shares for "
    "{duration:d} seconds"
)
def step_move(context, count, size, duration):
    context.daemons = count
    context.control_s = []
    context.link_address = types.parse_address(context.link.address)
    store_address = types.parse_address(context.fleet.store.address)
    direct = http_pool.HttpPool(store_address, http_pool.PoolSettings())
    objects.ObjectClient(direct).put("seed", bytes(size * 1_000_000)).unwrap()
    started_s = time.monotonic()
    deadline_s = started_s + duration
    threads = [
        threading.Thread(
            target=_move_objects,
            args=(context, number, size * 1_000_000, deadline_s),
            daemon=True,
        )
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    _call_control(context, deadline_s)
    record = context.link.record()
    passed = record["outward_bytes"] + record["inward_bytes"]
    context.passed_bytes_s = passed / (time.monotonic() - started_s)
    for thread in threads:
        thread.join(30.0)


@then("data has used at least 80% of what the reserve leaves of the link")
def step_used(context):
    used = context.passed_bytes_s / _LINK.data_bytes_s
    print(f"passed {context.passed_bytes_s:.0f} bytes/s, {used:.2f} of the data rate")
    assert 0.8 <= used <= 1.1, used


@then("every control call was answered within the {bound:g} s of a probe")
def step_control(context, bound):
    worst_s = max(context.control_s)
    print(f"{len(context.control_s)} control calls, the slowest took {worst_s:.3f} s")
    assert len(context.control_s) >= 10 and worst_s <= bound, worst_s
