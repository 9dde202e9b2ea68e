"""Processor time that one online request costs a daemon, beside its tokens.

Short answers arrive at several rates; the slope of the daemon's processor share over
the rate is the cost of a request, the intercept what the daemon spends when idle.
"""

from __future__ import annotations

import sys
import typing

from bench import bars, experiment, lines, load, processor
from tools import fleet

_RATES_PER_S = (0.5, 20.0, 40.0, 80.0)
_DURATION_S = 14.0
_WINDOW_S = (3.0, 13.0)
# The rate of one daemon at the target is 13.5 requests a second; 3.8% of a core is for
# control alone, and the relay's bar of 0.4 of a core is for 220 streams.
_TARGET_RATE_PER_S = 4600 / 340
_MAX_SHARE = 0.1


def run() -> dict[str, typing.Any]:
    """Measure all rates and return points, line and bars."""
    plan = fleet.FleetPlan(
        daemons=1,
        engines=2,
        slots=64,
        token_ms=5.0,
        daemon_settings={"batch": {"enabled": False}},
    )
    points: list[tuple[float, float]] = []
    memory_bytes = 0
    with fleet.Fleet(plan) as running:
        for rate_per_s in _RATES_PER_S:
            share, memory_bytes = _measure(running, rate_per_s)
            points.append((rate_per_s, share))
            print(f"{rate_per_s:5.1f} requests/s: {share:.4f} of a core", flush=True)
    intercept, slope = lines.fit(points)
    share = slope * _TARGET_RATE_PER_S
    found = [
        bars.Bar("requests' share of a core at 13.5/s", share, _MAX_SHARE, "of a core")
    ]
    print(f"idle {intercept:.4f} of a core, {slope * 1000:.2f} ms a request")
    bars.print_bars(found)
    return {
        "points": points,
        "idle_share": intercept,
        "request_s": slope,
        "memory_bytes": memory_bytes,
        "bars": [bar.describe() for bar in found],
    }


def _measure(running: fleet.Fleet, rate_per_s: float) -> tuple[float, int]:
    """Return the daemon's share of a core and its memory at one rate."""
    kind = experiment.CallKind(name="short", max_tokens=1, prompt_bytes=800)
    plan = experiment.Experiment(
        name="requests",
        seed=5,
        duration_s=_DURATION_S,
        keep_alive=False,
        arrivals=experiment.Arrivals(rate_per_s=rate_per_s),
        calls=(kind,),
    )
    daemon = running.daemons[0]
    window = processor.ProcessorWindow(daemon.process.pid, *_WINDOW_S)
    window.start()
    result = load.run_load(plan, [daemon.url], running.caller_key())
    share = window.wait()
    missing = [item for item in result.outcomes if not item.is_complete]
    if missing:
        raise RuntimeError(f"{len(missing)} requests were not answered: {missing[0]}")
    return share, window.memory_bytes


def main() -> int:
    """Run the measurement; the status tells whether the target holds."""
    return bars.run_main(run, __doc__)


if __name__ == "__main__":
    sys.exit(main())
