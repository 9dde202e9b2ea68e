import asyncio
import contextlib
import socket

from behave import given, then, when

from endivevane.platform import headers
from endivevane.serving import (
    byte_stream,
    client_connection,
    client_settings,
    connection_limiter,
    http_server,
    model,
    request_reader,
    responder,
    work_turns,
)
from features.support import serving_world


class _Service:
    """A server whose handler responds once it is allowed to."""

    def __init__(self, body=b"done", **limits):
        self.runs = 0
        self.body = body
        self.section = client_settings.ClientsSection(**limits)
        self.may_answer = asyncio.Event()
        self.server = http_server.Server(
            headers.HeaderCodec(),
            self._handle,
            model.ClientLimits,
            bounds=request_reader.ClientBounds(self.section),
            limiter=connection_limiter.make_limiter(self.section),
        )

    async def _handle(self, _request, response):
        self.runs += 1
        await self.may_answer.wait()
        response.send(responder.Response(200, self.body))

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.server.port)


def _play(context, act):
    async def run():
        context.service = service = _Service(**context.limits)
        await service.server.listen("127.0.0.1", 0)
        try:
            async with asyncio.timeout(20):
                await act(service)
        finally:
            await service.server.close_connections(1.0)
            service.server.close_listener()

    asyncio.run(run())


@given("a server whose clients may send {count:d} requests ahead")
def step_ahead(context, count):
    context.limits = {"max_requests_ahead": count}


@given("a server that allows {count:d} connections from one source")
def step_per_source(context, count):
    context.limits = {"max_connections_per_source": count}


@given("a server that allows {count:d} connections in total")
def step_total(context, count):
    context.limits = {"max_connections": count}


@given("a server whose clients may send {count:d} fields")
def step_fields(context, count):
    context.limits = {"max_fields": count}


@given("a server whose clients have {limit:g} s for a body")
def step_body_time(context, limit):
    context.limits = {"body_timeout_s": limit}


@when("a client sends {count:d} requests at once")
def step_send_ahead(context, count):
    async def act(service):
        service.may_answer.set()
        reader, writer = await service.connect()
        writer.write(serving_world.make_request() * count)
        replies = [await serving_world.read_response(reader) for _ in range(count)]
        context.whole = [item.status for item in replies if item.is_complete]
        context.rest = await reader.read()

    _play(context, act)


@then("it reads {count:d} whole responses and the end of the connection")
def step_whole(context, count):
    assert (context.whole, context.rest) == ([200] * count, b""), context.whole


@then("{count:d} requests have run")
def step_runs(context, count):
    assert context.service.runs == count, context.service.runs


@when("{count:d} clients send nothing and a third one sends a request")
def step_idle(context, count):
    async def act(service):
        service.may_answer.set()
        idle = [await service.connect() for _ in range(count)]
        await asyncio.sleep(0.2)
        context.reply = await serving_world.send_request(
            service.server.port, serving_world.make_request()
        )
        context.closed = [reader.at_eof() for reader, _ in idle].count(True)

    _play(context, act)


@then("it gets a response with status {status:d}")
def step_status(context, status):
    assert context.reply.status == status, context.reply


@then("one of the idle connections is closed")
def step_closed(context):
    assert context.closed == 1, context.closed


@when("{count:d} clients have requests that run and a third one connects")
def step_running(context, count):
    async def act(service):
        running = [await service.connect() for _ in range(count)]
        for _, writer in running:
            writer.write(serving_world.make_request())
        while service.runs < count:
            await asyncio.sleep(0.01)
        reader, _ = await service.connect()
        context.reply = await serving_world.read_response(reader)
        service.may_answer.set()
        context.answered = [
            await serving_world.read_response(reader) for reader, _ in running
        ]

    _play(context, act)


@then("the {count:d} running requests are answered")
def step_answered(context, count):
    assert [item.body for item in context.answered] == [b"done"] * count


@when("a client sends a request with {count:d} fields")
def step_send_fields(context, count):
    extra = tuple(f"X-{number}: x" for number in range(count))

    async def act(service):
        context.reply = await serving_world.send_request(
            service.server.port, serving_world.make_request(extra=extra)
        )

    _play(context, act)


@when("a client sends a body of a byte every {gap:g} s")
def step_drip(context, gap):
    async def act(service):
        reader, writer = await service.connect()
        request = serving_world.make_request(body=b"x" * 1000)
        writer.write(request[:-1000])

        async def drip():
            with contextlib.suppress(OSError):
                while True:
                    writer.write(b"x")
                    await asyncio.sleep(gap)

        dripping = asyncio.ensure_future(drip())
        context.reply = await serving_world.read_response(reader)
        dripping.cancel()

    _play(context, act)


@given("a server whose responses have {size:d} bytes")
def step_large(context, size):
    context.limits = {"body": b"x" * size}


@when("a client reads {size:d} bytes every {gap:g} s")
def step_read_slowly(context, size, gap):
    async def act(service):
        service.may_answer.set()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", service.server.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=32768)
        writer.write(serving_world.make_request())
        await reader.readuntil(b"\r\n\r\n")
        left = len(service.body)
        while left:
            left -= len(await reader.readexactly(min(left, size)))
            await asyncio.sleep(gap)
        context.left = left

    _play(context, act)


@then("it has read the whole response")
def step_read_whole(context):
    assert context.left == 0, context.left


@given("costly work in turns")
def step_turns(context):
    context.done = []


@when("the second of {count:d} that wait is ended")
def step_end_wait(context, count):
    async def run():
        turns = work_turns.WorkTurns()
        waits = {}

        async def work(number):
            with contextlib.suppress(byte_stream.Evicted):
                await turns.run(
                    number,
                    lambda: context.done.append(number),
                    lambda turn: waits.update({number: turn}),
                )

        tasks = [asyncio.ensure_future(work(number)) for number in range(count)]
        await asyncio.sleep(0)
        waits[1].set_exception(byte_stream.Evicted())
        async with asyncio.timeout(5):
            await asyncio.gather(*tasks)

    asyncio.run(run())


@then("the others have their turns in order")
def step_order(context):
    assert context.done == [0, 2, 3], context.done


class _Connection:
    """What a limiter needs of a connection."""

    def __init__(self, source, standing):
        self.source = source
        self.standing = (standing, 0.0)
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


@given("room for {most:d} connections and {most_of_each:d} of each address")
def step_room(context, most, most_of_each):
    context.limiter = connection_limiter.ConnectionLimiter(most, most_of_each)


@given("2 busy connections of one address and an idle one of another")
def step_connected(context):
    standing = client_connection.Standing
    context.idle = _Connection("b", standing.IDLE)
    for item in (
        _Connection("a", standing.BUSY),
        _Connection("a", standing.BUSY),
        context.idle,
    ):
        assert context.limiter.admit(item)


@when("one more of the full address and one of a third address come")
def step_two_more(context):
    busy = client_connection.Standing.BUSY
    context.admitted = [
        context.limiter.admit(_Connection(source, busy)) for source in ("a", "c")
    ]


@then("the first of them is rejected and the idle one makes room for the other")
def step_room_made(context):
    assert context.admitted == [False, True], context.admitted
    assert context.idle.is_evicted
