"""Calls of batch items in flight, with one thread that waits for all responses.

A thread per item would mean several hundred threads in each daemon at the target size.
Instead a small pool sends and reads, which is short, and a selector waits.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import queue
import selectors
import socket
import threading
from collections import abc

from endivevane import logs
from endivevane.batch import attempts
from endivevane.coordination import clock
from endivevane.external import http_pool

# Connecting to a lost VM may take a second and must not block the other calls.
_CALL_THREADS = 16
# An engine writes a non-streaming response in one piece.
_READ_TIMEOUT_S = 5.0
_TIMEOUT_CHECK_S = 0.5

EndCallback = abc.Callable[[attempts.Attempt, attempts.Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _InFlightCall:
    """A sent attempt that waits for its response.

    :param until_s: monotonic deadline of the response
    """

    pool: http_pool.HttpPool
    call: http_pool.SentCall
    attempt: attempts.Attempt
    timeout_s: float
    until_s: float


class ItemCalls:
    """Sends items to engines and waits for the responses.

    :param end: called with the outcome of each attempt, on an internal thread
    """

    def __init__(self, calls_clock: clock.Clock, end: EndCallback) -> None:
        self._clock = calls_clock
        self._end = end
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, "batch-item"
        )
        self._sent: queue.SimpleQueue[_InFlightCall | None] = queue.SimpleQueue()
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._next_timeout_check_s = 0.0
        self._thread = threading.Thread(
            target=self._wait_for_responses, name="batch-answers", daemon=True
        )
        self._thread.start()

    def start(
        self, pool: http_pool.HttpPool, attempt: attempts.Attempt, timeout_s: float
    ) -> None:
        """Start an attempt.

        :param timeout_s: timeout of the response
        """
        self._executor.submit(self._send, pool, attempt, timeout_s)

    def stop(self) -> None:
        """Abandon all attempts; none of them gets an outcome."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._post(None)

    # Called on the executor's threads

    def _send(
        self, pool: http_pool.HttpPool, attempt: attempts.Attempt, timeout_s: float
    ) -> None:
        try:
            sent = attempts.send(pool, attempt)
        except Exception as error:
            self._report_crash(attempt, error)
            return
        if isinstance(sent, attempts.Outcome):
            self._end(attempt, sent)
            return
        until_s = self._clock.monotonic_s() + timeout_s
        self._post(_InFlightCall(pool, sent, attempt, timeout_s, until_s))

    def _receive(self, waiting: _InFlightCall) -> None:
        try:
            outcome = attempts.receive(
                waiting.pool, waiting.call, waiting.attempt, _READ_TIMEOUT_S
            )
        except Exception as error:
            self._report_crash(waiting.attempt, error)
            return
        self._end(waiting.attempt, outcome)

    def _report_crash(self, attempt: attempts.Attempt, error: Exception) -> None:
        logs.error("attempt_crashed", attempt=attempt.attempt_id, error=repr(error))
        self._end(attempt, attempts.Outcome(attempts.Kind.BROKEN, repr(error)))

    def _post(self, message: _InFlightCall | None) -> None:
        self._sent.put(message)
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            # A full buffer wakes the thread anyway; a closed socket means that the
            # thread has ended.
            return

    # Called on the selector thread

    def _wait_for_responses(self) -> None:
        while True:
            for key, _ in self._selector.select(_TIMEOUT_CHECK_S):
                if key.data is None:
                    self._discard_wake_ups()
                    continue
                self._selector.unregister(key.fileobj)
                self._submit_receive(key.data)
            if not self._register_sent():
                break
            self._expire_overdue()
        self._close()

    def _discard_wake_ups(self) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            return

    def _register_sent(self) -> bool:
        """Register the sent calls; return ``False`` when the thread has to stop."""
        while not self._sent.empty():
            waiting = self._sent.get()
            if waiting is None:
                return False
            try:
                self._selector.register(
                    waiting.call.sock, selectors.EVENT_READ, waiting
                )
            except (OSError, ValueError, KeyError) as error:
                # An unusable socket must not end the wait for all other responses.
                self._report_crash(waiting.attempt, error)
        return True

    def _submit_receive(self, waiting: _InFlightCall) -> None:
        try:
            self._executor.submit(self._receive, waiting)
        except RuntimeError:
            # The executor is shut down.
            waiting.call.close()

    def _expire_overdue(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_timeout_check_s:
            return
        self._next_timeout_check_s = now_s + _TIMEOUT_CHECK_S
        for waiting in self._list_in_flight():
            if now_s < waiting.until_s:
                continue
            self._selector.unregister(waiting.call.sock)
            waiting.call.close()
            outcome = attempts.make_timeout_outcome(waiting.attempt, waiting.timeout_s)
            self._end(waiting.attempt, outcome)

    def _list_in_flight(self) -> list[_InFlightCall]:
        keys = self._selector.get_map().values()
        return [key.data for key in keys if key.data is not None]

    def _close(self) -> None:
        for waiting in self._list_in_flight():
            waiting.call.close()
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()
