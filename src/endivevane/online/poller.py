"""Selector and timers of the relay's thread."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
from collections import abc

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

# Gets the events and the monotonic time of the round.
Callback = abc.Callable[[int, float], None]


class Poller:
    """Calls a function when a socket is ready.

    One thread uses it.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._watched: set[int] = set()

    def set_events(self, sock: socket.socket, events: int, callback: Callback) -> None:
        """Watch a socket, replacing what was watched; no events ends the watch."""
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
        """Wait for events and return the keys, whose data is the function to call.

        A key may belong to a socket that the function of an earlier key closes, so
        each function has to check that its socket is still open.
        """
        return self._selector.select(timeout_s)

    def close(self) -> None:
        """Release the selector."""
        self._selector.close()


class Timers:
    """Functions to call at times; a heap, without cancellation.

    A function that is called although its time has moved must find out by itself.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, when_s: float, function: abc.Callable[[], None]) -> None:
        """Call a function at a monotonic time."""
        heapq.heappush(self._heap, (when_s, next(self._numbers), function))

    def next_s(self) -> float | None:
        """Return the earliest time, if any."""
        return self._heap[0][0] if self._heap else None

    def take_due(self, now_s: float) -> list[abc.Callable[[], None]]:
        """Remove and return the functions whose time has come."""
        due = []
        while self._heap and self._heap[0][0] <= now_s:
            due.append(heapq.heappop(self._heap)[2])
        return due
