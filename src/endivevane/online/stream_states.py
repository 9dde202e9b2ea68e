"""Where a relayed request is, and how it ended."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """What a stream waits for."""

    QUEUED = "queued"
    RUNNING = "running"
    FLUSHING = "flushing"
    ENDED = "ended"


class Outcome(enum.StrEnum):
    """How a request ended; a label of the metrics."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    REFUSED = "refused"
    FAILED = "failed"
    DEADLINE = "deadline"
    CALLER_LEFT = "caller_left"
    SLOW_CALLER = "slow_caller"
    STOPPED = "stopped"
