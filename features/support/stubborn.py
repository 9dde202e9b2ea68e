"""A process that ignores SIGTERM, or exits with 3 if the argument is ``quit``."""

import signal
import sys
import time

if __name__ == "__main__":
    if sys.argv[1:] == ["quit"]:
        print("the reason for the end", flush=True)
        sys.exit(3)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    print("ready", flush=True)
    # Ends the process even if the test that started it does not.
    time.sleep(60)
