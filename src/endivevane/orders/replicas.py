"""Autoscaling of the replicas of each model by demand."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from endivevane.configuration import models


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """Parameters of the autoscaling.

    :param fill_share: target utilisation of a replica's slots
    :param hysteresis_share: relative changes of demand below this are ignored
    :param fall_after_s: time that demand must stay lower before scaling down; an
        oscillation with a shorter period is ignored
    """

    fill_share: float = 0.7
    hysteresis_share: float = 0.25
    fall_after_s: float = 60.0


@dataclasses.dataclass(slots=True)
class _StabilisedDemand:
    """Stabilised demand of a model.

    :param slots: the value in force
    :param low_since_s: start of the period of lower demand, ``None`` outside of one
    :param low_peak_slots: highest demand since then
    """

    slots: float
    low_since_s: float | None = None
    low_peak_slots: float = 0.0


class ReplicaAutoscaler:
    """Converts demand into replica counts, with hysteresis.

    Scaling up is immediate and scaling down is delayed, because a surplus replica only
    costs capacity, but a missing one costs requests.
    """

    def __init__(self, settings: DemandSettings) -> None:
        self._settings = settings
        self._demand: dict[str, _StabilisedDemand] = {}

    def observe(self, demand_slots: abc.Mapping[str, float], now_s: float) -> None:
        """Record the current demand in slots by model."""
        for name in [name for name in self._demand if name not in demand_slots]:
            self._observe(name, 0.0, now_s)
        for name, slots in demand_slots.items():
            self._observe(name, slots, now_s)

    def compute(
        self,
        declared: abc.Sequence[models.LanguageModelModel],
        capacity: int,
        engines: int,
        slots_per_model: float,
    ) -> dict[str, int]:
        """Return the replicas of each declared model.

        Each model gets its ``min_replicas`` first. The remaining capacity goes one by
        one to the model with the most demand per replica (D'Hondt method), so that a
        shortage is shared.

        :param capacity: number of models that all engines together can hold
        :param engines: upper bound for the replicas of one model
        """
        counts = {item.name: min(item.min_replicas, engines) for item in declared}
        usable_slots = max(slots_per_model * self._settings.fill_share, 0.001)
        desired = {
            name: min(engines, math.ceil(self._get_slots(name) / usable_slots))
            for name in counts
        }
        for _ in range(capacity - sum(counts.values())):
            short = [name for name in counts if counts[name] < desired[name]]
            if not short:
                break
            chosen = max(
                short,
                key=lambda name: (self._get_slots(name) / (counts[name] + 1), name),
            )
            counts[chosen] += 1
        return counts

    def _get_slots(self, name: str) -> float:
        demand = self._demand.get(name)
        return demand.slots if demand is not None else 0.0

    def _observe(self, name: str, slots: float, now_s: float) -> None:
        demand = self._demand.setdefault(name, _StabilisedDemand(slots))
        share = self._settings.hysteresis_share
        if slots > demand.slots * (1 + share):
            demand.slots = slots
        if slots >= demand.slots * (1 - share):
            demand.low_since_s = None
            return
        if demand.low_since_s is None:
            demand.low_since_s = now_s
            demand.low_peak_slots = slots
        demand.low_peak_slots = max(demand.low_peak_slots, slots)
        if now_s - demand.low_since_s >= self._settings.fall_after_s:
            demand.slots = demand.low_peak_slots
            demand.low_since_s = None
