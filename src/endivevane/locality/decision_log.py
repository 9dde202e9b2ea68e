"""A line of the log at intervals that sums up the decisions about distance."""

from __future__ import annotations

import collections

from endivevane import logs
from endivevane.locality import location

_INTERVAL_S = 10.0


class DecisionLog:
    """Counts decisions and logs the counts."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._costs: dict[location.Reach, float] = collections.defaultdict(float)
        self._weighed: collections.Counter[location.Reach] = collections.Counter()
        self._begun_s: float | None = None

    def record_cost(self, reach: location.Reach, cost: float) -> None:
        """Record what distance added to the costs of targets."""
        self._costs[reach] += cost
        self._weighed[reach] += 1

    def record_choice(
        self, reach: location.Reach, is_batch: bool, link_share: float, now_s: float
    ) -> None:
        """Record where a request goes, and log the counts when that is due."""
        self._counts[f"batch_{reach}" if is_batch else reach] += 1
        if self._begun_s is None:
            self._begun_s = now_s
        if now_s - self._begun_s < _INTERVAL_S:
            return
        self._begun_s = now_s
        self._write(link_share)

    def record_wait(self) -> None:
        """Record a batch item that waits for a slot nearer by."""
        self._counts["items_waited"] += 1

    def record_objective(self) -> None:
        """Record a request for which targets were left out to meet its objective."""
        self._counts["for_objective"] += 1

    def _write(self, link_share: float) -> None:
        costs = {
            f"{reach}_cost": self._costs[reach] / count
            for reach, count in self._weighed.items()
        }
        logs.info(
            "locality",
            **{str(key): count for key, count in sorted(self._counts.items())},
            **costs,
            link_share=round(link_share, 3),
        )
        self._counts.clear()
        self._costs.clear()
        self._weighed.clear()
