"""Releases of the targets' software during the soak test, and clients that resume."""

from __future__ import annotations

import asyncio
import random
import signal

from features.support import version_world
from soak import callers, environment, faults
from standins import replica

_CLIENTS = 8
_MAX_TRIES = 5
_PAUSE_S = (0.0, 0.1)
_EVENT_GAP_S = 0.03
_RELEASE_GAP_S = (0.1, 0.8)
_DOWN_S = (0.0, 1.0)


class Releases:
    """Targets of several versions, which name theirs in each event."""

    def __init__(self, env: environment.Environment) -> None:
        self._env = env
        self._number = 1
        self.kinds = {
            **faults.FAULTS,
            "release": self._release,
            "one target released": self._release_one,
            "all daemons killed": _kill_all,
            "daemon without the store": _cut_store,
            "daemon alone": _leave_alone,
        }

    async def prepare(self) -> None:
        """Let the targets name their versions."""
        self._env.on_target_added = self._prepare_target
        for item in self._env.replicas:
            self._prepare_target(item)

    def _prepare_target(self, item: replica.Replica) -> None:
        item.manner.shows_version = True
        item.manner.gap_s = _EVENT_GAP_S

    async def _release(
        self,
        env: environment.Environment,
        generator: random.Random,
        duration_s: float,
    ) -> None:
        """Replace all targets by a new version, one after the other."""
        self._number += 1
        env.target_version = f"v{self._number}"
        for _ in range(len(env.replicas)):
            await env.replace_target(0)
            await asyncio.sleep(generator.uniform(*_RELEASE_GAP_S))

    async def _release_one(
        self,
        env: environment.Environment,
        generator: random.Random,
        duration_s: float,
    ) -> None:
        """Replace one target by a new or the former version."""
        self._number += generator.randint(0, 1)
        former, env.target_version = env.target_version, f"v{self._number}"
        if generator.random() < 0.3:
            env.target_version = former
        await env.replace_target(generator.randrange(len(env.replicas)))


async def _kill_all(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    # An overlapping fault may start a daemon again meanwhile.
    processes = [daemon.process for daemon in env.daemons]
    for process in processes:
        process.kill()
    for process in processes:
        await asyncio.to_thread(process.wait)
    await asyncio.sleep(generator.uniform(*_DOWN_S))
    for daemon in env.daemons:
        faults.start_again(daemon)


async def _cut_store(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    """Let the store be silent for one daemon."""
    link = generator.choice(env.store_links)
    link.blocks_all = True
    await asyncio.sleep(duration_s)
    link.blocks_all = False
    link.reset()


async def _leave_alone(
    env: environment.Environment, generator: random.Random, duration_s: float
) -> None:
    """Cut one daemon off from the store, while the others stand still for a part."""
    number = generator.randrange(len(env.daemons))
    link = env.store_links[number]
    others = [item for item in env.daemons if item is not env.daemons[number]]
    link.blocks_all = True
    await asyncio.sleep(duration_s * generator.random())
    for daemon in others:
        daemon.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s * generator.random())
    for daemon in others:
        daemon.process.send_signal(signal.SIGCONT)
    link.blocks_all = False
    link.reset()


def start_clients(
    env: environment.Environment, report: callers.Report, seed: int, end_s: float
) -> list[asyncio.Future[None]]:
    """Start clients that resume streams which have broken off."""
    return [
        asyncio.ensure_future(
            _send_streams(env, report, random.Random(f"{seed} release {number}"), end_s)
        )
        for number in range(_CLIENTS)
    ]


async def _send_streams(
    env: environment.Environment,
    report: callers.Report,
    generator: random.Random,
    end_s: float,
) -> None:
    """Send streams, and resume those that have broken off, until a point in time."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        stream = version_world.Stream(f"{generator.getrandbits(48):012x}")
        await _send_stream(env, generator, stream)
        report.resumed += len(stream.statuses) - 1
        report.served += stream.is_whole
        report.failed += not stream.is_whole
        if stream.is_joined:
            report.violations.append(
                f"ORDER {stream.attempt}: {stream.versions} {stream.statuses}"
            )
        if stream.is_whole and len(stream.versions) != environment.EVENTS:
            report.violations.append(f"ORDER {stream.attempt}: {stream.versions}")
        await asyncio.sleep(generator.uniform(*_PAUSE_S))


async def _send_stream(
    env: environment.Environment,
    generator: random.Random,
    stream: version_world.Stream,
) -> None:
    """Request a stream until it is whole, or until its client gives up."""
    for number in range(_MAX_TRIES):
        daemon = generator.choice(env.daemons)
        attempt = f"{stream.attempt}-{number}" if number else stream.attempt
        if not stream.versions:
            # Without events each try begins a stream of its own.
            stream.attempt = attempt
        try:
            await version_world.request(daemon, stream, attempt)
        except (OSError, TimeoutError):
            stream.statuses.append(0)
        if stream.is_whole:
            return
        await asyncio.sleep(generator.uniform(0.05, 0.4))


class JobClient(callers.JobClient):
    """Checks that the text of each item is of one version."""

    def _check_results(self) -> None:
        for result in self._seen:
            if result["state"] != "completed":
                self._report.violations.append(f"MIXED {self._job_id}: {result}")
                continue
            lines = result["text"].split("\n")
            versions = {line.rpartition(" ")[2] for line in lines}
            pieces = [line.rpartition(" at ")[0] for line in lines]
            if len(versions) != 1 or pieces != callers.list_pieces(result["id"]):
                self._report.violations.append(f"ORDER {self._job_id}: {result}")
