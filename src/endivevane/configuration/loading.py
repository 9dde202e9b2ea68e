"""Collect and validate the configuration files that operators write."""

from __future__ import annotations

import dataclasses
import pathlib
import tomllib
import typing
from collections import abc

import pydantic

from endivevane import exceptions
from endivevane.configuration import models

SUFFIX = ".endivevane.toml"


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedDocument:
    """A validated configuration file.

    :param key: document key, for example ``services/kernel-llm``
    :param file: path that the document was read from
    :param document: the validated content as a JSON object
    """

    key: str
    file: str
    document: dict[str, typing.Any]


def collect_files(roots: abc.Sequence[pathlib.Path]) -> list[pathlib.Path]:
    """Return the configuration files below the given folders, sorted by path.

    :param roots: folders, or single files, which may have any name
    :raises exceptions.ConfigurationError: when a root does not exist or has no file
    """
    files: set[pathlib.Path] = set()
    problems: list[exceptions.InputProblem] = []
    for root in roots:
        if root.is_file():
            files.add(root)
            continue
        found = set(root.rglob(f"*{SUFFIX}")) if root.is_dir() else set()
        if not found:
            reason = f"no file named *{SUFFIX} here"
            problems.append(exceptions.InputProblem(str(root), "", reason))
        files.update(found)
    if problems:
        raise exceptions.ConfigurationError(problems)
    return sorted(files)


def load_files(files: abc.Sequence[pathlib.Path]) -> dict[str, LoadedDocument]:
    """Read and validate files, and report all problems together.

    :returns: documents by key
    :raises exceptions.ConfigurationError: with all problems found
    """
    problems: list[exceptions.InputProblem] = []
    documents: dict[str, LoadedDocument] = {}
    for file in files:
        loaded = _load_file(file, problems)
        if loaded is None:
            continue
        earlier = documents.get(loaded.key)
        if earlier is not None:
            reason = f"{loaded.key} is also defined in {earlier.file}"
            problems.append(exceptions.InputProblem(str(file), "name", reason))
            continue
        documents[loaded.key] = loaded
    if problems:
        raise exceptions.ConfigurationError(problems)
    return documents


def _load_file(
    file: pathlib.Path, problems: list[exceptions.InputProblem]
) -> LoadedDocument | None:
    """Return one validated document, or add its problems to the list."""
    try:
        data = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or str(error)
        problems.append(exceptions.InputProblem(str(file), "", reason))
        return None
    except UnicodeDecodeError as error:
        reason = f"not UTF-8 at byte {error.start}"
        problems.append(exceptions.InputProblem(str(file), "", reason))
        return None
    except tomllib.TOMLDecodeError as error:
        problems.append(exceptions.InputProblem(str(file), "", str(error)))
        return None
    try:
        model = models.DOCUMENT_ADAPTER.validate_python(data)
    except pydantic.ValidationError as error:
        problems.extend(_convert_errors(str(file), error))
        return None
    document = model.model_dump(mode="json")
    return LoadedDocument(models.make_document_key(model), str(file), document)


def _convert_errors(
    file: str, error: pydantic.ValidationError
) -> list[exceptions.InputProblem]:
    problems = []
    for item in error.errors():
        # The first part of the location is the kind of document, not a key of the file.
        parts = [str(part) for part in item["loc"]]
        key = ".".join(parts[1:] if len(parts) > 1 else parts)
        problems.append(exceptions.InputProblem(file, key, item["msg"]))
    return problems


def check_references(
    documents: abc.Mapping[str, typing.Any], files: abc.Mapping[str, str]
) -> list[exceptions.InputProblem]:
    """Return the problems of references and names across documents.

    :param documents: all documents by key, as they would be after the publish
    :param files: source file by document key, for the messages
    """
    problems: list[exceptions.InputProblem] = []
    parsed = {
        key: models.DOCUMENT_ADAPTER.validate_python(document)
        for key, document in documents.items()
    }
    services = [
        (key, item)
        for key, item in sorted(parsed.items())
        if isinstance(item, models.ServiceModel)
    ]
    zones = _list_zones(parsed)
    model_owners: dict[str, str] = {}
    for key, service in services:
        file = files.get(key, key)
        for organisation in service.organisations:
            if f"organisations/{organisation}" not in parsed:
                reason = f"there is no organisation {organisation!r}"
                problems.append(exceptions.InputProblem(file, "organisations", reason))
        for target in service.targets:
            if target.zone not in zones:
                reason = f"there is no zone {target.zone!r} in the fleet document"
                location = f"targets.{target.name}.zone"
                problems.append(exceptions.InputProblem(file, location, reason))
        for model in service.models:
            owner = model_owners.setdefault(model.name, service.name)
            if owner != service.name:
                reason = f"model {model.name!r} is offered by service {owner!r} too"
                problems.append(exceptions.InputProblem(file, "models", reason))
    problems.extend(_check_keys(parsed, files))
    return problems


def _list_zones(parsed: abc.Mapping[str, typing.Any]) -> set[str]:
    fleet = parsed.get("fleet")
    if not isinstance(fleet, models.FleetModel):
        return set()
    return {zone.name for zone in fleet.zones}


def _check_keys(
    parsed: abc.Mapping[str, typing.Any], files: abc.Mapping[str, str]
) -> list[exceptions.InputProblem]:
    problems = []
    owners: dict[str, str] = {}
    for key, item in sorted(parsed.items()):
        if not isinstance(item, models.OrganisationModel):
            continue
        for api_key in item.keys:
            owner = owners.setdefault(api_key.sha256, item.name)
            if owner != item.name:
                reason = f"the key digest belongs to organisation {owner!r} too"
                location = f"keys.{api_key.id}"
                problems.append(
                    exceptions.InputProblem(files.get(key, key), location, reason)
                )
    return problems
