"""How much of the bandwidth between regions the requests of all daemons use."""

from __future__ import annotations

from collections import abc

from endivevane.locality import location, sizes
from endivevane.serving import (
    hold_times,
    load_table,
    model,
    region_reports,
    target_registry,
)

_BITS_PER_BYTE = 8
# An estimate goes over all targets, so that not every request needs one.
_TTL_S = 0.05


class LinkUse:
    """Estimates the use of the link from the loads that the daemons report anyway.

    As many bytes pass in the time for which a request holds its slot as the mean
    request and response have.

    :param bits_per_s: bandwidth of the link
    """

    def __init__(
        self,
        bits_per_s: float,
        daemon_location: location.Location,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        holds: hold_times.HoldTimes,
        mean_sizes: sizes.MeanSizes,
    ) -> None:
        self._bits_per_s = bits_per_s
        self._location = daemon_location
        self._targets = targets
        self._loads = loads
        self._holds = holds
        self._sizes = mean_sizes
        self._share = 0.0
        self._estimated_s = float("-inf")

    def estimate_share(self, now_s: float) -> float:
        """Return the share of the bandwidth in use."""
        if now_s - self._estimated_s >= _TTL_S:
            self._estimated_s = now_s
            self._share = self._sum_bits_per_s() / self._bits_per_s
        return self._share

    def _sum_bits_per_s(self) -> float:
        reports = self._list_reports()
        bits_per_s = 0.0
        for known in self._targets.list_all():
            target = known.target
            crossing = self._count_crossing(target, reports)
            if not crossing.total:
                continue
            rate_per_s = crossing.online / self._holds.get(target.service)
            rate_per_s += crossing.batch / self._holds.get_item(target.service)
            size = self._sizes.get(target.service)
            bits_per_s += _BITS_PER_BYTE * size.total_bytes * rate_per_s
        return bits_per_s

    def _list_reports(self) -> dict[str, load_table.LoadReport]:
        """Return the reports of the other regions."""
        reports: dict[str, load_table.LoadReport] = {}
        for region in set(self._location.regions.values()):
            if region == self._location.region:
                continue
            report = self._loads.find_report(region_reports.make_key(region))
            if report is not None:
                reports[region] = report
        return reports

    def _count_crossing(
        self, target: model.Target, reports: abc.Mapping[str, load_table.LoadReport]
    ) -> load_table.Load:
        """Return the requests on a target that come from another region."""
        crossing = load_table.Load()
        target_region = self._location.regions.get(target.availability_zone)
        sign = 1
        if target_region != self._location.region:
            # Those of this region are all but the ones that the other one reports.
            crossing = self._loads.total(target.target_id)
            sign = -1
        for region, report in reports.items():
            load = report.loads.get(target.target_id)
            if load is None or (sign < 0 and region != target_region):
                continue
            crossing.online += sign * load.online
            crossing.batch += sign * load.batch
        return crossing
