import itertools
import time

from behave import given, then, when

from endivevane import testing
from endivevane.coordination import clock, fencing, lease
from features.support import cluster_members

_TERM_S = 9.0
_MARGIN_S = 1.0
_LONGEST_ORDER_S = 20.0
_operations = itertools.count()


def _renew(context, name):
    session = context.leases[name]
    session.record(lease.run_attempt(context.store, session.start_attempt()))


def _observe(context):
    now_s = context.clock.monotonic_s()
    row = context.store.rows(lease.TABLE).get("d1")
    context.observer.observe("d1", row, now_s, now_s)


def _acquire(context, name):
    row = context.store.rows(fencing.TABLE).get("g1")
    epoch = context.leases[name].epoch
    assert epoch is not None
    if not fencing.may_acquire(row, name, epoch, context.observer):
        return False
    operation_id = f"acquire-{next(_operations)}"
    outcome = fencing.acquire(context.store, "g1", row, name, epoch, operation_id)
    context.owned_groups[name].record_acquired("g1", epoch, outcome.unwrap())
    return True


def _build_group(context):
    context.clock = clock.ManualClock(wall_ms=1_000_000)
    context.store = testing.MemoryTableStore()
    context.observer = lease.SessionObserver(_MARGIN_S, context.clock)
    context.leases, context.owned_groups = {}, {}
    for name in ("d1", "d2"):
        session = lease.SessionLease(name, {}, _TERM_S, context.clock)
        context.leases[name] = session
        context.owned_groups[name] = fencing.OwnedGroups(
            session, _TERM_S, _LONGEST_ORDER_S, context.clock
        )
        _renew(context, name)
    assert _acquire(context, "d1")
    context.old = context.owned_groups["d1"].find("g1")


@then(
    '"{action}" is {with_lease} with a lease and an unavailable store, '
    "{without} without both, and {expired} with a store but no lease"
)
def step_check_action(context, action, with_lease, without, expired):
    checked_action = lease.Action[action]
    cases = (
        (True, False, with_lease),
        (False, False, without),
        (False, True, expired),
        (True, True, "allowed"),
    )
    for has_lease, has_store, expected in cases:
        found = lease.is_allowed(checked_action, has_lease, has_store)
        assert found == (expected == "allowed"), (has_lease, has_store)


@given("an engine group owned by a daemon whose session has expired")
def step_expired_owner(context):
    _build_group(context)
    _observe(context)
    context.clock.advance(_TERM_S + _MARGIN_S + 0.1)
    _observe(context)
    _renew(context, "d2")


@given("an engine group owned by a daemon whose session is valid")
def step_valid_owner(context):
    _build_group(context)
    assert context.owned_groups["d1"].may_send_order("g1", is_fencing_checked=True)


@when("another daemon acquires the group")
def step_take_over(context):
    assert _acquire(context, "d2")


@then("it may order engines that check fencing at once")
def step_check_at_once(context):
    assert context.owned_groups["d2"].may_send_order("g1", is_fencing_checked=True)


@then(
    "it may order engines that ignore fencing only after the old term "
    "and the longest order"
)
def step_check_grace(context):
    owned_groups = context.owned_groups["d2"]
    started_s = context.clock.monotonic_s()
    while not owned_groups.may_send_order("g1", is_fencing_checked=False):
        context.clock.advance(0.5)
        _renew(context, "d2")
        assert context.clock.monotonic_s() - started_s < 100
    waited_s = context.clock.monotonic_s() - started_s
    assert waited_s >= _TERM_S + _LONGEST_ORDER_S, waited_s


@then("the fencing token is higher than the old one")
def step_check_token(context):
    token = context.owned_groups["d2"].find("g1").fencing_token
    assert token > context.old.fencing_token, (token, context.old)


@when("the owner is paused past its term")
def step_pause_owner(context):
    context.clock.advance(_TERM_S + 0.01)


@then("it may not order any engine")
def step_check_no_order(context):
    for is_checked in (True, False):
        assert not context.owned_groups["d1"].may_send_order("g1", is_checked)


@then("it may not after it has a new epoch")
def step_check_new_epoch(context):
    before = context.old.epoch
    _renew(context, "d1")
    assert context.leases["d1"].epoch > before
    step_check_no_order(context)


@when("the owner renews its session for a minute while another daemon observes it")
def step_renew_long(context):
    for _ in range(60):
        context.clock.advance(1.0)
        _renew(context, "d1")
        _renew(context, "d2")
        _observe(context)


@then("the other daemon may not acquire the group")
def step_check_not_taken(context):
    assert not _acquire(context, "d2")
    assert context.owned_groups["d1"].find("g1") == context.old


@given(
    "a stand-in platform and {count:d} member processes "
    "with sessions of {term:g} seconds"
)
def step_start_processes(context, count, term):
    context.group = cluster_members.ProcessGroup(count, term)
    context.cleanups.append(context.group.close)
    context.group.start()


@when(
    "the first member is stopped for {duration:g} seconds "
    "while a configuration is published"
)
def step_stop_member(context, duration):
    first = context.group.members[0]
    context.group.publish(1)
    context.group.wait_for_revision(1, 10.0)
    context.before = context.group.read_lines(first)
    first.pause()
    context.group.publish(2)
    time.sleep(duration)
    context.woken_at_s = time.monotonic()
    first.resume()


@then("the first member acts again under a higher epoch within {limit:g} seconds")
def step_check_acts(context, limit):
    old = max(line["epoch"] for line in context.before if line["epoch"])
    deadline_s = time.monotonic() + limit
    while time.monotonic() < deadline_s:
        lines = context.group.read_lines(context.group.members[0])
        if any((line["epoch"] or 0) > old for line in lines):
            return
        time.sleep(0.1)
    raise AssertionError(f"no epoch above {old}: {lines[-3:]}")


@then("no action of the first member after it resumed carries its old epoch")
def step_check_no_old_epoch(context):
    time.sleep(2.0)
    first = context.group.members[0]
    old = {line["epoch"] for line in context.before if line["epoch"]}
    lines = context.group.read_lines(first)
    after = [line for line in lines if line["at_s"] > context.woken_at_s]
    assert old and after, "the member did not act before the stop or after it"
    wrong = [line for line in after if line["epoch"] in old]
    assert not wrong, wrong[:3]


@then("the first member never went back to an older configuration and has the new one")
def step_check_revisions(context):
    context.group.wait_for_revision(2, 10.0)
    lines = context.group.read_lines(context.group.members[0])
    revisions = [line["revision"] for line in lines]
    assert revisions == sorted(revisions), revisions
    assert revisions[-1] == 2, revisions[-1]
