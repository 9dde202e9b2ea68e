"""Recording the outcomes of online requests, by target."""

from __future__ import annotations

import http
import time

from endivevane import logs, metrics
from endivevane.serving import (
    attempts,
    failures,
    model,
    outcome_table,
    slot_queue,
)

# A target counts as slow when its first event takes this share of the objective and
# this many times the mean. Its response then counts as this much of a failure, since a
# late response is worth about a seventh of one on time.
_SLOW_OBJECTIVE_SHARE = 0.5
_SLOW_START_RATIO = 3.0
_SLOW_FAILURE_WEIGHT = 0.85


class OutcomeRecorder:
    """Records the outcomes of online requests in the outcome table."""

    def __init__(
        self, table: outcome_table.OutcomeTable, queue: slot_queue.SlotQueue
    ) -> None:
        self._outcome_table = table
        self._queue = queue

    def record_error(
        self, target: model.Target, error: failures.TargetCallError
    ) -> None:
        """Record a call without a complete response."""
        if error.is_target_fault:
            self._outcome_table.record(target.target_id, time.monotonic(), 1.0)

    def record_status(
        self, target: model.Target, status: int, is_failure: bool
    ) -> None:
        """Record a complete response that is not a stream."""
        if status == http.HTTPStatus.GATEWAY_TIMEOUT:
            # The request's own timeout says nothing about the target.
            return
        failed = 1.0 if is_failure else 0.0
        self._outcome_table.record(target.target_id, time.monotonic(), failed)

    def record_stall(self, target: model.Target) -> None:
        """Record a stream that was ended since it stalled at a target that responds."""
        metrics.TARGET_FAULTS.labels("stalled").inc()
        logs.limited_info("target_fault", target=target.target_id, cause="stalled")
        self._outcome_table.record(target.target_id, time.monotonic(), 1.0)

    def record_first_event(
        self, target: model.Target, progress: attempts.Progress, first_event_s: float
    ) -> None:
        """Record the first event of a stream.

        :param first_event_s: time since the slot was granted
        """
        now_s = time.monotonic()
        mean_s = self._queue.get_mean_first_event_s(progress.service)
        slow_s = max(
            _SLOW_OBJECTIVE_SHARE * progress.route.objective_s,
            _SLOW_START_RATIO * mean_s,
        )
        failed = _SLOW_FAILURE_WEIGHT if first_event_s > slow_s else 0.0
        self._outcome_table.record(target.target_id, now_s, failed)
        self._queue.record_first_event(progress.service, first_event_s)
