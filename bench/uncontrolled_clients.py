"""Ordinary requests beside a crowd of clients in a process of its own.

Prints how long each ordinary request took, and what share of a core the daemon and the
crowd used meanwhile.
"""

import argparse
import asyncio
import multiprocessing
import time

import psutil

from features.support import client_crowds, endless_answers, serving_processes

_GAP_S = 0.25
_WAIT_S = 4.0
_FOLLOW_S = 1.0
_METRICS = (
    "endivevane_client_limits",
    "endivevane_refusals",
    "endivevane_revoked_buffers",
    "endivevane_unanswered",
)


def _run_crowd(behaviour, place, count):
    async def run():
        crowd = client_crowds.Crowd(behaviour, place)
        await crowd.run(count)
        await crowd.stop()

    asyncio.run(run())


async def _ask_all(port):
    async def ask(number):
        began_s = time.monotonic()
        response = await client_crowds.ask(port, f"o{number}", _WAIT_S)
        return response.status, round(time.monotonic() - began_s, 2)

    calls = []
    for number in range(int(client_crowds.CROWD_S / _GAP_S)):
        calls.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(_GAP_S)
    return await asyncio.gather(*calls)


def main():
    """Run one crowd and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("behaviour")
    parser.add_argument("--place", default="a route")
    parser.add_argument("--count", type=int, default=100)
    arguments = parser.parse_args()
    fleet = serving_processes.Fleet(2, 1, client_crowds.LimitedDaemon)
    try:
        fleet.configuration["limits"] = {
            "maxHeaderBytes": client_crowds.MAX_HEADER_BYTES,
            "maxBodyBytes": client_crowds.MAX_BODY_BYTES,
        }
        trouble = endless_answers.Trouble(fleet)
        trouble.add_routes([])
        time.sleep(_FOLLOW_S)
        daemon = fleet.daemons[0]
        place = client_crowds.locate(daemon, arguments.place)
        context = multiprocessing.get_context("spawn")
        crowd = context.Process(
            target=_run_crowd, args=(arguments.behaviour, place, arguments.count)
        )
        crowd.start()
        watched = [psutil.Process(item) for item in (daemon.process.pid, crowd.pid)]
        watched.append(psutil.Process())
        for item in watched:
            item.cpu_percent()
        answers = fleet.loop.run(_ask_all(daemon.port))
        shares = [item.cpu_percent() for item in watched if item.is_running()]
        print(f"(status, s): {answers}")
        print(f"% of a core of daemon, crowd, targets and callers: {shares}")
        crowd.join()
        request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        reply = fleet.loop.run(
            endless_answers.read_metrics(daemon.ip, daemon.metrics_port, request)
        )
        for line in reply.decode().splitlines():
            if line.startswith(_METRICS) and "_created" not in line:
                print(line)
        trouble.stop()
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
