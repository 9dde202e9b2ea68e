"""Compare streams through one daemon with streams straight from the same engine.

Both ways alternate within one run. Gaps and first tokens are those that the caller
sees; the processor share of the daemon is taken while all streams are open.

Other work on the machine can slow either way. The relayed streams are therefore
compared with the quietest round of the direct ones, so that noise can only count
against the daemon, and a few direct streams run next to the relayed ones as a control:
where the control is slow too, the machine was busy.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import pathlib
import sys
import typing

import psutil

from bench import bars, experiment, histograms, load, processor
from tools import fleet

_TOKEN_MS = 33.0
_RAMP_S = 4.0
_MARGIN_S = 1.0
_KIND = "stream"
_CONTROL_SHARE = 0.1
# Targets of the design: at 33 ms a token, one more event loop may add 5 % to the p95
# gap, 10 ms to the first token, and may take 0.4 of a core for 220 streams.
_MAX_GAP_RATIO = 1.05
_MAX_FIRST_TOKEN_MS = 10.0
_MAX_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class Side:
    """Results of one way, over all rounds.

    :param round_gaps_ms: p95 gap of each round
    """

    name: str
    gap: histograms.Durations = dataclasses.field(default_factory=histograms.Durations)
    first_token: histograms.Durations = dataclasses.field(
        default_factory=histograms.Durations
    )
    round_gaps_ms: list[float] = dataclasses.field(default_factory=list)
    round_first_tokens_ms: list[float] = dataclasses.field(default_factory=list)
    shares: list[float] = dataclasses.field(default_factory=list)
    tool_shares: list[float] = dataclasses.field(default_factory=list)
    memory_bytes: int = 0
    calls: int = 0
    complete: int = 0
    problems: list[str] = dataclasses.field(default_factory=list)

    def add(self, result: load.KindResult) -> None:
        """Add the result of one round."""
        self.gap.add(result.gap)
        self.first_token.add(result.first_token)
        self.round_gaps_ms.append(result.gap.percentile_ms(95))
        self.round_first_tokens_ms.append(result.first_token.percentile_ms(95))
        self.calls += result.calls
        self.complete += result.complete
        for counter in (result.refused, result.problems):
            self.problems += [f"{count} x {text}" for text, count in counter.items()]

    def describe(self) -> dict[str, typing.Any]:
        """Return the side as a JSON object."""
        return {
            "name": self.name,
            "calls": self.calls,
            "complete": self.complete,
            "problems": self.problems,
            "gap_ms": self.gap.summarise(),
            "first_token_ms": self.first_token.summarise(),
            "round_p95_gaps_ms": self.round_gaps_ms,
            "round_p95_first_tokens_ms": self.round_first_tokens_ms,
            "processor_shares": self.shares,
            "load_tool_shares": self.tool_shares,
            "memory_bytes": self.memory_bytes,
        }

    def format_line(self) -> str:
        """Return the main figures in one line."""
        gap = [f"{self.gap.percentile_ms(item):.2f}" for item in (50, 95, 99)]
        first = [f"{self.first_token.percentile_ms(item):.1f}" for item in (50, 95)]
        shares = ", ".join(f"{share:.3f}" for share in self.shares) or "-"
        tool = ", ".join(f"{share:.2f}" for share in self.tool_shares)
        if not self.calls:
            return f"{self.name}: not run yet"
        return (
            f"{self.name}: {self.complete} of {self.calls} complete {self.problems}, "
            f"gap p50 p95 p99 {' '.join(gap)} ms, "
            f"first token p50 p95 {' '.join(first)} ms, "
            f"daemon share of a core {shares}, load tool {tool}"
        )


def make_experiment(streams: int, tokens: int, seed: int) -> experiment.Experiment:
    """Return the experiment: streams that open within the ramp and overlap fully."""
    gap_s = _RAMP_S / streams
    kind = experiment.CallKind(name=_KIND, max_tokens=tokens, prompt_bytes=200)
    return experiment.Experiment(
        name="relay",
        seed=seed,
        # Half a gap more, so that rounding can't leave out the last stream.
        duration_s=(streams + 0.5) * gap_s,
        keep_alive=False,
        arrivals=experiment.Arrivals(kind="fixed", rate_per_s=1 / gap_s),
        calls=(kind,),
    )


@dataclasses.dataclass(slots=True)
class Sides:
    """Direct and relayed streams, and the direct ones next to the relayed ones."""

    direct: Side
    relayed: Side
    control: Side


def measure(running: fleet.Fleet, arguments: argparse.Namespace) -> Sides:
    """Measure both ways in turn: direct, relayed, relayed, direct, and so on."""
    sides = Sides(Side("direct"), Side("relayed"), Side("control"))
    for round_number in range(arguments.rounds):
        # Each side and round has prompts of its own, as cached prefixes would shorten
        # the first token of the later ones.
        seed = arguments.seed + 3 * round_number
        steps = [(_measure_direct, seed), (_measure_relayed, seed + 1)]
        for step, step_seed in steps if round_number % 2 == 0 else reversed(steps):
            step(running, sides, arguments, step_seed)
            print(f"seed {step_seed}", flush=True)
            for side in (sides.direct, sides.relayed, sides.control):
                print(f"  {side.format_line()}", flush=True)
    return sides


def _measure_direct(
    running: fleet.Fleet, sides: Sides, arguments: argparse.Namespace, seed: int
) -> None:
    plan = make_experiment(arguments.streams, arguments.tokens, seed)
    window = _start_window(psutil.Process().pid, arguments)
    result = load.run_load(plan, [running.engines[0].url])
    sides.direct.tool_shares.append(window.wait())
    sides.direct.add(result.kinds[_KIND])


def _measure_relayed(
    running: fleet.Fleet, sides: Sides, arguments: argparse.Namespace, seed: int
) -> None:
    plan = make_experiment(arguments.streams, arguments.tokens, seed)
    control_streams = max(1, round(arguments.streams * _CONTROL_SHARE))
    control_plan = make_experiment(control_streams, arguments.tokens, seed + 1)
    daemon, engine = running.daemons[0], running.engines[0]

    async def run_both() -> list[load.LoadResult]:
        return await asyncio.gather(
            load.run(plan, [daemon.url], running.caller_key()),
            load.run(control_plan, [engine.url]),
        )

    tool_window = _start_window(psutil.Process().pid, arguments)
    daemon_window = _start_window(daemon.process.pid, arguments)
    relayed, control = asyncio.run(run_both())
    sides.relayed.shares.append(daemon_window.wait())
    sides.relayed.memory_bytes = daemon_window.memory_bytes
    sides.relayed.tool_shares.append(tool_window.wait())
    sides.relayed.add(relayed.kinds[_KIND])
    sides.control.add(control.kinds[_KIND])


def _start_window(pid: int, arguments: argparse.Namespace) -> processor.ProcessorWindow:
    """Measure a process from the last opened stream to the first that ends."""
    end_s = arguments.tokens * _TOKEN_MS / 1000 - _MARGIN_S
    window = processor.ProcessorWindow(pid, _RAMP_S + _MARGIN_S, end_s)
    window.start()
    return window


def make_bars(sides: Sides) -> list[bars.Bar]:
    """Return the bars; answers that are not complete are a bar of their own."""
    direct, relayed = sides.direct, sides.relayed
    ratio = relayed.gap.percentile_ms(95) / min(direct.round_gaps_ms)
    added_ms = relayed.first_token.percentile_ms(95) - min(direct.round_first_tokens_ms)
    missing = relayed.calls - relayed.complete
    return [
        bars.Bar("p95 gap, relayed / quietest direct round", ratio, _MAX_GAP_RATIO),
        bars.Bar(
            "p95 first token, relayed - quietest direct round",
            added_ms,
            _MAX_FIRST_TOKEN_MS,
            "ms",
        ),
        bars.Bar("daemon's share of a core", max(relayed.shares), _MAX_SHARE),
        bars.Bar("relayed answers not complete", missing, 0),
    ]


def print_noise(sides: Sides) -> None:
    """Print how much slower the control was than the quietest direct round."""
    quiet_ms = min(sides.direct.round_gaps_ms)
    control = ", ".join(f"{gap / quiet_ms:.3f}" for gap in sides.control.round_gaps_ms)
    direct = ", ".join(f"{gap / quiet_ms:.3f}" for gap in sides.direct.round_gaps_ms)
    relayed = ", ".join(f"{gap / quiet_ms:.3f}" for gap in sides.relayed.round_gaps_ms)
    print(f"p95 gap per round / quietest direct round ({quiet_ms:.2f} ms):")
    print(f"  direct {direct}; relayed {relayed}; control next to relayed {control}")


def main() -> int:
    """Run the measurement and print the bars."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=220)
    parser.add_argument("--tokens", type=int, default=480)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument(
        "--step-groups",
        type=int,
        default=1,
        help="groups of streams that the engine steps at different moments",
    )
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    plan = fleet.FleetPlan(
        daemons=1,
        engines=1,
        slots=arguments.streams + 36,
        token_ms=_TOKEN_MS,
        engine_arguments=("--step-groups", str(arguments.step_groups)),
        daemon_settings={"batch": {"enabled": False}},
    )
    with fleet.Fleet(plan) as running:
        sides = measure(running, arguments)
    print_noise(sides)
    found = make_bars(sides)
    holds = bars.print_bars(found)
    if arguments.output:
        report = {
            "seed": arguments.seed,
            "streams": arguments.streams,
            "step_groups": arguments.step_groups,
            "sides": [
                side.describe() for side in (sides.direct, sides.relayed, sides.control)
            ],
            "bars": [bar.describe() for bar in found],
        }
        arguments.output.write_text(json.dumps(report, indent=2) + "\n")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
