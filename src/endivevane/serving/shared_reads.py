"""Reads that those who ask for the same thing at the same time share."""

from __future__ import annotations

import asyncio
from collections import abc


class SharedReads:
    """Runs at most one read per key at a time.

    Whoever asks during a read is served by the next one, which begins after the
    question was asked; all who ask until then share it.

    :param read: reads what a key names
    """

    def __init__(self, read: abc.Callable[[str], abc.Awaitable[None]]) -> None:
        self._read = read
        # Reads that have begun, and those that begin after them.
        self._running: dict[str, asyncio.Task[None]] = {}
        self._next: dict[str, asyncio.Task[None]] = {}

    async def read(self, key: str) -> None:
        """Wait for a read that begins after this call; raise what it raises."""
        task = self._next.get(key)
        if task is None:
            task = asyncio.ensure_future(self._run(key))
            # A failure that nobody waits for any more is no error.
            task.add_done_callback(_retrieve)
            self._next[key] = task
        # Whoever waits may leave; the read goes on for the others.
        await asyncio.shield(task)

    async def _run(self, key: str) -> None:
        running = self._running.get(key)
        if running is not None:
            await asyncio.wait((running,))
        task = self._next.pop(key)
        self._running[key] = task
        try:
            await self._read(key)
        finally:
            del self._running[key]


def _retrieve(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()
