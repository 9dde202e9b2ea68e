"""Turns in which connections decode what takes long, so that others are served."""

from __future__ import annotations

import asyncio
import collections
import time
import typing
from collections import abc

# Pause after a turn, in multiples of the turn: costly work takes at most a quarter of
# the time, and the rest is left for all other work.
_PAUSE_FACTOR = 3.0
_WAIT_TIMEOUT_S = 3.0

_Result = typing.TypeVar("_Result")


class NoTurn(Exception):
    """A connection got no turn in time."""


def _ignore(_turn: object) -> None:
    """Do nothing with the future of a wait."""


class WorkTurns:
    """Lets one connection at a time do costly work, in the order of their asking.

    A pause follows each turn, unless the same owner asks again and nobody else waits.
    """

    def __init__(self) -> None:
        self._is_taken = False
        self._last_owner: object = None
        self._pause: asyncio.TimerHandle | None = None
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    async def run(
        self,
        owner: object,
        work: abc.Callable[[], _Result],
        record_wait: abc.Callable[[asyncio.Future[None] | None], None] = _ignore,
    ) -> _Result:
        """Wait for a turn and return what a function returns.

        :param owner: whose work it is
        :param record_wait: takes the future that is waited for, which may be given an
            exception to end the wait, and ``None`` at its end
        :raises NoTurn: when the wait takes too long
        """
        turn = self._ask(owner)
        record_wait(turn)
        try:
            async with asyncio.timeout(_WAIT_TIMEOUT_S):
                await turn
        except BaseException as error:
            if turn.done() and not turn.cancelled() and turn.exception() is None:
                self._give_next()
            if isinstance(error, TimeoutError):
                raise NoTurn from error
            raise
        finally:
            record_wait(None)
        began_s = time.monotonic()
        try:
            return work()
        finally:
            self._end(owner, time.monotonic() - began_s)

    def _ask(self, owner: object) -> asyncio.Future[None]:
        """Return a future that is done when the turn has come."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        is_alone = self._last_owner is owner and not self._waiting
        if self._pause is not None and is_alone:
            self._pause.cancel()
            self._pause = None
        elif self._is_taken:
            self._waiting.append(turn)
            return turn
        self._is_taken = True
        turn.set_result(None)
        return turn

    def _end(self, owner: object, spent_s: float) -> None:
        self._last_owner = owner
        loop = asyncio.get_running_loop()
        self._pause = loop.call_later(spent_s * _PAUSE_FACTOR, self._give_next)

    def _give_next(self) -> None:
        self._pause = None
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._is_taken = False
