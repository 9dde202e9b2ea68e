"""Run the soak test over a range of seeds.

Each seed starts a store, three targets behind faulty proxies and three daemons as
processes, injects faults for some seconds, and checks the guarantees of the service
against what clients and targets saw. The logs of failed seeds are kept.
"""

from __future__ import annotations

import argparse
import asyncio
import enum
import pathlib
import random
import sys
import time

from soak import (
    callers,
    configuration_changes,
    environment,
    faults,
    sound_silences,
    troubled_targets,
    version_releases,
)

_FAULT_S = 10.0
# Time limit for all jobs to complete after the last fault.
_FINISH_S = 30.0
_STREAM_CALLERS = 6
_JOB_CALLERS = 3


class Trouble(enum.Enum):
    """What happens besides the calls of the clients."""

    FAULTS = "faults"
    TROUBLED_TARGETS = "troubled targets"
    SOUND_SILENCES = "sound silences"
    RELEASES = "releases"
    CHANGES = "changes"


async def run_seed(
    seed: int, fault_s: float, trouble: Trouble = Trouble.FAULTS
) -> tuple[callers.Report, list[str], str]:
    """Run one seed; return the report, the names of the faults and the logs."""
    generator = random.Random(seed)
    env = environment.Environment()
    report = callers.Report()
    try:
        await env.start()
        kinds = faults.FAULTS
        if trouble is Trouble.SOUND_SILENCES:
            silences = sound_silences.SoundSilences(env)
            await silences.prepare()
            kinds = silences.kinds
        if trouble is Trouble.RELEASES:
            releases = version_releases.Releases(env)
            await releases.prepare()
            kinds = releases.kinds
        if trouble is Trouble.CHANGES:
            changes = configuration_changes.ConfigurationChanges(env, report)
            await changes.prepare()
        now_s = asyncio.get_running_loop().time()
        end_s = now_s + fault_s
        tasks = []
        if trouble is Trouble.SOUND_SILENCES:
            silence_callers = sound_silences.SilenceCallers(
                env, report, silences.silences, now_s
            )
            tasks.append(asyncio.ensure_future(silence_callers.run(seed, end_s)))
        elif trouble is Trouble.RELEASES:
            tasks += version_releases.start_clients(env, report, seed, end_s)
        else:
            tasks += _start_stream_callers(env, report, seed, end_s)
        tasks += _start_job_clients(env, report, seed, end_s + _FINISH_S, trouble)
        if trouble is Trouble.TROUBLED_TARGETS:
            targets = random.Random(f"{seed} targets")
            tasks.append(
                asyncio.ensure_future(troubled_targets.run(env, targets, end_s))
            )
        if trouble is Trouble.CHANGES:
            names = await changes.run(seed, end_s, end_s + _FINISH_S)
        else:
            names = await faults.inject(env, generator, end_s, kinds)
        await asyncio.gather(*tasks)
        callers.check_runs(env, report)
        callers.check_daemons(env, report)
        return report, names, env.read_logs()
    finally:
        await env.stop()


def _start_stream_callers(
    env: environment.Environment, report: callers.Report, seed: int, end_s: float
) -> list[asyncio.Future[None]]:
    return [
        asyncio.ensure_future(
            callers.send_streams(
                env, report, random.Random(f"{seed} stream {number}"), end_s
            )
        )
        for number in range(_STREAM_CALLERS)
    ]


def _start_job_clients(
    env: environment.Environment,
    report: callers.Report,
    seed: int,
    deadline_s: float,
    trouble: Trouble,
) -> list[asyncio.Future[None]]:
    is_release = trouble is Trouble.RELEASES
    job_client = version_releases.JobClient if is_release else callers.JobClient
    clients = [
        job_client(env, report, random.Random(f"{seed} job {number}"))
        for number in range(_JOB_CALLERS)
    ]
    return [asyncio.ensure_future(client.run(deadline_s)) for client in clients]


def main() -> int:
    """Run the seeds, print a line for each, and return 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1-10", help="first and last seed, such as 1-50"
    )
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of random seeds to draw instead"
    )
    parser.add_argument("--fault-s", type=float, help="duration, by mode by default")
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument(
        "--troubled-targets",
        dest="trouble",
        action="store_const",
        const=Trouble.TROUBLED_TARGETS,
        default=Trouble.FAULTS,
        help="targets also crash on a prompt segment and name rate limits",
    )
    kinds.add_argument(
        "--sound-silences",
        dest="trouble",
        action="store_const",
        const=Trouble.SOUND_SILENCES,
        help="targets are only silent for a while, beside changes, reloads and stops",
    )
    kinds.add_argument(
        "--releases",
        dest="trouble",
        action="store_const",
        const=Trouble.RELEASES,
        help="targets are also replaced by other versions, and clients resume streams",
    )
    kinds.add_argument(
        "--changes",
        dest="trouble",
        action="store_const",
        const=Trouble.CHANGES,
        help="a large configuration changes many times, beside faults with pauses",
    )
    parser.add_argument("--logs", type=pathlib.Path, default=pathlib.Path("build/soak"))
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if arguments.fresh:
        seeds = [random.SystemRandom().getrandbits(32) for _ in range(arguments.fresh)]
    fault_s = arguments.fault_s
    if fault_s is None:
        is_long = arguments.trouble is Trouble.CHANGES
        fault_s = configuration_changes.DURATION_S if is_long else _FAULT_S
    failed = 0
    for seed in seeds:
        started_s = time.monotonic()
        report, names, log = asyncio.run(run_seed(seed, fault_s, arguments.trouble))
        elapsed_s = time.monotonic() - started_s
        print(
            f"seed {seed}: served {report.served} refused {report.refused} failed "
            f"{report.failed} resumed {report.resumed} jobs {report.jobs} items "
            f"{report.items} faults {len(names)} broken {len(report.violations)} "
            f"in {elapsed_s:.1f} s",
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
