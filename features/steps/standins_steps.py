import concurrent.futures
import http.client
import json
import time

import result
from behave import given, then, when

from endivevane import types
from endivevane.coordination import store
from endivevane.external import http_pool, objects, table, vms
from features.support import engine_caller
from tools import fleet


def _start_fleet(context, **plan):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, **plan))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()


def _start_platform(context, *arguments):
    _start_fleet(context, engines=0, platform_arguments=arguments)
    context.platform = context.fleet.store
    pool = http_pool.HttpPool(
        types.parse_address(context.platform.address), http_pool.PoolSettings()
    )
    context.table_client = table.TableClient(pool)
    context.objects = objects.ObjectClient(pool)
    context.vm_list = vms.VmListClient(pool)


def _insert(context, names, operation_id):
    pairs = [name.split("/", 1) for name in names]
    conditions = [store.Condition(name, key, None) for name, key in pairs]
    writes = [
        store.Write(name, key, {store.OPERATION_ID_FIELD: operation_id})
        for name, key in pairs
    ]
    context.outcome = context.table_client.transact(operation_id, conditions, writes)


def _read(context, name):
    return context.table_client.read(*name.split("/", 1)).unwrap()


@given("a stand-in platform")
def step_start_platform(context):
    _start_platform(context)


@given("a stand-in platform that allows {rate:d} row writes a second")
def step_start_limited(context, rate):
    _start_platform(context, "--writes-per-s", str(rate))


@given("a stand-in platform whose list of VMs lags {lag:g} seconds")
def step_start_lagging(context, lag):
    _start_platform(context, "--lag-s", str(lag))


@when("the platform loses the next response")
def step_lose_answer(context):
    context.platform.set_faults(lose_answer=1)


@when('the platform loses the next response for the table "{name}"')
def step_lose_answer_on(context, name):
    context.platform.set_faults(lose_answer=1, lose_answer_on=name)


@when('a client inserts the row "{name}" as operation "{operation}"')
def step_insert_one(context, name, operation):
    _insert(context, [name], operation)


@when('a client inserts the rows "{first}" and "{second}" as operation "{operation}"')
def step_insert_two(context, first, second, operation):
    _insert(context, [first, second], operation)


@when('a client inserts {count:d} rows of the table "{name}" at once')
def step_insert_many(context, count, name):
    context.outcomes = []
    started_s = time.monotonic()
    for number in range(count):
        _insert(context, [f"{name}/{number}"], f"op-{number}")
        context.outcomes.append(context.outcome)
    context.elapsed_s = time.monotonic() - started_s


@then("the outcome of the write is unknown to the client")
def step_check_unknown(context):
    assert isinstance(context.outcome, result.Err), context.outcome
    error = context.outcome.err_value
    assert isinstance(error, store.StoreOutcomeUnknown), error


@then("the client sees that the write succeeded")
def step_check_applied(context):
    assert isinstance(context.outcome, result.Ok), context.outcome


@then('the row "{name}" was written by operation "{operation}"')
def step_check_row(context, name, operation):
    row = _read(context, name)
    assert row is not None
    assert row.value == {store.OPERATION_ID_FIELD: operation}, row


@then('the row "{name}" is absent')
def step_check_absent(context, name):
    assert _read(context, name) is None


@then('the record shows {count:d} write of the table "{name}"')
def step_check_writes(context, count, name):
    record = context.platform.record()
    assert record["tables"][name]["writes"] == count, record["tables"]
    history = [item for item in record["history"] if item["table"] == name]
    assert len(history) == count, history


@then('the client gets a conflict on "{name}" with the row of operation "{operation}"')
def step_check_conflict(context, name, operation):
    error = context.outcome.err_value
    assert isinstance(error, store.StoreConflict), error
    pair = tuple(name.split("/", 1))
    assert list(error.rows) == [pair], error.rows
    assert error.rows[pair].value == {store.OPERATION_ID_FIELD: operation}
    assert error.rows[pair].revision == 1


@then("at least {rate:d} are written, within the rate limit")
def step_check_rate(context, rate):
    # The burst is one second's worth of tokens; the rest is added at the rate.
    written = sum(item.is_ok() for item in context.outcomes)
    assert rate <= written <= rate + rate * context.elapsed_s, written
    assert written < len(context.outcomes), written


@then("the others are refused with a retry delay of at most 1 second")
def step_check_refused(context):
    errors = [item.err_value for item in context.outcomes if item.is_err()]
    assert all(isinstance(item, store.StoreOverloaded) for item in errors), errors
    assert all(0 < item.retry_after_s <= 1 for item in errors), errors


@then('the record shows as many writes of the table "{name}" as succeeded')
def step_check_count(context, name):
    succeeded = sum(item.is_ok() for item in context.outcomes)
    record = context.platform.record()
    assert record["tables"][name]["writes"] == succeeded, record
    assert record["refused_writes"] == len(context.outcomes) - succeeded, record


@then('pages of 1 row of "{name}" with the prefix "{prefix}" are "{keys}"')
def step_check_pages(context, name, prefix, keys):
    found, after = [], ""
    while rows := context.table_client.scan(name, prefix, after, limit=1).unwrap():
        assert len(rows) == 1
        after = rows[0].key
        found.append(after)
    assert ", ".join(found) == keys, found


@given("a client with an open connection to the platform")
def step_open_connection(context):
    host, _, port = context.platform.address.rpartition(":")
    context.connection = http.client.HTTPConnection(host, int(port), timeout=5)
    context.connection.request("GET", "/v1/vms")
    context.connection.getresponse().read()
    assert context.connection.sock is not None


@when("the platform goes down")
def step_go_down(context):
    context.platform.set_faults(down=True)


@when("the platform comes back up")
def step_come_back(context):
    context.platform.set_faults(down=False)


@then("the open connection breaks")
def step_check_broken(context):
    try:
        data = context.connection.sock.recv(1)
    except ConnectionError:
        data = b""
    assert data == b""


@then("the client sees that the store is unavailable")
def step_check_unavailable(context):
    _insert(context, ["jobs/none"], "op-none")
    error = context.outcome.err_value
    assert isinstance(error, store.StoreUnavailable), error


@when('the VM "{name}" is listed as "{state}"')
def step_list_vm(context, name, state):
    vm = {"name": name, "address": "127.0.0.1:1", "zone": "zone-a", "state": state}
    context.platform.post_control("/_control/vms", {"vms": [vm]})


@then("the list of VMs is still empty")
def step_check_no_vms(context):
    assert context.vm_list.fetch().unwrap().vms == ()


@then('within {limit:d} seconds the list shows "{name}" as "{state}"')
def step_check_vms(context, limit, name, state):
    def is_listed():
        listed = context.vm_list.fetch().unwrap().vms
        return [(vm.name, vm.state.value) for vm in listed] == [(name, state)]

    engine_caller.wait_until(is_listed, limit, f"{name} is not listed as {state}")


@when('a client creates the object "{key}" with "{text}"')
def step_create_object(context, key, text):
    context.outcome = context.objects.put(key, text.encode(), create_only=True)


@then("the second creation is refused")
def step_check_exists(context):
    assert isinstance(context.outcome.err_value, objects.ObjectExists)


@then('the object "{key}" is "{text}"')
def step_check_object(context, key, text):
    assert context.objects.get(key).unwrap() == text.encode()
    listed = context.objects.list(key[:5]).unwrap()
    assert [(item.key, item.size_bytes) for item in listed] == [(key, len(text))]


@then('bytes {first:d} to {last:d} of the object "{key}" are "{text}"')
def step_check_range(context, first, last, key, text):
    host, _, port = context.platform.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    path = "/v1/objects/" + key.replace("/", "%2F")
    connection.request("GET", path, headers={"Range": f"bytes={first}-{last}"})
    response = connection.getresponse()
    assert response.status == 206
    assert response.read() == text.encode()
    connection.close()


@given("a stand-in service")
def step_start_service(context):
    _start_fleet(context, engines=0, services=1)


@when("the service loses the next response")
def step_lose_service_answer(context):
    context.fleet.services[0].set_faults(lose_answer=1)


@when('a caller posts "{path}" with the key "{key}" and gets no response')
def step_post_lost(context, path, key):
    address = context.fleet.services[0].address
    try:
        engine_caller.post(address, path, {}, {"Idempotency-Key": key})
    except (http.client.HTTPException, ConnectionError):
        return
    raise AssertionError("a response was received")


@when('a caller posts "{path}" with the key "{key}"')
def step_post(context, path, key):
    address = context.fleet.services[0].address
    status, _, _ = engine_caller.post(address, path, {}, {"Idempotency-Key": key})
    assert status == 200


@then('the record has {count:d} calls with the key "{key}"')
def step_check_calls(context, count, key):
    calls = context.fleet.services[0].record()["calls"]
    assert [call["key"] for call in calls] == [key] * count, calls
    assert [call["answered"] for call in calls] == [False, True], calls


@given("a balancer in front of 2 stand-in services")
def step_start_balancer(context):
    _start_fleet(
        context, engines=0, services=2, service_arguments=("--work-ms", "1500")
    )
    addresses = [service.address for service in context.fleet.services]
    context.fleet.start_balancer(addresses)

    def are_ready():
        backends = context.fleet.balancer.record()["backends"]
        return all(backend["is_ready"] for backend in backends)

    engine_caller.wait_until(are_ready, 10, "the services are not ready")


@when("a slow call goes through the balancer to each service")
def step_send_slow(context):
    context.executor = concurrent.futures.ThreadPoolExecutor(2)
    context.cleanups.append(context.executor.shutdown)
    address = context.fleet.balancer.address
    context.slow_calls = [
        context.executor.submit(engine_caller.post, address, f"/orders/{number}", {})
        for number in range(2)
    ]

    def have_arrived():
        return all(_count_orders(service) == 1 for service in context.fleet.services)

    engine_caller.wait_until(have_arrived, 5, "the slow calls have not arrived")


def _count_orders(service):
    calls = service.record()["calls"]
    return sum(call["path"].startswith("/orders") for call in calls)


@when("the service 0 reports that it is not ready")
def step_unready(context):
    context.fleet.services[0].set_faults(unavailable=True)

    def is_left_out():
        return not context.fleet.balancer.record()["backends"][0]["is_ready"]

    engine_caller.wait_until(is_left_out, 10, "the balancer does not skip the service")


@then("new calls go to the service 1 only")
def step_check_left_out(context):
    address = context.fleet.balancer.address
    for number in range(2):
        status, _, body = engine_caller.post(address, f"/later/{number}", {})
        assert status == 200
        assert body["service"] == "service-1", body


@then("both slow calls succeed")
def step_check_slow(context):
    answers = [call.result(timeout=10) for call in context.slow_calls]
    assert [answer[0] for answer in answers] == [200, 200], answers
    names = sorted(answer[2]["service"] for answer in answers)
    assert names == ["service-0", "service-1"], json.dumps(names)
