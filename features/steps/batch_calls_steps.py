import collections
import socket
import threading
import time

from behave import given, then, when

from endivevane import types
from endivevane.batch import attempts, item_calls
from endivevane.coordination import clock
from endivevane.external import http_pool

_BODY = b'{"choices": []}'
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(_BODY), _BODY)
_WAIT_S = 20.0


class _Engine:
    """Accepts connections and treats each according to its behaviour."""

    def __init__(self, behaviour):
        self._behaviour = behaviour
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = types.Address("127.0.0.1", self._listener.getsockname()[1])
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.recv(65536)
            if self._behaviour == "closes each connection without an answer":
                connection.close()
            if self._behaviour == "stops in the middle of its answer":
                connection.sendall(_ANSWER[:-3])
                connection.close()
            self.connections.append(connection)

    def answer(self):
        for connection in self.connections:
            connection.sendall(_ANSWER)

    def close(self):
        # Closing alone leaves the socket listening while a thread waits in accept.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self.connections:
            connection.close()


class _Item:
    def decode_body(self):
        return {"model": "m", "messages": []}


def _wait_until(condition):
    end_s = time.monotonic() + _WAIT_S
    while not condition() and time.monotonic() < end_s:
        time.sleep(0.01)
    return condition()


@given("an item engine that {behaviour}")
def step_start_engine(context, behaviour):
    context.engine = _Engine(behaviour)
    context.cleanups.append(context.engine.close)
    if behaviour == "is not there":
        context.engine.close()
        context.cleanups.clear()
    context.ended = []


@when("{count:d} items are sent to it with a timeout of {timeout_s:d} seconds")
def step_send(context, count, timeout_s):
    context.threads = threading.active_count()
    context.calls = item_calls.ItemCalls(
        clock.SystemClock(),
        lambda attempt, outcome: context.ended.append((attempt, outcome)),
    )
    context.cleanups.append(context.calls.stop)
    pool = http_pool.HttpPool(context.engine.address, http_pool.PoolSettings())
    target = collections.namedtuple("Target", "name")("engine-1")
    context.count = count
    for number in range(count):
        attempt = attempts.Attempt(
            f"a{number}", "job", 0, _Item(), target, 0.0, 0, 0, False, "f", 0
        )
        context.calls.start(pool, attempt, timeout_s)


@then("all of them reach the engine while at most {count:d} more threads run")
def step_check_threads(context, count):
    assert _wait_until(lambda: len(context.engine.connections) == context.count)
    more = threading.active_count() - context.threads
    assert more <= count, more
    assert not context.ended, context.ended[0]


@when("the engine answers")
def step_answer(context):
    context.engine.answer()


@then('{count:d} items end as "{kind}"')
def step_check_ended(context, count, kind):
    assert _wait_until(lambda: len(context.ended) >= count), len(context.ended)
    # A second outcome could come from the timeout check, which runs twice per second.
    time.sleep(1.2)
    kinds = collections.Counter(outcome.kind.value for _, outcome in context.ended)
    assert kinds == {kind: count}, kinds
    assert len({attempt.attempt_id for attempt, _ in context.ended}) == count


@when("the calls are stopped once the engine has them")
def step_stop(context):
    assert _wait_until(lambda: len(context.engine.connections) == context.count)
    time.sleep(0.2)
    context.calls.stop()


@then("the engine sees all connections closed within {timeout_s:d} seconds")
def step_check_closed(context, timeout_s):
    end_s = time.monotonic() + timeout_s
    for connection in context.engine.connections:
        connection.settimeout(max(0.01, end_s - time.monotonic()))
        # Parts of the request may still be unread.
        while connection.recv(65536):
            continue
    assert not context.ended, context.ended[0]
