"""Defines and loads the settings file of a daemon."""

from __future__ import annotations

import pathlib
import struct
import tomllib
import typing
from collections import abc

import pydantic
from zmq.utils import z85

from endivevane import exceptions
from endivevane.configuration import models

_KEY_LENGTH = 40


def _check_public_key(value: str) -> str:
    """Reject text that is not a CURVE key.

    An invalid key in a list would otherwise fail later, on the cluster thread.
    """
    if len(value) != _KEY_LENGTH:
        raise ValueError(f"must have {_KEY_LENGTH} characters, not {len(value)}")
    decode: abc.Callable[[bytes], bytes] = z85.decode
    try:
        decode(value.encode())
    except (KeyError, ValueError, struct.error, OverflowError) as error:
        raise ValueError("is not a Z85 key") from error
    return value


def _make_list(value: object) -> object:
    return (value,) if isinstance(value, str) else value


PublicKey = typing.Annotated[str, pydantic.AfterValidator(_check_public_key)]
PublicKeys = typing.Annotated[
    tuple[PublicKey, ...], pydantic.BeforeValidator(_make_list)
]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]


class _Section(pydantic.BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DaemonSection(_Section):
    """Name, location and addresses of the daemon.

    :param listen: address for callers and operators
    :param cluster_listen: address for the other daemons
    :param worker_threads: threads for parsing, admission and short calls
    """

    name: models.Name
    zone: models.Name
    region: models.Name
    listen: models.AddressText
    cluster_listen: models.AddressText
    worker_threads: int = pydantic.Field(default=16, ge=2, le=256)
    log_level: typing.Literal["debug", "info", "warning", "error"] = "info"


class PlatformSection(_Section):
    """Addresses of the platform's services and limits for calls to them.

    :param region: region in which the services run; empty for the daemon's own
    :param timeout_s: limit for each wait of a call
    :param response_timeout_s: time from the first byte of a response to its last one
    :param max_response_bytes: size of a response with its head
    """

    region: str = ""
    table_service: models.AddressText
    object_store: models.AddressText
    vm_list: models.AddressText
    timeout_s: Seconds = 5.0
    response_timeout_s: Seconds = 30.0
    max_response_bytes: int = pydantic.Field(default=32 << 20, gt=0)


class SessionSection(_Section):
    """The daemon's lease in the table service.

    :param term_s: how long a renewal lasts
    """

    term_s: Seconds = 9.0


class MembershipSection(_Section):
    """Probes between daemons.

    :param seeds: cluster addresses to contact first
    :param suspect_timeout_s: time from suspicion to death without a refutation
    """

    seeds: tuple[models.AddressText, ...] = ()
    probe_interval_s: Seconds = 1.0
    probe_timeout_s: Seconds = 0.5
    suspect_timeout_s: Seconds = 2.5
    max_connections: int = pydantic.Field(default=8, ge=1, le=64)


class KeysSection(_Section):
    """CURVE keys for connections between daemons, in Z85 text.

    :param peer_public: public keys of the daemons that may connect
    :param peers: one or several public keys by daemon name; such a key may be used for
        its daemons only, and no other key for these daemons
    """

    public: PublicKey
    secret: pydantic.SecretStr
    peer_public: tuple[PublicKey, ...] = ()
    peers: dict[models.Name, PublicKeys] = {}


class LimitsSection(_Section):
    """Bounds on what a daemon accepts.

    :param max_request_bytes: largest body of a call
    :param max_upload_bytes: largest input file of a batch job
    :param max_streams: online requests in flight or queued
    """

    max_request_bytes: int = pydantic.Field(default=4 << 20, gt=0)
    max_upload_bytes: int = pydantic.Field(default=200 << 20, gt=0)
    max_streams: int = pydantic.Field(default=2000, gt=0)
    max_connections: int = pydantic.Field(default=4000, gt=0)


class BatchSection(_Section):
    """How the daemon runs batch work.

    :param concurrent_items: items in flight in this daemon
    :param poll_interval_s: interval of polling the table service for work
    :param buffered_chunks: chunks whose results may wait for a commit
    """

    enabled: bool = True
    concurrent_items: int = pydantic.Field(default=256, ge=1, le=4096)
    poll_interval_s: Seconds = 1.0
    buffered_chunks: int = pydantic.Field(default=8, ge=1, le=64)


class RetentionSection(_Section):
    """Deletion of expired data; retention periods are in the configuration.

    :param interval_s: time between two sweeps of the same rows
    """

    enabled: bool = True
    interval_s: Seconds = 86_400.0


class OrdersSection(_Section):
    """Orders to the engines of a group; must be the same in all daemons.

    :param interval_s: time between two rounds
    :param call_timeout_s: limit for each wait of a call to an engine
    :param longest_term_s: longest session term of any daemon
    :param longest_order_s: time after which an order can no longer take effect
    :param silent_after_s: time without a response after which an engine is
        considered lost
    :param max_models: models that an engine has loaded at the same time
    :param max_loads: engines of a service that load concurrently
    :param max_demand_loads: concurrent loads that only demand requires
    :param fleet_loads: concurrent loads of all services, which share the rate of the
        weight store; each service gets an equal part, at least one
    :param max_reloading_share: share of a service's engines that reload concurrently
    :param residence_s: time that a model stays loaded before it may be unloaded
    :param fill_share: share of a replica's slots that demand should use
    :param hysteresis_share: a smaller relative change of demand is ignored
    :param fall_after_s: time that demand must stay lower before replicas are reduced
    """

    interval_s: Seconds = 2.0
    call_timeout_s: Seconds = 1.0
    longest_term_s: Seconds = 30.0
    longest_order_s: Seconds = 120.0
    silent_after_s: Seconds = 6.0
    max_models: int = pydantic.Field(default=2, ge=1, le=64)
    max_loads: int = pydantic.Field(default=4, ge=1, le=1024)
    max_demand_loads: int = pydantic.Field(default=2, ge=0, le=1024)
    fleet_loads: int = pydantic.Field(default=16, ge=1, le=4096)
    max_reloading_share: float = pydantic.Field(default=0.34, gt=0, le=1)
    residence_s: Seconds = 300.0
    fill_share: float = pydantic.Field(default=0.7, gt=0, le=1)
    hysteresis_share: float = pydantic.Field(default=0.25, ge=0, lt=1)
    fall_after_s: Seconds = 60.0

    @pydantic.field_validator("silent_after_s")
    @classmethod
    def _check_silent_after(cls, value: float, info: pydantic.ValidationInfo) -> float:
        interval_s = info.data.get("interval_s", 0.0)
        if value <= interval_s:
            raise ValueError(f"must be longer than interval_s, {interval_s:g}")
        return value

    @pydantic.field_validator("longest_order_s")
    @classmethod
    def _check_longest_order(cls, value: float, info: pydantic.ValidationInfo) -> float:
        call_timeout_s = info.data.get("call_timeout_s", 0.0)
        if value <= call_timeout_s:
            raise ValueError(f"must be longer than call_timeout_s, {call_timeout_s:g}")
        return value


class DrainSection(_Section):
    """Graceful shutdown.

    :param grace_s: time between reporting not ready and refusing new work, for the
        load balancer
    :param timeout_s: longest wait for requests in flight
    """

    grace_s: Seconds = 3.0
    timeout_s: Seconds = 300.0


class Settings(_Section):
    """The whole settings file."""

    daemon: DaemonSection
    platform: PlatformSection
    keys: KeysSection | None = None
    session: SessionSection = SessionSection()
    membership: MembershipSection = MembershipSection()
    limits: LimitsSection = LimitsSection()
    batch: BatchSection = BatchSection()
    orders: OrdersSection = OrdersSection()
    drain: DrainSection = DrainSection()
    retention: RetentionSection = RetentionSection()


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :param path: TOML file
    :raises exceptions.SettingsError: with all problems found
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise _make_error(path, "", error.strerror or str(error)) from error
    except UnicodeDecodeError as error:
        raise _make_error(path, "", f"not UTF-8 at byte {error.start}") from error
    except tomllib.TOMLDecodeError as error:
        raise _make_error(path, "", str(error)) from error
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        problems = [
            exceptions.InputProblem(
                str(path), ".".join(str(part) for part in item["loc"]), item["msg"]
            )
            for item in error.errors()
        ]
        raise exceptions.SettingsError(problems) from error


def _make_error(path: pathlib.Path, key: str, reason: str) -> exceptions.SettingsError:
    problem = exceptions.InputProblem(str(path), key, reason)
    return exceptions.SettingsError([problem])
