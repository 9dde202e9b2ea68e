"""Matching requests to routes, and choosing the service of a route."""

from __future__ import annotations

import collections
import dataclasses
import random
from collections import abc

from endivevane.coordination import rendezvous
from endivevane.serving import model

# A stream that began before its route changed has ended within so many timeouts of the
# route, and some time for its client's tries.
_STREAM_TIMEOUTS = 2.0
_RESUME_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _FormerRoute:
    """A route before its services changed.

    :param until_s: monotonic time until which streams that it began may go on
    """

    route: model.Route
    until_s: float


class RoutingTable:
    """The routes of one configuration, by host and longest prefix.

    :ivar stream_services: services whose streams may be resumed
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.stream_services = frozenset(
            service.name
            for route in configuration.routes
            if route.has_resumable_streams
            for service in route.services
        )
        # Host and prefix -> the routes that were in force there.
        self._former: dict[tuple[str, str], tuple[_FormerRoute, ...]] = {}
        self._by_host: dict[str, list[model.Route]] = collections.defaultdict(list)
        for route in configuration.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._batch_by_host = {
            host: [route for route in routes if route.kind is model.RouteKind.BATCH]
            for host, routes in self._by_host.items()
        }

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` header, with or without a port
        :param path: path with or without a query
        """
        return _find_longest(_list_routes(self._by_host, host), path)

    def find_batch(self, host: str, path: str) -> model.Route | None:
        """Return the batch route with the longest prefix of an item's path.

        Other routes serve no items, even if their prefix is longer.
        """
        return _find_longest(self.find_batch_routes(host), path)

    def keep_former(self, previous: RoutingTable, now_s: float) -> None:
        """Keep what the streams need that began by the previous table."""
        routes = {
            (route.host, route.prefix): route
            for route in previous.configuration.routes
            if route.has_resumable_streams
        }
        for route in self.configuration.routes:
            key = (route.host, route.prefix)
            kept = [
                item for item in previous._former.get(key, ()) if item.until_s > now_s
            ]
            former = routes.get(key)
            if former is not None and former.services != route.services:
                lasting_s = _STREAM_TIMEOUTS * former.timeout_s + _RESUME_S
                kept.append(_FormerRoute(former, now_s + lasting_s))
            if kept:
                self._former[key] = tuple(kept)

    def may_have_moved(self, route: model.Route, stream: str, now_s: float) -> bool:
        """Return whether a stream may have begun at another service of its route."""
        service = choose_stream_service(route, stream)
        return any(
            choose_stream_service(item.route, stream) != service
            for item in self._former.get((route.host, route.prefix), ())
            if item.until_s > now_s
        )

    def find_batch_routes(self, host: str) -> list[model.Route]:
        """Return the batch routes of a host."""
        return _list_routes(self._batch_by_host, host)


def _list_routes(
    by_host: abc.Mapping[str, list[model.Route]], host: str
) -> list[model.Route]:
    """Return the routes of a host, those with the longest prefix first."""
    name = host.lower()
    return by_host.get(name) or by_host.get(_strip_port(name), [])


def is_same_host(first: str, second: str) -> bool:
    """Return whether two ``Host`` headers name one host, whatever their ports."""
    return _strip_port(first.lower()) == _strip_port(second.lower())


def _strip_port(host: str) -> str:
    name, _, port = host.rpartition(":")
    return name if port.isdecimal() else host


def _find_longest(routes: list[model.Route], path: str) -> model.Route | None:
    """Return the first route whose prefix begins a path, which may have a query."""
    bare_path = path.partition("?")[0]
    for route in routes:
        if bare_path.startswith(route.prefix):
            return route
    return None


def choose_stream_service(route: model.Route, stream: str) -> str:
    """Return the service of a route that begins a stream, and goes on with it."""
    if len(route.services) == 1:
        return route.services[0].name
    services = {service.name: service.weight for service in route.services}
    return rendezvous.choose_member(stream, services) or route.services[0].name


def choose_service(route: model.Route, generator: random.Random) -> str:
    """Return a service of a route, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0].name
    weights = [service.weight for service in route.services]
    return generator.choices(route.services, weights)[0].name
