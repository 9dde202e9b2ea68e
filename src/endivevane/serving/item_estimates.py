"""Estimates of how long batch items run, learned from those that have ended."""

from __future__ import annotations

import dataclasses
import enum

_WEIGHT = 0.1
# Time between events and events of an item, until some items have ended here.
_INITIAL_EVENT_INTERVAL_S = 0.03
_INITIAL_EVENTS_PER_ITEM = 100.0
# Time of an item besides its events: connection, queueing and prefill.
_OVERHEAD_S = 0.2
# An item with less slack than this misses its due time unless it runs now: a burst of
# online load and the gap after it last about that long.
_URGENT_SLACK_S = 4.0


class Urgency(enum.IntEnum):
    """The order in which items run."""

    URGENT = 0
    NORMAL = 1
    LATE = 2


@dataclasses.dataclass(slots=True)
class ItemEstimator:
    """Moving averages over the items that ended on this daemon.

    :ivar event_interval_s: time between two events of a running item
    :ivar events_per_item: number of events of a complete item
    """

    event_interval_s: float = _INITIAL_EVENT_INTERVAL_S
    events_per_item: float = _INITIAL_EVENTS_PER_ITEM
    _has_items: bool = False

    def record_run(self, events: int, seconds: float) -> None:
        """Record a run that delivered events."""
        if events <= 1 or seconds <= 0:
            return
        self.event_interval_s += _WEIGHT * (seconds / events - self.event_interval_s)

    def record_item(self, events: int) -> None:
        """Record the number of events of a complete item."""
        weight = _WEIGHT if self._has_items else 1.0
        self._has_items = True
        self.events_per_item += weight * (events - self.events_per_item)

    def classify_urgency(self, events_so_far: int, left_s: float) -> Urgency:
        """Return how urgent an item is.

        :param left_s: time until it is due
        """
        remaining = max(0.0, self.events_per_item - events_so_far)
        slack_s = left_s - remaining * self.event_interval_s - _OVERHEAD_S
        if slack_s < 0:
            return Urgency.LATE
        if slack_s < _URGENT_SLACK_S:
            return Urgency.URGENT
        return Urgency.NORMAL
