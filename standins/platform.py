"""Stand-in for the platform: table service, object store, VM list, weight store."""

from __future__ import annotations

import argparse
import asyncio
import time
import typing
from collections import abc

import sortedcontainers
from aiohttp import web

from standins import faults, serving, tables

Handler = abc.Callable[[web.Request], abc.Awaitable[web.StreamResponse]]
_CHUNK_BYTES = 64 << 10


class TableRoutes:
    """The table service.

    :param writes_per_s: rate limit of row writes
    :param reads_per_s: rate limit of reads; a scan counts as one read
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self._tables = tables.Tables()
        self._writes = tables.TokenBucket(writes_per_s)
        self._reads = tables.TokenBucket(reads_per_s)

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post("/v1/transact", self.transact)
        app.router.add_get("/v1/rows/{table}/{key}", self.read)
        app.router.add_get("/v1/rows/{table}", self.scan)

    def record(self) -> dict[str, typing.Any]:
        """Return the record of the tables."""
        return self._tables.record()

    async def transact(self, request: web.Request) -> web.Response:
        """Apply a transaction."""
        try:
            transaction = tables.parse_transaction(await request.json())
        except (ValueError, KeyError, TypeError) as error:
            return web.json_response({"error": f"malformed: {error!r}"}, status=400)
        wait_s = self._writes.take(len(transaction.writes))
        if wait_s:
            self._tables.refused_writes += 1
            return _reject(wait_s)
        revision, conflicts = self._tables.transact(transaction)
        if conflicts:
            return web.json_response({"conflicts": conflicts}, status=409)
        written = {write.table for write in transaction.writes}
        if request.app[faults.FAULTS].consume_lost_answer(written):
            faults.break_connection(request)
        return web.json_response({"revision": revision})

    async def read(self, request: web.Request) -> web.Response:
        """Return a row."""
        wait_s = self._reads.take(1)
        if wait_s:
            self._tables.refused_reads += 1
            return _reject(wait_s)
        row = self._tables.read(request.match_info["table"], request.match_info["key"])
        if row is None:
            return web.json_response({"error": "no such row"}, status=404)
        return web.json_response({"value": row[0], "revision": row[1]})

    async def scan(self, request: web.Request) -> web.Response:
        """Return rows in key order."""
        wait_s = self._reads.take(1)
        if wait_s:
            self._tables.refused_reads += 1
            return _reject(wait_s)
        rows = self._tables.scan(
            request.match_info["table"],
            request.query.get("prefix", ""),
            request.query.get("after", ""),
            int(request.query.get("limit", "500")),
        )
        return web.json_response({"rows": rows})


class ObjectRoutes:
    """The object store."""

    def __init__(self) -> None:
        self._objects: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._writes: list[dict[str, typing.Any]] = []
        self._reads = 0

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_get("/v1/objects", self.list)
        app.router.add_put("/v1/objects/{key}", self.put)
        app.router.add_get("/v1/objects/{key}", self.get)
        app.router.add_delete("/v1/objects/{key}", self.delete)

    def record(self) -> dict[str, typing.Any]:
        """Return the writes in order and the number of reads."""
        return {
            "reads": self._reads,
            "writes": self._writes,
            "objects": {key: len(data) for key, data in self._objects.items()},
        }

    async def put(self, request: web.Request) -> web.Response:
        """Write an object."""
        key = request.match_info["key"]
        data = await request.read()
        if request.headers.get("If-None-Match") == "*" and key in self._objects:
            return web.Response(status=412)
        self._objects[key] = data
        self._writes.append({"key": key, "size_bytes": len(data), "at_s": time.time()})
        if request.app[faults.FAULTS].consume_lost_answer({"objects"}):
            faults.break_connection(request)
        return web.Response(status=201)

    async def get(self, request: web.Request) -> web.Response:
        """Return an object or a range of it; also handles HEAD."""
        data = self._objects.get(request.match_info["key"])
        if data is None:
            return web.Response(status=404)
        self._reads += 1
        if "Range" not in request.headers:
            return web.Response(body=data)
        part = request.http_range
        body = data[part]
        if not body:
            return web.Response(status=416)
        first, last, _ = part.indices(len(data))
        content_range = f"bytes {first}-{last - 1}/{len(data)}"
        return web.Response(
            status=206, body=body, headers={"Content-Range": content_range}
        )

    async def delete(self, request: web.Request) -> web.Response:
        """Delete an object."""
        if self._objects.pop(request.match_info["key"], None) is None:
            return web.Response(status=404)
        return web.Response(status=204)

    async def list(self, request: web.Request) -> web.Response:
        """Return the objects whose key has a prefix."""
        prefix = request.query.get("prefix", "")
        found = []
        for key in self._objects.irange(minimum=prefix):
            if not key.startswith(prefix):
                break
            found.append({"key": key, "size_bytes": len(self._objects[key])})
        return web.json_response({"objects": found})


class VmRoutes:
    """The list of VMs, which is reported with a lag.

    :param lag_s: lag, unless the fault ``lag_s`` is set
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, list[dict[str, typing.Any]]]] = [(0.0, [])]

    def add(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_get("/v1/vms", self.show)
        app.router.add_post("/_control/vms", self.change)

    async def show(self, request: web.Request) -> web.Response:
        """Return the list as of the lag ago."""
        lag_s = request.app[faults.FAULTS].lag_s
        as_of_s = time.time() - (self._lag_s if lag_s is None else lag_s)
        visible = self._versions[0][1]
        for since_s, vms in self._versions:
            if since_s <= as_of_s:
                visible = vms
        return web.json_response({"as_of_s": as_of_s, "vms": visible})

    async def change(self, request: web.Request) -> web.Response:
        """Set the list: ``{"vms": [...], "at_once": false}``."""
        body = await request.json()
        since_s = 0.0 if body.get("at_once") else time.time()
        if body.get("at_once"):
            self._versions.clear()
        self._versions.append((since_s, body["vms"]))
        return web.json_response({})


class WeightRoutes:
    """The weight store: sends placeholder bytes at a limited rate.

    :param bytes_per_s: total rate limit of all readers
    """

    def __init__(self, bytes_per_s: float, size_bytes: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._size_bytes = size_bytes
        self._free_at_s = 0.0

    def add(self, app: web.Application) -> None:
        """Add the route."""
        app.router.add_get("/v1/weights/{model}/{version}", self.get)

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Send the weights of a model version."""
        response = web.StreamResponse()
        response.content_length = self._size_bytes
        await response.prepare(request)
        remaining = self._size_bytes
        while remaining:
            part = min(remaining, _CHUNK_BYTES)
            start_s = max(self._free_at_s, time.monotonic())
            self._free_at_s = start_s + part / self._bytes_per_s
            await asyncio.sleep(self._free_at_s - time.monotonic())
            await response.write(bytes(part))
            remaining -= part
        await response.write_eof()
        return response


def _reject(wait_s: float) -> web.Response:
    headers = {"Retry-After": f"{wait_s:.3f}"}
    return web.json_response({"error": "rate limit"}, status=429, headers=headers)


def main() -> None:
    """Serve the platform."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--writes-per-s", type=float, default=300.0)
    parser.add_argument("--reads-per-s", type=float, default=2000.0)
    parser.add_argument("--lag-s", type=float, default=1.0, help="lag of the VM list")
    parser.add_argument("--weights-bytes-per-s", type=float, default=100e6)
    parser.add_argument("--weights-bytes", type=int, default=1_000_000)
    arguments: argparse.Namespace = parser.parse_args()
    table_routes = TableRoutes(arguments.writes_per_s, arguments.reads_per_s)
    object_routes = ObjectRoutes()
    app = serving.make_app()
    table_routes.add(app)
    object_routes.add(app)
    VmRoutes(arguments.lag_s).add(app)
    WeightRoutes(arguments.weights_bytes_per_s, arguments.weights_bytes).add(app)

    def record() -> dict[str, typing.Any]:
        return {**table_routes.record(), "object_store": object_routes.record()}

    serving.run(app, arguments, record)


if __name__ == "__main__":
    main()
