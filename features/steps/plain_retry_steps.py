import concurrent.futures
import random
import socket
import threading

import result
from behave import given, then, when
from werkzeug import test, wrappers

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import http_pool
from endivevane.online import forward, plain_targets
from endivevane.web import app, errors
from features.support import scheduling

_ANY_PORT = ("127.0.0.1", 0)
_LIMITS = http_pool.PoolSettings()


class _AnsweringPool:
    def request(self, *_arguments, **_options):
        return result.Ok(http_pool.Response(200, {}, b"{}"))


class _BreakingPool:
    def request(self, *_arguments, **_options):
        address = types.Address("127.0.0.1", 1)
        stage = http_pool.Stage.RESPONSE
        return result.Err(http_pool.TransportError(address, stage, "closed"))


class _FailingTarget(plain_targets.PlainTargets):
    """Calls at one target fail; no attempt ends before all calls have begun."""

    def __init__(self, name, make_pool, count):
        super().__init__(scheduling.PLACE, clock.SystemClock(), random.Random(7))
        self._name = name
        self._make_failing_pool = make_pool
        self._begun = threading.Barrier(count)
        self._local = threading.local()
        self.failures = []

    def get_pool(self, target):
        if not getattr(self._local, "has_begun", False):
            self._local.has_begun = True
            self._begun.wait(10)
        if target.name != self._name:
            return _AnsweringPool()
        self.failures.append(target)
        return self._make_failing_pool()


@given("a plain service with 2 targets of {slots:d} slots")
def step_service(context, slots):
    route = {"path": "/status", "methods": ["GET"], "idempotent": True}
    targets = [scheduling.make_target(name, slots=slots) for name in ("t1", "t2")]
    changes = {"type": "plain", "models": [], "routes": [route]}
    context.snapshot = scheduling.make_snapshot(targets, service=changes)


@when('{count:d} calls are sent at once and those at "{name}" can\'t connect')
def step_call_unreachable(context, count, name):
    with socket.socket() as unused:
        # Bound and not listening: connections are refused.
        unused.bind(_ANY_PORT)
        address = types.Address(*unused.getsockname())
        _call_many(context, count, name, lambda: http_pool.HttpPool(address, _LIMITS))


@when(
    '{count:d} calls are sent at once and those at "{name}" break after they were sent'
)
def step_call_breaking(context, count, name):
    _call_many(context, count, name, _BreakingPool)


def _call_many(context, count, name, make_pool):
    targets = _FailingTarget(name, make_pool, count)
    forwarder = forward.Forwarder(targets, None, None, clock.SystemClock(), 1000)
    handler = forwarder.routes()[0].handler
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        calls = [
            executor.submit(_call, handler, context.snapshot, number)
            for number in range(count)
        ]
        context.outcomes = [call.result() for call in calls]
    context.failure_count = len(targets.failures)


def _call(handler, current, number):
    request = wrappers.Request(test.EnvironBuilder(method="GET").get_environ())
    owner = snapshot.KeyOwner("acme", types.Role.CALLER, "key")
    arguments = {"name": "answers", "rest": "status"}
    try:
        return handler(
            app.Call(request, arguments, f"r{number}", owner, current)
        ).status_code
    except errors.ApiError as error:
        return f"{error.status}: {error.message}"


@then("{least:d} or more of them could not connect, and all are answered with 200")
def step_check_answered(context, least):
    assert context.failure_count >= least, context.failure_count
    assert set(context.outcomes) == {200}, context.outcomes


@then("{least:d} or more of them broke, and at most {most:d} of these were sent again")
def step_check_budget(context, least, most):
    assert context.failure_count >= least, context.failure_count
    refused = [item for item in context.outcomes if item != 200]
    assert context.failure_count - len(refused) <= most, context.outcomes
    assert all("retry budget" in item for item in refused), refused


@when("a target ends after it got a call on a kept connection")
def step_end_target(context):
    with socket.create_server(_ANY_PORT) as server:
        pool = http_pool.HttpPool(types.Address(*server.getsockname()), _LIMITS)
        target = threading.Thread(target=_answer_once, args=(server,))
        target.start()
        assert pool.request("GET", "/").unwrap().status == 200
        context.outcome = pool.request("GET", "/")
        target.join(10)


def _answer_once(server):
    connection, _ = server.accept()
    with connection:
        connection.recv(4096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        connection.recv(4096)
        server.close()


@then("the call fails at connect and counts as sent")
def step_check_sent(context):
    error = context.outcome.unwrap_err()
    assert error.stage is http_pool.Stage.CONNECT, error.format_message()
    assert not error.is_unsent
