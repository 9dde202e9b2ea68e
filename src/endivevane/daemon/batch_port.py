"""Adapts the cluster task to the interface of batch work."""

from __future__ import annotations

import dataclasses
import threading
import typing
from collections import abc

import result

from endivevane.batch import ports
from endivevane.cluster import events, sessions, tasks
from endivevane.configuration import snapshot
from endivevane.coordination import clock, lease, members, store

# Minimum interval of session scans, done only while other daemons hold chunks.
_SCAN_INTERVAL_S = 2.0
# After a longer gap between scans, observations are discarded: during a store outage
# no owner could renew its session, and owners need one term to renew after it.
_MAX_SCAN_GAP_S = 3.5
_MARGIN_S = 1.0
_ALIVE_STATES = frozenset({members.MemberState.ALIVE, members.MemberState.SUSPECT})


@dataclasses.dataclass(frozen=True, slots=True)
class _Scan:
    """The session rows and the monotonic time around their read."""

    started_s: float
    finished_s: float
    rows: dict[str, store.Row]


class ClusterPort:
    """Implements :class:`ports.Cluster` over a cluster task.

    :param task: membership, session, configuration and messages
    :param table_store: store of the session rows
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
        self._observed: set[str] = set()
        self._last_scan: _Scan | None = None
        self._lock = threading.Lock()
        task.subscribe(self._receive)

    def session(self) -> ports.Session:
        """Return the daemon's own session."""
        current = self._task.session()
        return ports.Session(current.daemon, current.epoch or 0, current.is_valid)

    def live_members(self) -> abc.Sequence[ports.Member]:
        """Return the alive daemons, including this one."""
        return [
            ports.Member(item.name, item.incarnation, item.description.region)
            for item in self._task.members()
            if item.state in _ALIVE_STATES
        ]

    def is_gone(self, owner: str, epoch: int) -> bool:
        """Return whether an owner is dead, or its session expired or was replaced.

        May read the session rows; call from the polling thread, not the runner's.
        """
        for item in self._task.members():
            if item.name == owner and item.state is members.MemberState.DEAD:
                return True
        with self._lock:
            self._scan()
            if self._last_scan is None:
                return False
            if owner not in self._observed:
                self._observe(owner, self._last_scan)
            return self._observer.is_expired(owner, epoch)

    def snapshot(self) -> snapshot.Snapshot:
        """Return the configuration in force."""
        return self._task.snapshot

    def send(self, daemon: str, kind: str, body: dict[str, typing.Any]) -> None:
        """Send a message to a daemon, without waiting for delivery."""
        self._task.send(daemon, kind, body)

    def register(self, kind: str, handler: ports.MessageHandler) -> None:
        """Register a handler for the sender and body of each message of a kind."""
        self._handlers[kind] = handler

    def deliver(self, sender: str, kind: str, body: dict[str, typing.Any]) -> None:
        """Call the handler registered for the kind of a message, if any."""
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(sender, body)

    def _receive(self, event: events.Event) -> None:
        if isinstance(event, events.PeerMessage):
            self.deliver(event.sender, event.kind, event.body)

    def _scan(self) -> None:
        """Read all sessions unless the last scan is recent."""
        started_s = self._clock.monotonic_s()
        gap_s = (
            started_s - self._last_scan.started_s
            if self._last_scan is not None
            else 0.0
        )
        if self._last_scan is not None and gap_s < _SCAN_INTERVAL_S:
            return
        outcome = sessions.scan_sessions(self._store)
        if isinstance(outcome, result.Err):
            return
        if gap_s > _MAX_SCAN_GAP_S:
            self._observer = lease.SessionObserver(_MARGIN_S)
            self._observed.clear()
        rows = {row.key: row for row in outcome.ok_value}
        self._last_scan = _Scan(started_s, self._clock.monotonic_s(), rows)
        for name in self._observed | set(rows):
            self._observe(name, self._last_scan)

    def _observe(self, name: str, scan: _Scan) -> None:
        self._observed.add(name)
        row = scan.rows.get(name)
        self._observer.observe(name, row, scan.started_s, scan.finished_s)
