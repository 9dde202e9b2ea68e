"""Deciding whether a request is a call on a batch job or belongs to a route."""

from __future__ import annotations

import typing

from endivevane.serving import job_registry, jobs, model, routing_table


class CallDecoder(typing.Protocol):
    """Decodes the methods and paths of the batch API."""

    def decode_call(self, method: bytes, path: str) -> jobs.JobCall | None:
        """Return the batch call of a method and path, ``None`` if there is none."""

    def is_submission(self, method: bytes) -> bool:
        """Whether a request of a batch route submits a job."""


class RequestMatcher:
    """Tells calls on jobs and requests of routes apart, which share one path space.

    A prefix may cover the paths of calls on jobs, since ``/`` is one. Method and path
    therefore go before the prefixes on each host that has a batch route, or had one
    when a known job was submitted there. On other hosts such a path belongs to the
    route with the longest prefix.

    :param decoder: knows the methods and paths of calls
    :param registry: known jobs
    """

    def __init__(
        self, decoder: CallDecoder, registry: job_registry.JobRegistry
    ) -> None:
        self._decoder = decoder
        self._registry = registry

    def match(
        self, request: model.ClientRequest, table: routing_table.RoutingTable
    ) -> jobs.JobCall | model.Route | None:
        """Return the call or the route of a request, ``None`` if it has neither.

        A call without a route may be one on a job of a former route that this daemon
        does not know yet.
        """
        route = table.find(request.host, request.path)
        job_call = self._decoder.decode_call(request.method, request.path)
        if job_call is None:
            return route
        if route is None or self._has_jobs(request.host, job_call.job_id, table):
            return job_call
        return route

    def is_submission(self, request: model.ClientRequest) -> bool:
        """Whether a request of a batch route submits a job."""
        return self._decoder.is_submission(request.method)

    def _has_jobs(
        self, host: str, job_id: str, table: routing_table.RoutingTable
    ) -> bool:
        """Whether calls on a job may come to a host."""
        if table.find_batch_routes(host):
            return True
        entry = self._registry.entries.get(job_id)
        return entry is not None and routing_table.is_same_host(entry.job.host, host)
