"""What distance adds to the cost of targets: the interface, and constant costs."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from endivevane.locality import location, needs
from endivevane.serving import load_table, model, water_filling

# What distance adds to a target's cost, which is its share of slots in use.
_OTHER_ZONE_COST = 0.06
_CROSS_REGION_COST = 0.15
# What each second of age of another region's loads adds: the older they are, the more
# requests have been placed there meanwhile.
_CROSS_REGION_COST_PER_S = 1.4
# Slots of a target in another region that are left to the daemons there, per second of
# age of that region's loads.
_CROSS_REGION_RESERVE_PER_S = 5.0


class Distances(typing.Protocol):
    """Adds the cost of distance to the costs of targets.

    :ivar depends_on_zone: whether a request of one zone may find no target where one of
        another zone finds some
    """

    depends_on_zone: bool

    def count_reserved(self, target: model.Target, now_s: float) -> int:
        """Return the slots of a target in another region left to the daemons there."""

    def weigh(
        self,
        candidates: abc.Sequence[water_filling.Candidate],
        need: needs.Need,
        now_s: float,
    ) -> list[water_filling.Candidate]:
        """Return the candidates with distance in their costs.

        Those to which the way does not pay are left out.
        """

    def record_choice(
        self, need: needs.Need, target: model.Target, now_s: float
    ) -> None:
        """Record which of the candidates was chosen."""


class ConstantDistances:
    """Costs that depend on the distance only, and on the age of the loads."""

    depends_on_zone = False

    def __init__(
        self, daemon_location: location.Location, loads: load_table.LoadTable
    ) -> None:
        self._location = daemon_location
        self._loads = loads

    def count_reserved(self, target: model.Target, now_s: float) -> int:
        """Return the slots of a target in another region left to the daemons there."""
        return int(_CROSS_REGION_RESERVE_PER_S * self._loads.cross_region_age_s)

    def weigh(
        self,
        candidates: abc.Sequence[water_filling.Candidate],
        need: needs.Need,
        now_s: float,
    ) -> list[water_filling.Candidate]:
        """Return the candidates with distance in their costs."""
        zone = need.zone or self._location.availability_zone
        return [
            dataclasses.replace(item, cost=self._add(item, zone)) for item in candidates
        ]

    def record_choice(
        self, need: needs.Need, target: model.Target, now_s: float
    ) -> None:
        """Do nothing, as no later decision depends on it."""

    def _add(self, candidate: water_filling.Candidate, zone: str) -> float:
        cost = candidate.cost
        target_zone = candidate.target.availability_zone
        if target_zone != zone:
            cost += _OTHER_ZONE_COST
            if self._location.is_cross_region(target_zone):
                cost += (
                    _CROSS_REGION_COST
                    + _CROSS_REGION_COST_PER_S * self._loads.cross_region_age_s
                )
        return cost
