"""Small types that several folders share."""

from __future__ import annotations

import dataclasses
import enum


class RunState(enum.StrEnum):
    """What a refusal or failure says about the execution of a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Role(enum.StrEnum):
    """What the owner of an API key may do."""

    CALLER = "caller"
    OPERATOR = "operator"


class Priority(enum.IntEnum):
    """Order in which waiting online requests are sent; lower values go first."""

    INTERACTIVE = 0
    NORMAL = 1
    BACKGROUND = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a TCP port.

    :param host: IP number
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
    :raises ValueError: when the text has no port or the port is out of range
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not host or not port_text.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"port {port} is out of range")
    return Address(host, port)
