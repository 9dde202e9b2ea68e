"""Entries of a configuration as they are written, with their places."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane.configuration_check import findings
from endivevane.serving import model


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What all entries have.

    :param place: where it begins
    :param fields: places of its fields that are given, by attribute name
    :param written: its fields by the names in the file, without secrets
    """

    place: findings.Place
    fields: abc.Mapping[str, findings.Place]
    written: abc.Mapping[str, typing.Any]

    def find(self, field: str) -> findings.Place:
        """Return the place of a field, or of the entry if it is not given."""
        return self.fields.get(field, self.place)


@dataclasses.dataclass(frozen=True, slots=True)
class Route(Entry):
    """A route.

    :param service: the service that gets all requests, ``None`` for a split
    :param split: services that share the requests
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str | None
    split: tuple[model.WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    completion_s: float
    retention_s: float
    token_quota: int

    @property
    def is_batch(self) -> bool:
        """Whether jobs are submitted to it."""
        return self.kind == model.RouteKind.BATCH

    @property
    def service_names(self) -> frozenset[str]:
        """The services that it names and that get requests."""
        if self.service is not None:
            return frozenset((self.service,))
        return frozenset(item.name for item in self.split if item.weight)


@dataclasses.dataclass(frozen=True, slots=True)
class Service(Entry):
    """A service.

    :param max_connections: connections that a target accepts, 0 if not given
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation(Entry):
    """An organisation.

    :param key_digests: digests of its keys in order
    """

    name: str
    key_digests: tuple[bytes, ...]
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits(Entry):
    """Limits for clients."""

    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration."""

    version: int
    version_place: findings.Place
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    limits: Limits
