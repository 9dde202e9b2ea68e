"""Validated models of the configuration files that operators write."""

from __future__ import annotations

import typing

import pydantic

from endivevane import types

_NAME = r"^[a-z0-9][a-z0-9._-]{0,62}$"
Name = typing.Annotated[str, pydantic.Field(pattern=_NAME)]
PositiveSeconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]
_DAY_S = 86_400
# Ten years; a longer period is probably given in the wrong unit.
_MAX_RETENTION_S = 3_653 * _DAY_S
RetentionSeconds = typing.Annotated[float, pydantic.Field(ge=1, le=_MAX_RETENTION_S)]


class _Model(pydantic.BaseModel):
    """Base of all configuration models; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


def _check_address(text: str) -> str:
    types.parse_address(text)
    return text


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


class TargetModel(_Model):
    """One target of a service.

    :param slots: requests that the target runs concurrently
    :param checks_orders: whether the target checks the sender of an order
    :param checks_fencing: whether the target rejects orders with a stale fencing token
    :param role: role of an engine; ``None`` lets the daemons assign it
    """

    name: Name
    address: AddressText
    zone: Name
    slots: int = pydantic.Field(default=16, gt=0, le=4096)
    checks_orders: bool = False
    checks_fencing: bool = False
    role: typing.Literal["prefill", "decode", "both"] | None = None


class LanguageModelModel(_Model):
    """A language model that a service offers.

    :param adapters: names of adapters that callers may request
    :param min_replicas: minimum number of replicas that keep the model loaded
    """

    name: Name
    version: str = "1"
    adapters: tuple[Name, ...] = ()
    min_replicas: int = pydantic.Field(default=1, ge=0)


class RouteModel(_Model):
    """A route of a plain service.

    :param path: path prefix, relative to the service's root
    :param idempotent: whether a call may be retried
    """

    path: str = pydantic.Field(pattern=r"^/")
    methods: tuple[typing.Literal["GET", "POST", "PUT", "DELETE"], ...] = ("GET",)
    idempotent: bool
    timeout_s: PositiveSeconds = 5.0


class OnlineModel(_Model):
    """How online requests of a service are served.

    :param deadline_s: default deadline of a request
    :param inactivity_timeout_s: longest time without data on a stream
    :param first_token_timeout_s: longest wait for the first token
    :param max_attempts: attempts per request, including the first
    :param max_queue: queued requests of this service per daemon
    """

    deadline_s: PositiveSeconds = 60.0
    priority: typing.Literal["interactive", "normal", "background"] = "interactive"
    inactivity_timeout_s: PositiveSeconds = 5.0
    first_token_timeout_s: PositiveSeconds = 10.0
    max_attempts: int = pydantic.Field(default=3, ge=1, le=10)
    max_queue: int = pydantic.Field(default=256, ge=0)


class BatchRetentionModel(_Model):
    """How long the data of batch jobs is kept.

    :param results_s: from the end of a job until its results are deleted
    :param inputs_s: from the upload of an input file until it is deleted, but not
        before the open jobs that read it have ended
    :param keys_s: from the end of a job until its idempotency key may be reused
    """

    results_s: RetentionSeconds = 30.0 * _DAY_S
    inputs_s: RetentionSeconds = 30.0 * _DAY_S
    keys_s: RetentionSeconds = 60.0 * _DAY_S

    @pydantic.model_validator(mode="after")
    def _check_order(self) -> typing.Self:
        # If a key expired before the results, a retry of the job would run it again.
        if self.keys_s < self.results_s:
            raise ValueError("keys_s must not be shorter than results_s")
        return self


class BatchModel(_Model):
    """How batch items of a service are run.

    :param online_reserve_slots: slots per target that batch items leave free; 0 uses
        most idle capacity, with 1 or 2 online requests need not wait for a preemption
    :param max_item_attempts: attempts before an item fails
    :param item_timeout_s: timeout of one attempt of an item
    """

    enabled: bool = True
    online_reserve_slots: int = pydantic.Field(default=0, ge=0)
    max_item_attempts: int = pydantic.Field(default=3, ge=1, le=10)
    item_timeout_s: PositiveSeconds = 120.0
    retention: BatchRetentionModel = BatchRetentionModel()


class RolesModel(_Model):
    """How the engines of a service share prefill and decode.

    :param prefill_share: share of the engines that run prefill only
    :param handover_min_prompt_bytes: prompts of at least this length are processed by a
        prefill engine, whose KV cache is transferred to a decode engine; 0 for none
    """

    prefill_share: float = pydantic.Field(default=0.0, ge=0, le=0.5)
    handover_min_prompt_bytes: int = pydantic.Field(default=0, ge=0)


class ServiceModel(_Model):
    """A service: a set of targets that offer models or plain calls."""

    kind: typing.Literal["service"]
    name: Name
    type: typing.Literal["model", "plain"]
    organisations: tuple[Name, ...] = pydantic.Field(min_length=1)
    online: OnlineModel = OnlineModel()
    batch: BatchModel = BatchModel()
    roles: RolesModel = RolesModel()
    models: tuple[LanguageModelModel, ...] = ()
    routes: tuple[RouteModel, ...] = ()
    targets: tuple[TargetModel, ...] = ()

    @pydantic.model_validator(mode="after")
    def _check_type(self) -> typing.Self:
        if self.type == "model" and not self.models:
            raise ValueError("a service of type 'model' needs at least one [[models]]")
        if self.type == "plain" and not self.routes:
            raise ValueError("a service of type 'plain' needs at least one [[routes]]")
        if self.type == "model" and self.routes:
            raise ValueError("[[routes]] belong to services of type 'plain'")
        if self.type == "plain" and self.models:
            raise ValueError("[[models]] belong to services of type 'model'")
        _check_unique("models", [item.name for item in self.models])
        _check_unique("targets", [item.name for item in self.targets])
        _check_unique("routes", [item.path for item in self.routes])
        return self


class KeyModel(_Model):
    """An API key, stored as a digest only.

    :param sha256: hexadecimal SHA-256 digest of the key
    """

    id: Name
    sha256: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    role: typing.Literal["caller", "operator"] = "caller"


class OrganisationModel(_Model):
    """An organisation whose callers use the services.

    :param weight: share of capacity under overload, relative to others
    :param max_concurrent_requests: concurrent online requests per daemon
    """

    kind: typing.Literal["organisation"]
    name: Name
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    max_concurrent_requests: int = pydantic.Field(default=1000, gt=0)
    keys: tuple[KeyModel, ...] = ()

    @pydantic.model_validator(mode="after")
    def _check_keys(self) -> typing.Self:
        _check_unique("keys", [item.id for item in self.keys])
        return self


class ZoneModel(_Model):
    """An availability zone and its region."""

    name: Name
    region: Name


class LinkModel(_Model):
    """The link between the regions.

    :param capacity_mbit_s: capacity in each direction
    :param data_share: share that requests and batch data may use
    :param reserve_bytes_s: part of the capacity that is reserved for control messages
        and the store, whatever ``data_share`` is; the default is derived for 340
        daemons in docs/decisions/link-budget.md
    """

    capacity_mbit_s: float = pydantic.Field(default=15.0, gt=0)
    data_share: float = pydantic.Field(default=0.6, ge=0, le=0.9)
    reserve_bytes_s: float = pydantic.Field(default=400_000.0, ge=0)

    @pydantic.model_validator(mode="after")
    def _check_reserve(self) -> typing.Self:
        if self.reserve_bytes_s >= self.capacity_mbit_s * 1e6 / 8:
            raise ValueError("reserve_bytes_s leaves no link capacity for data")
        return self


class RegisterRetentionModel(_Model):
    """How long outcomes of at-most-once calls are kept.

    :param outcomes_s: from the claim of a key until its outcome is deleted; a later
        call with the same key runs again. A key without an outcome is kept twice as
        long
    """

    outcomes_s: RetentionSeconds = 7.0 * _DAY_S


class FleetModel(_Model):
    """Settings of the whole fleet: zones, inter-region link and call register."""

    kind: typing.Literal["fleet"]
    name: typing.Literal["fleet"] = "fleet"
    zones: tuple[ZoneModel, ...] = pydantic.Field(min_length=1)
    link: LinkModel = LinkModel()
    register_retention: RegisterRetentionModel = RegisterRetentionModel()

    @pydantic.model_validator(mode="after")
    def _check_zones(self) -> typing.Self:
        _check_unique("zones", [item.name for item in self.zones])
        return self


DocumentModel = typing.Annotated[
    ServiceModel | OrganisationModel | FleetModel,
    pydantic.Field(discriminator="kind"),
]

DOCUMENT_ADAPTER: pydantic.TypeAdapter[
    ServiceModel | OrganisationModel | FleetModel
] = pydantic.TypeAdapter(typing.cast("typing.Any", DocumentModel))


def make_document_key(document: ServiceModel | OrganisationModel | FleetModel) -> str:
    """Return the key of a document, for example ``services/kernel-llm``."""
    if isinstance(document, FleetModel):
        return "fleet"
    return f"{document.kind}s/{document.name}"


def _check_unique(what: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"{what}: {name!r} appears twice")
        seen.add(name)
