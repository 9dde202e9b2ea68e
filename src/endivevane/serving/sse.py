"""Incremental parser for server-sent events."""

from __future__ import annotations

import dataclasses
import re

from endivevane.serving import failures

_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_BOUNDARY_BYTES = 4
# An event carries a few tokens, so anything larger is not a valid event.
_MAX_EVENT_BYTES = 256 * 1024
_LINE_END = re.compile(rb"\r\n|\n|\r")
_KNOWN_FIELDS = frozenset((b"data", b"event", b"id", b"retry"))
# Other fields are allowed beside the known ones.
_FIELD_NAME = re.compile(rb"[a-z][a-z0-9_-]*")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    :param raw: bytes of the event with the blank line that ends it
    :param event_id: value of its ``id`` field, empty if there is none
    :param data: its ``data`` lines joined by line feeds, ``None`` if there are none
    :param is_valid: whether it consists of fields and comments
    """

    raw: bytes
    event_id: bytes
    data: bytes | None
    is_valid: bool = True


class EventTooLarge(failures.ServingError):
    """An event exceeds the size limit."""

    def format_message(self) -> str:
        """Return the message."""
        return "event too large"


class EventParser:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLarge: when an incomplete event exceeds the size limit
        """
        # A boundary may start in the last bytes of the previous search.
        searched = max(0, len(self._buffer) - _MAX_BOUNDARY_BYTES)
        self._buffer += data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(self._buffer, searched):
            events.append(_parse_event(self._buffer[start : match.end()]))
            start = match.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EventTooLarge
        return events


def _parse_event(raw: bytes) -> Event:
    event_id = b""
    data: list[bytes] = []
    lines = [line for line in _LINE_END.split(raw) if line]
    for line in lines:
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id":
            event_id = value
        elif name == b"data":
            data.append(value)
    return Event(raw, event_id, b"\n".join(data) if data else None, _is_event(lines))


def _is_event(lines: list[bytes]) -> bool:
    """Return whether lines are an event, and not other text."""
    has_known_line = not lines
    for line in lines:
        name, colon, _ = line.partition(b":")
        if name in _KNOWN_FIELDS or (colon and not name):
            has_known_line = True
            continue
        if not colon or not _FIELD_NAME.fullmatch(name):
            return False
    return has_known_line
