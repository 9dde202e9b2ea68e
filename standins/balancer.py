"""Stand-in for the platform's load balancer: TCP round robin over ready daemons."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import aiohttp
from aiohttp import web

from standins import piping, serving

_CHECK_INTERVAL_S = 0.5
_CHECK_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class Backend:
    """A daemon behind the balancer."""

    address: str
    is_ready: bool = False
    connections: int = 0
    failures: int = 0


class Balancer:
    """Forwards connections to backends that pass their readiness checks.

    :param addresses: ``host:port`` of each daemon
    """

    def __init__(self, addresses: list[str]) -> None:
        self._backends = [Backend(address) for address in addresses]
        self._next = 0
        self._refused = 0
        self._conditions = piping.Conditions()
        self._outward = piping.Direction(bytes_per_s=0)
        self._inward = piping.Direction(bytes_per_s=0)

    def add(self, app: web.Application) -> None:
        """Register the readiness checks with the application."""
        app.cleanup_ctx.append(self._check_backends)

    def record(self) -> dict[str, typing.Any]:
        """Return the connections per backend and those refused for lack of one."""
        backends = [dataclasses.asdict(backend) for backend in self._backends]
        return {"backends": backends, "refused": self._refused}

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a client to the next ready backend and copy bytes both ways."""
        opened = await self._open_backend()
        if opened is None:
            self._refused += 1
            writer.transport.abort()
            return
        pipe = piping.Pipe((reader, writer), opened, self._conditions)
        await pipe.run(self._outward, self._inward)

    async def _open_backend(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        for _ in self._backends:
            backend = self._backends[self._next % len(self._backends)]
            self._next += 1
            if not backend.is_ready:
                continue
            host, port = serving.split_address(backend.address)
            try:
                opened = await asyncio.open_connection(host, port)
            except OSError:
                backend.failures += 1
                backend.is_ready = False
                continue
            backend.connections += 1
            return opened
        return None

    async def _check_backends(self, _app: web.Application) -> typing.Any:
        timeout = aiohttp.ClientTimeout(total=_CHECK_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            tasks = [
                asyncio.create_task(_check_forever(session, backend))
                for backend in self._backends
            ]
            yield
            for task in tasks:
                task.cancel()


async def _check_forever(session: aiohttp.ClientSession, backend: Backend) -> None:
    while True:
        try:
            async with session.get(f"http://{backend.address}/readyz") as response:
                backend.is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            backend.is_ready = False
        await asyncio.sleep(_CHECK_INTERVAL_S)


def main() -> None:
    """Serve the balancer."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--backend", action="append", required=True)
    arguments = parser.parse_args()
    balancer = Balancer(arguments.backend)
    app = serving.make_app()
    balancer.add(app)
    listener = piping.TcpListener(
        serving.split_address(arguments.listen), balancer.serve_connection
    )
    serving.run_behind_tcp(app, arguments, balancer.record, listener)


if __name__ == "__main__":
    main()
