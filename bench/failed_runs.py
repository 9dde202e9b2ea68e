"""Price of storing failed runs and records of runs: transactions on the jobs' rows.

Daemons in one process run jobs at targets that answer by a script, over a store in
memory that takes 4 ms for a transaction. Prints one line of JSON for each number of
daemons that share the limit of writes, and each share of failing items. Of more than
nine daemons nine are played, and the transactions of all are worked out from theirs.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import abc

from absl import logging

from features.support import failed_run_world

_FLEET_SIZES = (9, 340)
_PLAYED = 9
_JOBS = 2
_ITEMS = 200
_LATENCY_S = 0.004
_LIMIT_S = 300.0
# From so many on, runs are recorded before they begin.
_LOST_OWNERS = 2

Script = abc.Callable[[str, int], int]


class _SlowStore(failed_run_world.JobStore):
    """A store whose transactions take as long as the platform's."""

    async def apply(self, change):
        await asyncio.sleep(_LATENCY_S)
        return await super().apply(change)


def main() -> None:
    """Measure and print."""
    logging.set_verbosity("error")
    scripts: dict[str, Script] = {
        "none": lambda _item_id, _number: 200,
        "1 in 100 once": _fail_one_in_100,
        "all at each run": lambda _item_id, _number: 500,
    }
    for daemons in _FLEET_SIZES:
        for name, script in scripts.items():
            print(json.dumps(asyncio.run(_play(daemons, name, script))), flush=True)
        recorded = _play(daemons, "none", scripts["none"], _LOST_OWNERS)
        print(json.dumps(asyncio.run(recorded)), flush=True)


def _fail_one_in_100(item_id: str, number: int) -> int:
    is_unlucky = int(item_id.partition("-")[2]) % 100 == 0
    return 500 if is_unlucky and number == 1 else 200


async def _play(
    daemons: int, name: str, script: Script, lost_owners: int = 0
) -> dict[str, object]:
    """Run the jobs of one case; return what they took.

    :param lost_owners: owners that the jobs have lost before
    """
    rows = _SlowStore()
    world = failed_run_world.World(script, daemons=daemons, rows=rows)
    owners = [world.add_owner() for _ in range(_PLAYED)]
    job_ids = []
    started_s = time.monotonic()
    for number in range(_PLAYED * _JOBS):
        job_ids.append(f"job{number}")
        owner = owners[number % _PLAYED]
        await world.submit(owner, job_ids[-1], _ITEMS, lost_owners=lost_owners)
    await world.wait_until(
        lambda: all(not rows.read_job(job_id).is_open for job_id in job_ids), _LIMIT_S
    )
    took_s = time.monotonic() - started_s
    world.stop()
    items = len(job_ids) * _ITEMS
    scale = daemons / _PLAYED
    return {
        "daemons": daemons,
        "failing": name,
        "lost_owners": lost_owners,
        "took_s": round(took_s, 1),
        "items_per_s": round(items / took_s * scale),
        "answers_500_per_s": round(sum(world.answers_500.values()) / took_s * scale),
        "answers_500": sum(world.answers_500.values()),
        "results_writes_per_s": round(rows.results_writes / took_s * scale, 1),
        "failed_runs_writes_per_s": round(rows.failed_runs_writes / took_s * scale, 1),
        "writes_per_1000_items": round(
            (rows.results_writes + rows.failed_runs_writes) / items * 1000, 1
        ),
        "unstored_runs": len(world.unstored_runs),
    }


if __name__ == "__main__":
    main()
