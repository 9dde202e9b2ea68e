"""How long batch items take, learned from those that ended."""

from __future__ import annotations

import dataclasses
import enum

_WEIGHT = 0.1
# Time between events and events of an item, until some items have ended.
_FIRST_EVENT_S = 0.03
_FIRST_EVENTS = 100.0
# Time of an item besides its events: connection, queue and prefill.
_START_S = 0.2
# An item with less time to spare than this misses its due time unless it runs now: a
# pulse of online load and a gap after it last about that long.
_URGENT_SPARE_S = 4.0


class Urgency(enum.IntEnum):
    """In which order items run."""

    URGENT = 0
    NORMAL = 1
    LATE = 2


@dataclasses.dataclass(slots=True)
class ItemEstimator:
    """Means over the items that ended here.

    :ivar event_interval_s: time between two events of a running item
    :ivar events_per_item: events of a whole item
    """

    event_interval_s: float = _FIRST_EVENT_S
    events_per_item: float = _FIRST_EVENTS
    _has_seen: bool = False

    def record_run(self, events: int, seconds: float) -> None:
        """Take in a run that brought events."""
        if events <= 1 or seconds <= 0:
            return
        self.event_interval_s += _WEIGHT * (seconds / events - self.event_interval_s)

    def record_item(self, events: int) -> None:
        """Take in the number of events of a whole item."""
        weight = _WEIGHT if self._has_seen else 1.0
        self._has_seen = True
        self.events_per_item += weight * (events - self.events_per_item)

    def classify_urgency(self, events_so_far: int, left_s: float) -> Urgency:
        """Return how urgent an item is.

        :param left_s: time until it is due
        """
        missing = max(0.0, self.events_per_item - events_so_far)
        spare_s = left_s - missing * self.event_interval_s - _START_S
        if spare_s < 0:
            return Urgency.LATE
        if spare_s < _URGENT_SPARE_S:
            return Urgency.URGENT
        return Urgency.NORMAL
