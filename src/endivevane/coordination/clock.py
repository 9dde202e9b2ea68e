"""Injectable clocks, so that tests control time."""

from __future__ import annotations

import time
import typing


class Clock(typing.Protocol):
    """A monotonic clock and a wall clock."""

    def monotonic_s(self) -> float:
        """Return seconds that never go back, of this process only."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, which may jump."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic_s(self) -> float:
        """Return seconds that never go back, of this process only."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch, which may jump."""
        return time.time_ns() // 1_000_000


class ManualClock:
    """A clock that advances only on request.

    :param start_s: first reading of the monotonic clock
    :param wall_ms: first reading of the wall clock
    """

    def __init__(self, start_s: float = 0.0, wall_ms: int = 0) -> None:
        self._now_s = start_s
        self._wall_offset_ms = wall_ms - int(start_s * 1000)

    def monotonic_s(self) -> float:
        """Return the current reading in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Return the current reading in milliseconds since the epoch."""
        return self._wall_offset_ms + int(self._now_s * 1000)

    def advance(self, duration_s: float) -> None:
        """Move both clocks forward.

        :param duration_s: zero or more
        """
        self._now_s += duration_s
