"""A loopback proxy that delays, resets or blocks connections."""

from __future__ import annotations

import asyncio
import contextlib


class FaultyProxy:
    """Forwards connections to one port and impairs them on request.

    :ivar delay_s: delay of each forwarded chunk
    :ivar blocks_all: forward nothing in either direction
    :ivar blocks_requests: forward responses but nothing from clients
    """

    def __init__(self, port: int) -> None:
        self.delay_s = 0.0
        self.blocks_all = False
        self.blocks_requests = False
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
            upstream = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        tasks = [
            asyncio.ensure_future(self._forward(reader, upstream[1], is_request=True)),
            asyncio.ensure_future(self._forward(upstream[0], writer, is_request=False)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            for closing in (writer, upstream[1]):
                self._writers.discard(closing)
                closing.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while self.blocks_all or (self.blocks_requests and is_request):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
