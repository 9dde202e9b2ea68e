"""Clients of the soak test, which check the guarantees of the service."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random

from features.support import serving_processes, serving_world
from soak import environment
from standins import replica

# Statuses that guarantee that a request has not run and never will.
_NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
_FINISH_S = 40.0


@dataclasses.dataclass
class Report:
    """Counts of outcomes as the clients saw them.

    :ivar resumed: tries of clients to go on with a stream
    :ivar violations: descriptions of violated guarantees
    """

    served: int = 0
    refused: int = 0
    failed: int = 0
    jobs: int = 0
    items: int = 0
    resumed: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


async def send_streams(
    items: environment.Environment,
    report: Report,
    generator: random.Random,
    end_s: float,
) -> None:
    """Send online requests sequentially until a point in time."""
    loop = asyncio.get_running_loop()
    while loop.time() < end_s:
        prefix = generator.choice(("/quote/", "/once/"))
        attempt = f"{generator.getrandbits(48):012x}"
        daemon = generator.choice(items.daemons)
        response = await send_stream(daemon, prefix, attempt)
        check_stream_response(items, report, prefix, attempt, response)
        await asyncio.sleep(generator.uniform(0.0, 0.1))


async def send_stream(
    daemon: serving_processes.Daemon, prefix: str, attempt: str
) -> serving_world.Response:
    """Send an online request; return an empty response if there is none in time."""
    data = environment.make_stream(prefix, attempt)
    try:
        return await serving_world.send_request(daemon.port, data, wait_s=5.0)
    except (OSError, TimeoutError):
        return serving_world.Response()


def check_stream_response(
    items: environment.Environment,
    report: Report,
    prefix: str,
    attempt: str,
    response: serving_world.Response,
) -> None:
    """Count the response to a stream, and record what violates a guarantee."""
    expected = b"".join(
        replica.make_event(attempt, number)
        for number in range(1, environment.EVENTS + 1)
    )
    if response.status == 200:
        if response.is_complete and response.body != expected:
            report.violations.append(f"MIXED {attempt}: {response.body!r}")
        if not expected.startswith(response.body):
            report.violations.append(f"ORDER {attempt}: {response.body!r}")
        report.served += response.is_complete
        report.failed += not response.is_complete
        return
    if response.status in _NOT_EXECUTED_STATUSES:
        report.refused += 1
        if any(run.attempt == attempt for run in items.list_runs()):
            report.violations.append(
                f"REFUSED {attempt}: {response.status} but it has run"
            )
        return
    if response.status in (400, 401, 403, 404):
        report.violations.append(f"DENIED {attempt}: {response.status}")
    report.failed += 1


def check_runs(items: environment.Environment, report: Report) -> None:
    """Check that no request that must not be repeated ran more than once."""
    counts: dict[str, int] = {}
    for run in items.list_runs():
        if run.path.startswith("/once/"):
            counts[run.attempt] = counts.get(run.attempt, 0) + 1
    for attempt, count in counts.items():
        if count > 1:
            report.violations.append(f"TWICE {attempt}: {count} runs")


def check_daemons(items: environment.Environment, report: Report) -> None:
    """Check that every daemon runs, once all faults are over."""
    for daemon in items.daemons:
        status = daemon.process.poll()
        if status is not None:
            report.violations.append(f"ENDED {daemon.name}: by itself, status {status}")


class JobClient:
    """Submits one job until it is accepted and polls its results.

    Every read must be consistent with the earlier reads from all daemons.
    """

    def __init__(
        self, items: environment.Environment, report: Report, generator: random.Random
    ):
        self._env = items
        self._report = report
        self._generator = generator
        self._job_id = f"{generator.getrandbits(48):012x}"
        self._count = generator.randint(2, 8)
        self._seen: list[dict] = []
        self._is_cancelled = False

    async def run(self, deadline_s: float) -> None:
        """Run the job; all results must be listed before the deadline."""
        if not await self._submit(deadline_s):
            return
        self._report.jobs += 1
        cancels = self._generator.random() < 0.15
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_s:
            await self._read()
            if cancels and self._seen:
                await self._cancel()
            if len(self._seen) == self._count or self._is_cancelled:
                break
            await asyncio.sleep(0.2)
        if len(self._seen) < self._count and not self._is_cancelled:
            self._report.violations.append(
                f"LOST {self._job_id}: {len(self._seen)} of {self._count} listed"
            )
        self._report.items += len(self._seen)
        self._check_results()

    async def _submit(self, deadline_s: float) -> bool:
        loop = asyncio.get_running_loop()
        data = serving_processes.make_job(self._job_id, self._count, wait_ms=2000)
        while loop.time() < deadline_s - 20.0:
            response = await self._send(data)
            if response.status == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def _read(self) -> None:
        start = self._generator.randint(0, len(self._seen))
        await self._read_from(start, self._generator.choice(self._env.daemons))

    async def _read_from(
        self, start: int, daemon: serving_processes.Daemon
    ) -> serving_world.Response:
        """Read the results from a position on, check them and return the response."""
        path = f"/api/lots/{self._job_id}?after={start}"
        data = serving_processes.make_call("GET", path)
        response = await self._send_to(daemon, data)
        if response.status == 404:
            self._report.violations.append(f"LOST {self._job_id}: 404 after its 202")
        if response.status == 200 and response.is_complete:
            self._check_page(start, response)
        return response

    def _check_page(self, start: int, response: serving_world.Response) -> None:
        page = json.loads(response.body)
        if page["total"] != self._count:
            self._report.violations.append(f"MIXED {self._job_id}: total {page}")
        for offset, result in enumerate(page["results"]):
            position = start + offset
            if position < len(self._seen):
                if self._seen[position] != result:
                    self._report.violations.append(
                        f"TWICE {self._job_id}: position {position} changed"
                    )
                continue
            if result["id"] in [item["id"] for item in self._seen]:
                self._report.violations.append(f"TWICE {self._job_id}: {result['id']}")
            self._seen.append(result)

    async def _cancel(self) -> None:
        path = f"/api/lots/{self._job_id}"
        response = await self._send(serving_processes.make_call("DELETE", path))
        self._is_cancelled = response.status == 200

    def _check_results(self) -> None:
        for result in self._seen:
            is_expected = result["text"] == "\n".join(list_pieces(result["id"]))
            if result["state"] == "completed" and not is_expected:
                self._report.violations.append(f"ORDER {self._job_id}: {result}")
            if result["state"] != "completed":
                self._report.violations.append(
                    f"MIXED {self._job_id}: given up {result}"
                )

    async def _send(self, data: bytes) -> serving_world.Response:
        return await self._send_to(self._generator.choice(self._env.daemons), data)

    async def _send_to(
        self, daemon: serving_processes.Daemon, data: bytes
    ) -> serving_world.Response:
        try:
            return await serving_world.send_request(daemon.port, data, wait_s=4.0)
        except (OSError, TimeoutError):
            return serving_world.Response()


def list_pieces(item_id: str) -> list[str]:
    """Return the data of an item's events."""
    return [f"{item_id} piece {number}" for number in range(1, environment.EVENTS + 1)]
