"""Retention policy: decides what may be deleted, from rows and the time alone."""

from __future__ import annotations

import enum
import typing
from collections import abc

from endivevane.batch import records
from endivevane.configuration import snapshot
from endivevane.coordination import clock, register

# A daemon that was paused and has lost its claim nearly always writes its object within
# this time; later objects are deleted with the results.
COLLECT_DELAY_S = 600.0
# A key without an outcome is kept longer, since its call may or may not have run.
_CLAIMED_RETENTION_FACTOR = 2.0


class JobStep(enum.StrEnum):
    """Next retention step of a job.

    ``COLLECT`` deletes objects that no chunk refers to, ``EXPIRE`` makes the results
    unreadable, ``ERASE`` deletes them and ``FORGET`` deletes the job's row.
    """

    KEEP = "keep"
    COLLECT = "collect"
    EXPIRE = "expire"
    ERASE = "erase"
    FORGET = "forget"


class FileStep(enum.StrEnum):
    """Next retention step of an input file.

    ``MARK`` prevents new jobs from using it, ``SETTLE`` checks whether open jobs read
    it and ``ERASE`` deletes it.
    """

    KEEP = "keep"
    MARK = "mark"
    SETTLE = "settle"
    ERASE = "erase"


class RegisterStep(enum.StrEnum):
    """Next retention step of a row of the register of at-most-once calls.

    ``DELETE`` deletes a row without an object; ``EXPIRE`` marks a row that may have
    one, and ``ERASE`` deletes the object and then the row.
    """

    KEEP = "keep"
    DELETE = "delete"
    EXPIRE = "expire"
    ERASE = "erase"


class Policy:
    """Computes the next retention step from the retention periods in force.

    :param policy_clock: its wall time is compared with the times in the rows
    :param get_snapshot: returns the configuration in force
    """

    def __init__(
        self,
        policy_clock: clock.Clock,
        get_snapshot: abc.Callable[[], snapshot.Snapshot],
    ) -> None:
        self._clock = policy_clock
        self._get_snapshot = get_snapshot

    def now_ms(self) -> int:
        """Return the wall time that decisions are based on."""
        return self._clock.wall_ms()

    def decide_job(self, job: records.Job) -> JobStep:
        """Return the next step for a job; an open job is kept."""
        if job.state == records.JobState.IN_PROGRESS or job.ended_ms is None:
            return JobStep.KEEP
        periods = self._get_snapshot().find_batch_retention(job.model)
        age_s = self._compute_age_s(job.ended_ms)
        if job.expired_ms is not None:
            if job.erased_ms is None:
                return JobStep.ERASE
            return JobStep.FORGET if age_s >= periods.keys_s else JobStep.KEEP
        if age_s >= periods.results_s:
            return JobStep.EXPIRE
        if job.collected_ms is None and age_s >= COLLECT_DELAY_S:
            return JobStep.COLLECT
        return JobStep.KEEP

    def decide_file(self, record: records.InputFile) -> FileStep:
        """Return the next step for a file; ``SETTLE`` may find that it is in use."""
        if record.state == records.FileState.ERASING:
            return FileStep.ERASE
        periods = self._get_snapshot().find_batch_retention(record.model)
        if self._compute_age_s(record.created_ms) < periods.inputs_s:
            return FileStep.KEEP
        if record.state == records.FileState.DELETING:
            return FileStep.SETTLE
        return FileStep.MARK

    def decide_register_row(self, value: abc.Mapping[str, typing.Any]) -> RegisterStep:
        """Return the next step for a row of the register."""
        if value["state"] == register.EXPIRED:
            return RegisterStep.ERASE
        period_s = self._get_snapshot().register_retention_s
        age_s = self._compute_age_s(value["claimed_ms"])
        if value["state"] == register.CLAIMED:
            is_due = age_s >= _CLAIMED_RETENTION_FACTOR * period_s
            return RegisterStep.EXPIRE if is_due else RegisterStep.KEEP
        if age_s < period_s:
            return RegisterStep.KEEP
        has_object = "object" in value["outcome"]
        return RegisterStep.EXPIRE if has_object else RegisterStep.DELETE

    def _compute_age_s(self, since_ms: int) -> float:
        return (self._clock.wall_ms() - since_ms) / 1000
