"""Mean sizes of the requests and responses of each service."""

from __future__ import annotations

import dataclasses

# Until a service's first complete response.
_INITIAL_REQUEST_BYTES = 2_000.0
_INITIAL_RESPONSE_BYTES = 4_000.0
_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Bytes that a request takes on the network, without connection overhead."""

    request_bytes: float
    response_bytes: float

    @property
    def total_bytes(self) -> float:
        """Bytes in both directions."""
        return self.request_bytes + self.response_bytes


_INITIAL_SIZE = Size(_INITIAL_REQUEST_BYTES, _INITIAL_RESPONSE_BYTES)


class MeanSizes:
    """Learns the mean size by service."""

    def __init__(self) -> None:
        self._sizes: dict[str, Size] = {}

    def record(self, service: str, request_bytes: int, response_bytes: int) -> None:
        """Record a request that was answered completely."""
        mean = self._sizes.get(service)
        if mean is None:
            self._sizes[service] = Size(request_bytes, response_bytes)
            return
        self._sizes[service] = Size(
            mean.request_bytes + _WEIGHT * (request_bytes - mean.request_bytes),
            mean.response_bytes + _WEIGHT * (response_bytes - mean.response_bytes),
        )

    def get(self, service: str) -> Size:
        """Return the mean size of a service's requests and responses."""
        return self._sizes.get(service, _INITIAL_SIZE)
