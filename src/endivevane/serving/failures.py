"""Exceptions of the serving package."""

from __future__ import annotations

from endivevane import exceptions


class ServingError(exceptions.EndivevaneError):
    """Base class of exceptions in serving."""


class TargetCallError(ServingError):
    """A call to a target failed.

    :param target_id: the target
    :param cause: short description of the failure
    :param may_have_run: whether the target may have run the request
    :param is_target_fault: whether the target sent an invalid response; timeouts and
        failed connections may be due to the network path
    :param is_disconnect: whether the target's side ended the connection
    :param had_head: whether the head of a response had arrived
    """

    def __init__(
        self,
        target_id: str,
        cause: str,
        may_have_run: bool,
        is_target_fault: bool = False,
        is_disconnect: bool = False,
        had_head: bool = False,
    ) -> None:
        super().__init__()
        self.target_id = target_id
        self.cause = cause
        self.may_have_run = may_have_run
        self.is_target_fault = is_target_fault
        self.is_disconnect = is_disconnect
        self.had_head = had_head

    def format_message(self) -> str:
        """Return a message with the target and the cause."""
        return f"call to {self.target_id} failed: {self.cause}"


class TargetAnswerTooLarge(TargetCallError):
    """A target sent more than is kept of its response."""


class StoreFailure(ServingError):
    """A call to the store failed.

    :param call: name of the call
    :param cause: short description of the failure
    """

    def __init__(self, call: str, cause: str) -> None:
        super().__init__()
        self.call = call
        self.cause = cause

    def format_message(self) -> str:
        """Return a message with the call and the cause."""
        return f"store call {self.call} failed: {self.cause}"


class StoreRefused(StoreFailure):
    """The store did nothing: it is down, overloaded or rejects this daemon."""


class StoreUncertain(StoreFailure):
    """The store sent no response: the call may have been done, or may be done later."""


class StoreHistoryGone(StoreFailure):
    """The store no longer has the changes after the requested version."""


class StoreInconsistent(StoreFailure):
    """Pages of one read contradict one another, or have no end."""


class StoreBadRequest(StoreFailure):
    """The store rejected a call as invalid."""


class InvalidJob(ServingError):
    """The body of a submitted batch job is invalid.

    :param reason: what is wrong
    """

    def __init__(self, reason: str) -> None:
        super().__init__()
        self.reason = reason

    def format_message(self) -> str:
        """Return the reason."""
        return f"invalid batch job: {self.reason}"


class JobRefused(ServingError):
    """A batch job was rejected, and none of its items will run.

    :param reason: why it was rejected
    :param is_over_quota: whether it exceeds the quota of its route
    """

    def __init__(self, reason: str, is_over_quota: bool) -> None:
        super().__init__()
        self.reason = reason
        self.is_over_quota = is_over_quota

    def format_message(self) -> str:
        """Return the reason."""
        return f"batch job rejected: {self.reason}"


class JobUncertain(ServingError):
    """It is unknown whether a batch job was accepted.

    :param job_id: the job
    """

    def __init__(self, job_id: str) -> None:
        super().__init__()
        self.job_id = job_id

    def format_message(self) -> str:
        """Return a message with the job."""
        return f"it is unknown whether batch job {self.job_id} was accepted"
