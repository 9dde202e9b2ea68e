"""Helpers for steps that call the front end."""

import functools
import json

from features.support import engine_caller, online_machine, raw_http

MODEL = online_machine.MODEL


def get_front(context):
    """Return the front end, started with the scenario's settings."""
    if getattr(context, "front", None) is None:
        targets = {item.name: item.address for item in context.engines}
        context.front = online_machine.Front(
            targets,
            online=getattr(context, "online", {}),
            relay_limits=getattr(context, "relay_limits", {}),
            server_limits=getattr(context, "server_limits", {}),
        )
        context.cleanups.append(context.front.stop)
    return context.front


def start_engines(context, count, token_ms, prefill_ms=5):
    engines = online_machine.Engines()
    context.cleanups.append(engines.close)
    arguments = ("--token-ms", str(token_ms), "--prefill-ms", str(prefill_ms))
    context.engines = engines.start(count, *arguments)


def encode_call(
    prompt, tokens=None, is_streamed=True, headers=None, model=MODEL, **fields
):
    body = engine_caller.make_body(prompt, tokens, model, **fields)
    if is_streamed:
        body["stream"] = True
    fields = {"Authorization": f"Bearer {online_machine.KEY}", **(headers or {})}
    data = json.dumps(body).encode()
    return raw_http.encode_request("POST", "/v1/chat/completions", data, fields)


def call(context, prompt, tokens=None, **options):
    sock = raw_http.connect(get_front(context).address)
    sock.sendall(encode_call(prompt, tokens, **options))
    return raw_http.read_answer(sock)


def call_in_background(context, prompt, tokens=None, **options):
    get_front(context)
    context.expected = online_machine.expected_text(prompt, tokens or 16)
    function = functools.partial(call, context, prompt, tokens, **options)
    context.background = online_machine.Background(function)


def finish_call(context):
    if getattr(context, "background", None) is not None:
        context.answer = context.background.result()
        context.background = None
    return context.answer


def find_running(context, tokens=0):
    """Return the engine that runs the request, once it has made some tokens."""
    found = []

    def has_tokens():
        for engine in context.engines:
            if not engine.process.is_running:
                continue
            for run in engine.runs():
                if run["state"] in ("waiting", "started") and run["tokens"] >= tokens:
                    found.append(engine)
                    return True
        return False

    engine_caller.wait_until(has_tokens, 10.0, "no engine runs the request")
    return found[0]


def read_text(answer):
    if answer.headers["content-type"].startswith("text/event-stream"):
        return answer.text
    return answer.json["choices"][0]["message"]["content"]
