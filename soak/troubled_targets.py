"""Targets in trouble during the soak test: they crash on a segment, or name limits."""

from __future__ import annotations

import asyncio
import random

from features.support import serving_processes, serving_world
from soak import environment
from standins import replica

_SEGMENT = "deadly"
_SHARED_SEGMENT = "shared"
# Pauses between two requests with the segment, and between two changes of a limit.
_REQUEST_INTERVAL_S = (0.1, 0.6)
_LIMIT_INTERVAL_S = (0.5, 2.0)
_RESTART_S = (0.3, 1.5)
_LIMITS = ("", "", "0", "0.5", "2", "20", "nan")


async def run(
    env: environment.Environment, generator: random.Random, end_s: float
) -> None:
    """Trouble the targets until a point in time."""
    crashes = _CrashingTargets(env, generator)
    try:
        await asyncio.gather(
            crashes.run(end_s),
            _send_deadly_requests(env, generator, end_s),
            _change_limits(env, generator, end_s),
        )
    finally:
        crashes.stop()


class _CrashingTargets:
    """Lets all targets crash on the segment, and replaces those that have."""

    def __init__(self, env: environment.Environment, generator: random.Random) -> None:
        self._env = env
        self._generator = generator
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self, end_s: float) -> None:
        """Watch for new targets, and wait for the last replacement."""
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            for item in self._env.replicas:
                item.manner.crash_segment = _SEGMENT
                item.on_crash = self._begin_restart
            await asyncio.sleep(0.05)
        await asyncio.gather(*self._restarts)

    def stop(self) -> None:
        """Cancel what is under way."""
        for task in self._restarts:
            task.cancel()

    def _begin_restart(self, crashed: replica.Replica) -> None:
        task = asyncio.ensure_future(self._restart(crashed))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, crashed: replica.Replica) -> None:
        """Refuse connections for a while, then start a new target."""
        if crashed not in self._env.replicas:
            return
        number = self._env.replicas.index(crashed)
        await self._env.proxies[number].stop()
        await asyncio.sleep(self._generator.uniform(*_RESTART_S))
        if crashed in self._env.replicas:
            await self._env.replace_target(self._env.replicas.index(crashed))


async def _send_deadly_requests(
    env: environment.Environment, generator: random.Random, end_s: float
) -> None:
    loop = asyncio.get_running_loop()
    calls = []
    while loop.time() < end_s:
        attempt = f"{generator.getrandbits(48):012x}"
        daemon = generator.choice(env.daemons)
        calls.append(asyncio.ensure_future(_send_deadly_request(daemon, attempt)))
        await asyncio.sleep(generator.uniform(*_REQUEST_INTERVAL_S))
    await asyncio.gather(*calls)


async def _send_deadly_request(daemon: serving_processes.Daemon, attempt: str) -> None:
    prompt = f"{_SHARED_SEGMENT}:5,{_SEGMENT}:5,{attempt}:5"
    data = serving_world.make_request(
        f"/quote/{attempt}",
        attempt,
        b"hello",
        ("Deadline-Ms: 3000", f"Prompt-Prefix: {prompt}"),
    )
    try:
        await serving_world.send_request(daemon.port, data, wait_s=5.0)
    except (OSError, TimeoutError):
        # Whether it is answered does not matter, only what happens to others.
        return


async def _change_limits(
    env: environment.Environment, generator: random.Random, end_s: float
) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        item = generator.choice(env.replicas)
        item.manner.rate_limit = generator.choice(_LIMITS)
        await asyncio.sleep(generator.uniform(*_LIMIT_INTERVAL_S))
    for item in env.replicas:
        item.manner.rate_limit = ""
