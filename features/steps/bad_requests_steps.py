import contextlib
import json
import time

from behave import given, then, when

from features.support import engine_caller, online_calls, online_machine, raw_http

_VALID_BODY = {
    "model": online_machine.MODEL,
    "messages": [{"role": "user", "content": "hi"}],
    "max_tokens": 2,
}


def _encode_body(**changes):
    return json.dumps({**_VALID_BODY, **changes}).encode()


def _encode_body_without(key):
    return json.dumps(
        {name: _VALID_BODY[name] for name in _VALID_BODY if name != key}
    ).encode()


_NESTED = b"[" * 900 + b"]" * 900
_BODIES = {
    "broken JSON": b'{"model": "small-lm", "messages": [',
    "empty": b" ",
    "bad UTF-8": _encode_body().replace(b"hi", b"\xff\xfe"),
    "a JSON list": b"[1, 2]",
    "NUL bytes": b"\x00" * 100,
    "deeply nested": _encode_body(tools="NESTED").replace(b'"NESTED"', _NESTED),
    "lone surrogate": _encode_body().replace(b"hi", b"\\ud800"),
    "without model": _encode_body_without("model"),
    "model is a number": _encode_body(model=5),
    "without messages": _encode_body_without("messages"),
    "no messages in the list": _encode_body(messages=[]),
    "messages is a string": _encode_body(messages="hi"),
    "a message is a string": _encode_body(messages=["hi"]),
    "a message without role": _encode_body(messages=[{"content": "hi"}]),
    "content is a number": _encode_body(messages=[{"role": "user", "content": 5}]),
    "stream is a string": _encode_body(stream="yes"),
    "temperature is a string": _encode_body(temperature="0"),
    "temperature too high": _encode_body(temperature=2.5),
    "max_tokens is negative": _encode_body(max_tokens=-1),
    "unknown model": _encode_body(model="huge-lm"),
    "unknown adapter": _encode_body(model="small-lm:other"),
    "too large": _encode_body(messages=[{"role": "user", "content": "x" * (5 << 20)}]),
}
_VALUES = {"(empty)": "", "(too long)": "k" * 300}
_PATH = b"/v1/chat/completions"
_AUTHORIZATION = f"Authorization: Bearer {online_machine.KEY}\r\n".encode()


def _post(fields, body=b""):
    head = b"POST " + _PATH + b" HTTP/1.1\r\nHost: daemon\r\n" + _AUTHORIZATION
    return head + fields + b"\r\n\r\n" + body


def _encode_chunks(count, size):
    return b"".join(b"%x\r\n%b\r\n" % (size, b"x" * size) for _ in range(count))


_REQUESTS = {
    "a bad request line": b"this is not HTTP\r\n\r\n",
    "a lower-case method": b"get /healthz HTTP/1.1\r\nHost: daemon\r\n\r\n",
    "a bad URL": b"GET http://[/ HTTP/1.1\r\nHost: daemon\r\n\r\n",
    "a bad header": b"GET /healthz HTTP/1.1\r\nHost daemon\r\n\r\n",
    "a bad Content-Length": _post(b"Content-Length: ten"),
    "a huge Content-Length": _post(b"Content-Length: " + b"9" * 5000),
    "a bad chunk": _post(b"Transfer-Encoding: chunked", b"zz\r\nhello\r\n0\r\n\r\n"),
    "chunks larger than limit": _post(
        b"Transfer-Encoding: chunked", _encode_chunks(80, 1 << 16)
    ),
    "a body larger than limit": _post(b"Content-Length: 6000000", b"x" * 6_000_000),
    "headers larger than limit": _post(b"X-Padding: " + b"x" * 40_000),
    "an unknown encoding": _post(b"Transfer-Encoding: gzip"),
    "an unknown path": b"GET /nowhere HTTP/1.1\r\nHost: daemon\r\n\r\n",
    "an unknown method": b"BREW /v1/models HTTP/1.1\r\nHost: daemon\r\n\r\n",
}


def _send_and_read(context, data):
    """Send bytes and read the response, which may arrive before all are sent."""
    sock = raw_http.connect(online_calls.get_front(context).address)
    with contextlib.suppress(ConnectionError):
        sock.sendall(data)
    return _read_response(sock)


def _read_response(sock):
    """Read one response; the connection may stay open after it."""
    data = b""
    while True:
        part = sock.recv(65536)
        if not part:
            break
        data += part
        answer = raw_http.parse_answer(data) if b"\r\n\r\n" in data else None
        if answer is not None and answer.is_whole:
            break
    sock.close()
    assert data, "the connection was closed without a response"
    return raw_http.parse_answer(data)


@given("requests must arrive within {seconds:g} s")
def step_set_receive(context, seconds):
    context.server_limits = {"receive_timeout_s": seconds}


@given("idle connections are closed after {seconds:g} s")
def step_set_idle(context, seconds):
    context.server_limits = {"idle_timeout_s": seconds}


@when("the body {name} is posted")
def step_post_body(context, name):
    body = _BODIES[name]
    length = b"Content-Length: %d" % len(body)
    context.answer = _send_and_read(context, _post(length, body))


@when('a good body is posted with "{header}" set to "{value}"')
def step_post_header(context, header, value):
    body = _encode_body()
    fields = {"Authorization": f"Bearer {online_machine.KEY}"}
    fields[header] = _VALUES.get(value, value)
    data = raw_http.encode_request("POST", _PATH.decode(), body, fields)
    context.answer = _send_and_read(context, data)


@when("the bytes of {name} are sent")
def step_send(context, name):
    context.answer = _send_and_read(context, _REQUESTS[name])


@when("half a request is sent")
def step_send_half(context):
    context.answer = _send_and_read(context, _post(b"Content-Length: 100", b"{"))


@when("a connection is opened and nothing is sent")
def step_open(context):
    context.sock = raw_http.connect(online_calls.get_front(context).address)
    context.cleanups.append(context.sock.close)
    context.started_s = time.monotonic()


@then('the answer says "{run_state}" and has an error in JSON')
def step_check_shape(context, run_state):
    answer = context.answer
    assert answer.headers["x-run-state"] == run_state, answer.headers
    assert answer.headers["content-type"] == "application/json"
    assert answer.headers["x-request-id"].startswith("req-")
    assert set(answer.json) == {"error"}
    assert set(answer.json["error"]) == {"message", "type", "param", "code"}
    assert answer.json["error"]["message"]


@then("the daemon still answers")
def step_check_alive(context):
    address = online_calls.get_front(context).address
    assert engine_caller.get(address, "/healthz")[0] == 200
    runs = context.engines[0].runs()
    assert not runs, f"the refused request was run: {runs}"
    headers = {"Authorization": f"Bearer {online_machine.KEY}"}
    status, _, body = engine_caller.post(
        address, "/v1/chat/completions", _VALID_BODY, headers
    )
    assert status == 200, body


@then("the connection is closed within {limit_s:g} s")
def step_check_closed(context, limit_s):
    assert context.sock.recv(1) == b""
    assert time.monotonic() - context.started_s < limit_s
