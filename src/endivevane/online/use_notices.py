"""Tells the batch senders how many online requests this daemon has at a target.

Load reports are about a second old, while online requests come and go within that
time. At a target that is nearly full, the batch sender therefore gets each change of
the count directly, so that it can free a slot before the engine makes the request wait.
"""

from __future__ import annotations

import dataclasses

from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.online import contract, target_state

# A target with fewer free slots than this share counts as nearly full.
_NEARLY_FULL_SHARE = 0.25
_MIN_FREE_SLOTS = 2
# Falling counts may wait this long, so that several ends make one notice.
_FALL_DELAY_S = 0.02
# Notices go on for this long after the target was last nearly full.
_WATCH_S = 2.0


@dataclasses.dataclass(slots=True)
class _Watched:
    """A target whose batch sender is being told.

    :param until_s: end of the notices
    :param due_s: when the next notice goes out; ``None`` when nothing has changed
    """

    target: snapshot.Target
    in_flight: int
    until_s: float
    due_s: float | None = None


class UseNotices:
    """Collects the notices that are due; the relay's thread alone uses it."""

    def __init__(self, notices_clock: clock.Clock) -> None:
        self._clock = notices_clock
        self._watched: dict[str, _Watched] = {}

    def note(self, state: target_state.TargetState) -> None:
        """Take in that the requests in flight at a target have changed."""
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
    """Tell whether a target has few free slots, as far as is known."""
    slots = state.target.slots
    free = slots - state.estimate_load()
    return free <= max(_MIN_FREE_SLOTS, _NEARLY_FULL_SHARE * slots)
