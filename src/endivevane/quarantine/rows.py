"""Quarantines in the platform's store, which outlast the daemons.

The daemons of a crash write the row of a new quarantine; all of them read it with the
state of jobs. The row also decides which daemon tries a request when that is due: the
one whose change of the row the store takes first.
"""

from __future__ import annotations

import dataclasses
import time

import orjson

from endivevane import exceptions, json_fields, logs
from endivevane.quarantine import registry
from endivevane.serving import failures, jobs, store

ROW_PREFIX = "quarantine/"
# Keys of rows have at most 200 bytes on the platform.
_MAX_KEY_BYTES = 150


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """A quarantine as its row holds it.

    :param decided_ms: Unix time of the decision
    :param retry_ms: Unix time from which one request may be tried
    """

    traits: tuple[str, ...]
    tries: int
    decided_ms: int
    retry_ms: int


class QuarantineRows:
    """Reads and writes the rows of quarantines."""

    def __init__(self, rows: store.Store) -> None:
        self._store = rows
        # Entry -> version of its row.
        self._versions: dict[str, int] = {}

    def record_row(self, row: store.Row) -> registry.Entry | None:
        """Return the quarantine of a row that was read, ``None`` if it was deleted."""
        entry_id = row.row_key.key.removeprefix(ROW_PREFIX)
        if row.value is None:
            self._versions.pop(entry_id, None)
            return None
        self._versions[entry_id] = row.version
        try:
            stored = decode(entry_id, row.value)
        except exceptions.ProtocolError as error:
            logs.error("quarantine_row_unreadable", entry=entry_id, cause=error)
            return None
        return _to_entry(entry_id, stored)

    def has_row(self, entry_id: str) -> bool:
        """Return whether the store holds a quarantine, as far as is known."""
        return entry_id in self._versions

    async def write(self, entry: registry.Entry) -> bool:
        """Write a quarantine, unless another daemon has changed its row meanwhile.

        :return: whether this daemon's change was taken
        :raises failures.StoreFailure: when it is not known to be written
        """
        key = _make_key(entry.entry_id)
        version = self._versions.get(entry.entry_id, 0)
        value = _encode(entry)
        answer = await self._store.apply(
            store.Transaction(
                conditions=(store.Condition(key, version),), puts=((key, value),)
            )
        )
        if isinstance(answer, store.Conflict):
            return False
        self._versions[entry.entry_id] = answer.version
        return True

    async def delete(self, entry_id: str) -> None:
        """Delete the row of a quarantine that has ended; a failure is only logged.

        Daemons that read the row later try its request again when that is due.
        """
        version = self._versions.pop(entry_id, 0)
        if not version:
            return
        key = _make_key(entry_id)
        try:
            await self._store.apply(
                store.Transaction(
                    conditions=(store.Condition(key, version),), deletes=(key,)
                )
            )
        except failures.StoreFailure as error:
            logs.limited_info("quarantine_row_kept", entry=entry_id, cause=error)


def is_storable(entry: registry.Entry) -> bool:
    """Return whether the name of a quarantine fits into a key."""
    return len(entry.entry_id.encode()) <= _MAX_KEY_BYTES


def _make_key(entry_id: str) -> store.RowKey:
    return store.RowKey(jobs.STATE_TABLE, jobs.PARTITION, ROW_PREFIX + entry_id)


def _encode(entry: registry.Entry) -> bytes:
    now_s, unix_s = time.monotonic(), time.time()
    return orjson.dumps(
        (
            sorted(entry.traits),
            entry.tries,
            int((unix_s - now_s + entry.decided_s) * 1000),
            int((unix_s - now_s + entry.retry_at_s) * 1000),
        )
    )


def decode(entry_id: str, value: bytes) -> StoredEntry:
    """Return the content of a row.

    :raises exceptions.ProtocolError: when it is malformed
    """
    try:
        fields = json_fields.read_list(orjson.loads(value))
        traits, tries, decided_ms, retry_ms = fields
        return StoredEntry(
            json_fields.read_texts(traits),
            json_fields.read_count(tries, registry.MAX_TRIES),
            json_fields.read_count(decided_ms),
            json_fields.read_count(retry_ms),
        )
    except ValueError as error:
        raise exceptions.ProtocolError(
            entry_id, f"malformed row of a quarantine: {error}"
        ) from error


def _to_entry(entry_id: str, stored: StoredEntry) -> registry.Entry:
    """Return a quarantine on this daemon's clock.

    A wrong clock of the writer defers the next try by at most one period.
    """
    now_s, unix_ms = time.monotonic(), time.time() * 1000
    age_s = max(0.0, (unix_ms - stored.decided_ms) / 1000)
    left_s = min(
        (stored.retry_ms - unix_ms) / 1000, registry.find_period_s(stored.tries)
    )
    return registry.Entry(
        entry_id=entry_id,
        traits=frozenset(stored.traits),
        tries=stored.tries,
        decided_s=now_s - age_s,
        retry_at_s=now_s + left_s,
        used_s=now_s,
    )
