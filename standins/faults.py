"""Fault switches shared by all stand-ins, and the routes that set them."""

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
    """The active faults, named as in the control protocol.

    :param down: refuse connections and break open ones
    :param unavailable: respond 503 to every call without applying it
    :param latency_ms: delay before each call
    :param lose_answer: apply the next N writes without a response
    :param lose_answer_on: limit ``lose_answer`` to a table, or to ``objects``
    :param silent: accept calls and never respond
    :param silent_after: the open streams send N more tokens, then nothing
    :param drop_after: break the next connection on which N tokens were sent
    :param reject: reject the next N requests (all if true) with 503 and ``not-run``
    :param crash_on: exit when a prompt with this text starts to run
    :param crash_on_kv: exit after responding to the export of a block (``export``), or
        when the import of one arrives (``import``)
    :param lag_s: lag of load reports, or of the list of VMs
    :param gap_share: share of cache events that are dropped
    :param ignore_fencing: accept orders with a stale fencing token
    :param token_ms: overrides the duration of a decoding step
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

    def consume(self, name: str) -> bool:
        """Return whether a counted fault applies to this call, and decrement it."""
        value = getattr(self, name)
        if value is True:
            return True
        if not value or value < 0:
            return False
        setattr(self, name, value - 1)
        return True

    def consume_lost_answer(self, tables: set[str]) -> bool:
        """Return whether to lose the response to a write of these tables."""
        if self.lose_answer_on and self.lose_answer_on not in tables:
            return False
        return self.consume("lose_answer")


FAULTS = web.AppKey("faults", Faults)


def break_connection(request: web.Request) -> None:
    """Close the connection of a request without a response."""
    if request.transport is not None:
        request.transport.abort()


@web.middleware
async def apply_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Apply the faults that affect every call; control routes are exempt."""
    if request.path.startswith(CONTROL_PREFIX):
        return await handler(request)
    faults = request.app[FAULTS]
    if faults.latency_ms:
        await asyncio.sleep(faults.latency_ms / 1000)
    if faults.silent:
        await _wait_for_disconnect(request)
        return web.Response(status=503)
    if faults.down:
        break_connection(request)
        return web.Response(status=503)
    if faults.unavailable:
        return web.json_response({"error": "unavailable"}, status=503)
    return await handler(request)


async def _wait_for_disconnect(request: web.Request) -> None:
    """Wait until the client closes its connection."""
    while request.transport is not None and not request.transport.is_closing():
        await asyncio.sleep(0.1)


def add_control_routes(
    app: web.Application,
    listeners: list[Listener],
    record: abc.Callable[[], typing.Any],
) -> None:
    """Add the control routes for faults and the record.

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
