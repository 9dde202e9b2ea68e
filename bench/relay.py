"""Compare streams through one daemon with streams straight from the same engine.

Both ways alternate within one run, so that noise of the machine hits both. Gaps and
first tokens are those that the caller sees; the processor share of the daemon is taken
while all streams are open.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import sys
from typing import Any

import psutil

from bench import bars, experiment, histograms, load, processor
from tools import fleet

_TOKEN_MS = 33.0
_RAMP_S = 4.0
_MARGIN_S = 1.0
_KIND = "stream"
# Targets of the design: at 33 ms a token, one more event loop may add 5 % to the p95
# gap, 10 ms to the first token, and may take 0.4 of a core for 220 streams.
_MAX_GAP_RATIO = 1.05
_MAX_FIRST_TOKEN_MS = 10.0
_MAX_SHARE = 0.4


@dataclasses.dataclass(slots=True)
class Side:
    """Results of one way, over all rounds."""

    name: str
    gap: histograms.Durations = dataclasses.field(default_factory=histograms.Durations)
    first_token: histograms.Durations = dataclasses.field(
        default_factory=histograms.Durations
    )
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
        self.calls += result.calls
        self.complete += result.complete
        for counter in (result.refused, result.problems):
            self.problems += [f"{count} x {text}" for text, count in counter.items()]

    def describe(self) -> dict[str, Any]:
        """Return the side as a JSON object."""
        return {
            "name": self.name,
            "calls": self.calls,
            "complete": self.complete,
            "problems": self.problems,
            "gap_ms": self.gap.summarise(),
            "first_token_ms": self.first_token.summarise(),
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


def measure(running: fleet.Fleet, arguments: argparse.Namespace) -> tuple[Side, Side]:
    """Measure both ways in turn: direct, relayed, relayed, direct, and so on."""
    direct, relayed = Side("direct"), Side("relayed")
    for round_number in range(arguments.rounds):
        order = (direct, relayed) if round_number % 2 == 0 else (relayed, direct)
        for side in order:
            # Each side and round has prompts of its own, as cached prefixes would
            # shorten the first token of the later ones.
            seed = arguments.seed + 2 * round_number + (side is relayed)
            plan = make_experiment(arguments.streams, arguments.tokens, seed)
            _measure_side(running, side, plan)
            print(f"seed {seed}, {side.format_line()}", flush=True)
    return direct, relayed


def _measure_side(
    running: fleet.Fleet, side: Side, plan: experiment.Experiment
) -> None:
    tokens = plan.calls[0].max_tokens
    begin_s = _RAMP_S + _MARGIN_S
    end_s = tokens * _TOKEN_MS / 1000 - _MARGIN_S
    is_relayed = side.name == "relayed"
    url = running.daemons[0].url if is_relayed else running.engines[0].url
    windows = [processor.ProcessorWindow(psutil.Process().pid, begin_s, end_s)]
    if is_relayed:
        pid = running.daemons[0].process.pid
        windows.append(processor.ProcessorWindow(pid, begin_s, end_s))
    for window in windows:
        window.start()
    result = load.run_load(plan, [url], running.caller_key())
    shares = [window.wait() for window in windows]
    side.tool_shares.append(shares[0])
    side.shares += shares[1:]
    side.memory_bytes = windows[-1].memory_bytes if is_relayed else 0
    side.add(result.kinds[_KIND])


def make_bars(direct: Side, relayed: Side) -> list[bars.Bar]:
    """Return the bars; answers that are not complete are a bar of their own."""
    direct_gap_ms = direct.gap.percentile_ms(95)
    ratio = relayed.gap.percentile_ms(95) / direct_gap_ms if direct_gap_ms else 0.0
    added_ms = relayed.first_token.percentile_ms(95)
    added_ms -= direct.first_token.percentile_ms(95)
    missing = relayed.calls - relayed.complete
    return [
        bars.Bar("p95 gap between tokens, relayed / direct", ratio, _MAX_GAP_RATIO),
        bars.Bar(
            "p95 first token, relayed - direct", added_ms, _MAX_FIRST_TOKEN_MS, "ms"
        ),
        bars.Bar("daemon's share of a core", max(relayed.shares), _MAX_SHARE),
        bars.Bar("relayed answers not complete", missing, 0),
    ]


def main() -> int:
    """Run the measurement and print the bars."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=220)
    parser.add_argument("--tokens", type=int, default=480)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    plan = fleet.FleetPlan(
        daemons=1,
        engines=1,
        slots=arguments.streams + 36,
        token_ms=_TOKEN_MS,
        daemon_settings={"batch": {"enabled": False}},
    )
    with fleet.Fleet(plan) as running:
        direct, relayed = measure(running, arguments)
    found = make_bars(direct, relayed)
    holds = bars.print_bars(found)
    if arguments.output:
        report = {
            "seed": arguments.seed,
            "streams": arguments.streams,
            "sides": [direct.describe(), relayed.describe()],
            "bars": [bar.describe() for bar in found],
        }
        arguments.output.write_text(json.dumps(report, indent=2) + "\n")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
