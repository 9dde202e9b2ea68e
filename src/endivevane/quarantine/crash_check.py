"""Check whether a target has ended, or only a connection to it.

A process that ends resets all of its connections and refuses new ones. A reset alone
may be due to the network path or to a faulty answer.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections import abc

from endivevane.quarantine import evidence
from endivevane.serving import model, target_probe

# The attempts that a target's end breaks off are noticed within this time.
COLLECT_S = 0.02
# A target that was reached is not checked again for this long.
_ALIVE_TTL_S = 0.3
_MAX_REMEMBERED = 256

EndObserver = abc.Callable[[str, float, tuple[evidence.Suspect, ...]], None]
AnswerObserver = abc.Callable[[evidence.Suspect], None]


@dataclasses.dataclass(slots=True)
class _Examination:
    """Attempts that one run of a target broke off, or may have.

    :ivar broken_s: monotonic time of the first one
    :ivar broken: requests of attempts that it broke off
    :ivar unframed: requests whose answers ended with their connection, and are whole if
        the target has not ended
    """

    target: model.Target
    broken_s: float
    broken: list[evidence.Suspect] = dataclasses.field(default_factory=list)
    unframed: list[evidence.Suspect] = dataclasses.field(default_factory=list)


class CrashCheck:
    """Finds out which targets have ended.

    :param on_end: called with the run of a target that has ended, the monotonic time
        and this daemon's requests whose answers were not whole there
    :param on_whole: called with a request whose answer ended with its connection and is
        whole, since the target lives
    """

    def __init__(self, on_end: EndObserver, on_whole: AnswerObserver) -> None:
        self._on_end = on_end
        self._on_whole = on_whole
        self._examinations: dict[str, _Examination] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._alive_until_s: dict[str, float] = {}
        self._ended: dict[str, float] = {}

    def add(self, target: model.Target, suspect: evidence.Suspect) -> None:
        """Add an attempt that a target broke off before its answer was whole."""
        if time.monotonic() >= self._alive_until_s.get(target.run_key, 0.0):
            self._find_examination(target).broken.append(suspect)

    def add_unframed(self, target: model.Target, suspect: evidence.Suspect) -> None:
        """Add an answer without a length or chunks that ended with its connection."""
        self._find_examination(target).unframed.append(suspect)

    def _find_examination(self, target: model.Target) -> _Examination:
        """Return the examination of a target that is under way, or begin one."""
        run_key = target.run_key
        examination = self._examinations.get(run_key)
        if examination is None:
            examination = _Examination(target, time.monotonic())
            self._examinations[run_key] = examination
            task = asyncio.ensure_future(self._examine(run_key, examination))
            self._tasks[run_key] = task
            task.add_done_callback(lambda done: self._forget(run_key, done))
        return examination

    def _forget(self, run_key: str, task: asyncio.Task[None]) -> None:
        """Forget a check that is over, unless another one of the run has begun."""
        if self._tasks.get(run_key) is task:
            del self._tasks[run_key]

    async def wait(self, run_key: str) -> None:
        """Wait until the check of a run of a target that is under way is over."""
        task = self._tasks.get(run_key)
        if task is not None:
            await asyncio.wait((task,))

    async def _examine(self, run_key: str, examination: _Examination) -> None:
        await asyncio.sleep(COLLECT_S)
        ended_s = self._ended.get(run_key)
        if ended_s is None and await _refuses_connections(examination.target):
            ended_s = examination.broken_s
            _remember(self._ended, run_key, ended_s)
        del self._examinations[run_key]
        if ended_s is None:
            self._record_alive(run_key, examination)
            return
        suspects = sorted(
            (*examination.broken, *examination.unframed), key=lambda item: -item.weight
        )
        reported = tuple(suspects[: evidence.MAX_REPORTED_SUSPECTS])
        self._on_end(run_key, ended_s, reported)

    def _record_alive(self, run_key: str, examination: _Examination) -> None:
        for suspect in examination.unframed:
            self._on_whole(suspect)
        if examination.broken:
            until_s = time.monotonic() + _ALIVE_TTL_S
            _remember(self._alive_until_s, run_key, until_s)


async def _refuses_connections(target: model.Target) -> bool:
    reachability = await target_probe.connect(target)
    return reachability is target_probe.Reachability.REFUSED


def _remember(times_s: dict[str, float], run_key: str, time_s: float) -> None:
    times_s[run_key] = time_s
    if len(times_s) > _MAX_REMEMBERED:
        del times_s[next(iter(times_s))]
