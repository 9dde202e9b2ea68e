"""Placement by demand against the fixed placement while demand shifts.

Decision code only, in one process: 12 engines of 16 slots in memory, which hold 2
models each and take 2 rounds of 2 s for a load. Demand is given in slots; what the
engines that hold a model can't run counts as refused or waiting. The fixed placement
has the replicas that the document declares, which fit the first shape of demand.
"""

from __future__ import annotations

import sys
import typing

from bench import bars
from features.support import engine_groups

_ENGINES = 12
_DECLARED = {"a": 8, "b": 4, "c": 2}
# Slots by model and duration of each phase.
_PHASES = (
    ({"a": 80.0, "b": 30.0, "c": 2.0}, 600.0),
    ({"a": 20.0, "b": 110.0, "c": 2.0}, 1200.0),
    ({"a": 80.0, "b": 30.0, "c": 30.0}, 1200.0),
)
_UNIT_SLOTS = 0.5
# Twenty rounds, the limit of the scenario of half of the engines.
_MAX_RECOVERY_S = 40.0
_MAX_ROUNDS = 200


def run() -> dict[str, typing.Any]:
    """Measure both placements and return results and bars."""
    fixed, by_demand = _measure(follows=False), _measure(follows=True)
    for name, figures in (("fixed", fixed), ("by demand", by_demand)):
        shares = " ".join(f"{share:.3f}" for share in figures["unserved_shares"])
        print(
            f"{name:9}: refused or waiting {figures['unserved_share']:.3f} of demand "
            f"(by phase {shares}), {figures['loads']} loads, every model served "
            f"{figures['recovery_s']:.0f} s after half of the engines went"
        )
    ratio = by_demand["unserved_share"] / fixed["unserved_share"]
    found = [
        bars.Bar("refused or waiting, by demand / fixed", ratio, 1.0),
        bars.Bar("recovery by demand", by_demand["recovery_s"], _MAX_RECOVERY_S, "s"),
    ]
    bars.print_bars(found)
    described = [bar.describe() for bar in found]
    return {"fixed": fixed, "by_demand": by_demand, "bars": described}


def _measure(follows: bool) -> dict[str, typing.Any]:
    declared = [
        engine_groups.make_model(name, replicas) for name, replicas in _DECLARED.items()
    ]
    group = engine_groups.MemoryGroup(_ENGINES, declared)
    group.run_until_quiet(_MAX_ROUNDS)
    if follows:
        # The operator then declares only what must stay in any case.
        group.declared = tuple(engine_groups.make_model(name, 1) for name in _DECLARED)
    group.orders.clear()
    shares, unserved, asked = [], 0.0, 0.0
    for demand, duration_s in _PHASES:
        group.demand_slots = demand if follows else {}
        lacking = 0.0
        rounds = int(duration_s / engine_groups.ROUND_S)
        for _ in range(rounds):
            group.run_round()
            lacking += _count_unserved(group, demand)
        total = rounds * sum(demand.values())
        shares.append(lacking / total)
        unserved, asked = unserved + lacking, asked + total
    loads = _count_loads(group)
    return {
        "unserved_share": unserved / asked,
        "unserved_shares": shares,
        "loads": loads,
        "recovery_s": _lose_half(group),
        "loads_after_loss": _count_loads(group) - loads,
    }


def _count_loads(group: typing.Any) -> int:
    return sum(order.action == "load_model" for _, order, _ in group.orders)


def _count_unserved(group: typing.Any, demand: dict[str, float]) -> float:
    """Return the slots of demand that no engine with the model has free.

    Small units go to the emptiest holder; the models with fewer holders come first,
    as their requests have the least choice.
    """
    free = {item.name: float(engine_groups.SLOTS) for item in group.live()}
    unserved = 0.0
    for model in sorted(demand, key=lambda name: (group.count(name), name)):
        holders = [
            item.name
            for item in group.live()
            if any(key[0] == model for key in item.held)
        ]
        for _ in range(int(demand[model] / _UNIT_SLOTS)):
            target = max(holders, key=lambda name: free[name], default=None)
            if target is None or free[target] < _UNIT_SLOTS:
                unserved += _UNIT_SLOTS
            else:
                free[target] -= _UNIT_SLOTS
    return unserved


def _lose_half(group: typing.Any) -> float:
    """Lose half of the engines, first those with ``c``; return the recovery time."""
    engines = sorted(
        group.live(), key=lambda item: (("c", "1") not in item.held, item.name)
    )
    lost = engines[: _ENGINES // 2]
    group.lose([item.name for item in lost])
    started_s = group.now_s
    for _ in range(_MAX_ROUNDS):
        if all(group.count(name) for name in _DECLARED):
            break
        group.run_round()
    return float(group.now_s - started_s)


def main() -> int:
    """Run the measurement; the status tells whether all targets hold."""
    return bars.run_main(run, __doc__)


if __name__ == "__main__":
    sys.exit(main())
