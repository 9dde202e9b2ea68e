"""Runs of daemons that a later run has replaced.

Incarnations have no order, so a late message about a former run looks like one about a
new run.
"""

from __future__ import annotations

import time

# Messages about a run that has been replaced arrive within this time.
_TTL_S = 10.0


class FormerRuns:
    """Remembers for a while which runs have been replaced."""

    def __init__(self) -> None:
        # (name, incarnation) -> monotonic time until which it is remembered.
        self._until_s: dict[tuple[str, str], float] = {}

    def record(self, name: str, incarnation: str) -> None:
        """Record that a later run of a daemon has replaced one."""
        now_s = time.monotonic()
        self._until_s = {
            key: until_s for key, until_s in self._until_s.items() if now_s < until_s
        }
        self._until_s[(name, incarnation)] = now_s + _TTL_S

    def includes(self, name: str, incarnation: str) -> bool:
        """Whether a run was replaced a moment ago."""
        return time.monotonic() < self._until_s.get((name, incarnation), 0.0)
