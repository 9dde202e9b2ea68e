"""Runs several cluster tasks in one process and reports on them every half second."""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import random
import sys
import threading
import time
from collections import abc

import psutil

from endivevane import types
from endivevane.cluster import events, tasks
from endivevane.coordination import clock
from endivevane.daemon import settings as daemon_settings
from endivevane.external import http_pool, table

_REPORT_S = 0.5


class RevisionTimes:
    """When each revision came into force in the members of this process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.counts: dict[int, int] = {}
        self.last_s: dict[int, float] = {}

    def record(self, event: events.Event) -> None:
        """Take note of a configuration change."""
        if not isinstance(event, events.ConfigurationChanged):
            return
        revision = event.snapshot.revision
        with self._lock:
            self.counts[revision] = self.counts.get(revision, 0) + 1
            self.last_s[revision] = time.monotonic()


def main() -> None:
    """Run the members of a plan until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plan", type=pathlib.Path)
    plan = json.loads(parser.parse_args().plan.read_text())
    process = psutil.Process()
    times = RevisionTimes()
    base_bytes = process.memory_info().rss
    members = [_make_task(document, times) for document in plan["members"]]
    for member in members:
        member.start()
        time.sleep(plan["start_gap_s"])
    while True:
        time.sleep(_REPORT_S)
        counts = [member.transport.counts for member in members]
        known = [len(member.members()) for member in members]
        messages = [sum(item.messages.values()) for item in counts]
        line = {
            "at_s": time.monotonic(),
            "cpu_s": time.process_time(),
            "base_bytes": base_bytes,
            "rss_bytes": process.memory_info().rss,
            "messages": sum(messages),
            "bytes": sum(sum(item.size_bytes.values()) for item in counts),
            "busiest": max(messages),
            "dropped": sum(sum(item.dropped.values()) for item in counts),
            "reasons": _add_up(item.dropped for item in counts),
            "kinds": _add_up(
                {f"{direction} {kind}": number for (direction, kind), number in pairs}
                for pairs in (item.messages.items() for item in counts)
            ),
            "members": len(members),
            "least_known": min(known),
            "most_known": max(known),
            "dead": sum(
                item.state == 3 for member in members for item in member.members()
            ),
            "ready": sum(member.is_ready() for member in members),
            "counts": times.counts,
            "last_s": times.last_s,
        }
        print("report " + json.dumps(line), flush=True)


def _add_up(parts: abc.Iterable[abc.Mapping[str, int]]) -> dict[str, int]:
    total: collections.Counter[str] = collections.Counter()
    for part in parts:
        total.update(part)
    return dict(total)


def _make_task(document: object, times: RevisionTimes) -> tasks.ClusterTask:
    settings = daemon_settings.Settings.model_validate(document)
    address = types.parse_address(settings.platform.table_service)
    pool = http_pool.HttpPool(address, http_pool.PoolSettings())
    generator = random.Random(settings.daemon.name)
    task = tasks.ClusterTask(
        settings,
        clock.SystemClock(),
        table.TableClient(pool),
        generator=generator,
    )
    task.subscribe(times.record)
    return task


if __name__ == "__main__":
    sys.exit(main())
