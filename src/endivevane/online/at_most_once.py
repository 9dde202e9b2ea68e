"""Claims and stored outcomes of calls that run at most once."""

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
# Threads that write outcomes, and limit of writes queued or running.
_WRITERS = 4
_MAX_PENDING_WRITES = 16
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
    """The idempotency key was used for a call with different content."""

    status, code = 422, "idempotency_key_reused"


def make_expired_error(expired: register.Expired) -> errors.OutcomeExpired:
    """Return the error for a call whose stored outcome has expired."""
    return errors.OutcomeExpired(
        "a call with this Idempotency-Key was accepted before and its outcome is no "
        "longer kept; it is not sent again",
        run_state=types.RunState.RAN
        if expired.has_run
        else types.RunState.MAY_HAVE_RUN,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The response of a target as it is forwarded and stored.

    :param headers: header names in lower case, without hop-by-hop headers
    """

    status: int
    headers: abc.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingAnswer:
    """A large response whose object could not be written yet."""

    claim: register.Claim
    answer: Answer


class ClaimLimiter:
    """Limits the number of concurrent claims.

    A table service that accepts calls and never answers would otherwise block all
    worker threads of the HTTP server, including those for calls that need no store.

    :param max_concurrent: maximum concurrent claims
    :param wait_s: how long a further claim waits for a permit
    """

    def __init__(
        self,
        call_register: register.Register,
        max_concurrent: int = 4,
        wait_s: float = 0.2,
    ) -> None:
        self._register = call_register
        self._wait_s = wait_s
        self._permits = threading.BoundedSemaphore(max_concurrent)

    def claim(
        self,
        organisation: str,
        key: str,
        digest: str,
        now_ms: int,
        may_continue: abc.Callable[[], bool],
    ) -> result.Result[register.ClaimResult, store.StoreError]:
        """Claim a key, see :meth:`register.Register.claim`."""
        if not self._permits.acquire(timeout=self._wait_s):
            return result.Err(store.StoreUnavailable("too many claims are waiting"))
        try:
            return self._register.claim(organisation, key, digest, now_ms, may_continue)
        finally:
            self._permits.release()


class OutcomeKeeper:
    """Stores responses in the register, retrying later what can't be stored now.

    Thread-safe. Writes run on separate threads, so that an unresponsive store delays
    the caller's response only briefly.

    :param max_pending_bytes: limit of bodies kept in memory while the object store is
        down
    :param store_timeout_s: how long a response waits for its outcome to be stored
    """

    def __init__(
        self,
        call_register: register.Register,
        object_client: objects.ObjectClient,
        max_pending_bytes: int = 8 << 20,
        store_timeout_s: float = 0.5,
    ) -> None:
        self._register = call_register
        self._objects = object_client
        self._max_pending_bytes = max_pending_bytes
        self._pending: collections.deque[_PendingAnswer] = collections.deque()
        self._pending_bytes = 0
        self._lock = threading.Lock()
        self._store_timeout_s = store_timeout_s
        self._writes = 0
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _WRITERS, thread_name_prefix="outcomes"
        )

    def keep(self, claim: register.Claim, answer: Answer) -> register.RecordStatus:
        """Store a response, now or later."""
        return self._run(claim, answer)

    def release(self, claim: register.Claim) -> register.RecordStatus:
        """Give up a claim whose call provably did not run, now or later."""
        return self._run(claim, None)

    def _run(
        self, claim: register.Claim, answer: Answer | None
    ) -> register.RecordStatus:
        """Write on an executor's thread and wait up to the store timeout."""
        with self._lock:
            has_room = self._writes < _MAX_PENDING_WRITES
            self._writes += has_room
        if not has_room:
            return self._write_later(claim, answer)
        future = self._executor.submit(self._write, claim, answer)
        try:
            return future.result(self._store_timeout_s)
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
            record_status = self._defer_upload(_PendingAnswer(claim, answer))
        else:
            record_status = self._register.defer(claim, _describe(claim, answer))
        if record_status is register.RecordStatus.LOST:
            logs.error("outcome_lost", key=claim.row_key)
        return record_status

    def _store(self, claim: register.Claim, answer: Answer) -> register.RecordStatus:
        if len(answer.body) > _MAX_INLINE_BYTES and not self._put(claim, answer):
            record_status = self._defer_upload(_PendingAnswer(claim, answer))
        else:
            record_status = self._register.record(claim, _describe(claim, answer))
        if record_status is register.RecordStatus.LOST:
            logs.error("outcome_lost", key=claim.row_key)
        return record_status

    def restore(
        self, outcome: abc.Mapping[str, typing.Any]
    ) -> result.Result[Answer, objects.ObjectStoreError]:
        """Return a stored response, or an error if its object can't be read."""
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
        """Try to store pending outcomes; return how many remain."""
        for _ in range(len(self._pending)):
            with self._lock:
                if not self._pending:
                    break
                pending = self._pending.popleft()
                self._pending_bytes -= len(pending.answer.body)
            if not self._put(pending.claim, pending.answer):
                self._defer_upload(pending)
                break
            self._register.record(
                pending.claim, _describe(pending.claim, pending.answer)
            )
        return self._register.flush() + len(self._pending)

    def _put(self, claim: register.Claim, answer: Answer) -> bool:
        outcome = self._objects.put(_name_object(claim), answer.body)
        return isinstance(outcome, result.Ok)

    def _defer_upload(self, pending: _PendingAnswer) -> register.RecordStatus:
        size_bytes = len(pending.answer.body)
        with self._lock:
            if self._pending_bytes + size_bytes > self._max_pending_bytes:
                return register.RecordStatus.LOST
            self._pending.append(pending)
            self._pending_bytes += size_bytes
            return register.RecordStatus.DEFERRED


def _describe(claim: register.Claim, answer: Answer) -> dict[str, typing.Any]:
    """Return the JSON object that represents a response in the register."""
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
    """Return the key of the object that may hold the body of a claim's response."""
    return f"register/{utils.digest_text(row_key)}/{claim_id}"


def _name_object(claim: register.Claim) -> str:
    """Return the object key of a large body, unique per claim."""
    return make_object_key(claim.row_key, claim.operation_id)
