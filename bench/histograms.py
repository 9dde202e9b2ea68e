"""Histograms of durations in seconds, kept in HDR histograms of microseconds."""

from __future__ import annotations

import typing

from hdrh import histogram

_MAX_US = 3_600_000_000
_DIGITS = 3


class Durations:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, _MAX_US, _DIGITS)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return int(self._histogram.get_total_count())

    def record(self, duration_s: float) -> None:
        """Add a duration; one below a microsecond counts as a microsecond."""
        self._histogram.record_value(max(1, min(_MAX_US, round(duration_s * 1e6))))

    def add(self, other: Durations) -> None:
        """Add all durations of another histogram."""
        self._histogram.add(other._histogram)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 when nothing was recorded."""
        return float(self._histogram.get_value_at_percentile(percentile)) / 1000

    def summarise(self) -> dict[str, typing.Any]:
        """Return count, mean, percentiles and the encoded histogram."""
        if not self.count:
            return {"count": 0}
        percentiles = {
            f"p{percentile:g}": self.percentile_ms(percentile)
            for percentile in (50, 90, 95, 99, 99.9)
        }
        return {
            "count": self.count,
            "mean": round(self._histogram.get_mean_value() / 1000, 3),
            **percentiles,
            "max": self._histogram.get_max_value() / 1000,
            "hdr": self._histogram.encode().decode(),
        }
