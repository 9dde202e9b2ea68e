import time

from behave import given, then, when

from features.support import engine_caller
from tools import fleet


@given("a fleet of {count:d} daemons with a link to the store each")
def step_start(context, count):
    plan = fleet.FleetPlan(daemons=count, engines=1, services=1, has_store_links=True)
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()
    context.headers = {"Authorization": f"Bearer {context.fleet.caller_key()}"}


@when("the link of the daemon 0 goes silent")
def step_silence(context):
    context.fleet.store_links[0].set_faults(silent=True)


@when("the link of the daemon 0 goes silent for {wait:g} seconds")
def step_silence_for_a_time(context, wait):
    step_silence(context)
    time.sleep(wait)
    context.fleet.store_links[0].set_faults(silent=False)


@then(
    "{count:d} online requests at the daemon 0 are each complete "
    "within {limit:d} seconds"
)
def step_check_online(context, count, limit):
    # The daemon's timeout for a store call is 5 s; an answer takes about 0.1 s.
    address = context.fleet.daemons[0].address
    for number in range(count):
        body = engine_caller.make_body(f"question {number}", 8)
        started_s = time.monotonic()
        status, _, answer = engine_caller.post(
            address, "/v1/chat/completions", body, context.headers
        )
        elapsed_s = time.monotonic() - started_s
        assert status == 200, answer
        text = answer["choices"][0]["message"]["content"]
        assert text == engine_caller.expected_text(f"question {number}", 8), text
        assert elapsed_s < limit, elapsed_s


@when('a caller posts an order with the key "{key}" to the daemon 0')
def step_post_order(context, key):
    headers = {**context.headers, "Idempotency-Key": key}
    started_s = time.monotonic()
    context.answer = engine_caller.post(
        context.fleet.daemons[0].address,
        "/services/desk/orders/1",
        {"glass": 1},
        headers,
        timeout_s=60,
    )
    context.elapsed_s = time.monotonic() - started_s


@then('the call is refused as "{state}" with Retry-After')
def step_check_refused(context, state):
    status, headers, body = context.answer
    assert status == 503, (status, body)
    assert headers["X-Run-State"] == state, headers.items()
    assert float(headers["Retry-After"]) > 0, headers.items()


@then("the answer took at most {limit:d} seconds")
def step_check_time(context, limit):
    # The route's timeout is the default of 5 s; 2 s more allow for a busy machine.
    assert context.elapsed_s <= limit, context.elapsed_s


@then('no service has run the order "{key}"')
def step_check_none(context, key):
    assert _count_runs(context, key) == 0


@then("the call is answered with status {status:d}")
def step_check_status(context, status):
    assert context.answer[0] == status, context.answer


@then('the services have run the order "{key}" once')
def step_check_once(context, key):
    assert _count_runs(context, key) == 1


def _count_runs(context, key):
    calls = [call for item in context.fleet.services for call in item.record()["calls"]]
    return sum(call["key"] == key for call in calls)
