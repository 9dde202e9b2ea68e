"""Client of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import gzip
import io
import time
import typing
import urllib.parse
import zlib
from collections import abc

import orjson

from endivevane import exceptions, json_fields, logs, metrics
from endivevane.platform import copied_feed
from endivevane.serving import failures, http_client, store, store_clock

_PAGE_ROWS = 500
_ROW_READ = "rows-get"
# An idle store responds within a few milliseconds; one that needs longer than this is
# failing.
_CALL_TIMEOUT_S = 1.5
# Time after which a read that a client waits for goes to the next endpoint.
_QUICK_TIMEOUT_S = 0.35
# The endpoint that has answered such a read is asked first for this long.
_PREFER_S = 2.0
_OBJECT_TIMEOUT_S = 4.0
# Limit of a decompressed answer.
_MAX_BODY_BYTES = 64 << 20
# Larger answers are logged; those of most calls are below 2 kB.
_LARGE_ANSWER_BYTES = 64 * 1024


class TableStore:
    """Client of the store that tries several endpoints.

    :param endpoints: returns the endpoints of a call in order of preference
    :param clock: records the time that responses name
    :param read_endpoints: the same for reads of rows, by default that of all calls
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        endpoints: abc.Callable[[], abc.Sequence[http_client.Endpoint]],
        clock: store_clock.StoreClock | None = None,
        read_endpoints: abc.Callable[[], abc.Sequence[http_client.Endpoint]]
        | None = None,
    ) -> None:
        self._clock = clock or store_clock.StoreClock()
        self._pool = pool
        self._endpoints = endpoints
        self._read_endpoints = read_endpoints or endpoints
        self._preferred: http_client.Endpoint | None = None
        self._preferred_until_s = 0.0

    async def read_rows(
        self, table: str, partition: str, start: str = "", end: str = ""
    ) -> store.RowPage:
        """Return the first rows of a partition in ``[start, end)``, one page."""
        path = _make_read_path(table, partition, start, end)
        content = await self._call(_ROW_READ, b"GET", path, b"")
        return store.RowPage(
            tuple(_decode_rows(content)),
            _decode_version(_ROW_READ, content),
            bool(content.get("hasMore")),
            _decode_age_s(_ROW_READ, content),
        )

    async def read_newest(
        self, table: str, partition: str, start: str, end: str
    ) -> store.RowPage:
        """Return one page of rows as the store, or a relay with the store, has them.

        An endpoint that is silent is left early, and keeps its place for other calls.
        """
        path = _make_read_path(table, partition, start, end)
        last_error: failures.StoreFailure = failures.StoreRefused(
            _ROW_READ, "no endpoint"
        )
        for endpoint in self._list_preferred_first():
            try:
                response = await self._send_once(
                    _ROW_READ, endpoint, b"GET", path, b"", _QUICK_TIMEOUT_S, ()
                )
                content = self._decode(_ROW_READ, response)
                if _decode_age_s(_ROW_READ, content):
                    raise failures.StoreRefused(_ROW_READ, "a relay without the store")
            except failures.StoreFailure as error:
                metrics.STORE_CALLS.labels(_ROW_READ, type(error).__name__).inc()
                last_error = error
                continue
            metrics.STORE_CALLS.labels(_ROW_READ, "ok").inc()
            if endpoint is not self._preferred:
                self._preferred = endpoint
                self._preferred_until_s = time.monotonic() + _PREFER_S
            version = _decode_version(_ROW_READ, content)
            rows = tuple(_decode_rows(content))
            return store.RowPage(rows, version, bool(content.get("hasMore")))
        raise last_error

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
        return store.Applied(_decode_version("rows-tx", content))

    async def wait_for_changes(
        self, table: str, after_version: int, wait_s: float
    ) -> store.RowPage:
        """Return the rows of a table that changed after a version (long poll)."""
        query = urllib.parse.urlencode(
            {"table": table, "after": after_version, "waitMs": int(wait_s * 1000)}
        )
        path = f"/api/rows-feed?{query}"
        content = await self._call("rows-feed", b"GET", path, b"", poll_wait_s=wait_s)
        return store.RowPage(
            tuple(_decode_rows(content)),
            _decode_version("rows-feed", content),
            age_s=_decode_age_s("rows-feed", content),
        )

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object unless one of this name exists."""
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
        response = await self._send("blob-get", b"GET", path, b"", _OBJECT_TIMEOUT_S)
        return response.body

    async def delete_object(self, name: str) -> None:
        """Delete an object."""
        path = "/api/blob-drop/" + urllib.parse.quote(name, safe="")
        await self._send("blob-drop", b"DELETE", path, b"", _OBJECT_TIMEOUT_S)

    def _list_preferred_first(self) -> list[http_client.Endpoint]:
        """Return the endpoints, first the one that answered a moment ago."""
        endpoints = list(self._endpoints())
        if self._preferred is None or time.monotonic() >= self._preferred_until_s:
            self._preferred = None
            return endpoints
        others = [item for item in endpoints if item is not self._preferred]
        return [self._preferred, *others]

    async def _call(
        self,
        name: str,
        method: bytes,
        path: str,
        body: bytes,
        poll_wait_s: float | None = None,
    ) -> dict[str, typing.Any]:
        response = await self._send(
            name, method, path, body, _CALL_TIMEOUT_S, poll_wait_s=poll_wait_s
        )
        return self._decode(name, response)

    def _decode(
        self, name: str, response: http_client.HttpResponse
    ) -> dict[str, typing.Any]:
        """Return the content of a response, with its status, and record its time."""
        try:
            content = orjson.loads(_decompress(response))
        except (ValueError, OSError, EOFError, zlib.error) as error:
            raise failures.StoreUncertain(name, "invalid body") from error
        if not isinstance(content, dict):
            raise failures.StoreUncertain(name, "no object")
        now_ms = content.get("nowMs")
        if isinstance(now_ms, int) and not isinstance(now_ms, bool):
            self._clock.record(now_ms)
        content["status"] = response.status
        return typing.cast("dict[str, typing.Any]", content)

    async def _send(
        self,
        name: str,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        poll_wait_s: float | None = None,
    ) -> http_client.HttpResponse:
        """Try the endpoints in order until one has, or may have, done the call.

        :param poll_wait_s: how long a long poll may be held, ``None`` for other calls
        """
        last_error: failures.StoreFailure = failures.StoreRefused(name, "no endpoint")
        is_row_read = name == _ROW_READ
        list_endpoints = self._read_endpoints if is_row_read else self._endpoints
        for endpoint in list_endpoints():
            if poll_wait_s is not None:
                timeout_s = poll_wait_s + endpoint.poll_margin_s
            try:
                response = await self._send_once(
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
                last_error = error
                continue
            metrics.STORE_CALLS.labels(name, "ok").inc()
            endpoint.record_success()
            return response
        raise last_error

    async def _send_once(
        self,
        name: str,
        endpoint: http_client.Endpoint,
        method: bytes,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> http_client.HttpResponse:
        sent = http_client.SentFlag()
        begun_s = time.monotonic()
        if endpoint.is_relay:
            headers = (*headers, (b"Accept-Encoding", b"gzip"))
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._pool.call(
                    endpoint,
                    method,
                    (endpoint.path_prefix + path).encode(),
                    headers,
                    body,
                    sent,
                )
        except (TimeoutError, OSError, http_client.BrokenAnswer) as error:
            cause = type(error).__name__
            if not sent.is_set:
                raise failures.StoreRefused(name, cause) from error
            raise failures.StoreUncertain(name, cause) from error
        endpoint.heard_s = time.monotonic()
        _record_answer(name, path, endpoint, response, time.monotonic() - begun_s)
        if response.status in (200, 412):
            return response
        if response.status == 410:
            raise failures.StoreHistoryGone(name, "change history truncated")
        if response.status in (429, 503, 507):
            raise failures.StoreRefused(name, f"status {response.status}")
        if 400 <= response.status < 500:
            raise failures.StoreBadRequest(
                name, f"status {response.status}: {response.body[:100]!r}"
            )
        raise failures.StoreUncertain(name, f"status {response.status}")


def _decompress(response: http_client.HttpResponse) -> bytes:
    """Return the body of a response, which a daemon may have compressed.

    :raises ValueError: when it is too large
    :raises OSError, EOFError, zlib.error: when it is not whole
    """
    if (b"content-encoding", b"gzip") not in response.headers:
        return response.body
    with gzip.GzipFile(fileobj=io.BytesIO(response.body)) as file:
        body = file.read(_MAX_BODY_BYTES + 1)
    if len(body) > _MAX_BODY_BYTES:
        raise ValueError("body too large")
    return body


def _record_answer(
    name: str,
    path: str,
    endpoint: http_client.Endpoint,
    response: http_client.HttpResponse,
    took_s: float,
) -> None:
    """Record the size and the time of an answer."""
    source = "daemon" if endpoint.is_relay else "store"
    size = len(response.body)
    metrics.STORE_ANSWER_BYTES.labels(name, source).inc(size)
    metrics.STORE_ANSWER_SECONDS.labels(name, source).observe(took_s)
    if size >= _LARGE_ANSWER_BYTES:
        logs.limited_info(
            "store_answer_large",
            path=path[:100],
            source=source,
            status=response.status,
            bytes=size,
            took_ms=int(took_s * 1000),
        )


def _make_read_path(table: str, partition: str, start: str, end: str) -> str:
    query = {"table": table, "part": partition, "limit": str(_PAGE_ROWS)}
    if start:
        query["from"] = start
    if end:
        query["to"] = end
    return "/api/rows-get?" + urllib.parse.urlencode(query)


def _encode_key(row_key: store.RowKey) -> dict[str, str]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }


def _decode_version(name: str, content: dict[str, typing.Any]) -> int:
    """Return the version of the store that a response is as of.

    :raises failures.StoreUncertain: when it has none
    """
    version = content.get("ver")
    if not isinstance(version, int) or isinstance(version, bool):
        raise failures.StoreUncertain(name, "no version")
    return version


def _decode_age_s(name: str, content: dict[str, typing.Any]) -> float:
    """Return the age of rows that a relay answers from its memory, else 0.

    :raises failures.StoreUncertain: when it is malformed
    """
    try:
        return json_fields.read_age_s(content.get(copied_feed.AGE_FIELD, 0.0))
    except ValueError as error:
        raise failures.StoreUncertain(name, f"age of the rows: {error}") from error


def _decode_rows(content: dict[str, typing.Any]) -> list[store.Row]:
    """Decode the rows of a response; those without a key or a version are left out."""
    entries = content.get("rows")
    rows = []
    for entry in entries if isinstance(entries, list) else ():
        try:
            rows.append(_decode_row(entry))
        except exceptions.ProtocolError as error:
            logs.limited_info("store_row_unusable", cause=error)
    return rows


def _decode_row(entry: typing.Any) -> store.Row:
    """Decode a row; a value that is not base64 becomes empty.

    :raises exceptions.ProtocolError: when it has no key or no version
    """
    if not isinstance(entry, dict):
        raise exceptions.ProtocolError("the store", "a row is no object")
    version = entry.get("ver", 0)
    table, partition = entry.get("table", ""), entry.get("part", "")
    key = entry.get("key")
    is_named = all(isinstance(name, str) for name in (table, partition, key))
    if not is_named or not isinstance(version, int) or isinstance(version, bool):
        raise exceptions.ProtocolError("the store", "a row has no key or version")
    value: bytes | None = None
    if not entry.get("deleted") and entry.get("value") is not None:
        try:
            value = base64.b64decode(entry["value"], validate=True)
        except (ValueError, TypeError):
            # Written by another program; the decoder of the row reports it.
            value = b""
    return store.Row(store.RowKey(table, partition, str(key)), value, version)
