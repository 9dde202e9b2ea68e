"""How long ago a copy of rows was the same as the store's."""

from __future__ import annotations

import time


def read_clock_s() -> float:
    """Return the time of a clock that also runs while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CopyAge:
    """Remembers the last moment at which a copy was known to be complete.

    A response shows the rows of some moment after its call was sent, however long it
    then waited to be read; so a copy is as of the moment at which the call was sent.
    """

    def __init__(self) -> None:
        self._as_of_s = float("-inf")

    def confirm(self, as_of_s: float) -> None:
        """Record that the copy has all changes up to a time of the boot clock."""
        self._as_of_s = max(self._as_of_s, as_of_s)

    def is_as_of(self, moment_s: float) -> bool:
        """Return whether the copy has all changes up to a time of the boot clock."""
        return self._as_of_s >= moment_s

    def measure_s(self) -> float:
        """Return the time since the copy was known to be complete, or infinity."""
        return read_clock_s() - self._as_of_s
