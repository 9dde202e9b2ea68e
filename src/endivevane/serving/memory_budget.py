"""Budget of bytes that connections have received and this process still keeps."""

from __future__ import annotations

from collections import abc

from endivevane import logs, metrics

# Memory of the smallest VM, for which a daemon without that setting is sized.
DEFAULT_MEMORY_BYTES = 200 << 20
# Share of each of the three budgets, of targets, the store and callers. The rest is for
# the daemon itself and for copies of received bytes while they are decoded.
_SHARE = 0.125


class Holding:
    """Bytes that are kept of one connection.

    :param on_revoked: called when the budget is exceeded and this connection has the
        largest part of it; the bytes must be dropped
    :ivar held_bytes: bytes kept at present
    """

    def __init__(
        self, budget: MemoryBudget, on_revoked: abc.Callable[[], None]
    ) -> None:
        self.held_bytes = 0
        self._budget = budget
        self._on_revoked = on_revoked
        self._received_bytes = 0
        self._collected_bytes = 0

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of the budget is used."""
        return self._budget.is_scarce

    def set_received(self, count: int) -> None:
        """Set the number of bytes that have arrived and are not decoded yet."""
        self._received_bytes = count
        self._update()

    def set_collected(self, count: int) -> None:
        """Set the number of bytes that are decoded and kept."""
        self._collected_bytes = count
        self._update()

    def close(self) -> None:
        """Keep nothing any more."""
        self._received_bytes = self._collected_bytes = 0
        self._update()

    def revoke(self) -> None:
        """Drop the bytes."""
        self.close()
        self._on_revoked()

    def _update(self) -> None:
        before = self.held_bytes
        self.held_bytes = self._received_bytes + self._collected_bytes
        self._budget.record_change(self, self.held_bytes - before)


class MemoryBudget:
    """Bounds what all connections of one kind keep together.

    When it is exceeded the connection that keeps most is given up, so that those which
    keep little are served whatever the others send.

    :param purpose: kind of the connections, a metric label
    :param memory_bytes: memory of the process, of which the budget is a share
    """

    def __init__(self, purpose: str, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self._purpose = purpose
        self._limit_bytes = int(memory_bytes * _SHARE)
        self._held_bytes = 0
        self._holdings: set[Holding] = set()

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of it is used."""
        return self._held_bytes > self._limit_bytes // 2

    @property
    def held_bytes(self) -> int:
        """Bytes that all connections keep."""
        return self._held_bytes

    def open(self, on_revoked: abc.Callable[[], None]) -> Holding:
        """Return the holding of a new connection."""
        return Holding(self, on_revoked)

    def record_change(self, holding: Holding, change: int) -> None:
        """Record a change of a holding; above the limit, revoke the largest."""
        self._held_bytes += change
        if holding.held_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        if change <= 0 or self._held_bytes <= self._limit_bytes:
            return
        largest = max(self._holdings, key=lambda item: item.held_bytes)
        metrics.REVOKED_BUFFERS.labels(self._purpose).inc()
        logs.limited_info(
            "buffer_revoked",
            purpose=self._purpose,
            bytes=largest.held_bytes,
            held=self._held_bytes,
        )
        largest.revoke()
