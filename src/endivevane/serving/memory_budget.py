"""Budget of bytes that connections have received and this process still keeps."""

from __future__ import annotations

import time
from collections import abc

from endivevane import logs, metrics

# Memory of the smallest VM, for which a daemon without that setting is sized.
DEFAULT_MEMORY_BYTES = 200 << 20
# Share of each of the three budgets, of targets, the store and callers. The rest is for
# the daemon itself and for copies of received bytes while they are decoded.
_SHARE = 0.125
# Share of a budget for requests that are being handled.
_HANDLED_SHARE = 0.75
# A smaller request is handled whatever others take.
_SMALL_BYTES = 16 * 1024
# Bytes that a client does not take for this long may be dropped.
_UNSENT_GRACE_S = 1.0
# Added to the time since a connection's last byte in the comparison of connections.
_STALL_BASE_S = 0.1


def _ignore() -> None:
    """Do nothing for a connection that has ended."""


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
        self._handled_bytes = 0
        self._unsent_bytes = 0
        self._progress_s = time.monotonic()

    @property
    def is_revocable(self) -> bool:
        """Whether no request runs that the end of the connection would cut.

        A response that its client does not read is no reason to keep the connection.
        """
        if self._unsent_bytes:
            return time.monotonic() - self._progress_s > _UNSENT_GRACE_S
        return not self._handled_bytes

    @property
    def weight(self) -> float:
        """Kept bytes times the time for which the peer has let them lie."""
        stalled_s = time.monotonic() - self._progress_s
        return self.held_bytes * (_STALL_BASE_S + stalled_s)

    @property
    def is_scarce(self) -> bool:
        """Whether more than half of the budget is used."""
        return self._budget.is_scarce

    def set_received(self, count: int) -> None:
        """Set the number of bytes that have arrived and are not decoded yet."""
        if count > self._received_bytes:
            self._progress_s = time.monotonic()
        self._received_bytes = count
        self._update()

    def set_collected(self, count: int) -> None:
        """Set the number of bytes that are decoded and kept."""
        self._collected_bytes = count
        self._update()

    def set_handled(self, count: int) -> bool:
        """Set the number of bytes of the request that is being handled.

        :returns: ``False`` if too much is being handled, so that this must not be
        """
        if not self._budget.record_handled(count - self._handled_bytes):
            return False
        self._handled_bytes = count
        self._update()
        return True

    def set_unsent(self, count: int) -> None:
        """Set the number of written bytes that the peer has not taken."""
        if count < self._unsent_bytes or not self._unsent_bytes:
            self._progress_s = time.monotonic()
        self._unsent_bytes = count
        self._update()

    def close(self) -> None:
        """Keep nothing any more."""
        self._received_bytes = self._collected_bytes = self._unsent_bytes = 0
        self.set_handled(0)

    def release(self) -> None:
        """Keep nothing any more, and forget whom to tell."""
        self.close()
        self._on_revoked = _ignore

    def revoke(self) -> None:
        """Drop the bytes."""
        self.close()
        self._on_revoked()

    def _update(self) -> None:
        before = self.held_bytes
        received_bytes = self._received_bytes + self._collected_bytes
        self.held_bytes = received_bytes + self._handled_bytes + self._unsent_bytes
        self._budget.record_change(self, self.held_bytes - before)


class MemoryBudget:
    """Bounds what all connections of one kind keep together.

    When it is exceeded the connection that keeps most is given up, so that those which
    keep little are served whatever the others send.

    :param purpose: kind of the connections, a metric label
    :param memory_bytes: memory of the process, of which the budget is a share
    :param weighs_stalls: whether the connection is given up whose bytes have lain for
        long, rather than one whose peer makes progress
    """

    def __init__(
        self,
        purpose: str,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        weighs_stalls: bool = False,
    ) -> None:
        self._weighs_stalls = weighs_stalls
        self._purpose = purpose
        self._limit_bytes = int(memory_bytes * _SHARE)
        self._held_bytes = 0
        self._handled_bytes = 0
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

    def record_handled(self, change: int) -> bool:
        """Record a change of what is handled; return ``False`` if there is no room.

        What is handled is not given up, so that a part is left for other connections.
        """
        after_bytes = self._handled_bytes + change
        is_much = after_bytes > self._limit_bytes * _HANDLED_SHARE
        if change > _SMALL_BYTES and self._handled_bytes and is_much:
            return False
        self._handled_bytes = after_bytes
        return True

    def record_change(self, holding: Holding, change: int) -> None:
        """Record a change of a holding; above the limit, revoke the largest."""
        self._held_bytes += change
        if holding.held_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        if change <= 0 or self._held_bytes <= self._limit_bytes:
            return
        revocable = [item for item in self._holdings if item.is_revocable]
        if not revocable:
            return
        largest = max(revocable, key=self._weigh)
        metrics.REVOKED_BUFFERS.labels(self._purpose).inc()
        logs.limited_info(
            "buffer_revoked",
            purpose=self._purpose,
            bytes=largest.held_bytes,
            held=self._held_bytes,
        )
        largest.revoke()

    def _weigh(self, holding: Holding) -> float:
        return holding.weight if self._weighs_stalls else holding.held_bytes
