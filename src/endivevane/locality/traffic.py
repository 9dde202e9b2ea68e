"""Counts the requests and bytes that go within the zone, and beyond it."""

from __future__ import annotations

from collections import abc

from endivevane import metrics
from endivevane.locality import location, sizes
from endivevane.serving import model

# Separators of a header line.
_HEADER_OVERHEAD_BYTES = 4


class _Counters:
    """The metrics of one distance."""

    def __init__(self, reach: location.Reach) -> None:
        self.requests = metrics.TARGET_REQUESTS.labels(reach)
        self.sent_bytes = metrics.TARGET_BYTES.labels(reach, "sent")
        self.received_bytes = metrics.TARGET_BYTES.labels(reach, "received")


class Transfer:
    """One call to a target."""

    def __init__(
        self,
        service: str,
        counters: _Counters,
        request_bytes: int,
        mean_sizes: sizes.MeanSizes,
    ) -> None:
        self._service = service
        self._counters = counters
        self._request_bytes = request_bytes
        self._response_bytes = 0
        self._sizes = mean_sizes
        counters.requests.inc()
        counters.sent_bytes.inc(request_bytes)

    def add_received(self, count: int) -> None:
        """Count bytes of the response."""
        self._response_bytes += count
        self._counters.received_bytes.inc(count)

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
        self._counters = {reach: _Counters(reach) for reach in location.Reach}

    def begin(self, target: model.Target, request_bytes: int) -> Transfer:
        """Count a request that is sent to a target."""
        reach = self._location.find_reach(target.availability_zone)
        return Transfer(
            target.service, self._counters[reach], request_bytes, self._sizes
        )


def count_head_bytes(headers: abc.Iterable[tuple[bytes, bytes]]) -> int:
    """Return the size of the headers of a request or response."""
    return sum(
        len(name) + len(value) + _HEADER_OVERHEAD_BYTES for name, value in headers
    )
