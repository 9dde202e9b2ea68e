"""Names of the daemons by their hosts, since datagrams come from hosts."""

from __future__ import annotations

from endivevane.serving import peer_registry


class PeerNames:
    """Finds the name of the daemon at a host."""

    def __init__(self, registry: peer_registry.PeerRegistry) -> None:
        self._registry = registry
        self._names: dict[str, str] = {}

    def record(self, host: str, name: str) -> None:
        """Record the daemon at a host, as its own message says."""
        self._names[host] = name

    def find(self, host: str) -> str | None:
        """Return the name of the daemon at a host, ``None`` if unknown."""
        name = self._names.get(host)
        if name is not None:
            return name
        for peer in self._registry.peers.values():
            if peer.host == host:
                self._names[host] = peer.name
                return peer.name
        return None
