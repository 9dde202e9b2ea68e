"""A loopback proxy that delays, resets, cuts or silences connections."""

from __future__ import annotations

import asyncio
import contextlib


class FaultyProxy:
    """Forwards connections to one port and spoils them on request.

    :ivar delay_s: added to each piece that is forwarded
    :ivar is_silent: nothing is forwarded any more, in either direction
    :ivar is_deaf: nothing is forwarded from clients, answers still pass
    """

    def __init__(self, port: int) -> None:
        self.delay_s = 0.0
        self.is_silent = False
        self.is_deaf = False
        self.port = 0
        self._target_port = port
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, there[1]}
        tasks = [
            asyncio.ensure_future(self._copy(reader, there[1], is_request=True)),
            asyncio.ensure_future(self._copy(there[0], writer, is_request=False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for item in (writer, there[1]):
                self._writers.discard(item)
                item.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.is_silent or (self.is_deaf and is_request):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
