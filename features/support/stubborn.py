"""A process that ignores SIGTERM; with the argument ``quit`` it ends at once."""

import signal
import sys
import time

if __name__ == "__main__":
    if sys.argv[1:] == ["quit"]:
        print("the reason for the end", flush=True)
        sys.exit(3)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    print("ready", flush=True)
    # The bound ends the process even if the test that started it fails to.
    time.sleep(60)
