"""The newest version of the store that any daemon is known to have seen."""

from __future__ import annotations


class NewestVersion:
    """High-water mark of the store's version.

    A store response at a lower version is stale: rows that it lacks may exist.

    :ivar value: the version, -1 while none is known
    """

    def __init__(self) -> None:
        self.value = -1

    def record(self, version: int) -> None:
        """Record a version that this daemon or a peer has seen."""
        self.value = max(self.value, version)
