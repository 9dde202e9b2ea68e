"""Bounds the connections of a server, in total and for each address of clients."""

from __future__ import annotations

import collections
import time
from collections import abc

from endivevane.serving import client_connection, client_settings, request_reader

# Share of the connections that make room at once, since each look at all takes time.
_EVICTED_SHARE = 1 / 16
# Time without a further look after one that found no connection to close.
_FULL_S = 0.02


class ConnectionLimiter:
    """Makes room for new connections by closing those of least worth.

    A connection whose request is handled is never closed for another one, except when
    its client does not read the response.

    :param most: largest number of connections
    :param most_per_source: the same for one address, ``None`` for no such limit
    """

    def __init__(self, most: int, most_per_source: int | None) -> None:
        self._most = most
        self._most_per_source = most_per_source
        # Address, ``None`` for all -> time until which none can be closed.
        self._full_until_s: dict[str | None, float] = {}
        self._connections: set[client_connection.ClientConnection] = set()
        self._sources: collections.Counter[str] = collections.Counter()

    def admit(self, connection: client_connection.ClientConnection) -> bool:
        """Count a new connection; return ``False`` if there is no room for it."""
        source = connection.source
        if (
            self._most_per_source is not None
            and self._sources[source] >= self._most_per_source
        ):
            limit = "connections_per_source"
            own = [item for item in self._connections if item.source == source]
            if not self._make_room(limit, source, own, self._most_per_source):
                request_reader.record_limit(limit, source)
                return False
        if len(self._connections) >= self._most:
            limit = "connections"
            if not self._make_room(limit, None, self._connections, self._most):
                request_reader.record_limit(limit, source)
                return False
        self._connections.add(connection)
        self._sources[source] += 1
        return True

    def remove(self, connection: client_connection.ClientConnection) -> None:
        """Count a connection no more."""
        if connection not in self._connections:
            return
        self._connections.discard(connection)
        source = connection.source
        self._sources[source] -= 1
        if not self._sources[source]:
            del self._sources[source]
            self._full_until_s.pop(source, None)

    def _make_room(
        self,
        limit: str,
        source: str | None,
        candidates: abc.Iterable[client_connection.ClientConnection],
        most: int,
    ) -> bool:
        """Close some connections of least worth; return whether there was one."""
        now_s = time.monotonic()
        if now_s < self._full_until_s.get(source, 0.0):
            return False
        standings = [(item.standing, item) for item in candidates]
        idle = [
            (standing, item)
            for standing, item in standings
            if standing[0] is not client_connection.Standing.BUSY
        ]
        idle.sort(key=lambda pair: pair[0])
        if not idle:
            self._full_until_s[source] = now_s + _FULL_S
        evicted = idle[: max(1, int(most * _EVICTED_SHARE))]
        for _, item in evicted:
            request_reader.record_limit(limit, item.source)
            self.remove(item)
            item.evict()
        return bool(evicted)


def make_limiter(section: client_settings.ClientsSection) -> ConnectionLimiter:
    """Return the limiter of the connections of clients."""
    return ConnectionLimiter(
        section.count_connections(), section.max_connections_per_source
    )
