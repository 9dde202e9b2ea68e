"""Exchanges target deaths and quarantines between online, batch, peers and store."""

from __future__ import annotations

import threading
import typing
from collections import abc

from endivevane.coordination import clock, store
from endivevane.online import bodies, messages, quarantine, quarantine_rows

_FIRST_READ_S = 1.0

Broadcast = abc.Callable[[str, dict[str, typing.Any]], None]


class QuarantineExchange:
    """The quarantine of batch work, exchanged with relay, peers and store.

    Online requests have their own quarantine on the relay's thread; this one serves
    the runner's thread and is guarded by a lock.

    :param broadcast: sends a message to all daemons
    :param post: posts a message to the relay
    """

    def __init__(
        self,
        exchange_clock: clock.Clock,
        table_store: store.TableStore,
        broadcast: Broadcast,
        post: abc.Callable[[object], None],
    ) -> None:
        self._broadcast = broadcast
        self._post = post
        self._known = quarantine.Quarantine(
            quarantine.QuarantineSettings(), exchange_clock
        )
        self._lock = threading.Lock()
        self._rows = quarantine_rows.QuarantineRows(
            exchange_clock, table_store, self.deliver
        )

    def start(self) -> None:
        """Start reading the rows, with a bounded wait for the store."""
        self._rows.start(_FIRST_READ_S)

    def stop(self) -> None:
        """Stop the thread that reads the rows."""
        self._rows.stop()

    def receive(self, body: dict[str, typing.Any]) -> None:
        """Handle a message of another daemon."""
        self.deliver(
            messages.QuarantineChanged(
                str(body["fingerprint"]),
                int(body["until_ms"]),
                str(body.get("target", "")),
            )
        )

    def deliver(self, entry: messages.QuarantineChanged) -> None:
        """Apply an entry from another daemon or from a row."""
        self._record(entry)
        self._post(entry)

    def publish(self, entry: messages.QuarantineChanged) -> None:
        """Publish an entry of the relay to batch work, all daemons and the store."""
        self._record(entry)
        self._announce(entry)

    def make_fingerprint(self, model: str, body: dict[str, typing.Any]) -> str:
        """Return the fingerprint of a call."""
        return bodies.make_fingerprint(model, body)

    def remaining_s(self, fingerprint: str) -> float:
        """Return the remaining quarantine of a fingerprint, or zero."""
        with self._lock:
            return self._known.remaining_s(fingerprint)

    def record_death(
        self, fingerprint: str, target_name: str, started_s: float
    ) -> None:
        """Count the death of a target that was running a batch item."""
        with self._lock:
            self._known.record_death(fingerprint, target_name, started_s)
            entries = self._known.take_unpublished()
        for fields in entries:
            entry = messages.QuarantineChanged(*fields)
            self._post(entry)
            self._announce(entry)

    def _record(self, entry: messages.QuarantineChanged) -> None:
        """Apply an entry to the quarantine of batch work.

        A quarantine that results from it is published by the relay, which applies the
        same entry.
        """
        with self._lock:
            self._known.receive(
                entry.fingerprint, entry.until_wall_ms, entry.target_name
            )
            self._known.take_unpublished()

    def _announce(self, entry: messages.QuarantineChanged) -> None:
        body = {
            "fingerprint": entry.fingerprint,
            "until_ms": entry.until_wall_ms,
            "target": entry.target_name,
        }
        self._broadcast("quarantine", body)
        self._rows.note(entry)
