"""Routing of client requests to online serving or the batch API."""

from __future__ import annotations

import asyncio
import http
import time

from endivevane import logs, metrics
from endivevane.organisations import identification
from endivevane.quotas import outcomes
from endivevane.quotas import service as quota_service
from endivevane.serving import (
    attempts,
    copy_age,
    job_api,
    model,
    online_service,
    request_matching,
    responder,
    routing_table,
)

# A daemon that has just started usually has a configuration within this time.
_NO_CONFIGURATION_RETRY_S = 0.5
# A daemon that has just started loads configuration and targets with a few store
# calls. A request that arrives before waits at most this long, and at most this share
# of the time until its deadline.
_MAX_START_WAIT_S = 0.8
_START_WAIT_SHARE = 0.4
# A daemon whose configuration is older than this may have missed a route; a long poll
# takes 2 s.
_MAX_CONFIGURATION_AGE_S = 4.0


class RequestRouter:
    """Passes each request to online serving or to the batch API.

    :ivar table: routes of the active configuration, ``None`` until one is loaded
    :ivar is_ready: set once configuration and targets are loaded
    """

    def __init__(
        self,
        online: online_service.OnlineService,
        batch: job_api.JobApi,
        matcher: request_matching.RequestMatcher,
        identifier: identification.Identification,
        quotas: quota_service.Quotas,
    ) -> None:
        self.table: routing_table.RoutingTable | None = None
        self.is_ready = asyncio.Event()
        self._online = online
        self._job_api = batch
        self._matcher = matcher
        self._identification = identifier
        self._quotas = quotas
        self._configuration_age = copy_age.CopyAge()

    def follow(self, configuration_age: copy_age.CopyAge) -> None:
        """Take the configuration for as old as the feed that hands it over."""
        self._configuration_age = configuration_age
        self._identification.follow(configuration_age)

    def find_organisation(self, name: str) -> model.Organisation | None:
        """Return an organisation of the configuration in force."""
        table = self.table
        return None if table is None else table.configuration.organisations.get(name)

    def has_quotas(self) -> bool:
        """Whether any organisation of the configuration in force has a quota."""
        table = self.table
        if table is None:
            return False
        organisations = table.configuration.organisations.values()
        return any(organisation.has_quota for organisation in organisations)

    def list_stream_services(self) -> frozenset[str]:
        """Return the services whose streams may be resumed."""
        table = self.table
        return frozenset() if table is None else table.stream_services

    async def handle(
        self, request: model.ClientRequest, response: responder.Responder
    ) -> None:
        """Handle a request."""
        if not self.is_ready.is_set():
            await self._wait_ready(request)
        table = self.table
        if table is None:
            response.send(
                responder.Response(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    retry_after_s=_NO_CONFIGURATION_RETRY_S,
                )
            )
            return
        matched = self._matcher.match(request, table)
        if matched is None:
            response.send(self._refuse_without_route(request, table))
            return
        if isinstance(matched, model.Route):
            is_public = matched.is_public
        else:
            is_public = identification.is_public_host(table, request.host)
        identified = self._identification.identify(
            request, table.configuration, is_public
        )
        if isinstance(identified, identification.Rejected):
            response.send(_make_rejection(identified))
            return
        if not isinstance(matched, model.Route):
            response.send(await self._job_api.call(identified, matched))
            return
        if matched.kind is model.RouteKind.BATCH:
            response.send(await self._submit(identified, matched))
            return
        await self._serve(identified, matched, table, response)

    async def _submit(
        self, request: model.ClientRequest, route: model.Route
    ) -> responder.Response:
        """Return the response to a request of a batch route."""
        if not self._matcher.is_submission(request):
            logs.limited_info(
                "job_not_submitted",
                request=request.attempt_id.decode("latin-1"),
                method=request.method.decode("latin-1"),
            )
            return responder.Response(http.HTTPStatus.BAD_REQUEST)
        return await self._job_api.submit(request, route)

    async def _serve(
        self,
        request: model.ClientRequest,
        route: model.Route,
        table: routing_table.RoutingTable,
        response: responder.Responder,
    ) -> None:
        """Serve a request of an online route."""
        refusal = await self._check_quota(request, route)
        if refusal is not None:
            response.send(refusal)
            return
        await self._online.serve(
            request,
            route,
            table.configuration.version,
            response,
            _may_have_moved(table, request, route),
        )

    async def _check_quota(
        self, request: model.ClientRequest, route: model.Route
    ) -> responder.Response | None:
        """Return the refusal of a request beyond its organisation's quota."""
        organisation = request.organisation
        if organisation is None or not organisation.has_quota:
            return None
        until_s = request.received_s + route.timeout_s
        if request.deadline_s is not None:
            until_s = min(until_s, request.deadline_s)
        outcome = await self._quotas.admit(organisation, until_s)
        if isinstance(outcome, outcomes.OverQuota):
            metrics.REFUSALS.labels("over_quota", "not-run").inc()
            status = http.HTTPStatus.TOO_MANY_REQUESTS
        elif isinstance(outcome, outcomes.NoIssuer):
            metrics.REFUSALS.labels("quota_undecided", "not-run").inc()
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
        else:
            return None
        return responder.Response(status, retry_after_s=outcome.retry_after_s)

    def _refuse_without_route(
        self, request: model.ClientRequest, table: routing_table.RoutingTable
    ) -> responder.Response:
        """Return the response to a request for which no route is known."""
        age_s = self._configuration_age.measure_s()
        logs.limited_info(
            "request_without_route",
            request=request.attempt_id.decode("latin-1"),
            host=request.host,
            path=request.path,
            version=table.configuration.version,
            configuration_age_s=round(age_s, 1),
        )
        if age_s <= _MAX_CONFIGURATION_AGE_S:
            return responder.Response(http.HTTPStatus.NOT_FOUND)
        metrics.REFUSALS.labels("configuration_out_of_date", "not-run").inc()
        return responder.Response(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_s=_NO_CONFIGURATION_RETRY_S,
        )

    async def _wait_ready(self, request: model.ClientRequest) -> None:
        """Wait a limited time for configuration and targets to be loaded."""
        wait_s = _MAX_START_WAIT_S
        if request.deadline_s is not None:
            time_left_s = request.deadline_s - time.monotonic()
            wait_s = min(wait_s, _START_WAIT_SHARE * time_left_s)
        try:
            async with asyncio.timeout(wait_s):
                await self.is_ready.wait()
        except TimeoutError:
            logs.limited_info(
                "request_before_start",
                request=request.attempt_id.decode("latin-1"),
                waited_ms=int(wait_s * 1000),
            )


def _make_rejection(rejected: identification.Rejected) -> responder.Response:
    return responder.Response(rejected.status, retry_after_s=rejected.retry_after_s)


def _may_have_moved(
    table: routing_table.RoutingTable, request: model.ClientRequest, route: model.Route
) -> bool:
    """Return whether a resumed stream may have begun at another service."""
    if not route.has_resumable_streams or not attempts.has_events(request):
        return False
    stream = attempts.get_stream(request, route)
    return table.may_have_moved(route, stream, time.monotonic())
