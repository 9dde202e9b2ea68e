"""Sends per request while a share of all attempts fails, with and without a budget.

Decision code only, in one process: 1,000 requests over 60 s on 20 targets, at most 5
attempts each. The avoidance of failing targets is switched off, so that the budget is
the only thing that holds retries back.
"""

from __future__ import annotations

import random
import sys
import typing

from bench import bars, decision_parts
from endivevane.coordination import clock
from endivevane.online import contract, target_state

_REQUESTS = 1000
_DURATION_S = 60.0
_SEED = 41
_SHARES = (0.0, 0.1, 0.5, 1.0)
# Stated target: even when every attempt fails, sends stay under 1.2 per request.
_MAX_SENDS = 1.2


def run() -> dict[str, typing.Any]:
    """Measure all shares and return results and bars."""
    results = []
    found = []
    for share in _SHARES:
        with_budget = _measure(share, has_budget=True)
        without = _measure(share, has_budget=False)
        row = {"failing_share": share, "budget": with_budget, "no_budget": without}
        results.append(row)
        name = f"sends per request at {share:.0%} failure"
        found.append(bars.Bar(name, with_budget["sends_per_request"], _MAX_SENDS))
        print(
            f"{share:4.0%} failing: with budget "
            f"{with_budget['sends_per_request']:.3f} sends and "
            f"{with_budget['answered_share']:.3f} answered; without "
            f"{without['sends_per_request']:.3f} and {without['answered_share']:.3f}"
        )
    bars.print_bars(found)
    described = [bar.describe() for bar in found]
    return {"seed": _SEED, "results": results, "bars": described}


def _measure(share: float, has_budget: bool) -> dict[str, float]:
    run_clock = clock.ManualClock(1000.0, decision_parts.WALL_MS)
    current = decision_parts.make_snapshot(20, 64, {"max_attempts": 5})
    made = decision_parts.make_scheduler("daemon-1", current, run_clock, _SEED)
    for state in made._fleet.targets.values():
        state.health._settings = target_state.HealthSettings(failures=10**9)
    if not has_budget:
        made._fleet.services[decision_parts.SERVICE].budget.try_retry = lambda: True  # type: ignore[method-assign]
    requests = decision_parts.Requests(current, run_clock)
    generator = random.Random(_SEED)
    sends = answered = 0
    for _ in range(_REQUESTS):
        run_clock.advance(_DURATION_S / _REQUESTS)
        decision: typing.Any = made.submit(requests.make())
        while isinstance(decision, contract.Send):
            sends += 1
            if generator.random() >= share:
                made.finish(decision.attempt, contract.AttemptOutcome.COMPLETED)
                answered += 1
                break
            decision = made.retry(
                decision.attempt, contract.AttemptFailure.TARGET_ERROR, -1
            )
    return {
        "sends_per_request": sends / _REQUESTS,
        "answered_share": answered / _REQUESTS,
    }


def main() -> int:
    """Run the measurement; the status tells whether all targets hold."""
    return bars.run_main(run, __doc__)


if __name__ == "__main__":
    sys.exit(main())
