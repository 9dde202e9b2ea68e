"""Computes this daemon's share of the inter-region link, by need."""

from __future__ import annotations

import threading
from collections import abc

from endivevane.coordination import clock, shares

_ENTRIES_PER_MESSAGE = 4
# Every routing decision reads the share, and recomputing it would dominate its cost.
_SHARE_CACHE_S = 0.1


class LinkShares:
    """A thread-safe share allocator for a daemon.

    The cluster thread exchanges announcements; any thread may read the share.

    :param measure_need: returns the rate that this daemon uses or requests, and the
        rate that all daemons share, in bytes per second
    """

    def __init__(
        self,
        daemon: str,
        shares_clock: clock.Clock,
        measure_need: abc.Callable[[], tuple[float, float]],
        settings: shares.ShareSettings | None = None,
    ) -> None:
        self._measure_need = measure_need
        self._settings = settings or shares.ShareSettings()
        self._members = 1
        self._clock = shares_clock
        # Rate, share and time of the last computation.
        self._computed = (0.0, 0.0, 0.0)
        self._lock = threading.Lock()
        # Starting from the wall clock gives a restarted daemon higher versions than
        # before, since it announces less than once per millisecond.
        self._allocator = shares.ShareAllocator(
            daemon, self._settings, shares_clock, shares_clock.wall_ms()
        )

    def compute_share(self, rate_bytes_s: float) -> float:
        """Return this daemon's share of a rate that all daemons share."""
        now_s = self._clock.monotonic_s()
        known_rate_bytes_s, share_bytes_s, computed_s = self._computed
        if known_rate_bytes_s == rate_bytes_s and now_s - computed_s < _SHARE_CACHE_S:
            return share_bytes_s
        with self._lock:
            share_bytes_s = self._allocator.compute_share(rate_bytes_s)
        self._computed = (rate_bytes_s, share_bytes_s, now_s)
        return share_bytes_s

    def compute_even_share(self, rate_bytes_s: float) -> float:
        """Return the share of each daemon if all shares were equal."""
        return rate_bytes_s / self._members

    def set_members(self, alive: abc.Collection[str], known_count: int) -> None:
        """Set the alive members, see :meth:`shares.ShareAllocator.set_members`."""
        self._members = max(1, len(alive))
        with self._lock:
            self._allocator.set_members(alive, known_count)

    def receive(self, needs: abc.Collection[shares.Need]) -> None:
        """Apply announcements from other daemons."""
        with self._lock:
            for need in needs:
                self._allocator.receive(need)

    def take_announcements(self) -> tuple[shares.Need, ...]:
        """Return the announcements for the next message."""
        need, rate_bytes_s = self._measure_need()
        floor_bytes_s = self.compute_even_share(rate_bytes_s)
        # A need that the floor share covers is not announced.
        if need <= floor_bytes_s * self._settings.floor_share:
            need = 0.0
        # A share grows only while it is requested, so request it once per message.
        self.compute_share(rate_bytes_s)
        with self._lock:
            self._allocator.set_need(need)
            return self._allocator.take_announcements(_ENTRIES_PER_MESSAGE)
