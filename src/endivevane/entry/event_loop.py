"""The event loop of the daemon."""

from __future__ import annotations

import asyncio
import selectors

# Maximum number of consecutive non-blocking polls to skip.
_MAX_SKIPPED = 3


class PollSkippingSelector(selectors.DefaultSelector):
    """Skips most polls of the sockets that would not block.

    The loop polls all sockets before each round of callbacks. While callbacks schedule
    further ones, as when a task continues after a read, most of these polls find
    nothing and cost a system call each.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready."""
        is_nonblocking = timeout is not None and timeout <= 0
        if is_nonblocking and self._skipped < _MAX_SKIPPED:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def make_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(PollSkippingSelector())
