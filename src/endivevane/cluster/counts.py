"""Counters of messages and connections between daemons."""

from __future__ import annotations

import collections

import prometheus_client

_MESSAGES = prometheus_client.Counter(
    "endivevane_cluster_messages",
    "Messages between daemons, by kind and direction.",
    ["kind", "direction"],
)
_BYTES = prometheus_client.Counter(
    "endivevane_cluster_bytes",
    "Bytes of messages between daemons, by kind and direction.",
    ["kind", "direction"],
)
_DROPPED = prometheus_client.Counter(
    "endivevane_cluster_dropped",
    "Messages between daemons that were dropped, by reason.",
    ["reason"],
)
_CLOSED = prometheus_client.Counter(
    "endivevane_cluster_closed_connections",
    "Connections between daemons closed because the peer's key was taken out.",
    ["direction"],
)


class MessageCounts:
    """Counts of one transport: messages, bytes, drops and closed connections."""

    def __init__(self) -> None:
        self.messages: collections.Counter[tuple[str, str]] = collections.Counter()
        self.size_bytes: collections.Counter[tuple[str, str]] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.closed: collections.Counter[str] = collections.Counter()

    def record(self, direction: str, kind: str, size_bytes: int) -> None:
        """Count one message.

        :param direction: ``in`` or ``out``
        """
        self.messages[direction, kind] += 1
        self.size_bytes[direction, kind] += size_bytes
        _MESSAGES.labels(kind, direction).inc()
        _BYTES.labels(kind, direction).inc(size_bytes)

    def record_dropped(self, reason: str) -> None:
        """Count a message that was dropped before processing or sending."""
        self.dropped[reason] += 1
        _DROPPED.labels(reason).inc()

    def record_closed(self, direction: str) -> None:
        """Count a connection closed because its key is no longer allowed.

        :param direction: ``in`` when the peer opened it, otherwise ``out``
        """
        self.closed[direction] += 1
        _CLOSED.labels(direction).inc()
