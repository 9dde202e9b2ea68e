"""Items that are larger than the memory of each replica."""

import asyncio
import base64
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world3 as world  # noqa: E402

ITEMS = 24
# Their tokens fit into what may wait on the route.
TOO_LARGE = 19
CAP = 2_000_000
RETENTION_S = 60.0
# The traffic lasts until the items may be abandoned; batch jobs have finishS more.
TRAFFIC_S = RETENTION_S + 2.0
FINISH_S = 18.0


async def ask(daemon, record):
    attempt = world.make_id()
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "5000",
        "Model": "m",
        "Token-Usage": "450,40",
        "Prompt-Prefix": f"5c1e:200,{attempt}:250",
    }
    try:
        status, _, _ = await world.call(
            daemon.ip, daemon.port, "POST", "/why/1", headers, b"{}", 5.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    record.add("request", id=attempt, daemon=daemon.name, status=status)
    return status


async def read(daemon, job_id):
    status, _, body = await world.call(
        daemon.ip, daemon.port, "GET", f"/api/lots/{job_id}?after=0", {}, b"", 4.0
    )
    if status != 200:
        raise RuntimeError(f"status {status} of a read")
    return json.loads(body)["results"]


def make_items(count, too_large):
    """Return items, some of which are larger than the memory of each replica."""
    items = []
    for number in range(count):
        usage = (100_000, 4_000) if number < too_large else (350, 247)
        items.append(
            {
                "id": world.make_id(),
                "path": "/digest/3/91c4",
                "headers": {
                    "Model": "m",
                    "Token-Usage": f"{usage[0]},{usage[1]}",
                    "Prompt-Prefix": f"9c2e41:100,{number:x}d07b8:{usage[0] - 100}",
                },
                "body": base64.b64encode(b"log of a shift").decode(),
                "tokens": sum(usage),
            }
        )
    return items


async def submit(daemon, job_id, items):
    status, _, _ = await world.call(
        daemon.ip,
        daemon.port,
        "POST",
        "/digest/7c41",
        {"Attempt-Id": job_id, "Deadline-Ms": "4000"},
        json.dumps({"items": items}).encode(),
        5.0,
    )
    return status


async def main(place, record, has_trouble):
    routes = [
        world.make_route("why", "streaming", "kernel", gapTargetMs=250, maxAttempts=1),
        {
            **world.make_batch_route("digest", "kernel", CAP),
            "retentionS": RETENTION_S,
        },
    ]
    replicas = [world.Replica(f"i-{number}", "kernel") for number in range(5)]
    await place.start(world.make_configuration(1, routes), replicas, 2)
    first, second = place.daemons
    job_id, items = world.make_id(), make_items(ITEMS, TOO_LARGE if has_trouble else 0)
    status = await submit(first, job_id, items)
    record.add("job", id=job_id, daemon=first.name, items=items, status=status)
    if status != 202:
        raise RuntimeError("the job was not accepted")
    statuses = []
    for tick in range(int(TRAFFIC_S / 0.25)):
        statuses.append(asyncio.ensure_future(ask(place.daemons[tick % 2], record)))
        await asyncio.sleep(0.25)
    served = [await status for status in statuses].count(200)
    await asyncio.sleep(FINISH_S)
    results = await read(second, job_id)
    # An ordinary job, which is not judged here.
    later_status = await submit(second, world.make_id(), make_items(50, 0))
    now_s = asyncio.get_running_loop().time()
    ids = {item["id"] for item in items}
    runs = [run for item in replicas for run in item.runs if run["attempt"] in ids]
    recent = [run for run in runs if now_s - run["at_s"] < 5.0]
    states = [result["state"] for result in results]
    rejected = sum(item.rejected for item in replicas)
    record.add(
        "end",
        ordinary=len(statuses),
        served=served,
        items=ITEMS,
        listed=str(states),
        runs_of_items=len(runs),
        recent_runs=len(recent),
        rejected=rejected,
        later_job=later_status,
        busy_slots=sum(item.busy for item in replicas),
    )
    print(
        "served",
        served,
        "of",
        len(statuses),
        "listed",
        len(states),
        "of",
        ITEMS,
        "rejected",
        rejected,
        "status of a later job",
        later_status,
    )
    return len(results) == ITEMS or bool(recent)


if __name__ == "__main__":
    world.run_case(FOLDER, main)
