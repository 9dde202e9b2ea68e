"""Types shared by several packages."""

from __future__ import annotations

import dataclasses
import enum


class RunState(enum.StrEnum):
    """Whether a refused or failed request was executed."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Role(enum.StrEnum):
    """Role of an API key's owner, which determines the permitted operations."""

    CALLER = "caller"
    OPERATOR = "operator"


class Priority(enum.IntEnum):
    """Priority of a queued online request; lower values are sent first."""

    INTERACTIVE = 0
    NORMAL = 1
    BACKGROUND = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port.

    :param host: IP address
    :param port: TCP port, 1 to 65535
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    :param text: for example ``127.0.0.1:8080``
    :raises ValueError: if the text is not ``host:port`` or the port is out of range
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not host or not port_text.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"port {port} is out of range")
    return Address(host, port)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Recent online demand for a model at one or more daemons.

    All values are decayed averages: event rates and mean numbers of requests.

    :param sent_per_s: requests whose first attempt was sent
    :param refused_per_s: requests refused for lack of capacity
    :param tokens_per_s: tokens delivered to callers
    :param running_requests: attempts in flight
    :param waiting_requests: requests in the queue
    """

    sent_per_s: float = 0.0
    refused_per_s: float = 0.0
    tokens_per_s: float = 0.0
    running_requests: float = 0.0
    waiting_requests: float = 0.0

    def __add__(self, other: ModelDemand) -> ModelDemand:
        """Return the combined demand."""
        return ModelDemand(
            self.sent_per_s + other.sent_per_s,
            self.refused_per_s + other.refused_per_s,
            self.tokens_per_s + other.tokens_per_s,
            self.running_requests + other.running_requests,
            self.waiting_requests + other.waiting_requests,
        )

    def compute_slots(self) -> float:
        """Return the number of engine slots needed to serve the demand.

        A refused request is assumed to last as long as the mean running request.
        """
        duration_s = 1.0
        if self.sent_per_s > 0:
            duration_s = self.running_requests / self.sent_per_s
        refused = self.refused_per_s * duration_s
        return self.running_requests + self.waiting_requests + refused
