"""Rules about entries that nothing matches, or that are replaced by others."""

from __future__ import annotations

import typing
from collections import abc

from endivevane.configuration_check import entries, findings
from endivevane.serving import model

_KINDS = frozenset(kind.value for kind in model.RouteKind)


def check(configuration: entries.Configuration) -> abc.Iterator[findings.Finding]:
    """Find entries that have no effect, or another one than they say."""
    for kind, named in (
        ("route", configuration.routes),
        ("service", configuration.services),
        ("organisation", configuration.organisations),
    ):
        yield from _check_names(kind, named)
    for route in configuration.routes:
        yield from _check_route(route)
    yield from _check_shadows(configuration.routes)
    yield from _check_services(configuration)


def _check_names(
    kind: str,
    named: abc.Sequence[entries.Route | entries.Service | entries.Organisation],
) -> abc.Iterator[findings.Finding]:
    first: dict[str, findings.Place] = {}
    for entry in named:
        if entry.name not in first:
            first[entry.name] = entry.place
            continue
        yield findings.Finding(
            findings.Rule.DUPLICATE_NAME,
            entry.find("name"),
            f"{kind} {entry.name} is defined in line {first[entry.name].line} too",
        )


def _check_route(route: entries.Route) -> abc.Iterator[findings.Finding]:
    if route.kind not in _KINDS:
        yield findings.Finding(
            findings.Rule.INVALID_KIND,
            route.find("kind"),
            f"route {route.name} has the kind {route.kind}, which is none of "
            f"{', '.join(sorted(_KINDS))}",
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield findings.Finding(
            findings.Rule.PREFIX_WITHOUT_SLASH,
            route.find("prefix"),
            f"the prefix {route.prefix} of route {route.name} doesn't begin and end "
            "with a slash",
        )
    if not route.service_names:
        yield findings.Finding(
            findings.Rule.NO_SERVICE,
            route.find("split"),
            f"route {route.name} gives no service any requests",
        )
    if route.service is not None and route.split:
        yield findings.Finding(
            findings.Rule.SPLIT_IGNORED,
            route.find("split"),
            f"all requests of route {route.name} go to its service {route.service}",
        )
        return
    for item in route.split:
        if item.weight:
            continue
        yield findings.Finding(
            findings.Rule.WEIGHT_ZERO,
            route.find("split"),
            f"service {item.name} gets no requests of route {route.name}: its weight "
            "is 0",
        )


def _check_shadows(
    routes: abc.Sequence[entries.Route],
) -> abc.Iterator[findings.Finding]:
    """Find routes whose requests all go to an earlier one."""
    first: dict[tuple[str, str], entries.Route] = {}
    for route in routes:
        taker = first.setdefault((route.host.lower(), route.prefix), route)
        if taker is route:
            continue
        rule = findings.Rule.ROUTE_SHADOWED
        if route.is_batch:
            rule = findings.Rule.BATCH_ROUTE_SHADOWED
        yield findings.Finding(
            rule,
            route.find("prefix"),
            f"route {route.name} is never reached: route {taker.name} in line "
            f"{taker.place.line} has the same host and prefix",
        )


def _check_services(
    configuration: entries.Configuration,
) -> abc.Iterator[findings.Finding]:
    declared = {service.name for service in configuration.services}
    used: set[str] = set()
    for route in configuration.routes:
        used |= route.service_names
        for name in sorted(route.service_names - declared):
            field: typing.Literal["service", "split"] = (
                "service" if route.service is not None else "split"
            )
            yield findings.Finding(
                findings.Rule.UNDECLARED_SERVICE,
                route.find(field),
                f"route {route.name} names the service {name}, which isn't declared",
            )
    for service in configuration.services:
        if service.name in used:
            continue
        yield findings.Finding(
            findings.Rule.UNUSED_SERVICE,
            service.place,
            f"no route gives requests to service {service.name}",
        )
