"""What this daemon's requests may send over the link between the regions."""

from __future__ import annotations

import dataclasses
import threading
from collections import abc

from endivevane.coordination import clock

# Part of a daemon's share that batch may use.
_BULK_SHARE = 0.5
# Lets a short burst cross the link at once.
_BURST_S = 2.0
# Assumed for a service without a completed stream: 300 tokens of about 200 bytes.
_FIRST_STREAM_BYTES = 60_000.0
# Weight of the latest stream in the mean; the last 20 streams make up 88% of it.
_LATEST_WEIGHT = 0.1
_MEASURE_S = 1.0
# A use that grows by less than this in a second is never short of its share.
_HEADROOM = 1.5
# A need falls at most by this factor a second, as streams begin at irregular times.
_NEED_DECAY = 0.7


@dataclasses.dataclass(slots=True)
class _OpenStream:
    """A stream that crosses the link.

    :param reserved_bytes: what was charged when it was admitted
    """

    service: str
    reserved_bytes: float
    passed_bytes: int = 0


class LinkBudget:
    """A token bucket of bytes, both directions together. Thread-safe.

    A stream is charged the mean of its service's streams when it is admitted, because
    the size of an answer is not known then. Bytes beyond that are charged as they
    pass, and what was charged too much is given back at the end.

    :param compute_share: returns this daemon's part of a rate that all daemons share
    :param compute_even_share: returns the part if all had the same, which bounds the
        burst where the share is smaller; ``None`` bounds it by the share
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
        self._is_short = False
        self._need_bytes_s = 0.0
        self._measured_s = budget_clock.monotonic_s()
        self._lock = threading.Lock()
        self._data_bytes_s = 0.0
        self._tokens_bytes = 0.0
        self._filled_s = budget_clock.monotonic_s()
        self._streams: dict[str, _OpenStream] = {}
        self._mean_bytes: dict[str, float] = {}

    def set_rate(self, data_bytes_s: float) -> None:
        """Set what all daemons together may use; after a change the bucket is full."""
        with self._lock:
            if data_bytes_s == self._data_bytes_s:
                return
            self._data_bytes_s = data_bytes_s
            self._tokens_bytes = self._compute_even_share(data_bytes_s) * _BURST_S

    def compute_bulk_rate(self) -> float:
        """Return the rate at which batch may take bytes, half of this daemon's share.

        Online requests get what batch leaves, so at least the other half.
        """
        return self._compute_share(self._data_bytes_s) * _BULK_SHARE

    def measure_need(self) -> tuple[float, float]:
        """Return what this daemon uses or asks for, and the rate that all share."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            passed_s = now_s - self._measured_s
            if passed_s < _MEASURE_S:
                return self._need_bytes_s, self._data_bytes_s
            needed = max(0.0, self._used_bytes) / passed_s * _HEADROOM
            if self._is_short:
                needed = self._data_bytes_s
            floor = _NEED_DECAY * self._need_bytes_s
            self._need_bytes_s = max(needed, floor if floor > 1.0 else 0.0)
            self._used_bytes = 0.0
            self._is_short = False
            self._measured_s = now_s
            return self._need_bytes_s, self._data_bytes_s

    def note_short(self) -> None:
        """Note that batch waits for its share."""
        with self._lock:
            self._is_short = True

    def has_room(self) -> bool:
        """Return whether another request may cross the link."""
        rate_bytes_s = self._compute_share(self._data_bytes_s)
        even_bytes_s = self._compute_even_share(self._data_bytes_s)
        with self._lock:
            now_s = self._clock.monotonic_s()
            gained = (now_s - self._filled_s) * rate_bytes_s
            self._filled_s = now_s
            limit = max(rate_bytes_s, even_bytes_s) * _BURST_S
            self._tokens_bytes = min(limit, self._tokens_bytes + gained)
            if self._tokens_bytes <= 0:
                self._is_short = True
            return self._tokens_bytes > 0

    def charge(self, size_bytes: float) -> None:
        """Take bytes that have passed; the bucket may go below zero."""
        with self._lock:
            self._take(size_bytes)

    def open_stream(self, attempt_id: str, service: str) -> None:
        """Charge the expected bytes of a stream that is about to be sent."""
        with self._lock:
            expected = self._mean_bytes.get(service, _FIRST_STREAM_BYTES)
            self._streams[attempt_id] = _OpenStream(service, expected)
            self._take(expected)

    def pass_bytes(self, attempt_id: str, size_bytes: int) -> None:
        """Note bytes of a stream; those beyond the expected ones are charged."""
        with self._lock:
            stream = self._streams.get(attempt_id)
            if stream is None:
                self._take(size_bytes)
                return
            before = max(stream.reserved_bytes, stream.passed_bytes)
            stream.passed_bytes += size_bytes
            self._take(max(0.0, stream.passed_bytes - before))

    def close_stream(self, attempt_id: str, is_completed: bool) -> None:
        """Give back what was charged too much; unknown streams are ignored.

        :param is_completed: whether the stream's size is typical of its service; a
            failing target would teach sizes that are too small
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
