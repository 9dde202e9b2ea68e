"""The faults of a soak, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import abc

from soak import world

# Each fault lasts about this long, and the next one may begin before it ends.
_SHORTEST_S = 0.3
_LONGEST_S = 3.0
_PAUSE_S = (0.2, 1.2)

Fault = abc.Callable[[world.World, random.Random, float], abc.Awaitable[None]]


async def _stop_store(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    faults = items.store.faults
    faults.status = generator.choice((503, 429))
    await asyncio.sleep(for_s)
    faults.status = 0


async def _silence_store(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    items.store.faults.silent = True
    await asyncio.sleep(for_s)
    items.store.faults.silent = False


async def _lose_answers(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    faults = items.store.faults
    faults.lose += generator.randint(1, 3)
    faults.lose_before += generator.randint(0, 2)
    faults.late, faults.late_s = generator.randint(0, 2), for_s


async def _forget_history(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    items.store.faults.stale_by = generator.randint(0, 3)
    items.store.forget_history()
    await asyncio.sleep(for_s)
    items.store.faults.stale_by = 0


async def _kill_daemon(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    daemon = generator.choice(items.daemons)
    daemon.process.kill()
    await asyncio.to_thread(daemon.process.wait)
    await asyncio.sleep(for_s / 3)
    daemon.start()


async def _stop_daemon(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    daemon = generator.choice(items.daemons)
    daemon.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(daemon.process.wait)
    daemon.start()


async def _pause_daemon(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    daemon = generator.choice(items.daemons)
    daemon.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    daemon.process.send_signal(signal.SIGCONT)


async def _reload_daemon(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    generator.choice(items.daemons).process.send_signal(signal.SIGHUP)


async def _spoil_target(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    proxy = generator.choice(items.proxies)
    kind = generator.choice(("delay", "silent", "deaf", "reset"))
    if kind == "delay":
        proxy.delay_s = generator.uniform(0.01, 0.2)
    proxy.is_silent = kind == "silent"
    proxy.is_deaf = kind == "deaf"
    if kind == "reset":
        proxy.reset()
    await asyncio.sleep(for_s)
    proxy.delay_s, proxy.is_silent, proxy.is_deaf = 0.0, False, False
    proxy.reset()


async def _break_answers(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    manner = generator.choice(items.replicas).manner
    manner.cuts, manner.cut_after = generator.randint(1, 3), generator.randint(0, 8)
    manner.torn = generator.random() < 0.5
    manner.refuse += generator.randint(0, 3)
    manner.drop += generator.randint(0, 2)
    manner.extra = generator.random() < 0.5
    await asyncio.sleep(for_s)
    manner.extra = False


async def _replace_target(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    await items.replace_target(generator.randrange(len(items.replicas)))


async def _change_configuration(
    items: world.World, generator: random.Random, for_s: float
) -> None:
    items.change_configuration(generator)


FAULTS: dict[str, Fault] = {
    "store stopped": _stop_store,
    "store silent": _silence_store,
    "store loses answers": _lose_answers,
    "store forgets history": _forget_history,
    "daemon killed": _kill_daemon,
    "daemon stopped": _stop_daemon,
    "daemon paused": _pause_daemon,
    "daemon reloads": _reload_daemon,
    "target spoiled": _spoil_target,
    "target breaks answers": _break_answers,
    "target replaced": _replace_target,
    "configuration changed": _change_configuration,
}


async def inject(
    items: world.World, generator: random.Random, until_s: float
) -> list[str]:
    """Inject faults in series that overlap until a time; return their names."""
    names = []
    running = []
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        name = generator.choice(sorted(FAULTS))
        names.append(name)
        for_s = generator.uniform(_SHORTEST_S, _LONGEST_S)
        running.append(asyncio.ensure_future(FAULTS[name](items, generator, for_s)))
        await asyncio.sleep(generator.uniform(*_PAUSE_S))
    await asyncio.gather(*running)
    return names
