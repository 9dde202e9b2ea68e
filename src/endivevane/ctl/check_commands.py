"""Command that checks a configuration of the daemons before it is submitted."""

from __future__ import annotations

import argparse
import collections
import dataclasses
import pathlib
import sys
import typing

from endivevane import exceptions, types
from endivevane.configuration_check import check, differences, findings
from endivevane.ctl import exits, fleet_commands, output, settings
from endivevane.platform import configuration_entries

_FINDING_COLUMNS = ("severity", "line", "key", "rule", "message")
_DIFFERENCE_COLUMNS = ("change", "entry", "field", "before", "after")
# A configuration fits into one row of the store.
_MAX_FILE_BYTES = 4 << 20


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the parsers of these commands."""
    config = commands.add_parser("config", help="work on the daemons' configuration")
    # dest differs from "config", which the option --config uses.
    nested = config.add_subparsers(
        dest="config_command", required=True, metavar="COMMAND"
    )
    parser = nested.add_parser(
        "check", help="find errors, entries without effect and contradicting limits"
    )
    parser.add_argument("file", type=pathlib.Path, metavar="FILE")
    parser.add_argument(
        "--store",
        type=types.parse_address,
        metavar="HOST:PORT",
        help="show the differences from the version in force in this store",
    )
    parser.add_argument(
        "--largest-job-tokens",
        type=int,
        default=0,
        metavar="TOKENS",
        help="tokens of the largest job that batch routes should accept",
    )
    parser.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )
    parser.set_defaults(run=run_check)


def run_check(
    arguments: argparse.Namespace, _settings: settings.CtlSettings
) -> exits.Exit:
    """Check a configuration file, and compare it with the version in force.

    :raises exceptions.ConfigurationError: when the file can't be read
    """
    content = _read_file(arguments.file)
    surroundings, found = _find_surroundings(arguments)
    configuration, problems = configuration_entries.decode(content)
    found += problems
    changes: tuple[differences.Difference, ...] = ()
    if configuration is not None:
        report = check.check(configuration, surroundings)
        found += report.findings
        changes = report.differences
    report = check.Report(tuple(findings.sort_by_place(found)), changes)
    _print_report(arguments, report, surroundings)
    if report.has_errors:
        return exits.Exit.INVALID_INPUT
    if report.findings and arguments.strict:
        return exits.Exit.FAILED
    return exits.Exit.OK


def _read_file(path: pathlib.Path) -> bytes:
    """Return the content of a file.

    :raises exceptions.ConfigurationError: when it can't be read
    """
    try:
        with path.open("rb") as file:
            content = file.read(_MAX_FILE_BYTES + 1)
        reason = "" if len(content) <= _MAX_FILE_BYTES else "larger than 4 MB"
    except OSError as error:
        reason = error.strerror or str(error)
    if reason:
        problem = exceptions.InputProblem(str(path), "", reason)
        raise exceptions.ConfigurationError([problem])
    return content


def _find_surroundings(
    arguments: argparse.Namespace,
) -> tuple[check.Surroundings, list[findings.Finding]]:
    """Return what is known of the deployment, and what is wrong with it."""
    known = check.Surroundings(largest_job_tokens=arguments.largest_job_tokens)
    address = arguments.store
    if address is None:
        return known, []
    content = fleet_commands.read(
        address, fleet_commands.open_reader(address).read_configuration_content()
    )
    targets = fleet_commands.read(
        address, fleet_commands.open_reader(address).read_targets()
    )
    most_slots: dict[str, int] = collections.defaultdict(int)
    for target in targets:
        most_slots[target.service] = max(most_slots[target.service], target.slots)
    known = dataclasses.replace(known, most_slots=most_slots)
    if content is None:
        output.print_note("the store has no configuration yet")
        return known, []
    in_force, problems = configuration_entries.decode(content)
    if in_force is not None:
        return dataclasses.replace(known, in_force=in_force), []
    reason = problems[-1].message if problems else "no entries"
    finding = findings.Finding(
        findings.Rule.IN_FORCE_UNREADABLE,
        findings.Place("", 0),
        f"the configuration in force can't be compared: {reason}",
    )
    return known, [finding]


def _print_report(
    arguments: argparse.Namespace,
    report: check.Report,
    surroundings: check.Surroundings,
) -> None:
    found = [_view_finding(finding) for finding in report.findings]
    changes = [dataclasses.asdict(change) for change in report.differences]
    in_force = surroundings.in_force
    if arguments.output == "json":
        output.print_json(
            {
                "file": str(arguments.file),
                "valid": not report.has_errors,
                "findings": found,
                "version_in_force": None if in_force is None else in_force.version,
                "differences": changes,
            }
        )
        return
    if found:
        output.print_table(_FINDING_COLUMNS, found)
    if changes:
        if found:
            sys.stdout.write("\n")
        output.print_table(_DIFFERENCE_COLUMNS, changes)
    if in_force is not None:
        count = len(changes) or "no"
        output.print_note(f"{count} differences from version {in_force.version}")
    if not found:
        output.print_note(f"{arguments.file}: no problems found")


def _view_finding(finding: findings.Finding) -> dict[str, typing.Any]:
    return {
        "severity": finding.severity.value,
        "line": finding.place.line or None,
        "key": finding.place.key or None,
        "rule": finding.rule.value,
        "message": finding.message,
    }
