"""Calls that cross the link between the regions: counted, and bounded for bulk data."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping

import result

from endivevane import metrics, types
from endivevane.coordination import clock
from endivevane.platform import http_pool

# Request line, status line and headers of a call.
_HEADER_BYTES = 300
# The bucket holds this much, so that single calls need not wait.
_BURST_S = 1.0
# A longer wait would look like a failed call to the threads that need the data.
_LONGEST_WAIT_S = 30.0


class LinkShare:
    """A token bucket of the bytes that this daemon may send over the link.

    Thread-safe. A call may overdraw the bucket; the next ones wait for it.

    :param get_rate_bytes_s: returns this daemon's share of the link now
    """

    def __init__(
        self, share_clock: clock.Clock, get_rate_bytes_s: Callable[[], float]
    ) -> None:
        self._clock = share_clock
        self._get_rate_bytes_s = get_rate_bytes_s
        self._lock = threading.Lock()
        # Set by the first call, as the rate is not known before the daemon runs.
        self._tokens_bytes: float | None = None
        self._filled_s = share_clock.monotonic_s()

    def take(self, size_bytes: int) -> float:
        """Take bytes and return how many seconds to wait before they are sent."""
        rate_bytes_s = max(1.0, self._get_rate_bytes_s())
        with self._lock:
            now_s = self._clock.monotonic_s()
            gained = (now_s - self._filled_s) * rate_bytes_s
            self._filled_s = now_s
            full = rate_bytes_s * _BURST_S
            tokens = full
            if self._tokens_bytes is not None:
                tokens = min(full, self._tokens_bytes + gained)
            wait_s = max(0.0, -tokens / rate_bytes_s)
            self._tokens_bytes = tokens - size_bytes
        return min(wait_s, _LONGEST_WAIT_S)


class LinkPool(http_pool.HttpPool):
    """A pool whose calls cross the link.

    :param purpose: label of the counter of bytes
    :param share: bound for bulk data; ``None`` does not wait
    :param charge: gets the bytes of each call; ``None`` counts only
    """

    def __init__(
        self,
        address: types.Address,
        settings: http_pool.PoolSettings,
        purpose: str,
        share: LinkShare | None = None,
        charge: Callable[[int], None] | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        super().__init__(address, settings)
        self._purpose = purpose
        self._share = share
        self._charge = charge
        self._sleep = sleep

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        is_repeatable: bool = True,
    ) -> result.Result[http_pool.Response, http_pool.TransportError]:
        """Send a request, see :meth:`http_pool.HttpPool.request`.

        The size of the answer is taken afterwards, so it delays the next call.
        """
        sent_bytes = _HEADER_BYTES + len(body or b"")
        if self._share is not None:
            wait_s = self._share.take(sent_bytes)
            if wait_s:
                self._sleep(wait_s)
        outcome = super().request(method, path, body, headers, timeout_s, is_repeatable)
        received_bytes = 0
        if isinstance(outcome, result.Ok):
            received_bytes = len(outcome.ok_value.body)
            if self._share is not None:
                self._share.take(received_bytes)
        metrics.LINK_BYTES.labels(self._purpose).inc(sent_bytes + received_bytes)
        if self._charge is not None:
            self._charge(sent_bytes + received_bytes)
        return outcome
