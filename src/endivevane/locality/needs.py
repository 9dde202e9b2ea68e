"""What a decision about the distance of a request takes into account."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """A request or a batch item for which a target is chosen.

    :param zone: availability zone that it comes from, empty for this daemon's
    :param hold_s: mean time for which such a request holds a slot
    :param request_bytes: size of its body, ``None`` for the mean of the service
    :param latest_start_s: monotonic time at which it has to start at a target to meet
        its objective
    :param due_s: monotonic time at which a batch item is due
    :param may_wait: whether it may be left for a later slot in its own zone
    """

    service: str
    zone: str
    hold_s: float
    is_batch: bool = False
    request_bytes: int | None = None
    latest_start_s: float = float("inf")
    due_s: float = 0.0
    may_wait: bool = False
