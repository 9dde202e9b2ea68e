"""Decoding of a configuration with the places of its entries, for its check."""

from __future__ import annotations

import typing
from collections import abc

import pydantic

from endivevane.configuration_check import entries, findings, json_positions
from endivevane.organisations import keys
from endivevane.platform import records
from endivevane.serving import model

# Names of the fields that rules refer to, by the names in the file.
_ROUTE_FIELDS = {
    "name": "name",
    "host": "host",
    "prefix": "prefix",
    "kind": "kind",
    "service": "service",
    "trafficSplit": "split",
    "timeoutMs": "timeout_s",
    "goalMs": "objective_s",
    "maxAttempts": "max_attempts",
    "retentionS": "retention_s",
    "cap": "token_quota",
}
_SERVICE_FIELDS = {"name": "name", "maxConns": "max_connections"}
_ORGANISATION_FIELDS = {"name": "name", "apiKeys": "keys", "burst": "burst"}
_LIMITS_FIELDS = {"headerTimeoutMs": "header_timeout_s"}
_SECRETS = frozenset(("apiKeys",))
_JSON_PROBLEM = "json_invalid"
# Place of an entry, places of its fields, and its fields as written.
_Located = tuple[findings.Place, dict[str, findings.Place], dict[str, typing.Any]]
# Records of a configuration by their paths, without the numbers in lists.
_RECORDS: dict[tuple[str, ...], type[pydantic.BaseModel]] = {
    (): records.ConfigurationRecord,
    ("routes",): records.RouteRecord,
    ("routes", "trafficSplit"): records.SplitRecord,
    ("services",): records.ServiceRecord,
    ("limits",): records.LimitsRecord,
    ("tenants",): records.OrganisationRecord,
}


def decode(
    content: bytes,
) -> tuple[entries.Configuration | None, list[findings.Finding]]:
    """Decode a configuration and return what is wrong with its form.

    :returns: the entries, ``None`` if the daemons can't decode it either
    """
    try:
        positions = json_positions.scan(content)
    except json_positions.InvalidJson as error:
        place = findings.Place("", error.line)
        return None, [findings.Finding(findings.Rule.SYNTAX, place, error.reason)]
    found = [*_find_duplicates(positions), *_find_unknown_fields(positions)]
    try:
        record = records.ConfigurationRecord.model_validate_json(content)
    except pydantic.ValidationError as error:
        found.extend(_list_problems(error, positions))
        return None, found
    return _make_configuration(record, positions), found


def _find_duplicates(
    positions: json_positions.Positions,
) -> abc.Iterator[findings.Finding]:
    for path, line in positions.duplicates:
        key = json_positions.format_path(path)
        yield findings.Finding(
            findings.Rule.DUPLICATE_KEY,
            findings.Place(key, line),
            f"{key} is given more than once",
        )


def _find_unknown_fields(
    positions: json_positions.Positions,
) -> abc.Iterator[findings.Finding]:
    for path in positions.lines:
        if not path or isinstance(path[-1], int):
            continue
        around = tuple(part for part in path[:-1] if isinstance(part, str))
        record = _RECORDS.get(around)
        if record is None or path[-1] in record.model_fields:
            continue
        yield findings.Finding(
            findings.Rule.UNKNOWN_FIELD,
            positions.find(path),
            f"the daemons ignore {json_positions.format_path(path)}",
        )


def _list_problems(
    error: pydantic.ValidationError, positions: json_positions.Positions
) -> abc.Iterator[findings.Finding]:
    for problem in error.errors(
        include_url=False, include_context=False, include_input=False
    ):
        rule = findings.Rule.INVALID_FIELD
        if problem["type"] == _JSON_PROBLEM:
            rule = findings.Rule.SYNTAX
        yield findings.Finding(rule, positions.find(problem["loc"]), problem["msg"])


def _make_configuration(
    record: records.ConfigurationRecord, positions: json_positions.Positions
) -> entries.Configuration:
    def locate(
        path: json_positions.Path,
        names: abc.Mapping[str, str],
        written: pydantic.BaseModel,
    ) -> _Located:
        places = {
            attribute: positions.find((*path, name))
            for name, attribute in names.items()
            if (*path, name) in positions.lines
        }
        fields = written.model_dump(exclude=set(_SECRETS))
        return positions.find(path), places, fields

    return entries.Configuration(
        version=record.version,
        version_place=positions.find(("version",)),
        routes=tuple(
            _make_route(route, locate(("routes", number), _ROUTE_FIELDS, route))
            for number, route in enumerate(record.routes)
        ),
        services=tuple(
            entries.Service(
                *locate(("services", number), _SERVICE_FIELDS, service),
                name=service.name,
                max_connections=service.maxConns,
            )
            for number, service in enumerate(record.services)
        ),
        organisations=tuple(
            entries.Organisation(
                *locate(("tenants", number), _ORGANISATION_FIELDS, organisation),
                name=organisation.name,
                key_digests=tuple(
                    keys.hash_key(key.encode("latin-1")) for key in organisation.apiKeys
                ),
                rate_per_s=organisation.ratePerS,
                burst=organisation.burst,
            )
            for number, organisation in enumerate(record.tenants)
        ),
        limits=entries.Limits(
            *locate(("limits",), _LIMITS_FIELDS, record.limits),
            header_timeout_s=record.limits.headerTimeoutMs / 1000.0,
            idle_timeout_s=record.limits.idleTimeoutMs / 1000.0,
        ),
    )


def _make_route(
    record: records.RouteRecord,
    located: _Located,
) -> entries.Route:
    return entries.Route(
        *located,
        name=record.name,
        host=record.host,
        prefix=record.prefix,
        kind=record.kind,
        service=record.service,
        split=tuple(
            model.WeightedService(split.service, split.weight)
            for split in record.trafficSplit
        ),
        timeout_s=record.timeoutMs / 1000.0,
        objective_s=record.goalMs / 1000.0,
        max_attempts=record.maxAttempts,
        completion_s=record.completionTargetMs / 1000.0,
        retention_s=record.retentionS,
        token_quota=record.cap,
    )
