"""Notices to batch senders of the online requests in flight at a target.

Load reports are about a second old, while online requests start and end within that
time. The batch sender of a nearly full target is therefore told of each change, so that
it can free a slot before the engine queues the request.
"""

from __future__ import annotations

import dataclasses

from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.online import contract, target_state

# A target with at most this share of free slots counts as nearly full.
_NEARLY_FULL_SHARE = 0.25
_MIN_FREE_SLOTS = 2
# Delay of notices of decreased counts, so that several ends make one notice.
_FALL_DELAY_S = 0.02
# Notices continue for this long after the target was last nearly full.
_WATCH_S = 2.0


@dataclasses.dataclass(slots=True)
class _Watched:
    """A target whose batch sender gets notices.

    :param until_s: time when the notices end
    :param due_s: time of the next notice, ``None`` if nothing has changed
    """

    target: snapshot.Target
    in_flight: int
    until_s: float
    due_s: float | None = None


class UseNotices:
    """Collects due notices; used by the relay's thread only."""

    def __init__(self, notices_clock: clock.Clock) -> None:
        self._clock = notices_clock
        self._watched: dict[str, _Watched] = {}

    def record_change(self, state: target_state.TargetState) -> None:
        """Record that the requests in flight at a target have changed."""
        now_s = self._clock.monotonic_s()
        name = state.target.name
        in_flight = len(state.in_flight)
        watched = self._watched.get(name)
        if is_nearly_full(state):
            if watched is None:
                watched = _Watched(state.target, 0, now_s)
                self._watched[name] = watched
            watched.until_s = now_s + _WATCH_S
        if watched is None:
            return
        delay_s = 0.0 if in_flight > watched.in_flight else _FALL_DELAY_S
        due_s = now_s + delay_s
        watched.due_s = due_s if watched.due_s is None else min(watched.due_s, due_s)
        watched.in_flight = in_flight

    def take_due(self) -> list[contract.UseNotice]:
        """Return the notices to send now."""
        now_s = self._clock.monotonic_s()
        taken = []
        for name, watched in list(self._watched.items()):
            if watched.due_s is not None and watched.due_s <= now_s:
                watched.due_s = None
                taken.append(contract.UseNotice(watched.target, watched.in_flight))
            if watched.due_s is None and now_s >= watched.until_s:
                del self._watched[name]
        return taken

    def next_due_s(self) -> float | None:
        """Return the monotonic time of the next notice, ``None`` without one."""
        due = [item.due_s for item in self._watched.values() if item.due_s is not None]
        return min(due, default=None)


def is_nearly_full(state: target_state.TargetState) -> bool:
    """Return whether a target has few free slots by its estimated load."""
    slots = state.target.slots
    free = slots - state.estimate_load()
    return free <= max(_MIN_FREE_SLOTS, _NEARLY_FULL_SHARE * slots)
