"""Times in which faults disturb the daemons of the soak test."""

from __future__ import annotations

import collections
import contextlib
import time
from collections import abc

# Name under which faults that disturb all daemons are recorded.
ALL_DAEMONS = ""
# Rules with a time bound hold for daemons that were undisturbed for this time.
_STABLE_S = 5.0


class Disturbances:
    """Records which daemons faults disturb, and until when."""

    def __init__(self) -> None:
        self._current: collections.Counter[str] = collections.Counter()
        self._last_end_s: dict[str, float] = {}

    @contextlib.contextmanager
    def record(self, daemon: str) -> abc.Iterator[None]:
        """Record a daemon as disturbed while the context lasts."""
        self._current[daemon] += 1
        try:
            yield
        finally:
            self._current[daemon] -= 1
            self._last_end_s[daemon] = time.monotonic()

    def is_stable(self, daemon: str, sent_s: float) -> bool:
        """Return whether a daemon was undisturbed before a request and ever since."""
        return not any(
            self._current[name] or self._last_end_s.get(name, 0.0) + _STABLE_S > sent_s
            for name in (daemon, ALL_DAEMONS)
        )
