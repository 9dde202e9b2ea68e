"""How many batch items fit on targets beside the online requests."""

from __future__ import annotations

from collections import abc

from endivevane.rate_limits import service as rate_limits
from endivevane.serving import load_peaks, load_table, model, target_registry

# Slots of a target that batch leaves free for online requests in flight to it.
_BATCH_RESERVE = 2
# Slots of a target that batch leaves free above the online peak of the last seconds.
_PEAK_RESERVE = 1


class BatchRoom:
    """Counts the slots that online requests leave to batch items."""

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        limits: rate_limits.RateLimits,
    ) -> None:
        self._targets = targets
        self._loads = loads
        self._limits = limits
        self._peaks: dict[str, load_peaks.PeakWindow] = {}

    def record_peaks(self, now_s: float) -> None:
        """Record the online load of each service, as a share of its slots."""
        online: dict[str, int] = {}
        slots: dict[str, int] = {}
        for known in self._list_bound_by_slots(self._targets.list_all()):
            target = known.target
            load = self._loads.total(target.target_id)
            online[target.service] = online.get(target.service, 0) + load.online
            slots[target.service] = slots.get(target.service, 0) + target.slots
        for service, count in online.items():
            window = self._peaks.setdefault(service, load_peaks.PeakWindow())
            window.record(now_s, count / slots[service])

    def find_peak_room(
        self, service: str, usable: abc.Sequence[target_registry.KnownTarget]
    ) -> float | None:
        """Return the share of slots that online requests leave free at their peak.

        :returns: ``None`` when the running and waiting batch items do not fit into it,
            so that the gaps between peaks have to be used too
        """
        window = self._peaks.get(service)
        if window is None:
            return None
        room = max(0.0, 1.0 - window.peak())
        available = 0
        running = 0
        for known in usable:
            target = known.target
            if self._limits.find_limit_per_s(target.target_id) is None:
                available += max(0, int(room * target.slots) - _PEAK_RESERVE)
            else:
                available += max(0, target.slots - _BATCH_RESERVE)
            running += self._loads.total(target.target_id).batch
        if running + self._loads.waiting_items > available:
            return None
        return room

    def count(
        self, target: model.Target, load: load_table.Load, peak_room: float | None
    ) -> int:
        """Return how many more items fit on a target beside online requests."""
        free = max(1, target.slots - _BATCH_RESERVE) - load.total
        is_limited = self._limits.find_limit_per_s(target.target_id) is not None
        if peak_room is None or is_limited:
            return free
        beside_peak = int(peak_room * target.slots) - _PEAK_RESERVE
        return min(free, beside_peak - load.batch)

    def _list_bound_by_slots(
        self, known_targets: abc.Sequence[target_registry.KnownTarget]
    ) -> list[target_registry.KnownTarget]:
        """Return the targets whose slots bound their load, rather than a limit.

        All of them, if each has a limit.
        """
        unlimited = [
            known
            for known in known_targets
            if self._limits.find_limit_per_s(known.target.target_id) is None
        ]
        return unlimited or list(known_targets)
