"""The ``endivevane-entry`` daemon, which serves clients on the platform."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import sys

from endivevane import exceptions, logs
from endivevane.entry import allocation, event_loop, settings, wiring

_EXIT_INVALID = 3
_STDOUT = 1


def main(
    path: pathlib.Path, is_check: bool = False, listener: socket.socket | None = None
) -> int:
    """Run the daemon until SIGTERM or SIGINT.

    :param path: settings file
    :param is_check: whether to check the settings only
    :param listener: listener for clients, ``None`` if the daemon has to open it
    """
    try:
        loaded = settings.load_settings(path)
    except exceptions.SettingsError as error:
        sys.stderr.write(f"error: {error.format_message()}\n")
        return _EXIT_INVALID
    if is_check:
        return 0
    logs.configure(loaded.log.level, logs.NonBlockingStream(_STDOUT))
    allocation.return_large_blocks()
    with asyncio.Runner(loop_factory=event_loop.make_loop) as runner:
        runner.run(wiring.EntryDaemon(path, loaded).run(listener))
    return 0
