"""Interface of the platform's store, as the serving tasks use it."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Key of a row; a transaction within one partition is cheap."""

    table: str
    partition: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row at a version.

    :param value: content, ``None`` for a deleted row
    """

    row_key: RowKey
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment.

    :param version: version of the store that was read
    :param has_more: whether rows after the last one are left out
    :param age_s: how long before the call the read was complete; above 0 if a relay
        answered from its memory
    """

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Version that a row must have for a transaction to apply, 0 for no row."""

    row_key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """An atomic set of changes, applied only if all conditions hold."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Outcome of a transaction that was applied, with its version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Outcome of a transaction that was not applied, with its conditions' rows."""

    rows: tuple[Row, ...]

    def find(self, row_key: RowKey) -> Row | None:
        """Return the current row of a condition, ``None`` if it does not exist."""
        for row in self.rows:
            if row.row_key == row_key and row.value is not None:
                return row
        return None


class Store(typing.Protocol):
    """The platform's store; every call may raise :class:`failures.StoreFailure`."""

    async def read_rows(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> RowPage:
        """Return the first rows of a partition in ``[start, end)``, one page.

        Pages of one range are of different moments; :mod:`full_read` joins them.
        """

    async def read_newest(
        self, table: str, partition: str, start: str, end: str
    ) -> RowPage:
        """Return one page of rows, never from a relay's memory."""

    async def apply(self, transaction: Transaction) -> Applied | Conflict:
        """Apply a transaction."""

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> RowPage:
        """Return the rows of a table that changed after a version."""

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object, unless one of this name exists."""

    async def get_object(self, name: str) -> bytes:
        """Return an object."""

    async def delete_object(self, name: str) -> None:
        """Delete an object."""


RowObserver = abc.Callable[[Row], None]
