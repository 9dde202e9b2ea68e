"""Run the soak test over a range of seeds.

Each seed starts a store, three targets behind faulty proxies and three daemons as
processes, injects faults for some seconds, and checks the guarantees of the service
against what clients and targets saw. The logs of failed seeds are kept.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import sys
import time

from soak import callers, environment, faults, troubled_targets

_FAULT_S = 10.0
# Time limit for all jobs to complete after the last fault.
_FINISH_S = 30.0
_STREAM_CALLERS = 6
_JOB_CALLERS = 3


async def run_seed(
    seed: int, fault_s: float, has_troubled_targets: bool = False
) -> tuple[callers.Report, list[str], str]:
    """Run one seed; return the report, the names of the faults and the logs.

    :param has_troubled_targets: whether targets crash on a segment and name limits
    """
    generator = random.Random(seed)
    env = environment.Environment()
    report = callers.Report()
    try:
        await env.start()
        now_s = asyncio.get_running_loop().time()
        end_s = now_s + fault_s
        tasks = [
            asyncio.ensure_future(
                callers.send_streams(
                    env, report, random.Random(f"{seed} stream {number}"), end_s
                )
            )
            for number in range(_STREAM_CALLERS)
        ]
        for number in range(_JOB_CALLERS):
            caller = callers.JobClient(
                env, report, random.Random(f"{seed} job {number}")
            )
            tasks.append(asyncio.ensure_future(caller.run(end_s + _FINISH_S)))
        if has_troubled_targets:
            trouble = random.Random(f"{seed} targets")
            tasks.append(
                asyncio.ensure_future(troubled_targets.run(env, trouble, end_s))
            )
        names = await faults.inject(env, generator, end_s)
        await asyncio.gather(*tasks)
        callers.check_runs(env, report)
        return report, names, env.read_logs()
    finally:
        await env.stop()


def main() -> int:
    """Run the seeds, print a line for each, and return 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1-10", help="first and last seed, such as 1-50"
    )
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of random seeds to draw instead"
    )
    parser.add_argument("--fault-s", type=float, default=_FAULT_S)
    parser.add_argument(
        "--troubled-targets",
        action="store_true",
        help="targets also crash on a prompt segment and name rate limits",
    )
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("build/soak"))
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if arguments.fresh:
        seeds = [random.SystemRandom().getrandbits(32) for _ in range(arguments.fresh)]
    failed = 0
    for seed in seeds:
        started_s = time.monotonic()
        report, names, log = asyncio.run(
            run_seed(seed, arguments.fault_s, arguments.troubled_targets)
        )
        elapsed_s = time.monotonic() - started_s
        print(
            f"seed {seed}: served {report.served} refused {report.refused} failed "
            f"{report.failed} jobs {report.jobs} items {report.items} faults "
            f"{len(names)} broken {len(report.violations)} in {elapsed_s:.1f} s",
            flush=True,
        )
        if not report.violations:
            continue
        failed += 1
        for line in report.violations:
            print(f"  {line[:300]}", flush=True)
        print(f"  faults: {', '.join(names)}", flush=True)
        arguments.logs.mkdir(parents=True, exist_ok=True)
        (arguments.logs / f"seed-{seed}.log").write_text(log)
    print(f"{len(seeds)} seeds, {failed} with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
