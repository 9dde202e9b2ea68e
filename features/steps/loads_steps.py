import collections
import time

from behave import given, then, when
from prometheus_client import REGISTRY

from endivevane import metrics, types
from endivevane.coordination import clock
from endivevane.external import engine, http_pool
from endivevane.online import loads, messages, routing
from features.support import scheduling
from tools import fleet


def _read_link_bytes():
    metrics.LINK_BYTES.labels("control")
    labels = {"purpose": "control"}
    return REGISTRY.get_sample_value("endivevane_link_bytes_total", labels)


@given("three engines whose loads are polled")
def step_polled(context):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=3))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    targets = [
        {"name": item.name, "address": item.address, "zone": item.zone}
        for item in context.fleet.engines
    ]
    current = scheduling.make_snapshot(targets)
    context.posts = []
    context.link_bytes = _read_link_bytes()
    context.task = loads.LoadsTask(
        routing.Place("daemon-1", "zone-a", "west"),
        loads.LoadsSettings(),
        clock.SystemClock(),
        lambda: current,
        context.posts.append,
    )
    context.cleanups.append(context.task.stop)
    context.task.start()
    _wait_for_all(context)


def _count(context):
    return collections.Counter(
        item.target_name
        for item in list(context.posts)
        if isinstance(item, messages.LoadReported)
    )


def _wait_for_all(context):
    deadline_s = time.monotonic() + 10
    while len(_count(context)) < 3:
        assert time.monotonic() < deadline_s, _count(context)
        time.sleep(0.02)


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    time.sleep(seconds)


@when("the first engine stops answering and {seconds:d} seconds pass")
def step_silent(context, seconds):
    context.fleet.engines[0].set_faults(silent=True)
    context.before = _count(context)
    time.sleep(seconds)


@when("the first engine is draining and {seconds:d} seconds pass")
def step_drain(context, seconds):
    context.task.set_leaving({context.fleet.engines[0].name})
    context.before = _count(context)
    time.sleep(seconds)


@then("each engine has reported between {low:d} and {high:d} times")
def step_check_rate(context, low, high):
    """The interval is 1 s; the lower bound allows for a busy machine."""
    counts = _count(context)
    assert all(low <= count <= high for count in counts.values()), counts


@then("only the engine of the other region has used the link")
def step_check_link(context):
    """A report takes about 500 bytes; three engines would use thrice as many."""
    reports = _count(context)[context.fleet.engines[2].name]
    used = _read_link_bytes() - context.link_bytes
    calls = reports + reports // 2 + 1
    assert 300 * reports <= used <= 1000 * calls, (used, reports)


@then("the other engines have reported at least {count:d} times since")
def step_check_others(context, count):
    after = _count(context)
    for item in context.fleet.engines[1:]:
        assert after[item.name] - context.before[item.name] >= count, after


@then("the first engine has reported at most {count:d} more time")
def step_check_draining(context, count):
    name = context.fleet.engines[0].name
    assert _count(context)[name] - context.before[name] <= count


@given("an engine behind a link that is polled only for batch")
def step_further(context):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=1))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.link = context.fleet.start_link("link", context.fleet.engines[0].address)
    target = {"name": "far", "address": context.link.address, "zone": "zone-a"}
    known = scheduling.make_snapshot([target])
    pool = http_pool.HttpPool(
        types.parse_address(context.link.address), http_pool.PoolSettings()
    )
    assert engine.EngineClient(pool).fetch_load().is_ok()
    context.report_bytes = _count_passed(context)
    empty = scheduling.make_snapshot([])
    context.posts = []
    context.task = loads.LoadsTask(
        routing.Place("daemon-1", "zone-a", "west"),
        loads.LoadsSettings(),
        clock.SystemClock(),
        lambda: empty,
        context.posts.append,
        get_further_targets=lambda: known.services["answers"].targets,
    )
    context.cleanups.append(context.task.stop)
    context.task.start()


@then("the engine has reported at least {count:d} times")
def step_check_reports(context, count):
    assert _count(context)["far"] >= count, _count(context)


@then("no bytes were transferred beyond those of the reports")
def step_check_size(context):
    """The length of a report varies by a few bytes with its numbers."""
    context.task.stop()
    reports = _count(context)["far"]
    passed = _count_passed(context) - context.report_bytes
    print(f"{reports} reports, {passed} bytes, {passed / reports:.0f} each")
    assert passed <= 1.1 * context.report_bytes * reports, (passed, reports)


def _count_passed(context):
    record = context.link.record()
    return record["outward_bytes"] + record["inward_bytes"]
