"""Queries about the state of connections."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios

# Size of the number that the ioctl returns.
_COUNT_BYTES = 4


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer's kernel has not acknowledged.

    It is 0 where the system does not tell.
    """
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, sys.byteorder)
