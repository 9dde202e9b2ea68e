"""Settings of the command, from a TOML file and the environment."""

from __future__ import annotations

import os
import pathlib
import tomllib
import typing

import pydantic

from endivevane import exceptions
from endivevane.configuration import models

CONFIG_VARIABLE = "ENDIVEVANECTL_CONFIG"
OPERATOR_KEY_VARIABLE = "ENDIVEVANE_OPERATOR_KEY"
CALLER_KEY_VARIABLE = "ENDIVEVANE_API_KEY"


class CtlSettings(pydantic.BaseModel):
    """Addresses, API keys and timeout of the command.

    :param table_service: address of the platform's table service
    :param daemons: addresses of daemons; the first that can be reached is used
    :param operator_key: API key for commands that query or control daemons
    :param caller_key: API key for job commands
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    table_service: models.AddressText | None = None
    daemons: tuple[models.AddressText, ...] = ()
    operator_key: pydantic.SecretStr | None = None
    caller_key: pydantic.SecretStr | None = None
    timeout_s: float = pydantic.Field(default=10.0, gt=0)


def load_settings(path: pathlib.Path | None) -> CtlSettings:
    """Read the settings file and let the environment override its keys.

    :param path: TOML file; ``None`` for the file that the environment names, if any
    :raises exceptions.SettingsError: with all problems found
    """
    if path is None and os.environ.get(CONFIG_VARIABLE):
        path = pathlib.Path(os.environ[CONFIG_VARIABLE])
    data: dict[str, typing.Any] = _read(path) if path is not None else {}
    for variable, key in (
        (OPERATOR_KEY_VARIABLE, "operator_key"),
        (CALLER_KEY_VARIABLE, "caller_key"),
    ):
        if os.environ.get(variable):
            data[key] = os.environ[variable]
    try:
        return CtlSettings.model_validate(data)
    except pydantic.ValidationError as error:
        problems = [
            exceptions.InputProblem(
                str(path or "environment"),
                ".".join(str(part) for part in item["loc"]),
                item["msg"],
            )
            for item in error.errors()
        ]
        raise exceptions.SettingsError(problems) from error


def _read(path: pathlib.Path) -> dict[str, typing.Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        reason = str(error)
    raise exceptions.SettingsError([exceptions.InputProblem(str(path), "", reason)])
