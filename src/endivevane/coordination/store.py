"""Interface of the transactional table store."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

import result

from endivevane import exceptions

OPERATION_ID_FIELD = "operation_id"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table service.

    :param table: name of the table
    :param key: key in the table
    :param value: JSON object
    :param revision: revision of the transaction that last wrote the row
    """

    table: str
    key: str
    value: dict[str, typing.Any]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Precondition on one row for a transaction to apply.

    :param revision: revision that the row must have; ``None`` requires its absence
    """

    table: str
    key: str
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A change of one row.

    :param value: new value; ``None`` deletes the row
    """

    table: str
    key: str
    value: dict[str, typing.Any] | None


class StoreError(exceptions.EndivevaneError):
    """A call to the table service failed."""


class StoreConflict(StoreError):
    """A condition did not hold; nothing was applied.

    :param rows: the current rows of the failed conditions; ``None`` for absent ones
    """

    def __init__(self, rows: dict[tuple[str, str], Row | None]) -> None:
        super().__init__()
        self.rows = rows

    def format_message(self) -> str:
        """Return a message with the keys that did not match."""
        keys = ", ".join(f"{table}/{key}" for table, key in self.rows)
        return f"condition failed on {keys}"


class StoreUnavailable(StoreError):
    """The table service can't be reached; nothing was applied.

    :param detail: what happened
    """

    def __init__(self, detail: str) -> None:
        super().__init__()
        self.detail = detail

    def format_message(self) -> str:
        """Return a message with the cause."""
        return f"table service unavailable: {self.detail}"


class StoreOverloaded(StoreError):
    """The table service refused the call by its rate limit; nothing was applied.

    :param retry_after_s: time to wait before a retry
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__()
        self.retry_after_s = retry_after_s

    def format_message(self) -> str:
        """Return a message with the time to wait before a retry."""
        return f"table service overloaded, retry after {self.retry_after_s:g} s"


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; it may have taken effect.

    :param operation_id: id to find in the written row
    :param detail: cause of the failure
    """

    def __init__(self, operation_id: str, detail: str) -> None:
        super().__init__()
        self.operation_id = operation_id
        self.detail = detail

    def format_message(self) -> str:
        """Return a message with the operation and the cause."""
        return f"outcome of operation {self.operation_id} unknown: {self.detail}"


class TableStore(typing.Protocol):
    """Reads and conditional writes of the table service."""

    def read(self, table: str, key: str) -> result.Result[Row | None, StoreError]:
        """Return a row, or ``None`` when it is absent."""

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> result.Result[list[Row], StoreError]:
        """Return rows whose key starts with the prefix and sorts after ``after``."""

    def transact(
        self,
        operation_id: str,
        conditions: abc.Sequence[Condition],
        writes: abc.Sequence[Write],
    ) -> result.Result[int, StoreError]:
        """Apply all writes if all conditions hold; return the new revision."""


def transact_with_readback(
    store: TableStore,
    operation_id: str,
    conditions: abc.Sequence[Condition],
    writes: abc.Sequence[Write],
    attempts: int = 3,
    may_continue: abc.Callable[[], bool] = lambda: True,
) -> result.Result[int, StoreError]:
    """Run a transaction and resolve lost answers by reading back.

    The first write must not delete its row: it carries the operation id, by which a
    read finds out whether the transaction took effect. Resending is safe because the
    conditions name exact revisions: a transaction that took effect fails its own
    conditions.

    :param attempts: maximum number of times that the transaction is sent
    :param may_continue: returns after a lost answer whether there is time to resolve it
    :returns: the revision; or the last error, where ``StoreOutcomeUnknown`` means
        that reading back failed too
    """
    marker = writes[0]
    if marker.value is None:
        raise ValueError("the first write must carry a value")
    stamped = [_stamp_write(write, operation_id) for write in writes]
    unknown = False
    last_error: StoreError = StoreOutcomeUnknown(operation_id, "not sent")
    for _ in range(attempts):
        outcome = store.transact(operation_id, conditions, stamped)
        if isinstance(outcome, result.Ok):
            return outcome
        error = outcome.err_value
        if isinstance(error, StoreConflict) and unknown:
            return _resolve_conflict(store, operation_id, marker, error)
        if not isinstance(error, StoreOutcomeUnknown):
            # If an earlier attempt has an unknown outcome, so has the transaction.
            return result.Err(last_error if unknown else error)
        unknown = True
        last_error = error
        if not may_continue():
            break
        resolved = _find_operation(store, operation_id, marker)
        if isinstance(resolved, result.Ok) and resolved.ok_value is not None:
            return result.Ok(resolved.ok_value)
        if not may_continue():
            break
    return result.Err(last_error)


def _stamp_write(write: Write, operation_id: str) -> Write:
    """Return the write with the operation id in its value."""
    if write.value is None:
        return write
    value = {**write.value, OPERATION_ID_FIELD: operation_id}
    return dataclasses.replace(write, value=value)


def _find_operation(
    store: TableStore, operation_id: str, marker: Write
) -> result.Result[int | None, StoreError]:
    """Return the revision of the marker row if this operation wrote it."""
    reading = store.read(marker.table, marker.key)
    if isinstance(reading, result.Err):
        return reading
    row = reading.ok_value
    if row is None or row.value.get(OPERATION_ID_FIELD) != operation_id:
        return result.Ok(None)
    return result.Ok(row.revision)


def _resolve_conflict(
    store: TableStore, operation_id: str, marker: Write, error: StoreConflict
) -> result.Result[int, StoreError]:
    """Distinguish a conflict with our own earlier attempt from a real one."""
    resolved = _find_operation(store, operation_id, marker)
    if isinstance(resolved, result.Err):
        return result.Err(
            StoreOutcomeUnknown(operation_id, resolved.err_value.format_message())
        )
    if resolved.ok_value is not None:
        return result.Ok(resolved.ok_value)
    return result.Err(error)
