"""Reading of the operator's configuration from its row in the store."""

from __future__ import annotations

import time

from endivevane import exceptions, logs, metrics
from endivevane.platform import records
from endivevane.serving import routing_table


def decode_routes(value: bytes, row_version: int) -> routing_table.RoutingTable | None:
    """Return the routes of a configuration, ``None`` if it is unusable."""
    begun_s = time.monotonic()
    try:
        configuration = records.decode_configuration(value)
    except exceptions.ProtocolError as error:
        logs.error("configuration_unusable", version=row_version, cause=error)
        return None
    metrics.CONFIG_REVISION.set(configuration.version)
    logs.info(
        "configuration_in_force",
        version=configuration.version,
        row_version=row_version,
        routes=len(configuration.routes),
        bytes=len(value),
        decoded_ms=int((time.monotonic() - begun_s) * 1000),
    )
    return routing_table.RoutingTable(configuration)
