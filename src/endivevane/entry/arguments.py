"""Arguments of the daemon; imports little, since they are read before all else."""

from __future__ import annotations

import argparse
import os
import pathlib

import endivevane

_SETTINGS_VARIABLE = "ENDIVEVANE_SETTINGS"


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Return the arguments: ``config``, the settings file, and ``check``.

    Exits with status 2 where they are wrong.
    """
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
    parsed = parser.parse_args(arguments)
    if parsed.config is None:
        parser.error(f"--config or {_SETTINGS_VARIABLE} must name a settings file")
    parsed.config = pathlib.Path(parsed.config)
    return parsed
