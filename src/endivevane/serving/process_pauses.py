"""Detection of pauses of the whole process."""

from __future__ import annotations

import asyncio
from collections import abc

from endivevane import logs
from endivevane.serving import copy_age

_TICK_S = 0.4
# After a pause longer than this, what the process knows may be stale.
_MIN_PAUSE_S = 0.8


class ProcessPauses:
    """Tells observers of each pause of the process before anything is decided.

    After a pause, tasks that were due run in any order, so that one which decides from
    what it knew before asks :meth:`check` first. The boot-time clock also counts the
    time for which a VM was suspended.
    """

    def __init__(self) -> None:
        self._running_s = copy_age.read_clock_s()
        self._observers: list[abc.Callable[[], None]] = []

    def call_after(self, observer: abc.Callable[[], None]) -> None:
        """Call a function after each pause."""
        self._observers.append(observer)

    def check(self) -> None:
        """Report a pause that has just ended, once."""
        now_s = copy_age.read_clock_s()
        pause_s = now_s - self._running_s - _TICK_S
        self._running_s = now_s
        if pause_s < _MIN_PAUSE_S:
            return
        logs.warning("process_stood_still", pause_ms=int(pause_s * 1000))
        for observer in self._observers:
            observer()

    async def watch(self) -> None:
        """Check for pauses until cancelled."""
        self._running_s = copy_age.read_clock_s()
        while True:
            await asyncio.sleep(_TICK_S)
            self.check()
