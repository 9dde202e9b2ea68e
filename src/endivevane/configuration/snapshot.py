"""Immutable snapshots of the configuration in force."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane import types
from endivevane.configuration import models


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Link:
    """The link between the regions; capacities are per direction."""

    capacity_bytes_s: float
    data_share: float
    reserve_bytes_s: float

    @property
    def data_bytes_s(self) -> float:
        """Total rate that all daemons may use for requests and batch data."""
        left_bytes_s = max(0.0, self.capacity_bytes_s - self.reserve_bytes_s)
        return min(self.capacity_bytes_s * self.data_share, left_bytes_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A back end of a service.

    :param service: name of its service
    :param slots: requests that it runs concurrently
    :param role: configured role of an engine, ``None`` if the daemons assign it
    """

    name: str
    service: str
    address: types.Address
    zone: str
    region: str
    slots: int
    checks_orders: bool
    checks_fencing: bool
    role: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its targets.

    :param model: validated document, with the limits and routes
    """

    name: str
    model: models.ServiceModel
    targets: tuple[Target, ...]

    @property
    def is_plain(self) -> bool:
        """Whether the service has routes rather than models."""
        return self.model.type == "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyOwner:
    """Owner of an API key."""

    organisation: str
    role: types.Role
    key_id: str


_DEFAULT_BATCH_RETENTION = models.BatchRetentionModel()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """One revision of the whole configuration.

    :param revision: configuration revision, 0 before the first publish
    :param services_by_model: service that offers a model, by model name
    :param key_owners: owners by SHA-256 digest of the key
    :param register_retention_s: retention of the outcomes of at-most-once calls
    """

    revision: int
    services: abc.Mapping[str, Service]
    services_by_model: abc.Mapping[str, Service]
    organisations: abc.Mapping[str, models.OrganisationModel]
    key_owners: abc.Mapping[str, KeyOwner]
    zones: abc.Mapping[str, Zone]
    link: Link
    register_retention_s: float = models.RegisterRetentionModel().outcomes_s

    def find_batch_retention(self, model: str) -> models.BatchRetentionModel:
        """Return the retention of the batch data of a model.

        A model that no service offers any more gets the longest periods of the defaults
        and all services, since its own are not known.
        """
        service = self.services_by_model.get(model.partition(":")[0])
        if service is not None:
            return service.model.batch.retention
        found = [_DEFAULT_BATCH_RETENTION]
        found += [item.model.batch.retention for item in self.services.values()]
        return models.BatchRetentionModel(
            results_s=max(item.results_s for item in found),
            inputs_s=max(item.inputs_s for item in found),
            keys_s=max(item.keys_s for item in found),
        )

    def find_service(self, organisation: str, model: str) -> Service | None:
        """Return the service that offers a model to an organisation.

        :param model: name of a model, or ``model:adapter``
        :returns: ``None`` when there is no such service or adapter
        """
        name, separator, adapter = model.partition(":")
        service = self.services_by_model.get(name)
        if service is None or organisation not in service.model.organisations:
            return None
        if not separator:
            return service
        for offered in service.model.models:
            if offered.name == name and adapter in offered.adapters:
                return service
        return None


EMPTY = Snapshot(0, {}, {}, {}, {}, {}, Link(15e6 / 8, 0.6, 400_000.0))


def build_snapshot(revision: int, documents: abc.Mapping[str, typing.Any]) -> Snapshot:
    """Build a snapshot from validated documents.

    :param documents: documents by key, as JSON objects
    :raises pydantic.ValidationError: when a document does not validate
    """
    parsed = [
        models.DOCUMENT_ADAPTER.validate_python(documents[key])
        for key in sorted(documents)
    ]
    zones: dict[str, Zone] = {}
    link = EMPTY.link
    retention_s = EMPTY.register_retention_s
    for document in parsed:
        if not isinstance(document, models.FleetModel):
            continue
        retention_s = document.register_retention.outcomes_s
        zones = {zone.name: Zone(zone.name, zone.region) for zone in document.zones}
        link = Link(
            document.link.capacity_mbit_s * 1e6 / 8,
            document.link.data_share,
            document.link.reserve_bytes_s,
        )
    services: dict[str, Service] = {}
    by_model: dict[str, Service] = {}
    organisations: dict[str, models.OrganisationModel] = {}
    key_owners: dict[str, KeyOwner] = {}
    for document in parsed:
        if isinstance(document, models.ServiceModel):
            service = _build_service(document, zones)
            services[service.name] = service
            by_model.update({item.name: service for item in document.models})
            continue
        if isinstance(document, models.OrganisationModel):
            organisations[document.name] = document
            for key in document.keys:
                role = types.Role(key.role)
                key_owners[key.sha256] = KeyOwner(document.name, role, key.id)
    return Snapshot(
        revision,
        services,
        by_model,
        organisations,
        key_owners,
        zones,
        link,
        retention_s,
    )


def _build_service(
    document: models.ServiceModel, zones: abc.Mapping[str, Zone]
) -> Service:
    targets = tuple(
        Target(
            name=item.name,
            service=document.name,
            address=types.parse_address(item.address),
            zone=item.zone,
            region=zones[item.zone].region if item.zone in zones else "",
            slots=item.slots,
            checks_orders=item.checks_orders,
            checks_fencing=item.checks_fencing,
            role=item.role,
        )
        for item in document.targets
    )
    return Service(document.name, document, targets)
