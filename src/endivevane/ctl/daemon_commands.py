"""Commands on a daemon: status, services, targets, drain and explain."""

from __future__ import annotations

import argparse
import typing
from collections import abc

from endivevane import exceptions
from endivevane.ctl import client, exits, output, settings

_SERVICE_COLUMNS = ("name", "type", "models", "organisations", "targets")
_TARGET_COLUMNS = (
    "name",
    "service",
    "zone",
    "address",
    "state",
    "running",
    "waiting",
    "slots",
)
_EVENT_COLUMNS = ("time", "event", "detail")


class MissingKey(exceptions.EndivevaneError):
    """Neither the settings nor the environment have an API key for the command.

    :param variable: environment variable for the key
    """

    def __init__(self, variable: str) -> None:
        super().__init__()
        self.variable = variable

    def format_message(self) -> str:
        """Return where the key can be set."""
        return f"no API key: set {self.variable} or the key in the settings file"


def add_parsers(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Add the parsers of these commands."""
    status = commands.add_parser("status", help="show a daemon and its members")
    status.set_defaults(run=run_status)
    services = commands.add_parser("services", help="list the services in force")
    services.set_defaults(run=run_services)
    targets = commands.add_parser("targets", help="list targets and their load")
    targets.add_argument("--service", help="only this service")
    targets.set_defaults(run=run_targets)
    drain = commands.add_parser("drain", help="finish a daemon's requests and stop it")
    drain.add_argument("daemon", help="address of the daemon, host:port")
    drain.set_defaults(run=run_drain)
    explain = commands.add_parser("explain", help="show what happened to a request")
    explain.add_argument("request_id")
    explain.set_defaults(run=run_explain)


def open_operator_client(ctl_settings: settings.CtlSettings) -> client.DaemonClient:
    """Return a client with the operator key.

    :raises MissingKey: when there is none
    """
    if ctl_settings.operator_key is None:
        raise MissingKey(settings.OPERATOR_KEY_VARIABLE)
    return client.DaemonClient(
        ctl_settings, ctl_settings.operator_key.get_secret_value()
    )


def run_status(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the state of one daemon and its view of the membership."""
    status = open_operator_client(ctl_settings).call("GET", "/admin/status")

    def print_text(value: dict[str, typing.Any]) -> None:
        members = value.pop("members")
        output.print_fields(value)
        output.print_table(("name", "zone", "region", "state"), members)

    return _print(arguments, status, print_text)


def run_services(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the services of the configuration in force."""
    value = open_operator_client(ctl_settings).call("GET", "/admin/services")
    return _print(
        arguments,
        value,
        lambda item: output.print_table(_SERVICE_COLUMNS, item["services"]),
    )


def run_targets(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the targets with their latest load reports."""
    value = open_operator_client(ctl_settings).call("GET", "/admin/targets")
    if arguments.service:
        value["targets"] = [
            row for row in value["targets"] if row["service"] == arguments.service
        ]
    return _print(
        arguments,
        value,
        lambda item: output.print_table(_TARGET_COLUMNS, item["targets"]),
    )


def run_drain(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Tell one daemon to finish its requests and stop."""
    daemon_settings = ctl_settings.model_copy(update={"daemons": (arguments.daemon,)})
    value = open_operator_client(daemon_settings).call("POST", "/admin/drain")
    return _print(arguments, value, output.print_fields)


def run_explain(
    arguments: argparse.Namespace, ctl_settings: settings.CtlSettings
) -> exits.Exit:
    """Print the events that the serving daemon recorded for a request."""
    last_error: client.CallFailed | None = None
    for address in ctl_settings.daemons:
        daemon_settings = ctl_settings.model_copy(update={"daemons": (address,)})
        try:
            value = open_operator_client(daemon_settings).call(
                "GET", f"/admin/explain/{arguments.request_id}"
            )
        except client.NoDaemonReachable:
            continue
        except client.CallFailed as error:
            last_error = error
            continue
        return _print(
            arguments,
            value,
            lambda item: output.print_table(_EVENT_COLUMNS, item["events"]),
        )
    if last_error is not None:
        raise last_error
    raise client.NoDaemonReachable(list(ctl_settings.daemons))


def _print(
    arguments: argparse.Namespace,
    value: typing.Any,
    print_text: abc.Callable[[typing.Any], None],
) -> exits.Exit:
    if arguments.output == "json":
        output.print_json(value)
    else:
        print_text(value)
    return exits.Exit.OK
