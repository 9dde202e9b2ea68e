"""Matching requests to routes, and choosing the service of a route."""

from __future__ import annotations

import collections
import random

from endivevane.coordination import rendezvous
from endivevane.serving import model


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
        self._by_host: dict[str, list[model.Route]] = collections.defaultdict(list)
        for route in configuration.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path.

        :param host: value of the ``Host`` header, with or without a port
        :param path: path with or without a query
        """
        bare_path = path.partition("?")[0]
        for name in (host.lower(), host.lower().rpartition(":")[0]):
            for route in self._by_host.get(name, ()):
                if bare_path.startswith(route.prefix):
                    return route
        return None

    def find_batch_routes(self, host: str) -> list[model.Route]:
        """Return the batch routes of a host."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            routes = self._by_host.get(host.lower().rpartition(":")[0], [])
        return [route for route in routes if route.kind is model.RouteKind.BATCH]


def choose_service(
    route: model.Route, generator: random.Random, stream: str = ""
) -> str:
    """Return a service of a route, chosen at random by weight.

    :param stream: id of a stream that may be resumed, which goes on at the service that
        began it; empty for other requests
    """
    if len(route.services) == 1:
        return route.services[0].name
    if stream:
        services = {service.name: service.weight for service in route.services}
        return rendezvous.choose_member(stream, services) or route.services[0].name
    weights = [service.weight for service in route.services]
    return generator.choices(route.services, weights)[0].name
