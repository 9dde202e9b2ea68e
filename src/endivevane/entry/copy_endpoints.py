"""Endpoints of the calls that read a table whose copy the readers of a region keep."""

from __future__ import annotations

import time

from endivevane.entry import store_endpoints
from endivevane.platform import copied_feed
from endivevane.serving import feed_readers, http_client, peer_registry

# A daemon that has heard no reader for so long reads from the store itself.
_SILENT_READERS_S = 1.4
# The same if readers respond and have no current copy; while the link is full, reads by
# each daemon would fill it further.
_STALE_READERS_S = 3.0
# The same before the first copy: readers that start at the same time load it first.
_LOADING_READERS_S = 6.0
# Time for a reader's answer to a poll after its wait.
_POLL_MARGIN_S = 0.5


class CopyEndpoints:
    """Lists the endpoints of the reads of one table, best first.

    The store itself is left out while a reader responds: if all daemons read there, the
    table crosses the link between the regions once for each of them.
    """

    def __init__(
        self,
        endpoints: store_endpoints.StoreEndpoints,
        readers: feed_readers.FeedReaders,
    ) -> None:
        self._endpoints = endpoints
        self._readers = readers
        # One endpoint per address, which keeps its back-off.
        self._known: dict[tuple[str, int], http_client.Endpoint] = {}
        # Times of the first call since a reader has last responded, or succeeded.
        self._asked_s = self._wanted_s = 0.0

    def list_all(self) -> list[http_client.Endpoint]:
        """Return a reader, or the readers and the store once that has to be asked."""
        readers = [self._get_endpoint(peer) for peer in self._readers.list_readers()]
        if not readers:
            return self._endpoints.list_all()
        now_s = time.monotonic()
        usable = [item for item in readers if item.paused_until_s <= now_s]
        if self._has_lost_readers(now_s):
            return [*usable, *self._endpoints.list_all()]
        # One at a time: the next call goes to another one if this one fails.
        return (usable or readers)[:1]

    def _has_lost_readers(self, now_s: float) -> bool:
        """Return whether no reader has responded, or had a current copy, for long."""
        known = self._known.values()
        heard_s = max(item.heard_s for item in known)
        answered_s = max(item.answered_s for item in known)
        # A reader says nothing while it is not asked.
        if self._asked_s <= heard_s:
            self._asked_s = now_s
        if self._wanted_s <= answered_s:
            self._wanted_s = now_s
        limit_s = _STALE_READERS_S if answered_s else _LOADING_READERS_S
        is_stale = now_s - self._wanted_s >= limit_s
        return is_stale or now_s - self._asked_s >= _SILENT_READERS_S

    def _get_endpoint(self, peer: peer_registry.Peer) -> http_client.Endpoint:
        address = (peer.host, peer.port)
        endpoint = self._known.get(address)
        if endpoint is None:
            endpoint = http_client.Endpoint(
                peer.host,
                peer.port,
                is_relay=True,
                path_prefix=copied_feed.PATH_PREFIX,
                poll_margin_s=_POLL_MARGIN_S,
            )
            self._known[address] = endpoint
        return endpoint
