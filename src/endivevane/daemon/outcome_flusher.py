"""Stores outcomes of at-most-once calls that could not be stored at once."""

from __future__ import annotations

import threading
from collections import abc

from endivevane import logs
from endivevane.coordination import register
from endivevane.online import at_most_once

_INTERVAL_S = 1.0


class OutcomeFlusher:
    """Stores outcomes that waited for the table service or the object store.

    :param call_register: rows of the calls
    :param keeper: outcomes that are kept as objects
    """

    def __init__(
        self, call_register: register.Register, keeper: at_most_once.OutcomeKeeper
    ) -> None:
        self._register = call_register
        self._keeper = keeper
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="outcomes", daemon=True)

    def start(self) -> None:
        """Start the task."""
        self._thread.start()

    def stop(self) -> None:
        """End the task after one more flush, in the thread of the caller."""
        self._stopped.set()
        self._flush()

    def _run(self) -> None:
        while not self._stopped.wait(_INTERVAL_S):
            self._flush()

    def _flush(self) -> None:
        _run_safely(self._register.flush)
        _run_safely(self._keeper.flush)


def _run_safely(function: abc.Callable[[], object]) -> None:
    try:
        function()
    except Exception as error:
        logs.error("flush_failed", error=repr(error))
