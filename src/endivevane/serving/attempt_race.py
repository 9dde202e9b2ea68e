"""Attempts of one request that run at the same time."""

from __future__ import annotations

import asyncio
import typing
from collections import abc

from endivevane.serving import attempts

# An attempt that another one was sent beside is ended after this long, unless that one
# has failed: two targets must not work on a request for as long as 400 ms.
_MAX_OVERLAP_S = 0.25

AttemptWork = abc.Coroutine[object, object, attempts.Outcome | None]


class AttemptRace:
    """Runs attempts of a request, of which the first to answer cancels the others.

    A second one is prepared while the target of the first is silent. Once it is sent,
    the request is its own: the first goes on only if the second fails at once.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[attempts.Outcome | None]] = set()
        self._leader: asyncio.Task[typing.Any] | None = None
        self._silence: asyncio.Future[None] | None = None

    @property
    def running(self) -> int:
        """Number of attempts under way."""
        return len(self._tasks)

    def start(self, work: AttemptWork) -> None:
        """Start an attempt, which returns how the request ended or ``None``."""
        self._tasks.add(asyncio.ensure_future(work))

    def lead(self) -> bool:
        """Give the request to the calling attempt; return whether there are others."""
        self._leader = asyncio.current_task()
        if len(self._tasks) == 1:
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(_MAX_OVERLAP_S, self._cancel_others, self._leader)
        return True

    async def claim(self) -> int:
        """Wait until the calling attempt may answer the client, and cancel the others.

        :returns: how many were cancelled
        """
        task = asyncio.current_task()
        while self._leader in self._tasks - {task} and not self._leader.done():
            await asyncio.wait((self._leader,))
        return self._cancel_others(task)

    def record_silence(self) -> None:
        """Record that the target of an attempt is silent."""
        if self._silence is not None and not self._silence.done():
            self._silence.set_result(None)

    @property
    def is_silent(self) -> bool:
        """Whether the last wait saw the target of an attempt silent."""
        return self._silence is not None and self._silence.done()

    async def wait(self) -> attempts.Outcome | None:
        """Wait until an attempt ends or a target is silent.

        :returns: how the request ended, ``None`` if it has not
        :raises Exception: what an attempt has raised
        """
        self._silence = asyncio.get_running_loop().create_future()
        awaited: list[asyncio.Future[typing.Any]] = [*self._tasks, self._silence]
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        outcome: attempts.Outcome | None = None
        for task in [task for task in self._tasks if task.done()]:
            self._tasks.discard(task)
            outcome = task.result() or outcome
        return outcome

    def _cancel_others(self, kept: asyncio.Task[typing.Any] | None) -> int:
        """Cancel all attempts but one, unless that one has ended; return how many."""
        if kept is None or kept not in self._tasks or kept.done():
            return 0
        others = self._tasks - {kept}
        for task in others:
            task.cancel()
        self._tasks -= others
        return len(others)

    async def cancel(self) -> None:
        """Cancel the attempts under way and wait until they have ended."""
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
