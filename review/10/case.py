"""The route of batch jobs has the prefix "/", which is the whole of its host."""

import asyncio
import base64
import collections
import json
import pathlib
import secrets
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import fleet2 as fleet

PREFIX = "/" if fleet.has_trouble() else "/digest/"
READ_ITEMS, ENDED_ITEMS = 10, 120
BODY = b"the log of a shift"
ACK_S = 5.0
CANCEL_S = 3.0
FINISH_S = 18.0
LAST_READS_S = 8.0


def make_items(job, count):
    return [
        {
            "id": f"{job}{number:03d}",
            "path": f"/digest/{job}/{number}",
            "headers": {"Model": "m", "Token-Usage": "350,250"},
            "body": base64.b64encode(BODY).decode(),
            "tokens": 600,
        }
        for number in range(count)
    ]


async def play(deployment):
    route = fleet.make_route(
        "digest",
        "batch",
        "lm",
        prefix=PREFIX,
        timeoutMs=15000,
        priority=2,
        cap=2_000_000,
        completionTargetMs=18000,
        retentionS=3600,
    )
    await deployment.start([route], "lm")
    record = deployment.record
    for item in deployment.replicas:
        item.events, item.gap_s = 50, 0.1
    read_job, ended_job = secrets.token_hex(8), secrets.token_hex(8)
    first = deployment.daemons[0]
    for job, count in ((read_job, READ_ITEMS), (ended_job, ENDED_ITEMS)):
        items = make_items(job, count)
        if (await deployment.submit(first, "digest", job, items)).status != 202:
            raise fleet.NotRun("a job was not accepted")
    await asyncio.sleep(2.0)
    statuses = collections.Counter()

    async def call_until(method, path, until_s):
        """Call each daemon in turn until one answers 200; return its body."""
        turn = 0
        while time.monotonic() < until_s:
            daemon = deployment.daemons[turn % len(deployment.daemons)]
            headers = {"Attempt-Id": secrets.token_hex(8), "Deadline-Ms": 2000}
            answer = await deployment.call(daemon, method, path, headers, b"", 3.5)
            name = f"{method} {path.split('/')[2]}"
            record.add(name, daemon.name, answer.status)
            statuses[f"{name} {answer.status}"] += 1
            if answer.status == 200 and answer.is_whole:
                return answer.body
            turn += 1
            await asyncio.sleep(0.4)
        return None

    # The last item waits still.
    path = f"/api/items/{ended_job}?id={ended_job}{ENDED_ITEMS - 1:03d}"
    body = await call_until("GET", path, time.monotonic() + 2.0)
    # An end that gets no ack in ackMs of steady state counts as acknowledged then.
    await call_until("DELETE", f"/api/lots/{ended_job}", time.monotonic() + ACK_S)
    acknowledged_s = time.monotonic()
    record.add("the end of", ended_job, "counts as acknowledged")
    await asyncio.sleep(FINISH_S)
    late = sum(
        at > acknowledged_s + CANCEL_S and attempt.startswith(ended_job)
        for item in deployment.replicas
        for at, attempt in item.arrivals
    )
    # At the end of the day the other job is read from the start.
    finished = set().union(*(item.finished for item in deployment.replicas))
    done = sum(attempt.startswith(read_job) for attempt in finished)
    path = f"/api/lots/{read_job}?after=0"
    results = await call_until("GET", path, time.monotonic() + LAST_READS_S)
    listed = 0 if results is None else len(json.loads(results)["results"])
    is_lost = body != BODY or listed < done
    record.conclude(
        f"answers {dict(statuses)}; {done} items are done, {listed} could be read;"
        f" the body of a waiting item {'came' if body == BODY else 'did not come'}:"
        f" LOST {'broken' if is_lost else 'held'}; {late} items of the ended job ran"
        f" later than cancelMs: UNASKED {'broken' if late else 'held'}"
    )
    return fleet.EXIT_BROKEN if is_lost or late else fleet.EXIT_HELD


if __name__ == "__main__":
    sys.exit(fleet.run(pathlib.Path(__file__).resolve().parent, play))
