"""The settings file of the daemon on the platform."""

from __future__ import annotations

import pathlib
import tomllib
import typing

import pydantic

from endivevane import exceptions, types
from endivevane.locality import settings as locality_settings
from endivevane.organisations import settings as organisation_settings
from endivevane.quotas import settings as quota_settings
from endivevane.serving import client_settings, memory_budget

Port = typing.Annotated[int, pydantic.Field(gt=0, lt=65536)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86_400)]


def _check_address(value: str) -> str:
    types.parse_address(value)
    return value


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]


class _Section(pydantic.BaseModel):
    """Base of all sections; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class VmSection(_Section):
    """Name, location and size of the VM.

    :param core_share: share of a core that the daemon has
    :param core_speed: speed of that core relative to the standard one
    :param memory_mb: memory that the daemon may use
    """

    name: typing.Annotated[str, pydantic.Field(min_length=1)]
    ip: typing.Annotated[str, pydantic.Field(min_length=1)]
    availability_zone: str
    region: str
    core_share: typing.Annotated[float, pydantic.Field(gt=0)] = 1.0
    core_speed: typing.Annotated[float, pydantic.Field(gt=0)] = 1.0
    memory_mb: typing.Annotated[int, pydantic.Field(gt=0)] = (
        memory_budget.DEFAULT_MEMORY_BYTES >> 20
    )

    @property
    def memory_bytes(self) -> int:
        """Memory that the daemon may use."""
        return self.memory_mb << 20

    @property
    def processor_share(self) -> float:
        """Processor share of the daemon in cores of standard speed."""
        return self.core_share * self.core_speed


class ListenSection(_Section):
    """Addresses of the daemon.

    :param clients: where clients connect
    :param readiness: where the platform checks readiness
    :param internal_port: for other daemons, TCP and UDP
    :param metrics_port: where metrics are exposed
    """

    clients: AddressText
    readiness: AddressText
    internal_port: Port
    metrics_port: Port = 9464


class StoreSection(_Section):
    """The platform's store."""

    address: AddressText


class PeersSection(_Section):
    """Discovery of other daemons before their rows are read from the store.

    :param seeds: addresses of some daemons, which may be stale
    """

    seeds: tuple[AddressText, ...] = ()


class StoppingSection(_Section):
    """Graceful shutdown.

    :param grace_s: time from SIGTERM until the process is killed
    """

    grace_s: Seconds = 8.0


class RetentionSection(_Section):
    """Retention of finished batch jobs.

    :param job_s: time after submission
    """

    job_s: Seconds = 120.0


class LogSection(_Section):
    """Logging."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class Settings(_Section):
    """The complete settings file.

    :param regions: region of each availability zone
    """

    vm: VmSection
    listen: ListenSection
    store: StoreSection
    regions: dict[str, str] = {}
    peers: PeersSection = PeersSection()
    stopping: StoppingSection = StoppingSection()
    retention: RetentionSection = RetentionSection()
    log: LogSection = LogSection()
    keys: organisation_settings.KeysSection = organisation_settings.KeysSection()
    quotas: quota_settings.QuotasSection = quota_settings.QuotasSection()
    locality: locality_settings.LocalitySection = locality_settings.LocalitySection()
    clients: client_settings.ClientsSection = client_settings.ClientsSection()


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :raises exceptions.SettingsError: with every problem found
    """
    file = str(path)
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = exceptions.InputProblem(file, "", str(error))
        raise exceptions.SettingsError([problem]) from error
    try:
        return Settings.model_validate(content)
    except pydantic.ValidationError as error:
        problems = [
            exceptions.InputProblem(
                file, ".".join(str(part) for part in item["loc"]), item["msg"]
            )
            for item in error.errors()
        ]
        raise exceptions.SettingsError(problems) from error
