"""The operator's configuration and the registrations of targets in the store."""

from __future__ import annotations

import typing

import pydantic

from endivevane import exceptions
from endivevane.serving import model

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
TARGETS_TABLE = "servers"
# Clients give up a stream after a silence of this time, of this many objectives or of
# this many of the longest pauses between events, whichever is longest.
_LEAST_PATIENCE_MS = 2000.0
_PATIENCE_OBJECTIVES = 4.0
_PATIENCE_GAPS = 8.0


class _Record(pydantic.BaseModel):
    """A record whose unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore")


class _SplitRecord(_Record):
    service: str
    weight: float = 1.0


class _RouteRecord(_Record):
    name: str
    host: str
    prefix: str
    kind: str
    service: str | None = None
    # Several services that share the route's requests by weight.
    trafficSplit: list[_SplitRecord] = []  # noqa: N815
    timeoutMs: float = 0.0  # noqa: N815
    # Time within which an answer is on time.
    goalMs: float = 0.0  # noqa: N815
    priority: int = 0
    maxAttempts: int = 1  # noqa: N815
    resumable: bool = False
    # Longest pause between events of an answer that is on time.
    gapTargetMs: float = 0.0  # noqa: N815
    completionTargetMs: float = 0.0  # noqa: N815
    # Time after submission at which an item may be given up; nothing is deleted then.
    retentionS: float = 0.0  # noqa: N815
    # Tokens of all accepted items that may wait on a batch route.
    cap: int = 0


class _ServiceRecord(_Record):
    name: str
    maxConns: int = 0  # noqa: N815
    engine: dict[str, typing.Any] | None = None


class _LimitsRecord(_Record):
    maxHeaderBytes: int = 16384  # noqa: N815
    maxBodyBytes: int = 4194304  # noqa: N815
    headerTimeoutMs: float = 3000.0  # noqa: N815
    idleTimeoutMs: float = 15000.0  # noqa: N815


class _ConfigurationRecord(_Record):
    version: int
    routes: list[_RouteRecord]
    services: list[_ServiceRecord]
    limits: _LimitsRecord = _LimitsRecord()


class _TargetRecord(_Record):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: str
    address: str
    zone: str
    slots: int
    state: typing.Literal["ready", "draining"]
    born: int = 0


def decode_configuration(content: bytes) -> model.Configuration:
    """Return a version of the operator's configuration.

    :raises exceptions.ProtocolError: when the content is not a configuration
    """
    try:
        record = _ConfigurationRecord.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise exceptions.ProtocolError("configuration", str(error)) from error
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
    )


def _make_route(record: _RouteRecord) -> model.Route:
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
    if not services:
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
        stream_idle_timeout_s=_find_patience_s(record, kind),
        token_quota=record.cap,
    )


def _find_patience_s(record: _RouteRecord, kind: model.RouteKind) -> float:
    """Return the silence after which the platform's clients give up a stream."""
    if kind is not model.RouteKind.STREAMING:
        return float("inf")
    limits_ms = (
        _LEAST_PATIENCE_MS,
        _PATIENCE_OBJECTIVES * record.goalMs,
        _PATIENCE_GAPS * record.gapTargetMs,
    )
    return max(limits_ms) / 1000.0


def decode_target(target_id: str, content: bytes) -> model.Target:
    """Return a target from its registration.

    :raises exceptions.ProtocolError: when the entry does not name a usable target
    """
    try:
        record = _TargetRecord.model_validate_json(content)
        host, _, port = record.address.rpartition(":")
        number = int(port)
    except (pydantic.ValidationError, ValueError) as error:
        reason = f"not a registration: {type(error).__name__}"
        raise exceptions.ProtocolError(target_id, reason) from error
    if not host or not 0 < number < 65536 or record.slots < 1:
        raise exceptions.ProtocolError(target_id, "address or slots out of range")
    return model.Target(
        target_id=target_id,
        service=record.service,
        host=host,
        port=number,
        availability_zone=record.zone,
        slots=record.slots,
        is_draining=record.state == "draining",
        started_ms=record.born,
    )
