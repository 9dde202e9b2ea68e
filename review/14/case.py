"""A part of a prompt under which each replica crashes behind its first event."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world3 as world  # noqa: E402

REPLICAS = 5
BACK_S = 3.0
LENGTH_S = 60.0
BAD_PART = "bad0c0de"
BAD_INTERVAL_S = 1.5
# BUDGET: requests with the part that may reach replicas once stableMs has passed since
# the fifth crash.
MOST_REQUESTS = 3
CRASHES = 5


async def ask(daemon, record, counts, is_bad):
    """Send a stream; those with the part share their caller and their first part."""
    middle = BAD_PART if is_bad else f"{random.getrandbits(20):x}"
    attempt = world.make_id()
    headers = {
        "Attempt-Id": attempt,
        "Deadline-Ms": "5000",
        "Model": "m",
        "Token-Usage": "450,40",
        "Prompt-Prefix": f"5c1e07a2:100,{middle}:100,{random.getrandbits(32):x}:250",
    }
    try:
        status, _, _ = await world.call(
            daemon.ip, daemon.port, "POST", "/why/1", headers, b"{}", 5.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status = type(error).__name__
    kind = "with the part" if is_bad else "sound"
    counts[kind, status] = counts.get((kind, status), 0) + 1
    record.add("request", id=attempt, kind=kind, daemon=daemon.name, status=status)


async def main(place, record, has_trouble):
    routes = [
        world.make_route(
            "why", "streaming", "kernel", gapTargetMs=250, maxAttempts=2, resumable=True
        )
    ]
    crashes, sends = [], []

    async def come_back(replica):
        await asyncio.sleep(BACK_S)
        fresh = world.Replica(f"i-{world.make_id()}", "kernel")
        fresh.on_run = on_run
        await place.add(fresh)
        await asyncio.sleep(1.0)
        # Three ping intervals of silence have passed for the former one.
        place.store.write("servers", replica.name, None)

    async def on_run(replica, run, writer):
        if BAD_PART not in run["headers"].get("prompt-prefix", ""):
            return False
        sends.append(run["at_s"])
        record.add("part reaches a replica", id=run["attempt"], replica=replica.name)
        if not has_trouble:
            return False
        # It begins to write its answer, and crashes.
        await asyncio.sleep(0.05)
        number = int(run["headers"].get("last-event-id") or 0) + 1
        event = f"id: {number}\ndata: {run['attempt']} {number}\n\n".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {run['attempt']}\r\n".encode()
            + b"Response-Signature: 3e1b.07\r\nWeight-Versions: 1\r\n\r\n"
            + b"%x\r\n%s\r\n" % (len(event), event)
        )
        await asyncio.sleep(0.02)
        crashes.append(asyncio.get_running_loop().time())
        record.add("replica crashes", replica=replica.name, number=len(crashes))
        replica.crash()
        asyncio.ensure_future(come_back(replica))
        return True

    replicas = [world.Replica(f"i-{number}", "kernel") for number in range(REPLICAS)]
    for replica in replicas:
        replica.on_run = on_run
    await place.start(world.make_configuration(1, routes), replicas, 2)
    counts, tick = {}, 0
    loop = asyncio.get_running_loop()
    until_s, bad_s = loop.time() + LENGTH_S, loop.time() + 3.0
    while loop.time() < until_s:
        await asyncio.sleep(0.1)
        tick += 1
        daemon = place.daemons[tick % 2]
        asyncio.ensure_future(ask(daemon, record, counts, False))
        if loop.time() >= bad_s:
            bad_s += BAD_INTERVAL_S
            asyncio.ensure_future(
                ask(random.choice(place.daemons), record, counts, True)
            )
    counted = []
    if len(crashes) >= CRASHES:
        from_s = crashes[CRASHES - 1] + world.STABLE_S
        counted = [at_s for at_s in sends if at_s > from_s]
    record.add(
        "end",
        crashes=len(crashes),
        sends=len(sends),
        counted=len(counted),
        requests=str(counts),
    )
    print("crashes", len(crashes), "sends", len(sends), "later", len(counted), counts)
    if not sends:
        raise RuntimeError("no request with the part ran")
    return len(counted) <= MOST_REQUESTS


if __name__ == "__main__":
    world.run_case(FOLDER, main)
