"""Reading of a target's event stream, which may hold what is no part of the stream."""

from __future__ import annotations

from endivevane.serving import (
    event_sequence,
    model,
    sse,
    target_registry,
    target_responses,
)

_CONTENT_TYPE = b"content-type"
_EVENT_STREAM = b"text/event-stream"
# Comments in a row; a target that waits sends one a second or so, to keep a connection.
_MAX_COMMENTS = 1000


class EventReader:
    """Returns the events of one response, up to the first that is not the stream's.

    :param sequence: order that the events must have, ``None`` for any
    """

    def __init__(
        self,
        known: target_registry.KnownTarget,
        sequence: event_sequence.EventSequence | None,
    ) -> None:
        self._known = known
        self._sequence = sequence
        self._parser = sse.EventParser()
        self._has_event = False
        self._comment_count = 0
        self._fault = ""

    @property
    def unread_bytes(self) -> int:
        """Number of bytes of an event that is not complete yet."""
        return len(self._parser.remainder)

    def feed(self, data: bytes) -> list[sse.Event]:
        """Return the events that received bytes complete, up to an invalid one.

        :raises failures.TargetCallError: when an event is too large
        """
        try:
            events = self._parser.feed(data)
        except sse.EventTooLarge as error:
            cause = error.format_message()
            raise target_responses.make_target_fault(self._known, cause) from error
        for position, event in enumerate(events):
            self._fault = self._find_fault(event)
            if self._fault:
                return events[:position]
            self._has_event = True
        return events

    def check(self) -> None:
        """Check that no event so far was invalid.

        :raises failures.TargetCallError: when one was
        """
        if self._fault:
            raise target_responses.make_target_fault(self._known, self._fault)

    def finish(self, is_framed: bool) -> None:
        """Check that a stream that ended without an error is whole.

        A stream without a length or chunks ends with its connection, also when its
        target ends; then it has stopped within an event or before the first one.

        :param is_framed: whether it has a length or chunks
        :raises failures.TargetCallError: when the target broke it off
        """
        if self._parser.remainder:
            raise target_responses.make_broken_stream(
                self._known, "stream ends in the middle of an event"
            )
        if not self._has_event and not is_framed:
            raise target_responses.make_broken_stream(
                self._known, "stream ends before its first event"
            )

    def _find_fault(self, event: sse.Event) -> str:
        """Return why an event is no part of the stream, empty if it is."""
        if not event.is_valid:
            return "stream has bytes that are no event"
        is_comment = event.data is None and not event.event_id
        self._comment_count = self._comment_count + 1 if is_comment else 0
        if self._comment_count > _MAX_COMMENTS:
            return "stream has comments without end"
        if self._sequence is not None and not self._sequence.accept(event):
            return "stream has an event out of order"
        return ""


def check_content_type(
    known: target_registry.KnownTarget, head: model.TargetReply
) -> None:
    """Check that a response that names its content type is an event stream.

    :raises failures.TargetCallError: when it is of another type
    """
    for name, value in head.headers:
        if name.lower() != _CONTENT_TYPE:
            continue
        if value.partition(b";")[0].strip().lower() != _EVENT_STREAM:
            raise target_responses.make_target_fault(known, "not an event stream")
