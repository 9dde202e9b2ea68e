"""Phases and outcomes of relayed requests."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """Phase of a stream."""

    QUEUED = "queued"
    RUNNING = "running"
    FLUSHING = "flushing"
    ENDED = "ended"


class Outcome(enum.StrEnum):
    """How a request ended; used as a metric label."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    REFUSED = "refused"
    FAILED = "failed"
    DEADLINE = "deadline"
    CALLER_LEFT = "caller_left"
    SLOW_CALLER = "slow_caller"
    STOPPED = "stopped"
