"""The steady clock of the store, which all daemons read the same."""

from __future__ import annotations

from endivevane.serving import copy_age


class StoreClock:
    """Tells the time of the store's clock between its responses.

    It goes on while the VM is suspended.
    """

    def __init__(self) -> None:
        self._offset_ms: float | None = None

    def record(self, now_ms: int) -> None:
        """Record the time of a response, 0 if it names none.

        A response that has travelled longest shows the earliest time.
        """
        if not now_ms:
            return
        offset_ms = now_ms - copy_age.read_clock_s() * 1000
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def read_ms(self) -> int | None:
        """Return the time, ``None`` before the first response that names it."""
        if self._offset_ms is None:
            return None
        return int(copy_age.read_clock_s() * 1000 + self._offset_ms)
