"""Relay for store calls of daemons that can't reach the store themselves."""

from __future__ import annotations

import dataclasses
import http
import time
import urllib.parse
from collections import abc

import orjson

from endivevane import logs
from endivevane.platform import copied_feed
from endivevane.serving import (
    follower,
    http_client,
    model,
    responder,
)

_CALL_PREFIXES = ("/api/rows-", "/api/blob-")


@dataclasses.dataclass(frozen=True, slots=True)
class FollowedRows:
    """Rows of a followed table, all of them or those with keys in ``[start, end)``."""

    table: str
    follower: follower.TableFollower
    start: str = ""
    end: str = ""


class StoreRelay:
    """Forwards store calls of other daemons to the store.

    While the store is unavailable here too, reads of followed tables return the cached
    rows with their version, so that a daemon that has just started can load them.

    :param followers: followed tables whose rows may be read from memory
    :param copied: tables that other daemons of the region may read from copies here
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        endpoint: abc.Callable[[], http_client.Endpoint],
        followers: abc.Sequence[FollowedRows],
        copied: abc.Sequence[copied_feed.CopiedFeed] = (),
    ) -> None:
        self._pool = pool
        self._endpoint = endpoint
        self._copied = copied
        self._followers = {
            (followed.table, followed.start, followed.end): followed.follower
            for followed in followers
        }

    async def handle(
        self, request: model.ClientRequest, response: responder.Responder
    ) -> None:
        """Handle a store call of another daemon."""
        if request.path.startswith(copied_feed.PATH_PREFIX):
            response.send(await copied_feed.answer(request, self._copied))
            return
        if not request.path.startswith(_CALL_PREFIXES):
            response.send(responder.Response(http.HTTPStatus.NOT_FOUND))
            return
        relayed = await self._forward(request)
        if relayed is None:
            relayed = self._read_from_memory(request.path)
        response.send(relayed)

    async def _forward(self, request: model.ClientRequest) -> responder.Response | None:
        """Forward a call; return ``None`` if the store certainly has not done it."""
        endpoint = self._endpoint()
        if endpoint.paused_until_s > time.monotonic():
            return None
        headers = tuple(
            (name, value)
            for name, value in request.headers
            if name.lower() == b"if-none-match"
        )
        sent = http_client.SentFlag()
        try:
            store_response = await self._pool.call(
                endpoint,
                request.method,
                request.path.encode("latin-1"),
                headers,
                request.body,
                sent,
            )
        except (TimeoutError, OSError, http_client.BrokenAnswer) as error:
            endpoint.record_failure()
            logs.limited_info("relayed_call_failed", cause=repr(error))
            if sent.is_set:
                return responder.Response(http.HTTPStatus.GATEWAY_TIMEOUT)
            return None
        if store_response.status in (429, 503):
            return None
        return responder.Response(store_response.status, store_response.body)

    def _read_from_memory(self, path: str) -> responder.Response:
        parsed = urllib.parse.urlsplit(path)
        query = urllib.parse.parse_qs(parsed.query)
        table, start, end = (
            (query.get(name) or [""])[0] for name in ("table", "from", "to")
        )
        followed = self._followers.get((table, start, end))
        if parsed.path != copied_feed.READ_PATH or followed is None:
            return responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        if not followed.is_loaded:
            return responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        rows = [
            copied_feed.encode_row(row)
            for _, row in sorted(followed.rows.items())
            if start <= row.row_key.key and (not end or row.row_key.key < end)
        ]
        content = {"rows": rows, "hasMore": False, "ver": followed.version, "nowMs": 0}
        age_s = copied_feed.limit_age_s(followed.age.measure_s())
        content[copied_feed.AGE_FIELD] = age_s
        body = orjson.dumps(content)
        return responder.Response(http.HTTPStatus.OK, body)
