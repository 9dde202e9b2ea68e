"""Keeps recent events of each request, for ``endivevanectl explain``."""

from __future__ import annotations

import collections
import dataclasses
import threading
from collections import abc

from endivevane import logs
from endivevane.coordination import clock

_MAX_REQUESTS = 4000
_MAX_EVENTS_PER_REQUEST = 40


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedEvent:
    """One logged event of a request."""

    wall_ms: int
    event: str
    detail: str


class RequestHistory:
    """Bounded history of the logged events that carry a request id.

    :param history_clock: source of the events' timestamps
    """

    def __init__(self, history_clock: clock.Clock) -> None:
        self._clock = history_clock
        self._lock = threading.Lock()
        self._events: collections.OrderedDict[str, list[RecordedEvent]] = (
            collections.OrderedDict()
        )

    def observe(self, event: str, fields: abc.Mapping[str, object]) -> None:
        """Record a logged event, as a log observer."""
        request_id = fields.get("request_id")
        if not isinstance(request_id, str):
            return
        others = {key: value for key, value in fields.items() if key != "request_id"}
        _, _, detail = logs.format_event(event, **others).partition(" ")
        record = RecordedEvent(self._clock.wall_ms(), event, detail)
        with self._lock:
            events = self._events.setdefault(request_id, [])
            if len(events) < _MAX_EVENTS_PER_REQUEST:
                events.append(record)
            while len(self._events) > _MAX_REQUESTS:
                self._events.popitem(last=False)

    def find(self, request_id: str) -> list[RecordedEvent]:
        """Return the events of a request, oldest first; empty when unknown."""
        with self._lock:
            return list(self._events.get(request_id, []))
