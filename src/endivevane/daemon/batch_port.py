"""The cluster task as batch work sees it."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from typing import Any

import result

from endivevane.batch import ports
from endivevane.cluster import events, sessions, tasks
from endivevane.configuration import snapshot
from endivevane.coordination import clock, lease, members, store

# All sessions are read at most this often, and only while chunks of others are claimed.
_SCAN_INTERVAL_S = 2.0
_MARGIN_S = 1.0
_LIVE_STATES = frozenset({members.MemberState.ALIVE, members.MemberState.SUSPECT})


class ClusterPort:
    """Implements :class:`ports.Cluster` over a cluster task.

    :param task: membership, session, configuration and messages
    :param table_store: where the session rows are
    """

    def __init__(
        self,
        task: tasks.ClusterTask,
        table_store: store.TableStore,
        port_clock: clock.Clock,
    ) -> None:
        self._task = task
        self._store = table_store
        self._clock = port_clock
        self._handlers: dict[str, ports.MessageHandler] = {}
        self._observer = lease.SessionObserver(_MARGIN_S)
        self._seen: set[str] = set()
        self._scanned_at_s: float | None = None
        self._lock = threading.Lock()
        task.subscribe(self._receive)

    def session(self) -> ports.Session:
        """Return the daemon's own lease."""
        current = self._task.session()
        return ports.Session(current.daemon, current.epoch or 0, current.is_valid)

    def live_members(self) -> Sequence[ports.Member]:
        """Return the live daemons, this one included."""
        return [
            ports.Member(item.name, item.incarnation, item.description.region)
            for item in self._task.members()
            if item.state in _LIVE_STATES
        ]

    def is_gone(self, owner: str, epoch: int) -> bool:
        """Tell whether an owner is dead, or its session has lapsed or was replaced.

        May read the session rows; a call of the looking thread, never of the runner's.
        """
        for item in self._task.members():
            if item.name == owner and item.state is members.MemberState.DEAD:
                return True
        with self._lock:
            self._scan()
            return self._observer.is_lapsed(owner, epoch)

    def snapshot(self) -> snapshot.Snapshot:
        """Return the configuration in force."""
        return self._task.snapshot

    def send(self, daemon: str, kind: str, body: dict[str, Any]) -> None:
        """Send a message to a daemon, without waiting for delivery."""
        self._task.send(daemon, kind, body)

    def register(self, kind: str, handler: ports.MessageHandler) -> None:
        """Call a function with sender and body of each message of a kind."""
        self._handlers[kind] = handler

    def _receive(self, event: events.Event) -> None:
        if isinstance(event, events.PeerMessage) and event.kind in self._handlers:
            self._handlers[event.kind](event.sender, event.body)

    def _scan(self) -> None:
        now_s = self._clock.monotonic_s()
        is_recent = (
            self._scanned_at_s is not None
            and now_s - self._scanned_at_s < _SCAN_INTERVAL_S
        )
        if is_recent:
            return
        self._scanned_at_s = now_s
        outcome = sessions.scan_sessions(self._store)
        if isinstance(outcome, result.Err):
            return
        finished_s = self._clock.monotonic_s()
        rows = {row.key: row for row in outcome.ok_value}
        for name in self._seen | set(rows):
            self._observer.observe(name, rows.get(name), now_s, finished_s)
        self._seen |= set(rows)
