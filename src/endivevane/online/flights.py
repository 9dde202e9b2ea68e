"""Requests that have been sent, with the state that their retries depend on."""

from __future__ import annotations

import dataclasses

from endivevane import types
from endivevane.online import contract
from endivevane.web import errors

# Limits the resumes of a stream whose connection breaks after every few tokens.
_MAX_RESUMES = 5
_RETRY_AFTER_S = 1.0
_RESUMABLE = frozenset((contract.AttemptFailure.BROKEN, contract.AttemptFailure.SILENT))
_NOT_RUN_FAILURES = frozenset(
    (
        contract.AttemptFailure.CONNECT_FAILED,
        contract.AttemptFailure.REFUSED_NOT_RUN,
    )
)


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that has been sent at least once.

    :param attempt: the current attempt
    :param failed: names of targets that failed this request
    :param may_have_run: whether an attempt failed after bytes were sent
    :param resumed_at: offset of the last resume of the current attempt
    :param broke: whether that resume followed a broken connection, not a timeout
    :param lost_targets: targets that crashed while running the request or could not
        be reached
    """

    request: contract.OnlineRequest
    attempt: contract.Attempt
    failed: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    resumed_at: int | None = None
    resumes: int = 0
    broke: bool = False
    lost_targets: int = 0

    def record_failure(self, failure: contract.AttemptFailure) -> None:
        """Record the failed target and whether the request may have run."""
        self.failed.add(self.attempt.target.name)
        if failure not in _NOT_RUN_FAILURES:
            self.may_have_run = True

    def try_resume(
        self, failure: contract.AttemptFailure, delivered_offset: int
    ) -> bool:
        """Return whether to resume at the same target, and record the resume.

        A connection may break or time out while its target is healthy, so a new
        connection is tried first, but only once without progress in between.
        """
        if failure not in _RESUMABLE or self.resumes >= _MAX_RESUMES:
            return False
        if self.resumed_at is not None and delivered_offset <= self.resumed_at:
            return False
        self.resumed_at = delivered_offset
        self.resumes += 1
        self.broke = failure is contract.AttemptFailure.BROKEN
        return True

    def is_unsent(self, failure: contract.AttemptFailure) -> bool:
        """Return whether the current attempt failed before it reached its target.

        A retry then adds no load to any target.
        """
        is_resumed = self.resumed_at is not None
        return failure is contract.AttemptFailure.CONNECT_FAILED and not is_resumed

    def is_crash(self, failure: contract.AttemptFailure) -> bool:
        """Return whether a failure shows that the target's process crashed.

        That is so if the connection broke and the stream can't be resumed. A connection
        that timed out points to a lost VM or network, which no request causes.
        """
        return (
            self.broke
            and self.resumed_at is not None
            and failure
            not in (contract.AttemptFailure.SILENT, contract.AttemptFailure.DEADLINE)
        )

    def begin(self, attempt: contract.Attempt) -> None:
        """Record that a further attempt is sent."""
        self.attempt = attempt
        self.resumed_at = None
        self.resumes = 0
        self.broke = False

    def make_refusal(self, reason: str) -> contract.Refuse:
        """Return the final error after failed attempts.

        :param reason: why there is no further attempt
        """
        message = f"attempt {self.attempt.number} failed and {reason}"
        if self.may_have_run:
            error: errors.ApiError = errors.TargetFailed(
                message,
                run_state=types.RunState.MAY_HAVE_RUN,
                retry_after_s=_RETRY_AFTER_S,
            )
        else:
            error = errors.Unavailable(message, retry_after_s=_RETRY_AFTER_S)
        return contract.Refuse(self.request, error)

    def make_deadline_refusal(self) -> contract.Refuse:
        """Return the final error when the deadline has passed."""
        error = errors.DeadlineExceeded(
            "the deadline passed before the answer was complete",
            run_state=self._run_state(),
            retry_after_s=_RETRY_AFTER_S,
        )
        return contract.Refuse(self.request, error)

    def make_quarantine_refusal(self, remaining_s: float) -> contract.Refuse:
        """Return the final error when the request's fingerprint is quarantined."""
        error = errors.Quarantined(
            "this request has crashed targets; change it before sending it again",
            run_state=self._run_state(),
            retry_after_s=remaining_s,
        )
        return contract.Refuse(self.request, error)

    def _run_state(self) -> types.RunState:
        if self.may_have_run:
            return types.RunState.MAY_HAVE_RUN
        return types.RunState.NOT_RUN
