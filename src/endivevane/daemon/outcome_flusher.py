"""Stores deferred outcomes of at-most-once calls."""

from __future__ import annotations

import threading
from collections import abc

from endivevane import logs
from endivevane.coordination import register
from endivevane.online import at_most_once

_INTERVAL_S = 1.0


class OutcomeFlusher:
    """Retries storing outcomes in the table service and the object store.

    :param call_register: register of the calls' rows
    :param keeper: stores outcomes as objects
    """

    def __init__(
        self, call_register: register.Register, keeper: at_most_once.OutcomeKeeper
    ) -> None:
        self._register = call_register
        self._keeper = keeper
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="outcomes", daemon=True)

    def start(self) -> None:
        """Start the flush thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after a final flush on the caller's thread."""
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
