"""The settings file of a daemon."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Annotated, Literal

import pydantic

from endivevane import exceptions
from endivevane.configuration import models

Seconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]


class _Section(pydantic.BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DaemonSection(_Section):
    """Name, place and addresses of the daemon.

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
    log_level: Literal["debug", "info", "warning", "error"] = "info"


class PlatformSection(_Section):
    """Addresses of the platform's services and limits for calls to them.

    :param region: region in which the services run; empty for the daemon's own
    """

    region: str = ""
    table_service: models.AddressText
    object_store: models.AddressText
    vm_list: models.AddressText
    timeout_s: Seconds = 5.0


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
    :param peers: public keys by daemon name; such a key speaks for its daemons only,
        and nobody else speaks for these daemons
    """

    public: str = pydantic.Field(min_length=40, max_length=40)
    secret: pydantic.SecretStr
    peer_public: tuple[str, ...] = ()
    peers: dict[models.Name, tuple[str, ...]] = {}


class LimitsSection(_Section):
    """Bounds on what a daemon accepts.

    :param max_request_bytes: largest body of a call
    :param max_upload_bytes: largest input file of a batch job
    :param max_streams: online requests in flight or waiting
    """

    max_request_bytes: int = pydantic.Field(default=4 << 20, gt=0)
    max_upload_bytes: int = pydantic.Field(default=200 << 20, gt=0)
    max_streams: int = pydantic.Field(default=2000, gt=0)
    max_connections: int = pydantic.Field(default=4000, gt=0)


class BatchSection(_Section):
    """How the daemon runs batch work.

    :param concurrent_items: items in flight in this daemon
    :param poll_interval_s: time between looks for work in the table service
    :param buffered_chunks: chunks whose results may wait for a commit
    """

    enabled: bool = True
    concurrent_items: int = pydantic.Field(default=64, ge=1, le=1024)
    poll_interval_s: Seconds = 1.0
    buffered_chunks: int = pydantic.Field(default=8, ge=1, le=64)


class DrainSection(_Section):
    """The planned stop.

    :param grace_s: time between not ready and no new work, for the balancer
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
    drain: DrainSection = DrainSection()


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :param path: TOML file
    :raises exceptions.SettingsError: with every problem that was found
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
