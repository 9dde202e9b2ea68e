"""Open-loop load tool for chat completions.

Calls start at scheduled times whatever the state of the earlier ones, and latency
counts from the scheduled time, so that a slow system can't slow its own load down.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import gc
import itertools
import json
import pathlib
import sys
import typing
from collections import abc

import aiohttp

from bench import experiment as experiments
from bench import histograms
from standins import completions

_DONE = b"[DONE]"
_PATH = "/v1/chat/completions"


@dataclasses.dataclass(slots=True)
class CallOutcome:
    """What became of one call; times are seconds from its scheduled arrival.

    :param late_s: how late the load tool itself started the call
    :param gaps_s: times between tokens
    :param events: data of the events that arrived, or the whole body
    :param problem: empty when the answer is complete and right
    """

    arrival: experiments.Arrival
    late_s: float = 0.0
    status: int = 0
    run_state: str = ""
    first_token_s: float | None = None
    ended_s: float = 0.0
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    events: list[bytes] = dataclasses.field(default_factory=list)
    problem: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the whole and right answer arrived."""
        return self.status == 200 and not self.problem

    @property
    def is_refused(self) -> bool:
        """Whether the call was answered with an error status."""
        return self.status >= 400


@dataclasses.dataclass(slots=True)
class KindResult:
    """Results of one kind of call."""

    calls: int = 0
    complete: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    problems: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: histograms.Durations = dataclasses.field(
        default_factory=histograms.Durations
    )
    first_token: histograms.Durations = dataclasses.field(
        default_factory=histograms.Durations
    )
    gap: histograms.Durations = dataclasses.field(default_factory=histograms.Durations)
    refusal: histograms.Durations = dataclasses.field(
        default_factory=histograms.Durations
    )

    def describe(self) -> dict[str, typing.Any]:
        """Return the result as a JSON object; times are milliseconds."""
        return {
            "calls": self.calls,
            "complete": self.complete,
            "refused": dict(self.refused),
            "problems": dict(self.problems),
            "latency_ms": self.latency.summarise(),
            "first_token_ms": self.first_token.summarise(),
            "gap_ms": self.gap.summarise(),
            "refusal_ms": self.refusal.summarise(),
        }


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Results of an experiment.

    :param start_delay: how late the load tool started calls; large values mean that
        the tool itself was short of processor time
    """

    experiment: experiments.Experiment
    kinds: dict[str, KindResult]
    start_delay: histograms.Durations
    outcomes: list[CallOutcome]

    def describe(self) -> dict[str, typing.Any]:
        """Return the results as a JSON object."""
        return {
            "experiment": self.experiment.model_dump(),
            "start_delay_ms": self.start_delay.summarise(),
            "kinds": {name: kind.describe() for name, kind in self.kinds.items()},
        }


def run_load(
    experiment: experiments.Experiment,
    urls: abc.Sequence[str],
    api_key: str | None = None,
) -> LoadResult:
    """Run an experiment to its end.

    :param urls: base URLs that the calls go to in turn
    :param api_key: sent as a bearer token
    """
    return asyncio.run(run(experiment, urls, api_key))


async def run(
    experiment: experiments.Experiment,
    urls: abc.Sequence[str],
    api_key: str | None = None,
) -> LoadResult:
    """Run an experiment inside an event loop."""
    schedule = experiments.make_schedule(experiment)
    headers = {"Authorization": f"Bearer {api_key}"} if api_key else {}
    connector = aiohttp.TCPConnector(limit=0, force_close=not experiment.keep_alive)
    loop = asyncio.get_running_loop()
    bases = itertools.cycle(urls)
    with _paused_collector():
        async with aiohttp.ClientSession(
            connector=connector, headers=headers
        ) as session:
            start_s = loop.time()
            tasks = []
            for arrival in schedule:
                await asyncio.sleep(start_s + arrival.at_s - loop.time())
                caller = _Caller(session, next(bases), start_s + arrival.at_s)
                tasks.append(asyncio.create_task(caller.call(arrival)))
            outcomes = await asyncio.gather(*tasks)
    return _collect(experiment, outcomes)


@contextlib.contextmanager
def _paused_collector() -> typing.Any:
    """Keep pauses of the garbage collector out of the measured times."""
    was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


class _Caller:
    """Makes one call.

    :param due_s: scheduled time on the event loop's clock
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, due_s: float) -> None:
        self._session = session
        self._url = url
        self._due_s = due_s
        self._time = asyncio.get_running_loop().time

    async def call(self, arrival: experiments.Arrival) -> CallOutcome:
        outcome = CallOutcome(arrival, late_s=self._time() - self._due_s)
        try:
            async with asyncio.timeout_at(self._due_s + arrival.kind.timeout_s):
                await self._exchange(arrival, outcome)
        except TimeoutError:
            outcome.problem = "timeout"
        except (aiohttp.ClientError, OSError) as error:
            outcome.problem = type(error).__name__
        outcome.ended_s = self._time() - self._due_s
        return outcome

    async def _exchange(
        self, arrival: experiments.Arrival, outcome: CallOutcome
    ) -> None:
        kind = arrival.kind
        body = {
            "model": kind.model,
            "messages": arrival.messages,
            "max_tokens": kind.max_tokens,
            "temperature": 0,
            "stream": kind.streamed,
        }
        async with self._session.post(
            self._url + _PATH, json=body, headers=kind.headers
        ) as response:
            outcome.status = response.status
            outcome.run_state = response.headers.get("X-Run-State", "")
            if kind.streamed and response.status == 200:
                await self._read_events(response, outcome)
            else:
                outcome.events.append(await response.read())

    async def _read_events(
        self, response: aiohttp.ClientResponse, outcome: CallOutcome
    ) -> None:
        rest = b""
        last_s: float | None = None
        async for data in response.content.iter_any():
            now_s = self._time()
            *blocks, rest = (rest + data).split(b"\n\n")
            for block in blocks:
                event = _find_data(block)
                if event is None:
                    continue
                outcome.events.append(event)
                if event == _DONE:
                    continue
                if last_s is None:
                    outcome.first_token_s = now_s - self._due_s
                else:
                    outcome.gaps_s.append(now_s - last_s)
                last_s = now_s


def _find_data(block: bytes) -> bytes | None:
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            return line[5:].strip()
    return None


def _collect(
    experiment: experiments.Experiment, outcomes: abc.Sequence[CallOutcome]
) -> LoadResult:
    result = LoadResult(
        experiment,
        {kind.name: KindResult() for kind in experiment.calls},
        histograms.Durations(),
        list(outcomes),
    )
    for outcome in outcomes:
        result.start_delay.record(outcome.late_s)
        if outcome.arrival.at_s < experiment.warm_up_s:
            continue
        check_answer(outcome)
        _count(result.kinds[outcome.arrival.kind.name], outcome)
    return result


def _count(kind: KindResult, outcome: CallOutcome) -> None:
    kind.calls += 1
    if outcome.is_refused:
        kind.refused[f"{outcome.status} {outcome.run_state}".strip()] += 1
        kind.refusal.record(outcome.ended_s)
        return
    if outcome.problem:
        kind.problems[outcome.problem] += 1
        return
    kind.complete += 1
    kind.latency.record(outcome.ended_s)
    if outcome.first_token_s is not None:
        kind.first_token.record(outcome.first_token_s)
    for gap_s in outcome.gaps_s:
        kind.gap.record(gap_s)


def check_answer(outcome: CallOutcome) -> None:
    """Compare the answer with the one that the stand-in's engines give."""
    if outcome.problem or outcome.status != 200:
        return
    kind = outcome.arrival.kind
    expected = completions.expected_text(outcome.arrival.messages, kind.max_tokens)
    try:
        text = join_text(outcome) if kind.streamed else _read_text(outcome)
    except (ValueError, KeyError, IndexError, TypeError):
        outcome.problem = "malformed answer"
        return
    if not outcome.problem and text != expected:
        outcome.problem = "wrong answer"


def join_text(outcome: CallOutcome) -> str:
    """Return the text of a streamed answer and note what is wrong with its form."""
    parts = []
    if not outcome.events or outcome.events[-1] != _DONE:
        outcome.problem = "no [DONE]"
    for event in outcome.events:
        if event == _DONE:
            continue
        body = json.loads(event)
        if "error" in body:
            outcome.problem = "error event"
            continue
        for choice in body["choices"]:
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


def _read_text(outcome: CallOutcome) -> str:
    text: str = json.loads(outcome.events[0])["choices"][0]["message"]["content"]
    return text


def main() -> int:
    """Run an experiment from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("experiment", type=pathlib.Path, help="TOML file")
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--api-key")
    parser.add_argument("--seed", type=int, help="instead of the file's seed")
    parser.add_argument("--output", type=pathlib.Path, help="JSON file for the results")
    arguments = parser.parse_args()
    experiment = experiments.load_experiment(arguments.experiment)
    if arguments.seed is not None:
        experiment = experiment.change(seed=arguments.seed)
    print(f"experiment {experiment.name}, seed {experiment.seed}", file=sys.stderr)
    result = run_load(experiment, arguments.url, arguments.api_key)
    text = json.dumps(result.describe(), indent=2)
    if arguments.output:
        arguments.output.write_text(text + "\n")
    print_summary(result)
    return 0


def print_summary(result: LoadResult) -> None:
    """Print one line per kind of call."""
    for name, kind in result.kinds.items():
        parts = [f"{name}: {kind.complete} of {kind.calls} complete"]
        parts += [f"{count} x {text}" for text, count in kind.refused.items()]
        parts += [f"{count} x {text}" for text, count in kind.problems.items()]
        if kind.complete:
            parts.append(f"latency p95 {kind.latency.percentile_ms(95):.1f} ms")
        if kind.first_token.count:
            parts.append(f"first token p95 {kind.first_token.percentile_ms(95):.1f} ms")
            parts.append(f"gap p95 {kind.gap.percentile_ms(95):.1f} ms")
        print(", ".join(parts), flush=True)


if __name__ == "__main__":
    sys.exit(main())
