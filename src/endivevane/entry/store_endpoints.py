"""Where calls to the store go: to the store, or through another daemon."""

from __future__ import annotations

import random
import time

from endivevane import types
from endivevane.entry import settings
from endivevane.serving import http_client, peer_registry

# Other daemons that a store call may try besides the store.
_RELAYS = 2
# Daemons that are drawn to find them, as some may have failed a moment ago.
_DRAWN_RELAYS = 6


class StoreEndpoints:
    """Lists the endpoints of a store call, best first."""

    def __init__(
        self,
        loaded: settings.Settings,
        members: peer_registry.PeerRegistry,
        generator: random.Random,
    ) -> None:
        self.store = _make_endpoint(loaded)
        self._region = loaded.vm.region
        self._roster = members
        self._generator = generator
        # One endpoint for each daemon, so that its failures are remembered.
        self._relays: dict[str, http_client.Endpoint] = {}

    def apply_settings(self, loaded: settings.Settings) -> None:
        """Follow the store to a new address."""
        endpoint = _make_endpoint(loaded)
        known = (self.store.host, self.store.port)
        if (endpoint.host, endpoint.port) != known:
            self.store = endpoint

    def list_all(self) -> list[http_client.Endpoint]:
        """Return the store and, while it fails, daemons that may reach it first."""
        now_s = time.monotonic()
        chosen = self._choose_relays(now_s)
        if self.store.paused_until_s <= now_s:
            return [self.store, *chosen]
        return [*chosen, self.store]

    def _choose_relays(self, now_s: float) -> list[http_client.Endpoint]:
        """Return some daemons that have not failed a moment ago."""
        # The way through another region costs its link twice.
        everywhere = self._roster.list_alive()
        near = [peer for peer in everywhere if peer.region == self._region]
        alive = near or everywhere
        drawn = self._generator.sample(alive, min(_DRAWN_RELAYS, len(alive)))
        relays = (self._find_relay(peer) for peer in drawn)
        usable = [item for item in relays if item.paused_until_s <= now_s]
        return usable[:_RELAYS]

    def _find_relay(self, peer: peer_registry.Peer) -> http_client.Endpoint:
        endpoint = self._relays.get(peer.host)
        if endpoint is None:
            endpoint = http_client.Endpoint(peer.host, peer.port)
            self._relays[peer.host] = endpoint
        return endpoint


def _make_endpoint(loaded: settings.Settings) -> http_client.Endpoint:
    address = types.parse_address(loaded.store.address)
    return http_client.Endpoint(address.host, address.port)
