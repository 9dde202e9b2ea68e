"""Clients of the soak test that read the same job at two daemons by turns."""

from __future__ import annotations

import asyncio
import json
import random

from soak import callers, environment

# A result that one daemon has shown is there at all others after this time.
_SETTLE_S = 1.0
# Reads go on for this time once all results are known, so that some are settled.
_READ_ON_S = 3.0
_READ_INTERVAL_S = 0.1


class TurnReader(callers.JobClient):
    """Checks that a result that one daemon has shown is at another one too."""

    def __init__(
        self,
        items: environment.Environment,
        report: callers.Report,
        generator: random.Random,
    ) -> None:
        super().__init__(items, report, generator)
        self._turns = generator.sample(items.daemons, 2)
        # Position -> daemon -> when it first showed the result.
        self._shown_s: dict[int, dict[str, float]] = {}

    async def run(self, deadline_s: float) -> None:
        """Run the job, and go on reading its results for a while."""
        await super().run(deadline_s)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _READ_ON_S
        while self._seen and not self._is_cancelled and loop.time() < end_s:
            await self._read()
            await asyncio.sleep(_READ_INTERVAL_S)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        self._turns.reverse()
        daemon, other = self._turns
        sent_s = loop.time()
        settled = [
            position
            for position, shown_s in self._shown_s.items()
            if shown_s.get(other.name, sent_s) + _SETTLE_S < sent_s
        ]
        start = self._generator.randint(0, len(self._seen))
        if settled and self._generator.random() < 0.5:
            start = max(settled)
        response = await self._read_from(start, daemon)
        is_page = response.is_complete and response.status == 200
        results = json.loads(response.body)["results"] if is_page else []
        for position in range(start, start + len(results)):
            shown_s = self._shown_s.setdefault(position, {})
            shown_s.setdefault(daemon.name, loop.time())
        is_refused = response.status == 503 or not response.is_complete
        if results or is_refused or start not in settled:
            return
        if self._env.disturbances.is_stable(daemon.name, sent_s):
            self._report.violations.append(
                f"LOST {self._job_id}: position {start} is not at {daemon.name}, "
                f"status {response.status}, sent at {sent_s:.3f}, shown before at "
                f"{self._shown_s[start]}"
            )
