"""HTTP servers for the platform and the other daemons, beside that for clients."""

from __future__ import annotations

from collections import abc

from endivevane import types
from endivevane.entry import health_endpoints, settings
from endivevane.platform import headers
from endivevane.serving import http_server, memory_budget, model

_LIMITS = model.ClientLimits(
    max_body_bytes=16 << 20, header_timeout_s=3.0, idle_timeout_s=60.0
)


class InternalServers:
    """Serves readiness, metrics and the relay of store calls.

    :param relay: handles store calls of other daemons
    :param budget: bounds what is kept of requests that are not whole
    """

    def __init__(
        self,
        codec: headers.HeaderCodec,
        relay: http_server.Handler,
        is_ready: abc.Callable[[], bool],
        budget: memory_budget.MemoryBudget,
    ) -> None:
        readiness = health_endpoints.make_readiness(is_ready)
        self._relay = http_server.Server(codec, relay, _get_limits, budget)
        self._readiness = http_server.Server(codec, readiness, _get_limits, budget)
        self._metrics = http_server.Server(
            codec, health_endpoints.answer_metrics, _get_limits, budget
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
