"""Endpoints of store calls: the store itself, or a relay through another daemon."""

from __future__ import annotations

import random
import time

from endivevane import types
from endivevane.entry import settings
from endivevane.serving import http_client, peer_registry

# Maximum number of daemons that a store call may try besides the store.
_MAX_RELAYS = 2
# Number of daemons sampled as relays, since some may be in back-off.
_SAMPLED_RELAYS = 6


class StoreEndpoints:
    """Lists the endpoints of a store call, best first."""

    def __init__(
        self,
        loaded: settings.Settings,
        registry: peer_registry.PeerRegistry,
        generator: random.Random,
    ) -> None:
        self.store = _make_endpoint(loaded)
        self._region = loaded.vm.region
        self._peer_registry = registry
        self._generator = generator
        # One endpoint per daemon, which keeps its back-off.
        self._relays: dict[str, http_client.Endpoint] = {}

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

    def _get_relay(self, peer: peer_registry.Peer) -> http_client.Endpoint:
        endpoint = self._relays.get(peer.host)
        if endpoint is None:
            endpoint = http_client.Endpoint(peer.host, peer.port, is_relay=True)
            self._relays[peer.host] = endpoint
        return endpoint


def _make_endpoint(loaded: settings.Settings) -> http_client.Endpoint:
    address = types.parse_address(loaded.store.address)
    return http_client.Endpoint(address.host, address.port)
