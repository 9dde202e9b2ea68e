"""The ``endivevaned`` daemon."""

from __future__ import annotations

import argparse
import pathlib
import signal
import sys
from collections import abc

import endivevane
from endivevane import exceptions, logs
from endivevane.coordination import clock
from endivevane.daemon import settings, wiring

_EXIT_INVALID = 3
_EXIT_CUT = 1


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's arguments."""
    parser = argparse.ArgumentParser(
        prog="endivevaned",
        description="Serve online and batch requests over a shared fleet.",
        epilog="exit codes: 0 stopped as planned, 1 stopped with requests cut, "
        "2 wrong usage, 3 invalid settings",
    )
    parser.add_argument("--version", action="version", version=endivevane.__version__)
    parser.add_argument(
        "--config", required=True, type=pathlib.Path, metavar="FILE", help="settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    return parser


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run the daemon until SIGTERM, SIGINT or an operator's drain."""
    parsed = make_parser().parse_args(arguments)
    try:
        daemon_settings = settings.load_settings(parsed.config)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"error: {error.format_message()}\n")
        return _EXIT_INVALID
    if parsed.check:
        return 0
    logs.configure(daemon_settings.daemon.log_level)
    daemon = wiring.Daemon(daemon_settings, clock.SystemClock())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: daemon.request_stop())
    daemon.start()
    daemon.wait_stop_requested()
    return 0 if daemon.run_planned_stop() else _EXIT_CUT


if __name__ == "__main__":
    sys.exit(main())
