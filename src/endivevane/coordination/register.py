"""Idempotency-key register that lets a call run at most once per key."""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading
import typing
from collections import abc

import result

from endivevane.coordination import store

TABLE = "register"
CLAIMED, DONE, EXPIRED = "claimed", "done", "expired"
_DEFAULT_BACKLOG = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to send a call once.

    :param revision: row revision of the claim, ``None`` while it is unknown
    """

    row_key: str
    digest: str
    claimed_ms: int
    operation_id: str
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The call was completed before, with this stored outcome."""

    outcome: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The key is claimed and no outcome is stored.

    :param claimed_ms: wall time of the claim, by the claimer's clock
    """

    claimed_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The call was accepted before, and its record is being deleted.

    :param has_run: whether an outcome was stored
    """

    has_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The key belongs to a call with different content."""


ClaimResult = Claim | Finished | MayHaveRun | Expired | KeyReused


class RecordStatus(enum.StrEnum):
    """Whether an outcome or a release was stored, deferred or lost."""

    STORED = "stored"
    DEFERRED = "later"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A change of a claimed row; ``outcome`` is ``None`` for a release."""

    claim: Claim
    outcome: dict[str, typing.Any] | None


class Register:
    """Claims keys before calls are sent and stores the outcomes.

    Only the caller of :meth:`claim` that gets a :class:`Claim` may send, and it sends
    once. If a process dies after its claim, the key stays ``MayHaveRun`` until its
    retention ends, because nobody can tell whether the call was sent. Thread-safe.

    :param table_store: the store of the rows
    :param make_operation_id: returns a new unique id
    :param backlog_size: maximum number of changes deferred while the store is down
    """

    def __init__(
        self,
        table_store: store.TableStore,
        make_operation_id: abc.Callable[[], str],
        backlog_size: int = _DEFAULT_BACKLOG,
    ) -> None:
        self._store = table_store
        self._make_operation_id = make_operation_id
        self._backlog_size = backlog_size
        self._backlog: collections.deque[_Change] = collections.deque()
        self._lock = threading.Lock()

    def claim(
        self,
        organisation: str,
        key: str,
        digest: str,
        now_ms: int,
        may_continue: abc.Callable[[], bool] = lambda: True,
    ) -> result.Result[ClaimResult, store.StoreError]:
        """Claim a key, or return the state of the existing claim.

        :param digest: digest of the call's content
        :param now_ms: wall time, stored for information only
        :param may_continue: returns whether there is time to resolve a lost answer
        :returns: an error when the key is not claimed for the caller, who must not
            send; nothing was run on its behalf
        """
        claim = Claim(
            row_key=f"{organisation}/{key}",
            digest=digest,
            claimed_ms=now_ms,
            operation_id=self._make_operation_id(),
            revision=None,
        )
        condition = store.Condition(TABLE, claim.row_key, None)
        outcome = store.transact_with_readback(
            self._store,
            claim.operation_id,
            [condition],
            [store.Write(TABLE, claim.row_key, _make_value(claim, None))],
            may_continue=may_continue,
        )
        if isinstance(outcome, result.Ok):
            return result.Ok(dataclasses.replace(claim, revision=outcome.ok_value))
        error = outcome.err_value
        if isinstance(error, store.StoreConflict):
            return self._interpret_conflict(error, claim)
        if isinstance(error, store.StoreOutcomeUnknown):
            # The row may exist although no call will be sent: release the key later.
            self._enqueue(_Change(claim, None))
        return result.Err(error)

    def record(self, claim: Claim, outcome: dict[str, typing.Any]) -> RecordStatus:
        """Store the outcome of a call, now or later.

        :param outcome: JSON object that later claims of the key return
        """
        return self._apply_or_defer(_Change(claim, outcome))

    def release(self, claim: Claim) -> RecordStatus:
        """Release a claim whose call provably did not run, now or later."""
        return self._apply_or_defer(_Change(claim, None))

    def defer(
        self, claim: Claim, outcome: dict[str, typing.Any] | None
    ) -> RecordStatus:
        """Defer an outcome without calling the store.

        :param outcome: ``None`` releases the claim
        """
        return self._enqueue(_Change(claim, outcome))

    def flush(self) -> int:
        """Apply the deferred changes and return the number still pending.

        Stops at the first failure, because the store is then down.
        """
        for _ in range(self.count_pending()):
            with self._lock:
                if not self._backlog:
                    break
                change = self._backlog.popleft()
            if not self._apply(change):
                with self._lock:
                    self._backlog.appendleft(change)
                break
        return self.count_pending()

    def count_pending(self) -> int:
        """Return the number of deferred changes."""
        with self._lock:
            return len(self._backlog)

    def _interpret_conflict(
        self, error: store.StoreConflict, claim: Claim
    ) -> result.Result[ClaimResult, store.StoreError]:
        """Map the existing row of a key to the result of a claim."""
        row = error.rows.get((TABLE, claim.row_key))
        if row is None:
            # The key was released between the write and the answer.
            return result.Err(store.StoreUnavailable("the claim changed; try again"))
        if row.value["digest"] != claim.digest:
            return result.Ok(KeyReused())
        if row.value["state"] == DONE:
            return result.Ok(Finished(row.value["outcome"]))
        if row.value["state"] == EXPIRED:
            return result.Ok(Expired(row.value["has_run"]))
        return result.Ok(MayHaveRun(row.value["claimed_ms"]))

    def _apply_or_defer(self, change: _Change) -> RecordStatus:
        if self._apply(change):
            return RecordStatus.STORED
        return self._enqueue(change)

    def _enqueue(self, change: _Change) -> RecordStatus:
        with self._lock:
            if len(self._backlog) >= self._backlog_size:
                return RecordStatus.LOST
            self._backlog.append(change)
            return RecordStatus.DEFERRED

    def _apply(self, change: _Change) -> bool:
        """Apply a change; return whether nothing is left to do."""
        claim = change.claim
        revision = claim.revision
        if revision is None:
            reading = self._store.read(TABLE, claim.row_key)
            if isinstance(reading, result.Err):
                return False
            row = reading.ok_value
            if row is None or not _is_own_claim(row, claim):
                return True
            revision = row.revision
        if change.outcome is None:
            return self._delete(claim, revision)
        outcome = store.transact_with_readback(
            self._store,
            f"{claim.operation_id}.outcome",
            [store.Condition(TABLE, claim.row_key, revision)],
            [store.Write(TABLE, claim.row_key, _make_value(claim, change.outcome))],
        )
        # A conflict is permanent, so a retry would not help.
        return isinstance(outcome, result.Ok) or isinstance(
            outcome.err_value, store.StoreConflict
        )

    def _delete(self, claim: Claim, revision: int) -> bool:
        """Delete a claimed row; the revision condition makes this idempotent."""
        outcome = self._store.transact(
            f"{claim.operation_id}.release",
            [store.Condition(TABLE, claim.row_key, revision)],
            [store.Write(TABLE, claim.row_key, None)],
        )
        return isinstance(outcome, result.Ok) or isinstance(
            outcome.err_value, store.StoreConflict
        )


def _make_value(
    claim: Claim, outcome: dict[str, typing.Any] | None
) -> dict[str, typing.Any]:
    value: dict[str, typing.Any] = {
        "state": CLAIMED if outcome is None else DONE,
        "digest": claim.digest,
        "claimed_ms": claim.claimed_ms,
        "claim_id": claim.operation_id,
    }
    if outcome is not None:
        value["outcome"] = outcome
    return value


def make_expired_value(value: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the value of a row whose outcome is being deleted."""
    return {
        "state": EXPIRED,
        "digest": value["digest"],
        "claimed_ms": value["claimed_ms"],
        "claim_id": value["claim_id"],
        "has_run": value["state"] == DONE,
    }


def _is_own_claim(row: store.Row, claim: Claim) -> bool:
    is_claimed: bool = row.value["state"] == CLAIMED
    return is_claimed and row.value["claim_id"] == claim.operation_id
