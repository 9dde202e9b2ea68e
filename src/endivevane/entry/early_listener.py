"""The clients' listener, opened before the daemon's modules are imported.

The import takes most of the time of a start. Meanwhile connections wait in the
listener's backlog; without it they would be reset, and a client that has one retry
would lose its request when many daemons start at the same time.
"""

from __future__ import annotations

import pathlib
import socket
import tomllib

BACKLOG = 1024


def open_listener(path: pathlib.Path) -> socket.socket | None:
    """Listen on the clients' address of a settings file.

    :returns: ``None`` where that fails; the daemon then reports why, since it reads the
        settings and listens itself
    """
    try:
        settings = tomllib.loads(path.read_text(encoding="utf-8"))
        host, _, port = settings["listen"]["clients"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None


def is_bound_to(listener: socket.socket, host: str, port: int) -> bool:
    """Return whether a listener has an address."""
    return bool(listener.getsockname() == (host, port))
