"""Play the soak over a range of seeds.

Each seed starts a store, three targets behind faulty proxies and three daemons as
processes, injects faults for some seconds, and checks the promises from what clients
and targets saw. Logs of a seed that failed are kept.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import sys
import time

from soak import callers, faults, world

_FAULT_S = 10.0
# After the last fault all jobs must be done in this time.
_FINISH_S = 30.0
_STREAM_CALLERS = 6
_JOB_CALLERS = 3


async def play(seed: int, fault_s: float) -> tuple[callers.Report, list[str], str]:
    """Play one seed; return what was seen, the faults and the logs."""
    generator = random.Random(seed)
    items = world.World()
    report = callers.Report()
    try:
        await items.start()
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + fault_s
        tasks = [
            asyncio.ensure_future(
                callers.ask_streams(
                    items, report, random.Random(f"{seed} stream {number}"), until_s
                )
            )
            for number in range(_STREAM_CALLERS)
        ]
        for number in range(_JOB_CALLERS):
            caller = callers.JobCaller(
                items, report, random.Random(f"{seed} job {number}")
            )
            tasks.append(asyncio.ensure_future(caller.run(until_s + _FINISH_S)))
        names = await faults.inject(items, generator, until_s)
        await asyncio.gather(*tasks)
        callers.check_runs(items, report)
        return report, names, items.read_logs()
    finally:
        await items.stop()


def main() -> int:
    """Play seeds and print a line for each; the status says whether all held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="first and last, such as 1-50")
    parser.add_argument("--fresh", type=int, default=0, help="seeds drawn just now")
    parser.add_argument("--fault-s", type=float, default=_FAULT_S)
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("build/soak"))
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if arguments.fresh:
        seeds = [random.SystemRandom().getrandbits(32) for _ in range(arguments.fresh)]
    failed = 0
    for seed in seeds:
        began_s = time.monotonic()
        report, names, log = asyncio.run(play(seed, arguments.fault_s))
        took_s = time.monotonic() - began_s
        print(
            f"seed {seed}: served {report.served} refused {report.refused} failed "
            f"{report.failed} jobs {report.jobs} items {report.items} faults "
            f"{len(names)} broken {len(report.broken)} in {took_s:.1f} s",
            flush=True,
        )
        if not report.broken:
            continue
        failed += 1
        for line in report.broken:
            print(f"  {line[:300]}", flush=True)
        print(f"  faults: {', '.join(names)}", flush=True)
        arguments.logs.mkdir(parents=True, exist_ok=True)
        (arguments.logs / f"seed-{seed}.log").write_text(log)
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
