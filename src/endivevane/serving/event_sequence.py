"""Order of the events of a stream that several runs may produce."""

from __future__ import annotations

from endivevane.serving import sse

# Longer ids are no event numbers, and costly to convert.
_MAX_DIGITS = 18


class EventSequence:
    """Checks that the events of a run go on where the stream has ended.

    Events are numbered from 1.

    :param last_event_id: last event of the stream so far, empty before the first one;
        an id that is no number says nothing of the next one
    """

    def __init__(self, last_event_id: bytes = b"") -> None:
        self._last_number = _parse_number(last_event_id or b"0")

    def accept(self, event: sse.Event) -> bool:
        """Return whether an event is the next one, and if so, go on behind it.

        Events without data need no number, since clients ignore them.
        """
        if event.data is None and not event.event_id:
            return True
        number = _parse_number(event.event_id)
        if number is None:
            return False
        if self._last_number is not None and number != self._last_number + 1:
            return False
        self._last_number = number
        return True


def _parse_number(event_id: bytes) -> int | None:
    """Return the number of an event, ``None`` if its id is no number."""
    if event_id.isdigit() and len(event_id) <= _MAX_DIGITS:
        return int(event_id)
    return None
