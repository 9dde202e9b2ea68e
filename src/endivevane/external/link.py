"""HTTP calls over the link between the regions, counted and limited in rate."""

from __future__ import annotations

import dataclasses
import re
import threading
import time
from collections import abc

import result

from endivevane import metrics, types
from endivevane.coordination import clock
from endivevane.external import http_pool

_PARTIAL_CONTENT = 206
_RANGE_UNSATISFIABLE = 416
# Estimated size of the start line and headers, per direction of a call.
_HEADER_BYTES = 300
# Capacity of the token bucket. Simultaneous bursts of all daemons occupy a link of
# 15 Mbit/s for at most 0.2 s, less than the timeout of a probe (0.5 s).
_BURST_S = 0.25
# Larger bodies are sent and fetched in chunks of this size, with a wait before each: an
# object of 2 MB at once would delay control messages on 15 Mbit/s by a second.
_CHUNK_BYTES = 32 << 10
_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+)")
# After a longer wait the threads that need the data would treat the call as failed.
_MAX_WAIT_S = 30.0
_MAX_STEP_S = 0.5


class LinkShare:
    """A token bucket that limits the bytes that this daemon sends over the link.

    Thread-safe. A call may overdraw the bucket; later calls wait until it is refilled.

    :param get_rate_bytes_s: returns this daemon's current share of the link
    :param note_wait: called whenever a call has to wait
    """

    def __init__(
        self,
        share_clock: clock.Clock,
        get_rate_bytes_s: abc.Callable[[], float],
        note_wait: abc.Callable[[], None] | None = None,
    ) -> None:
        self._note_wait = note_wait
        self._clock = share_clock
        self._get_rate_bytes_s = get_rate_bytes_s
        self._lock = threading.Lock()
        # Set by the first call, since the rate is known only once the daemon runs.
        self._tokens_bytes: float | None = None
        self._filled_s = share_clock.monotonic_s()

    def take(self, size_bytes: int) -> float:
        """Consume bytes and return how many seconds to wait before sending them."""
        debt_bytes, rate_bytes_s = self._take(size_bytes)
        return min(debt_bytes / rate_bytes_s, _MAX_WAIT_S)

    def wait(self, size_bytes: int, sleep: abc.Callable[[float], None]) -> None:
        """Consume bytes and wait until they may be sent.

        The wait is recomputed in steps, since the share may change meanwhile.
        """
        debt_bytes, rate_bytes_s = self._take(size_bytes)
        waited_s = 0.0
        while debt_bytes > 0 and waited_s < _MAX_WAIT_S:
            if self._note_wait is not None:
                self._note_wait()
            step_s = min(debt_bytes / rate_bytes_s, _MAX_STEP_S)
            sleep(step_s)
            waited_s += step_s
            debt_bytes -= step_s * rate_bytes_s
            rate_bytes_s = self._compute_rate_bytes_s()

    def _take(self, size_bytes: int) -> tuple[float, float]:
        """Consume bytes; return the debt of earlier calls in bytes, and the rate."""
        rate_bytes_s = self._compute_rate_bytes_s()
        with self._lock:
            now_s = self._clock.monotonic_s()
            gained_bytes = (now_s - self._filled_s) * rate_bytes_s
            self._filled_s = now_s
            capacity_bytes = rate_bytes_s * _BURST_S
            tokens_bytes = capacity_bytes
            if self._tokens_bytes is not None:
                tokens_bytes = min(capacity_bytes, self._tokens_bytes + gained_bytes)
            self._tokens_bytes = tokens_bytes - size_bytes
        return max(0.0, -tokens_bytes), rate_bytes_s

    def _compute_rate_bytes_s(self) -> float:
        return max(1.0, self._get_rate_bytes_s())


class LinkPool(http_pool.HttpPool):
    """A connection pool for calls over the link.

    :param purpose: label of the byte counter
    :param share: rate limit, for bulk data; ``None`` for no limit
    :param charge: called with the bytes of each call
    """

    def __init__(
        self,
        address: types.Address,
        settings: http_pool.PoolSettings,
        purpose: str,
        share: LinkShare | None = None,
        charge: abc.Callable[[int], None] | None = None,
        sleep: abc.Callable[[float], None] = time.sleep,
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
        headers: abc.Mapping[str, str] | None = None,
        timeout_s: float | None = None,
        is_repeatable: bool = True,
    ) -> result.Result[http_pool.Response, http_pool.TransportError]:
        """Send a request, see :meth:`http_pool.HttpPool.request`.

        With a share, an object is fetched in ranges, so that no response is larger than
        a chunk.
        """
        call = (timeout_s, is_repeatable)
        if method != "GET" or self._share is None:
            return self._request_once(method, path, body, headers, *call)
        parts: list[bytes] = []
        while True:
            first = sum(len(part) for part in parts)
            last = first + _CHUNK_BYTES - 1
            ranged = {**(headers or {}), "Range": f"bytes={first}-{last}"}
            outcome = self._request_once(method, path, body, ranged, *call)
            if isinstance(outcome, result.Err):
                return outcome
            response = outcome.ok_value
            if response.status == _RANGE_UNSATISFIABLE and not parts:
                # An empty object has no satisfiable range.
                return self._request_once(method, path, body, headers, *call)
            if response.status != _PARTIAL_CONTENT:
                return outcome
            size_bytes = _read_size(response, first)
            if size_bytes is None:
                stage, detail = http_pool.Stage.RESPONSE, "unexpected content range"
                return result.Err(http_pool.TransportError(self.address, stage, detail))
            parts.append(response.body)
            if first + len(response.body) >= size_bytes:
                whole = dataclasses.replace(response, status=200, body=b"".join(parts))
                return result.Ok(whole)

    def _request_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: abc.Mapping[str, str] | None,
        timeout_s: float | None,
        is_repeatable: bool,
    ) -> result.Result[http_pool.Response, http_pool.TransportError]:
        """Send one call; its response is charged to the share after it has arrived."""
        sent_bytes = _HEADER_BYTES + len(body or b"")
        self._wait(_HEADER_BYTES)
        outcome = super().request(method, path, body, headers, timeout_s, is_repeatable)
        received_bytes = 0
        if isinstance(outcome, result.Ok):
            received_bytes = _HEADER_BYTES + len(outcome.ok_value.body)
            if self._share is not None:
                self._share.take(received_bytes)
        metrics.LINK_BYTES.labels(self._purpose).inc(sent_bytes + received_bytes)
        if self._charge is not None:
            self._charge(sent_bytes + received_bytes)
        return outcome

    def _pace(self, body: bytes | None) -> bytes | abc.Iterator[bytes] | None:
        """Return the body in chunks, each of which waits for the share."""
        if self._share is None or not body:
            return body
        return self._iterate_chunks(body)

    def _iterate_chunks(self, body: bytes) -> abc.Iterator[bytes]:
        for first in range(0, len(body), _CHUNK_BYTES):
            chunk = body[first : first + _CHUNK_BYTES]
            self._wait(len(chunk))
            yield chunk

    def _wait(self, size_bytes: int) -> None:
        if self._share is not None:
            self._share.wait(size_bytes, self._sleep)


def _read_size(response: http_pool.Response, first: int) -> int | None:
    """Return the size of the whole object, ``None`` if the range is wrong."""
    found = _CONTENT_RANGE.fullmatch(response.headers.get("content-range", ""))
    if found is None or int(found[1]) != first or not response.body:
        return None
    return int(found[3])
