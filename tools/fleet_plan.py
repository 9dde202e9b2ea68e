"""Plan of a fleet, and the documents and settings files generated from it."""

from __future__ import annotations

import dataclasses
import hashlib
import pathlib
import typing
from collections import abc

import zmq

from tools import toml_text

MODEL_SERVICE = "answers"
PLAIN_SERVICE = "desk"
OPERATOR_KEY = "operator-key"
_SUFFIX = ".endivevane.toml"


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    region: str


DEFAULT_ZONES = (
    Zone("zone-a", "west"),
    Zone("zone-b", "west"),
    Zone("zone-c", "east"),
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Plan of a fleet; its members are assigned to the zones round robin.

    :param model: model that every engine loads at start
    :param slots: number of concurrent requests per engine
    :param engine_arguments: additional arguments of ``standins.engine``
    :param loads_weights: whether engines download the weights from the weight store
        when they are ordered to load a model
    :param platform_arguments: additional arguments of ``standins.platform``
    :param service_arguments: additional arguments of ``standins.service``
    :param fleet_document: changes to the document of the fleet
    :param model_service: changes to the document of the model service
    :param plain_service: changes to the document of the plain service
    :param daemon_settings: changes to the settings file of every daemon
    :param has_balancer: whether a balancer is started in front of the daemons
    :param has_store_links: whether each daemon reaches the platform over its own link,
        which can be cut, slowed or blocked
    :param has_region_link: whether all connections between the two regions share a link
        with latency and a rate limit, which can be cut or blocked; the store is in the
        region of the first zone
    :param has_own_keys: whether each daemon has its own CURVE key pair, listed by its
        name, instead of a shared one
    :param confirm_s: time to wait for the zones to confirm the configuration after the
        daemons are ready; 0 does not wait
    """

    daemons: int = 2
    engines: int = 2
    services: int = 0
    zones: tuple[Zone, ...] = DEFAULT_ZONES
    organisations: tuple[str, ...] = ("acme",)
    model: str = "small-lm"
    slots: int = 16
    token_ms: float = 5.0
    prefill_ms: float = 5.0
    engine_arguments: tuple[str, ...] = ()
    loads_weights: bool = False
    platform_arguments: tuple[str, ...] = ()
    service_arguments: tuple[str, ...] = ()
    fleet_document: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    model_service: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    plain_service: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    daemon_settings: abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )
    has_balancer: bool = False
    has_store_links: bool = False
    has_region_link: bool = False
    has_own_keys: bool = False
    ready_timeout_s: float = 30.0
    confirm_s: float = 0.0

    def __post_init__(self) -> None:
        if self.confirm_s and self.daemons < len(self.zones):
            raise ValueError("a zone without a daemon cannot confirm; use fewer zones")

    def zone_of(self, index: int) -> Zone:
        """Return the zone of a daemon, engine or service by its index."""
        return self.zones[index % len(self.zones)]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedTarget:
    """Name, address and availability zone of a target."""

    name: str
    address: str
    zone: str


def caller_key(organisation: str) -> str:
    """Return the API key of an organisation with the role ``caller``."""
    return f"key-of-{organisation}"


def merge(
    base: abc.Mapping[str, typing.Any], changes: abc.Mapping[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return a copy of a nested dictionary with changes applied."""
    merged = dict(base)
    for key, value in changes.items():
        if isinstance(value, abc.Mapping) and isinstance(merged.get(key), abc.Mapping):
            merged[key] = merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def write_documents(
    folder: pathlib.Path,
    plan: FleetPlan,
    engines: abc.Sequence[PlannedTarget],
    services: abc.Sequence[PlannedTarget],
) -> None:
    """Write the configuration files of a fleet into a folder."""
    folder.mkdir(exist_ok=True)
    documents = [_make_fleet(plan)]
    documents.extend(
        _make_organisation(plan, index) for index in range(len(plan.organisations))
    )
    if engines:
        documents.append(_make_model_service(plan, engines))
    if services:
        documents.append(_make_plain_service(plan, services))
    for document in documents:
        path = folder / f"{document['name']}{_SUFFIX}"
        path.write_text(toml_text.render(document))


def _make_fleet(plan: FleetPlan) -> dict[str, typing.Any]:
    zones = [dataclasses.asdict(zone) for zone in plan.zones]
    document = {"kind": "fleet", "name": "fleet", "zones": zones}
    return merge(document, plan.fleet_document)


def _make_organisation(plan: FleetPlan, index: int) -> dict[str, typing.Any]:
    name = plan.organisations[index]
    keys = [{"id": "caller", "sha256": _digest(caller_key(name)), "role": "caller"}]
    if index == 0:
        digest = _digest(OPERATOR_KEY)
        keys.append({"id": "operator", "sha256": digest, "role": "operator"})
    return {"kind": "organisation", "name": name, "keys": keys}


def _make_model_service(
    plan: FleetPlan, engines: abc.Sequence[PlannedTarget]
) -> dict[str, typing.Any]:
    document = {
        "kind": "service",
        "name": MODEL_SERVICE,
        "type": "model",
        "organisations": list(plan.organisations),
        "models": [{"name": plan.model}],
        "targets": [
            {**dataclasses.asdict(target), "slots": plan.slots, "checks_fencing": True}
            for target in engines
        ],
    }
    return merge(document, plan.model_service)


def _make_plain_service(
    plan: FleetPlan, services: abc.Sequence[PlannedTarget]
) -> dict[str, typing.Any]:
    document = {
        "kind": "service",
        "name": PLAIN_SERVICE,
        "type": "plain",
        "organisations": list(plan.organisations),
        "routes": [
            {"path": "/status", "methods": ["GET"], "idempotent": True},
            {"path": "/orders", "methods": ["POST"], "idempotent": False},
        ],
        "targets": [dataclasses.asdict(target) for target in services],
    }
    return merge(document, plan.plain_service)


def make_settings(
    plan: FleetPlan, index: int, addresses: abc.Mapping[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return the settings of a daemon.

    :param addresses: ``listen``, ``cluster_listen``, ``platform``, ``seeds`` and
        ``keys``
    """
    zone = plan.zone_of(index)
    platform = addresses["platform"]
    settings = {
        "daemon": {
            "name": f"daemon-{index}",
            "zone": zone.name,
            "region": zone.region,
            "listen": addresses["listen"],
            "cluster_listen": addresses["cluster_listen"],
        },
        "platform": {
            "table_service": platform,
            "object_store": platform,
            "vm_list": platform,
        },
        "keys": addresses["keys"],
        "membership": {"seeds": addresses["seeds"]},
        "drain": {"grace_s": 1.0, "timeout_s": 30.0},
    }
    if plan.has_region_link:
        settings["platform"]["region"] = plan.zones[0].region
    return merge(settings, plan.daemon_settings)


def make_key_sections(plan: FleetPlan) -> list[dict[str, typing.Any]]:
    """Return the ``keys`` section of each daemon."""
    if not plan.has_own_keys:
        public, secret = make_pair()
        keys = {"public": public, "secret": secret, "peer_public": [public]}
        return [keys] * plan.daemons
    pairs = [make_pair() for _ in range(plan.daemons)]
    peers = {f"daemon-{index}": pair[0] for index, pair in enumerate(pairs)}
    return [
        {"public": public, "secret": secret, "peers": peers} for public, secret in pairs
    ]


def make_pair() -> tuple[str, str]:
    """Return a CURVE key pair, the public key first."""
    public, secret = zmq.curve_keypair()
    return public.decode(), secret.decode()


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
