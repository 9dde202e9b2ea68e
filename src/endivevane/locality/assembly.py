"""The parts that decide about distance, as a daemon uses them."""

from __future__ import annotations

from endivevane.locality import (
    decision,
    distances,
    location,
    settings,
    sizes,
    traffic,
)
from endivevane.serving import hold_times, load_table, target_registry


class LocalityParts:
    """Builds the parts by the settings.

    :ivar distances: costs of distance, constant unless the settings enable the decision
    :ivar holds: mean hold times, which the selection of targets learns
    :ivar traffic: counts what is sent to targets
    """

    def __init__(
        self,
        section: settings.LocalitySection,
        daemon_location: location.Location,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
    ) -> None:
        mean_sizes = sizes.MeanSizes()
        self.holds = hold_times.HoldTimes()
        self.traffic = traffic.Traffic(daemon_location, mean_sizes)
        self.distances: distances.Distances
        if not section.enabled:
            self.distances = distances.ConstantDistances(daemon_location, loads)
            return
        self.distances = decision.MeasuredDistances(
            section, daemon_location, targets, loads, self.holds, mean_sizes
        )
