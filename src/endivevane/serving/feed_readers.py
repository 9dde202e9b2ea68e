"""Choice of the daemons that read a table from the store for the rest of their region.

A large row that each daemon reads by itself fills the link to the store's region. In a
region with a coordinator, the coordinator and its deputy read it there, and the other
daemons read it from one of these two.
"""

from __future__ import annotations

import time
import zlib

from endivevane.serving import peer_registry

# A reader's copy is at least as old as its last poll, and so are all copies behind it.
_READER_WAIT_S = 0.5
# A reader that falls silent is noticed once the wait is over.
_FOLLOWER_WAIT_S = 1.0


class FeedReaders:
    """Tells who reads from the store in this daemon's region."""

    def __init__(
        self,
        identity: peer_registry.Identity,
        registry: peer_registry.PeerRegistry,
    ) -> None:
        self._identity = identity
        self._registry = registry
        self._turn = zlib.crc32(identity.name.encode())

    def is_reader(self) -> bool:
        """Return whether other daemons of the region may read from this one."""
        return self._identity.name in self._registry.rank_readers(time.monotonic())

    def list_readers(self) -> list[peer_registry.Peer]:
        """Return the daemons to read from, the preferred one first.

        The list is empty where this daemon reads from the store.
        """
        names = self._registry.rank_readers(time.monotonic())
        if not names or self._identity.name in names:
            return []
        # Half of the daemons prefer each reader.
        first = self._turn % len(names)
        ordered = names[first:] + names[:first]
        peers = self._registry.peers
        return [peers[name] for name in ordered if name in peers]

    def find_poll_wait_s(self, longest_s: float) -> float:
        """Return how long a poll of this daemon may be held while nothing changes.

        :param longest_s: the time in a region without readers
        """
        names = self._registry.rank_readers(time.monotonic())
        if not names:
            return longest_s
        is_reader = self._identity.name in names
        return min(longest_s, _READER_WAIT_S if is_reader else _FOLLOWER_WAIT_S)
