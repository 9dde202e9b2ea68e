"""Outcomes of calls that run at most once: storing, replaying, waiting."""

from __future__ import annotations

import base64
import collections
import concurrent.futures
import dataclasses
import threading
import typing
from collections import abc

import result

from endivevane import logs, types, utils
from endivevane.coordination import register, store
from endivevane.external import objects
from endivevane.web import errors

# Rows of the table service stay small; larger bodies go to the object store.
_MAX_INLINE_BYTES = 64 << 10
# Threads that write outcomes, and writes that may wait for them.
_WRITERS = 4
_MAX_WRITES = 16
_KEPT_HEADERS = (
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
)


class KeyReused(errors.InvalidRequest):
    """The idempotency key belongs to a call with another content."""

    status, code = 422, "idempotency_key_reused"


def make_expired_error(sight: register.Expired) -> errors.OutcomeExpired:
    """Return the answer to a call whose outcome is being deleted."""
    return errors.OutcomeExpired(
        "a call with this Idempotency-Key was accepted before and its outcome is no "
        "longer kept; it is not sent again",
        run_state=types.RunState.RAN if sight.has_run else types.RunState.MAY_HAVE_RUN,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer of a target as it is passed on and stored.

    :param headers: header names in lower case, without hop-by-hop headers
    """

    status: int
    headers: abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A large answer whose object could not be written yet."""

    claim: register.Claim
    answer: Answer


class ClaimGate:
    """Claims keys on a few threads at a time.

    A table service that accepts calls and never answers would otherwise hold all
    worker threads of the HTTP server, and with them the calls that need no store.

    :param max_concurrent: claims under way at a time
    :param wait_s: how long a further claim waits for its turn
    """

    def __init__(
        self,
        call_register: register.Register,
        max_concurrent: int = 4,
        wait_s: float = 0.2,
    ) -> None:
        self._register = call_register
        self._wait_s = wait_s
        self._turns = threading.BoundedSemaphore(max_concurrent)

    def claim(
        self,
        organisation: str,
        key: str,
        digest: str,
        now_ms: int,
        may_continue: abc.Callable[[], bool],
    ) -> result.Result[register.ClaimResult, store.StoreError]:
        """Claim a key, see :meth:`register.Register.claim`."""
        if not self._turns.acquire(timeout=self._wait_s):
            return result.Err(store.StoreUnavailable("too many claims are waiting"))
        try:
            return self._register.claim(organisation, key, digest, now_ms, may_continue)
        finally:
            self._turns.release()


class OutcomeKeeper:
    """Stores answers in the register, and later what can't be stored now.

    Thread-safe. The writes run on threads of their own, because the caller gets its
    answer soon even when the store is silent.

    :param max_waiting_bytes: bodies kept in memory while the object store is down
    :param patience_s: how long an answer is held back until it is stored
    """

    def __init__(
        self,
        call_register: register.Register,
        object_client: objects.ObjectClient,
        max_waiting_bytes: int = 8 << 20,
        patience_s: float = 0.5,
    ) -> None:
        self._register = call_register
        self._objects = object_client
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._waiting_bytes = 0
        self._lock = threading.Lock()
        self._patience_s = patience_s
        self._writes = 0
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _WRITERS, thread_name_prefix="outcomes"
        )

    def keep(self, claim: register.Claim, answer: Answer) -> register.RecordStatus:
        """Store an answer, now or later."""
        return self._run(claim, answer)

    def release(self, claim: register.Claim) -> register.RecordStatus:
        """Give up a claim whose call provably did not run, now or later."""
        return self._run(claim, None)

    def _run(
        self, claim: register.Claim, answer: Answer | None
    ) -> register.RecordStatus:
        """Write on an executor's thread and wait for a short time only."""
        with self._lock:
            has_room = self._writes < _MAX_WRITES
            self._writes += has_room
        if not has_room:
            return self._write_later(claim, answer)
        future = self._executor.submit(self._write, claim, answer)
        try:
            return future.result(self._patience_s)
        except concurrent.futures.TimeoutError:
            return register.RecordStatus.DEFERRED

    def _write(
        self, claim: register.Claim, answer: Answer | None
    ) -> register.RecordStatus:
        try:
            if answer is None:
                return self._register.release(claim)
            return self._store(claim, answer)
        except Exception as error:
            logs.error("outcome_failed", key=claim.row_key, error=repr(error))
            raise
        finally:
            with self._lock:
                self._writes -= 1

    def _write_later(
        self, claim: register.Claim, answer: Answer | None
    ) -> register.RecordStatus:
        if answer is None:
            return self._register.defer(claim, None)
        if len(answer.body) > _MAX_INLINE_BYTES:
            recording = self._put_off(_Waiting(claim, answer))
        else:
            recording = self._register.defer(claim, _describe(claim, answer))
        if recording is register.RecordStatus.LOST:
            logs.error("outcome_lost", key=claim.row_key)
        return recording

    def _store(self, claim: register.Claim, answer: Answer) -> register.RecordStatus:
        if len(answer.body) > _MAX_INLINE_BYTES and not self._put(claim, answer):
            recording = self._put_off(_Waiting(claim, answer))
        else:
            recording = self._register.record(claim, _describe(claim, answer))
        if recording is register.RecordStatus.LOST:
            logs.error("outcome_lost", key=claim.row_key)
        return recording

    def restore(
        self, outcome: abc.Mapping[str, typing.Any]
    ) -> result.Result[Answer, objects.ObjectStoreError]:
        """Return a stored answer; an error when its object can't be read."""
        name = outcome.get("object")
        if name is None:
            body = base64.b64decode(outcome["body"])
            return result.Ok(Answer(outcome["status"], outcome["headers"], body))
        reading = self._objects.get(name)
        if isinstance(reading, result.Err):
            return reading
        return result.Ok(
            Answer(outcome["status"], outcome["headers"], reading.ok_value)
        )

    def flush(self) -> int:
        """Try to store what waits; return how much still does."""
        for _ in range(len(self._waiting)):
            with self._lock:
                if not self._waiting:
                    break
                waiting = self._waiting.popleft()
                self._waiting_bytes -= len(waiting.answer.body)
            if not self._put(waiting.claim, waiting.answer):
                self._put_off(waiting)
                break
            self._register.record(
                waiting.claim, _describe(waiting.claim, waiting.answer)
            )
        return self._register.flush() + len(self._waiting)

    def _put(self, claim: register.Claim, answer: Answer) -> bool:
        outcome = self._objects.put(_name_object(claim), answer.body)
        return isinstance(outcome, result.Ok)

    def _put_off(self, waiting: _Waiting) -> register.RecordStatus:
        size_bytes = len(waiting.answer.body)
        with self._lock:
            if self._waiting_bytes + size_bytes > self._max_waiting_bytes:
                return register.RecordStatus.LOST
            self._waiting.append(waiting)
            self._waiting_bytes += size_bytes
            return register.RecordStatus.DEFERRED


def _describe(claim: register.Claim, answer: Answer) -> dict[str, typing.Any]:
    """Return the JSON object that stands for an answer in the register."""
    outcome: dict[str, typing.Any] = {
        "status": answer.status,
        "headers": {
            name: value
            for name, value in answer.headers.items()
            if name in _KEPT_HEADERS
        },
    }
    if len(answer.body) > _MAX_INLINE_BYTES:
        outcome["object"] = _name_object(claim)
    else:
        outcome["body"] = base64.b64encode(answer.body).decode()
    return outcome


def make_object_key(row_key: str, claim_id: str) -> str:
    """Return the key of the object that may hold the body of a claim's answer."""
    return f"register/{utils.digest_text(row_key)}/{claim_id}"


def _name_object(claim: register.Claim) -> str:
    """Return the key of a large body; the claim makes it unique."""
    return make_object_key(claim.row_key, claim.operation_id)
