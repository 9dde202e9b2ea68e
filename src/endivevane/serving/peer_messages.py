"""Encoding of the messages that daemons send each other."""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

import orjson

from endivevane import json_fields
from endivevane.quarantine import messages as quarantine_messages
from endivevane.quotas import messages as quota_messages
from endivevane.rate_limits import messages as rate_messages
from endivevane.serving import load_table, outcome_table, slot_messages, slot_registry


@dataclasses.dataclass(frozen=True, slots=True)
class UnregisteredPeer:
    """An alive daemon whose registration may not have reached all others yet."""

    name: str
    host: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RegionState:
    """Membership of a region, given as the daemons that are not alive.

    :param is_known: whether its daemons have had time to report; if not,
        ``unresponsive`` is empty and means nothing
    :param unresponsive: daemons that are considered dead
    :param stopping: daemons that are shutting down
    :param unregistered: alive daemons that others may not know from the store yet
    """

    region: str
    is_known: bool = True
    unresponsive: tuple[str, ...] = ()
    stopping: tuple[str, ...] = ()
    unregistered: tuple[UnregisteredPeer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Heartbeat and load of a daemon, or of all daemons of its region.

    :param incarnation: run of the sender's process
    :param sequence: number of the report among those of its sender
    :param waiting_items: batch items that could start now
    :param waiting_requests: online requests that wait for a slot and can still meet
        their objective, by service
    :param outcomes: answer counts of targets with failures
    :param version: newest version of the store that the sender knows of
    :param is_stopping: whether the sender is shutting down
    :param alive: names and incarnations of the region's daemons; empty in the report
        of a single daemon
    :param weight: processor share of the sender's VM, in cores
    :param held: all slots that the sender holds, for its coordinator; ``None`` where
        ``loads`` is sent instead
    :param state: membership of the region, where its coordinator reports
    """

    name: str
    region: str
    incarnation: str
    sequence: int
    loads: abc.Mapping[str, load_table.Load]
    waiting_items: int = 0
    waiting_requests: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    outcomes: abc.Mapping[str, outcome_table.Outcomes] = dataclasses.field(
        default_factory=dict
    )
    version: int = -1
    is_stopping: bool = False
    alive: tuple[tuple[str, str], ...] = ()
    weight: float = 1.0
    held: tuple[slot_registry.HeldSlot, ...] | None = None
    state: RegionState | None = None

    @property
    def covers_region(self) -> bool:
        """Whether it covers all daemons of its region."""
        return bool(self.alive) or self.state is not None


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipNotice:
    """Membership of all regions, from a coordinator to the daemons of its region.

    :param incarnation: run of the sender's process
    :param sequence: number of the notice among those of its sender
    :param version: newest version of the store that the sender knows of
    :param weight: processor share of the sender's VM, in cores
    :param states: membership of each region
    """

    name: str
    region: str
    incarnation: str
    sequence: int
    version: int
    weight: float
    states: tuple[RegionState, ...]


Message = (
    Report
    | MembershipNotice
    | quarantine_messages.QuarantineNews
    | quota_messages.Message
    | rate_messages.Message
    | slot_messages.Message
)

# Above the cores of any VM, and above any number of answers that count at a time.
_MAX_WEIGHT = 65_536.0
_MAX_ANSWERS = 1e9
_MAX_NAME_CHARACTERS = 200
# Version of the store while none is known.
_NO_VERSION = -1

_REPORT = "report"
_NOTICE = "notice"


@functools.singledispatch
def encode(message: typing.Any) -> bytes:
    """Return a message as a datagram."""
    return slot_messages.encode(message)


@encode.register
def _(message: Report) -> bytes:
    loads = [(key, load.online, load.batch) for key, load in message.loads.items()]
    outcomes = [
        (key, round(each.answers, 2), round(each.failures, 2))
        for key, each in message.outcomes.items()
    ]
    held = message.held
    state = message.state
    return orjson.dumps(
        (
            _REPORT,
            message.name,
            message.region,
            message.incarnation,
            message.sequence,
            loads,
            message.waiting_items,
            dict(message.waiting_requests),
            outcomes,
            message.version,
            message.is_stopping,
            message.alive,
            round(message.weight, 2),
            None if held is None else [_encode_held_slot(item) for item in held],
            None if state is None else _encode_state(state),
        )
    )


@encode.register
def _(message: MembershipNotice) -> bytes:
    return orjson.dumps(
        (
            _NOTICE,
            message.name,
            message.region,
            message.incarnation,
            message.sequence,
            message.version,
            round(message.weight, 2),
            [_encode_state(state) for state in message.states],
        )
    )


@encode.register
def _(message: quarantine_messages.QuarantineNews) -> bytes:
    return orjson.dumps(quarantine_messages.encode_fields(message))


@encode.register(quota_messages.QuotaAsk)
@encode.register(quota_messages.QuotaGrants)
@encode.register(quota_messages.QuotaProbe)
@encode.register(quota_messages.QuotaWitness)
def _(message: quota_messages.Message) -> bytes:
    return orjson.dumps(quota_messages.encode_fields(message))


@encode.register(rate_messages.LimitNews)
@encode.register(rate_messages.TokenRequest)
@encode.register(rate_messages.TokenQueued)
@encode.register(rate_messages.TokenGrant)
def _(message: rate_messages.Message) -> bytes:
    return orjson.dumps(rate_messages.encode_fields(message))


def decode(data: bytes) -> Message:
    """Return the message in a datagram.

    :raises ValueError: when the datagram is malformed
    """
    try:
        kind, *fields = json_fields.read_list(orjson.loads(data))
        if kind == _REPORT:
            return _decode_report(fields)
        if kind == _NOTICE:
            return _decode_notice(fields)
        if kind == quarantine_messages.KIND:
            return quarantine_messages.decode_fields(fields)
        if kind in quota_messages.KINDS:
            return quota_messages.decode_fields(kind, fields)
        if kind in rate_messages.KINDS:
            return rate_messages.decode_fields(kind, fields)
        return slot_messages.decode(kind, fields)
    except (AttributeError, TypeError, ValueError) as error:
        raise ValueError(f"malformed datagram: {error}") from error


def _read_name(value: typing.Any) -> str:
    return json_fields.read_text(value, _MAX_NAME_CHARACTERS)


def _read_weight(value: typing.Any) -> float:
    return json_fields.read_number(value, 0.0, _MAX_WEIGHT)


def _decode_report(fields: abc.Sequence[typing.Any]) -> Report:
    name, region, incarnation, sequence, loads, *counts, weight, held, state = fields
    items, requests, outcomes, version, is_stopping, alive_runs = counts
    return Report(
        name=_read_name(name),
        region=_read_name(region),
        incarnation=_read_name(incarnation),
        sequence=json_fields.read_count(sequence),
        loads={
            json_fields.read_text(target): load_table.Load(
                json_fields.read_count(online), json_fields.read_count(batch)
            )
            for target, online, batch in json_fields.read_list(loads)
        },
        waiting_items=json_fields.read_count(items),
        waiting_requests={
            service: json_fields.read_count(count)
            for service, count in json_fields.read_object(requests).items()
        },
        outcomes={
            json_fields.read_text(target): outcome_table.Outcomes(
                json_fields.read_number(answers, 0.0, _MAX_ANSWERS),
                json_fields.read_number(failed, 0.0, _MAX_ANSWERS),
            )
            for target, answers, failed in json_fields.read_list(outcomes)
        },
        version=json_fields.read_integer(version, _NO_VERSION),
        is_stopping=json_fields.read_flag(is_stopping),
        alive=tuple(
            (_read_name(peer), _read_name(run))
            for peer, run in json_fields.read_list(alive_runs)
        ),
        weight=_read_weight(weight),
        held=None
        if held is None
        else tuple(_decode_held_slot(*item) for item in json_fields.read_list(held)),
        state=None if state is None else _decode_state(*state),
    )


def _decode_notice(fields: abc.Sequence[typing.Any]) -> MembershipNotice:
    name, region, incarnation, sequence, version, weight, states = fields
    return MembershipNotice(
        name=_read_name(name),
        region=_read_name(region),
        incarnation=_read_name(incarnation),
        sequence=json_fields.read_count(sequence),
        version=json_fields.read_integer(version, _NO_VERSION),
        weight=_read_weight(weight),
        states=tuple(_decode_state(*state) for state in json_fields.read_list(states)),
    )


def _encode_held_slot(held_slot: slot_registry.HeldSlot) -> tuple[int, str, bool]:
    return (held_slot.number, held_slot.target_id, held_slot.is_batch)


def _decode_held_slot(
    number: typing.Any, target_id: typing.Any, is_batch: typing.Any
) -> slot_registry.HeldSlot:
    return slot_registry.HeldSlot(
        json_fields.read_count(number),
        json_fields.read_text(target_id),
        json_fields.read_flag(is_batch),
    )


def _encode_state(state: RegionState) -> tuple[typing.Any, ...]:
    unregistered_peers = [
        (item.name, item.host, item.incarnation) for item in state.unregistered
    ]
    return (
        state.region,
        state.is_known,
        state.unresponsive,
        state.stopping,
        unregistered_peers,
    )


def _decode_state(
    region: typing.Any,
    is_known: typing.Any,
    unresponsive_names: typing.Any,
    stopping: typing.Any,
    unregistered_peers: typing.Any,
) -> RegionState:
    return RegionState(
        region=_read_name(region),
        is_known=json_fields.read_flag(is_known),
        unresponsive=json_fields.read_texts(unresponsive_names),
        stopping=json_fields.read_texts(stopping),
        unregistered=tuple(
            UnregisteredPeer(
                _read_name(name), json_fields.read_ip(host), _read_name(incarnation)
            )
            for name, host, incarnation in json_fields.read_list(unregistered_peers)
        ),
    )
