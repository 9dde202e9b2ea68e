"""Start of the daemon, which must outlive the signals that may come meanwhile."""

from __future__ import annotations

import importlib
import signal
import sys

from endivevane.entry import arguments, early_listener


def main() -> int:
    """Run the daemon; SIGHUP is ignored until it follows its settings file.

    A change of the file meanwhile is noticed without the signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    parsed = arguments.parse()
    listener = None if parsed.check else early_listener.open_listener(parsed.config)
    # The import takes most of the time of a start.
    daemon = importlib.import_module("endivevane.entry.main")
    return int(daemon.main(parsed.config, parsed.check, listener))


if __name__ == "__main__":
    sys.exit(main())
