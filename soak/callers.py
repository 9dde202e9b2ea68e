"""Clients of a soak, and the promises that they check."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random

from features.support import serving_processes, serving_world
from soak import world
from standins import replica

# Statuses that promise that a request has not run and never will.
_PROMISES = (408, 421, 429, 503)
_FINISH_S = 40.0


@dataclasses.dataclass
class Report:
    """What the clients saw.

    :ivar broken: promises that were broken, each with what was seen
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    jobs: int = 0
    items: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)


async def ask_streams(
    items: world.World, report: Report, generator: random.Random, until_s: float
) -> None:
    """Send online requests one after the other until a time."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s:
        prefix = generator.choice(("/quote/", "/once/"))
        attempt = f"{generator.getrandbits(48):012x}"
        daemon = generator.choice(items.daemons)
        data = world.make_stream(prefix, attempt)
        try:
            reply = await serving_world.send_request(daemon.port, data, wait_s=5.0)
        except (OSError, TimeoutError):
            reply = serving_world.Response()
        _check_stream(items, report, prefix, attempt, reply)
        await asyncio.sleep(generator.uniform(0.0, 0.1))


def _check_stream(
    items: world.World,
    report: Report,
    prefix: str,
    attempt: str,
    reply: serving_world.Response,
) -> None:
    whole = b"".join(
        replica.make_event(attempt, number) for number in range(1, world.EVENTS + 1)
    )
    if reply.status == 200:
        if reply.is_complete and reply.body != whole:
            report.broken.append(f"MIXED {attempt}: {reply.body!r}")
        if not whole.startswith(reply.body):
            report.broken.append(f"ORDER {attempt}: {reply.body!r}")
        report.served += reply.is_complete
        report.failed += not reply.is_complete
        return
    if reply.status in _PROMISES:
        report.refused += 1
        if any(run.attempt == attempt for run in items.list_runs()):
            report.broken.append(f"REFUSED {attempt}: {reply.status} but it has run")
        return
    if reply.status in (400, 401, 403, 404):
        report.broken.append(f"DENIED {attempt}: {reply.status}")
    report.failed += 1


def check_runs(items: world.World, report: Report) -> None:
    """Check what the targets saw of requests that may run once."""
    counts: dict[str, int] = {}
    for run in items.list_runs():
        if run.path.startswith("/once/"):
            counts[run.attempt] = counts.get(run.attempt, 0) + 1
    for attempt, count in counts.items():
        if count > 1:
            report.broken.append(f"TWICE {attempt}: {count} runs")


class JobCaller:
    """Hands in one job until it is accepted and reads it to its end.

    Every read must show what earlier reads of any daemon have shown.
    """

    def __init__(self, items: world.World, report: Report, generator: random.Random):
        self._items = items
        self._report = report
        self._generator = generator
        self._job_id = f"{generator.getrandbits(48):012x}"
        self._count = generator.randint(2, 8)
        self._seen: list[dict] = []
        self._is_ended = False

    async def run(self, finish_s: float) -> None:
        """Play the job; all of it must be listed in time."""
        if not await self._submit(finish_s):
            return
        self._report.jobs += 1
        ends = self._generator.random() < 0.15
        loop = asyncio.get_running_loop()
        while loop.time() < finish_s:
            await self._read()
            if ends and self._seen:
                await self._end()
            if len(self._seen) == self._count or self._is_ended:
                break
            await asyncio.sleep(0.2)
        if len(self._seen) < self._count and not self._is_ended:
            self._report.broken.append(
                f"LOST {self._job_id}: {len(self._seen)} of {self._count} listed"
            )
        self._report.items += len(self._seen)
        self._check_texts()

    async def _submit(self, finish_s: float) -> bool:
        loop = asyncio.get_running_loop()
        data = serving_processes.make_job(self._job_id, self._count, wait_ms=2000)
        while loop.time() < finish_s - 20.0:
            reply = await self._ask(data)
            if reply.status == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def _read(self) -> None:
        start = self._generator.randint(0, len(self._seen))
        path = f"/api/lots/{self._job_id}?after={start}"
        reply = await self._ask(serving_processes.make_call("GET", path))
        if reply.status == 404:
            self._report.broken.append(f"LOST {self._job_id}: 404 after its 202")
        if reply.status != 200 or not reply.is_complete:
            return
        answer = json.loads(reply.body)
        if answer["total"] != self._count:
            self._report.broken.append(f"MIXED {self._job_id}: total {answer}")
        for offset, result in enumerate(answer["results"]):
            position = start + offset
            if position < len(self._seen):
                if self._seen[position] != result:
                    self._report.broken.append(
                        f"TWICE {self._job_id}: position {position} changed"
                    )
                continue
            if result["id"] in [item["id"] for item in self._seen]:
                self._report.broken.append(f"TWICE {self._job_id}: {result['id']}")
            self._seen.append(result)

    async def _end(self) -> None:
        path = f"/api/lots/{self._job_id}"
        reply = await self._ask(serving_processes.make_call("DELETE", path))
        self._is_ended = reply.status == 200

    def _check_texts(self) -> None:
        for result in self._seen:
            lines = [
                f"{result['id']} piece {number}"
                for number in range(1, world.EVENTS + 1)
            ]
            is_whole = result["text"] == "\n".join(lines)
            if result["state"] == "completed" and not is_whole:
                self._report.broken.append(f"ORDER {self._job_id}: {result}")
            if result["state"] != "completed":
                self._report.broken.append(f"MIXED {self._job_id}: given up {result}")

    async def _ask(self, data: bytes) -> serving_world.Response:
        daemon = self._generator.choice(self._items.daemons)
        try:
            return await serving_world.send_request(daemon.port, data, wait_s=4.0)
        except (OSError, TimeoutError):
            return serving_world.Response()
