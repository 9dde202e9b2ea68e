"""Server-sent events of a run, written to the attached connection."""

from __future__ import annotations

import asyncio
import json
import time
import typing

from aiohttp import web

from standins import batching, completions, faults


class Stream:
    """The events of a run; a new connection replaces the attached one.

    Events are numbered from 0; numbers below ``max_tokens`` are the tokens, the next
    one is the usage, if requested.

    :param wants_usage: whether an event with the usage follows the last token
    """

    def __init__(
        self, run: batching.Run, wants_usage: bool, current_faults: faults.Faults
    ) -> None:
        self.run = run
        self._wants_usage = wants_usage
        self._faults = current_faults
        self._connection: Connection | None = None
        self.detached_at_s: float | None = time.monotonic()
        self._created = int(time.time())

    @property
    def connection(self) -> Connection | None:
        """The attached connection, if any."""
        return self._connection

    def is_expired(self, keep_s: float) -> bool:
        """Return whether no connection was attached for the given time."""
        if self.detached_at_s is None:
            return False
        return time.monotonic() - self.detached_at_s > keep_s

    def attach(self, connection: Connection) -> None:
        """Attach a connection and write from its next event on."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = connection
        self.detached_at_s = None
        self.write_pending()

    def detach(self, connection: Connection) -> None:
        """Detach a broken connection, unless it was replaced already."""
        if connection is self._connection:
            self._connection = None
            self.detached_at_s = time.monotonic()

    def write_pending(self) -> None:
        """Write the events that the connection has not received yet."""
        connection = self._connection
        if connection is None or connection.is_ended:
            return
        parts = []
        while connection.next_offset < self.run.tokens and connection.may_write():
            parts.append(self._encode_token(connection.next_offset))
            connection.count_event()
            if connection.written == self._faults.drop_after:
                break
        if parts:
            connection.write(b"".join(parts))
        limit = self._faults.drop_after
        if limit is not None and connection.written >= limit:
            self._faults.drop_after = None
            connection.abort()
            return
        if not self.run.is_over or connection.next_offset < self.run.tokens:
            return
        if not connection.is_mute:
            self._write_end(connection)

    def _write_end(self, connection: Connection) -> None:
        if self.run.state is batching.RunState.FINISHED:
            if self._wants_usage and connection.next_offset == self.run.max_tokens:
                connection.write(self._encode_usage())
                connection.count_event()
            connection.write(b"data: [DONE]\n\n")
        connection.end()

    def _encode_token(self, offset: int) -> bytes:
        delta = {"content": completions.make_token(self.run.digest, offset)}
        if offset == 0:
            delta["role"] = "assistant"
        is_last = offset == self.run.max_tokens - 1
        choice = {
            "index": 0,
            "delta": delta,
            "finish_reason": "length" if is_last else None,
        }
        return self._encode(offset, {"choices": [choice]})

    def _encode_usage(self) -> bytes:
        return self._encode(
            self.run.max_tokens, {"choices": [], "usage": make_usage(self.run)}
        )

    def _encode(self, offset: int, body: dict[str, typing.Any]) -> bytes:
        event = {
            "id": f"chatcmpl-{self.run.attempt_id}",
            "object": "chat.completion.chunk",
            "created": self._created,
            "model": self.run.model,
            **body,
        }
        text = json.dumps(event, separators=(",", ":"))
        return f"id: {offset}\ndata: {text}\n\n".encode()


class Connection:
    """One HTTP response that carries events.

    Chunks are written directly to the transport, so that one pass writes the tokens of
    all streams without waking a task for each.

    :param next_offset: number of the first event to write
    """

    def __init__(self, transport: asyncio.Transport, next_offset: int) -> None:
        self._transport = transport
        self.next_offset = next_offset
        self.written = 0
        self.mute_at: int | None = None
        self.is_ended = False
        self.ended = asyncio.Event()

    @property
    def is_mute(self) -> bool:
        """Whether the connection stays open but sends nothing more."""
        return self.mute_at is not None and self.written >= self.mute_at

    def may_write(self) -> bool:
        """Return whether an event can be written now."""
        return not self.is_mute and not self._transport.is_closing()

    def silence_after(self, tokens: int) -> None:
        """Send a number of further events, then nothing."""
        self.mute_at = self.written + tokens

    def count_event(self) -> None:
        """Count a written event."""
        self.next_offset += 1
        self.written += 1

    def write(self, data: bytes) -> None:
        """Write one chunk."""
        if not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Let the handler finish the response."""
        self.is_ended = True
        self.ended.set()

    def abort(self) -> None:
        """Break the connection."""
        self.is_ended = True
        self._transport.abort()
        self.ended.set()


def make_usage(run: batching.Run) -> dict[str, typing.Any]:
    """Return the usage of a run in the OpenAI format."""
    prompt_tokens = completions.count_prompt_tokens(run.prompt)
    cached = run.cached_blocks * completions.PREFIX_BLOCK_BYTES // 4
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": run.tokens,
        "total_tokens": prompt_tokens + run.tokens,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


async def send_events(
    request: web.Request, stream: Stream, next_offset: int
) -> web.StreamResponse:
    """Attach a request's connection to a stream and send events until it ends."""
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream; charset=utf-8",
            "Cache-Control": "no-cache",
            "X-Request-Id": stream.run.attempt_id,
        }
    )
    response.enable_chunked_encoding()
    await response.prepare(request)
    transport = request.transport
    if transport is None:
        stream.detached_at_s = time.monotonic()
        return response
    connection = Connection(transport, next_offset)
    try:
        stream.attach(connection)
        await connection.ended.wait()
        if not transport.is_closing():
            await response.write_eof()
    finally:
        stream.detach(connection)
    return response
