"""Counts the requests and bytes that go within the zone, and beyond it."""

from __future__ import annotations

from collections import abc

from endivevane import metrics
from endivevane.locality import location, sizes
from endivevane.serving import model

# Separators of a header line.
_HEADER_OVERHEAD_BYTES = 4


class Transfer:
    """One call to a target."""

    def __init__(
        self,
        service: str,
        reach: location.Reach,
        request_bytes: int,
        mean_sizes: sizes.MeanSizes,
    ) -> None:
        self._service = service
        self._request_bytes = request_bytes
        self._response_bytes = 0
        self._sizes = mean_sizes
        self._counter = metrics.TARGET_BYTES.labels(reach, "received")
        metrics.TARGET_REQUESTS.labels(reach).inc()
        metrics.TARGET_BYTES.labels(reach, "sent").inc(request_bytes)

    def add_received(self, count: int) -> None:
        """Count bytes of the response."""
        self._response_bytes += count
        self._counter.inc(count)

    def record_complete(self) -> None:
        """Learn from a complete response."""
        self._sizes.record(self._service, self._request_bytes, self._response_bytes)


class Traffic:
    """Counts the traffic of one daemon with its targets."""

    def __init__(
        self, daemon_location: location.Location, mean_sizes: sizes.MeanSizes
    ) -> None:
        self._location = daemon_location
        self._sizes = mean_sizes

    def begin(self, target: model.Target, request_bytes: int) -> Transfer:
        """Count a request that is sent to a target."""
        reach = self._location.find_reach(target.availability_zone)
        return Transfer(target.service, reach, request_bytes, self._sizes)


def count_head_bytes(headers: abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of the headers of a request or response."""
    return sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in headers
    )
