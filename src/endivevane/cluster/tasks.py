"""The task for a daemon's membership, session and configuration."""

from __future__ import annotations

import contextlib
import dataclasses
import queue
import random
import socket
import threading
import typing
from collections import abc

from endivevane import logs
from endivevane.cluster import (
    calls,
    events,
    link_shares,
    node,
    sessions,
    transport,
)
from endivevane.configuration import snapshot
from endivevane.coordination import clock, members, store
from endivevane.daemon import settings as daemon_settings
from endivevane.external import vms

Subscriber = abc.Callable[[events.Event], None]
_TICK_S = 0.1
_ON_DEMAND_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Send:
    daemon: str
    kind: str
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Broadcast:
    kind: str
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _ReplaceKeys:
    keys: daemon_settings.KeysSection


@dataclasses.dataclass(frozen=True, slots=True)
class _Leave:
    pass


class ClusterTask:
    """Membership, session lease and configuration feed of one daemon.

    One thread owns the sockets and all state; the other methods are safe to call from
    any thread.

    :param settings: the daemon's settings
    :param task_clock: clock for all timers
    :param table_store: the table service; its calls run in a small pool of threads
    :param vm_list: client of the platform's VM list; ``None`` disables polling it
    :param generator: source of jitter and random choices
    :param shares: shares of the link between the regions; the task exchanges their
        announcements
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        task_clock: clock.Clock,
        table_store: store.TableStore,
        vm_list: vms.VmListClient | None = None,
        generator: random.Random | None = None,
        shares: link_shares.LinkShares | None = None,
    ) -> None:
        self._settings = settings
        self._clock = task_clock
        self._inbox: queue.SimpleQueue[typing.Any] = queue.SimpleQueue()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._subscribers: list[Subscriber] = []
        self._stop = threading.Event()
        limit = settings.membership.max_connections + _ON_DEMAND_CONNECTIONS
        self._transport = transport.Transport(settings, limit)
        self._transport.register_wake(self._wake_reader.fileno())
        self._background = calls.BackgroundCalls(self._post)
        self._node = node.Node(
            settings,
            task_clock,
            table_store,
            vm_list,
            generator or random.Random(),
            self._transport,
            self._background,
            self._publish,
            shares,
        )
        self._thread = threading.Thread(target=self._run, name="cluster", daemon=True)

    @property
    def snapshot(self) -> snapshot.Snapshot:
        """The applied configuration."""
        return self._node.follower.snapshot

    @property
    def transport(self) -> transport.Transport:
        """The transport, for its counters."""
        return self._transport

    def members(self) -> tuple[members.Member, ...]:
        """Return all known members, including this daemon."""
        return self._node.members

    def is_ready(self) -> bool:
        """Return whether the applied configuration is known to be current."""
        return self._node.is_ready() and self._thread.is_alive()

    def session(self) -> sessions.Session:
        """Return this daemon's session."""
        return self._node.session_renewer.read()

    def subscribe(self, callback: Subscriber) -> None:
        """Register a callback that is called on the cluster thread with each event.

        :param callback: must return quickly and must not raise
        """
        self._subscribers.append(callback)

    def send(self, daemon: str, kind: str, body: dict[str, typing.Any]) -> None:
        """Send a message to one daemon, without guaranteed delivery.

        :param kind: one of ``messages.APPLICATION_KINDS``
        """
        self._post(_Send(daemon, kind, body))

    def broadcast(self, kind: str, body: dict[str, typing.Any]) -> None:
        """Broadcast a message; each daemon forwards it to its neighbours once."""
        self._post(_Broadcast(kind, body))

    def replace_keys(self, keys: daemon_settings.KeysSection) -> None:
        """Replace the allowed keys and close connections with other keys.

        :param keys: new lists; the own key pair must be unchanged
        """
        self._post(_ReplaceKeys(keys))

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def drain(self, deadline_s: float) -> None:
        """Announce that this daemon is about to stop.

        :param deadline_s: unused, since leaving does not wait
        """
        self._post(_Leave())

    def stop(self) -> None:
        """Delete the session row, stop the thread and close the sockets."""
        self._stop.set()
        self._wake()
        if self._thread.is_alive():
            self._thread.join(timeout=5.0)
        self._background.close()
        self._node.session_renewer.close()

    def _post(self, message: typing.Any) -> None:
        self._inbox.put(message)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"w")
        except OSError:
            # A full buffer has already woken the thread; a closed one means it stopped.
            return

    def _publish(self, event: events.Event) -> None:
        for callback in self._subscribers:
            try:
                callback(event)
            except Exception as error:
                # A failing subscriber must not stop the cluster thread.
                logs.error("cluster_subscriber_failed", error=repr(error))

    def _run(self) -> None:
        try:
            while not self._stop.is_set():
                self._transport.wait(_TICK_S)
                for message in self._transport.receive():
                    self._node.handle(message)
                self._process_inbox()
                self._node.tick()
        finally:
            self._transport.close()

    def _process_inbox(self) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)
        while True:
            try:
                item = self._inbox.get_nowait()
            except queue.Empty:
                return
            match item:
                case _Send():
                    self._node.send_application(item.daemon, item.kind, item.body)
                case _Broadcast():
                    self._node.broadcast_application(item.kind, item.body)
                case _ReplaceKeys():
                    self._node.replace_keys(item.keys)
                case _Leave():
                    self._node.leave()
                case calls.CallFinished():
                    self._node.finish_call(item)
