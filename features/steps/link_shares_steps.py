import time

from behave import given, then, when

from endivevane import testing
from features.support import cluster_members


@given("{count:d} connected daemons that share {rate:d} bytes a second")
def step_group(context, count, rate):
    context.group = cluster_members.LocalGroup(count, testing.MemoryTableStore())
    context.cleanups.append(context.group.close)
    context.group.link_rate = float(rate)
    context.group.publish(1)
    context.group.start()
    assert context.group.wait_joined() is not None
    context.max_total = 0.0


@when("daemon {number:d} needs the link")
def step_need(context, number):
    context.group.link_needs[number] = context.group.link_rate


@then(
    'the daemons "{numbers}" have at least {percent:d}% of the rate each within '
    "{bound:d} seconds"
)
def step_shares(context, numbers, percent, bound):
    """The limit allows 4 s beyond the settle time of 3 s and the ramp of 4 s."""
    rate = context.group.link_rate
    deadline_s = time.monotonic() + bound
    wanted = [int(number) for number in numbers.split()]
    while True:
        found = [item.compute_share(rate) for item in context.group.link_shares]
        context.max_total = max(context.max_total, sum(found))
        if all(found[number] >= percent / 100 * rate for number in wanted):
            return
        assert time.monotonic() < deadline_s, found
        time.sleep(0.05)


@then("all together never had more than the rate")
def step_sum(context):
    print(f"at most {context.max_total / context.group.link_rate:.3f} of the rate")
    assert context.max_total <= context.group.link_rate * 1.0001, context.max_total
