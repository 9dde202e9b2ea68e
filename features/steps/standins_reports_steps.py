import concurrent.futures
import http.client
import time
import urllib.request

from behave import given, then, when

from features.support import engine_caller
from standins import completions
from tools import fleet

_LONG_PROMPT = "a long prompt whose blocks are moved " * 40
_CALL = "/v1/chat/completions"


def _start_fleet(context, engines, **plan):
    context.fleet = fleet.Fleet(fleet.FleetPlan(daemons=0, engines=engines, **plan))
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.streams = {}
    if engines:
        context.engine = context.fleet.engines[0]
        context.address = context.engine.address


def _load(context):
    return engine_caller.get(context.address, "/v1/load")[2]


@given("a stand-in engine whose load reports lag {lag:g} seconds")
def step_start_lagging(context, lag):
    _start_fleet(context, 1, engine_arguments=("--lag-s", str(lag)))


@then("the load report still shows {count:d} running requests")
def step_check_old_load(context, count):
    assert _load(context)["running"] == count


@then("within {limit:d} seconds the load report shows {count:d} running request")
def step_check_load(context, limit, count):
    engine_caller.wait_until(
        lambda: _load(context)["running"] == count,
        limit,
        "the load report does not show the requests",
    )


@then("the report is at least {age:g} seconds old")
def step_check_age(context, age):
    as_of_s = _load(context)["as_of_s"]
    assert time.time() - as_of_s >= age


@when('a batch sender opens the stream "{name}" of {tokens:d} tokens')
def step_open_batch(context, name, tokens):
    headers = {"X-Request-Id": f"attempt-{name}", "X-Endivevane-Class": "batch"}
    body = engine_caller.make_body(name, tokens)
    context.streams[name] = engine_caller.open_stream(context.address, body, headers)


@then("all {count:d} streams end with the expected text")
def step_check_streams(context, count):
    assert len(context.streams) == count
    for name, stream in context.streams.items():
        events = stream.read_to_end()
        assert events[-1].data == engine_caller.DONE, name
        expected = engine_caller.expected_text(name, len(events) - 1)
        assert engine_caller.join_text(events) == expected, name


@then('the runs have started in the order "{names}"')
def step_check_order(context, names):
    runs = sorted(context.engine.record()["runs"], key=lambda run: run["started_at_s"])
    found = [run["attempt_id"].removeprefix("attempt-") for run in runs]
    assert ", ".join(found) == names, found


@then('only the run "{name}" is recorded as batch work')
def step_check_batch(context, name):
    runs = context.engine.record()["runs"]
    found = [run["attempt_id"] for run in runs if run["batch"]]
    assert found == [f"attempt-{name}"], found


@given("a stand-in engine that drops half of its cache events")
def step_start_gaps(context):
    arguments = ("--gap-share", "0.5", "--event-lag-s", "0", "--seed", "3")
    _start_fleet(context, 1, engine_arguments=arguments)


@when("{count:d} different long prompts are sent")
def step_send_prompts(context, count):
    context.sent = count
    for number in range(count):
        body = engine_caller.make_body(f"{number} {_LONG_PROMPT}", 1)
        assert engine_caller.post(context.address, _CALL, body)[0] == 200


@then("between {least:d} and {most:d} events can be read, in rising order")
def step_check_gaps(context, least, most):
    # The seed determines which events are dropped; the bounds are those of a fair coin.
    path = "/v1/cache-events?after=0"
    events = engine_caller.get(context.address, path)[2]["events"]
    context.numbers = [event["n"] for event in events]
    assert least <= len(context.numbers) <= most, context.numbers
    assert context.numbers == sorted(set(context.numbers)), context.numbers
    assert context.numbers[-1] <= context.sent, context.numbers


@then("reading after the last event gives no event")
def step_check_after(context):
    path = f"/v1/cache-events?after={context.numbers[-1]}"
    assert engine_caller.get(context.address, path)[2] == {"events": []}


@given("two stand-in engines")
def step_start_two(context):
    _start_fleet(context, 2)


@when("a long prompt is sent to the first engine")
def step_send_first(context):
    _send_long(context.fleet.engines[0])


@when("the long prompt is sent to the second engine")
def step_send_second(context):
    _send_long(context.fleet.engines[1])


def _send_long(engine):
    body = engine_caller.make_body(_LONG_PROMPT, 1)
    assert engine_caller.post(engine.address, _CALL, body)[0] == 200


@when("the blocks of the prompt are exported and imported into the second engine")
def step_move_blocks(context):
    prompt = completions.render_prompt(engine_caller.make_messages(_LONG_PROMPT))
    context.hashes = completions.hash_prefixes("small-lm", prompt)
    assert context.hashes
    first, second = context.fleet.engines
    for prefix_hash in context.hashes:
        body = f'{{"prefix_hash": {prefix_hash}}}'.encode()
        data = _post_bytes(f"{first.url}/v1/kv/export", body)
        _post_bytes(f"{second.url}/v1/kv/import", data)


def _post_bytes(url, data):
    headers = {"Content-Type": "application/octet-stream"}
    request = urllib.request.Request(url, data, headers)
    with urllib.request.urlopen(request, timeout=10) as response:
        return response.read()


@then("the run at the second engine found all full blocks cached")
def step_check_moved(context):
    runs = context.fleet.engines[1].record()["runs"]
    assert [run["cached_blocks"] for run in runs] == [len(context.hashes)], runs


@given("a weight store of {rate:d} bytes a second with weights of {size:d} bytes")
def step_start_weights(context, rate, size):
    arguments = ("--weights-bytes-per-s", str(rate), "--weights-bytes", str(size))
    _start_fleet(context, 0, platform_arguments=arguments)
    context.size = size


@when("{count:d} readers fetch weights at once")
def step_fetch(context, count):
    def fetch(number):
        url = f"{context.fleet.store.url}/v1/weights/lm-{number}/1"
        with urllib.request.urlopen(url, timeout=30) as response:
            return len(response.read())

    started_s = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        sizes = list(executor.map(fetch, range(count)))
    context.elapsed_s = time.monotonic() - started_s
    assert sizes == [context.size] * count, sizes


@then("both are complete after at least {least:g} seconds")
def step_check_fetch(context, least):
    # 600,000 bytes at 1,000,000 bytes/s take 0.6 s.
    assert context.elapsed_s >= least, context.elapsed_s


@given("an engine that loads weights of {size:d} bytes at {rate:d} bytes a second")
def step_start_loading(context, size, rate):
    arguments = ("--weights-bytes-per-s", str(rate), "--weights-bytes", str(size))
    _start_fleet(
        context,
        1,
        loads_weights=True,
        platform_arguments=arguments,
        engine_arguments=("--load-ms", "0"),
    )
    context.started_s = time.monotonic()


@then('the model "{name}" is offered after at least {least:g} seconds')
def step_check_offered(context, name, least):
    # 300,000 bytes at 600,000 bytes/s take 0.5 s.
    context.in_progress = set()

    def is_offered():
        state = engine_caller.get(context.address, "/v1/state")[2]
        offered = name in [item["model"] for item in state["models"]]
        context.in_progress.add((offered, state["in_progress"]))
        return offered

    engine_caller.wait_until(is_offered, 10, f"{name} is not offered")
    assert time.monotonic() - context.started_s >= least


@then("the order is reported as in progress until then")
def step_check_progress(context):
    assert context.in_progress == {(False, 1), (True, 0)}, context.in_progress


@when("a caller sends an unstreamed request for {tokens:d} tokens and gets no response")
def step_send_dropped(context, tokens):
    body = engine_caller.make_body("dropped", tokens)
    try:
        answer = engine_caller.post(context.address, _CALL, body)
    except (http.client.HTTPException, ConnectionError):
        return
    raise AssertionError(f"a response was received: {answer}")
