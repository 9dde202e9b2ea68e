"""Splitting a stream of server-sent events into whole events."""

from __future__ import annotations

import dataclasses
import re

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\n|\r")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A whole event.

    :param raw: its bytes, with the blank line that ends it
    :param event_id: its id, empty if it has none
    :param data: its data, lines joined by line feeds, ``None`` if it has none
    """

    raw: bytes
    event_id: bytes
    data: bytes | None


class EventSplitter:
    """Collects bytes until they make whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes that do not make a whole event yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        self._rest += data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(self._rest):
            events.append(_parse_event(self._rest[start : match.end()]))
            start = match.end()
        self._rest = self._rest[start:]
        return events


def _parse_event(raw: bytes) -> Event:
    event_id = b""
    data: list[bytes] = []
    for line in _LINE_END.split(raw):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value
        elif name == b"data":
            data.append(value)
    return Event(raw, event_id, b"\n".join(data) if data else None)
