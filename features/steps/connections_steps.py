import contextlib
import json
import os
import re
import socket
import time

from behave import given, then, when

from endivevane import types
from endivevane.web import server
from features.support import engine_caller, online_calls, online_machine, raw_http

_CALL = raw_http.encode_request("GET", "/healthz")
_UNKNOWN_PATH = raw_http.encode_request("GET", "/nowhere")
_PROMPT = "connections"
_HEAD_END = b"\r\n\r\n"


def _encode_chunked(data):
    """Return the request with its body in chunks of 16 bytes."""
    head, _, body = data.partition(_HEAD_END)
    head = re.sub(rb"Content-Length: \d+", b"Transfer-Encoding: chunked", head)
    parts = [body[index : index + 16] for index in range(0, len(body), 16)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return head + _HEAD_END + chunks + b"0\r\n\r\n"


def _read_status(sock):
    """Read one response with a Content-Length and leave what follows it."""
    data = b""
    while True:
        part = sock.recv(65536, socket.MSG_PEEK)
        assert part, "closed before the response"
        head, found, rest = part.partition(_HEAD_END)
        if not found:
            continue
        match = re.search(rb"(?i)content-length: (\d+)", head)
        length = int(match.group(1)) if match else 0
        if len(rest) >= length:
            data = sock.recv(len(head) + 4 + length)
            return raw_http.parse_answer(data).status


def _send_stream(sock, how, data):
    """Request the stream; return the statuses of the responses before it."""
    if how == "on a connection that was used before":
        sock.sendall(_CALL)
        before = [_read_status(sock)]
        sock.sendall(data)
        return before
    if how == "right behind another request":
        sock.sendall(_CALL + data)
        return [_read_status(sock)]
    if how == "right behind two other requests":
        sock.sendall(_CALL + _UNKNOWN_PATH + data)
        return [_read_status(sock), _read_status(sock)]
    if how == "with a body in chunks":
        sock.sendall(_encode_chunked(data))
    elif how == "with a body that waits for 100-continue":
        head, _, body = data.partition(_HEAD_END)
        sock.sendall(head + b"\r\nExpect: 100-continue" + _HEAD_END)
        before = [_read_status(sock)]
        sock.sendall(body)
        return before
    elif how == "one byte at a time":
        for index in range(len(data)):
            sock.sendall(data[index : index + 1])
    elif how == "by HTTP/1.0":
        sock.sendall(data.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    else:
        raise AssertionError(f"unknown way {how}")
    return []


@given("at most {count:d} connections are served at a time")
def step_set_connections(context, count):
    # The listening socket and the wake-up pipe count as well.
    context.server_limits = {"max_connections": count + 2}


@given("a stream was served")
def step_serve(context):
    assert online_calls.call(context, _PROMPT, 5).is_whole


@when("a stream of {tokens:d} tokens is requested with a second request behind it")
def step_ask_with_second(context, tokens):
    context.expected = online_machine.expected_text(_PROMPT, tokens)
    sock = raw_http.connect(online_calls.get_front(context).address)
    second = online_calls.encode_call("second", tokens)
    sock.sendall(online_calls.encode_call(_PROMPT, tokens) + second)
    context.answer = raw_http.read_answer(sock)
    context.has_framing = True


@when("a stream of {tokens:d} tokens is requested {how}")
def step_ask(context, tokens, how):
    context.expected = online_machine.expected_text(_PROMPT, tokens)
    sock = raw_http.connect(online_calls.get_front(context).address)
    data = online_calls.encode_call(_PROMPT, tokens)
    context.before = _send_stream(sock, how, data)
    context.answer = raw_http.read_answer(sock)
    context.has_framing = how != "by HTTP/1.0"


def _make_streams(context, number, count):
    answers = []
    for index in range(count):
        prompt = f"caller {number} stream {index}"
        answer = online_calls.call(context, prompt, 3)
        answers.append((answer, online_machine.expected_text(prompt, 3)))
    return answers


def _make_calls(address, count):
    statuses = []
    with contextlib.closing(raw_http.connect(address)) as sock:
        for _ in range(count):
            statuses.append(raw_http.ask_on(sock, "/healthz")[0])
    return statuses


@when(
    "{streamers:d} clients make {streams:d} short streams each while {callers:d} "
    "clients make {calls:d} calls each"
)
def step_mix(context, streamers, streams, callers, calls):
    address = online_calls.get_front(context).address
    streaming = [
        online_machine.Background(_make_streams, context, number, streams)
        for number in range(streamers)
    ]
    calling = [
        online_machine.Background(_make_calls, address, calls) for _ in range(callers)
    ]
    context.streamed = [item for run in streaming for item in run.result(60.0)]
    context.statuses = [item for run in calling for item in run.result(60.0)]
    assert len(context.streamed) == streamers * streams
    assert len(context.statuses) == callers * calls


@when("{count:d} connections are opened")
def step_open_many(context, count):
    address = online_calls.get_front(context).address
    context.answered, context.waiting = [], []
    for _ in range(count):
        sock = raw_http.connect(address, 1.0)
        context.cleanups.append(sock.close)
        try:
            raw_http.ask_on(sock, "/healthz")
            context.answered.append(sock)
        except TimeoutError:
            context.waiting.append(sock)


@when("the other connections are closed")
def step_close_others(context):
    for sock in context.answered:
        sock.close()


@when("nothing happens for {seconds:g} s")
def step_wait(context, seconds):
    relay = context.front.relay
    # The timers of the stream that was served expire first; they are not periodic.
    engine_caller.wait_until(
        lambda: relay._dispatcher.timers.next_s() is None, 15.0, "timers are left"
    )
    rounds = []
    original = relay._run_round

    def record_round():
        rounds.append(1)
        original()

    relay._run_round = record_round
    time.sleep(seconds)
    context.rounds = len(rounds)


@then('the responses before it are "{before}"')
def step_check_before(context, before):
    assert " ".join(map(str, context.before)) == before, context.before


@then('the responses before it are ""')
def step_check_no_before(context):
    assert context.before == [], context.before


@then("the stream brings the engine's whole text")
def step_check_stream(context):
    answer = context.answer
    assert answer.status == 200, answer.body
    assert answer.text == context.expected, answer.body
    assert answer.payloads[-1] == raw_http.DONE
    assert answer.is_whole or not context.has_framing
    assert answer.headers["connection"] == "close"


@then("every stream is complete and every call gets a response")
def step_check_mix(context):
    for answer, expected in context.streamed:
        assert answer.status == 200, answer.body
        assert answer.is_whole and answer.text == expected, json.dumps(answer.headers)
    assert set(context.statuses) == {200}, context.statuses


@then("at least 1 of them gets no response")
def step_check_waiting(context):
    assert context.waiting and context.answered


@then("the waiting connections get a response")
def step_check_answered(context):
    for sock in context.waiting:
        sock.settimeout(5.0)
        assert b"200 OK" in sock.recv(65536)


@then("the relay's thread has not woken up")
def step_check_idle(context):
    assert context.rounds == 0, context.rounds


@given("an HTTP server whose thread is woken just before it is called")
def step_woken(context):
    settings = server.ServerSettings(listen=types.Address("127.0.0.1", 0))
    context.stopping = server.HttpServer(settings, lambda environ, respond: [])
    context.stopping.start()
    trigger = context.stopping._server.trigger
    context.pipe = list(trigger._fds)
    write = trigger._physical_pull

    def write_late():
        # The first byte stands for one of a worker; the thread then runs the call.
        write()
        context.stopping._thread.join(1.0)
        write()

    trigger._physical_pull = write_late


@when("it is stopped")
def step_stop(context):
    context.error = None
    try:
        context.stopping.stop()
    except OSError as error:
        context.error = error


@then("it has ended without an error")
def step_ended(context):
    assert context.error is None, context.error
    assert not context.stopping._thread.is_alive()


@then("its wake-up pipe is closed")
def step_pipe_closed(context):
    for descriptor in context.pipe:
        try:
            os.fstat(descriptor)
        except OSError:
            continue
        raise AssertionError(f"descriptor {descriptor} is open")
