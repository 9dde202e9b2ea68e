"""Rate-limited store calls of the sweepers; a failed call aborts the sweep."""

from __future__ import annotations

import typing
from collections import abc

import result

from endivevane import exceptions, metrics, utils
from endivevane.batch import ports
from endivevane.coordination import store
from endivevane.retention import pacing, shards

_PAGE_SIZE = 100


def _is_always_due() -> bool:
    return True


class SweepAborted(exceptions.EndivevaneError):
    """A call of a sweep failed; a later sweep resumes from the state of the rows.

    :param cause: the error of the table service or object store
    """

    def __init__(self, cause: exceptions.EndivevaneError) -> None:
        super().__init__()
        self.cause = cause

    def format_message(self) -> str:
        """Return the message of the cause."""
        return self.cause.format_message()


class PlatformCalls:
    """Reads, writes conditionally and deletes within the budget.

    :raises SweepAborted: by all calls, when the platform fails or an outcome is unknown
    :raises pacing.SweepStopped: by all calls, when the daemon is stopping
    """

    def __init__(
        self,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        pacer: pacing.Pacer,
    ) -> None:
        self._store = table_store
        self._objects = object_store
        self._pacer = pacer

    def scan(self, shard: shards.Shard) -> abc.Iterator[store.Row]:
        """Yield the rows of a shard in order of their keys."""
        after = ""
        while True:
            self._pacer.acquire(pacing.BudgetKind.ROWS_READ, 1)
            page = _unwrap(
                self._store.scan(shard.table, shard.prefix, after, _PAGE_SIZE)
            )
            self._pacer.acquire(pacing.BudgetKind.ROWS_READ, len(page))
            for row in page:
                after = row.key
                resume_key = shard.find_resume_key(row.key)
                if resume_key is not None:
                    after = resume_key
                    break
                yield row
            else:
                if len(page) < _PAGE_SIZE:
                    return

    def write(
        self,
        row: store.Row,
        value: dict[str, typing.Any],
        is_due: abc.Callable[[], bool] = _is_always_due,
    ) -> store.Row | None:
        """Replace a row if it has not changed.

        :param is_due: called after the wait for the budget, which may take minutes,
            since a longer retention period may have been published meanwhile
        :returns: the new row; ``None`` when the row has changed or the write is no
            longer due
        """
        self._pacer.acquire(pacing.BudgetKind.ROWS_WRITTEN, 1)
        if not is_due():
            return None
        outcome = store.transact_with_readback(
            self._store,
            utils.make_id("retention"),
            [store.Condition(row.table, row.key, row.revision)],
            [store.Write(row.table, row.key, value)],
        )
        revision = _unwrap_write(outcome)
        if revision is None:
            return None
        return store.Row(row.table, row.key, value, revision)

    def delete_rows(
        self,
        rows: abc.Sequence[store.Row],
        kind: str,
        guard: store.Row | None = None,
        is_due: abc.Callable[[], bool] = _is_always_due,
    ) -> bool:
        """Delete rows in one transaction if none of them has changed.

        :param guard: a further row that must not have changed
        :param is_due: see :meth:`write`
        :returns: whether they were deleted
        """
        self._pacer.acquire(pacing.BudgetKind.ROWS_WRITTEN, len(rows))
        if not is_due():
            return False
        checked = [*rows, guard] if guard is not None else rows
        outcome = self._store.transact(
            utils.make_id("retention"),
            [store.Condition(item.table, item.key, item.revision) for item in checked],
            [store.Write(item.table, item.key, None) for item in rows],
        )
        is_applied = _unwrap_write(outcome) is not None
        if is_applied:
            metrics.RETENTION_DELETED.labels(kind).inc(len(rows))
        return is_applied

    def list_objects(self, prefix: str) -> list[str]:
        """Return the keys of the objects with a prefix."""
        self._pacer.acquire(pacing.BudgetKind.OBJECT_CALLS, 1)
        return [item.key for item in _unwrap(self._objects.list(prefix))]

    def delete_object(self, key: str, kind: str) -> None:
        """Delete an object; it may be missing."""
        self._pacer.acquire(pacing.BudgetKind.OBJECT_CALLS, 1)
        _unwrap(self._objects.delete(key))
        metrics.RETENTION_DELETED.labels(kind).inc()


def _unwrap(outcome: result.Result[typing.Any, typing.Any]) -> typing.Any:
    if isinstance(outcome, result.Err):
        raise SweepAborted(outcome.err_value)
    return outcome.ok_value


def _unwrap_write(outcome: result.Result[int, store.StoreError]) -> int | None:
    """Return the revision; ``None`` for a conflict."""
    if isinstance(outcome, result.Err):
        if isinstance(outcome.err_value, store.StoreConflict):
            return None
        raise SweepAborted(outcome.err_value)
    return outcome.ok_value
