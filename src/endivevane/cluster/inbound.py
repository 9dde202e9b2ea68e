"""Inspects and closes connections that peers opened."""

from __future__ import annotations

import socket
import typing
from collections import abc

import zmq


def read_user_id(frame: zmq.Frame) -> str:
    """Return the public key of a frame's connection, or an empty string."""
    # The type hints of pyzmq cover integer options only.
    read: abc.Callable[[typing.Any], typing.Any] = frame.get
    try:
        return str(read("User-Id"))
    except zmq.ZMQError:
        return ""


def read_descriptor(frame: zmq.Frame) -> int:
    """Return the file descriptor of a frame's connection, or -1."""
    read: abc.Callable[[typing.Any], typing.Any] = frame.get
    try:
        return int(read(zmq.SRCFD))
    except zmq.ZMQError:
        return -1


def close_connection(descriptor: int, listen_address: str) -> bool:
    """Shut down an accepted connection; return whether it was open.

    ZeroMQ has no call for this. The descriptor may have been closed and reused
    since, so it is shut down only if it was accepted on the listen address.

    :param listen_address: ``host:port`` that the connection was accepted on
    """
    if descriptor < 0:
        return False
    port = listen_address.rpartition(":")[2]
    try:
        with socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM) as accepted:
            # Raises OSError for a listening socket and for one already shut down.
            accepted.getpeername()
            address = accepted.getsockname()
            if not isinstance(address, tuple) or str(address[1]) != port:
                return False
            accepted.shutdown(socket.SHUT_RDWR)
    except OSError:
        return False
    return True
