import time

from behave import then

from endivevane.online import messages
from features.support import (
    engine_caller,
    online_calls,
    online_machine,
    raw_http,
    scripts,
)


@then("the client has the engine's complete text")
@then("each time the client has the engine's complete text")
def step_check_text(context):
    for text in context.texts:
        assert text == context.expected, (text, context.expected)


@then("the engines have run it once")
def step_check_once(context):
    if getattr(context, "background", None) is not None:
        online_calls.finish_call(context)
    runs = [run for engine in context.engines for run in engine.runs()]
    assert [run["state"] for run in runs] == ["finished"], runs


@then("the caller has the engine's complete text")
def step_check_caller_text(context):
    answer = online_calls.finish_call(context)
    assert answer.status == 200, (answer.status, answer.body)
    assert answer.headers["x-request-id"].startswith("req-")
    assert online_calls.read_text(answer) == context.expected, (
        answer.body,
        context.expected,
    )
    assert answer.is_whole


@then('the stream ends with an error that says "{run_state}"')
def step_check_error_event(context, run_state):
    answer = online_calls.finish_call(context)
    assert answer.status == 200
    assert answer.error is not None, answer.body
    assert answer.error["run_state"] == run_state, answer.error
    assert answer.error["message"] and answer.error["code"] and answer.error["type"]


@then("the stream has no [DONE] and its framing is incomplete")
def step_check_cut(context):
    assert raw_http.DONE not in context.answer.payloads
    assert not context.answer.is_whole


@then("the stream is complete")
def step_check_whole(context):
    assert context.answer.payloads[-1] == raw_http.DONE
    assert context.answer.is_whole


@then("the stream has only text of the first engine")
def step_check_first_text(context):
    text = context.answer.text
    assert text == "".join(f"first{index} " for index in range(5)), text


@then('the caller got the tokens "{tokens}"')
def step_check_tokens(context, tokens):
    assert context.answer.text == tokens + " ", context.answer.body


@then("the engine's record says cancelled within {limit_s:g} s")
def step_check_cancelled(context, limit_s):
    engine = context.engines[0]
    engine_caller.wait_until(
        lambda: [run["state"] for run in engine.runs()] == ["cancelled"],
        limit_s,
        f"not cancelled: {engine.runs()}",
    )


@then("no request is open")
@then("no request is open within {limit_s:g} s")
def step_check_none_open(context, limit_s=2.0):
    relay = context.front.relay
    engine_caller.wait_until(
        lambda: not relay.open_streams, limit_s, "requests are still open"
    )


@then("the reading caller has the complete answer within {limit_s:g} s")
def step_check_reader(context, limit_s):
    assert context.answer.is_whole
    assert context.answer.payloads[-1] == raw_http.DONE
    assert len(context.answer.payloads) == scripts.LARGE_EVENTS + 1
    assert context.took_s < limit_s, context.took_s


@then("at most {kilobytes:d} KB were buffered for each caller")
def step_check_buffers(context, kilobytes):
    # Reading stops above the high watermark, so at most one read is added to it.
    assert 0 < context.largest_bytes <= kilobytes << 10, context.largest_bytes


@then('the answer has status {status:d} and says "{run_state}"')
def step_check_status(context, status, run_state):
    answer = online_calls.finish_call(context)
    context.ended_s = time.monotonic()
    assert answer.status == status, (answer.status, answer.body)
    assert answer.headers["x-run-state"] == run_state, answer.headers
    assert answer.headers["x-request-id"]
    assert answer.error["message"] if answer.error else answer.json


@then("the answer has Retry-After")
def step_check_retry_after(context):
    assert int(context.answer.headers["retry-after"]) >= 1


@then("the answer came within {limit_s:g} s")
def step_check_duration(context, limit_s):
    assert context.ended_s - context.begun_s < limit_s


@then("each answer is complete")
def step_check_each(context):
    for answer in context.answers:
        assert answer.status == 200, answer.body
        assert answer.is_whole


@then('the second engine has run "{model}" {times:d} times')
def step_check_adapter(context, model, times):
    runs = context.engines[1].runs()
    assert [run["model"] for run in runs] == [model] * times, runs


@then("the scripted engine got {count:d} request")
def step_check_count(context, count):
    assert len(context.engines[0].requests) == count, context.engines[0].requests


@then('the request ends with code "{code}" after {least_s:g} to {most_s:g} s')
def step_check_deadline(context, code, least_s, most_s):
    assert context.answer.error["code"] == code, context.answer.body
    assert least_s <= context.took_s <= most_s, context.took_s


@then('{whole:d} answers are complete and 1 is refused with 429 and "not-run"')
def step_check_many(context, whole):
    statuses = sorted(answer.status for answer in context.answers)
    assert statuses == [200] * whole + [429], statuses
    for answer in context.answers:
        assert answer.is_whole
        if answer.status == 429:
            assert answer.headers["x-run-state"] == "not-run"


@then("a new connection is refused")
def step_check_refused(context):
    try:
        raw_http.connect(context.front.address, 2.0).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("a new connection was accepted")


@then("a call on the idle connection is answered and the connection is closed")
def step_check_idle(context):
    status, headers, _ = raw_http.ask_on(context.idle, "/healthz")
    assert status == 200
    assert headers["connection"] == "close", headers
    assert context.idle.recv(1) == b""


@then("the graceful shutdown finished everything")
def step_check_stopped(context):
    assert context.stop.result(), "the graceful shutdown did not finish"
    assert context.unused.recv(1) == b"", "an idle connection stayed open"


@then('the answer has status {status:d} and code "{code}"')
def step_check_code(context, status, code):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.body)
    assert answer.error["code"] == code, answer.body


@then('"{prompt}" is answered in full')
def step_check_full(context, prompt):
    answer = context.answers[prompt]
    assert answer.is_whole
    assert answer.text == online_machine.expected_text(prompt, 30)


@then('"{prompt}" gets an error that says "{run_state}"')
def step_check_failed(context, prompt, run_state):
    answer = context.answers[prompt]
    assert answer.status == 500, (answer.status, answer.body)
    assert answer.headers["x-run-state"] == run_state
    assert answer.error["code"] == "internal_error"


@then("the log has one line about the end of the request with")
def step_check_log(context):
    def find_ends():
        return [fields for event, fields in context.events if event == "request_ended"]

    engine_caller.wait_until(find_ends, 5.0, "no final log line")
    ends = find_ends()
    assert len(ends) == 1, ends
    for row in context.table:
        assert str(ends[0][row["field"]]) == row["value"], ends[0]
    assert ends[0]["request_id"] == context.answer.headers["x-request-id"]
    assert 0 < ends[0]["first_token_ms"] <= ends[0]["duration_ms"]
    assert ends[0]["tokens"] == len(context.answer.payloads) - 1


@then("the answer has these parts")
def step_check_parts(context):
    for row in context.table:
        value = context.completion.model_dump()
        for name in row["part"].split("."):
            value = value[int(name) if name.isdigit() else name]
        assert str(value) == row["value"], (row["part"], value)


@then('the models are "{models}"')
def step_check_models(context, models):
    assert " ".join(context.models) == models, context.models


@then('the models are ""')
def step_check_no_models(context):
    assert context.models == [], context.models


@then('the answer has an error that mentions "{text}"')
def step_check_error_text(context, text):
    assert text in context.answer.error["message"], context.answer.body


@then("the second engine is asked to cancel within {limit_s:g} s")
def step_check_asked(context, limit_s):
    # One connect timeout of 1 s, plus a margin for a busy machine.
    engine_caller.wait_until(
        lambda: context.engines[0].count("DELETE"), limit_s, "no cancellation came"
    )


@then("the second engine gets the request within {limit_s:g} s")
def step_check_opened(context, limit_s):
    # Less than the connect timeout of 1 s, which each resume takes.
    engine_caller.wait_until(
        lambda: context.engines[0].count("POST"), limit_s, "no request came"
    )


@then("all {count:d} resumes have failed within {limit_s:g} s")
def step_check_resumes(context, count, limit_s):
    def find_failed():
        found = context.messages
        return [item for item in found if isinstance(item, messages.OpenFailed)]

    engine_caller.wait_until(
        lambda: len(find_failed()) == count, limit_s, "resumes are still waiting"
    )
    assert not any(item.was_sent for item in find_failed())
