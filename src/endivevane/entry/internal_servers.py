"""HTTP servers for the platform and the other daemons, beside that for clients."""

from __future__ import annotations

from collections import abc

from endivevane import types
from endivevane.entry import health_endpoints, settings
from endivevane.platform import headers
from endivevane.serving import (
    client_settings,
    connection_limiter,
    http_server,
    memory_budget,
    model,
    request_reader,
)

_LIMITS = model.ClientLimits(
    max_body_bytes=16 << 20, header_timeout_s=3.0, idle_timeout_s=60.0
)


class InternalServers:
    """Serves readiness, metrics and the relay of store calls.

    :param relay: handles store calls of other daemons
    :param budget: bounds what is kept of requests and responses
    :param bounds: limits for callers beside those of sizes and times
    """

    def __init__(
        self,
        codec: headers.HeaderCodec,
        relay: http_server.Handler,
        is_ready: abc.Callable[[], bool],
        budget: memory_budget.MemoryBudget,
        bounds: request_reader.ClientBounds,
    ) -> None:
        readiness = health_endpoints.make_readiness(is_ready)

        def make_server(handler: http_server.Handler, most: int) -> http_server.Server:
            limiter = connection_limiter.ConnectionLimiter(most, None)
            return http_server.Server(
                codec, handler, _get_limits, budget, bounds, limiter
            )

        most_probes = client_settings.count_probe_connections()
        self._relay = make_server(relay, client_settings.count_peer_connections())
        self._readiness = make_server(readiness, most_probes)
        self._metrics = make_server(
            health_endpoints.make_metrics(bounds.turns), most_probes
        )

    async def listen(self, listen: settings.ListenSection, ip: str) -> None:
        """Listen on the addresses of the settings.

        :param ip: address of this VM
        """
        readiness = types.parse_address(listen.readiness)
        await self._readiness.listen(readiness.host, readiness.port)
        await self._relay.listen(ip, listen.internal_port)
        await self._metrics.listen(ip, listen.metrics_port)


def _get_limits() -> model.ClientLimits:
    return _LIMITS
