"""Calls of batch items in flight, whose answers one thread waits for.

A thread per item would mean several hundred in each daemon at the target size. Here a
few threads send and read, which is short, and a selector does the long waiting.
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

# Connecting may take a second at a lost VM, so one must not hold up the others.
_CALL_THREADS = 16
# An engine writes an unstreamed answer in one piece.
_READ_TIMEOUT_S = 5.0
_LIMIT_CHECK_S = 0.5

End = abc.Callable[[attempts.Attempt, attempts.Outcome], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """An attempt that was sent.

    :param until_s: monotonic time at which it is given up
    """

    pool: http_pool.HttpPool
    call: http_pool.SentCall
    attempt: attempts.Attempt
    timeout_s: float
    until_s: float


class ItemCalls:
    """Sends items to engines and waits for their answers.

    :param end: called with the outcome of each attempt, on one of the threads
    """

    def __init__(self, calls_clock: clock.Clock, end: End) -> None:
        self._clock = calls_clock
        self._end = end
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, "batch-item"
        )
        self._sent: queue.SimpleQueue[_Waiting | None] = queue.SimpleQueue()
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._limits_at_s = 0.0
        self._thread = threading.Thread(
            target=self._wait_for_answers, name="batch-answers", daemon=True
        )
        self._thread.start()

    def start(
        self, pool: http_pool.HttpPool, attempt: attempts.Attempt, timeout_s: float
    ) -> None:
        """Begin an attempt.

        :param timeout_s: how long its answer may take
        """
        self._executor.submit(self._send, pool, attempt, timeout_s)

    def stop(self) -> None:
        """Give up all attempts without an outcome."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._post(None)

    # On the executor's threads

    def _send(
        self, pool: http_pool.HttpPool, attempt: attempts.Attempt, timeout_s: float
    ) -> None:
        try:
            sent = attempts.send(pool, attempt)
        except Exception as error:
            self._end_crashed(attempt, error)
            return
        if isinstance(sent, attempts.Outcome):
            self._end(attempt, sent)
            return
        until_s = self._clock.monotonic_s() + timeout_s
        self._post(_Waiting(pool, sent, attempt, timeout_s, until_s))

    def _receive(self, waiting: _Waiting) -> None:
        try:
            outcome = attempts.receive(
                waiting.pool, waiting.call, waiting.attempt, _READ_TIMEOUT_S
            )
        except Exception as error:
            self._end_crashed(waiting.attempt, error)
            return
        self._end(waiting.attempt, outcome)

    def _end_crashed(self, attempt: attempts.Attempt, error: Exception) -> None:
        logs.error("attempt_crashed", attempt=attempt.attempt_id, error=repr(error))
        self._end(attempt, attempts.Outcome(attempts.Kind.BROKEN, repr(error)))

    def _post(self, message: _Waiting | None) -> None:
        self._sent.put(message)
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            # A full buffer wakes the thread too; a closed one means that it has ended.
            return

    # On the waiting thread

    def _wait_for_answers(self) -> None:
        while True:
            for key, _ in self._selector.select(_LIMIT_CHECK_S):
                if key.data is None:
                    self._drain_wake_ups()
                    continue
                self._selector.unregister(key.fileobj)
                self._submit_receive(key.data)
            if not self._watch_sent():
                break
            self._give_up_late()
        self._close()

    def _drain_wake_ups(self) -> None:
        try:
            self._wake_reader.recv(4096)
        except BlockingIOError:
            return

    def _watch_sent(self) -> bool:
        """Watch the calls that were sent; return whether to go on."""
        while not self._sent.empty():
            waiting = self._sent.get()
            if waiting is None:
                return False
            try:
                self._selector.register(
                    waiting.call.sock, selectors.EVENT_READ, waiting
                )
            except (OSError, ValueError, KeyError) as error:
                # One bad socket must not end the wait for all other answers.
                self._end_crashed(waiting.attempt, error)
        return True

    def _submit_receive(self, waiting: _Waiting) -> None:
        try:
            self._executor.submit(self._receive, waiting)
        except RuntimeError:
            # The executor has been stopped.
            waiting.call.close()

    def _give_up_late(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._limits_at_s:
            return
        self._limits_at_s = now_s + _LIMIT_CHECK_S
        for waiting in self._list_waiting():
            if now_s < waiting.until_s:
                continue
            self._selector.unregister(waiting.call.sock)
            waiting.call.close()
            outcome = attempts.give_up(waiting.attempt, waiting.timeout_s)
            self._end(waiting.attempt, outcome)

    def _list_waiting(self) -> list[_Waiting]:
        keys = self._selector.get_map().values()
        return [key.data for key in keys if key.data is not None]

    def _close(self) -> None:
        for waiting in self._list_waiting():
            waiting.call.close()
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()
