"""Simulate load patterns over several seeds and print summary statistics.

Example::

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


def simulate(path: pathlib.Path, seed: int, view: pattern.View) -> dict[str, float]:
    """Simulate a pattern once and return its figures, as shares of the requests."""
    workload = pattern.load_pattern(path)
    tally = simulation.Simulation(workload, seed, view).run()
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


def summarise(runs: list[dict[str, float]]) -> dict[str, tuple[float, float]]:
    """Return the mean and half-width of each figure's 95% interval."""
    summary = {}
    for name in runs[0]:
        values = [figures[name] for figures in runs]
        spread = statistics.stdev(values) if len(values) > 1 else 0.0
        half_width = 1.96 * spread / math.sqrt(len(values))
        summary[name] = (statistics.fmean(values), half_width)
    return summary


def main() -> None:
    """Simulate each pattern and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="+", type=pathlib.Path)
    parser.add_argument(
        "--seeds", type=int, default=4, help="number of runs per pattern"
    )
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--view",
        type=pattern.View,
        choices=list(pattern.View),
        default=pattern.View.REPORTS,
        help="source of the daemons' view of the load",
    )
    parser.add_argument("--output", type=pathlib.Path, help="JSON file for the figures")
    parsed = parser.parse_args()
    results = {}
    with concurrent.futures.ProcessPoolExecutor(parsed.processes) as pool:
        for path in parsed.patterns:
            pending = [
                pool.submit(simulate, path, seed, parsed.view)
                for seed in range(1, parsed.seeds + 1)
            ]
            summary = summarise([future.result() for future in pending])
            results[path.stem] = summary
            shown = "  ".join(
                f"{name} {mean:.3f} +- {half_width:.3f}"
                for name, (mean, half_width) in summary.items()
            )
            print(f"{path.stem}: {shown}")
    if parsed.output is not None:
        parsed.output.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
