import http.client
import threading
import time

from behave import given, then, when

from features.support import batch_fleet, engine_caller
from tools import fleet, processes

_LONG_PROMPT = "a long prompt that both requests share " * 60


def _start_engine(context, slots=4, *arguments):
    plan = fleet.FleetPlan(
        daemons=0, engines=1, slots=slots, engine_arguments=arguments
    )
    context.fleet = fleet.Fleet(plan)
    context.cleanups.append(context.fleet.close)
    context.fleet.start_stand_ins()
    context.engine = context.fleet.engines[0]
    context.address = context.engine.address
    context.streams = {}


def _open(context, name, tokens):
    headers = {"X-Request-Id": f"attempt-{name}"}
    body = engine_caller.make_body(name, tokens)
    stream = engine_caller.open_stream(context.address, body, headers)
    assert stream.status == 200
    context.streams[name] = stream
    return stream


def _runs(context):
    return context.engine.record()["runs"]


@given("a stand-in engine with {slots:d} slot")
@given("a stand-in engine with {slots:d} slots")
def step_start_engine(context, slots):
    _start_engine(context, slots)


@given("a stand-in engine that keeps broken streams {keep:g} seconds")
def step_start_keeping(context, keep):
    _start_engine(context, 4, "--keep-s", str(keep))


@given("a stand-in engine that checks fencing numbers")
def step_start_checking(context):
    _start_engine(context, 4, "--load-ms", "50")


@given("a stand-in engine that ignores fencing numbers")
def step_start_ignoring(context):
    _start_engine(context, 4, "--load-ms", "50", "--ignore-fencing")


@given("a stand-in engine with a slow prefill")
def step_start_slow_prefill(context):
    arguments = ("--prefill-token-ms", "1", "--event-lag-s", "2", "--gap-share", "0")
    _start_engine(context, 4, *arguments)


@when("a caller asks for {tokens:d} tokens streamed and unstreamed")
def step_request_both(context, tokens):
    body = engine_caller.make_body("both", tokens)
    status, _, context.unstreamed = engine_caller.post(
        context.address, "/v1/chat/completions", body
    )
    assert status == 200
    options = {"stream_options": {"include_usage": True}}
    stream = engine_caller.open_stream(context.address, {**body, **options})
    context.events = stream.read_to_end()


@then("both responses are the expected text of {tokens:d} tokens")
def step_check_both(context, tokens):
    expected = engine_caller.expected_text("both", tokens)
    message = context.unstreamed["choices"][0]["message"]
    assert message == {"role": "assistant", "content": expected}, message
    assert engine_caller.join_text(context.events) == expected
    offsets = [event.offset for event in context.events]
    assert offsets == [*range(tokens + 1), None], offsets
    assert context.events[-1].data == engine_caller.DONE


@then("the usage counts {tokens:d} tokens")
def step_check_usage(context, tokens):
    assert context.unstreamed["usage"]["completion_tokens"] == tokens
    assert context.events[-2].usage == context.unstreamed["usage"]


@when(
    "a caller reads {count:d} events of a stream of {tokens:d} tokens "
    "and its connection breaks"
)
def step_read_and_break(context, count, tokens):
    stream = _open(context, "first", tokens)
    context.events = stream.read_events(count)
    stream.break_connection()


@when("a caller reads {count:d} events of a stream of {tokens:d} tokens")
def step_read_some(context, count, tokens):
    context.events = _open(context, "first", tokens).read_events(count)


@when("the caller resumes the stream after offset {offset:d}")
def step_resume(context, offset):
    stream = engine_caller.resume_stream(context.address, "attempt-first", offset)
    assert stream.status == 200, stream.status
    context.resumed = stream.read_to_end()


@then("the next event has offset {offset:d}")
def step_check_next(context, offset):
    assert context.resumed[0].offset == offset, context.resumed[0]


@then("both parts together are the expected text of {tokens:d} tokens")
def step_check_joined(context, tokens):
    events = context.events + context.resumed
    offsets = [event.offset for event in events]
    assert offsets == [*range(tokens), None], offsets
    text = engine_caller.join_text(events)
    assert text == engine_caller.expected_text("first", tokens)


@then('the record has 1 run, which is "{state}"')
def step_check_run(context, state):
    assert [run["state"] for run in _runs(context)] == [state], _runs(context)


@then('within {limit:d} seconds the record has 1 run, which is "{state}"')
def step_wait_run(context, limit, state):
    def has_state():
        return [run["state"] for run in _runs(context)] == [state]

    engine_caller.wait_until(has_state, limit, f"the run is not {state}")


@then("resuming the stream after offset {offset:d} is refused with status {status:d}")
def step_check_no_resume(context, offset, status):
    stream = engine_caller.resume_stream(context.address, "attempt-first", offset)
    assert stream.status == status, stream.status


@when('a caller opens the stream "{name}" of {tokens:d} tokens')
def step_open(context, name, tokens):
    _open(context, name, tokens)


@then("the second stream waits")
def step_check_waiting(context):
    states = [run["state"] for run in _runs(context)]
    assert states == ["started", "waiting"], states


@when('the stream "{name}" is cancelled')
def step_cancel(context, name):
    path = f"/v1/streams/attempt-{name}"
    status, _, _ = engine_caller.get(context.address, path, method="DELETE")
    assert status == 200


@then('the stream "{name}" ends with the expected text')
def step_check_end(context, name):
    events = context.streams[name].read_to_end()
    assert events[-1].data == engine_caller.DONE
    text = engine_caller.join_text(events)
    assert text == engine_caller.expected_text(name, len(events) - 1)
    assert len(events) == 4, events


@then('the run "{name}" is "{state}" with fewer than {tokens:d} tokens')
def step_check_cancelled(context, name, state, tokens):
    runs = {run["attempt_id"]: run for run in _runs(context)}
    run = runs[f"attempt-{name}"]
    assert run["state"] == state, run
    assert run["tokens"] < tokens, run
    events = context.streams[name].read_to_end()
    assert all(event.data != engine_caller.DONE for event in events), events[-1]


@when(
    "a caller sends an unstreamed request for {tokens:d} tokens "
    "and breaks the connection"
)
def step_break_unstreamed(context, tokens):
    body = engine_caller.make_body("unstreamed", tokens)
    connection = engine_caller.open_post(context.address, "/v1/chat/completions", body)
    engine_caller.wait_until(
        lambda: [run["state"] for run in _runs(context)] == ["started"],
        5,
        "the run has not started",
    )
    connection.close()


@when("open streams stall after {tokens:d} more tokens")
def step_silence(context, tokens):
    context.engine.set_faults(silent_after=tokens)


@then("the open stream sends nothing for {wait:g} seconds and stays open")
def step_check_silent(context, wait):
    stream = context.streams["first"]
    sock = stream.connection.sock
    deadline_s = time.monotonic() + 5
    # Tokens that were sent before the fault was set may still be buffered.
    while time.monotonic() < deadline_s:
        sock.settimeout(wait)
        try:
            event = stream.read_event()
        except TimeoutError:
            return
        assert event is not None, "the connection was closed"
    raise AssertionError("the stream did not stall")


@then("a new stream of {tokens:d} tokens is complete")
def step_check_new(context, tokens):
    events = _open(context, "new", tokens).read_to_end()
    text = engine_caller.join_text(events)
    assert text == engine_caller.expected_text("new", tokens)
    assert events[-1].data == engine_caller.DONE


@when("the engine breaks the next stream after {tokens:d} tokens")
def step_drop(context, tokens):
    context.engine.set_faults(drop_after=tokens)


@when("a caller reads a stream of {tokens:d} tokens until it breaks")
def step_read_until_broken(context, tokens):
    context.events = _open(context, "first", tokens).read_to_end()


@then("the caller has {count:d} events")
def step_check_event_count(context, count):
    assert len(context.events) == count, context.events


@when('the engine crashes on "{text}"')
def step_crash_on(context, text):
    context.engine.set_faults(crash_on=text)


@when('the engine is restarted after each crash on "{text}"')
def step_restart_crashed(context, text):
    engine = context.engine
    context.restarter = batch_fleet.EngineRestarter([engine], crash_on=text)
    released = threading.Event()
    # From now on a change of the faults waits for the end of the scenario.
    engine.set_faults = lambda **_faults: released.wait(30)
    context.cleanups += [context.restarter.stop, released.set]


@when("the engine runs again, with its faults not set yet")
def step_wait_for_restart(context):
    assert context.response is None, context.response
    deadline_s = time.monotonic() + 10
    url = f"http://{context.engine.control}/_record"
    while not (context.restarter.restart_count and processes.answers_ok(url)):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


@then("the caller has no response")
def step_check_no_response(context):
    assert context.response is None, context.response


@when('a caller sends the prompt "{text}"')
def step_send_prompt(context, text):
    body = engine_caller.make_body(text)
    try:
        context.response = engine_caller.post(
            context.address, "/v1/chat/completions", body
        )
    except (http.client.HTTPException, ConnectionError):
        context.response = None


@when('a caller asks for the model "{model}"')
def step_request_model(context, model):
    body = engine_caller.make_body("any", model=model)
    context.response = engine_caller.post(context.address, "/v1/chat/completions", body)


@then("the engine's process has ended")
def step_check_crashed(context):
    assert context.response is None, context.response
    assert context.engine.process.wait(5) != 0


@when('the order "{action}" for "{model}" with fencing token {number:d} is sent')
def step_order(context, action, model, number):
    body = {"fencing_number": number, "action": action, "model": model}
    context.order = engine_caller.post(context.address, "/v1/orders", body)


@then("the last order is answered with status {status:d}")
def step_check_order(context, status):
    assert context.order[0] == status, context.order


@then('the engine finally has the models "{models}"')
def step_check_models(context, models):
    def has_models():
        state = engine_caller.get(context.address, "/v1/state")[2]
        names = ", ".join(item["model"] for item in state["models"])
        return state["in_progress"] == 0 and names == models

    engine_caller.wait_until(has_models, 5, f"the engine does not have {models}")


@when("the engine rejects 1 request")
def step_reject(context):
    context.engine.set_faults(reject=1)


@then('the response has status {status:d} and the run state "{state}"')
def step_check_refusal(context, status, state):
    assert context.response[0] == status, context.response
    assert context.response[1]["X-Run-State"] == state, context.response


@then('the response has status {status:d} and the error code "{code}"')
def step_check_error(context, status, code):
    assert context.response[0] == status, context.response
    assert context.response[2]["error"]["code"] == code, context.response


@then("the record has no run")
def step_check_no_run(context):
    assert _runs(context) == []


@when("the same long prompt is sent twice")
def step_send_twice(context):
    body = engine_caller.make_body(_LONG_PROMPT, 1)
    context.early_events = None
    for _ in range(2):
        status, _, _ = engine_caller.post(context.address, "/v1/chat/completions", body)
        assert status == 200
        if context.early_events is None:
            context.early_events = _cache_events(context)


def _cache_events(context):
    return engine_caller.get(context.address, "/v1/cache-events?after=0")[2]["events"]


@then("the second run found all full blocks cached")
def step_check_cached(context):
    blocks = len(f"user\n{_LONG_PROMPT}\n") // 256
    assert [run["cached_blocks"] for run in _runs(context)] == [0, blocks]


@then("the cache events appear only after the first response")
def step_check_events(context):
    assert context.early_events == [], context.early_events
    engine_caller.wait_until(
        lambda: _cache_events(context), 10, "no cache event was reported"
    )
    event = _cache_events(context)[0]
    assert event["kind"] == "stored"
    assert len(event["prefix_hashes"]) == _runs(context)[1]["cached_blocks"]
