"""Finding out what a client's request is about."""

from __future__ import annotations

import asyncio
import http
import time
import typing

from endivevane import logs
from endivevane.serving import (
    job_api,
    jobs,
    model,
    online_service,
    responder,
    routing_table,
)

# A daemon without a configuration has one within about this time.
_NO_CONFIGURATION_RETRY_S = 0.5
# A process that has just started knows configuration and targets after some store
# calls; a request that comes before is kept for at most this time and this share of
# the time that its client has.
_START_WAIT_S = 0.8
_START_WAIT_SHARE = 0.4


class CallDecoder(typing.Protocol):
    """Recognises the calls on batch jobs."""

    def decode_read(self, method: bytes, path: str) -> jobs.JobCall | None:
        """Return the call that a path names, ``None`` if it names none."""


class RequestRouter:
    """Hands each request to online serving or to the batch calls.

    :ivar table: the configuration in force, ``None`` until one is known
    :ivar is_ready: set once the configuration and the targets are known
    """

    def __init__(
        self,
        online: online_service.OnlineService,
        batch: job_api.JobApi,
        decoder: CallDecoder,
    ) -> None:
        self.table: routing_table.RoutingTable | None = None
        self.is_ready = asyncio.Event()
        self._online = online
        self._batch = batch
        self._decoder = decoder

    async def handle(
        self, request: model.ClientRequest, answer: responder.Responder
    ) -> None:
        """Answer a request."""
        if not self.is_ready.is_set():
            await self._wait_open(request)
        table = self.table
        if table is None:
            answer.send(
                responder.Response(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    retry_after_s=_NO_CONFIGURATION_RETRY_S,
                )
            )
            return
        route = table.find(request.host, request.path)
        if route is None:
            job_call = self._decoder.decode_read(request.method, request.path)
            if job_call is not None:
                answer.send(await self._batch.call(request, job_call))
                return
            logs.limited_info(
                "request_without_route",
                request=request.attempt_id.decode("latin-1"),
                host=request.host,
                path=request.path,
                version=table.configuration.version,
            )
            answer.send(responder.Response(http.HTTPStatus.NOT_FOUND))
            return
        if route.kind is model.RouteKind.BATCH:
            answer.send(await self._batch.submit(request, route))
            return
        await self._online.serve(request, route, table.configuration.version, answer)

    async def _wait_open(self, request: model.ClientRequest) -> None:
        """Wait a little for what a process that has just started does not know yet."""
        wait_s = _START_WAIT_S
        if request.deadline_s is not None:
            left_s = request.deadline_s - time.monotonic()
            wait_s = min(wait_s, _START_WAIT_SHARE * left_s)
        try:
            async with asyncio.timeout(wait_s):
                await self.is_ready.wait()
        except TimeoutError:
            logs.limited_info(
                "request_before_start",
                request=request.attempt_id.decode("latin-1"),
                waited_ms=int(wait_s * 1000),
            )
