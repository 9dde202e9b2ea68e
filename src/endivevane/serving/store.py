"""What the serving tasks need of the platform's store."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row; rows of one partition change in one cheap transaction."""

    table: str
    partition: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row at a version.

    :param value: bytes, ``None`` for a row that was deleted
    """

    row_key: RowKey
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment.

    :param version: newest version of the store at that moment
    """

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The version that a row must have, 0 if it must not exist."""

    row_key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made together or not at all."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A transaction that took effect at a version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that did nothing, with the rows that its conditions name."""

    rows: tuple[Row, ...]

    def find(self, row_key: RowKey) -> Row | None:
        """Return a row of the conditions, ``None`` if it does not exist."""
        for row in self.rows:
            if row.row_key == row_key and row.value is not None:
                return row
        return None


class Store(typing.Protocol):
    """The platform's store; every call raises :class:`failures.StoreFailure`."""

    async def read_rows(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> RowPage:
        """Return the rows of a partition in ``[start, end)``, all pages joined."""

    async def apply(self, transaction: Transaction) -> Applied | Conflict:
        """Apply a transaction."""

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Return the rows of a table that changed after a version."""

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; an object that exists under the name stays."""

    async def get_object(self, name: str) -> bytes:
        """Return an object."""

    async def delete_object(self, name: str) -> None:
        """Delete an object."""


RowObserver = abc.Callable[[Row], None]
