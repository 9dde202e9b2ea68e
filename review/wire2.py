"""HTTP/1.1 for the stand-ins, with the standard library only."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or a response, read whole.

    :ivar status: 0 for a request, or where no response came
    :ivar is_whole: whether it ended as its framing says
    """

    first: str = ""
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """The path and query of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a head, ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    message = Message(first)
    for line in lines:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    if first.startswith("HTTP/"):
        message.status = int(first.split(" ")[1])
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message; what breaks off is not whole."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0].strip(), 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    message.is_whole = True
                    return
                message.body += data[:-2]
        if "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.body = await reader.readexactly(length)
            message.is_whole = True
        elif not message.status:
            message.is_whole = True
        else:
            message.body = await reader.read(-1)
            message.is_whole = True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False


def write_request(method: str, path: str, headers: dict, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def write_response(status: int, headers: dict, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict,
    body: bytes = b"",
    wait_s: float = 6.0,
) -> Message:
    """Send a request on a new connection; without a response the status is 0."""
    writer = None
    answer = Message()
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(write_request(method, path, headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return answer
            answer = head
            await read_body(reader, answer)
    except (OSError, TimeoutError):
        return answer
    finally:
        if writer is not None:
            writer.close()
    return answer
