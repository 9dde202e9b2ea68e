"""Interface through which handlers send a response to a client."""

from __future__ import annotations

import dataclasses
import typing

from endivevane.serving import model


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response with its complete body.

    :param retry_after_s: value of the Retry-After header, ``None`` for none
    """

    status: int
    body: bytes = b""
    headers: model.Headers = ()
    reason: bytes = b""
    retry_after_s: float | None = None
    content_type: str = ""


class Responder(typing.Protocol):
    """Sends one response to one client."""

    @property
    def is_started(self) -> bool:
        """Whether the head of the response has been written."""

    def send(self, answer: Response) -> None:
        """Send a complete response."""

    def begin(self, response_head: model.TargetReply) -> None:
        """Write the head of a response whose body is streamed."""

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the client can take more."""

    def finish(self) -> None:
        """Complete a streamed response."""

    def abort(self) -> None:
        """Close the connection, so that the client sees an incomplete response."""
