"""A target that answers while the request's body is still being sent."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import socket

from standins import replica

# Stands for the id of the answered attempt; ids in tests have the same length, so that
# lengths of chunks and bodies hold.
ATTEMPT = b"$ID"
# Keeps most of a body of some megabytes at the daemon.
_RECEIVE_BYTES = 16 * 1024
# The bytes have to arrive before the reset does.
_RESET_DELAY_S = 0.05
_SHUT_S = 0.3
_STOP_S = 0.02


@dataclasses.dataclass
class Act:
    """What the target writes as soon as it has the head of one request.

    :ivar end: what follows: ``reset`` the connection, ``shut`` the target's side and
        reset later, ``hold`` the connection without reading, or ``read`` the rest of
        the body
    :ivar is_run: whether the target runs the request
    """

    data: bytes
    end: str
    is_run: bool = True


class EarlyReplica(replica.Replica):
    """Answers as its script says, and as a sound target once the script has ended.

    :param acts: script, which several targets may share
    """

    def __init__(self, name: str, acts: list[Act]) -> None:
        super().__init__(name)
        self._acts = acts
        self._stopped = asyncio.Event()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback, with a small receive buffer."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        listener.bind(("127.0.0.1", port))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=_RECEIVE_BYTES
        )
        self.port = listener.getsockname()[1]

    async def stop(self) -> None:
        """Abort all connections and let their tasks end."""
        self._stopped.set()
        await super().stop()
        await asyncio.sleep(_STOP_S)

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if not self._acts:
            return await super()._serve_one(reader, writer)
        act = self._acts.pop(0)
        head = await reader.readuntil(b"\r\n\r\n")
        found = re.search(rb"(?im)^attempt-id: *(\S+)", head)
        attempt = found.group(1) if found else b""
        if act.is_run:
            path = head.split(b" ", 2)[1].decode("latin-1")
            run = replica.Run(attempt.decode(), path, b"", 0, {}, ended=act.end)
            self.runs.append(run)
        else:
            self.refused += 1
        writer.write(act.data.replace(ATTEMPT, attempt))
        await writer.drain()
        if act.end == "read":
            length = re.search(rb"(?im)^content-length: *(\d+)", head)
            await reader.readexactly(int(length.group(1)) if length else 0)
            return True
        if act.end == "hold":
            await self._stopped.wait()
        if act.end == "shut":
            writer.write_eof()
            await asyncio.sleep(_SHUT_S)
        await asyncio.sleep(_RESET_DELAY_S)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, replica.LINGER_RESET)
        return False
