"""Run batch jobs while daemons and engines are killed and store responses are lost.

Each round submits a job, kills and restarts a random daemon or engine every second or
two, occasionally makes the store lose responses, and counts lost and duplicated items
from the store's record. The exit status is 1 if an item was lost, duplicated or failed.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time

from tools import audit, fleet, jobs

_MODEL = "small-lm"
_ITEM_TOKENS = 2
_ROUND_TIMEOUT_S = 180.0
_FAULT_INTERVAL_S = (0.8, 2.0)
_LOST_ANSWERS = 2
_LOST_ANSWER_PROBABILITY = 0.3


def main() -> int:
    """Run the rounds; print a line for each and a JSON summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--items", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=20261204)
    arguments = parser.parse_args()
    generator = random.Random(arguments.seed)
    print(f"seed {arguments.seed}", flush=True)
    total = audit.Audit()
    unfinished = kills = 0
    plan = fleet.FleetPlan(
        daemons=3, engines=4, model=_MODEL, slots=32, token_ms=4.0, prefill_ms=2.0
    )
    for number in range(1, arguments.rounds + 1):
        with fleet.Fleet(plan) as running:
            bodies = jobs.make_bodies(
                _MODEL, arguments.items, _ITEM_TOKENS, f"round {number} item"
            )
            job_id = jobs.submit(running, bodies)
            status, round_kills = _inject_faults(running, job_id, generator)
            counts = audit.audit_job(
                running.store.record(), running.store.url, job_id, bodies
            )
        unfinished += status != "completed"
        kills += round_kills
        total.add(counts)
        print(f"round {number}: {status}, {round_kills} kills, {counts}", flush=True)
    summary = {
        "rounds": arguments.rounds,
        "unfinished": unfinished,
        "kills": kills,
        "done": total.done,
        "failed": total.failed,
        "lost": total.lost,
        "doubled": total.doubled,
    }
    print(json.dumps(summary))
    # Every item can succeed, so failed items count as errors too.
    return 1 if total.lost or total.doubled or total.failed or unfinished else 0


def _inject_faults(
    running: fleet.Fleet, job_id: str, generator: random.Random
) -> tuple[str, int]:
    """Kill and restart members until the job ends; return its status and the kills."""
    deadline_s = time.monotonic() + _ROUND_TIMEOUT_S
    kills = 0
    status = "in_progress"
    while status == "in_progress" and time.monotonic() < deadline_s:
        time.sleep(generator.uniform(*_FAULT_INTERVAL_S))
        members = [*running.daemons, *running.engines]
        member = generator.choice(members)
        if generator.random() < _LOST_ANSWER_PROBABILITY:
            running.store.set_faults(lose_answer=_LOST_ANSWERS)
        member.kill()
        kills += 1
        time.sleep(generator.uniform(*_FAULT_INTERVAL_S))
        member.restart()
        status = jobs.read_status(running, job_id) or status
    return status, kills


if __name__ == "__main__":
    sys.exit(main())
