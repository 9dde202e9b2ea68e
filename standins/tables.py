"""Tables with conditional transactions, rate limits and a record of writes."""

from __future__ import annotations

import collections
import dataclasses
import time
import typing

import sortedcontainers

HISTORY_TABLES = frozenset({"chunks", "jobs", "register"})


class TokenBucket:
    """Rate limiter with a burst of one second's worth of tokens.

    :param rate_per_s: tokens added per second
    """

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_s = time.monotonic()

    def take(self, count: int) -> float:
        """Take tokens and return 0, or take none and return the wait in seconds.

        A count above the burst is allowed when the bucket is full, since it could never
        succeed otherwise; the balance of the bucket then becomes negative.
        """
        now_s = time.monotonic()
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        filled = self._tokens + elapsed_s * self._rate_per_s
        self._tokens = min(self._rate_per_s, filled)
        needed = min(count, self._rate_per_s)
        if self._tokens >= needed:
            self._tokens -= count
            return 0.0
        return (needed - self._tokens) / self._rate_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Expected revision of a row; ``None`` means absent."""

    table: str
    key: str
    revision: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A change of one row; value ``None`` deletes it."""

    table: str
    key: str
    value: dict[str, typing.Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes that are applied atomically."""

    operation_id: str
    conditions: list[Condition]
    writes: list[Write]


def parse_transaction(body: dict[str, typing.Any]) -> Transaction:
    """Parse a transaction from a request body.

    :raises KeyError, TypeError: when a field is missing or unknown
    """
    return Transaction(
        operation_id=body["operation_id"],
        conditions=[Condition(**item) for item in body["conditions"]],
        writes=[Write(**item) for item in body["writes"]],
    )


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of the operations on a table."""

    writes: int = 0
    reads: int = 0
    scans: int = 0
    conflicts: int = 0


class Tables:
    """All rows, the revision counter and the record."""

    def __init__(self) -> None:
        self._rows: dict[str, sortedcontainers.SortedDict] = collections.defaultdict(
            sortedcontainers.SortedDict
        )
        self._revision = 0
        self._counts: dict[str, Counts] = collections.defaultdict(Counts)
        self._history: list[dict[str, typing.Any]] = []
        self.refused_writes = 0
        self.refused_reads = 0

    def read(self, table: str, key: str) -> tuple[dict[str, typing.Any], int] | None:
        """Return the value and revision of a row, or ``None``."""
        self._counts[table].reads += 1
        row: tuple[dict[str, typing.Any], int] | None = self._rows[table].get(key)
        return row

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> list[dict[str, typing.Any]]:
        """Return rows with a prefix in key order."""
        self._counts[table].scans += 1
        rows = self._rows[table]
        found: list[dict[str, typing.Any]] = []
        start = max(prefix, after)
        for key in rows.irange(minimum=start):
            if key <= after and after:
                continue
            if not key.startswith(prefix) or len(found) >= limit:
                break
            value, revision = rows[key]
            found.append({"key": key, "value": value, "revision": revision})
        return found

    def transact(
        self, transaction: Transaction
    ) -> tuple[int, list[dict[str, typing.Any]]]:
        """Apply all writes if all conditions hold.

        :returns: new revision and no conflicts, or the conflicts
        """
        conflicts = self._find_conflicts(transaction.conditions)
        if conflicts:
            return 0, conflicts
        self._revision += 1
        for write in transaction.writes:
            self._apply(write, transaction.operation_id)
        return self._revision, []

    def _find_conflicts(
        self, conditions: list[Condition]
    ) -> list[dict[str, typing.Any]]:
        conflicts = []
        for condition in conditions:
            table, key = condition.table, condition.key
            value, revision = self._rows[table].get(key, (None, None))
            if revision == condition.revision:
                continue
            self._counts[table].conflicts += 1
            conflicts.append(
                {"table": table, "key": key, "revision": revision, "value": value}
            )
        return conflicts

    def _apply(self, write: Write, operation_id: str) -> None:
        rows = self._rows[write.table]
        self._counts[write.table].writes += 1
        if write.value is None:
            rows.pop(write.key, None)
        else:
            rows[write.key] = (write.value, self._revision)
        if write.table not in HISTORY_TABLES:
            return
        self._history.append(
            {
                **dataclasses.asdict(write),
                "revision": self._revision,
                "operation_id": operation_id,
                "at_s": time.time(),
            }
        )

    def record(self) -> dict[str, typing.Any]:
        """Return the counts per table and the history of ``HISTORY_TABLES``."""
        return {
            "revision": self._revision,
            "refused_writes": self.refused_writes,
            "refused_reads": self.refused_reads,
            "tables": {
                name: dataclasses.asdict(counts)
                for name, counts in sorted(self._counts.items())
            },
            "history": self._history,
        }
