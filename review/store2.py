"""The platform's metadata store, as PROTOCOL.md describes it: rows and raw objects.

It answers after 4 ms, applies the transactions of a part one after the other in 3 ms
each, and an object call takes 25 ms and its share of 80 MB a second, as the settings of
DEPLOY.md say. ``is_down`` refuses all calls with 503, which the pages allow.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
import urllib.parse

import wire2 as wire

_ANSWER_S = 0.004
_TX_S = 0.003
_BLOB_S = 0.025
_BLOB_BYTES_PER_S = 80e6
_MAX_BLOB_BYTES = 8_388_608
_MAX_BLOBS_BYTES = 400_000_000
_PAGE_ROWS = 500
_PAGE_BYTES = 1_000_000
_HISTORY_S = 20.0


class Bandwidth:
    """Bytes a second that all transfers under way share evenly."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        # What a transfer has got that has been under way all the time.
        self._served = 0.0
        self._updated_s = 0.0
        self._transfers: dict[asyncio.Future[None], float] = {}
        self._timer: asyncio.TimerHandle | None = None

    async def transfer(self, size: int) -> None:
        """Wait until so many bytes are through."""
        self._update()
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._transfers[done] = self._served + size
        self._update()
        try:
            await done
        finally:
            self._update()
            self._transfers.pop(done, None)
            self._update()

    def _update(self) -> None:
        now_s = time.monotonic()
        if self._transfers:
            passed_s = now_s - self._updated_s
            self._served += passed_s * self._bytes_per_s / len(self._transfers)
        self._updated_s = now_s
        for done, end in list(self._transfers.items()):
            if end <= self._served + 1:
                del self._transfers[done]
                if not done.done():
                    done.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._transfers:
            left = min(self._transfers.values()) - self._served
            wait_s = left * len(self._transfers) / self._bytes_per_s
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, wait_s), self._update)


class Store:
    """In-memory rows with their history, and objects."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.history: list[tuple[float, int, tuple[str, str, str], str | None]] = []
        self.history_start = 0
        self.objects: dict[str, bytes] = {}
        self.is_down = False
        self.port = 0
        self._changed = asyncio.Event()
        self._parts: dict[str, asyncio.Lock] = {}
        self._bandwidth = Bandwidth(_BLOB_BYTES_PER_S)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def write(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a replica does; ``None`` deletes it."""
        content = None
        if value is not None:
            content = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self._set((table, "", key), content)
        self._notify()

    def list_values(self, table: str, prefix: str) -> list[bytes]:
        """Return the values of the rows whose keys have a prefix."""
        return [
            base64.b64decode(value)
            for (name, _, key), (value, _) in self.rows.items()
            if name == table and key.startswith(prefix)
        ]

    def _set(self, key: tuple[str, str, str], value: str | None) -> None:
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (value, self.version)
        self.history.append((time.monotonic(), self.version, key, value))
        while time.monotonic() - self.history[0][0] > _HISTORY_S:
            self.history_start = self.history.pop(0)[1]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await wire.read_head(reader)) is not None:
                await wire.read_body(reader, message)
                if not message.is_whole:
                    return
                await asyncio.sleep(_ANSWER_S / 2)
                if self.is_down:
                    status, body = 503, b"{}"
                else:
                    status, body = await self._handle_unless_left(message, reader)
                await asyncio.sleep(_ANSWER_S / 2)
                kind = {"Content-Type": "application/json"}
                writer.write(wire.write_response(status, kind, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle_unless_left(
        self, message: wire.Message, reader: asyncio.StreamReader
    ) -> tuple[int, bytes]:
        """Handle a call; a read of an object ends with its caller's connection."""
        if not message.target.startswith("/api/blob-get/"):
            return await self._handle(message)
        handling = asyncio.ensure_future(self._handle(message))
        while not handling.done():
            await asyncio.wait((handling,), timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                handling.cancel()
                raise ConnectionResetError
        return handling.result()

    async def _handle(self, message: wire.Message) -> tuple[int, bytes]:
        parsed = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        name = urllib.parse.unquote(parsed.path.rpartition("/")[2])
        if parsed.path == "/api/rows-tx":
            status, content = await self._transact(json.loads(message.body))
        elif parsed.path == "/api/rows-get":
            status, content = 200, self._read(query)
        elif parsed.path == "/api/rows-feed":
            status, content = await self._feed(query)
        elif parsed.path == "/api/rows-parts":
            parts = {key[1] for key in self.rows if key[0] == query["table"]}
            status, content = 200, {"parts": sorted(parts)}
        elif parsed.path.startswith("/api/blob-"):
            return await self._handle_object(message, parsed.path, name)
        else:
            status, content = 404, {}
        content.setdefault("ver", self.version)
        content["nowMs"] = int(time.monotonic() * 1000) + 3_600_000
        return status, json.dumps(content).encode()

    async def _transact(self, body: dict) -> tuple[int, dict]:
        entries = [*body.get("expectedRev", ()), *body.get("puts", ())]
        entries += body.get("remove", ())
        part = entries[0]["part"] if entries else ""
        async with self._parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(_TX_S)
            return self._apply(body)

    def _apply(self, body: dict) -> tuple[int, dict]:
        wanted = {
            (item["table"], item["part"], item["key"]): item["ver"]
            for item in body.get("expectedRev", ())
        }
        if any(self.rows.get(key, ("", 0))[1] != ver for key, ver in wanted.items()):
            known = [self._encode(key) for key in wanted if key in self.rows]
            return 412, {"rows": known}
        self.version += 1
        for item in body.get("puts", ()):
            self._set((item["table"], item["part"], item["key"]), item["value"])
        for item in body.get("remove", ()):
            self._set((item["table"], item["part"], item["key"]), None)
        self._notify()
        return 200, {}

    def _encode(self, key: tuple[str, str, str]) -> dict:
        value, version = self.rows[key]
        table, part, name = key
        return {
            "table": table,
            "part": part,
            "key": name,
            "value": value,
            "ver": version,
        }

    def _read(self, query: dict) -> dict:
        start, end = query.get("from", ""), query.get("to", "")
        names = sorted(
            key
            for key in self.rows
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and start <= key[2]
            and (not end or key[2] < end)
        )
        most = min(_PAGE_ROWS, int(query.get("limit", _PAGE_ROWS)))
        rows: list[dict] = []
        size = 0
        for key in names:
            size += len(self.rows[key][0])
            if len(rows) >= most or (rows and size > _PAGE_BYTES):
                return {"rows": rows, "hasMore": True}
            rows.append(self._encode(key))
        return {"rows": rows, "hasMore": False}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        until_s = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.history_start:
                return 410, {}
            rows = [
                self._encode_change(version, key, value)
                for _, version, key, value in self.history
                if version > after and key[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0 or self.is_down:
                return (503 if self.is_down else 200), {"rows": rows}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.2))
            except TimeoutError:
                continue

    def _encode_change(
        self, version: int, key: tuple[str, str, str], value: str | None
    ) -> dict:
        entry = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            return {**entry, "deleted": True}
        return {**entry, "value": value}

    async def _handle_object(
        self, message: wire.Message, path: str, name: str
    ) -> tuple[int, bytes]:
        await asyncio.sleep(_BLOB_S)
        found = self.objects.get(name)
        size = len(message.body) or len(found or b"")
        await self._bandwidth.transfer(size)
        if path.startswith("/api/blob-put/"):
            if message.headers.get("if-none-match") == "*" and name in self.objects:
                return 412, b"{}"
            total = sum(len(item) for item in self.objects.values())
            if size > _MAX_BLOB_BYTES or total + size > _MAX_BLOBS_BYTES:
                return 507, b"{}"
            self.objects[name] = message.body
            return 200, b"{}"
        if path.startswith("/api/blob-get/"):
            return (404, b"{}") if found is None else (200, found)
        if path.startswith("/api/blob-drop/"):
            self.objects.pop(name, None)
            return 200, b"{}"
        return 404, b"{}"
