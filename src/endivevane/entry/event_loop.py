"""The event loop of the daemon."""

from __future__ import annotations

import asyncio
import selectors

# Looks without waiting that are left out in a row.
_MOST_LEFT_OUT = 3


class PollSkippingSelector(selectors.DefaultSelector):
    """Leaves out most looks at the sockets that would not wait.

    The loop looks at all sockets before each round of callbacks. While callbacks follow
    from each other, as where a task goes on after a read, most of these looks find
    nothing and cost a system call each.
    """

    def __init__(self) -> None:
        super().__init__()
        self._left_out = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the sockets that are ready."""
        is_look = timeout is not None and timeout <= 0
        if is_look and self._left_out < _MOST_LEFT_OUT:
            self._left_out += 1
            return []
        self._left_out = 0
        return super().select(timeout)


def make_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(PollSkippingSelector())
