"""Data types shared by the front end, the scheduler and the relay."""

from __future__ import annotations

import dataclasses
import enum
import typing

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.web import errors

# Bytes of the prompt per prefix hash.
PREFIX_BLOCK_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class OnlineRequest:
    """One online request for a model, parsed and validated.

    :param body: JSON body as sent by the caller
    :param is_streamed: whether the caller wants server-sent events
    :param is_deterministic: whether a second run gives the same output
    :param received_s: monotonic time of arrival
    :param deadline_s: monotonic time by which the response must be complete
    :param fingerprint: digest of model and body, for the quarantine
    :param prefix_hashes: hashes of growing prompt prefixes, shortest first
    """

    request_id: str
    organisation: str
    service: snapshot.Service
    model: str
    priority: types.Priority
    body: dict[str, typing.Any]
    is_streamed: bool
    is_deterministic: bool
    received_s: float
    deadline_s: float
    fingerprint: str
    prefix_hashes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at one target.

    :param attempt_id: sent to the engine as ``X-Request-Id``
    :param number: 1 for the first attempt
    :param prefill: engine that computes the prompt, ``None`` for the target itself
    """

    attempt_id: str
    request: OnlineRequest
    target: snapshot.Target
    number: int
    started_s: float
    prefill: snapshot.Target | None = None


class AttemptFailure(enum.StrEnum):
    """How an attempt failed; used as the reason label of the retry counters."""

    CONNECT_FAILED = "connect_failed"
    REFUSED_NOT_RUN = "refused_not_run"
    BROKEN = "broken"
    SILENT = "silent"
    FIRST_TOKEN_TIMEOUT = "first_token_timeout"
    TARGET_ERROR = "target_error"
    DEADLINE = "deadline"


class AttemptOutcome(enum.StrEnum):
    """How a request's last attempt ended."""

    COMPLETED = "completed"
    CALLER_LEFT = "caller_left"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Open a connection to the target and start the attempt."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits in the scheduler's queue."""

    request: OnlineRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send the error to the caller immediately."""

    request: OnlineRequest
    error: errors.ApiError


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Reconnect to the same engine and resume after the offset."""

    attempt: Attempt
    after_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """The request waits in the scheduler before its next attempt."""

    request: OnlineRequest


@dataclasses.dataclass(frozen=True, slots=True)
class YieldRequest:
    """Ask the batch sender of a target to free slots for online requests."""

    target: snapshot.Target
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class UseNotice:
    """Tell the batch sender of a target how many online requests run there.

    :param in_flight: this daemon's requests in flight at the target
    """

    target: snapshot.Target
    in_flight: int


SubmitDecision = Send | Queued | Refuse
RetryDecision = Send | Resume | Hold | Refuse
