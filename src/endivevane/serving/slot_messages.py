"""What a daemon and the coordinator of its region tell each other about places."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

import orjson


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """A request wants a place; repeated until it is answered.

    :param incarnation: run of the asking daemon's process
    :param number: names the place among those of the daemon
    :param request: the request's id, for the log; empty for a batch item
    :param urgency: rank of a batch item among others, the lowest first
    :param objective_left_s: time in which an answer is on time; for a batch item, time
        until it is due
    :param deadline_left_s: time after which the answer is of no use
    :param may_return: whether the client comes again after a refusal
    :param only: targets that the request may go to, ``None`` for any
    """

    incarnation: str
    number: int
    service: str
    availability_zone: str
    is_batch: bool = False
    urgency: int = 0
    priority: int = 0
    objective_left_s: float = 0.0
    deadline_left_s: float = 0.0
    may_return: bool = False
    excluded: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
    only: tuple[str, ...] | None = None
    request: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A request has a place."""

    number: int
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request gets no place."""

    number: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A request waits for a place."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotCoordinating:
    """The asked daemon does not know enough to give out places."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A place is free again, or is not wanted any more.

    :param hold_s: how long it was held, ``None`` if it was not used
    :param start_s: time from the place to the first event, ``None`` without any
    """

    incarnation: str
    number: int
    hold_s: float | None = None
    start_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """A batch item shall leave its place to an online request."""

    number: int


# Sends a message to the daemon of a name.
Send = abc.Callable[[str, "Message"], None]

Message = Acquire | Granted | Refused | Queued | NotCoordinating | Release | Preempt

_ASK = "ask"
_GRANTED = "granted"
_REFUSED = "refused"
_QUEUED = "queued"
_NOT_COORDINATING = "not-coordinating"
_ENDED = "ended"
_GIVE_WAY = "give-way"


@functools.singledispatch
def encode(message: typing.Any) -> bytes:
    """Return a message as a datagram."""
    raise TypeError(f"no message: {type(message).__name__}")


@encode.register
def _(message: Acquire) -> bytes:
    return orjson.dumps(
        (
            _ASK,
            message.incarnation,
            message.number,
            message.service,
            message.availability_zone,
            (message.is_batch, message.may_return),
            message.urgency,
            message.priority,
            round(message.objective_left_s, 4),
            round(message.deadline_left_s, 4),
            message.excluded,
            message.avoided,
            message.only,
            message.request,
        )
    )


@encode.register
def _(message: Granted) -> bytes:
    return orjson.dumps((_GRANTED, message.number, message.target_id))


@encode.register
def _(message: Refused) -> bytes:
    return orjson.dumps((_REFUSED, message.number, round(message.retry_after_s, 3)))


@encode.register
def _(message: Queued) -> bytes:
    return orjson.dumps((_QUEUED, message.number))


@encode.register
def _(message: NotCoordinating) -> bytes:
    return orjson.dumps((_NOT_COORDINATING, message.number))


@encode.register
def _(message: Release) -> bytes:
    return orjson.dumps(
        (
            _ENDED,
            message.incarnation,
            message.number,
            _round(message.hold_s),
            _round(message.start_s),
        )
    )


@encode.register
def _(message: Preempt) -> bytes:
    return orjson.dumps((_GIVE_WAY, message.number))


def decode(kind: str, fields: abc.Sequence[typing.Any]) -> Message:
    """Return the message of a kind.

    :raises ValueError: when the kind is not known or a field is missing
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise ValueError(f"unknown kind {kind!r}")
    return decoder(*fields)


def _decode_ask(
    incarnation: typing.Any,
    number: typing.Any,
    service: typing.Any,
    availability_zone: typing.Any,
    flags: typing.Any,
    urgency: typing.Any,
    priority: typing.Any,
    objective_left_s: typing.Any,
    deadline_left_s: typing.Any,
    excluded: typing.Any,
    avoided: typing.Any,
    only: typing.Any,
    request: typing.Any,
) -> Acquire:
    is_batch, may_return = flags
    return Acquire(
        incarnation=str(incarnation),
        number=int(number),
        service=str(service),
        availability_zone=str(availability_zone),
        is_batch=bool(is_batch),
        urgency=int(urgency),
        priority=int(priority),
        objective_left_s=float(objective_left_s),
        deadline_left_s=float(deadline_left_s),
        may_return=bool(may_return),
        excluded=_list_names(excluded),
        avoided=_list_names(avoided),
        only=None if only is None else _list_names(only),
        request=str(request),
    )


def _decode_granted(number: typing.Any, target_id: typing.Any) -> Granted:
    return Granted(int(number), str(target_id))


def _decode_refused(number: typing.Any, retry_after_s: typing.Any) -> Refused:
    return Refused(int(number), float(retry_after_s))


def _decode_ended(
    incarnation: typing.Any,
    number: typing.Any,
    hold_s: typing.Any,
    start_s: typing.Any,
) -> Release:
    return Release(
        str(incarnation),
        int(number),
        None if hold_s is None else float(hold_s),
        None if start_s is None else float(start_s),
    )


_DECODERS: dict[str, abc.Callable[..., Message]] = {
    _ASK: _decode_ask,
    _GRANTED: _decode_granted,
    _REFUSED: _decode_refused,
    _QUEUED: lambda number: Queued(int(number)),
    _NOT_COORDINATING: lambda number: NotCoordinating(int(number)),
    _ENDED: _decode_ended,
    _GIVE_WAY: lambda number: Preempt(int(number)),
}


def _list_names(names: typing.Any) -> tuple[str, ...]:
    return tuple(str(name) for name in names)


def _round(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 4)
