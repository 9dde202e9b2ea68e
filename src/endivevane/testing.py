"""Fakes of external systems, shared by tests of several packages."""

from __future__ import annotations

import collections
import copy
import dataclasses
import enum
import threading
from collections import abc

import result

from endivevane.coordination import store


class Fault(enum.StrEnum):
    """Fault injected into one call to the table store.

    ``LOST_BEFORE`` and ``LOST_AFTER`` both lose the answer, so the caller can't tell
    them apart: under the first the write is not applied, under the second it is.
    ``DELAYED`` is a write still in flight when the call times out; it is applied at
    the start of a later call if its conditions hold then. Reads fail as unavailable
    under every fault except ``OVERLOADED``.
    """

    DOWN = "down"
    OVERLOADED = "overloaded"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    DELAYED = "delayed"


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedTransaction:
    """A transaction that took effect."""

    operation_id: str
    revision: int
    writes: tuple[store.Write, ...]


@dataclasses.dataclass(slots=True)
class _DelayedTransaction:
    operation_id: str
    conditions: tuple[store.Condition, ...]
    writes: tuple[store.Write, ...]
    remaining_calls: int


class MemoryTableStore:
    """A thread-safe in-memory table store with fault injection.

    Implements :class:`store.TableStore`. Each call takes its fault from the script
    if entries remain, else from ``choose_fault``, else from ``is_down``.

    :param choose_fault: called with the kind: ``read``, ``scan`` or ``transact``
    :param retry_after_s: retry delay given in an overload error
    """

    def __init__(
        self,
        choose_fault: abc.Callable[[str], Fault | None] | None = None,
        retry_after_s: float = 1.0,
    ) -> None:
        self.choose_fault = choose_fault
        self.is_down = False
        self.history: list[AppliedTransaction] = []
        self.call_counts: collections.Counter[str] = collections.Counter()
        self._retry_after_s = retry_after_s
        self._rows: dict[tuple[str, str], store.Row] = {}
        self._revision = 0
        self._script: collections.deque[Fault | None] = collections.deque()
        self._delayed: list[_DelayedTransaction] = []
        self._delay_calls = 1
        self._lock = threading.RLock()

    def script(self, *faults: Fault | None, delay_calls: int = 1) -> None:
        """Script the faults of the next calls, one each; ``None`` for no fault.

        :param delay_calls: number of later calls before a delayed write is applied
        """
        with self._lock:
            self._script.extend(faults)
            self._delay_calls = delay_calls

    def apply_delayed(self) -> None:
        """Apply all delayed writes whose conditions still hold."""
        with self._lock:
            delayed, self._delayed = self._delayed, []
            for item in delayed:
                self._try_apply(item.operation_id, item.conditions, item.writes)

    def rows(self, table: str) -> dict[str, store.Row]:
        """Return the rows of a table by key, without fault injection."""
        with self._lock:
            return {
                key: copy.deepcopy(row)
                for (row_table, key), row in sorted(self._rows.items())
                if row_table == table
            }

    def count_writes(self, table: str, key: str) -> int:
        """Return how often a row was written or deleted."""
        with self._lock:
            return sum(
                (write.table, write.key) == (table, key)
                for transaction in self.history
                for write in transaction.writes
            )

    def read(
        self, table: str, key: str
    ) -> result.Result[store.Row | None, store.StoreError]:
        """Return a row, or ``None`` when it is absent."""
        with self._lock:
            fault = self._begin_call("read")
            if fault is not None:
                return result.Err(self._make_read_error(fault))
            return result.Ok(copy.deepcopy(self._rows.get((table, key))))

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> result.Result[list[store.Row], store.StoreError]:
        """Return rows whose key starts with the prefix and sorts after ``after``."""
        with self._lock:
            fault = self._begin_call("scan")
            if fault is not None:
                return result.Err(self._make_read_error(fault))
            keys = sorted(
                key
                for row_table, key in self._rows
                if row_table == table and key.startswith(prefix) and key > after
            )
            return result.Ok(
                [copy.deepcopy(self._rows[table, key]) for key in keys[:limit]]
            )

    def transact(
        self,
        operation_id: str,
        conditions: abc.Sequence[store.Condition],
        writes: abc.Sequence[store.Write],
    ) -> result.Result[int, store.StoreError]:
        """Apply all writes if all conditions hold; return the new revision."""
        copied_writes = tuple(copy.deepcopy(list(writes)))
        with self._lock:
            fault = self._begin_call("transact")
            if fault is Fault.DOWN:
                return result.Err(store.StoreUnavailable("scripted outage"))
            if fault is Fault.OVERLOADED:
                return result.Err(store.StoreOverloaded(self._retry_after_s))
            if fault is Fault.DELAYED:
                self._delayed.append(
                    _DelayedTransaction(
                        operation_id,
                        tuple(conditions),
                        copied_writes,
                        self._delay_calls,
                    )
                )
            if fault in (Fault.LOST_BEFORE, Fault.DELAYED):
                return result.Err(store.StoreOutcomeUnknown(operation_id, "lost"))
            outcome = self._try_apply(operation_id, conditions, copied_writes)
            if fault is Fault.LOST_AFTER:
                return result.Err(store.StoreOutcomeUnknown(operation_id, "lost"))
            return outcome

    def _begin_call(self, kind: str) -> Fault | None:
        """Count the call, apply due delayed writes and choose the fault."""
        self.call_counts[kind] += 1
        due = [item for item in self._delayed if item.remaining_calls <= 0]
        self._delayed = [item for item in self._delayed if item.remaining_calls > 0]
        for item in self._delayed:
            item.remaining_calls -= 1
        for item in due:
            self._try_apply(item.operation_id, item.conditions, item.writes)
        if self._script:
            return self._script.popleft()
        chosen = self.choose_fault(kind) if self.choose_fault is not None else None
        if chosen is None and self.is_down:
            return Fault.DOWN
        return chosen

    def _make_read_error(self, fault: Fault) -> store.StoreError:
        if fault is Fault.OVERLOADED:
            return store.StoreOverloaded(self._retry_after_s)
        return store.StoreUnavailable(f"scripted fault: {fault.value}")

    def _try_apply(
        self,
        operation_id: str,
        conditions: abc.Sequence[store.Condition],
        writes: abc.Sequence[store.Write],
    ) -> result.Result[int, store.StoreError]:
        conflicts: dict[tuple[str, str], store.Row | None] = {}
        for condition in conditions:
            row = self._rows.get((condition.table, condition.key))
            if (row.revision if row is not None else None) != condition.revision:
                conflicts[condition.table, condition.key] = copy.deepcopy(row)
        if conflicts:
            return result.Err(store.StoreConflict(conflicts))
        self._revision += 1
        for write in writes:
            if write.value is None:
                self._rows.pop((write.table, write.key), None)
                continue
            self._rows[write.table, write.key] = store.Row(
                write.table, write.key, copy.deepcopy(write.value), self._revision
            )
        self.history.append(
            AppliedTransaction(operation_id, self._revision, tuple(writes))
        )
        return result.Ok(self._revision)
