"""One attempt to run a batch item on an engine."""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

import result

from endivevane import utils
from endivevane.batch import items
from endivevane.configuration import snapshot
from endivevane.external import engine, http_pool

_CLASS_HEADERS = {
    "Content-Type": "application/json",
    "X-Endivevane-Class": "batch",
}
# Temporary statuses, or statuses of this attempt, that say nothing about the item. An
# engine returns 404 for a model that is being loaded and 409 for a known attempt.
_NOT_RUN_STATUSES = frozenset({404, 408, 409, 425, 429, 503})
_CANCELLED_STATUS = 499
_PROBE_TIMEOUT_S = 1.0


class Kind(enum.StrEnum):
    """How an attempt ended; also the outcome label of the metric."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of an attempt.

    :param status: HTTP status of ``ANSWERED`` and ``REJECTED``
    :param body: JSON body of such a response
    :param is_engine_crash: whether the engine crashed; only for ``BROKEN``
    """

    kind: Kind
    detail: str = ""
    status: int = 0
    body: typing.Any = None
    is_engine_crash: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """An item in flight to an engine.

    :param job_id: job of the item
    :param number: chunk of the item
    :param broken_attempts: earlier attempts that broke off
    :param refusals: earlier attempts that were refused before they ran
    :param is_exclusive: whether no other batch item may run on the target meanwhile
    :param fingerprint: digest of the call for the quarantine
    :param engine_crashes: engines that crashed during earlier attempts
    :param withdrawn: set when the item must not be sent or must stop
    """

    attempt_id: str
    job_id: str
    number: int
    item: items.Item
    target: snapshot.Target
    started_s: float
    broken_attempts: int
    refusals: int
    is_exclusive: bool
    fingerprint: str
    engine_crashes: int
    withdrawn: threading.Event = dataclasses.field(default_factory=threading.Event)


def send(pool: http_pool.HttpPool, attempt: Attempt) -> http_pool.SentCall | Outcome:
    """Send the item, or return the outcome when the attempt ends before that.

    Each call opens a new connection: the pool resends a request whose reused
    connection broke, so an item that crashes engines would run twice per attempt.
    """
    if attempt.withdrawn.is_set():
        return Outcome(Kind.WITHDRAWN)
    body = utils.encode_json({**attempt.item.decode_body(), "stream": False})
    headers = {**_CLASS_HEADERS, "X-Request-Id": attempt.attempt_id}
    outcome = pool.send("POST", items.ENDPOINT, body, headers)
    if isinstance(outcome, result.Err):
        return _interpret_error(pool, attempt, outcome.err_value)
    return outcome.ok_value


def receive(
    pool: http_pool.HttpPool,
    call: http_pool.SentCall,
    attempt: Attempt,
    timeout_s: float,
) -> Outcome:
    """Read the response to an item.

    :param timeout_s: timeout of each read
    """
    outcome = call.receive(timeout_s)
    if isinstance(outcome, result.Err):
        return _interpret_error(pool, attempt, outcome.err_value)
    return _interpret(attempt, outcome.ok_value)


def make_timeout_outcome(attempt: Attempt, timeout_s: float) -> Outcome:
    """Return the outcome of an attempt without a response within the timeout."""
    if attempt.withdrawn.is_set():
        return Outcome(Kind.WITHDRAWN)
    return Outcome(
        Kind.BROKEN, f"{attempt.target.name} did not respond within {timeout_s:g} s"
    )


def cancel(pool: http_pool.HttpPool, attempt: Attempt) -> None:
    """Cancel the item at the engine, which ends the attempt.

    The cancel may arrive before the request, so callers repeat it until the attempt
    has ended.
    """
    engine.EngineClient(pool).cancel_stream(attempt.attempt_id)


def _interpret_error(
    pool: http_pool.HttpPool, attempt: Attempt, error: http_pool.TransportError
) -> Outcome:
    if attempt.withdrawn.is_set():
        return Outcome(Kind.WITHDRAWN)
    if error.stage is http_pool.Stage.CONNECT:
        return Outcome(Kind.UNREACHABLE, error.format_message())
    is_engine_crash = _is_engine_down(pool)
    return Outcome(Kind.BROKEN, error.format_message(), is_engine_crash=is_engine_crash)


def _is_engine_down(pool: http_pool.HttpPool) -> bool:
    """Tell whether an engine whose connection broke fails a probe too.

    A terminating process may close its connections before its listening socket, so the
    probe sends a request: connecting alone may still succeed.
    """
    outcome = pool.request(
        "GET", "/v1/load", timeout_s=_PROBE_TIMEOUT_S, is_repeatable=False
    )
    return isinstance(outcome, result.Err)


def _interpret(attempt: Attempt, response: http_pool.Response) -> Outcome:
    status = response.status
    if status == _CANCELLED_STATUS:
        kind = Kind.WITHDRAWN if attempt.withdrawn.is_set() else Kind.REFUSED
        return Outcome(kind, "cancelled at the engine")
    try:
        body = utils.decode_json(response.body)
    except ValueError:
        body = None
    if status == 200 and isinstance(body, dict):
        return Outcome(Kind.ANSWERED, "", status, body)
    detail = f"{attempt.target.name} returned status {status}"
    if status in _NOT_RUN_STATUSES:
        return Outcome(Kind.REFUSED, detail)
    if 400 <= status < 500:
        return Outcome(Kind.REJECTED, detail, status, body)
    return Outcome(Kind.BROKEN, detail)
