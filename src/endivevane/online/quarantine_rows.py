"""Persistence of quarantine entries in the table service."""

from __future__ import annotations

import collections
import queue
import random
import threading
import typing
from collections import abc

import result

from endivevane import logs, utils
from endivevane.coordination import clock, store
from endivevane.online import messages, quarantine

TABLE = "quarantine"
# Mean time between two reads of all rows. A daemon reads them once at its start;
# later reads only compensate for lost messages.
_READ_INTERVAL_S = 60.0
# Crashes are rare, but each crash makes an entry for every request on the engine.
_WRITE_INTERVAL_S = 0.2
_MAX_WAITING = 256
_MAX_REMOVED = 20
# Rows are kept for a while after their end to allow for clock differences.
_REMOVE_AFTER_MS = 60_000
_PAGE_ROWS = 500

Deliver = abc.Callable[[messages.QuarantineChanged], None]


class QuarantineRows:
    """Writes and reads the rows on a separate thread, without blocking callers.

    :param deliver: receives each entry that was read
    """

    def __init__(
        self, rows_clock: clock.Clock, table_store: store.TableStore, deliver: Deliver
    ) -> None:
        self._settings = quarantine.QuarantineSettings()
        self._clock = rows_clock
        self._store = table_store
        self._deliver = deliver
        self._random = random.Random()
        self._inbox: queue.SimpleQueue[messages.QuarantineChanged | None] = (
            queue.SimpleQueue()
        )
        self._waiting: collections.OrderedDict[str, messages.QuarantineChanged]
        self._waiting = collections.OrderedDict()
        self._write_at_s = 0.0
        self._has_read = threading.Event()
        self._is_stopped = False
        self._thread = threading.Thread(
            target=self._run, name="quarantine-rows", daemon=True
        )

    def start(self, wait_s: float) -> None:
        """Start the thread and wait up to ``wait_s`` for the first read."""
        self._thread.start()
        self._has_read.wait(wait_s)

    def stop(self) -> None:
        """Stop the thread; pending rows are not written."""
        self._is_stopped = True
        self._inbox.put(None)
        if self._thread.is_alive():
            self._thread.join(5.0)

    def note(self, entry: messages.QuarantineChanged) -> None:
        """Queue an entry of this daemon to be written; thread-safe."""
        self._inbox.put(entry)

    def read(self) -> None:
        """Deliver the entries of all rows and remove rows that ended some time ago."""
        now_ms, after, removed = self._clock.wall_ms(), "", 0
        while True:
            outcome = self._store.scan(TABLE, "", after, _PAGE_ROWS)
            if isinstance(outcome, result.Err):
                return
            for row in outcome.ok_value:
                after = row.key
                if row.value["until_ms"] > now_ms:
                    self._deliver(_make_entry(row))
                    continue
                is_old = row.value["until_ms"] + _REMOVE_AFTER_MS < now_ms
                if is_old and removed < _MAX_REMOVED:
                    removed += 1
                    self._transact(row.key, row.revision, None)
            if len(outcome.ok_value) < _PAGE_ROWS:
                return

    def write(self, entry: messages.QuarantineChanged) -> bool:
        """Write an entry over an older row; return ``False`` if it must be retried.

        Two single crashes that daemons observed without knowing of each other's add up
        to a quarantine.
        """
        outcome = self._store.read(TABLE, entry.fingerprint)
        if isinstance(outcome, result.Err):
            return False
        row = outcome.ok_value
        known = quarantine.Quarantine(self._settings, self._clock)
        is_valid = row is not None and row.value["until_ms"] > self._clock.wall_ms()
        if row is not None and is_valid:
            former = _make_entry(row)
            if former.until_wall_ms >= abs(entry.until_wall_ms):
                return True
            known.receive(former.fingerprint, former.until_wall_ms, former.target_name)
        known.receive(entry.fingerprint, entry.until_wall_ms, entry.target_name)
        found = known.take_unpublished()
        if found:
            entry = messages.QuarantineChanged(*found[0])
            self._deliver(entry)
        elif is_valid and entry.until_wall_ms < 0:
            # The row holds the same crash.
            return True
        revision = row.revision if row is not None else None
        return self._transact(entry.fingerprint, revision, self._make_value(entry))

    def _make_value(self, entry: messages.QuarantineChanged) -> dict[str, typing.Any]:
        value = {"target": entry.target_name}
        if entry.until_wall_ms > 0:
            deaths = self._settings.deaths
            return {**value, "deaths": deaths, "until_ms": entry.until_wall_ms}
        died_ms = -entry.until_wall_ms
        until_ms = died_ms + int(self._settings.memory_s * 1000)
        return {**value, "deaths": 1, "until_ms": until_ms, "died_ms": died_ms}

    def _transact(
        self, key: str, revision: int | None, value: dict[str, typing.Any] | None
    ) -> bool:
        outcome = self._store.transact(
            utils.make_id("quarantine"),
            [store.Condition(TABLE, key, revision)],
            [store.Write(TABLE, key, value)],
        )
        return isinstance(outcome, result.Ok)

    def _run(self) -> None:
        read_at_s = self._clock.monotonic_s()
        while not self._is_stopped:
            now_s = self._clock.monotonic_s()
            try:
                if now_s >= read_at_s:
                    factor = self._random.uniform(0.5, 1.5)
                    read_at_s = now_s + _READ_INTERVAL_S * factor
                    self.read()
                    self._has_read.set()
                if self._waiting and now_s >= self._write_at_s:
                    self._write_at_s = now_s + _WRITE_INTERVAL_S
                    self._write_next()
            except Exception as error:
                logs.error("quarantine_rows_failed", error=repr(error))
            due_s = read_at_s
            if self._waiting:
                due_s = min(due_s, self._write_at_s)
            self._receive_next(due_s - self._clock.monotonic_s())

    def _receive_next(self, timeout_s: float) -> None:
        """Wait for the next entry and add it to the pending ones."""
        try:
            entry = self._inbox.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return
        if entry is None:
            return
        self._waiting[entry.fingerprint] = entry
        self._waiting.move_to_end(entry.fingerprint)
        if len(self._waiting) > _MAX_WAITING:
            self._waiting.popitem(last=False)

    def _write_next(self) -> None:
        """Write the newest entry; a failed one is moved to the end of the queue."""
        fingerprint, entry = self._waiting.popitem(last=True)
        if not self.write(entry):
            self._waiting[fingerprint] = entry
            self._waiting.move_to_end(fingerprint, last=False)


def _make_entry(row: store.Row) -> messages.QuarantineChanged:
    """Return the entry that a row holds."""
    until_ms = int(row.value["until_ms"])
    if row.value["deaths"] == 1:
        until_ms = -int(row.value["died_ms"])
    return messages.QuarantineChanged(row.key, until_ms, str(row.value["target"]))
