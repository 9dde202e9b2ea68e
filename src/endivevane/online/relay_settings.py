"""Limits of the relay."""

from __future__ import annotations

import dataclasses

from endivevane.online import upstream


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Limits and timeouts of the relay.

    :param max_streams: maximum requests in flight or queued; more are refused
    :param high_watermark_bytes: reading from the engine pauses while more than this is
        buffered for the caller
    :param low_watermark_bytes: reading from the engine resumes below this
    :param slow_caller_timeout_s: time after which a caller that reads nothing is
        disconnected
    :param max_collected_bytes: largest response collected for an unstreamed call
    """

    max_streams: int = 2000
    high_watermark_bytes: int = 64 << 10
    low_watermark_bytes: int = 16 << 10
    slow_caller_timeout_s: float = 30.0
    max_collected_bytes: int = 8 << 20
    upstream: upstream.UpstreamSettings = dataclasses.field(
        default_factory=upstream.UpstreamSettings
    )
