"""Decides how many replicas of each model demand asks for."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from endivevane.configuration import models


@dataclasses.dataclass(frozen=True, slots=True)
class DemandSettings:
    """How replicas follow demand.

    :param fill_share: share of a replica's slots that demand should use
    :param hysteresis_share: change of demand below this share moves nothing
    :param fall_after_s: time that demand must stay lower before fewer replicas are
        asked for; an oscillation with a shorter period moves nothing
    """

    fill_share: float = 0.7
    hysteresis_share: float = 0.25
    fall_after_s: float = 60.0


@dataclasses.dataclass(slots=True)
class _Held:
    """The demand that counts for a model.

    :param slots: the value in force
    :param low_since_s: since when demand is lower, ``None`` when it is not
    :param low_peak_slots: highest demand since then
    """

    slots: float
    low_since_s: float | None = None
    low_peak_slots: float = 0.0


class ReplicaTargets:
    """Turns demand into numbers of replicas that change seldom.

    A rise takes effect at once and a fall only after it has lasted, because a replica
    too many costs room but one too few costs requests.
    """

    def __init__(self, settings: DemandSettings) -> None:
        self._settings = settings
        self._held: dict[str, _Held] = {}

    def observe(self, demand_slots: abc.Mapping[str, float], now_s: float) -> None:
        """Take in the present demand in slots by model."""
        for name in [name for name in self._held if name not in demand_slots]:
            self._observe(name, 0.0, now_s)
        for name, slots in demand_slots.items():
            self._observe(name, slots, now_s)

    def compute(
        self,
        declared: abc.Sequence[models.LanguageModelModel],
        places: int,
        engines: int,
        slots_per_place: float,
    ) -> dict[str, int]:
        """Return the replicas of each declared model.

        Each model gets its ``min_replicas`` first. The places left go one by one to
        the model with the most demand for each replica (D'Hondt's method), so that a
        shortage is shared.

        :param places: models that all engines together can hold
        :param engines: bound on the replicas of one model
        """
        targets = {item.name: min(item.min_replicas, engines) for item in declared}
        usable_slots = max(slots_per_place * self._settings.fill_share, 0.001)
        wanted = {
            name: min(engines, math.ceil(self._read(name) / usable_slots))
            for name in targets
        }
        for _ in range(places - sum(targets.values())):
            lacking = [name for name in targets if targets[name] < wanted[name]]
            if not lacking:
                break
            chosen = max(
                lacking, key=lambda name: (self._read(name) / (targets[name] + 1), name)
            )
            targets[chosen] += 1
        return targets

    def _read(self, name: str) -> float:
        held = self._held.get(name)
        return held.slots if held is not None else 0.0

    def _observe(self, name: str, slots: float, now_s: float) -> None:
        held = self._held.setdefault(name, _Held(slots))
        share = self._settings.hysteresis_share
        if slots > held.slots * (1 + share):
            held.slots = slots
        if slots >= held.slots * (1 - share):
            held.low_since_s = None
            return
        if held.low_since_s is None:
            held.low_since_s = now_s
            held.low_peak_slots = slots
        held.low_peak_slots = max(held.low_peak_slots, slots)
        if now_s - held.low_since_s >= self._settings.fall_after_s:
            held.slots = held.low_peak_slots
            held.low_since_s = None
