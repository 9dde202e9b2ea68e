"""What an exchange writes to its client."""

from __future__ import annotations

import dataclasses
import typing

from endivevane.serving import model


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer whose body is known.

    :param retry_after_s: when the client should come again, ``None`` to say nothing
    """

    status: int
    body: bytes = b""
    headers: model.Headers = ()
    reason: bytes = b""
    retry_after_s: float | None = None
    content_type: str = ""


class Responder(typing.Protocol):
    """Writes one answer to one client."""

    @property
    def is_begun(self) -> bool:
        """Whether the head of the answer was written."""

    def send(self, answer: Response) -> None:
        """Write a whole answer."""

    def begin(self, reply: model.TargetReply) -> None:
        """Write the head of an answer whose body follows in pieces."""

    async def write(self, data: bytes) -> None:
        """Write a piece of the body and wait until the client takes more."""

    def finish(self) -> None:
        """Write the end of the body."""

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
