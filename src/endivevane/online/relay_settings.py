"""Limits of the relay."""

from __future__ import annotations

import dataclasses

from endivevane.online import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Bounds of what the relay holds and waits for.

    :param max_streams: requests in flight or waiting; more are refused
    :param high_watermark_bytes: the engine is not read while the caller has more
        bytes to take
    :param low_watermark_bytes: the engine is read again below this
    :param slow_caller_timeout_s: a caller that takes no byte for this long is cut off
    :param max_collected_bytes: largest answer that is collected for an unstreamed call
    """

    max_streams: int = 2000
    high_watermark_bytes: int = 64 << 10
    low_watermark_bytes: int = 16 << 10
    slow_caller_timeout_s: float = 30.0
    max_collected_bytes: int = 8 << 20
    upstream: upstream.UpstreamSettings = dataclasses.field(
        default_factory=upstream.UpstreamSettings
    )
