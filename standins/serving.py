"""Command line and listening sockets shared by all stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import signal
import typing
from collections import abc

from aiohttp import web

from standins import faults, piping

LISTENERS = web.AppKey("listeners", list)
# Whether a handler is cancelled when the client disconnects.
CANCELS_HANDLERS = web.AppKey("cancels_handlers", bool)


def make_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with the arguments common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--name", default="standin")
    parser.add_argument(
        "--control",
        metavar="HOST:PORT",
        help="second address, which stays open while the fault 'down' closes the first",
    )
    return parser


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Server:
    """Listens on the service address and, if given, on the control address.

    The fault ``down`` closes the service address when there is a control address, so
    that connections are refused; without one, connections are accepted and broken.
    """

    def __init__(
        self,
        app: web.Application,
        listen: str,
        control: str | None = None,
        prints_ready: bool = True,
    ) -> None:
        self._prints_ready = prints_ready
        self._listen = split_address(listen)
        self._control = split_address(control) if control else None
        # Short, since connections held by the fault 'silent' never finish.
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=0.2,
            handler_cancellation=app.get(CANCELS_HANDLERS, False),
        )
        self._site: web.TCPSite | None = None

    async def start(self) -> None:
        """Open the listening sockets and print the ready line."""
        await self._runner.setup()
        if self._control is not None:
            await web.TCPSite(self._runner, *self._control).start()
        await self._open()
        if self._prints_ready:
            print(f"listening {self._listen[0]}:{self._listen[1]}", flush=True)

    async def stop(self) -> None:
        """Close all sockets and connections."""
        await self._runner.cleanup()

    async def follow_faults(self, current: faults.Faults) -> None:
        """Close or open the service address according to the fault ``down``."""
        if self._control is None:
            return
        if current.down and self._site is not None:
            site, self._site = self._site, None
            await site.stop()
            self._break_connections()
        elif not current.down and self._site is None:
            await self._open()

    async def _open(self) -> None:
        self._site = web.TCPSite(
            self._runner, *self._listen, reuse_address=True, backlog=1024
        )
        await self._site.start()

    def _break_connections(self) -> None:
        server = self._runner.server
        if server is None:
            return
        for handler in list(server.connections):
            transport = handler.transport
            if transport is None:
                continue
            if transport.get_extra_info("sockname")[:2] == self._listen:
                transport.abort()


async def run_until_signalled(server: Server) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await server.start()
    await stopped.wait()
    await server.stop()


def run(
    app: web.Application,
    arguments: argparse.Namespace,
    record: abc.Callable[[], typing.Any],
    current: faults.Faults | None = None,
) -> None:
    """Serve an application with control routes until a signal.

    :param record: function that returns the record as a JSON value
    :param current: the fault switches, if the stand-in reads them itself
    """
    server = Server(app, arguments.listen, arguments.control)
    app[faults.FAULTS] = current or faults.Faults()
    listeners = [*app.get(LISTENERS, []), server.follow_faults]
    faults.add_control_routes(app, listeners, record)
    asyncio.run(run_until_signalled(server))


def run_behind_tcp(
    app: web.Application,
    arguments: argparse.Namespace,
    record: abc.Callable[[], typing.Any],
    listener: piping.TcpListener,
) -> None:
    """Serve a stand-in that forwards TCP connections.

    Its control routes need a separate address, since ``--listen`` does not serve HTTP.
    """
    if not arguments.control:
        raise SystemExit(
            "--control is required, since --listen forwards all connections"
        )

    async def listen(_app: web.Application) -> typing.Any:
        await listener.open()
        print(f"listening {arguments.listen}", flush=True)
        yield
        listener.close()

    app.cleanup_ctx.append(listen)
    server = Server(app, arguments.control, prints_ready=False)
    app[faults.FAULTS] = faults.Faults()
    faults.add_control_routes(app, app.get(LISTENERS, []), record)
    asyncio.run(run_until_signalled(server))


def make_app(client_max_bytes: int = 256 << 20) -> web.Application:
    """Return an application that applies the faults to each call."""
    return web.Application(
        middlewares=[faults.apply_faults], client_max_size=client_max_bytes
    )
