"""One attempt of a batch item at an engine."""

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
# Statuses that speak of the moment or of this attempt rather than of the item. An
# engine answers 404 for a model that is being loaded and 409 for a known attempt.
_NOT_RUN_STATUSES = frozenset({404, 408, 409, 425, 429, 503})
_CANCELLED_STATUS = 499
_PROBE_TIMEOUT_S = 1.0


class Kind(enum.StrEnum):
    """How an attempt ended; also the outcome label of the metrics."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt.

    :param status: HTTP status of ``ANSWERED`` and ``REJECTED``
    :param body: JSON body of these
    :param is_death: whether the engine died, of ``BROKEN``
    """

    kind: Kind
    detail: str = ""
    status: int = 0
    body: typing.Any = None
    is_death: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """An item on its way to an engine.

    :param job_id: job of the item
    :param number: chunk of the item
    :param is_exclusive: whether no other batch item may run at the target meanwhile
    :param fingerprint: digest of the call for the quarantine
    :param deaths: engines that died under earlier attempts
    :param withdrawn: set when the item must not run (any more)
    """

    attempt_id: str
    job_id: str
    number: int
    item: items.Item
    target: snapshot.Target
    started_s: float
    breaks: int
    refusals: int
    is_exclusive: bool
    fingerprint: str
    deaths: int
    withdrawn: threading.Event = dataclasses.field(default_factory=threading.Event)


def send(pool: http_pool.HttpPool, attempt: Attempt) -> http_pool.SentCall | Outcome:
    """Send the item, unless it ends before.

    A new connection is used each time: the pool would resend a request whose reused
    connection broke, and an item that crashes engines would run twice per attempt.
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
    """Read the answer of an item.

    :param timeout_s: limit for each wait for bytes
    """
    outcome = call.receive(timeout_s)
    if isinstance(outcome, result.Err):
        return _interpret_error(pool, attempt, outcome.err_value)
    return _interpret(attempt, outcome.ok_value)


def give_up(attempt: Attempt, timeout_s: float) -> Outcome:
    """Return the outcome of an item whose answer did not come in time."""
    if attempt.withdrawn.is_set():
        return Outcome(Kind.WITHDRAWN)
    return Outcome(
        Kind.BROKEN, f"{attempt.target.name} gave no answer in {timeout_s:g} s"
    )


def cancel(pool: http_pool.HttpPool, attempt: Attempt) -> None:
    """Stop the item at the engine; the attempt then ends by itself.

    The call may come before the engine has seen the request, so it is repeated until
    the attempt has ended.
    """
    engine.EngineClient(pool).cancel_stream(attempt.attempt_id)


def _interpret_error(
    pool: http_pool.HttpPool, attempt: Attempt, error: http_pool.TransportError
) -> Outcome:
    if attempt.withdrawn.is_set():
        return Outcome(Kind.WITHDRAWN)
    if error.stage is http_pool.Stage.CONNECT:
        return Outcome(Kind.UNREACHABLE, error.format_message())
    is_death = _is_dead(pool)
    return Outcome(Kind.BROKEN, error.format_message(), is_death=is_death)


def _is_dead(pool: http_pool.HttpPool) -> bool:
    """Tell whether an engine whose connection broke answers no new one either.

    A process that ends may close its connections before its listening socket, so that
    the new one is opened and breaks as well.
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
    detail = f"{attempt.target.name} answered with status {status}"
    if status in _NOT_RUN_STATUSES:
        return Outcome(Kind.REFUSED, detail)
    if 400 <= status < 500:
        return Outcome(Kind.REJECTED, detail, status, body)
    return Outcome(Kind.BROKEN, detail)
