"""This daemon's budget of bytes on the link between the regions."""

from __future__ import annotations

import dataclasses
import threading
from collections import abc

from endivevane.coordination import clock

# Fraction of a daemon's share that batch may use.
_BULK_SHARE = 0.5
# Bucket size, in seconds of the rate; allows a short burst.
_BURST_S = 2.0
# Assumed size while a service has no completed stream: 300 tokens of about 200 bytes.
_FIRST_STREAM_BYTES = 60_000.0
# Weight of the latest stream in the moving average; the last 20 make up 88% of it.
_LATEST_WEIGHT = 0.1
_MEASURE_S = 1.0
# The need exceeds the measured use by this factor, so that use may grow by half
# within a second without exceeding the share.
_HEADROOM = 1.5
# The need falls at most by this factor a second, as streams start irregularly.
_NEED_DECAY = 0.7


@dataclasses.dataclass(slots=True)
class _OpenStream:
    """A stream that crosses the link.

    :param reserved_bytes: bytes charged when it was admitted
    """

    service: str
    reserved_bytes: float
    passed_bytes: int = 0


class LinkBudget:
    """A token bucket of bytes in both directions. Thread-safe.

    A stream is charged the mean size of its service's streams when it is admitted,
    because its own size is not known then. Bytes beyond that are charged as they pass,
    and unused bytes are refunded at the end.

    :param compute_share: returns this daemon's share of a rate
    :param compute_even_share: returns the share if it were equal for all daemons; the
        burst is sized by the larger of the two; ``None`` uses ``compute_share``
    """

    def __init__(
        self,
        budget_clock: clock.Clock,
        compute_share: abc.Callable[[float], float],
        compute_even_share: abc.Callable[[float], float] | None = None,
    ) -> None:
        self._clock = budget_clock
        self._compute_share = compute_share
        self._compute_even_share = compute_even_share or compute_share
        self._used_bytes = 0.0
        self._is_limited = False
        self._need_bytes_s = 0.0
        self._measured_s = budget_clock.monotonic_s()
        self._lock = threading.Lock()
        self._data_bytes_s = 0.0
        self._tokens_bytes = 0.0
        self._filled_s = budget_clock.monotonic_s()
        self._streams: dict[str, _OpenStream] = {}
        self._mean_bytes: dict[str, float] = {}

    def set_rate(self, data_bytes_s: float) -> None:
        """Set the total rate of all daemons; a change refills the bucket."""
        with self._lock:
            if data_bytes_s == self._data_bytes_s:
                return
            self._data_bytes_s = data_bytes_s
            self._tokens_bytes = self._compute_even_share(data_bytes_s) * _BURST_S

    def compute_bulk_rate(self) -> float:
        """Return the rate limit of batch, half of this daemon's share.

        Online requests may use what batch leaves, at least the other half.
        """
        return self._compute_share(self._data_bytes_s) * _BULK_SHARE

    def measure_need(self) -> tuple[float, float]:
        """Return the rate that this daemon needs, and the total rate."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            elapsed_s = now_s - self._measured_s
            if elapsed_s < _MEASURE_S:
                return self._need_bytes_s, self._data_bytes_s
            need_bytes_s = max(0.0, self._used_bytes) / elapsed_s * _HEADROOM
            if self._is_limited:
                need_bytes_s = self._data_bytes_s
            min_need_bytes_s = _NEED_DECAY * self._need_bytes_s
            self._need_bytes_s = max(
                need_bytes_s, min_need_bytes_s if min_need_bytes_s > 1.0 else 0.0
            )
            self._used_bytes = 0.0
            self._is_limited = False
            self._measured_s = now_s
            return self._need_bytes_s, self._data_bytes_s

    def note_short(self) -> None:
        """Record that batch is limited by its share."""
        with self._lock:
            self._is_limited = True

    def has_room(self) -> bool:
        """Return whether another request may cross the link."""
        rate_bytes_s = self._compute_share(self._data_bytes_s)
        even_bytes_s = self._compute_even_share(self._data_bytes_s)
        with self._lock:
            now_s = self._clock.monotonic_s()
            refill_bytes = (now_s - self._filled_s) * rate_bytes_s
            self._filled_s = now_s
            max_tokens_bytes = max(rate_bytes_s, even_bytes_s) * _BURST_S
            self._tokens_bytes = min(
                max_tokens_bytes, self._tokens_bytes + refill_bytes
            )
            if self._tokens_bytes <= 0:
                self._is_limited = True
            return self._tokens_bytes > 0

    def charge(self, size_bytes: float) -> None:
        """Charge transferred bytes; the bucket may go below zero."""
        with self._lock:
            self._take(size_bytes)

    def open_stream(self, attempt_id: str, service: str) -> None:
        """Charge the expected bytes of a stream that is about to be sent."""
        with self._lock:
            expected = self._mean_bytes.get(service, _FIRST_STREAM_BYTES)
            self._streams[attempt_id] = _OpenStream(service, expected)
            self._take(expected)

    def pass_bytes(self, attempt_id: str, size_bytes: int) -> None:
        """Count bytes of a stream and charge those beyond the reserved ones."""
        with self._lock:
            stream = self._streams.get(attempt_id)
            if stream is None:
                self._take(size_bytes)
                return
            before = max(stream.reserved_bytes, stream.passed_bytes)
            stream.passed_bytes += size_bytes
            self._take(max(0.0, stream.passed_bytes - before))

    def close_stream(self, attempt_id: str, is_completed: bool) -> None:
        """Refund unused bytes; ignore unknown streams.

        :param is_completed: whether the stream counts towards the mean size; failed
            streams would make the mean too small
        """
        with self._lock:
            stream = self._streams.pop(attempt_id, None)
            if stream is None:
                return
            unused = stream.reserved_bytes - stream.passed_bytes
            self._take(-max(0.0, unused))
            if not is_completed or not stream.passed_bytes:
                return
            mean = self._mean_bytes.get(stream.service, _FIRST_STREAM_BYTES)
            mean += _LATEST_WEIGHT * (stream.passed_bytes - mean)
            self._mean_bytes[stream.service] = mean

    def _take(self, size_bytes: float) -> None:
        self._tokens_bytes -= size_bytes
        self._used_bytes += size_bytes
