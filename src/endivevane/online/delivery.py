"""Composition of the response that a caller receives."""

from __future__ import annotations

import xxhash

from endivevane.online import answers, caller, contract, sse
from endivevane.web import errors


class Delivery:
    """Composes the response from events in the order of their offsets.

    Events of a streamed response are forwarded, those of an unstreamed one collected.

    :ivar last_offset: offset of the last event added, -1 for none
    """

    def __init__(
        self, request: contract.OnlineRequest, connection: caller.CallerConnection
    ) -> None:
        self.last_offset = -1
        self.collected_bytes = 0
        self._request = request
        self._is_streamed = request.is_streamed
        self._is_deterministic = request.is_deterministic
        self._caller = connection
        self._has_head = False
        # Whether the head was sent with chunked encoding, so that only chunks follow.
        self._is_plain = False
        self._ready: list[bytes] = []
        self._collected: list[bytes] = []
        self._sent_digest = xxhash.xxh3_128()
        self._rerun_digest = xxhash.xxh3_128()

    @property
    def caller_offset(self) -> int:
        """Last offset sent to the caller, -1 if the response is collected.

        The scheduler uses it to decide whether a rerun must have the same output.
        """
        return self.last_offset if self._request.is_streamed else -1

    @property
    def can_rerun(self) -> bool:
        """Whether a rerun can't contradict what was sent to the caller."""
        return self.caller_offset < 0 or self._request.is_deterministic

    def begin_run(self) -> None:
        """Prepare for a run of the request from its first event."""
        self._rerun_digest = xxhash.xxh3_128()
        if not self._request.is_streamed:
            # Nothing was sent to the caller, so the new response replaces the old one.
            self.last_offset = -1
            self._collected, self.collected_bytes = [], 0

    def take(self, offset: int, payload: bytes) -> bool:
        """Add the next event of the current run.

        Events that the caller has from an earlier run are compared and not sent again.

        :return: ``False`` if the two runs are found to differ
        """
        if not self._is_streamed:
            self.last_offset = offset
            self._collected.append(payload)
            self.collected_bytes += len(payload)
            return True
        if self._is_deterministic:
            choices = sse.extract_choices(payload)
            self._rerun_digest.update(choices)
            if offset > self.last_offset:
                self._sent_digest.update(choices)
        if offset > self.last_offset:
            self.last_offset = offset
            self._ready.append(payload)
            return True
        if offset < self.last_offset:
            return True
        return self._rerun_digest.digest() == self._sent_digest.digest()

    def forward(self, now_s: float) -> None:
        """Write the events added since the last call."""
        ready = self._ready
        if not ready:
            return
        if len(ready) == 1 and self._is_plain and b"\n" not in ready[0]:
            # Fast path for the most common case.
            payload = ready.pop()
            data = b"%x\r\ndata: %b\n\n\r\n" % (len(payload) + 8, payload)
            self._caller.write(data, now_s)
            return
        data = sse.encode_events(ready)
        ready.clear()
        self._write(data, now_s, is_last=False)

    def complete(self, now_s: float) -> None:
        """Write the end of a complete response.

        :raises ValueError: if an unstreamed response can't be composed
        """
        if self._request.is_streamed:
            self._ready.append(sse.DONE)
            self._write(sse.encode_events(self._ready), now_s, is_last=True)
            return
        try:
            body = sse.make_completion(self._collected)
        except (TypeError, AttributeError, KeyError) as error:
            raise ValueError(f"malformed chunk: {error!r}") from error
        self.write_whole(200, body, {}, now_s)

    def write_whole(
        self, status: int, body: bytes, headers: dict[str, str], now_s: float
    ) -> None:
        """Write a complete response with a JSON body; must be the first write."""
        data = answers.make_whole(status, self._request.request_id, body, headers)
        self._caller.write(data, now_s)

    def write_error(self, error: errors.ApiError, now_s: float) -> None:
        """Write an error as a response, or as an event after the head was sent.

        In the second case the chunked encoding is not terminated, so that the caller
        does not take the response for complete.
        """
        if not self._has_head:
            headers = error.make_headers()
            self.write_whole(error.status, error.encode_body(), headers, now_s)
            return
        self.forward(now_s)
        self._write(answers.make_error_event(error), now_s, is_last=False)

    def _write(self, data: bytes, now_s: float, is_last: bool) -> None:
        is_chunked = self._caller.is_http11
        if is_chunked:
            data = answers.make_chunk(data)
            if is_last:
                data += answers.LAST_CHUNK
        if not self._has_head:
            self._has_head = True
            self._is_plain = is_chunked
            head = answers.make_stream_head(self._request.request_id, is_chunked)
            data = head + data
        self._caller.write(data, now_s)
