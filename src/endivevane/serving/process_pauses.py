"""Detection of pauses of the whole process."""

from __future__ import annotations

import asyncio
import time
from collections import abc

from endivevane import logs

_TICK_S = 0.4
# After a pause longer than this, what the process knows may be stale.
_MIN_PAUSE_S = 0.8


async def watch_process_pauses(on_pause: abc.Callable[[], None]) -> None:
    """Call a function after each pause of the process, until cancelled.

    The boot-time clock also counts the time for which a VM was suspended.
    """
    last_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        await asyncio.sleep(_TICK_S)
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        pause_s = now_s - last_s - _TICK_S
        last_s = now_s
        if pause_s < _MIN_PAUSE_S:
            continue
        logs.warning("process_stood_still", pause_ms=int(pause_s * 1000))
        on_pause()
