"""Splitting a stream of server-sent events into whole events."""

from __future__ import annotations

import dataclasses
import re

from endivevane.serving import failures

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_BOUNDARY_BYTES = 4
# An event carries some tokens; what is larger is no event.
_MOST_EVENT_BYTES = 256 * 1024
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


class EventTooLarge(failures.ServingError):
    """Bytes came that do not make an event."""

    def format_message(self) -> str:
        """Return what is wrong."""
        return "event too large"


class EventParser:
    """Collects bytes until they make whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def remainder(self) -> bytes:
        """Bytes that do not make a whole event yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now.

        :raises EventTooLarge: when an event does not end
        """
        # A boundary may begin in the last bytes that were searched before.
        searched = max(0, len(self._rest) - _BOUNDARY_BYTES)
        self._rest += data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(self._rest, searched):
            events.append(_parse_event(self._rest[start : match.end()]))
            start = match.end()
        self._rest = self._rest[start:]
        if len(self._rest) > _MOST_EVENT_BYTES:
            raise EventTooLarge
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
