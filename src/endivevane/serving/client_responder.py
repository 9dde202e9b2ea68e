"""Sending of one response to a client over its connection."""

from __future__ import annotations

from collections import abc

import h11

from endivevane.serving import byte_stream, model, responder


class ClientResponder:
    """Sends a response to a client through h11.

    :param is_stopping: returns whether the response carries ``Connection: close``
    :ivar is_complete: whether the whole response has been written
    :ivar is_aborted: whether the connection was closed to show that it is incomplete
    """

    def __init__(
        self,
        h11_connection: h11.Connection,
        stream: byte_stream.ByteStream,
        is_stopping: abc.Callable[[], bool],
    ) -> None:
        self.is_started = False
        self.is_complete = False
        self.is_aborted = False
        self._h11 = h11_connection
        self._stream = stream
        self._is_stopping = is_stopping

    def send(self, answer: responder.Response) -> None:
        """Send a complete response."""
        headers = [*answer.headers]
        if answer.content_type:
            headers.append((b"Content-Type", answer.content_type.encode()))
        if answer.retry_after_s is not None:
            headers.append((b"Retry-After", f"{answer.retry_after_s:.2f}".encode()))
        headers.append((b"Content-Length", str(len(answer.body)).encode()))
        data = self._write_head(answer.status, answer.reason, headers)
        if answer.body:
            data += self._h11.send(h11.Data(data=answer.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._stream.write(data)
        self.is_complete = True

    def begin(self, response_head: model.TargetReply) -> None:
        """Write the head of a response whose body is streamed."""
        data = self._write_head(
            response_head.status, response_head.reason, [*response_head.headers]
        )
        self._stream.write(data)

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the client can take more."""
        if not data:
            return
        self._stream.write(self._h11.send(h11.Data(data=data)) or b"")
        await self._stream.drain()

    def finish(self) -> None:
        """Complete a streamed response."""
        self._stream.write(self._h11.send(h11.EndOfMessage()) or b"")
        self.is_complete = True

    def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete response."""
        self.is_aborted = True
        if self._is_delimited_by_close:
            # Without chunks an orderly close would mark a complete response.
            self._stream.reset()
        else:
            self._stream.close()

    @property
    def _is_delimited_by_close(self) -> bool:
        """Whether closing the connection ends the response (HTTP/1.0)."""
        version = self._h11.their_http_version
        return self.is_started and version is not None and version < b"1.1"

    def _write_head(
        self, status: int, reason: bytes, headers: list[tuple[bytes, bytes]]
    ) -> bytes:
        if self._is_stopping():
            headers.append((b"Connection", b"close"))
        self.is_started = True
        head = h11.Response(status_code=status, headers=headers, reason=reason)
        return self._h11.send(head) or b""
