"""Reserves TCP ports that no other test run on this machine uses."""

from __future__ import annotations

import fcntl
import pathlib
import random
import socket
import tempfile
import typing

# The ephemeral range of Linux starts at 32768; ports from it could collide with
# outgoing connections.
_FIRST_PORT = 15_000
_LAST_PORT = 30_000
_MAX_TRIES = 2_000
_HOST = "127.0.0.1"


class Ports:
    """Reserves ports across processes of this machine, with a lock file per port."""

    def __init__(self) -> None:
        self._folder = pathlib.Path(tempfile.gettempdir()) / "endivevane-ports"
        self._folder.mkdir(exist_ok=True)
        self._locks: dict[int, typing.IO[str]] = {}
        self._random = random.SystemRandom()

    def reserve(self) -> int:
        """Return a free port, reserved until :meth:`release`.

        :raises RuntimeError: when no free port is found
        """
        for _ in range(_MAX_TRIES):
            port = self._random.randint(_FIRST_PORT, _LAST_PORT)
            if port not in self._locks and self._try_lock(port):
                return port
        raise RuntimeError("no free port found")

    def reserve_address(self) -> str:
        """Return ``host:port`` with a reserved port."""
        return f"{_HOST}:{self.reserve()}"

    def release(self) -> None:
        """Release all ports."""
        for lock in self._locks.values():
            lock.close()
        self._locks.clear()

    def _try_lock(self, port: int) -> bool:
        lock = (self._folder / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            return False
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_HOST, port))
            except OSError:
                lock.close()
                return False
        self._locks[port] = lock
        return True
