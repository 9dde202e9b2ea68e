import hashlib
import http.client
import socket
import threading
import time

import waitress.buffers
import werkzeug.exceptions
import werkzeug.wrappers
from behave import given, then, when

from endivevane.types import Address
from endivevane.web import server


class _Handler:
    """Reads an upload and responds with its digest."""

    def __init__(self, refuses):
        self.refuses = refuses
        self.may_continue = threading.Event()
        self.started = threading.Event()
        self.failed = threading.Event()
        self.runs = 0

    def __call__(self, environ, start_response):
        request = werkzeug.wrappers.Request(environ)
        return self._respond(request)(environ, start_response)

    def _respond(self, request):
        if request.path == "/results":
            pieces = (bytes(1 << 16) for _ in range(128))
            return werkzeug.wrappers.Response(pieces)
        if request.path != "/v1/files":
            return werkzeug.wrappers.Response("plain")
        self.runs += 1
        self.started.set()
        if self.refuses:
            return werkzeug.wrappers.Response("too large", status=413)
        self.may_continue.wait(20)
        digest = hashlib.sha256()
        try:
            while data := request.stream.read(1 << 16):
                digest.update(data)
        except werkzeug.exceptions.ClientDisconnected:
            self.failed.set()
            raise
        return werkzeug.wrappers.Response(digest.hexdigest())


@given("an HTTP server whose upload handler {behaviour}")
def step_server(context, behaviour):
    context.handler = _Handler(behaviour == "refuses at once")
    if behaviour == "reads":
        context.handler.may_continue.set()
    context.tempfiles = []

    class Recorder(waitress.buffers.TempfileBasedBuffer):
        def newfile(self):
            context.tempfiles.append(1)
            return super().newfile()

    original = waitress.buffers.TempfileBasedBuffer
    waitress.buffers.TempfileBasedBuffer = Recorder

    def restore():
        waitress.buffers.TempfileBasedBuffer = original

    context.cleanups.append(restore)
    settings = server.ServerSettings(listen=Address("127.0.0.1", 0), worker_threads=2)
    context.server = server.HttpServer(settings, context.handler)
    context.cleanups.append(context.server.stop)
    context.cleanups.append(context.handler.may_continue.set)
    context.server.start()


def _connect(context, size):
    address = context.server.address
    context.sock = socket.create_connection((address.host, address.port), 10)
    context.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 << 10)
    context.cleanups.append(context.sock.close)
    context.body = (bytes(range(256)) * (size // 256 + 1))[:size]
    return (
        f"POST /v1/files HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
    ).encode()


@when("half of an upload of {size:d} MiB is sent")
def step_send_half(context, size):
    head = _connect(context, size << 20)
    context.sock.sendall(head)
    context.sent = 0
    context.sock.settimeout(1.0)
    try:
        while context.sent < len(context.body) // 2:
            context.sent += context.sock.send(context.body[context.sent :][: 1 << 14])
    except TimeoutError:
        pass
    context.sock.settimeout(10.0)


@then("the handler has started")
def step_check_begun(context):
    assert context.handler.started.wait(5)


@then("the server buffers at most {limit:d} MiB while the handler waits")
def step_check_taken(context, limit):
    # The kernel's receive buffer holds up to a few MiB more on the loopback.
    channels = list(context.server._server.active_channels.values())
    buffered_bytes = sum(item.request.body_rcv._buffered_bytes for item in channels)
    print(f"sent {context.sent}, buffered by the server {buffered_bytes}")
    assert 0 < buffered_bytes <= limit << 20, buffered_bytes


@when("the handler continues and the client sends the rest")
def step_go_on(context):
    context.handler.may_continue.set()
    context.sock.sendall(context.body[context.sent :])


def _read_response(context):
    response = http.client.HTTPResponse(context.sock)
    response.begin()
    return response, response.read()


@then("the response has the digest of the upload")
def step_check_digest(context):
    response, data = _read_response(context)
    assert response.status == 200, response.status
    assert data.decode() == hashlib.sha256(context.body).hexdigest()


@then("the next request on the same connection gets a response")
def step_check_next(context):
    context.sock.sendall(b"GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
    response, data = _read_response(context)
    assert (response.status, data) == (200, b"plain")


@then("no temporary file was opened")
def step_check_files(context):
    assert not context.tempfiles


@when("a whole upload of {size:d} MiB is sent")
def step_send_whole(context, size):
    head = _connect(context, size << 20)
    context.sock.sendall(head)
    assert context.handler.started.wait(5)
    try:
        context.sock.sendall(context.body)
    except OSError as error:
        print(f"sending ended with {error!r}")


@then("the client reads status {status:d} and the end of the connection")
def step_check_refused(context, status):
    response, data = _read_response(context)
    assert response.status == status, response.status
    assert data == b"too large"
    assert response.headers["Connection"] == "close"


@when("the client disconnects and the handler continues")
def step_leave(context):
    assert context.handler.started.wait(5)
    context.sock.close()
    context.handler.may_continue.set()


@then("the handler ends with an error within {limit:d} s")
def step_check_failed(context, limit):
    assert context.handler.failed.wait(limit)


@when("an upload of {size:d} bytes is sent in one write")
def step_send_small(context, size):
    head = _connect(context, size)
    context.sock.sendall(head + context.body)


@then("the handler has run once")
def step_check_runs(context):
    time.sleep(0.3)
    assert context.handler.runs == 1, context.handler.runs


@when("a client requests 8 MiB of results and reads nothing for {pause_s:d} s")
def step_ask(context, pause_s):
    _connect(context, 0)
    context.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
    context.sock.sendall(b"GET /results HTTP/1.1\r\nHost: x\r\n\r\n")
    time.sleep(pause_s)


@then("the server buffers at most {limit:d} MiB of the response")
def step_check_held(context, limit):
    (item,) = context.server._server.active_channels.values()
    print(f"buffered by the server {item.total_outbufs_len}")
    assert 0 < item.total_outbufs_len <= limit << 20


@then("the client can read the whole response")
def step_read_all(context):
    response, data = _read_response(context)
    assert response.status == 200
    assert len(data) == 8 << 20
