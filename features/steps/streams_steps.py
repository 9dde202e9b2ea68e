import functools
import socket
import time

import openai
from behave import given, when

from endivevane import logs, types
from endivevane.online import upstream
from features.support import (
    engine_caller,
    online_calls,
    online_machine,
    raw_http,
    scripted_engine,
    scripts,
)


@given(
    "{count:d} engines that make a token every {token_ms:d} ms, behind the front end"
)
@given(
    "{count:d} engine that makes a token every {token_ms:d} ms, behind the front end"
)
def step_start(context, count, token_ms):
    online_calls.start_engines(context, count, token_ms)


@given(
    "{count:d} engine that makes a token every {token_ms:d} ms after "
    "{prefill_ms:d} ms, behind the front end"
)
def step_start_slow(context, count, token_ms, prefill_ms):
    online_calls.start_engines(context, count, token_ms, prefill_ms)


@given('a scripted engine with the answer "{name}"')
def step_script(context, name):
    engine = scripted_engine.ScriptedEngine(*scripts.SCRIPTS[name]())
    engine.name = "scripted"
    context.cleanups.append(engine.close)
    context.engines = [engine]


@given("scripted engines, each breaking or answering with its own text")
def step_script_two(context):
    context.engines = []
    broken = [scripted_engine.HEAD, scripted_engine.make_tokens(0, 5, "first")]
    full_response = [
        scripted_engine.HEAD,
        scripted_engine.make_tokens(0, 10, "second"),
        scripted_engine.make_chunk(scripted_engine.DONE),
        scripted_engine.LAST_CHUNK,
    ]
    # The engines share the list, so the first request breaks at either of them.
    answers = [broken, full_response]
    for name in ("one", "two"):
        engine = scripted_engine.ScriptedEngine(answers)
        engine.name = name
        context.cleanups.append(engine.close)
        context.engines.append(engine)


@given("streams time out after {seconds:g} s")
def step_set_inactivity(context, seconds):
    context.online = {"inactivity_timeout_s": seconds}


@given("callers that read nothing for {seconds:g} s are disconnected")
def step_set_slow(context, seconds):
    context.relay_limits = {"slow_caller_timeout_s": seconds}


@given("at most {count:d} requests may be open")
def step_set_streams(context, count):
    context.relay_limits = {"max_streams": count}


@given("the next stream of each engine loses its connection after {tokens:d} tokens")
def step_drop(context, tokens):
    for engine in context.engines:
        engine.set_faults(drop_after=tokens)


@given("the first engine {fault}")
def step_fault_first(context, fault):
    if fault == "refuses every request":
        context.engines[0].set_faults(reject=True)
    elif fault == "is not running":
        context.engines[0].process.kill()
    elif fault == "accepts and never answers":
        context.engines[0].set_faults(silent=True)
        context.online = {"first_token_timeout_s": 0.5}
    else:
        raise AssertionError(f"unknown fault {fault}")


@given("all engines refuse every request")
def step_refuse_all(context):
    for engine in context.engines:
        engine.set_faults(reject=True)


@given("an idle connection that has been used once")
def step_idle(context):
    # Long enough for the steps that use the connection, on a busy machine.
    context.server_limits = {"drain_idle_s": 3.0}
    context.idle = raw_http.connect(online_calls.get_front(context).address)
    context.unused = raw_http.connect(online_calls.get_front(context).address)
    context.cleanups.append(context.idle.close)
    context.cleanups.append(context.unused.close)
    for sock in (context.idle, context.unused):
        status, headers, _ = raw_http.ask_on(sock, "/healthz")
        assert status == 200 and "connection" not in headers, headers


@when('the official client asks "{prompt}" for {tokens:d} tokens {way}')
def step_official(context, prompt, tokens, way):
    way, _, times = way.partition(" ")
    context.expected = online_machine.expected_text(prompt, tokens)
    context.texts = []
    client = _make_client(context)
    for _ in range(int(times.split(" ")[0]) if times else 1):
        context.texts.append(_call_with_client(client, prompt, tokens, way))


def _call_with_client(client, prompt, tokens, way):
    create = functools.partial(
        client.chat.completions.create,
        model=online_calls.MODEL,
        messages=engine_caller.make_messages(prompt),
        max_tokens=tokens,
    )
    if way == "streamed":
        return "".join(
            chunk.choices[0].delta.content or "" for chunk in create(stream=True)
        )
    full_response = create()
    assert full_response.object == "chat.completion"
    assert full_response.usage.completion_tokens == tokens, full_response.usage
    assert full_response.choices[0].finish_reason == "length"
    return full_response.choices[0].message.content


@given(
    '{count:d} engines, of which the second has the adapter "{adapter}", '
    "behind the front end"
)
def step_start_adapter(context, count, adapter):
    online_calls.start_engines(context, count, 5)
    order = {"action": "load_adapter", "adapter": adapter, "model": online_calls.MODEL}
    engine = context.engines[1]
    engine_caller.post(engine.address, "/v1/orders", {"fencing_number": 1, **order})
    engine_caller.wait_until(
        lambda: adapter in str(engine_caller.get(engine.address, "/v1/state")[2]),
        5.0,
        "the adapter is not loaded",
    )


@when('"{prompt}" is asked of model "{model}" for {tokens:d} tokens {times:d} times')
def step_ask_model(context, prompt, model, tokens, times):
    context.answers = [
        online_calls.call(context, f"{prompt} {number}", tokens, model=model)
        for number in range(times)
    ]
    context.answer = context.answers[-1]


@when('a caller streams "{prompt}" for {tokens:d} tokens with temperature 0')
def step_stream_deterministic(context, prompt, tokens):
    online_calls.call_in_background(context, prompt, tokens, temperature=0)


@when('a caller streams "{prompt}" for {tokens:d} tokens')
def step_stream(context, prompt, tokens):
    online_calls.call_in_background(context, prompt, tokens)


@when('a caller streams "{prompt}" with temperature 0')
def step_stream_short_deterministic(context, prompt):
    context.answer = online_calls.call(context, prompt, temperature=0)


@when('a caller streams "{prompt}"')
def step_stream_short(context, prompt):
    context.answer = online_calls.call(context, prompt)


@when('a caller asks "{prompt}" for {tokens:d} tokens unstreamed')
def step_ask(context, prompt, tokens):
    context.begun_s = time.monotonic()
    online_calls.call_in_background(context, prompt, tokens, is_streamed=False)


@when('a caller asks "{prompt}" unstreamed')
def step_ask_short(context, prompt):
    context.answer = online_calls.call(context, prompt, is_streamed=False)


@when('a caller asks "{prompt}" for {tokens:d} tokens {way} with {limit_ms:d} ms to go')
def step_ask_late(context, prompt, tokens, way, limit_ms):
    headers = {"X-Deadline-Ms": str(limit_ms)}
    context.begun_s = time.monotonic()
    is_streamed = way == "streamed"
    context.answer = online_calls.call(
        context, prompt, tokens, is_streamed=is_streamed, headers=headers
    )
    context.took_s = time.monotonic() - context.begun_s


@when(
    'a caller asks "{prompt}" for {tokens:d} tokens {way} and leaves after {wait_s:g} s'
)
def step_disconnect(context, prompt, tokens, way, wait_s):
    sock = raw_http.connect(online_calls.get_front(context).address)
    sock.sendall(
        online_calls.encode_call(prompt, tokens, is_streamed=way == "streamed")
    )
    online_calls.find_running(context)
    time.sleep(wait_s)
    sock.close()
    context.disconnected_s = time.monotonic()


@when("the open streams of all engines stall after {tokens:d} tokens")
def step_silence(context, tokens):
    online_calls.find_running(context, 5)
    for engine in context.engines:
        engine.set_faults(silent_after=tokens)


@when("the engine that runs it is killed after {tokens:d} tokens")
def step_kill(context, tokens):
    online_calls.find_running(context, tokens).process.kill()


@when("the front end is restarted")
def step_restart(context):
    context.front.stop()
    context.front = None


@when("{count:d} callers stream and do not read, and one caller reads")
def step_slow(context, count):
    front = online_calls.get_front(context)
    context.largest_bytes = 0
    for _ in range(count):
        sock = raw_http.connect(front.address, receive_bytes=8192)
        context.cleanups.append(sock.close)
        sock.sendall(online_calls.encode_call("slow"))
    engine = context.engines[0]
    engine_caller.wait_until(
        lambda: engine.count("POST") == count, 10.0, "the engine got no requests"
    )
    context.begun_s = time.monotonic()
    reader = online_machine.Background(online_calls.call, context, "fast")
    while reader.is_running:
        _record_buffers(context)
        time.sleep(0.01)
    context.answer = reader.result()
    context.took_s = time.monotonic() - context.begun_s


def _record_buffers(context):
    streams = list(context.front.relay._dispatcher.streams.values())
    for stream in streams:
        pending = stream._caller.pending_bytes
        context.largest_bytes = max(context.largest_bytes, pending)


@when("{count:d} callers stream {tokens:d} tokens each")
def step_stream_many(context, count, tokens):
    online_calls.get_front(context)
    callers = [
        online_machine.Background(online_calls.call, context, f"caller {index}", tokens)
        for index in range(count)
    ]
    context.answers = [item.result() for item in callers]


@when("the graceful shutdown begins after {seconds:g} s")
def step_stop(context, seconds):
    online_calls.find_running(context, 1)
    time.sleep(seconds)
    context.stop = online_machine.Background(context.front.drain, 15.0)
    server = context.front.server._server
    engine_caller.wait_until(lambda: server.is_draining, 5.0, "no drain")


@given('the scheduler raises an exception in "{function}" for the prompt "{prompt}"')
def step_break_scheduler(context, function, prompt):
    online_scheduler = online_calls.get_front(context).scheduler
    original = getattr(online_scheduler, function)

    def fail_sometimes(item):
        request = getattr(item, "request", item)
        if request.body["messages"][0]["content"] == prompt:
            raise RuntimeError("injected fault")
        return original(item)

    setattr(online_scheduler, function, fail_sometimes)


@when('"{first}" and "{second}" are streamed at the same time')
def step_stream_two(context, first, second):
    running = {
        prompt: online_machine.Background(online_calls.call, context, prompt, 30)
        for prompt in (first, second)
    }
    context.answers = {prompt: run.result() for prompt, run in running.items()}


@given("the events of the log are recorded")
def step_record_log(context):
    # The observer outlives the scenario, so it must not reference the context.
    context.events = events = []
    logs.add_observer(lambda event, fields: events.append((event, fields)))


@given("the next {count:d} events of the log raise an exception")
def step_break_log(context, count):
    online_calls.get_front(context)
    remaining = [None] * count

    def fail_sometimes(event, fields):
        if remaining:
            remaining.pop()
            raise RuntimeError("injected fault")

    logs.add_observer(fail_sometimes)


def _make_client(context, key=online_machine.KEY):
    client = openai.OpenAI(
        base_url=f"http://{online_calls.get_front(context).address}/v1",
        api_key=key,
        max_retries=0,
    )
    context.cleanups.append(client.close)
    return client


@when("the official client asks the scripted engine unstreamed")
def step_official_scripted(context):
    context.completion = _make_client(context).chat.completions.create(
        model=online_calls.MODEL, messages=engine_caller.make_messages("pieces")
    )


@when('the owner of the key "{key}" lists the models')
def step_list_models(context, key):
    context.models = [model.id for model in _make_client(context, key).models.list()]


@given("an engine that accepts no connection and a scripted engine")
def step_start_lost(context):
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    context.cleanups.append(listener.close)
    context.lost = f"127.0.0.1:{listener.getsockname()[1]}"
    # With a full accept queue the kernel ignores further connections, like a lost VM.
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        context.cleanups.append(filler.close)
    engine = scripted_engine.ScriptedEngine([[b""]])
    context.cleanups.append(engine.close)
    context.engines = [engine]


@when("{count:d} streams are cancelled at the first and one at the second")
def step_cancel_many(context, count):
    settings = upstream.UpstreamSettings()
    engines = upstream.Upstream(settings, lambda message: None)
    context.cleanups.append(engines.stop)
    for number in range(count):
        engines.cancel(types.parse_address(context.lost), f"lost-{number}")
    engines.cancel(types.parse_address(context.engines[0].address), "well")
    context.begun_s = time.monotonic()


@when("{count:d} streams are resumed at the first and one is opened at the second")
def step_resume_many(context, count):
    context.messages = []
    engines = upstream.Upstream(upstream.UpstreamSettings(), context.messages.append)
    context.cleanups.append(engines.stop)
    lost = online_machine.make_attempt(context.lost)
    for number in range(count):
        engines.resume(number, lost, 5)
    context.begun_s = time.monotonic()
    engines.open(count, online_machine.make_attempt(context.engines[0].address), b"{}")
