"""Decoding of the operator's configuration and of target registrations."""

from __future__ import annotations

import re
import typing

import pydantic

from endivevane import exceptions, logs, types
from endivevane.organisations import keys
from endivevane.platform import field_types
from endivevane.serving import model

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
# Calls name the target in a header; the store's keys have at most 200 bytes.
_TARGET_ID = re.compile(r"[!-~]{1,200}")
# Clients abandon a stream without events after the longest of this time, this many
# times the objective and this many times the target gap between events.
_MIN_IDLE_TIMEOUT_MS = 2000.0
_IDLE_TIMEOUT_OBJECTIVES = 4.0
_IDLE_TIMEOUT_GAPS = 8.0


class _Record(pydantic.BaseModel):
    """Base class of records; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore")


class SplitRecord(_Record):
    """A service with its share of a route."""

    service: field_types.Text
    weight: field_types.Weight = 1.0


class RouteRecord(_Record):
    """A route."""

    name: field_types.Text
    host: field_types.Text
    prefix: field_types.PathText
    kind: field_types.Text
    service: field_types.Text | None = None
    # Services that share the route's requests by weight.
    trafficSplit: list[SplitRecord] = []  # noqa: N815
    timeoutMs: field_types.Milliseconds = 0.0  # noqa: N815
    # Time within which a response is on time.
    goalMs: field_types.Milliseconds = 0.0  # noqa: N815
    priority: field_types.Count = 0
    maxAttempts: field_types.Count = 1  # noqa: N815
    resumable: bool = False
    # Longest gap between events of a response that is on time.
    gapTargetMs: field_types.Milliseconds = 0.0  # noqa: N815
    completionTargetMs: field_types.Milliseconds = 0.0  # noqa: N815
    # Time after submission at which an item may be given up; no data is deleted then.
    retentionS: field_types.Seconds = 0.0  # noqa: N815
    # Quota of a batch route: tokens of accepted items that may be waiting.
    cap: field_types.Count = 0
    public: bool = False


class ServiceRecord(_Record):
    """A service."""

    name: field_types.Text
    maxConns: field_types.Count = 0  # noqa: N815
    engine: dict[str, typing.Any] | None = None


class LimitsRecord(_Record):
    """Limits for clients."""

    maxHeaderBytes: field_types.Bytes = 16384  # noqa: N815
    maxBodyBytes: field_types.Bytes = 4194304  # noqa: N815
    headerTimeoutMs: field_types.Milliseconds = 3000.0  # noqa: N815
    idleTimeoutMs: field_types.Milliseconds = 15000.0  # noqa: N815


class OrganisationRecord(_Record):
    """An organisation."""

    name: field_types.HeaderId
    apiKeys: list[field_types.HeaderValue] = []  # noqa: N815
    priority: field_types.Count | None = None
    ratePerS: field_types.Rate = 0.0  # noqa: N815
    burst: field_types.Rate = 0.0


class ConfigurationRecord(_Record):
    """A version of the configuration."""

    version: field_types.Count
    routes: list[RouteRecord]
    services: list[ServiceRecord]
    limits: LimitsRecord = LimitsRecord()
    tenants: list[OrganisationRecord] = []


class _TargetRecord(_Record):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: field_types.Text
    address: field_types.AddressText
    zone: field_types.Text
    slots: field_types.Slots
    state: typing.Literal["ready", "draining"]
    born: field_types.UnixMilliseconds = 0
    # Version of the target's software, as a text or a number.
    version: field_types.Text | field_types.Count = ""
    # Fields that are not used; a sound target still sends no odd ones.
    coldLeftMs: field_types.Milliseconds = 0.0  # noqa: N815
    callSeq: field_types.Count = 0  # noqa: N815


def decode_configuration(content: bytes) -> model.Configuration:
    """Decode a version of the operator's configuration.

    :raises exceptions.ProtocolError: when the content is invalid
    """
    try:
        record = ConfigurationRecord.model_validate_json(content)
    except pydantic.ValidationError as error:
        reason = field_types.describe_first_problem(error)
        raise exceptions.ProtocolError("configuration", reason) from error
    return model.Configuration(
        version=record.version,
        routes=tuple(_make_route(route) for route in record.routes),
        services={
            service.name: model.Service(
                service.name, service.maxConns, service.engine is not None
            )
            for service in record.services
        },
        limits=model.ClientLimits(
            max_header_bytes=record.limits.maxHeaderBytes,
            max_body_bytes=record.limits.maxBodyBytes,
            header_timeout_s=record.limits.headerTimeoutMs / 1000.0,
            idle_timeout_s=record.limits.idleTimeoutMs / 1000.0,
        ),
        organisations={
            organisation.name: model.Organisation(
                organisation.name,
                organisation.priority,
                organisation.ratePerS,
                organisation.burst,
            )
            for organisation in record.tenants
        },
        key_holders=_find_key_holders(record.tenants),
    )


def _find_key_holders(records: list[OrganisationRecord]) -> dict[bytes, str]:
    """Return the names of organisations by the digests of their keys.

    A key of two organisations belongs to the first one, at all daemons.
    """
    holders: dict[bytes, str] = {}
    for record in records:
        for key in record.apiKeys:
            holder = holders.setdefault(
                keys.hash_key(key.encode("latin-1")), record.name
            )
            if holder != record.name:
                logs.error("api_key_shared", holder=holder, other=record.name)
    return holders


def _make_route(record: RouteRecord) -> model.Route:
    services = tuple(
        model.WeightedService(split.service, split.weight)
        for split in record.trafficSplit
    )
    if record.service is not None:
        services = (model.WeightedService(record.service, 1.0),)
    try:
        kind = model.RouteKind(record.kind)
    except ValueError as error:
        raise exceptions.ProtocolError("configuration", str(error)) from error
    if not any(service.weight for service in services):
        raise exceptions.ProtocolError(
            "configuration", f"route {record.name} names no service"
        )
    return model.Route(
        name=record.name,
        host=record.host,
        prefix=record.prefix,
        kind=kind,
        services=services,
        timeout_s=record.timeoutMs / 1000.0,
        objective_s=record.goalMs / 1000.0,
        priority=record.priority,
        max_attempts=record.maxAttempts,
        is_resumable=record.resumable,
        event_gap_s=record.gapTargetMs / 1000.0,
        completion_s=record.completionTargetMs / 1000.0,
        retention_s=record.retentionS,
        stream_idle_timeout_s=_find_stream_idle_timeout_s(record, kind),
        token_quota=record.cap,
        is_public=record.public,
    )


def _find_stream_idle_timeout_s(record: RouteRecord, kind: model.RouteKind) -> float:
    """Return the time without events after which clients abandon a stream."""
    if kind is not model.RouteKind.STREAMING:
        return float("inf")
    limits_ms = (
        _MIN_IDLE_TIMEOUT_MS,
        _IDLE_TIMEOUT_OBJECTIVES * record.goalMs,
        _IDLE_TIMEOUT_GAPS * record.gapTargetMs,
    )
    return max(limits_ms) / 1000.0


def decode_target(target_id: str, content: bytes) -> model.Target:
    """Decode the registration of a target.

    :raises exceptions.ProtocolError: when the registration is invalid
    """
    if not _TARGET_ID.fullmatch(target_id):
        raise exceptions.ProtocolError("a target", "its id fits into no header")
    try:
        record = _TargetRecord.model_validate_json(content)
    except pydantic.ValidationError as error:
        reason = field_types.describe_first_problem(error)
        raise exceptions.ProtocolError(target_id, reason) from error
    address = types.parse_address(record.address)
    return model.Target(
        target_id=target_id,
        service=record.service,
        host=address.host,
        port=address.port,
        availability_zone=record.zone,
        slots=record.slots,
        is_draining=record.state == "draining",
        started_ms=record.born,
        version=str(record.version),
    )
