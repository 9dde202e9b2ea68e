"""Runs a cluster task and prints its session, revision and readiness."""

import json
import pathlib
import sys
import time

from endivevane import types
from endivevane.cluster import tasks
from endivevane.coordination import clock
from endivevane.daemon import settings as daemon_settings
from endivevane.external import http_pool, table

_INTERVAL_S = 0.02


def main():
    settings = daemon_settings.load_settings(pathlib.Path(sys.argv[1]))
    address = types.parse_address(settings.platform.table_service)
    client = table.TableClient(http_pool.HttpPool(address, http_pool.PoolSettings()))
    task = tasks.ClusterTask(settings, clock.SystemClock(), client)
    task.start()
    while True:
        # Taken first: all other values are read at or after it, even across a pause.
        at_s = time.monotonic()
        session = task.session()
        line = {
            "at_s": at_s,
            "epoch": session.epoch if session.is_valid else None,
            "revision": task.snapshot.revision,
            "members": len(task.members()),
            "is_ready": task.is_ready(),
        }
        print("act " + json.dumps(line), flush=True)
        time.sleep(_INTERVAL_S)


if __name__ == "__main__":
    main()
