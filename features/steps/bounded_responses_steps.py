import contextlib
import socket
import threading
import time

import result
from behave import given, then, when

from endivevane import types
from endivevane.external import http_pool

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_PIECE = b"x" * 16384
_CHUNK = b"%x\r\n%s\r\n" % (len(_PIECE), _PIECE)
_SOUND_BYTES = 500_000
_SOUND_BODY = b"x" * _SOUND_BYTES
# What comes first, and what is repeated behind it.
_FORMS = {
    "headers": (_OK, b"X-Long: xxxxxxxx\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "a body without a length": (_OK + b"\r\n", _PIECE),
    "a body with a length": (_OK + b"Content-Length: 99999999999\r\n\r\n", _PIECE),
    "a body in chunks": (_CHUNKED, _CHUNK),
    "a chunk of absurd size": (_CHUNKED + b"f" * 12 + b"\r\n", _PIECE),
    "trailers": (_CHUNKED + b"0\r\n", b"X-Long: xxxxxxxx\r\n" * 800),
    "a body that is cut": (_OK + b"Content-Length: 10\r\n\r\n12345", None),
    "a chunk that is cut": (_CHUNKED + b"a\r\n12345", None),
    "the status 600": (b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", None),
    "a sound length": (_OK + b"Content-Length: 500000\r\n\r\n" + _SOUND_BODY, b""),
    "sound chunks": (_CHUNKED + b"7a120\r\n" + _SOUND_BODY + b"\r\n0\r\n\r\n", b""),
}
_MAX_SENT_BYTES = 64 << 20
_MAX_TAKEN_S = 2.0
_DRIP_S = 0.05
_END_S = 0.5
_RECEIVE_BYTES = 16 * 1024


class _Server:
    """Answers each request with the bytes of a form."""

    def __init__(self, form, is_drip):
        self.connections = 0
        self._form = form
        self._is_drip = is_drip
        self._listener = self._open_listener()
        self.address = types.Address("127.0.0.1", self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _open_listener(self):
        return socket.create_server(("127.0.0.1", 0))

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        first, repeated = _FORMS[self._form]
        with connection, contextlib.suppress(OSError):
            while connection.recv(65536):
                connection.sendall(first)
                if repeated is None:
                    return
                sent = 0
                while repeated and sent < _MAX_SENT_BYTES:
                    sent += self._send(connection, repeated)

    def _send(self, connection, data):
        if not self._is_drip:
            connection.sendall(data)
            return len(data)
        for position in range(len(data)):
            connection.sendall(data[position : position + 1])
            time.sleep(_DRIP_S)
        return len(data)


class _EndingServer(_Server):
    """Ends its side without having read the request."""

    def __init__(self):
        super().__init__("", is_drip=False)

    def _open_listener(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        return listener

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(1000)
            connection.sendall(_OK + b"\r\nhalf a body")
            connection.shutdown(socket.SHUT_WR)
            time.sleep(_END_S)


@given("a server that answers with {form}")
def step_server(context, form):
    context.server = _Server(form, is_drip=False)
    context.cleanups.append(context.server.close)


@given("a server that sends single bytes in {form}")
def step_drip(context, form):
    context.server = _Server(form, is_drip=True)
    context.cleanups.append(context.server.close)


@given("a server that ends its side without reading, with half a body")
def step_unread(context):
    context.server = _EndingServer()
    context.cleanups.append(context.server.close)


@when("an upload of {size:d} MB is sent to it")
def step_upload(context, size):
    pool = _make_pool(context)
    context.outcome = pool.request("POST", "/", b"x" * (size << 20))


def _make_pool(context, **limits):
    settings = http_pool.PoolSettings(read_timeout_s=5.0, **limits)
    return http_pool.HttpPool(context.server.address, settings)


def _call(context, how, **limits):
    pool = _make_pool(context, **limits)
    started_s = time.monotonic()
    if how == "as an item":
        sent = pool.send("POST", "/", b"{}", {}).unwrap()
        context.outcome = sent.receive(5.0)
    else:
        context.outcome = pool.request("GET", "/")
    context.taken_s = time.monotonic() - started_s


@when("a call with responses of at most {size:d} MB is made, {how}")
def step_call(context, size, how):
    _call(context, how, max_response_bytes=size << 20)


@when("a call with responses of at most {limit:f} s is made, {how}")
def step_slow_call(context, limit, how):
    _call(context, how, response_timeout_s=limit)


@then("it fails since the response is too large")
def step_too_large(context):
    error = context.outcome.unwrap_err()
    assert error.detail.startswith("ResponseTooLarge"), error.detail
    assert not error.is_timeout


@then("it fails as one that timed out, within 2 s")
def step_timed_out(context):
    error = context.outcome.unwrap_err()
    assert error.is_timeout, error.detail
    assert context.taken_s < _MAX_TAKEN_S, context.taken_s


@then("it fails as a broken response")
def step_broken(context):
    assert isinstance(context.outcome, result.Err), context.outcome
    error = context.outcome.err_value
    assert error.stage is http_pool.Stage.RESPONSE, error.detail
    assert not error.is_timeout, error.detail


@when("two calls with responses of at most {size:d} MB are made")
def step_two(context, size):
    pool = _make_pool(context, max_response_bytes=size << 20)
    context.outcomes = [pool.request("GET", "/") for _ in range(2)]


@then("both have a body of {size:d} bytes, on 1 connection")
def step_sound(context, size):
    sizes = [len(outcome.unwrap().body) for outcome in context.outcomes]
    assert sizes == [size, size], sizes
    assert context.server.connections == 1, context.server.connections
