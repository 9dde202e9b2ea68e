import concurrent.futures
import http.client
import json
import threading
import time
import urllib.request

from behave import given, then, when

from tools import fleet

_PATH = "/services/desk/orders"
_TIMEOUT_S = 15.0


@given("an order fleet whose services work {work_ms:d} ms")
def step_fleet(context, work_ms):
    _start_fleet(context, work_ms, {})


@given("an order fleet whose services work {work_ms:d} ms and accept settings")
def step_fleet_settings(context, work_ms):
    route = {"path": "/settings", "methods": ["PUT"], "idempotent": True}
    _start_fleet(context, work_ms, {"routes": [route]})


def _start_fleet(context, work_ms, changes):
    plan = fleet.FleetPlan(
        daemons=2,
        engines=0,
        services=2,
        service_arguments=("--work-ms", str(work_ms)),
        plain_service={"online": {"deadline_s": 10.0}, **changes},
        daemon_settings={"platform": {"timeout_s": 1.0}},
    )
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start()
    context.answers = []


class _Answer:
    def __init__(self, response):
        self.status = response.status
        self.state = response.headers.get("X-Run-State")
        self.is_replayed = response.headers.get("X-Replayed") == "true"
        self.body = response.read()
        self.at_s = time.monotonic()


def _call(context, daemon, method="POST", path=_PATH, key=None, body=b"{}"):
    host, _, port = context.fleet.daemons[daemon].address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {context.fleet.caller_key()}"}
    if key is not None:
        headers["Idempotency-Key"] = key
    try:
        connection.request(method, path, None if method == "GET" else body, headers)
        return _Answer(connection.getresponse())
    finally:
        connection.close()


def _runs(context, key=None):
    calls = [call for item in context.fleet.services for call in item.record()["calls"]]
    return [call for call in calls if call["key"] == key or key is None]


def _wait_until(condition, problem, limit_s=10.0):
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s, problem
        time.sleep(0.02)


@when('the order "{key}" is sent to daemon {daemon:d}')
def step_send(context, key, daemon):
    context.answers.append(_call(context, daemon, key=key))


@when('the order "{key}" with another body is sent to daemon {daemon:d}')
def step_send_other(context, key, daemon):
    context.answers.append(_call(context, daemon, key=key, body=b'{"other": 1}'))


@when("an order without a key is sent to daemon {daemon:d}")
def step_send_bare(context, daemon):
    context.answers.append(_call(context, daemon))


@when("the same order is sent {count:d} times to each daemon at once")
def step_send_many(context, count):
    barrier = threading.Barrier(2 * count)

    def send(number):
        barrier.wait()
        return _call(context, number % 2, key="same")

    with concurrent.futures.ThreadPoolExecutor(2 * count) as executor:
        context.answers = list(executor.map(send, range(2 * count)))


@then("each answer is the stored one or says that it may have run")
def step_check_many(context):
    bodies = {item.body for item in context.answers if item.status == 200}
    assert len(bodies) == 1, bodies
    first = [
        item for item in context.answers if item.status == 200 and not item.is_replayed
    ]
    assert len(first) == 1, f"{len(first)} answers that are not replayed"
    for answer in context.answers:
        if answer.status != 200:
            assert (answer.status, answer.state) == (409, "may-have-run")


@then("the services have run it once")
def step_check_once(context):
    assert len(_runs(context)) == 1, _runs(context)


@then("the services have run it {count:d} times")
def step_check_runs(context, count):
    assert len(_runs(context)) == count, _runs(context)


@then("the order answer is {status:d}")
def step_check_status(context, status):
    answer = context.answers[-1]
    assert answer.status == status, (answer.status, answer.body)


@then('the order answer is {status:d} and "{state}"')
def step_check_state(context, status, state):
    step_check_status(context, status)
    assert context.answers[-1].state == state, context.answers[-1].state


@then("the order answer is {status:d} and replayed")
def step_check_replayed(context, status):
    step_check_status(context, status)
    assert context.answers[-1].is_replayed


@when("the next {count:d} answers to writes of the register are lost")
def step_lose_store(context, count):
    context.fleet.store.set_faults(lose_answer=count, lose_answer_on="register")


@when("the services lose their next answer")
def step_lose_service(context):
    for item in context.fleet.services:
        item.set_faults(lose_answer=1)


@when("the table service is down")
def step_store_down(context):
    context.fleet.store.set_faults(down=True)


@when("the table service is back")
def step_store_back(context):
    context.fleet.store.set_faults(down=False)


def _send_in_background(context, key):
    """Send an order to daemon 0 and return once a service runs it."""

    def send():
        try:
            context.background = _call(context, 0, key=key)
        except (OSError, http.client.HTTPException) as error:
            context.background = error

    context.sender = threading.Thread(target=send)
    context.sender.start()
    context.cleanups.append(context.sender.join)
    _wait_until(lambda: _runs(context, key), "no service runs the order")


@when('the order "{key}" is sent to daemon 0 and the daemon is killed while it runs')
def step_kill(context, key):
    _send_in_background(context, key)
    context.fleet.daemons[0].kill()


@when('the order "{key}" is sent to daemon 0 and the daemon is paused while it runs')
def step_pause(context, key):
    _send_in_background(context, key)
    context.fleet.daemons[0].pause()


@when("daemon 0 goes on")
def step_resume(context):
    context.fleet.daemons[0].resume()


@when(
    'the order "{key}" is sent to daemon 0 and the table service goes down while it '
    "runs"
)
def step_store_down_late(context, key):
    _send_in_background(context, key)
    context.fleet.store.set_faults(down=True)


@then("the answer came while the call still ran")
def step_check_at_once(context):
    assert not _runs(context)[0]["answered"], "the answer was delayed to the end"


@then("the order that daemon 0 was running gets the answer {status:d}")
def step_check_background(context, status):
    context.sender.join(_TIMEOUT_S)
    assert getattr(context.background, "status", None) == status, context.background


@then('within {limit_s:d} seconds daemon 1 replays the order "{key}"')
def step_check_late_replay(context, limit_s, key):
    def is_replayed():
        answer = _call(context, 1, key=key)
        assert answer.status in (200, 409, 503), answer.status
        return answer.status == 200 and answer.is_replayed

    _wait_until(is_replayed, "the outcome was not stored", limit_s)


@when("the service in the zone of daemon 0 refuses its next call as not run")
def step_reject(context):
    """The daemon prefers this service while both are idle."""
    assert context.fleet.services[0].zone == context.fleet.daemons[0].zone
    context.fleet.services[0].set_faults(reject=1)


@when("the service in the zone of daemon 0 loses its next answer")
def step_lose_near(context):
    assert context.fleet.services[0].zone == context.fleet.daemons[0].zone
    context.fleet.services[0].set_faults(lose_answer=1)


@when("the service in another zone refuses its next call as not run")
def step_reject_far(context):
    context.fleet.services[1].set_faults(reject=1)


@when("the settings are sent to daemon {daemon:d}")
def step_send_settings(context, daemon):
    context.answers.append(_call(context, daemon, "PUT", "/services/desk/settings"))


@then("both planned faults have happened")
def step_check_both_faults(context):
    assert _read_faults(context.fleet.services[0])["lose_answer"] == 0
    assert _read_faults(context.fleet.services[1])["reject"] == 0


@then("the service in another zone has run it once")
def step_check_other(context):
    assert _read_faults(context.fleet.services[0])["reject"] == 0, "never refused"
    assert not context.fleet.services[0].record()["calls"]
    assert len(context.fleet.services[1].record()["calls"]) == 1


def _read_faults(member):
    url = f"http://{member.control}/_control/faults"
    with urllib.request.urlopen(url, timeout=5) as response:
        return json.load(response)


@then("the register's faults have happened")
def step_check_faults(context):
    assert _read_faults(context.fleet.store)["lose_answer"] == 0


@when("a service is killed and {count:d} status calls are sent")
def step_kill_service(context, count):
    path = "/services/desk/status"
    context.statuses = [_call(context, 0, "GET", path).status for _ in range(4)]
    context.fleet.services[0].kill()
    context.statuses += [_call(context, 0, "GET", path).status for _ in range(count)]


@then("all status calls are answered with {status:d}")
def step_check_statuses(context, status):
    assert set(context.statuses) == {status}, json.dumps(context.statuses)


@when(
    'the order "{key}" is sent to daemon 0 and the table service goes silent while it '
    "runs"
)
def step_store_silent(context, key):
    _send_in_background(context, key)
    context.silent_at_s = time.monotonic()
    context.fleet.store.set_faults(silent=True)


@then(
    "the order that daemon 0 was running gets the answer {status:d} within {limit_s:d} "
    "seconds"
)
def step_check_prompt(context, status, limit_s):
    """The call takes 0.8 s and the answer is held back for 0.5 s at most."""
    step_check_background(context, status)
    assert context.background.at_s - context.silent_at_s < limit_s


@when("{count:d} orders are sent to daemon 0 at once")
def step_flood(context, count):
    """More orders than the daemon has worker threads, which are 16."""
    executor = concurrent.futures.ThreadPoolExecutor(count)
    context.cleanups.append(executor.shutdown)
    context.flood = [
        executor.submit(_call, context, 0, key=f"flood-{number}")
        for number in range(count)
    ]
    time.sleep(0.1)


@then("a status call to daemon 0 is answered within {limit_s:d} seconds")
def step_check_unblocked(context, limit_s):
    began_s = time.monotonic()
    answer = _call(context, 0, "GET", "/services/desk/status")
    assert answer.status == 200, answer.status
    assert answer.at_s - began_s < limit_s, answer.at_s - began_s


@then('every one of the {count:d} orders is answered {status:d} and "{state}"')
def step_check_flood(context, count, status, state):
    answers = [item.result() for item in context.flood]
    assert {(item.status, item.state) for item in answers} == {(status, state)}
    assert len(answers) == count


@when("the table service answers again")
def step_store_answers(context):
    context.fleet.store.set_faults(silent=False)


@then('the order "{key}" has run once and none of the {count:d} orders')
def step_check_flood_runs(context, key, count):
    assert len(_runs(context, key)) == 1
    for number in range(count):
        assert not _runs(context, f"flood-{number}")
