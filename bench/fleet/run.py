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
from endivevane.locality import settings


def simulate(
    workload: pattern.Pattern, seed: int, view: pattern.View, has_locality: bool
) -> dict[str, float]:
    """Simulate a pattern once and return its figures, as shares of the requests."""
    locality = settings.LocalitySection(enabled=True) if has_locality else None
    tally = simulation.Simulation(workload, seed, view, locality).run()
    served = max(1, tally.served)
    first_s = sorted(tally.first_s) or [0.0]
    return {
        "served": tally.served,
        "first_ms": 1000 * statistics.fmean(first_s),
        "first_p99_ms": 1000 * first_s[int(0.99 * len(first_s))],
        "late": tally.late / served,
        "in_zone": tally.in_zone / served,
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
    parser.add_argument(
        "--uneven",
        type=pattern.Uneven,
        choices=list(pattern.Uneven),
        default=pattern.Uneven.NONE,
        help="which parts of the fleet have their bursts in turn",
    )
    parser.add_argument(
        "--rate", type=float, default=1.0, help="factor on the request rate"
    )
    parser.add_argument("--seconds", type=float, help="simulated time of each run")
    parser.add_argument(
        "--locality", action="store_true", help="loads and bytes decide on distance"
    )
    parser.add_argument("--output", type=pathlib.Path, help="JSON file for the figures")
    parsed = parser.parse_args()
    results = {}
    with concurrent.futures.ProcessPoolExecutor(parsed.processes) as pool:
        for path in parsed.patterns:
            workload = pattern.load_pattern(path)
            workload = workload.model_copy(
                update={
                    "uneven": parsed.uneven,
                    "rate_per_s": workload.rate_per_s * parsed.rate,
                    "duration_s": parsed.seconds or workload.duration_s,
                }
            )
            pending = [
                pool.submit(simulate, workload, seed, parsed.view, parsed.locality)
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
