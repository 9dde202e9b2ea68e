"""Matching requests to routes, and choosing the service of a route."""

from __future__ import annotations

import collections
import random

from endivevane.serving import model


class RoutingTable:
    """The routes of one configuration, by host and longest prefix."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
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


def choose_service(route: model.Route, generator: random.Random) -> str:
    """Return a service of a route, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0].name
    weights = [service.weight for service in route.services]
    return generator.choices(route.services, weights)[0].name
