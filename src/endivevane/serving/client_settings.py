"""Settings about clients that nobody controls."""

from __future__ import annotations

import resource
import typing

import pydantic

# Shares of the descriptors that the process may open. Each client's request may need
# another one for a connection to a target.
_CLIENT_SHARE = 0.5
_PEER_SHARE = 0.1
_PROBE_SHARE = 0.02
# No system lets a process have more descriptors that it can use at the same time.
_MOST_DESCRIPTORS = 1 << 20

_Count = typing.Annotated[int, pydantic.Field(gt=0)]
_Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]
_Rate = typing.Annotated[float, pydantic.Field(ge=0)]


class ClientsSection(pydantic.BaseModel):
    """Limits for clients, beside those of the configuration.

    :param max_connections: connections at the address for clients; by default half of
        the descriptors that the process may open
    :param max_connections_per_source: such connections from one address; by default
        as many as in total, since a balancer may have one address for all clients
    :param max_requests_ahead: requests that a client may send one after the other
        before it has read the responses
    :param max_fields: fields of a request's head
    :param min_send_bytes_per_s: rate below which the sender of a request is closed
        when connections are scarce
    :param min_read_bytes_per_s: rate below which the reader of a response is closed
        when connections are scarce
    :param body_timeout_s: time from the end of a request's head to that of its body
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    max_connections: _Count | None = None
    max_connections_per_source: _Count | None = None
    max_requests_ahead: _Count = 1000
    max_fields: _Count = 4096
    min_send_bytes_per_s: _Rate = 1000.0
    min_read_bytes_per_s: _Rate = 100.0
    body_timeout_s: _Seconds = 600.0

    def count_connections(self) -> int:
        """Return the largest number of connections of clients."""
        return self.max_connections or _take_share(_CLIENT_SHARE)


def count_peer_connections() -> int:
    """Return the largest number of connections of other daemons."""
    return _take_share(_PEER_SHARE)


def count_probe_connections() -> int:
    """Return the largest number of connections for readiness, and for metrics."""
    return _take_share(_PROBE_SHARE)


def _take_share(share: float) -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = _MOST_DESCRIPTORS
    return max(1, int(soft * share))
