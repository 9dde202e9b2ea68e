"""Client of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import time
import typing
import urllib.parse
import zlib
from collections import abc

import orjson

from endivevane import metrics
from endivevane.platform import store_answers
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
# Statuses of responses to reads of a daemon's copy.
_COPY_STATUSES = (200, 410, 503)
# An answer may take longer while its bytes keep arriving, with pauses of this at most.
_PROGRESS_TIMEOUT_S = 1.5
# Longest time that this may add, so that an answer without end is given up.
_MAX_EXTENSION_S = 20.0


_Content = typing.TypeVar("_Content")


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
            tuple(store_answers.decode_rows(content)),
            store_answers.decode_version(_ROW_READ, content),
            bool(content.get("hasMore")),
            store_answers.decode_age_s(_ROW_READ, content),
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
                if store_answers.decode_age_s(_ROW_READ, content):
                    raise failures.StoreRefused(_ROW_READ, "a relay without the store")
            except failures.StoreFailure as error:
                metrics.STORE_CALLS.labels(_ROW_READ, type(error).__name__).inc()
                last_error = error
                continue
            metrics.STORE_CALLS.labels(_ROW_READ, "ok").inc()
            if endpoint is not self._preferred:
                self._preferred = endpoint
                self._preferred_until_s = time.monotonic() + _PREFER_S
            version = store_answers.decode_version(_ROW_READ, content)
            rows = tuple(store_answers.decode_rows(content))
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
            return store.Conflict(tuple(store_answers.decode_rows(content)))
        return store.Applied(store_answers.decode_version("rows-tx", content))

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
            tuple(store_answers.decode_rows(content)),
            store_answers.decode_version("rows-feed", content),
            age_s=store_answers.decode_age_s("rows-feed", content),
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
            _get_body,
            ((b"If-None-Match", b"*"),),
        )

    async def get_object(self, name: str) -> bytes:
        """Return an object."""
        path = "/api/blob-get/" + urllib.parse.quote(name, safe="")
        return await self._send(
            "blob-get", b"GET", path, b"", _OBJECT_TIMEOUT_S, _get_body
        )

    async def delete_object(self, name: str) -> None:
        """Delete an object."""
        path = "/api/blob-drop/" + urllib.parse.quote(name, safe="")
        await self._send(
            "blob-drop", b"DELETE", path, b"", _OBJECT_TIMEOUT_S, _get_body
        )

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
        def decode(response: http_client.HttpResponse) -> dict[str, typing.Any]:
            return self._decode(name, response)

        return await self._send(
            name, method, path, body, _CALL_TIMEOUT_S, decode, poll_wait_s=poll_wait_s
        )

    def _decode(
        self, name: str, response: http_client.HttpResponse
    ) -> dict[str, typing.Any]:
        """Return the content of a response, with its status, and record its time."""
        try:
            content = orjson.loads(store_answers.decompress(response))
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
        decode: abc.Callable[[http_client.HttpResponse], _Content],
        headers: tuple[tuple[bytes, bytes], ...] = (),
        poll_wait_s: float | None = None,
    ) -> _Content:
        """Try the endpoints in order until one has, or may have, done the call.

        :param decode: returns the content of a response; one that can't be decoded is
            a failure of its endpoint
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
                content = decode(response)
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
            return content
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
            async with asyncio.timeout(timeout_s) as limit:
                progress = _Progress(limit)
                response = await self._pool.call(
                    endpoint,
                    method,
                    (endpoint.path_prefix + path).encode(),
                    headers,
                    body,
                    sent,
                    progress.extend,
                )
        except (TimeoutError, OSError, http_client.BrokenAnswer) as error:
            cause = type(error).__name__
            if not sent.is_set:
                raise failures.StoreRefused(name, cause) from error
            raise failures.StoreUncertain(name, cause) from error
        if endpoint.path_prefix and response.status not in _COPY_STATUSES:
            # A daemon of an earlier release, which gives no copies.
            raise failures.StoreRefused(name, f"status {response.status}")
        endpoint.heard_s = time.monotonic()
        store_answers.record_answer(
            name, path, endpoint, response, time.monotonic() - begun_s
        )
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


class _Progress:
    """Puts off the timeout of a call while its answer is arriving."""

    def __init__(self, limit: asyncio.Timeout) -> None:
        self._limit = limit
        self._latest_s = (limit.when() or 0.0) + _MAX_EXTENSION_S

    def extend(self) -> None:
        """Allow more time, since a part of the answer has arrived."""
        now_s = asyncio.get_running_loop().time()
        current_s = self._limit.when()
        if current_s is None or current_s <= now_s:
            return
        wanted_s = min(now_s + _PROGRESS_TIMEOUT_S, self._latest_s)
        self._limit.reschedule(max(current_s, wanted_s))


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


def _get_body(response: http_client.HttpResponse) -> bytes:
    return response.body
