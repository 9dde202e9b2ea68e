"""Fault switches that all stand-ins share, and the routes that set them."""

from __future__ import annotations

import asyncio
import dataclasses
import typing
from collections import abc

from aiohttp import web

CONTROL_PREFIX = "/_"
Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]
Listener = abc.Callable[["Faults"], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults in force; the names are those of the control protocol.

    :param down: no connection is accepted and open ones are broken
    :param unavailable: every call is answered with 503 and is not applied
    :param latency_ms: delay before a call is handled
    :param lose_answer: next N writes take effect and get no answer
    :param lose_answer_on: only writes to this table count, or to ``objects``
    :param silent: new calls are accepted and never answered
    :param silent_after: streams open now send N more tokens, then nothing
    :param drop_after: the next stream that has sent N tokens loses its connection
    :param reject: next N requests (all when true) get 503 with ``not-run``
    :param crash_on: the process ends when a prompt with this text starts to run
    :param crash_on_kv: the process ends after the export of a block has been answered
        (``export``), or when the import of one arrives (``import``)
    :param lag_s: age of load reports, or of the list of VMs
    :param gap_share: share of cache events that are left out
    :param ignore_fencing: orders with an old number are carried out
    """

    down: bool = False
    unavailable: bool = False
    latency_ms: float = 0.0
    lose_answer: int = 0
    lose_answer_on: str = ""
    silent: bool = False
    silent_after: int | None = None
    drop_after: int | None = None
    reject: bool | int = 0
    crash_on: str = ""
    crash_on_kv: str = ""
    lag_s: float | None = None
    gap_share: float | None = None
    ignore_fencing: bool | None = None
    token_ms: float | None = None

    def update(self, changes: dict[str, typing.Any]) -> None:
        """Set the named faults.

        :raises ValueError: when a name is unknown
        """
        names = {field.name for field in dataclasses.fields(self)}
        unknown = sorted(set(changes) - names)
        if unknown:
            raise ValueError(f"unknown faults: {', '.join(unknown)}")
        for name, value in changes.items():
            setattr(self, name, value)

    def take(self, name: str) -> bool:
        """Return whether a counted fault applies now, and count it down."""
        value = getattr(self, name)
        if value is True:
            return True
        if not value or value < 0:
            return False
        setattr(self, name, value - 1)
        return True

    def take_lost_answer(self, tables: set[str]) -> bool:
        """Return whether the answer of a write to these tables gets lost."""
        if self.lose_answer_on and self.lose_answer_on not in tables:
            return False
        return self.take("lose_answer")


FAULTS = web.AppKey("faults", Faults)


def break_connection(request: web.Request) -> None:
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()


@web.middleware
async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Apply the faults that concern any call; control routes are exempt."""
    if request.path.startswith(CONTROL_PREFIX):
        return await handler(request)
    faults = request.app[FAULTS]
    if faults.latency_ms:
        await asyncio.sleep(faults.latency_ms / 1000)
    if faults.silent:
        await _stay_silent(request)
        return web.Response(status=503)
    if faults.down:
        break_connection(request)
        return web.Response(status=503)
    if faults.unavailable:
        return web.json_response({"error": "unavailable"}, status=503)
    return await handler(request)


async def _stay_silent(request: web.Request) -> None:
    """Wait until the caller has closed its connection."""
    while request.transport is not None and not request.transport.is_closing():
        await asyncio.sleep(0.1)


def add_control_routes(
    app: web.Application,
    listeners: list[Listener],
    record: abc.Callable[[], typing.Any],
) -> None:
    """Add the routes for faults and for the record.

    :param listeners: called after each change of the faults
    :param record: returns the record as a JSON value
    """

    async def change_faults(request: web.Request) -> web.Response:
        faults = request.app[FAULTS]
        try:
            faults.update(await request.json())
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        for listener in listeners:
            await listener(faults)
        return web.json_response(dataclasses.asdict(faults))

    async def show_faults(request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(request.app[FAULTS]))

    async def show_record(_request: web.Request) -> web.Response:
        return web.json_response(record())

    app.router.add_post("/_control/faults", change_faults)
    app.router.add_get("/_control/faults", show_faults)
    app.router.add_get("/_record", show_record)
