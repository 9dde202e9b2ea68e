"""Measure batch jobs: store calls, memory, repeated work, jobs in time.

``large`` streams a 260,000-item job through one runner with a fake engine call, against
the platform stand-in in a process of its own. ``kill`` ends a daemon in the middle of a
job of a real fleet. ``order`` replays a recorded mix of jobs in virtual time.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import threading
import time
import typing
from collections import abc

import psutil

from bench import batch_mix, batch_parts
from endivevane.batch import attempts, jobs, records, runner, segments
from endivevane.coordination import clock
from endivevane.daemon import settings
from features.support import batch_fleet, batch_local
from tools import fleet

_ITEMS = 260_000
_MAX_WRITES = 4.0
_MAX_MEMORY_MIB = 128
_SAMPLE_S = 0.1
_PIECE_BYTES = 64 << 10


class MemorySampler:
    """Samples the resident memory of this process."""

    def __init__(self) -> None:
        self._process = psutil.Process()
        self.first = self.largest = self._process.memory_info().rss
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """End the sampling."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(_SAMPLE_S):
            self.largest = max(self.largest, self._process.memory_info().rss)


def measure_large(item_count: int) -> dict[str, typing.Any]:
    """Upload, run and read one large job; return its figures."""
    plan = fleet.FleetPlan(
        daemons=0,
        engines=0,
        platform_arguments=("--writes-per-s", "300", "--reads-per-s", "2000"),
    )
    with fleet.Fleet(plan) as started:
        table_store, object_store = batch_parts.open_platform(started.store.address)
        sampler = MemorySampler()
        upload_s = _upload(object_store, table_store, item_count)
        after_upload = sampler.largest
        before = batch_parts.count_calls(started.store.record())
        begin_s = time.monotonic()
        job = _run_job(table_store, object_store)
        run_s = time.monotonic() - begin_s
        calls = batch_parts.subtract(
            batch_parts.count_calls(started.store.record()), before
        )
        read = batch_parts.read_results(table_store, object_store, job.job_id)
        sampler.stop()
    per_thousand = 1000 / item_count
    return {
        "items": item_count,
        "completed": (job.tally or {}).get("completed"),
        "result_lines": read,
        "writes_per_1000": round(calls["writes"] * per_thousand, 3),
        "reads_per_1000": round(calls["reads"] * per_thousand, 3),
        "upload_s": round(upload_s, 1),
        "run_s": round(run_s, 1),
        "memory_start_mib": round(sampler.first / 2**20, 1),
        "memory_upload_mib": round(after_upload / 2**20, 1),
        "memory_largest_mib": round(sampler.largest / 2**20, 1),
    }


def _upload(
    object_store: typing.Any, table_store: typing.Any, item_count: int
) -> float:
    """Feed a generated file through the segment writer, as an upload does."""
    begin_s = time.monotonic()
    writer = segments.SegmentWriter(object_store, "bench")
    piece = bytearray()
    for index in range(item_count):
        piece += batch_parts.make_line(index)
        if len(piece) >= _PIECE_BYTES:
            writer.write(bytes(piece))
            piece.clear()
    writer.write(bytes(piece))
    writer.seek(0)
    batch_parts.insert_file(table_store, writer.summarize())
    return time.monotonic() - begin_s


def _run_job(table_store: typing.Any, object_store: typing.Any) -> records.Job:
    system = clock.SystemClock()
    hub = batch_local.Hub(batch_parts.make_snapshot())
    attempts.send = batch_parts.answer_at_once
    task = runner.BatchRunner(
        settings.BatchSection(concurrent_items=64),
        table_store,
        object_store,
        batch_local.LocalCluster(hub, "d1"),
        batch_parts.IdleLoads(system),
        system,
    )
    service = jobs.JobService(table_store, system)
    job = service.create(batch_parts.make_request())
    task.start()
    try:
        while job.state == records.JobState.IN_PROGRESS:
            time.sleep(1.0)
            job = service.get(job.organisation, job.job_id).job
    finally:
        task.stop()
    return job


def measure_kill(item_count: int) -> dict[str, typing.Any]:
    """Kill one of three daemons in the middle of a job; return the repeated work."""
    running = batch_fleet.BatchFleet(daemons=3, engines=3, token_ms=4.0)
    try:
        running.start()
        lines = batch_fleet.make_lines(item_count, running.fleet.plan.model)
        job = running.create(running.upload(lines).id)
        victim = running.wait_for_owner()
        while len(running.runs()) < item_count / 4:
            time.sleep(0.1)
        victim.kill()
        live = next(
            index
            for index, item in enumerate(running.fleet.daemons)
            if item.process.is_running
        )
        ended = running.wait(job.id, live, 120)
        runs = len(running.runs())
        commits = running.count_commits()
    finally:
        running.close()
    return {
        "items": item_count,
        "completed": ended.request_counts.completed,
        "runs": runs,
        "repeated_share": round((runs - item_count) / item_count, 4),
        "committed_twice": sum(count > 1 for count in commits.values()),
    }


def run_large(item_count: int) -> tuple[dict[str, typing.Any], list[str]]:
    """Measure the large job; return figures and missed targets."""
    large = measure_large(item_count)
    problems: list[str] = []
    if large["completed"] != item_count or large["result_lines"] != item_count:
        problems.append("the large job is not complete")
    if large["writes_per_1000"] > _MAX_WRITES:
        problems.append(f"more than {_MAX_WRITES} writes per 1,000 items")
    if large["memory_largest_mib"] > _MAX_MEMORY_MIB:
        problems.append(f"more than {_MAX_MEMORY_MIB} MiB")
    return large, problems


def run_kill(item_count: int) -> tuple[dict[str, typing.Any], list[str]]:
    """Measure the work repeated after a kill; return figures and missed targets."""
    kill = measure_kill(item_count)
    problems: list[str] = []
    if kill["completed"] != item_count or kill["committed_twice"]:
        problems.append("items lost or committed twice after the kill")
    return kill, problems


def run_order() -> tuple[dict[str, typing.Any], list[str]]:
    """Replay the recorded mix; return figures and missed targets."""
    order = batch_mix.measure()
    problems = [
        f"deadline order is worse than first come, first served at load {load}"
        for load, shares in order["shares_in_time"].items()
        if shares["deadline_order"] < shares["first_come"]
    ]
    return order, problems


def main() -> int:
    """Run the measurements and return 1 when a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=["large", "kill", "order"])
    parser.add_argument("--items", type=int, default=_ITEMS)
    parser.add_argument("--kill-items", type=int, default=8192)
    parser.add_argument("--output", type=pathlib.Path, help="file for the figures")
    arguments = parser.parse_args()
    parts: dict[str, abc.Callable[[], tuple[dict[str, typing.Any], list[str]]]] = {
        "large": lambda: run_large(arguments.items),
        "kill": lambda: run_kill(arguments.kill_items),
        "order": run_order,
    }
    figures: dict[str, typing.Any] = {}
    problems: list[str] = []
    for name in arguments.parts:
        figures[name], found = parts[name]()
        problems += found
    print(json.dumps(figures, indent=2))
    if arguments.output is not None:
        arguments.output.write_text(json.dumps(figures, indent=2) + "\n")
    for problem in problems:
        print(f"problem: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
