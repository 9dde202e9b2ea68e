"""Deadline order against first come, first served on a recorded mix of jobs.

The mix is two nights of both users in virtual time: many lot summaries and catalogue
parts due in the morning, a few large ones, and small jobs that are due soon.
"""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import typing
from collections import abc

from endivevane.batch import picking, records, segments

MIX = pathlib.Path(__file__).parent / "batch_mix.json"
# Work that arrives in the span, relative to what the fleet can do in it.
_LOADS = (0.6, 0.9, 1.2)
_SEED = 20261204


@dataclasses.dataclass(slots=True)
class _Job:
    open_job: records.OpenJob
    arrives_s: float
    items_left: int


_Choose = abc.Callable[[abc.Sequence[_Job], float], _Job]


def measure() -> dict[str, typing.Any]:
    """Replay the mix in each order; return the shares of jobs in time by load."""
    mix = json.loads(MIX.read_text())
    total = sum(item["items"] for item in mix["jobs"])
    shares: dict[str, dict[str, float]] = {}
    for load in _LOADS:
        rate = total / mix["span_s"] / load
        shares[str(load)] = {
            name: _replay(mix["jobs"], make_choose(rate), rate)
            for name, make_choose in _ORDERS.items()
        }
    return {"jobs": len(mix["jobs"]), "items": total, "shares_in_time": shares}


def _replay(
    entries: abc.Sequence[dict[str, typing.Any]], choose: _Choose, rate: float
) -> float:
    """Give the whole capacity to one chunk at a time; return the share in time."""
    waiting = [_make_job(entry) for entry in entries]
    waiting.sort(key=lambda job: job.arrives_s)
    present: list[_Job] = []
    now_s = 0.0
    in_time = 0
    while waiting or present:
        while waiting and waiting[0].arrives_s <= now_s:
            present.append(waiting.pop(0))
        if not present:
            now_s = waiting[0].arrives_s
            continue
        job = choose(present, now_s)
        done = min(job.items_left, segments.MAX_SEGMENT_LINES)
        job.items_left -= done
        now_s += done / rate
        if not job.items_left:
            in_time += now_s * 1000 <= job.open_job.deadline_ms
            present.remove(job)
    return round(in_time / len(entries), 3)


def _choose_first(present: abc.Sequence[_Job], _now_s: float) -> _Job:
    return present[0]


def _choose_earliest(present: abc.Sequence[_Job], _now_s: float) -> _Job:
    return min(present, key=lambda job: job.open_job.deadline_ms)


def _make_choose_ordered(rate: float) -> _Choose:
    def choose(present: abc.Sequence[_Job], now_s: float) -> _Job:
        by_id = {job.open_job.job_id: job for job in present}
        candidates = [
            picking.Candidate(job.open_job, job.items_left) for job in present
        ]
        order = picking.order_jobs(candidates, rate, int(now_s * 1000), {})
        return by_id[order.all[0].job.job_id]

    return choose


_ORDERS: dict[str, abc.Callable[[float], _Choose]] = {
    "first_come": lambda _rate: _choose_first,
    "earliest_deadline": lambda _rate: _choose_earliest,
    "deadline_order": _make_choose_ordered,
}


def _make_job(entry: dict[str, typing.Any]) -> _Job:
    open_job = records.OpenJob(
        job_id=entry["job"],
        organisation=entry["organisation"],
        deadline_ms=int(entry["deadline_s"] * 1000),
        created_ms=int(entry["arrives_s"] * 1000),
        item_count=entry["items"],
        chunk_count=-(-entry["items"] // segments.MAX_SEGMENT_LINES),
        model="m",
        input_file_id=f"file-{entry['job']}",
    )
    return _Job(open_job, entry["arrives_s"], entry["items"])


def record_mix() -> None:
    """Write the mix; run once, the file is kept so that later runs compare."""
    generator = random.Random(_SEED)
    night_s = 8 * 3600.0
    jobs: list[dict[str, typing.Any]] = []

    def add(kind: str, arrives_s: float, items: int, window_s: float) -> None:
        jobs.append(
            {
                "job": f"{kind}-{len(jobs):03d}",
                "organisation": f"org-{generator.randrange(8)}",
                "arrives_s": round(arrives_s, 1),
                "items": items,
                "deadline_s": round(arrives_s + window_s, 1),
            }
        )

    for night in range(2):
        start_s = night * night_s
        for _ in range(4):
            add("large", start_s + generator.uniform(0, 3600), 260_000, night_s)
        for _ in range(60):
            size = int(generator.lognormvariate(9.2, 0.8))
            arrives_s = start_s + generator.uniform(0, 0.6 * night_s)
            add("nightly", arrives_s, size, generator.uniform(0.2, 0.5) * night_s)
        for _ in range(60):
            arrives_s = start_s + generator.uniform(0, 0.9 * night_s)
            add("urgent", arrives_s, generator.randrange(50, 2000), 600.0)
    MIX.write_text(json.dumps({"span_s": 2 * night_s, "jobs": jobs}, indent=1) + "\n")


if __name__ == "__main__":
    record_mix()
