"""Client of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import binascii
import time
import typing
import urllib.parse
from collections import abc

import orjson

from endivevane import metrics
from endivevane.serving import failures, http_client, store

_PAGE_ROWS = 500
# A call of an idle store takes some milliseconds; beyond this the store is in trouble.
_CALL_TIMEOUT_S = 1.5
# What a long poll may take beyond the time that it was asked to wait.
_POLL_MARGIN_S = 1.0
_OBJECT_TIMEOUT_S = 4.0


class TableStore:
    """Speaks the store's protocol over kept connections.

    :param endpoints: addresses that lead to the store, the best one first; called for
        each call
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        endpoints: abc.Callable[[], abc.Sequence[http_client.Endpoint]],
    ) -> None:
        self._pool = pool
        self._endpoints = endpoints
        self.last_answer_s = 0.0

    async def read_rows(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> store.RowPage:
        """Return the rows of a partition in ``[start, end)``, all pages joined."""
        rows: list[store.Row] = []
        while True:
            query = {"table": table, "part": partition, "limit": str(_PAGE_ROWS)}
            if start:
                query["from"] = start
            if end:
                query["to"] = end
            path = "/api/rows-get?" + urllib.parse.urlencode(query)
            content = await self._call("rows-get", b"GET", path, b"")
            rows.extend(_decode_rows(content))
            if not content.get("hasMore") or not rows:
                return store.RowPage(tuple(rows), int(content["ver"]))
            # The next page begins right behind the last key.
            start = rows[-1].row_key.key + "\0"

    async def apply(self, change: store.Transaction) -> store.Applied | store.Conflict:
        """Apply a transaction."""
        keys = [condition.row_key for condition in change.conditions]
        keys.extend(row_key for row_key, _ in change.puts)
        keys.extend(change.deletes)
        partitions = {row_key.partition for row_key in keys}
        body: dict[str, typing.Any] = {
            "expectedRev": [
                {**_encode_key(condition.row_key), "ver": condition.version}
                for condition in change.conditions
            ],
            "puts": [
                {**_encode_key(row_key), "value": base64.b64encode(value).decode()}
                for row_key, value in change.puts
            ],
            "remove": [_encode_key(row_key) for row_key in change.deletes],
        }
        if len(partitions) > 1:
            body["across"] = True
        content = await self._call(
            "rows-tx", b"POST", "/api/rows-tx", orjson.dumps(body)
        )
        if content["status"] == 412:
            return store.Conflict(tuple(_decode_rows(content)))
        return store.Applied(int(content["ver"]))

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> store.RowPage:
        """Return the rows of a table that changed after a version."""
        query = urllib.parse.urlencode(
            {"table": table, "after": after_version, "waitMs": int(wait_s * 1000)}
        )
        path = f"/api/rows-feed?{query}"
        timeout_s = wait_s + _POLL_MARGIN_S
        content = await self._call("rows-feed", b"GET", path, b"", timeout_s)
        return store.RowPage(tuple(_decode_rows(content)), int(content["ver"]))

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; an object that exists under the name stays."""
        path = "/api/blob-put/" + urllib.parse.quote(name, safe="")
        await self._send(
            "blob-put",
            b"PUT",
            path,
            content,
            _OBJECT_TIMEOUT_S,
            ((b"If-None-Match", b"*"),),
        )

    async def get_object(self, name: str) -> bytes:
        """Return an object."""
        path = "/api/blob-get/" + urllib.parse.quote(name, safe="")
        reply = await self._send("blob-get", b"GET", path, b"", _OBJECT_TIMEOUT_S)
        return reply.body

    async def delete_object(self, name: str) -> None:
        """Delete an object."""
        path = "/api/blob-drop/" + urllib.parse.quote(name, safe="")
        await self._send("blob-drop", b"DELETE", path, b"", _OBJECT_TIMEOUT_S)

    async def _call(
        self,
        name: str,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> dict[str, typing.Any]:
        reply = await self._send(name, method, path, body, timeout_s)
        try:
            content = orjson.loads(reply.body)
        except orjson.JSONDecodeError as error:
            raise failures.StoreUncertain(name, "unreadable answer") from error
        content["status"] = reply.status
        return typing.cast("dict[str, typing.Any]", content)

    async def _send(
        self,
        name: str,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> http_client.WholeReply:
        """Try each endpoint until one does the call or may have done it."""
        failure: failures.StoreFailure = failures.StoreRefused(name, "no endpoint")
        for endpoint in self._endpoints():
            try:
                reply = await self._send_once(
                    name, endpoint, method, path, body, timeout_s, headers
                )
            except failures.StoreHistoryGone:
                raise
            except failures.StoreBadRequest:
                raise
            except failures.StoreFailure as error:
                metrics.STORE_CALLS.labels(name, type(error).__name__).inc()
                endpoint.record_failure()
                is_write = method != b"GET"
                if isinstance(error, failures.StoreUncertain) and is_write:
                    raise
                failure = error
                continue
            metrics.STORE_CALLS.labels(name, "ok").inc()
            endpoint.record_success()
            self.last_answer_s = time.monotonic()
            return reply
        raise failure

    async def _send_once(
        self,
        name: str,
        endpoint: http_client.Endpoint,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> http_client.WholeReply:
        sent = http_client.SentFlag()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._pool.call(
                    endpoint, method, path.encode(), headers, body, sent
                )
        except (TimeoutError, OSError, http_client.BrokenAnswer) as error:
            cause = type(error).__name__
            if not sent.is_set:
                raise failures.StoreRefused(name, cause) from error
            raise failures.StoreUncertain(name, cause) from error
        if reply.status in (200, 412):
            return reply
        if reply.status == 410:
            raise failures.StoreHistoryGone(name, "history is gone")
        if reply.status in (429, 503, 507):
            raise failures.StoreRefused(name, f"status {reply.status}")
        if 400 <= reply.status < 500:
            raise failures.StoreBadRequest(
                name, f"status {reply.status}: {reply.body[:100]!r}"
            )
        raise failures.StoreUncertain(name, f"status {reply.status}")


def _encode_key(row_key: store.RowKey) -> dict[str, str]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }


def _decode_rows(content: dict[str, typing.Any]) -> list[store.Row]:
    """Return the rows of an answer; a value that is not base64 is an empty one."""
    rows = []
    for entry in content.get("rows", ()):
        row_key = store.RowKey(
            entry.get("table", ""), entry.get("part", ""), entry["key"]
        )
        value: bytes | None = None
        if not entry.get("deleted") and entry.get("value") is not None:
            try:
                value = base64.b64decode(entry["value"], validate=True)
            except (binascii.Error, TypeError):
                # Another writer's bytes; whoever decodes the row reports it.
                value = b""
        rows.append(store.Row(row_key, value, int(entry.get("ver", 0))))
    return rows
