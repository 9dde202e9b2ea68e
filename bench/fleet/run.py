"""Plays patterns of load on the model of the fleet over seeds, and prints the outcome.

python -m bench.fleet.run bench/fleet/patterns/pulses_85.toml --seeds 5
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import math
import pathlib
import statistics

from bench.fleet import pattern, simulation


def play(path: pathlib.Path, seed: int, view: pattern.View) -> dict[str, float]:
    """Play a pattern once and return its figures, in parts of the requests."""
    played = pattern.load_pattern(path)
    tally = simulation.Simulation(played, seed, view).run()
    served = max(1, tally.served)
    return {
        "served": tally.served,
        "late": tally.late / served,
        "far": tally.far / served,
        "far_late": tally.far_late / served,
        "crowded": tally.crowded / served,
        "items_on_time": tally.items_on_time / max(1, tally.items_due),
        "items": tally.items_due,
        "yields": tally.yields,
    }


def summarise(plays: list[dict[str, float]]) -> dict[str, tuple[float, float]]:
    """Return mean and half-width of the 95% interval of each figure."""
    summary = {}
    for name in plays[0]:
        values = [figures[name] for figures in plays]
        spread = statistics.stdev(values) if len(values) > 1 else 0.0
        half = 1.96 * spread / math.sqrt(len(values))
        summary[name] = (statistics.fmean(values), half)
    return summary


def main() -> None:
    """Play each pattern and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="+", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=4, help="plays of each pattern")
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--view",
        type=pattern.View,
        choices=list(pattern.View),
        default=pattern.View.REPORTS,
        help="how daemons know the loads",
    )
    parser.add_argument("--output", type=pathlib.Path, help="JSON file for the figures")
    parsed = parser.parse_args()
    results = {}
    with concurrent.futures.ProcessPoolExecutor(parsed.processes) as pool:
        for path in parsed.patterns:
            calls = [
                pool.submit(play, path, seed, parsed.view)
                for seed in range(1, parsed.seeds + 1)
            ]
            summary = summarise([call.result() for call in calls])
            results[path.stem] = summary
            shown = "  ".join(
                f"{name} {mean:.3f} +- {half:.3f}"
                for name, (mean, half) in summary.items()
            )
            print(f"{path.stem}: {shown}")
    if parsed.output is not None:
        parsed.output.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
