"""A small store of rows and objects that speaks the users' published protocol.

It shares no code with the daemon. Set attributes of its ``faults`` to inject faults.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import time

from aiohttp import web

# Time between two pieces of an answer that is sent slowly.
_PIECE_S = 0.1
_LINK_PIECE_BYTES = 16 * 1024
# Time of the store's clock when the machine started, above all ages in tests.
_CLOCK_START_MS = 3_600_000


@dataclasses.dataclass
class StoreFaults:
    """Faults of the store.

    :ivar status: respond to every call with this status without applying it
    :ivar silent: accept calls and never respond
    :ivar lose: number of transactions to apply without a response
    :ivar lose_before: number of transactions neither to apply nor to respond to
    :ivar late_s: delay after which ``late`` transactions are applied
    :ivar late: number of transactions to apply late, without a response
    :ivar stale_by: number of versions by which reads are stale
    :ivar bytes_per_s: rate at which each answer is sent, 0 for no limit
    :ivar link_bytes_per_s: rate that all answers share, as on a narrow link, 0 for no
        limit
    :ivar stalls: whether answers of more than one piece stop after the first
    """

    status: int = 0
    silent: bool = False
    lose: int = 0
    lose_before: int = 0
    late_s: float = 0.0
    late: int = 0
    stale_by: int = 0
    bytes_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    stalls: bool = False


class RowStore:
    """In-memory store of rows, their history and objects.

    :ivar sent_bytes: bytes of the bodies of answers, by the table that was read
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self.history_start = 0
        self.objects: dict[str, bytes] = {}
        self.calls: list[str] = []
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        # Monotonic time at which the link that all answers share is free.
        self._link_free_s = 0.0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> int:
        """Listen on loopback and return the port."""
        app = web.Application(client_max_size=20 << 20)
        app.router.add_post("/api/rows-tx", self._transact)
        app.router.add_get("/api/rows-get", self._read)
        app.router.add_get("/api/rows-feed", self._feed)
        app.router.add_put("/api/blob-put/{name}", self._put_object)
        app.router.add_get("/api/blob-get/{name}", self._get_object)
        app.router.add_delete("/api/blob-drop/{name}", self._drop_object)
        app.middlewares.append(self._apply_faults)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def write(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a target does; ``None`` deletes it."""
        content = None
        if value is not None:
            raw = value if isinstance(value, bytes) else json.dumps(value).encode()
            content = base64.b64encode(raw).decode()
        self.version += 1
        self._set((table, "", key), content)
        self._notify()
        return self.version

    def read_value(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or ``None`` if it does not exist."""
        found = self.rows.get((table, "", key))
        return None if found is None else base64.b64decode(found[0])

    def list_values(self, table: str) -> dict[str, bytes]:
        """Return the rows of a table by key."""
        return {
            key: base64.b64decode(value)
            for (name, _, key), (value, _) in sorted(self.rows.items())
            if name == table
        }

    def forget_history(self) -> None:
        """Discard the history, so that feeds have to restart from a full read."""
        self.history_start = self.version
        self.history.clear()
        self._notify()

    def apply(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction; return the status and the response body."""
        conflicts = []
        for entry in body.get("expectedRev", ()):
            key = (entry["table"], entry["part"], entry["key"])
            _, version = self.rows.get(key, ("", 0))
            if version != entry["ver"]:
                conflicts.append(entry)
        if conflicts:
            rows = []
            for entry in body["expectedRev"]:
                key = (entry["table"], entry["part"], entry["key"])
                if key in self.rows:
                    rows.append(self._encode_row(key))
            return 412, {"rows": rows, "ver": self.version, "nowMs": _read_clock_ms()}
        self.version += 1
        for entry in body.get("puts", ()):
            key = (entry["table"], entry["part"], entry["key"])
            self._set(key, entry["value"])
        for entry in body.get("remove", ()):
            self._set((entry["table"], entry["part"], entry["key"]), None)
        self._notify()
        return 200, {"ver": self.version, "nowMs": _read_clock_ms()}

    def _set(self, key: tuple[str, str, str], value: str | None) -> None:
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.history.append((self.version, key, value))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode_row(self, key: tuple[str, str, str]) -> dict:
        value, version = self.rows[key]
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
        }

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.json_response({}, status=self.faults.status)
        response = await handler(request)
        if isinstance(response, web.Response) and isinstance(response.body, bytes):
            self.sent_bytes[request.query.get("table", "")] += len(response.body)
            if self.faults.bytes_per_s or self.faults.link_bytes_per_s:
                return await self._send_slowly(request, response)
        return response

    async def _send_slowly(
        self, request: web.Request, whole: web.Response
    ) -> web.StreamResponse:
        """Send an answer piece by piece."""
        response = web.StreamResponse(status=whole.status, headers=whole.headers)
        body = whole.body if isinstance(whole.body, bytes) else b""
        response.content_length = len(body)
        rate = self.faults.bytes_per_s or self.faults.link_bytes_per_s
        size = max(1, int(rate * _PIECE_S))
        if self.faults.link_bytes_per_s:
            size = _LINK_PIECE_BYTES
        with contextlib.suppress(ConnectionResetError):
            await response.prepare(request)
            for start in range(0, len(body), size):
                if start and self.faults.stalls:
                    await asyncio.sleep(3600)
                await self._wait_for_link(len(body[start : start + size]))
                await response.write(body[start : start + size])
                if self.faults.bytes_per_s:
                    await asyncio.sleep(_PIECE_S)
            await response.write_eof()
        return response

    async def _wait_for_link(self, size: int) -> None:
        """Wait until the link that all answers share has sent what is before."""
        rate = self.faults.link_bytes_per_s
        if not rate:
            return
        now_s = time.monotonic()
        self._link_free_s = max(self._link_free_s, now_s) + size / rate
        await asyncio.sleep(self._link_free_s - now_s)

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        faults = self.faults
        if faults.lose_before:
            faults.lose_before -= 1
            return self._abort(request)
        if faults.late:
            faults.late -= 1
            asyncio.get_running_loop().call_later(faults.late_s, self.apply, body)
            return self._abort(request)
        status, answer = self.apply(body)
        if faults.lose:
            faults.lose -= 1
            return self._abort(request)
        return web.json_response(answer, status=status)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        start, end = query.get("from", ""), query.get("to", "\U0010ffff")
        rows = [
            self._encode_row(key)
            for key in sorted(self.rows)
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and start <= key[2] < end
        ]
        version = self.version - self.faults.stale_by
        rows = [row for row in rows if row["ver"] <= version]
        page = {"rows": rows, "hasMore": False, "ver": version}
        return web.json_response({**page, "nowMs": _read_clock_ms()})

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        after = int(request.query["after"])
        deadline_s = (
            asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        )
        while True:
            if after < self.history_start:
                return web.json_response({}, status=410)
            rows = [
                self._encode_change(version, key, value)
                for version, key, value in self.history
                if version > after and key[0] == request.query["table"]
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                page = {"rows": rows, "ver": self.version}
                return web.json_response({**page, "nowMs": _read_clock_ms()})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _encode_change(
        self, version: int, key: tuple[str, str, str], value: str | None
    ) -> dict:
        table, part, name = key
        entry = {"table": table, "part": part, "key": name, "ver": version}
        if value is None:
            return {**entry, "deleted": True}
        return {**entry, "value": value}

    def _abort(self, request: web.Request) -> web.StreamResponse:
        """Close the connection without a response."""
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def _put_object(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["name"]
        if name in self.objects:
            return web.json_response({}, status=412)
        self.objects[name] = await request.read()
        return web.json_response({})

    async def _get_object(self, request: web.Request) -> web.StreamResponse:
        content = self.objects.get(request.match_info["name"])
        if content is None:
            return web.json_response({}, status=404)
        return web.Response(body=content)

    async def _drop_object(self, request: web.Request) -> web.StreamResponse:
        self.objects.pop(request.match_info["name"], None)
        return web.json_response({})


def _read_clock_ms() -> int:
    """Return the time of the store's steady clock."""
    return int(time.monotonic() * 1000) + _CLOCK_START_MS
