"""Six large batch jobs come at once; only one fits under the cap of the route."""

import asyncio
import base64
import os
import pathlib
import secrets
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2 as fleet

JOBS = 6
ITEMS = 60
BODY_BYTES = 15_000
TOKENS = 600
CAP = 50_000
OVERAGE = 0.1


def make_items(job):
    return [
        {
            "id": f"{job}{number:03d}",
            "path": f"/digest/{job}/{number}",
            "headers": {"Model": "m", "Token-Usage": "350,250"},
            "body": base64.b64encode(os.urandom(BODY_BYTES)).decode(),
            "tokens": TOKENS,
        }
        for number in range(ITEMS)
    ]


async def play(deployment):
    route = fleet.make_route(
        "digest",
        "batch",
        "lm",
        timeoutMs=15000,
        priority=2,
        cap=CAP,
        completionTargetMs=18000,
        retentionS=60,
    )
    await deployment.start([route], "lm")
    for item in deployment.replicas:
        item.events, item.gap_s = 247, 0.01
    accepted, worst = {}, 0

    def count_waiting():
        finished = set().union(*(item.finished for item in deployment.replicas))
        return sum(
            TOKENS
            for items in accepted.values()
            for item in items
            if item["id"] not in finished
        )

    async def hand_in(number, delay_s):
        nonlocal worst
        await asyncio.sleep(delay_s)
        job = secrets.token_hex(8)
        items = make_items(job)
        daemon = deployment.daemons[number % len(deployment.daemons)]
        answer = await deployment.submit(daemon, "digest", job, items)
        if answer.status == 202:
            accepted[job] = items
            waiting = count_waiting()
            deployment.record.add("202", job, "waiting tokens", waiting, "cap", CAP)
            worst = max(worst, waiting)
        return answer.status

    gap_s = 0.0 if fleet.has_trouble() else 0.6
    statuses = await asyncio.gather(
        *(hand_in(number, number * gap_s) for number in range(JOBS))
    )
    if 202 not in statuses:
        raise fleet.NotRun(f"no job was accepted: {statuses}")
    is_broken = worst > CAP * (1 + OVERAGE)
    deployment.record.conclude(
        f"answers {statuses}; at most {worst} tokens waited at a 202,"
        f" allowed are {int(CAP * (1 + OVERAGE))}:"
        f" QUOTA {'broken' if is_broken else 'held'}"
    )
    return fleet.EXIT_BROKEN if is_broken else fleet.EXIT_HELD


if __name__ == "__main__":
    sys.exit(fleet.run(pathlib.Path(__file__).resolve().parent, play))
