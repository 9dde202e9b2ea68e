"""Requests that left their targets a moment ago.

A client that leaves, or another attempt that takes a request over, cancels an attempt
whose target may already be ending under it.
"""

from __future__ import annotations

import collections

from endivevane.quarantine import evidence

# A target that ends this much later may have ended under the request.
_TTL_S = 1.0
_MAX_REMEMBERED = 256


class LeftRequests:
    """Remembers for a while which requests left which runs of targets."""

    def __init__(self) -> None:
        # (monotonic time, run of the target, request), oldest first.
        self._left: collections.deque[tuple[float, str, evidence.Suspect]] = (
            collections.deque(maxlen=_MAX_REMEMBERED)
        )

    def add(self, run_key: str, suspect: evidence.Suspect, now_s: float) -> None:
        """Record that a request has left before its answer was whole."""
        while self._left and now_s - self._left[0][0] > _TTL_S:
            self._left.popleft()
        self._left.append((now_s, run_key, suspect))

    def find(self, run_key: str, ended_s: float) -> tuple[evidence.Suspect, ...]:
        """Return the requests that left a run of a target shortly before its end."""
        return tuple(
            suspect
            for left_s, key, suspect in self._left
            if key == run_key and ended_s - left_s <= _TTL_S
        )
