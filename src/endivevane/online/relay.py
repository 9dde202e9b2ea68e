"""The relay: one thread with one selector that owns all streaming sockets."""

from __future__ import annotations

import contextlib
import functools
import queue
import socket
import threading
import time

from endivevane import logs, metrics
from endivevane.coordination import clock
from endivevane.online import (
    dispatcher,
    engine_connection,
    messages,
    poller,
    relay_settings,
    scheduler,
    stream,
    upstream,
)

# Pause after an unexpected exception, so that it is not repeated in a busy loop.
_FAULT_PAUSE_S = 0.25


class RelayTask:
    """Serves the online requests that are posted to it.

    :param online_scheduler: used by the relay's thread only once it has started
    :param publish: sends updates to other daemons; called on the relay's thread, so
        it must not block
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        relay_clock: clock.Clock,
        online_scheduler: scheduler.Scheduler,
        publish: dispatcher.Publish,
    ) -> None:
        self._clock = relay_clock
        self._engines = upstream.Upstream(settings.upstream, self.post)
        self._dispatcher = dispatcher.Dispatcher(
            settings, relay_clock, online_scheduler, self._engines, publish
        )
        self._inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._is_wake_sent = False
        self._is_stopping = False
        self._drained = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @property
    def open_streams(self) -> int:
        """Number of requests in flight or queued."""
        return len(self._dispatcher.streams)

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused because the daemon is stopping."""
        return self._dispatcher.is_draining

    def start(self) -> None:
        """Start the relay's thread."""
        self._thread.start()

    def post(self, message: object) -> None:
        """Send a message to the relay; thread-safe.

        :param message: one of the classes in :mod:`endivevane.online.messages`
        """
        self._inbox.put(message)
        if self._is_wake_sent:
            return
        self._is_wake_sent = True
        # A full socket has a wake-up pending; a closed one means the relay has stopped.
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def drain(self, deadline_s: float) -> bool:
        """Refuse new requests and wait until the open ones have ended.

        :param deadline_s: monotonic time after which the wait ends
        :return: whether all have ended
        """
        self.post(messages.Drain())
        return self._drained.wait(max(0.0, deadline_s - self._clock.monotonic_s()))

    def stop(self) -> None:
        """Break off open streams and stop the threads."""
        self.post(messages.Stop())
        self._thread.join(timeout=10.0)
        self._engines.stop()
        self._wake_sender.close()
        self._wake_receiver.close()

    def _run(self) -> None:
        self._dispatcher.poller.set_events(
            self._wake_receiver, poller.READ, self._on_wake
        )
        while not self._is_stopping:
            try:
                self._run_round()
            except Exception as error:
                # The selector reports unhandled events again in the next round.
                metrics.RELAY_FAULTS.inc()
                logs.error("relay_fault", function="round", error=repr(error))
                time.sleep(_FAULT_PAUSE_S)
        self._dispatcher.stop_all()
        self._dispatcher.poller.close()
        self._drained.set()

    def _run_round(self) -> None:
        current = self._dispatcher
        ready = current.poller.wait(self._find_timeout_s())
        current.now_s = now_s = self._clock.monotonic_s()
        for key, events in ready:
            try:
                key.data(events, now_s)
            except Exception as error:
                self._handle_fault(key.data, error)
        for check in current.timers.take_due(now_s):
            try:
                check()
            except Exception as error:
                self._handle_fault(check, error)
        if now_s >= current.poll_at_s:
            self._poll_scheduler()
        if current.is_draining and not current.streams:
            self._drained.set()

    def _poll_scheduler(self) -> None:
        try:
            self._dispatcher.poll_scheduler()
        except Exception as error:
            self._dispatcher.poll_at_s = self._clock.monotonic_s() + _FAULT_PAUSE_S
            metrics.RELAY_FAULTS.inc()
            logs.error("relay_fault", function="poll", error=repr(error))

    def _find_timeout_s(self) -> float | None:
        at_s = self._dispatcher.poll_at_s
        timer_s = self._dispatcher.timers.next_s()
        if timer_s is not None and timer_s < at_s:
            at_s = timer_s
        if at_s == float("inf"):
            return None
        return max(0.0, at_s - self._clock.monotonic_s())

    def _handle_fault(self, function: object, error: Exception) -> None:
        """Log an unexpected exception and end only the stream that raised it."""
        metrics.RELAY_FAULTS.inc()
        logs.error("relay_fault", function=repr(function), error=repr(error))
        owner = getattr(function, "__self__", None)
        if isinstance(owner, engine_connection.EngineConnection):
            owner = owner.listener
        if isinstance(owner, stream.Stream):
            self._fail_stream(owner)

    def _fail_stream(self, current: stream.Stream) -> None:
        try:
            self._dispatcher.fail_stream(current)
        except Exception as error:
            request_id = current.request.request_id
            logs.error("relay_fault", request_id=request_id, error=repr(error))

    def _on_wake(self, _events: int, _now_s: float) -> None:
        with contextlib.suppress(OSError):
            self._wake_receiver.recv(64)
        # Cleared before the queue is read, so that later messages wake the relay again.
        self._is_wake_sent = False
        while True:
            try:
                message = self._inbox.get_nowait()
            except queue.Empty:
                return
            try:
                self._handle(message)
            except Exception as error:
                kind = type(message).__name__
                metrics.RELAY_FAULTS.inc()
                logs.error("relay_fault", message=kind, error=repr(error))
                owner = self._dispatcher.find_stream(message)
                if owner is not None:
                    self._fail_stream(owner)

    @functools.singledispatchmethod
    def _handle(self, message: object) -> None:
        logs.error("relay_message_unknown", kind=type(message).__name__)

    @_handle.register
    def _submit(self, message: messages.SubmitRequest) -> None:
        self._dispatcher.submit(message)

    @_handle.register
    def _handle_opened(self, message: messages.Opened) -> None:
        self._dispatcher.handle_opened(message)

    @_handle.register
    def _handle_open_failure(self, message: messages.OpenFailed) -> None:
        self._dispatcher.handle_open_failure(message)

    @_handle.register
    def _handle_prompt(self, message: messages.PromptReady) -> None:
        self._dispatcher.handle_prompt(message)

    @_handle.register
    def _retry_cancel(self, message: messages.CancelMissed) -> None:
        self._dispatcher.retry_cancel(message)

    @_handle.register
    def _set_snapshot(self, message: messages.SnapshotChanged) -> None:
        self._dispatcher.scheduler.set_snapshot(message.snapshot)
        self._dispatcher.request_poll()

    @_handle.register
    def _set_leaving(self, message: messages.TargetsLeaving) -> None:
        self._dispatcher.scheduler.set_leaving(message.names)
        self._dispatcher.request_poll()

    @_handle.register
    def _set_load(self, message: messages.LoadReported) -> None:
        self._dispatcher.scheduler.set_load(message.target_name, message.report)

    @_handle.register
    def _set_cache_events(self, message: messages.CacheEventsReported) -> None:
        self._dispatcher.scheduler.set_cache_events(message.target_name, message.events)

    @_handle.register
    def _set_quarantine(self, message: messages.QuarantineChanged) -> None:
        self._dispatcher.scheduler.set_quarantine(
            message.fingerprint, message.until_wall_ms, message.target_name
        )

    @_handle.register
    def _begin_drain(self, _message: messages.Drain) -> None:
        self._dispatcher.is_draining = True

    @_handle.register
    def _begin_stop(self, _message: messages.Stop) -> None:
        self._dispatcher.is_draining = True
        self._is_stopping = True
