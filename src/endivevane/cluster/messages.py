"""Defines the messages between daemons and their codec."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

import orjson

from endivevane import exceptions
from endivevane.coordination import gossip_messages, members, shares

MAX_MESSAGE_BYTES = 2 << 20
_MAX_LIST_ITEMS = 2000
_MAX_NAME_LENGTH = 64
_MAX_NUMBER = 1 << 62

APPLICATION_KINDS = frozenset(
    {"yield_slots", "online_use", "job_cancelled", "quarantine", "demand"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAsk:
    """Asks which revision the receiver has applied."""

    header: gossip_messages.Header


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigStatus:
    """Answers :class:`ConfigAsk`; the revision is in the header.

    :param is_current: whether the sender's revision is known to be current
    """

    header: gossip_messages.Header
    is_current: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigGet:
    """Requests documents that are newer than the sender's.

    :param versions: the sender's version of each document, by key
    """

    header: gossip_messages.Header
    versions: abc.Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRows:
    """Documents of one revision.

    :param versions: version of every document of the revision
    :param documents: content of the documents that the receiver lacked
    """

    header: gossip_messages.Header
    revision: int
    state: str
    versions: abc.Mapping[str, int]
    documents: abc.Mapping[str, dict[str, typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigApplied:
    """Reports the sender's applied revision to the gateway of its zone.

    :param is_answer: whether this is the gateway's answer
    :param revision: in an answer, the revision that the gateway has recorded
    """

    header: gossip_messages.Header
    is_answer: bool
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VmsLeaving:
    """Names of leaving VMs, from a daemon that polls the platform's list.

    :param as_of_s: wall time of the list, on the platform's clock
    """

    header: gossip_messages.Header
    as_of_s: float
    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LinkNeeds:
    """Rates that daemons need on the link between the regions."""

    header: gossip_messages.Header
    needs: tuple[shares.Need, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Application:
    """A message that another component of the daemon exchanges.

    :param origin: the daemon that created the message
    :param broadcast_id: id of a broadcast, which every receiver forwards once; empty
        for a message to one daemon
    """

    header: gossip_messages.Header
    kind: str
    body: dict[str, typing.Any]
    origin: str
    broadcast_id: str = ""


Message = (
    gossip_messages.Message
    | ConfigAsk
    | ConfigStatus
    | ConfigGet
    | ConfigRows
    | ConfigApplied
    | VmsLeaving
    | LinkNeeds
    | Application
)


def encode(message: Message) -> tuple[str, bytes]:
    """Return the kind and the bytes of a message."""
    kind, fields = _list_fields(message)
    header = message.header
    envelope = [
        kind,
        header.sender,
        header.incarnation,
        header.known_revision,
        header.applied_revision,
        [_encode_update(update) for update in header.updates],
        *fields,
    ]
    return kind, orjson.dumps(envelope)


def decode(data: bytes) -> tuple[str, Message]:
    """Return the kind and the message.

    :raises exceptions.ProtocolError: when the bytes are not a valid message
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.ProtocolError("peer", f"message too large: {len(data)} bytes")
    try:
        envelope = orjson.loads(data)
        kind, sender, incarnation, known, applied, updates, *fields = envelope
        header = gossip_messages.Header(
            _check_name(sender),
            _check_number(incarnation),
            _check_number(known),
            _check_number(applied),
            tuple(_decode_update(item) for item in _check_list(updates)),
        )
        if kind in APPLICATION_KINDS:
            body, origin, broadcast_id = fields
            return kind, Application(
                header,
                kind,
                _check_dict(body),
                _check_name(origin),
                _check_text(broadcast_id),
            )
        return kind, _DECODERS[kind](header, *fields)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        detail = f"{type(error).__name__}: {error}"
        raise exceptions.ProtocolError("peer", detail) from error


@functools.singledispatch
def _list_fields(message: Message) -> tuple[str, list[typing.Any]]:
    raise TypeError(type(message).__name__)


@_list_fields.register
def _(message: gossip_messages.Ping) -> tuple[str, list[typing.Any]]:
    return "ping", [message.sequence]


@_list_fields.register
def _(message: gossip_messages.Ack) -> tuple[str, list[typing.Any]]:
    return "ack", [message.sequence]


@_list_fields.register
def _(message: gossip_messages.ProbeRequest) -> tuple[str, list[typing.Any]]:
    return "ping_req", [message.sequence, message.target]


@_list_fields.register
def _(message: gossip_messages.Gossip) -> tuple[str, list[typing.Any]]:
    return "gossip", []


@_list_fields.register
def _(message: gossip_messages.SyncRequest) -> tuple[str, list[typing.Any]]:
    return "sync", [message.digest]


@_list_fields.register
def _(message: gossip_messages.SyncRows) -> tuple[str, list[typing.Any]]:
    return "sync_rows", [message.is_answer_wanted]


@_list_fields.register
def _(message: ConfigAsk) -> tuple[str, list[typing.Any]]:
    return "config_ask", []


@_list_fields.register
def _(message: ConfigStatus) -> tuple[str, list[typing.Any]]:
    return "config_status", [message.is_current]


@_list_fields.register
def _(message: ConfigGet) -> tuple[str, list[typing.Any]]:
    return "config_get", [message.versions]


@_list_fields.register
def _(message: ConfigRows) -> tuple[str, list[typing.Any]]:
    return "config_rows", [
        message.revision,
        message.state,
        message.versions,
        message.documents,
    ]


@_list_fields.register
def _(message: ConfigApplied) -> tuple[str, list[typing.Any]]:
    return "config_applied", [message.is_answer, message.revision]


@_list_fields.register
def _(message: VmsLeaving) -> tuple[str, list[typing.Any]]:
    return "vms_leaving", [message.as_of_s, message.names]


@_list_fields.register
def _(message: LinkNeeds) -> tuple[str, list[typing.Any]]:
    needs = [
        [item.name, item.version, round(item.need), item.weight]
        for item in message.needs
    ]
    return "link_needs", [needs]


@_list_fields.register
def _(message: Application) -> tuple[str, list[typing.Any]]:
    return message.kind, [message.body, message.origin, message.broadcast_id]


def _encode_update(update: members.Update) -> list[typing.Any]:
    fields: list[typing.Any] = [update.name, update.incarnation, int(update.state)]
    details = update.description
    if details is not None:
        fields += [details.address, details.zone, details.region, details.public_key]
    return fields


def _decode_update(item: list[typing.Any]) -> members.Update:
    name, incarnation, state, *details = item
    description = None
    if details:
        address, zone, region, public_key = details
        description = members.Description(
            _check_name(address),
            _check_name(zone),
            _check_name(region),
            _check_text(public_key),
        )
    return members.Update(
        _check_name(name),
        _check_number(incarnation),
        members.MemberState(state),
        description,
    )


def _decode_needs(header: gossip_messages.Header, needs: typing.Any) -> LinkNeeds:
    decoded = []
    for name, version, need, weight in _check_list(needs):
        if not weight > 0:
            raise ValueError(f"weight {weight!r}")
        item = shares.Need(
            _check_name(name),
            _check_number(version),
            float(_check_number(need)),
            float(weight),
        )
        decoded.append(item)
    return LinkNeeds(header, tuple(decoded))


def _decode_rows(
    header: gossip_messages.Header,
    revision: typing.Any,
    state: typing.Any,
    versions: typing.Any,
    documents: typing.Any,
) -> ConfigRows:
    return ConfigRows(
        header,
        _check_number(revision),
        _check_name(state),
        _check_versions(versions),
        {key: _check_dict(item) for key, item in _check_dict(documents).items()},
    )


def _decode_leaving(
    header: gossip_messages.Header, as_of_s: typing.Any, names: typing.Any
) -> VmsLeaving:
    checked = tuple(_check_name(name) for name in _check_list(names))
    return VmsLeaving(header, float(as_of_s), checked)


_DECODERS: dict[str, abc.Callable[..., Message]] = {
    "ping": lambda header, number: gossip_messages.Ping(header, _check_number(number)),
    "ack": lambda header, number: gossip_messages.Ack(header, _check_number(number)),
    "ping_req": lambda header, number, target: gossip_messages.ProbeRequest(
        header, _check_number(number), _check_name(target)
    ),
    "gossip": gossip_messages.Gossip,
    "sync": lambda header, digest: gossip_messages.SyncRequest(
        header, _check_number(digest, 1 << 64)
    ),
    "sync_rows": lambda header, wanted: gossip_messages.SyncRows(
        header, wanted is True
    ),
    "config_ask": ConfigAsk,
    "config_status": lambda header, current: ConfigStatus(header, current is True),
    "config_get": lambda header, versions: ConfigGet(header, _check_versions(versions)),
    "config_rows": _decode_rows,
    "config_applied": lambda header, answer, revision: ConfigApplied(
        header, answer is True, _check_number(revision)
    ),
    "vms_leaving": _decode_leaving,
    "link_needs": _decode_needs,
}


def _check_text(value: typing.Any, max_length: int = _MAX_NAME_LENGTH) -> str:
    if not isinstance(value, str) or len(value) > max_length:
        raise TypeError("not a string, or too long")
    return value


def _check_name(value: typing.Any) -> str:
    if not _check_text(value):
        raise ValueError("empty name")
    return str(value)


def _check_number(value: typing.Any, limit: int = _MAX_NUMBER) -> int:
    if type(value) is not int or not 0 <= value < limit:
        raise TypeError("not an integer in range")
    return value


def _check_list(value: typing.Any) -> list[typing.Any]:
    if not isinstance(value, list) or len(value) > _MAX_LIST_ITEMS:
        raise TypeError("not a list, or too many items")
    return value


def _check_dict(value: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(value, dict):
        raise TypeError("not a JSON object")
    return value


def _check_versions(value: typing.Any) -> dict[str, int]:
    return {
        _check_text(key, 128): _check_number(version)
        for key, version in _check_dict(value).items()
    }
