"""Simulated targets."""

from __future__ import annotations

import collections
import dataclasses
from collections import abc


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request or batch item at an engine.

    :param hold_s: time for which it occupies a slot
    :param on_begin: called when it is given a slot
    :param on_end: called when it completes
    :ivar began_s: when it was given a slot, ``None`` before
    """

    hold_s: float
    on_begin: abc.Callable[[], None]
    on_end: abc.Callable[[], None]
    began_s: float | None = None
    is_over: bool = False


class Engine:
    """A target with slots and a FIFO queue.

    :param call_later: schedules a call after a delay
    :param clock: returns the simulated time
    """

    def __init__(
        self,
        name: str,
        region: int,
        slots: int,
        call_later: abc.Callable[..., None],
        clock: abc.Callable[[], float],
    ) -> None:
        self.name = name
        self.region = region
        self.slots = slots
        self._call_later = call_later
        self._clock = clock
        self._running: set[Run] = set()
        self._queue: collections.deque[Run] = collections.deque()

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._queue)

    def submit(self, run: Run) -> None:
        """Run a request, or queue it until a slot is free."""
        if run.is_over:
            return
        self._queue.append(run)
        self._fill()

    def cancel(self, run: Run) -> None:
        """Stop a request whose connection has closed."""
        if run.is_over:
            return
        run.is_over = True
        self._running.discard(run)
        if run in self._queue:
            self._queue.remove(run)
        self._fill()

    def _fill(self) -> None:
        while self._queue and len(self._running) < self.slots:
            run = self._queue.popleft()
            run.began_s = self._clock()
            self._running.add(run)
            run.on_begin()
            self._call_later(run.hold_s, self._end, run)

    def _end(self, run: Run) -> None:
        if run.is_over:
            return
        run.is_over = True
        self._running.discard(run)
        run.on_end()
        self._fill()
