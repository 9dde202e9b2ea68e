"""Configuration commands: validate, diff, publish and schema."""

from __future__ import annotations

import argparse
import difflib
import json
import pathlib
import sys
import time

import result
import tqdm

from endivevane import exceptions, types
from endivevane.configuration import loading, models, publishing
from endivevane.coordination import store
from endivevane.ctl import exits, output, settings
from endivevane.external import http_pool, table

_CONFIRM_POLL_S = 0.5


class MissingTableService(exceptions.EndivevaneError):
    """The settings have no address of the table service."""

    def format_message(self) -> str:
        """Return the setting that is missing."""
        return "set 'table_service' in the settings file (--config FILE)"


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the parsers of these commands."""
    validate = commands.add_parser("validate", help="check configuration files")
    validate.add_argument("paths", nargs="+", type=pathlib.Path, metavar="DIR")
    validate.set_defaults(run=run_validate)
    diff = commands.add_parser("diff", help="show what a publish would change")
    _add_change_arguments(diff)
    diff.set_defaults(run=run_diff)
    publish = commands.add_parser("publish", help="put configuration into force")
    _add_change_arguments(publish)
    publish.add_argument(
        "--exclude-zone",
        action="append",
        default=[],
        metavar="ZONE",
        help="do not wait for this zone; it applies the change when it is back",
    )
    publish.add_argument(
        "--wait-s",
        type=float,
        default=12.0,
        metavar="SECONDS",
        help="how long to wait for the zones to confirm; 0 does not wait",
    )
    publish.set_defaults(run=run_publish)
    schema = commands.add_parser("schema", help="print the JSON schema of the files")
    schema.set_defaults(run=run_schema)


def _add_change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("paths", nargs="*", type=pathlib.Path, metavar="DIR")
    parser.add_argument(
        "--remove",
        action="append",
        default=[],
        metavar="KEY",
        help="remove a document, for example services/kernel-llm",
    )


def run_validate(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Check files locally, without the table service or a daemon."""
    documents = loading.load_files(loading.collect_files(arguments.paths))
    rows = [{"key": key, "file": item.file} for key, item in sorted(documents.items())]
    if arguments.output == "json":
        output.print_json({"valid": True, "documents": rows})
    else:
        output.print_table(["key", "file"], rows)
    return exits.Exit.OK


def run_schema(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the JSON schema of the files, for editors."""
    schema = models.DOCUMENT_ADAPTER.json_schema()
    sys.stdout.write(json.dumps(schema, indent=2, sort_keys=True) + "\n")
    return exits.Exit.OK


def run_diff(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Show the difference between the files and the configuration in force."""
    change = _load_change(arguments)
    fetched = publishing.fetch_changes(open_store(ctl_settings))
    if isinstance(fetched, result.Err):
        return _report_store_error(fetched.err_value)
    base = fetched.ok_value
    keys = publishing.find_changed_keys(change, base)
    if arguments.output == "json":
        output.print_json({"revision": base.revision, "changed": keys})
        return exits.Exit.OK
    for key in keys:
        sys.stdout.writelines(_format_diff(key, change, base))
    if not keys:
        output.print_note(f"no difference from revision {base.revision}")
    return exits.Exit.OK


def run_publish(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Publish the files and wait until the zones have confirmed them."""
    change = _load_change(arguments)
    table_store = open_store(ctl_settings)
    fetched = publishing.fetch_changes(table_store)
    if isinstance(fetched, result.Err):
        return _report_store_error(fetched.err_value)
    base = fetched.ok_value
    keys = publishing.find_changed_keys(change, base)
    published = publishing.publish(table_store, change, base)
    if isinstance(published, result.Err):
        return _report_publish_error(published.err_value)
    documents = published.ok_value
    missing = _await_zones(table_store, documents, arguments)
    if isinstance(missing, result.Err):
        return _report_store_error(missing.err_value)
    return _report_publish(arguments, documents, keys, missing.ok_value)


def open_store(ctl_settings: settings.CtlSettings) -> store.TableStore:
    """Return a client of the table service.

    :raises MissingTableService: when the settings have no address for it
    """
    if ctl_settings.table_service is None:
        raise MissingTableService
    address = types.parse_address(ctl_settings.table_service)
    pool_settings = http_pool.PoolSettings(read_timeout_s=ctl_settings.timeout_s)
    return table.TableClient(http_pool.HttpPool(address, pool_settings))


def _load_change(arguments: argparse.Namespace) -> publishing.Change:
    loaded: dict[str, loading.LoadedDocument] = {}
    if arguments.paths:
        loaded = loading.load_files(loading.collect_files(arguments.paths))
    return publishing.Change(
        documents={key: item.document for key, item in loaded.items()},
        removed=tuple(arguments.remove),
        files={key: item.file for key, item in loaded.items()},
        excluded_zones=tuple(getattr(arguments, "exclude_zone", ())),
    )


def _format_diff(
    key: str, change: publishing.Change, base: publishing.Documents
) -> list[str]:
    before = base.documents[key].document if key in base.documents else None
    after = None if key in change.removed else change.documents[key]
    lines = [
        json.dumps(item, indent=2, sort_keys=True).splitlines(keepends=True)
        if item is not None
        else []
        for item in (before, after)
    ]
    in_force = f"{key} (revision {base.revision})"
    diff = difflib.unified_diff(lines[0], lines[1], in_force, f"{key} (files)")
    return [line if line.endswith("\n") else line + "\n" for line in diff]


def _await_zones(
    table_store: store.TableStore,
    documents: publishing.Documents,
    arguments: argparse.Namespace,
) -> result.Result[list[str], store.StoreError]:
    """Wait for the zones to confirm; return those that have not."""
    zones = _list_zones(documents) - set(arguments.exclude_zone)
    deadline_s = time.monotonic() + arguments.wait_s
    confirmed: dict[str, int] = {}
    is_quiet = arguments.output == "json" or not sys.stderr.isatty()
    with tqdm.tqdm(total=len(zones), desc="zones", disable=is_quiet) as progress:
        while True:
            confirmations = publishing.read_confirmations(table_store)
            if isinstance(confirmations, result.Ok):
                confirmed = confirmations.ok_value
            missing = sorted(
                zone for zone in zones if confirmed.get(zone, 0) < documents.revision
            )
            progress.update(len(zones) - len(missing) - progress.n)
            if not missing:
                break
            if time.monotonic() >= deadline_s:
                return result.Ok(missing)
            time.sleep(_CONFIRM_POLL_S)
    accepted = publishing.mark_accepted(table_store, documents, arguments.exclude_zone)
    if isinstance(accepted, result.Err):
        return accepted
    return result.Ok([])


def _list_zones(documents: publishing.Documents) -> set[str]:
    fleet = documents.documents.get("fleet")
    if fleet is None:
        return set()
    return {zone["name"] for zone in fleet.document["zones"]}


def _report_publish(
    arguments: argparse.Namespace,
    documents: publishing.Documents,
    keys: list[str],
    missing: list[str],
) -> exits.Exit:
    is_accepted = not missing
    if arguments.output == "json":
        output.print_json(
            {
                "revision": documents.revision,
                "changed": keys,
                "accepted": is_accepted,
                "unconfirmed_zones": missing,
                "excluded_zones": list(arguments.exclude_zone),
            }
        )
    else:
        changed = ", ".join(keys) or "nothing"
        sys.stdout.write(f"revision {documents.revision}: changed {changed}\n")
    if is_accepted:
        return exits.Exit.OK
    output.print_error(
        f"revision {documents.revision} is written but not accepted: no confirmation "
        f"from {', '.join(missing)}; those zones may serve the old revision. Run the "
        "same command again to wait longer, or exclude them with --exclude-zone"
    )
    return exits.Exit.NOT_CONFIRMED


def _report_store_error(error: store.StoreError) -> exits.Exit:
    output.print_error(f"{error.format_message()}; nothing is known to have changed")
    return exits.Exit.UNAVAILABLE


def _report_publish_error(error: exceptions.EndivevaneError) -> exits.Exit:
    if isinstance(error, exceptions.PublishConflict):
        output.print_error(error.format_message())
        return exits.Exit.CONFLICT
    if isinstance(error, exceptions.ConfigurationError):
        output.print_error(error.format_message())
        return exits.Exit.INVALID_INPUT
    if isinstance(error, store.StoreOutcomeUnknown):
        output.print_error(f"{error.format_message()}; run 'endivevanectl diff'")
        return exits.Exit.UNAVAILABLE
    output.print_error(f"{error.format_message()}; nothing was published")
    return exits.Exit.UNAVAILABLE
