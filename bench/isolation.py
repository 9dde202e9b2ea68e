"""Harm of batch work to online requests, and how much idle capacity batch uses.

Each case runs twice in one run, without and with a batch job that never runs dry, on
the same fleet. The baseline of no isolation sends the same batch items straight to the
engines, as many as they have slots.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import threading
import time
import typing

import aiohttp

from bench import bars, experiment, histograms, load
from tools import fleet, jobs

_ENGINES = 4
_SLOTS = 16
_TOKEN_MS = 33.0
_PREFILL_MS = 80.0
_TOKENS = 16
_SERVICE_S = (_PREFILL_MS + _TOKENS * _TOKEN_MS) / 1000
_FULL_RATE_PER_S = _ENGINES * _SLOTS / _SERVICE_S
_CASE_S = 14.0
_WARM_UP_S = 2.0
_SETTLE_S = 4.0
_BURST_EVERY_S = 4.0
_BURST_S = 2.0
_ITEMS = 30_000
_ITEM_TOKENS = 12
_HARM_TARGET = 1.10
_USE_TARGET = 0.80


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A pattern of online load.

    :param base_share: online load as a share of the capacity of all engines
    :param burst_factor: load during bursts relative to the base; 1 for none
    """

    name: str
    base_share: float
    burst_factor: float = 1.0


@dataclasses.dataclass(slots=True)
class Measured:
    """What one run of a case showed."""

    first_token: histograms.Durations
    calls: int = 0
    complete: int = 0
    batch_use_share: float = 0.0

    def describe(self) -> dict[str, typing.Any]:
        """Return the figures as a JSON object."""
        return {
            "calls": self.calls,
            "complete": self.complete,
            "first_token_p50_ms": self.first_token.percentile_ms(50),
            "first_token_p95_ms": self.first_token.percentile_ms(95),
            "first_token_p99_ms": self.first_token.percentile_ms(99),
            "batch_use_share": self.batch_use_share,
        }


CASES = (Case("steady 70%", 0.7), Case("3x burst", 0.233, 3.0))


def run(
    has_baseline: bool = True, reserve_slots: int | None = None
) -> dict[str, typing.Any]:
    """Run all cases and return results and bars.

    :param has_baseline: whether to measure the case without isolation too
    :param reserve_slots: slots per target that batch leaves free; ``None`` for the
        default of the configuration
    """
    changes: dict[str, typing.Any] = {}
    if reserve_slots is not None:
        changes = {"batch": {"online_reserve_slots": reserve_slots}}
    plan = fleet.FleetPlan(
        daemons=3,
        engines=_ENGINES,
        slots=_SLOTS,
        token_ms=_TOKEN_MS,
        prefill_ms=_PREFILL_MS,
        daemon_settings={"batch": {"concurrent_items": 64}},
        model_service=changes,
    )
    results: dict[str, typing.Any] = {}
    found: list[bars.Bar] = []
    for case in CASES:
        # A new fleet for each case: the flood leaves a queue in the engines.
        with fleet.Fleet(plan) as running:
            alone = _measure(running, case)
            with _Job(running):
                mixed = _measure(running, case)
            measured = {"alone": alone, "with_batch": mixed}
            if has_baseline:
                with _Flood(running):
                    measured["no_isolation"] = _measure(running, case)
        results[case.name] = {name: item.describe() for name, item in measured.items()}
        found.extend(_make_bars(case, alone, mixed))
        _print_case(case, measured)
    bars.print_bars(found)
    return {"results": results, "bars": [bar.describe() for bar in found]}


def _make_bars(case: Case, alone: Measured, mixed: Measured) -> list[bars.Bar]:
    ratio = mixed.first_token.percentile_ms(95) / alone.first_token.percentile_ms(95)
    idle_share = 1 - mixed.batch_use_share
    return [
        bars.Bar(f"{case.name}: first token p95 ratio", ratio, _HARM_TARGET, "times"),
        bars.Bar(
            f"{case.name}: idle capacity not used by batch",
            idle_share,
            1 - _USE_TARGET,
            "of idle",
        ),
    ]


def _print_case(case: Case, measured: dict[str, Measured]) -> None:
    for name, item in measured.items():
        print(f"{case.name:12} {name:12} {json.dumps(item.describe())}", flush=True)


def _measure(running: fleet.Fleet, case: Case) -> Measured:
    time.sleep(_SETTLE_S)
    started_s = time.time()
    outcomes = asyncio.run(_run_loads(running, case))
    measured = Measured(histograms.Durations())
    for outcome in outcomes:
        for kind in outcome.kinds.values():
            measured.first_token.add(kind.first_token)
            measured.calls += kind.calls
            measured.complete += kind.complete
    window = (started_s + _WARM_UP_S, started_s + _CASE_S)
    measured.batch_use_share = _compute_use(running, window)
    return measured


async def _run_loads(running: fleet.Fleet, case: Case) -> list[load.LoadResult]:
    """Run the base load and the bursts on top of it."""
    urls = [daemon.url for daemon in running.daemons]
    key = running.caller_key()
    base_rate = case.base_share * _FULL_RATE_PER_S
    base = _make_experiment(base_rate, _CASE_S, seed=3, warm_up_s=_WARM_UP_S)
    tasks = [asyncio.create_task(load.run(base, urls, key))]
    if case.burst_factor > 1:
        extra = (case.burst_factor - 1) * base_rate
        for number in range(int(_CASE_S / _BURST_EVERY_S)):
            at_s = number * _BURST_EVERY_S + _BURST_EVERY_S - _BURST_S
            burst = _make_experiment(extra, _BURST_S, seed=100 + number)
            tasks.append(asyncio.create_task(_run_later(at_s, burst, urls, key)))
    return list(await asyncio.gather(*tasks))


async def _run_later(
    at_s: float, burst: experiment.Experiment, urls: list[str], key: str
) -> load.LoadResult:
    await asyncio.sleep(at_s)
    return await load.run(burst, urls, key)


def _make_experiment(
    rate_per_s: float, duration_s: float, seed: int, warm_up_s: float = 0.0
) -> experiment.Experiment:
    kind = experiment.CallKind(name="online", max_tokens=_TOKENS, prompt_bytes=200)
    return experiment.Experiment(
        name="isolation",
        seed=seed,
        duration_s=duration_s,
        warm_up_s=warm_up_s,
        arrivals=experiment.Arrivals(rate_per_s=rate_per_s),
        calls=(kind,),
    )


def _compute_use(running: fleet.Fleet, window: tuple[float, float]) -> float:
    """Return batch's share of the slot time that online requests left idle."""
    total_s = _ENGINES * _SLOTS * (window[1] - window[0])
    used_s = {True: 0.0, False: 0.0}
    for engine in running.engines:
        for entry in engine.record()["runs"]:
            if entry["started_at_s"] is None:
                continue
            ended_s = entry["ended_at_s"] or window[1]
            start_s = max(entry["started_at_s"], window[0])
            used_s[entry["batch"]] += max(0.0, min(ended_s, window[1]) - start_s)
    idle_s = total_s - used_s[False]
    return used_s[True] / idle_s if idle_s > 0 else 0.0


class _Job:
    """A batch job that runs for the time of the context, then is cancelled."""

    def __init__(self, running: fleet.Fleet) -> None:
        self._running = running
        self._job_id = ""

    def __enter__(self) -> None:
        model = self._running.plan.model
        # The time keeps a second job apart from the first, whose key would be the same.
        text = f"record {time.time()}"
        bodies = jobs.make_bodies(model, _ITEMS, _ITEM_TOKENS, text)
        self._job_id = jobs.submit(self._running, bodies)

    def __exit__(self, *_error: object) -> None:
        self._running.run_ctl("jobs", "cancel", self._job_id)


class _Flood:
    """Batch items sent straight to the engines without regard to online requests."""

    def __init__(self, running: fleet.Fleet) -> None:
        self._running = running
        self._stop = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))

    def __enter__(self) -> None:
        self._thread.start()

    def __exit__(self, *_error: object) -> None:
        self._stop.set()
        self._thread.join()

    async def _run(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            senders = [
                self._send(session, engine.url)
                for engine in self._running.engines
                for _ in range(_SLOTS)
            ]
            await asyncio.gather(*senders)

    async def _send(self, session: aiohttp.ClientSession, url: str) -> None:
        headers = {"X-Endivevane-Class": "batch"}
        number = 0
        while not self._stop.is_set():
            number += 1
            body = _make_body(self._running, f"flood {number}")
            async with session.post(
                f"{url}/v1/chat/completions", json=body, headers=headers
            ) as response:
                await response.read()


def _make_body(running: fleet.Fleet, text: str) -> dict[str, typing.Any]:
    return {
        "model": running.plan.model,
        "messages": [{"role": "user", "content": f"record {text}"}],
        "max_tokens": _ITEM_TOKENS,
    }


def main() -> int:
    """Run the measurement alone."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-baseline", action="store_true")
    parser.add_argument("--reserve-slots", type=int)
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    figures = run(not arguments.no_baseline, arguments.reserve_slots)
    return bars.finish(figures, arguments.output)


if __name__ == "__main__":
    sys.exit(main())
