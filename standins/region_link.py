"""Stand-in for the link between two regions, with many TCP routes.

All routes share the rate of each direction and the fault switches. ``down`` refuses and
breaks connections. ``silent`` loses packets: nothing is forwarded, and new connections
time out as if their first packet had been lost. ``silent_after`` of 0 blocks the
connections that are open now; ``POST /_control/mute {"routes": [...]}`` does so for the
named routes only.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import typing

from aiohttp import web

from standins import faults, piping, serving

_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Local address through which a daemon reaches an address in the other region.

    :param is_outward: whether connections are opened from the first region
    """

    name: str
    listen: tuple[str, int]
    target: tuple[str, int]
    is_outward: bool

    @classmethod
    def parse(cls, text: str) -> typing.Self:
        """Parse ``NAME,LISTEN,TARGET,outward|inward``."""
        name, listen, target, side = text.split(",")
        split = serving.split_address
        return cls(name, split(listen), split(target), side == "outward")


class RouteListener:
    """The listening socket of a route.

    While the link is silent, the accept backlog is kept full, so that the kernel drops
    the first packet of each new connection.
    """

    def __init__(self, route: Route, accept: piping.Accept) -> None:
        self._route = route
        self._accept = accept
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self._backlog_filler: socket.socket | None = None

    def open(self) -> None:
        """Start listening and accepting, unless already open."""
        if self._task is not None:
            return
        if self._socket is None:
            self._socket = socket.create_server(self._route.listen, backlog=_BACKLOG)
            self._socket.setblocking(False)
        if self._backlog_filler is not None:
            self._backlog_filler.close()
            self._backlog_filler = None
            self._socket.listen(_BACKLOG)
        self._task = asyncio.create_task(self._run(self._socket))

    async def silence(self) -> None:
        """Make new connections time out."""
        self.open()
        await self._stop_accepting()
        if self._socket is not None and self._backlog_filler is None:
            self._socket.listen(0)
            self._backlog_filler = socket.socket()
            self._backlog_filler.setblocking(False)
            self._backlog_filler.connect_ex(self._route.listen)

    async def close(self) -> None:
        """Refuse new connections."""
        await self._stop_accepting()
        for item in (self._socket, self._backlog_filler):
            if item is not None:
                item.close()
        self._socket = self._backlog_filler = None

    async def _stop_accepting(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _run(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        served: set[asyncio.Task[typing.Any]] = set()
        while True:
            accepted, _ = await loop.sock_accept(listening)
            task = asyncio.create_task(self._serve(accepted))
            served.add(task)
            task.add_done_callback(served.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        streams = await asyncio.open_connection(sock=accepted)
        await self._accept(*streams)


class RegionLink:
    """Forwards the connections of all routes.

    :param bytes_per_s: rate limit of each direction; 0 for none
    """

    def __init__(
        self, routes: list[Route], latency_ms: float, bytes_per_s: float
    ) -> None:
        self._latency_ms = latency_ms
        self._conditions = piping.Conditions(latency_ms / 1000)
        self._outward = piping.Direction(bytes_per_s)
        self._inward = piping.Direction(bytes_per_s)
        self._pipes: dict[piping.Pipe, str] = {}
        self._connections: dict[str, int] = {route.name: 0 for route in routes}
        self._listeners = [
            RouteListener(route, self._make_accept(route)) for route in routes
        ]

    def record(self) -> dict[str, typing.Any]:
        """Return the connections by route and the bytes by direction."""
        return {
            "connections": self._connections,
            "open": len(self._pipes),
            "muted": sum(pipe.is_muted for pipe in self._pipes),
            "outward_bytes": self._outward.passed_bytes,
            "inward_bytes": self._inward.passed_bytes,
        }

    async def follow_faults(self, current: faults.Faults) -> None:
        """Apply the faults to all routes."""
        latency_ms = current.latency_ms or self._latency_ms
        self._conditions.latency_s = latency_ms / 1000
        self._conditions.is_silent = current.silent
        if current.silent_after is not None:
            current.silent_after = None
            self.mute(list(self._connections))
        for listener in self._listeners:
            if current.down:
                await listener.close()
            elif current.silent:
                await listener.silence()
            else:
                listener.open()
        if current.down:
            for pipe in list(self._pipes):
                pipe.abort()

    def mute(self, names: list[str]) -> int:
        """Block the open connections of some routes for good; return their number."""
        muted = [pipe for pipe, name in self._pipes.items() if name in names]
        for pipe in muted:
            pipe.is_muted = True
        return len(muted)

    def _make_accept(self, route: Route) -> piping.Accept:
        directions = (self._outward, self._inward)
        if not route.is_outward:
            directions = (self._inward, self._outward)

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._connections[route.name] += 1
            try:
                target = await asyncio.open_connection(*route.target)
            except OSError:
                writer.transport.abort()
                return
            pipe = piping.Pipe((reader, writer), target, self._conditions)
            self._pipes[pipe] = route.name
            try:
                await pipe.run(*directions)
            finally:
                del self._pipes[pipe]

        return accept


def _make_app(link: RegionLink) -> web.Application:
    async def mute(request: web.Request) -> web.Response:
        muted = link.mute((await request.json())["routes"])
        return web.json_response({"muted": muted})

    async def open_listeners(app: web.Application) -> None:
        await link.follow_faults(app[faults.FAULTS])

    app = serving.make_app()
    app[serving.LISTENERS] = [link.follow_faults]
    app.router.add_post("/_control/mute", mute)
    app.on_startup.append(open_listeners)
    return app


def main() -> None:
    """Serve a link between regions; ``--listen`` only has the control routes."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--route", action="append", type=Route.parse, required=True)
    parser.add_argument("--latency-ms", type=float, default=20.0)
    parser.add_argument("--mbit-s", type=float, default=15.0, help="0 for no limit")
    arguments = parser.parse_args()
    link = RegionLink(arguments.route, arguments.latency_ms, arguments.mbit_s * 125_000)
    serving.run(_make_app(link), arguments, link.record)


if __name__ == "__main__":
    main()
