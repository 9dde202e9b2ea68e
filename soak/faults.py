"""Faults of the soak test, drawn from a seeded generator."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import abc

from features.support import serving_processes
from soak import environment

# Faults overlap: the next one may start before the last one ends.
_MIN_DURATION_S = 0.3
_MAX_DURATION_S = 3.0
_INTERVAL_S = (0.2, 1.2)

Fault = abc.Callable[
    [environment.Environment, random.Random, float], abc.Awaitable[None]
]


async def _fail_store(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    faults = env.store.faults
    faults.status = generator.choice((503, 429))
    await asyncio.sleep(duration_s)
    faults.status = 0


async def _hang_store(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    env.store.faults.silent = True
    await asyncio.sleep(duration_s)
    env.store.faults.silent = False


async def _lose_responses(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    faults = env.store.faults
    faults.lose += generator.randint(1, 3)
    faults.lose_before += generator.randint(0, 2)
    faults.late, faults.late_s = generator.randint(0, 2), duration_s


async def _truncate_history(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    env.store.faults.stale_by = generator.randint(0, 3)
    env.store.forget_history()
    await asyncio.sleep(duration_s)
    env.store.faults.stale_by = 0


def start_again(daemon: serving_processes.Daemon) -> None:
    """Start a daemon that has ended, unless an overlapping fault has done so."""
    if daemon.process.poll() is not None:
        daemon.start()


async def _kill_daemon(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    daemon = generator.choice(env.daemons)
    with env.disturbances.record(daemon.name):
        daemon.process.kill()
        await asyncio.to_thread(daemon.process.wait)
        await asyncio.sleep(duration_s / 3)
        start_again(daemon)


async def _stop_daemon(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    daemon = generator.choice(env.daemons)
    with env.disturbances.record(daemon.name):
        daemon.process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(daemon.process.wait)
        start_again(daemon)


async def _pause_daemon(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    daemon = generator.choice(env.daemons)
    with env.disturbances.record(daemon.name):
        daemon.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        daemon.process.send_signal(signal.SIGCONT)


async def _reload_daemon(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    generator.choice(env.daemons).process.send_signal(signal.SIGHUP)


async def _impair_target(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    proxy = generator.choice(env.proxies)
    kind = generator.choice(("delay", "silent", "deaf", "reset"))
    if kind == "delay":
        proxy.delay_s = generator.uniform(0.01, 0.2)
    proxy.blocks_all = kind == "silent"
    proxy.blocks_requests = kind == "deaf"
    if kind == "reset":
        proxy.reset()
    await asyncio.sleep(duration_s)
    proxy.delay_s, proxy.blocks_all, proxy.blocks_requests = 0.0, False, False
    proxy.reset()


async def _break_responses(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    manner = generator.choice(env.replicas).manner
    manner.cuts, manner.cut_after = generator.randint(1, 3), generator.randint(0, 8)
    manner.torn = generator.random() < 0.5
    manner.refuse += generator.randint(0, 3)
    manner.drop += generator.randint(0, 2)
    manner.extra = generator.random() < 0.5
    await asyncio.sleep(duration_s)
    manner.extra = False


async def _replace_target(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    await env.replace_target(generator.randrange(len(env.replicas)))


async def _change_configuration(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    env.change_configuration(generator)


FAULTS: dict[str, Fault] = {
    "store stopped": _fail_store,
    "store silent": _hang_store,
    "store loses answers": _lose_responses,
    "store forgets history": _truncate_history,
    "daemon killed": _kill_daemon,
    "daemon stopped": _stop_daemon,
    "daemon paused": _pause_daemon,
    "daemon reloads": _reload_daemon,
    "target spoiled": _impair_target,
    "target breaks answers": _break_responses,
    "target replaced": _replace_target,
    "configuration changed": _change_configuration,
}


async def inject(
    env: environment.Environment,
    generator: random.Random,
    end_s: float,
    kinds: abc.Mapping[str, Fault] | None = None,
) -> list[str]:
    """Inject overlapping faults until a point in time; return their names.

    :param kinds: faults to choose from, all by default
    """
    kinds = FAULTS if kinds is None else kinds
    names = []
    running = []
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        name = generator.choice(sorted(kinds))
        names.append(name)
        duration_s = generator.uniform(_MIN_DURATION_S, _MAX_DURATION_S)
        running.append(asyncio.ensure_future(kinds[name](env, generator, duration_s)))
        await asyncio.sleep(generator.uniform(*_INTERVAL_S))
    await asyncio.gather(*running)
    return names
