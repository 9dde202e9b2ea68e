"""The ``endivevanectl`` command."""

from __future__ import annotations

import argparse
import http.client
import pathlib
import sys
from collections import abc

import endivevane
from endivevane import exceptions
from endivevane.ctl import (
    check_commands,
    client,
    config_commands,
    daemon_commands,
    exits,
    fleet_commands,
    job_commands,
    output,
    settings,
)

_EPILOG = """exit codes:
  0  done
  1  the call failed, or a strict check found warnings
  2  wrong usage
  3  a file or setting is invalid
  4  another publisher changed the same document
  5  the store, the table service or the daemons can't be reached
  6  published, but some zone has not confirmed it yet
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command."""
    parser = argparse.ArgumentParser(
        prog="endivevanectl",
        description="Publish configuration, inspect daemons and run batch jobs.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=endivevane.__version__)
    parser.add_argument(
        "--config",
        type=pathlib.Path,
        metavar="FILE",
        help=f"settings file in TOML; default: {settings.CONFIG_VARIABLE}",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    config_commands.add_parsers(commands)
    daemon_commands.add_parsers(commands)
    job_commands.add_parsers(commands)
    fleet_commands.add_parsers(commands)
    check_commands.add_parsers(commands)
    _add_output_option(commands)
    return parser


def _add_output_option(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
) -> None:
    """Accept ``--output`` after the command as well.

    Its default is suppressed, since it would override a value before the command.
    """
    for parser in commands.choices.values():
        nested = [
            action
            for action in parser._actions
            if isinstance(action, argparse._SubParsersAction)
        ]
        for action in nested:
            _add_output_option(action)
        if nested:
            continue
        parser.add_argument(
            "--output", choices=("text", "json"), default=argparse.SUPPRESS
        )


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run the command and return its exit code."""
    parsed = make_parser().parse_args(arguments)
    try:
        ctl_settings = settings.load_settings(parsed.config)
        code: exits.Exit = parsed.run(parsed, ctl_settings)
    except exceptions.InputError as error:
        output.print_error(error.format_message())
        return exits.Exit.INVALID_INPUT
    except (client.NoDaemonReachable, fleet_commands.StoreUnreachable) as error:
        output.print_error(error.format_message())
        return exits.Exit.UNAVAILABLE
    except exceptions.EndivevaneError as error:
        output.print_error(error.format_message())
        return exits.Exit.FAILED
    except http.client.HTTPException as error:
        output.print_error(f"the daemon's response is truncated: {error!r}; try again")
        return exits.Exit.UNAVAILABLE
    except BrokenPipeError:
        # The reader of the pipe has exited, for example `| head`.
        sys.stderr.close()
        return exits.Exit.OK
    return code


if __name__ == "__main__":
    sys.exit(main())
