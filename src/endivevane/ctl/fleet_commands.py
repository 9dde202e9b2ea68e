"""Commands that inspect a deployment through its store and its daemons' logs."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import typing
from collections import abc

from endivevane import exceptions, types
from endivevane.ctl import exits, log_search, output, settings
from endivevane.entry import inspection
from endivevane.entry import settings as entry_settings
from endivevane.platform import records
from endivevane.serving import failures

_MEMBER_COLUMNS = ("name", "region", "address", "incarnation")
_TARGET_COLUMNS = ("name", "service", "zone", "address", "slots", "state", "problem")
_ROUTE_COLUMNS = (
    "name",
    "host",
    "prefix",
    "kind",
    "services",
    "timeout_s",
    "objective_s",
    "attempts",
)
_JOB_COLUMNS = (
    "job_id",
    "route",
    "state",
    "owner",
    "listed",
    "total",
    "due_in_s",
    "failed_runs",
)
_QUARANTINE_COLUMNS = ("traits", "tries", "age_s", "retry_in_s")
_LINE_COLUMNS = ("time_s", "source", "event", "detail")

_Views = abc.Sequence[typing.Any]


class StoreUnreachable(exceptions.EndivevaneError):
    """The platform's store does not answer.

    :param address: address that was tried
    :param cause: error of the attempt
    """

    def __init__(self, address: str, cause: str) -> None:
        super().__init__()
        self.address = address
        self.cause = cause

    def format_message(self) -> str:
        """Return the address, the cause and a remedy."""
        return (
            f"the store at {self.address} does not answer: {self.cause}; check the "
            "address, which the daemons' settings hold as store.address, and try again"
        )


class NoMatchingLines(exceptions.EndivevaneError):
    """No log line refers to the request, job or item.

    :param subject: id that was searched for
    """

    def __init__(self, subject: str) -> None:
        super().__init__()
        self.subject = subject

    def format_message(self) -> str:
        """Return the id and a remedy."""
        return (
            f"no line names {self.subject}: pass the logs of all daemons of the region "
            "at that time; lines are rate-limited, left_out counts those omitted"
        )


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the parsers of these commands."""
    fleet = commands.add_parser(
        "fleet", help="inspect a deployment through its store and logs"
    )
    nested = fleet.add_subparsers(dest="fleet", required=True, metavar="COMMAND")
    for name, text, run in (
        ("members", "list the daemons", run_members),
        ("targets", "list the registered targets", run_targets),
        ("routes", "list the routes in force", run_routes),
        ("jobs", "list the batch jobs, by due time", run_jobs),
        ("quarantines", "list what is refused as crashing targets", run_quarantines),
    ):
        parser = nested.add_parser(name, help=text)
        parser.add_argument(
            "--store",
            required=True,
            type=types.parse_address,
            metavar="HOST:PORT",
            help="address of the store",
        )
        if run is run_jobs:
            parser.add_argument("--open", action="store_true", help="only open jobs")
        parser.set_defaults(run=run)
    explain = nested.add_parser(
        "explain", help="search logs for a request, a job or an item"
    )
    explain.add_argument("subject", help="id of the request, job or item")
    explain.add_argument("logs", nargs="+", type=pathlib.Path, help="daemons' logs")
    explain.set_defaults(run=run_explain)
    check = nested.add_parser("check", help="check settings or a configuration")
    check.add_argument("--settings", type=pathlib.Path, metavar="FILE")
    check.add_argument("--configuration", type=pathlib.Path, metavar="FILE")
    check.set_defaults(run=run_check)


def run_members(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the daemons that are registered in the store."""
    coroutine = open_reader(arguments.store).read_members()
    return _print_views(arguments, _MEMBER_COLUMNS, read(arguments.store, coroutine))


def run_targets(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the registered targets."""
    coroutine = open_reader(arguments.store).read_targets()
    return _print_views(arguments, _TARGET_COLUMNS, read(arguments.store, coroutine))


def run_routes(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the version and the routes of the configuration in force."""
    coroutine = open_reader(arguments.store).read_configuration()
    configuration = read(arguments.store, coroutine)
    if configuration is None:
        output.print_note("the store has no configuration yet")
        return exits.Exit.FAILED
    output.print_note(f"configuration version {configuration.version}")
    views = [inspection.view_route(route) for route in configuration.routes]
    return _print_views(arguments, _ROUTE_COLUMNS, views)


def run_jobs(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the batch jobs in order of their due times."""
    found = read(arguments.store, open_reader(arguments.store).read_jobs())
    if arguments.open:
        found = [view for view in found if view.state == "open"]
    return _print_views(arguments, _JOB_COLUMNS, found)


def run_quarantines(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the traits of requests that are refused since they crash targets."""
    found = read(arguments.store, open_reader(arguments.store).read_quarantines())
    return _print_views(arguments, _QUARANTINE_COLUMNS, found)


def run_explain(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Print the log lines about a request, job or item in chronological order."""
    lines = log_search.search(arguments.logs, arguments.subject)
    if not lines:
        raise NoMatchingLines(arguments.subject)
    if arguments.output == "json":
        output.print_json([dataclasses.asdict(line) for line in lines])
        return exits.Exit.OK
    rows = [
        {
            "time_s": f"{line.time_s:.3f}",
            "source": line.source,
            "event": line.event,
            "detail": " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name not in ("event", "level")
            ),
        }
        for line in lines
    ]
    output.print_table(_LINE_COLUMNS, rows)
    return exits.Exit.OK


def run_check(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Validate files as a daemon does, and report problems."""
    if arguments.settings is None and arguments.configuration is None:
        output.print_error("name a file with --settings or --configuration")
        return exits.Exit.USAGE
    if arguments.settings is not None:
        entry_settings.load_settings(arguments.settings)
        output.print_note(f"{arguments.settings}: the settings are valid")
    if arguments.configuration is not None:
        _check_configuration(arguments.configuration)
    return exits.Exit.OK


def _check_configuration(path: pathlib.Path) -> None:
    """Decode a configuration file in the format of the store.

    :raises exceptions.SettingsError: when it can't be read or is invalid
    """
    try:
        configuration = records.decode_configuration(path.read_bytes())
    except (OSError, exceptions.ProtocolError) as error:
        problem = exceptions.InputProblem(str(path), "", str(error))
        raise exceptions.SettingsError([problem]) from error
    output.print_note(
        f"{path}: version {configuration.version} with {len(configuration.routes)} "
        "routes is valid"
    )


def open_reader(address: types.Address) -> inspection.FleetReader:
    """Return a reader of the store at an address."""
    return inspection.FleetReader(address.host, address.port)


_T = typing.TypeVar("_T")


def read(
    address: types.Address, coroutine: abc.Coroutine[typing.Any, typing.Any, _T]
) -> _T:
    """Run a read of the store.

    :raises StoreUnreachable: when it does not answer
    """
    try:
        return asyncio.run(coroutine)
    except failures.StoreFailure as error:
        raise StoreUnreachable(f"{address.host}:{address.port}", error.cause) from error


def _print_views(
    arguments: argparse.Namespace, columns: abc.Sequence[str], views: _Views
) -> exits.Exit:
    rows = [dataclasses.asdict(view) for view in views]
    if arguments.output == "json":
        output.print_json(rows)
    else:
        output.print_table(columns, rows)
    return exits.Exit.OK
