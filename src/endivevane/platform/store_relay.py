"""Passing on store calls of daemons that the store turns away."""

from __future__ import annotations

import base64
import http
import time
import urllib.parse
from collections import abc

import orjson

from endivevane import logs
from endivevane.serving import (
    follower,
    http_client,
    model,
    responder,
)

_CALLS = ("/api/rows-", "/api/blob-")
_READ_CALL = "/api/rows-get"


class StoreRelay:
    """Answers the store calls of other daemons by making them here.

    While the store is away here too, reads of followed tables are answered from
    memory with the version that they had, so that a daemon that has just started
    learns what the others know.
    """

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        endpoint: abc.Callable[[], http_client.Endpoint],
        followers: abc.Sequence[tuple[str, follower.TableFollower]],
    ) -> None:
        self._pool = pool
        self._endpoint = endpoint
        self._followers = dict(followers)

    async def handle(
        self, request: model.ClientRequest, answer: responder.Responder
    ) -> None:
        """Answer a call of another daemon."""
        if not request.path.startswith(_CALLS):
            answer.send(responder.Response(http.HTTPStatus.NOT_FOUND))
            return
        whole = await self._forward(request)
        if whole is None:
            whole = self._answer_from_memory(request.path)
        answer.send(whole)

    async def _forward(self, request: model.ClientRequest) -> responder.Response | None:
        """Make the call; ``None`` when the store certainly has not done it."""
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
            reply = await self._pool.call(
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
        if reply.status in (429, 503):
            return None
        return responder.Response(reply.status, reply.body)

    def _answer_from_memory(self, path: str) -> responder.Response:
        parsed = urllib.parse.urlsplit(path)
        query = urllib.parse.parse_qs(parsed.query)
        table = (query.get("table") or [""])[0]
        known = self._followers.get(table)
        is_whole_table = "from" not in query and "to" not in query
        if parsed.path != _READ_CALL or known is None or not is_whole_table:
            return responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        if not known.is_loaded:
            return responder.Response(http.HTTPStatus.SERVICE_UNAVAILABLE)
        rows = [
            {
                "table": row.row_key.table,
                "part": row.row_key.partition,
                "key": row.row_key.key,
                "value": base64.b64encode(row.value or b"").decode(),
                "ver": row.version,
            }
            for row in known.rows.values()
        ]
        body = orjson.dumps(
            {"rows": rows, "hasMore": False, "ver": known.version, "nowMs": 0}
        )
        return responder.Response(http.HTTPStatus.OK, body)
