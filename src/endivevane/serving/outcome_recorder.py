"""Judging the answers of targets to online requests."""

from __future__ import annotations

import http
import time

from endivevane.serving import (
    attempts,
    failures,
    model,
    outcome_table,
    slot_queue,
)

# A first event that takes this share of the objective, and this many times the usual
# time, comes from a target that has become slow. Its answer is of little use: late
# answers are worth about a seventh of those on time.
_SLOW_OBJECTIVE_SHARE = 0.5
_SLOW_START_RATIO = 3.0
_SLOW_FAILED = 0.85


class OutcomeRecorder:
    """Tells the outcome board what became of online requests."""

    def __init__(
        self, board: outcome_table.OutcomeTable, queue: slot_queue.SlotQueue
    ) -> None:
        self._board = board
        self._queue = queue

    def record_error(
        self, target: model.Target, error: failures.TargetCallError
    ) -> None:
        """Note a call without a whole answer."""
        if error.is_target_fault:
            self._board.record(target.target_id, time.monotonic(), 1.0)

    def record_status(
        self, target: model.Target, status: int, is_failure: bool
    ) -> None:
        """Note a whole answer that is not a stream."""
        if status == http.HTTPStatus.GATEWAY_TIMEOUT:
            # The request's own time limit says nothing about the target.
            return
        failed = 1.0 if is_failure else 0.0
        self._board.record(target.target_id, time.monotonic(), failed)

    def record_first_event(
        self, target: model.Target, progress: attempts.Progress, now_s: float
    ) -> None:
        """Note the time from a place to the first event of a stream."""
        start_s = now_s - progress.slot_granted_s
        usual_s = self._queue.get_mean_first_event_s(progress.service)
        slow_s = max(
            _SLOW_OBJECTIVE_SHARE * progress.route.objective_s,
            _SLOW_START_RATIO * usual_s,
        )
        failed = _SLOW_FAILED if start_s > slow_s else 0.0
        self._board.record(target.target_id, now_s, failed)
        self._queue.record_first_event(progress.service, start_s)
