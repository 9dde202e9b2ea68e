"""Endpoints of store calls: the store itself, or a relay through another daemon."""

from __future__ import annotations

import random
import time

from endivevane import types
from endivevane.entry import settings
from endivevane.platform import copied_feed
from endivevane.serving import feed_readers, http_client, peer_registry

# Maximum number of daemons that a store call may try besides the store.
_MAX_RELAYS = 2
# Number of daemons sampled as relays, since some may be in back-off.
_SAMPLED_RELAYS = 6
# A daemon that has heard no reader for so long reads from the store itself.
_SILENT_READERS_S = 1.4
# The same if readers respond and have no current copy; while the link is full, reads by
# each daemon would fill it further.
_STALE_READERS_S = 3.0
# The same before the first copy: readers that start at the same time load it first.
_LOADING_READERS_S = 6.0
# Time for a reader's answer to a poll after its wait.
_READER_POLL_MARGIN_S = 0.5


class StoreEndpoints:
    """Lists the endpoints of a store call, best first."""

    def __init__(
        self,
        loaded: settings.Settings,
        registry: peer_registry.PeerRegistry,
        readers: feed_readers.FeedReaders,
        generator: random.Random,
    ) -> None:
        self.store = _make_endpoint(loaded)
        self._region = loaded.vm.region
        self._peer_registry = registry
        self._readers = readers
        self._generator = generator
        # One endpoint per daemon, which keeps its back-off.
        self._relays: dict[str, http_client.Endpoint] = {}
        self._reader_endpoints: dict[str, http_client.Endpoint] = {}
        self._started_s = time.monotonic()

    def apply_settings(self, loaded: settings.Settings) -> None:
        """Use the store's new address if it has changed."""
        endpoint = _make_endpoint(loaded)
        known = (self.store.host, self.store.port)
        if (endpoint.host, endpoint.port) != known:
            self.store = endpoint

    def list_all(self) -> list[http_client.Endpoint]:
        """Return the store and relays; while the store is in back-off, relays first."""
        now_s = time.monotonic()
        chosen = self._choose_relays(now_s)
        if self.store.paused_until_s <= now_s:
            return [self.store, *chosen]
        return [*chosen, self.store]

    def list_for_copies(self) -> list[http_client.Endpoint]:
        """Return where to read a table that the readers of the region keep.

        The store itself is left out while a reader responds: if all daemons read there,
        the table crosses the link between the regions once for each of them.
        """
        now_s = time.monotonic()
        readers = [self._get_reader(peer) for peer in self._readers.list_readers()]
        if not readers:
            return self.list_all()
        usable = [item for item in readers if item.paused_until_s <= now_s]
        known = self._reader_endpoints.values()
        heard_s = max(self._started_s, *(item.heard_s for item in known))
        answered_s = max(item.answered_s for item in known)
        limit_s = _STALE_READERS_S if answered_s else _LOADING_READERS_S
        is_stale = now_s - max(answered_s, self._started_s) >= limit_s
        if is_stale or now_s - heard_s >= _SILENT_READERS_S:
            return [*usable, *self.list_all()]
        # One at a time: the next call goes to another one if this one fails.
        return (usable or readers)[:1]

    def _choose_relays(self, now_s: float) -> list[http_client.Endpoint]:
        """Return random alive daemons that are not in back-off."""
        # A relay in another region would use the link between regions twice.
        all_alive = self._peer_registry.list_alive()
        in_region = [peer for peer in all_alive if peer.region == self._region]
        candidates = in_region or all_alive
        sampled = self._generator.sample(
            candidates, min(_SAMPLED_RELAYS, len(candidates))
        )
        relays = (self._get_relay(peer) for peer in sampled)
        usable = [item for item in relays if item.paused_until_s <= now_s]
        return usable[:_MAX_RELAYS]

    def _get_reader(self, peer: peer_registry.Peer) -> http_client.Endpoint:
        endpoint = self._reader_endpoints.get(peer.host)
        if endpoint is None:
            endpoint = http_client.Endpoint(
                peer.host,
                peer.port,
                is_relay=True,
                path_prefix=copied_feed.PATH_PREFIX,
                poll_margin_s=_READER_POLL_MARGIN_S,
            )
            self._reader_endpoints[peer.host] = endpoint
        return endpoint

    def _get_relay(self, peer: peer_registry.Peer) -> http_client.Endpoint:
        endpoint = self._relays.get(peer.host)
        if endpoint is None:
            endpoint = http_client.Endpoint(peer.host, peer.port, is_relay=True)
            self._relays[peer.host] = endpoint
        return endpoint


def _make_endpoint(loaded: settings.Settings) -> http_client.Endpoint:
    address = types.parse_address(loaded.store.address)
    return http_client.Endpoint(address.host, address.port)
