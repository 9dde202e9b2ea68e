"""Messages about slots between a daemon and the coordinator of its region."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

import orjson

from endivevane import json_fields


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Requests a slot; repeated until it is answered.

    :param incarnation: incarnation of the requesting daemon's process
    :param number: identifies the slot among those of the daemon
    :param request: the request's id, for the log; empty for a batch item
    :param urgency: rank of a batch item among others, the lowest first
    :param objective_left_s: time within which the response is on time; for a batch
        item, time until it is due
    :param deadline_left_s: time after which the response is of no use
    :param client_may_retry: whether the client retries after a refusal
    :param allowed_targets: targets that the request may go to, ``None`` for any
    :param version: software version that it must run at, ``None`` for any
    :param organisation: whose request or item it is, empty for none
    :param request_bytes: size of its body, ``None`` if unknown
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
    client_may_retry: bool = False
    excluded: tuple[str, ...] = ()
    avoided: tuple[str, ...] = ()
    allowed_targets: tuple[str, ...] | None = None
    request: str = ""
    version: str | None = None
    organisation: str = ""
    request_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A slot is granted."""

    number: int
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A slot is refused."""

    number: int
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """A request is queued for a slot."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotCoordinating:
    """The receiver of a request does not know enough to grant slots."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A slot is free again, or is no longer requested.

    :param hold_s: how long it was held, ``None`` if it was not used
    :param first_event_s: time from the grant to the first event, ``None`` without any
    """

    incarnation: str
    number: int
    hold_s: float | None = None
    first_event_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """A batch item is preempted and must release its slot."""

    number: int


# Sends a message to the daemon with a name.
Send = abc.Callable[[str, "Message"], None]

Message = Acquire | Granted | Refused | Queued | NotCoordinating | Release | Preempt

_ACQUIRE = "ask"
_GRANTED = "granted"
_REFUSED = "refused"
_QUEUED = "queued"
_NOT_COORDINATING = "not-coordinating"
_RELEASE = "ended"
_PREEMPT = "give-way"
# Between a request's id, which is the value of a header, the size of its body and its
# organisation. Earlier releases reject a message with one more field, and use the id
# for their log only.
_SEPARATOR = "\n"


@functools.singledispatch
def encode(message: typing.Any) -> bytes:
    """Return a message as a datagram."""
    raise TypeError(f"not a slot message: {type(message).__name__}")


@encode.register
def _(message: Acquire) -> bytes:
    return orjson.dumps(
        (
            _ACQUIRE,
            message.incarnation,
            message.number,
            message.service,
            message.availability_zone,
            (message.is_batch, message.client_may_retry),
            message.urgency,
            message.priority,
            round(message.objective_left_s, 4),
            round(message.deadline_left_s, 4),
            message.excluded,
            message.avoided,
            message.allowed_targets,
            _join_request(message),
            # Left out where it says nothing, for coordinators of an earlier release.
            *(() if message.version is None else (message.version,)),
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
            _RELEASE,
            message.incarnation,
            message.number,
            _round(message.hold_s),
            _round(message.first_event_s),
        )
    )


@encode.register
def _(message: Preempt) -> bytes:
    return orjson.dumps((_PREEMPT, message.number))


def decode(kind: str, fields: abc.Sequence[typing.Any]) -> Message:
    """Decode a message of a kind.

    :raises ValueError: when the kind is unknown or a field is malformed
    :raises TypeError: when a field is missing
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        raise ValueError(f"unknown kind {kind!r}")
    return decoder(*fields)


def _decode_acquire(
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
    allowed_targets: typing.Any,
    request: typing.Any,
    version: typing.Any = None,
) -> Acquire:
    is_batch, client_may_retry = flags
    request, request_bytes, organisation = _split_request(request)
    return Acquire(
        incarnation=json_fields.read_text(incarnation),
        number=json_fields.read_count(number),
        service=json_fields.read_text(service),
        availability_zone=json_fields.read_text(availability_zone),
        is_batch=json_fields.read_flag(is_batch),
        urgency=json_fields.read_count(urgency),
        priority=json_fields.read_integer(priority, -json_fields.MAX_COUNT),
        objective_left_s=json_fields.read_time_left_s(objective_left_s),
        deadline_left_s=json_fields.read_time_left_s(deadline_left_s),
        client_may_retry=json_fields.read_flag(client_may_retry),
        excluded=json_fields.read_texts(excluded),
        avoided=json_fields.read_texts(avoided),
        allowed_targets=None
        if allowed_targets is None
        else json_fields.read_texts(allowed_targets),
        request=request,
        version=None if version is None else json_fields.read_text(version),
        organisation=organisation,
        request_bytes=request_bytes,
    )


def _decode_granted(number: typing.Any, target_id: typing.Any) -> Granted:
    return Granted(json_fields.read_count(number), json_fields.read_text(target_id))


def _decode_refused(number: typing.Any, retry_after_s: typing.Any) -> Refused:
    return Refused(
        json_fields.read_count(number), json_fields.read_age_s(retry_after_s)
    )


def _decode_release(
    incarnation: typing.Any,
    number: typing.Any,
    hold_s: typing.Any,
    first_event_s: typing.Any,
) -> Release:
    return Release(
        json_fields.read_text(incarnation),
        json_fields.read_count(number),
        None if hold_s is None else json_fields.read_age_s(hold_s),
        None if first_event_s is None else json_fields.read_age_s(first_event_s),
    )


_DECODERS: dict[str, abc.Callable[..., Message]] = {
    _ACQUIRE: _decode_acquire,
    _GRANTED: _decode_granted,
    _REFUSED: _decode_refused,
    _QUEUED: lambda number: Queued(json_fields.read_count(number)),
    _NOT_COORDINATING: lambda number: NotCoordinating(json_fields.read_count(number)),
    _RELEASE: _decode_release,
    _PREEMPT: lambda number: Preempt(json_fields.read_count(number)),
}


def _join_request(message: Acquire) -> str:
    """Return the request's id, with its size and organisation as far as known."""
    if message.request_bytes is None and not message.organisation:
        return message.request
    size = "" if message.request_bytes is None else str(message.request_bytes)
    return _SEPARATOR.join((message.request, size, message.organisation))


def _split_request(value: typing.Any) -> tuple[str, int | None, str]:
    """Return the request's id, its size and its organisation.

    :raises ValueError: when the size is malformed
    """
    request, *others = json_fields.read_text(value).split(_SEPARATOR, 2)
    if not others:
        return request, None, ""
    size, organisation = others
    request_bytes = json_fields.read_count(int(size)) if size else None
    return request, request_bytes, organisation


def _round(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 4)
