"""Runs blocking calls on behalf of the cluster thread."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import typing
from collections import abc

from endivevane import logs

_WORKERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CallFinished:
    """The outcome of a background call.

    :param outcome: what the function returned; ``None`` when it raised
    """

    kind: str
    outcome: typing.Any


class BackgroundCalls:
    """Runs at most one blocking call of each kind, in a small pool of threads.

    A slow table service therefore delays neither probes nor calls of other kinds.

    :param post: called with the outcome, on a thread of the pool
    """

    def __init__(self, post: abc.Callable[[CallFinished], None]) -> None:
        self._post = post
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _WORKERS, thread_name_prefix="cluster-call"
        )
        self._running: set[str] = set()

    def is_running(self, kind: str) -> bool:
        """Return whether a call of this kind is in progress."""
        return kind in self._running

    def start(self, kind: str, function: abc.Callable[[], typing.Any]) -> bool:
        """Run a function unless a call of its kind is in progress."""
        if kind in self._running:
            return False
        self._running.add(kind)
        self._executor.submit(self._run, kind, function)
        return True

    def finish(self, kind: str) -> None:
        """Allow the next call of a kind; called once its outcome is received."""
        self._running.discard(kind)

    def close(self) -> None:
        """Cancel the calls that have not started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, kind: str, function: abc.Callable[[], typing.Any]) -> None:
        outcome = None
        try:
            outcome = function()
        except Exception as error:
            # Without a posted outcome, no call of this kind could ever start again.
            logs.error("cluster_call_failed", kind=kind, error=repr(error))
        self._post(CallFinished(kind, outcome))
