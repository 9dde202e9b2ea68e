"""Command-line entry point of the ``endivevaned`` daemon."""

from __future__ import annotations

import argparse
import pathlib
import signal
import sys
import types
from collections import abc

import endivevane
from endivevane import exceptions, logs
from endivevane.coordination import clock
from endivevane.daemon import reloading, settings, wiring

_EXIT_INVALID = 3
_EXIT_ABORTED = 1
# A bounded wait lets the main thread run pending signal handlers.
_SIGNAL_CHECK_S = 0.5


class _ReloadRequest:
    """A flag that the SIGHUP handler sets without taking a lock."""

    def __init__(self) -> None:
        self._is_set = False

    def request(self, _number: int, _frame: types.FrameType | None) -> None:
        """Set the flag; the handler of SIGHUP."""
        self._is_set = True

    def clear(self) -> bool:
        """Clear the flag and return its former value.

        A signal that arrives after this call is reported by the next one.
        """
        was_set, self._is_set = self._is_set, False
        return was_set


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
    """Run the daemon until SIGTERM, SIGINT or an operator's drain request."""
    parsed = make_parser().parse_args(arguments)
    try:
        daemon_settings = settings.load_settings(parsed.config)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"error: {error.format_message()}\n")
        return _EXIT_INVALID
    if parsed.check:
        return 0
    logs.configure(daemon_settings.daemon.log_level)
    reload_request = _ReloadRequest()
    signal.signal(signal.SIGHUP, reload_request.request)
    daemon = wiring.Daemon(daemon_settings, clock.SystemClock())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda _number, _frame: daemon.request_stop())
    daemon.start()
    reload = reloading.SettingsReload(
        parsed.config, daemon_settings, daemon.cluster.replace_keys
    )
    while not daemon.wait_stop_requested(_SIGNAL_CHECK_S):
        if reload_request.clear():
            reload.run()
    return 0 if daemon.run_planned_stop() else _EXIT_ABORTED


if __name__ == "__main__":
    sys.exit(main())
