"""Messages by which daemons tell each other of rate limits and share them.

Times are sent as ages or as time left, since daemons share no clock.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import typing
from collections import abc

from endivevane import json_fields

NEWS_KIND = "rate_limits"
_REQUEST_KIND = "token_request"
_QUEUED_KIND = "token_queued"
_GRANT_KIND = "token_grant"
# Largest age that is sent; whatever is older is as old as any other.
MAX_AGE_S = 86_400.0
# Above the requests that a target can take in a second.
MAX_LIMIT_PER_S = 1e9
KINDS = frozenset((NEWS_KIND, _REQUEST_KIND, _QUEUED_KIND, _GRANT_KIND))


class Need(enum.IntEnum):
    """Why a daemon requests a token; lower values go first."""

    URGENT_ITEM = 0
    WAITING = 1
    ITEM = 2
    LATE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """What a daemon believes of a target's rate limit.

    :param run_key: identifies the run of the target
    :param limit_per_s: requests a second, ``None`` for no limit any longer
    :param age_s: time since the request was sent whose response says so
    """

    run_key: str
    limit_per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNews:
    """Rate limits that a daemon knows of."""

    notices: tuple[LimitNotice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request for the right to send one request to one of some targets.

    :param number: identifies the request among those of its sender
    :param notices: the targets, with what the sender believes of their limits
    :param priority: priority of the waiting request, 0 is the most urgent
    :param due_left_s: time until the waiting request or item is due
    """

    number: int
    need: Need
    priority: int
    due_left_s: float
    notices: tuple[LimitNotice, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenQueued:
    """No target has a token now; the request for one waits."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """The right to send one request to a target, for a limited time."""

    number: int
    target_id: str


Message = LimitNews | TokenRequest | TokenQueued | TokenGrant


@functools.singledispatch
def encode_fields(message: typing.Any) -> tuple[typing.Any, ...]:
    """Return the fields of a datagram."""
    raise TypeError(f"not a message about rate limits: {type(message).__name__}")


@encode_fields.register
def _(message: LimitNews) -> tuple[typing.Any, ...]:
    return (NEWS_KIND, _encode_notices(message.notices))


@encode_fields.register
def _(message: TokenRequest) -> tuple[typing.Any, ...]:
    return (
        _REQUEST_KIND,
        message.number,
        int(message.need),
        message.priority,
        round(message.due_left_s, 3),
        _encode_notices(message.notices),
    )


@encode_fields.register
def _(message: TokenQueued) -> tuple[typing.Any, ...]:
    return (_QUEUED_KIND, message.number)


@encode_fields.register
def _(message: TokenGrant) -> tuple[typing.Any, ...]:
    return (_GRANT_KIND, message.number, message.target_id)


def decode_fields(kind: str, fields: abc.Sequence[typing.Any]) -> Message:
    """Return the message in the fields of a datagram.

    :raises ValueError: when they are malformed; ``TypeError`` may be raised too
    """
    if kind == NEWS_KIND:
        (notices,) = fields
        return LimitNews(_decode_notices(notices))
    if kind == _REQUEST_KIND:
        number, need, priority, due_left_s, notices = fields
        return TokenRequest(
            json_fields.read_count(number),
            Need(json_fields.read_count(need)),
            json_fields.read_integer(priority, -json_fields.MAX_COUNT),
            json_fields.read_time_left_s(due_left_s),
            _decode_notices(notices),
        )
    if kind == _QUEUED_KIND:
        (number,) = fields
        return TokenQueued(json_fields.read_count(number))
    number, target_id = fields
    return TokenGrant(json_fields.read_count(number), json_fields.read_text(target_id))


def _encode_notices(
    notices: abc.Iterable[LimitNotice],
) -> list[tuple[str, float | None, float]]:
    return [
        (notice.run_key, notice.limit_per_s, round(notice.age_s, 3))
        for notice in notices
    ]


def _decode_notices(raw: typing.Any) -> tuple[LimitNotice, ...]:
    return tuple(
        LimitNotice(
            json_fields.read_text(run_key),
            None
            if limit_per_s is None
            else json_fields.read_number(limit_per_s, 0.0, MAX_LIMIT_PER_S),
            json_fields.read_age_s(age_s),
        )
        for run_key, limit_per_s, age_s in json_fields.read_list(raw)
    )
