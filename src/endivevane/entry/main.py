"""The ``endivevane-entry`` daemon, which serves clients on the platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import pathlib
import sys
from collections import abc

import endivevane
from endivevane import exceptions, logs
from endivevane.entry import allocation, event_loop, settings, wiring

_EXIT_INVALID = 3
_SETTINGS_VARIABLE = "ENDIVEVANE_SETTINGS"
_STDOUT = 1


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's arguments."""
    parser = argparse.ArgumentParser(
        prog="endivevane-entry",
        description="Serve clients on the platform.",
        epilog="exit codes: 0 stopped as planned, 2 wrong usage, 3 invalid settings",
    )
    parser.add_argument("--version", action="version", version=endivevane.__version__)
    parser.add_argument(
        "--config",
        type=pathlib.Path,
        metavar="FILE",
        default=os.environ.get(_SETTINGS_VARIABLE),
        help=f"settings; the variable {_SETTINGS_VARIABLE} names them by default",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and exit"
    )
    return parser


def main(arguments: abc.Sequence[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT."""
    parser = make_parser()
    parsed = parser.parse_args(arguments)
    if parsed.config is None:
        parser.error(f"--config or {_SETTINGS_VARIABLE} must name a settings file")
    path = pathlib.Path(parsed.config)
    try:
        loaded = settings.load_settings(path)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"error: {error.format_message()}\n")
        return _EXIT_INVALID
    if parsed.check:
        return 0
    logs.configure(loaded.log.level, logs.NonBlockingStream(_STDOUT))
    allocation.return_large_blocks()
    with asyncio.Runner(loop_factory=event_loop.make_loop) as runner:
        runner.run(_serve(path, loaded))
    return 0


async def _serve(path: pathlib.Path, loaded: settings.Settings) -> None:
    await wiring.EntryDaemon(path, loaded).run()


if __name__ == "__main__":
    sys.exit(main())
