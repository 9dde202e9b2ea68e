import asyncio
import socket
import time

from behave import given, then, when

from endivevane.platform import headers
from endivevane.serving import ingress, model, responder

_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def _make_server(body):
    async def handle(request, answer):
        answer.send(responder.WholeAnswer(200, body))

    return ingress.Server(headers.HeaderCodec(), handle, model.ClientLimits)


@given("a server whose loop is busy while {count:d} clients connect and send a request")
def step_busy(context, count):
    context.count = count


@when("it closes its listener before it has accepted them")
def step_close(context):
    async def run():
        server = _make_server(b"whole")
        await server.listen("127.0.0.1", 0)
        clients = []
        # The loop does not run meanwhile, so that the system accepts for it.
        for _ in range(context.count):
            client = socket.create_connection(("127.0.0.1", server.port))
            client.sendall(_REQUEST)
            client.setblocking(False)
            clients.append(client)
        server.close_listener()
        loop = asyncio.get_running_loop()
        context.answers = []
        for client in clients:
            answer = b""
            try:
                while data := await asyncio.wait_for(
                    loop.sock_recv(client, 65536), 2.0
                ):
                    answer += data
            except (OSError, TimeoutError) as error:
                answer = repr(error).encode()
            context.answers.append(answer)
            client.close()

    asyncio.run(run())


@then("all {count:d} clients get a whole answer")
def step_all_answered(context, count):
    whole = [answer for answer in context.answers if answer.endswith(b"whole")]
    assert len(whole) == count, context.answers


@given("a server with an answer of {size_mb:d} MB")
def step_large_answer(context, size_mb):
    context.size = size_mb * 1_000_000


@when("a client that reads slowly asks for it and the server stops")
def step_slow_client(context):
    async def run():
        server = _make_server(b"x" * context.size)
        await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(_REQUEST)
        await asyncio.sleep(0.1)
        server.close_listener()
        server.is_stopping = True
        context.read = 0
        context.idle_early = False
        began_s = time.monotonic()
        while time.monotonic() - began_s < 5.0:
            data = await reader.read(100_000)
            if not data:
                break
            context.read += len(data)
            await asyncio.sleep(0.01)
            # What the system's buffers hold arrives also after the process ended.
            is_far = context.size - context.read > 8_000_000
            context.idle_early = context.idle_early or (is_far and not server.busy)
        context.busy_at_end = server.busy
        writer.close()

    asyncio.run(run())


@then("the server is busy until the client has all of it")
def step_busy_until(context):
    assert context.read > context.size, context.read
    assert not context.idle_early
