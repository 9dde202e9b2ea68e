"""Rules about limits that contradict one another."""

from __future__ import annotations

from collections import abc

from endivevane.configuration_check import entries, findings


def check(configuration: entries.Configuration) -> abc.Iterator[findings.Finding]:
    """Find limits that can't be met together."""
    for route in configuration.routes:
        yield from _check_route(route)
    limits = configuration.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield findings.Finding(
            findings.Rule.HEADER_TIMEOUT_ABOVE_IDLE,
            limits.find("header_timeout_s"),
            f"the time for a request's head of {limits.header_timeout_s:g} s is above "
            f"the idle timeout of {limits.idle_timeout_s:g} s",
        )


def check_largest_job(
    routes: abc.Sequence[entries.Route], largest_job_tokens: int
) -> abc.Iterator[findings.Finding]:
    """Find batch routes that never accept the largest job."""
    for route in routes:
        if not route.is_batch or not 0 < route.token_quota < largest_job_tokens:
            continue
        yield findings.Finding(
            findings.Rule.QUOTA_BELOW_JOB,
            route.find("token_quota"),
            f"route {route.name} lets {route.token_quota} tokens wait, so that a job "
            f"of {largest_job_tokens} is never accepted",
        )


def check_slots(
    services: abc.Sequence[entries.Service], most_slots: abc.Mapping[str, int]
) -> abc.Iterator[findings.Finding]:
    """Find services whose targets run more streams than they accept connections.

    :param most_slots: most slots of a registered target, by service
    """
    for service in services:
        slots = most_slots.get(service.name, 0)
        if not 0 < service.max_connections < slots:
            continue
        yield findings.Finding(
            findings.Rule.STREAMS_ABOVE_CONNECTIONS,
            service.find("max_connections"),
            f"targets of service {service.name} accept {service.max_connections} "
            f"connections, but one of them runs {slots} streams",
        )


def _check_route(route: entries.Route) -> abc.Iterator[findings.Finding]:
    if not route.timeout_s:
        yield findings.Finding(
            findings.Rule.TIMEOUT_ZERO,
            route.find("timeout_s"),
            f"route {route.name} has no timeout, so that a default applies",
        )
    elif route.objective_s > route.timeout_s:
        yield findings.Finding(
            findings.Rule.OBJECTIVE_ABOVE_TIMEOUT,
            route.find("objective_s"),
            f"the objective of route {route.name}, {route.objective_s:g} s, is above "
            f"its timeout of {route.timeout_s:g} s",
        )
    if not route.max_attempts:
        yield findings.Finding(
            findings.Rule.ATTEMPTS_ZERO,
            route.find("max_attempts"),
            f"route {route.name} allows no attempt, so that no request is served",
        )
    if not route.is_batch or not route.retention_s:
        return
    if route.retention_s < route.completion_s:
        yield findings.Finding(
            findings.Rule.RETENTION_BELOW_COMPLETION,
            route.find("retention_s"),
            f"items of route {route.name} may be given up after {route.retention_s:g} "
            f"s, before they are due at {route.completion_s:g} s",
        )
