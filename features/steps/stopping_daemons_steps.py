import asyncio
import contextlib
import socket
import time

from behave import given, then, when

from endivevane.platform import headers
from endivevane.serving import http_server, model, responder

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
_READ_BYTES = 2000
_KEEPING_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def _make_server(body):
    async def serve(request, response):
        response.send(responder.Response(200, body))

    return http_server.Server(headers.HeaderCodec(), serve, model.ClientLimits)


@given("a server whose event loop is blocked while {count:d} clients send a request")
def step_blocked_loop(context, count):
    context.count = count


@when("it closes its listener before it has accepted their connections")
def step_close(context):
    async def run():
        server = _make_server(b"whole")
        await server.listen("127.0.0.1", 0)
        clients = []
        # The event loop is blocked meanwhile, so connections stay in the backlog.
        for _ in range(context.count):
            client = socket.create_connection(("127.0.0.1", server.port))
            client.sendall(_REQUEST)
            client.setblocking(False)
            clients.append(client)
        server.close_listener()
        loop = asyncio.get_running_loop()
        context.responses = []
        for client in clients:
            response = b""
            try:
                while data := await asyncio.wait_for(
                    loop.sock_recv(client, 65536), 2.0
                ):
                    response += data
            except (OSError, TimeoutError) as error:
                response = repr(error).encode()
            context.responses.append(response)
            client.close()

    asyncio.run(run())


@then("all {count:d} clients receive a complete response")
def step_all_served(context, count):
    complete = [
        response for response in context.responses if response.endswith(b"whole")
    ]
    assert len(complete) == count, context.responses


@given("a server with a response of {size_kb:d} kB")
def step_large_response(context, size_kb):
    context.size = size_kb * 1000


@when("a client that reads slowly requests it and the server stops")
def step_slow_client(context):
    _read_slowly(context, _REQUEST)


@when(
    "a client that reads slowly requests it to keep its connection and the server stops"
)
def step_slow_keeping_client(context):
    _read_slowly(context, _KEEPING_REQUEST)


@when("a client that reads {rate_kb:d} kB per second requests it and the server stops")
def step_very_slow_client(context, rate_kb):
    # With a larger buffer the system announces room to the sender often enough.
    _read_slowly(context, _REQUEST, _READ_BYTES / (rate_kb * 1000), receive_bytes=65536)


def _read_slowly(context, request, pause_s=0.005, receive_bytes=4096):
    async def run():
        server = _make_server(b"x" * context.size)
        streams = []
        make_stream = server._make_stream

        def record():
            streams.append(make_stream())
            return streams[-1]

        server._make_stream = record
        await server.listen("127.0.0.1", 0)
        # With small socket buffers the rest stays in the buffers of the process.
        server._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        client.connect(("127.0.0.1", server.port))
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, request)
        await asyncio.sleep(0.1)
        server.close_listener()
        server.announce_stop()
        context.read = 0
        context.unsent_at_end = 0
        while data := await loop.sock_recv(client, _READ_BYTES):
            context.read += len(data)
            server.close_idle()
            await asyncio.sleep(pause_s)
            if not server.active_connections:
                context.unsent_at_end += sum(item.has_unsent for item in streams)
        client.close()

    asyncio.run(run())


@then("the server has an active connection until the client has all of it")
def step_active_until(context):
    assert context.read > context.size, context.read
    assert not context.unsent_at_end, context.unsent_at_end


@given("a server that reads heads within {limit_ms:d} ms")
def step_head_limit(context, limit_ms):
    context.limits = model.ClientLimits(header_timeout_s=limit_ms / 1000)


@when("half of a head comes, and the rest just before the server is held up")
def step_held_up(context):
    async def serve(request, response):
        response.send(responder.Response(200, b"whole"))

    async def run():
        codec = headers.HeaderCodec()
        server = http_server.Server(codec, serve, lambda: context.limits)
        await server.listen("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", server.port)) as client:
            client.sendall(_REQUEST[:10])
            await asyncio.sleep(0.1)
            client.sendall(_REQUEST[10:])
            # Blocks the event loop beyond the limit.
            time.sleep(context.limits.header_timeout_s + 0.1)
            client.setblocking(False)
            context.response = b""
            loop = asyncio.get_running_loop()
            while data := await asyncio.wait_for(loop.sock_recv(client, 65536), 2.0):
                context.response += data
        server.close_listener()

    asyncio.run(run())


@then("it has a complete response")
def step_complete(context):
    assert context.response.endswith(b"whole"), context.response


@given("a server whose response has begun before it stops")
def step_begun(context):
    context.requests = 0


@when("the response ends after the listener was closed and the client sends a request")
def step_late_request(context):
    head = model.TargetReply(200, b"", (), False, False, b"", True, None)

    async def run():
        finish = asyncio.Event()

        async def serve(request, response):
            context.requests += 1
            response.begin(head)
            await finish.wait()
            response.finish()

        codec = headers.HeaderCodec()
        server = http_server.Server(codec, serve, model.ClientLimits)
        await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_KEEPING_REQUEST)
        await reader.readuntil(b"\r\n\r\n")
        server.announce_stop()
        server.close_listener()
        finish.set()
        context.response = await reader.readuntil(b"0\r\n\r\n")
        writer.write(_KEEPING_REQUEST)
        context.after = b""
        with contextlib.suppress(ConnectionResetError):
            context.after = await asyncio.wait_for(reader.read(), 2.0)
        writer.close()

    asyncio.run(run())


@then("the client has the response and its connection is closed")
def step_response_and_close(context):
    assert (context.response, context.after) == (b"0\r\n\r\n", b""), context.after


@then("the server has read {count:d} request")
def step_read_count(context, count):
    assert context.requests == count, context.requests
