"""Selector and timers of the relay's thread."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
from collections import abc

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

# Called with the events and the monotonic time of the round.
Callback = abc.Callable[[int, float], None]


class Poller:
    """Selector whose keys hold the callback of each socket. Not thread-safe."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._watched: set[int] = set()

    def set_events(self, sock: socket.socket, events: int, callback: Callback) -> None:
        """Set the events to watch on a socket; no events stop watching it."""
        descriptor = sock.fileno()
        if descriptor in self._watched:
            if events:
                self._selector.modify(sock, events, callback)
                return
            self._selector.unregister(sock)
            self._watched.discard(descriptor)
        elif events:
            self._selector.register(sock, events, callback)
            self._watched.add(descriptor)

    def wait(self, timeout_s: float | None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events and return the keys, whose data is the callback.

        The callback of an earlier key may close the socket of a later one, so each
        callback has to check that its socket is still open.
        """
        return self._selector.select(timeout_s)

    def close(self) -> None:
        """Release the selector."""
        self._selector.close()


class Timers:
    """A heap of scheduled functions, without cancellation.

    A function whose time was moved has to check on its own whether it is due.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, when_s: float, function: abc.Callable[[], None]) -> None:
        """Call a function at a monotonic time."""
        heapq.heappush(self._heap, (when_s, next(self._numbers), function))

    def next_s(self) -> float | None:
        """Return the earliest scheduled time, or ``None``."""
        return self._heap[0][0] if self._heap else None

    def take_due(self, now_s: float) -> list[abc.Callable[[], None]]:
        """Remove and return the functions that are due."""
        due = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[2])
        return due
