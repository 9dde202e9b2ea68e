"""The newest version of the store that any daemon is known to have seen."""

from __future__ import annotations


class NewestVersion:
    """A version that only goes up.

    An answer of the store at a lower version is out of date: what it does not show may
    exist all the same.

    :ivar value: the version, -1 while none is known
    """

    def __init__(self) -> None:
        self.value = -1

    def record(self, version: int) -> None:
        """Take in a version that this daemon or a peer has seen."""
        self.value = max(self.value, version)
