"""Decides by loads, delays and bytes whether leaving the zone or the region pays."""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from endivevane.locality import (
    decision_log,
    leaving,
    link_use,
    location,
    needs,
    settings,
    sizes,
)
from endivevane.serving import (
    hold_times,
    load_table,
    model,
    region_reports,
    target_registry,
    water_filling,
)

# Slots of a target in another region that are left to the daemons there at least.
_MIN_RESERVE = 1
# How long the load of a zone or a region is used for further decisions.
_PLACE_TTL_S = 0.02
# Load that a batch item is to online requests. It gives way to them, which takes time.
_BATCH_WEIGHT = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """The targets of a service within a distance.

    :param slots: slots of those that may get work
    :param load: share of these in use, 1 if there are none
    """

    slots: int
    load: float


@dataclasses.dataclass(slots=True)
class _Offer:
    """What it takes to reach a group of targets.

    :param cost: in shares of a target's slots
    :param delay_s: by how much later a response begins there
    :param leaving_s: delay and bytes in seconds of the request
    """

    cost: float = 0.0
    delay_s: float = 0.0
    leaving_s: float = 0.0


class MeasuredDistances:
    """Costs from the loads here and there, the delay, the bytes and the bandwidth."""

    depends_on_zone = True

    def __init__(
        self,
        section: settings.LocalitySection,
        daemon_location: location.Location,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        holds: hold_times.HoldTimes,
        mean_sizes: sizes.MeanSizes,
    ) -> None:
        self._settings = section
        self._location = daemon_location
        self._targets = targets
        self._loads = loads
        self._holds = holds
        self._sizes = mean_sizes
        self._link = link_use.LinkUse(
            section.region_bits_per_s,
            daemon_location,
            targets,
            loads,
            holds,
            mean_sizes,
        )
        self._log = decision_log.DecisionLog()
        self._homes: dict[
            tuple[str, str, location.Reach, bool], tuple[float, _Place]
        ] = {}
        self._report_keys = {
            zone: region_reports.make_key(region)
            for zone, region in daemon_location.regions.items()
        }

    def count_reserved(self, target: model.Target, now_s: float) -> int:
        """Return the slots of a target in another region left to the daemons there."""
        step = leaving.estimate_load_step(self._measure_age_s(target, now_s))
        return max(_MIN_RESERVE, int(step * target.slots))

    def weigh(
        self,
        candidates: abc.Sequence[water_filling.Candidate],
        need: needs.Need,
        now_s: float,
    ) -> list[water_filling.Candidate]:
        """Return the candidates with distance in their costs.

        Where the request can meet its objective at some of them, the others are left
        out; so are those which a batch item gains less by reaching than by waiting.
        """
        if not candidates:
            return []
        offers = self._make_offers(candidates, need, now_s)
        kept = [
            item
            for item in candidates
            if self._find_latest_s(item, offers[item.target.availability_zone], need)
            >= now_s
        ]
        if kept and len(kept) < len(candidates):
            self._log.record_objective()
        kept = kept or list(candidates)
        if need.is_batch and need.may_wait:
            kept = self._leave_out_unpaid(kept, offers, need, now_s)
        return [
            dataclasses.replace(
                item, cost=item.cost + offers[item.target.availability_zone].cost
            )
            for item in kept
        ]

    def record_choice(
        self, need: needs.Need, target: model.Target, now_s: float
    ) -> None:
        """Record which of the candidates was chosen."""
        reach = self._location.find_reach(target.availability_zone, need.zone)
        share = self._link.estimate_share(now_s)
        self._log.record_choice(reach, need.is_batch, share, now_s)

    def _make_offers(
        self,
        candidates: abc.Iterable[water_filling.Candidate],
        need: needs.Need,
        now_s: float,
    ) -> dict[str, _Offer]:
        """Return what it takes to reach the candidates, by availability zone."""
        offers: dict[str, _Offer] = {}
        by_reach: dict[location.Reach, _Offer] = {}
        size = self._sizes.get(need.service)
        if need.request_bytes is not None:
            size = dataclasses.replace(size, request_bytes=need.request_bytes)
        for candidate in candidates:
            zone = candidate.target.availability_zone
            if zone in offers:
                continue
            reach = self._location.find_reach(zone, need.zone)
            if reach is location.Reach.ZONE:
                offers[zone] = _Offer()
                continue
            if reach not in by_reach:
                by_reach[reach] = self._make_offer(reach, need, size, now_s)
            offer = dataclasses.replace(by_reach[reach])
            if reach is location.Reach.OTHER_REGION:
                age_s = self._measure_age_s(candidate.target, now_s)
                offer.cost += leaving.estimate_load_step(age_s)
            self._log.record_cost(reach, offer.cost)
            offers[zone] = offer
        return offers

    def _make_offer(
        self, reach: location.Reach, need: needs.Need, size: sizes.Size, now_s: float
    ) -> _Offer:
        way = self._find_way(reach, need, now_s)
        value = self._settings.batch_s_value if need.is_batch else 1.0
        delay_s = leaving.estimate_delay_s(way, size)
        # Others that it delays, and money, do not matter less because it can wait.
        others_s = leaving.estimate_congestion_s(way, size)
        others_s += leaving.estimate_price_s(way, size)
        leaving_s = delay_s + others_s / value
        home = self._measure_home(reach, need, now_s)
        cost = leaving.convert_to_share(leaving_s, need.hold_s, home.load, home.slots)
        return _Offer(cost, delay_s, leaving_s)

    def _find_way(
        self, reach: location.Reach, need: needs.Need, now_s: float
    ) -> leaving.Way:
        section = self._settings
        if reach is location.Reach.OTHER_ZONE:
            return leaving.Way(section.zone_delay_s, section.zone_gb_caller_s)
        # The bandwidth of other daemons' VMs is not known here.
        vm_bits_per_s = 0.0 if need.zone else section.vm_bits_per_s
        return leaving.Way(
            section.region_delay_s,
            section.region_gb_caller_s,
            section.region_bits_per_s,
            self._link.estimate_share(now_s),
            vm_bits_per_s,
        )

    def _measure_home(
        self, reach: location.Reach, need: needs.Need, now_s: float
    ) -> _Place:
        """Return the targets that a request leaves, of its zone or of its region."""
        key = (need.service, need.zone, reach, need.is_batch)
        measured_s, place = self._homes.get(key, (-math.inf, _Place(0, 1.0)))
        if now_s - measured_s >= _PLACE_TTL_S:
            place = self._sum_home(reach, need, now_s)
            self._homes[key] = (now_s, place)
        return place

    def _sum_home(
        self, reach: location.Reach, need: needs.Need, now_s: float
    ) -> _Place:
        slots = 0
        running = 0.0
        for known in self._targets.list_usable(need.service):
            target = known.target
            held = self._location.find_reach(target.availability_zone, need.zone)
            if held is location.Reach.OTHER_REGION:
                continue
            if held is location.Reach.OTHER_ZONE and held is reach:
                continue
            if not known.health.is_available(now_s):
                continue
            if self._loads.outcomes.is_ejected(target.target_id, now_s):
                continue
            slots += target.slots
            load = self._loads.total(target.target_id)
            weight = 1.0 if need.is_batch else _BATCH_WEIGHT
            running += load.online + weight * load.batch
        return _Place(slots, running / slots if slots else 1.0)

    def _find_latest_s(
        self, candidate: water_filling.Candidate, offer: _Offer, need: needs.Need
    ) -> float:
        """Return until when a request may be sent to meet its objective there."""
        if math.isinf(need.latest_start_s):
            return math.inf
        target = candidate.target
        running = self._loads.total(target.target_id).total
        wait_s = leaving.estimate_wait_s(running, target.slots, need.hold_s)
        return need.latest_start_s - wait_s - offer.delay_s

    def _leave_out_unpaid(
        self,
        candidates: abc.Sequence[water_filling.Candidate],
        offers: abc.Mapping[str, _Offer],
        need: needs.Need,
        now_s: float,
    ) -> list[water_filling.Candidate]:
        """Return the targets that a batch item gains by reaching, if any.

        Waiting costs it the time until a slot is free in its own zone or region.
        """
        by_reach: dict[location.Reach, list[water_filling.Candidate]] = {}
        for item in candidates:
            zone = item.target.availability_zone
            reach = self._location.find_reach(zone, need.zone)
            by_reach.setdefault(reach, []).append(item)
        kept = by_reach.get(location.Reach.ZONE, [])
        for reach in (location.Reach.OTHER_ZONE, location.Reach.OTHER_REGION):
            group = by_reach.get(reach, [])
            if not group:
                continue
            leaving_s = offers[group[0].target.availability_zone].leaving_s
            home = self._measure_home(reach, need, now_s)
            wait_s = leaving.estimate_home_wait_s(
                home.slots, self._loads.waiting_items, need.hold_s
            )
            is_due = now_s + wait_s + need.hold_s >= need.due_s
            if kept or is_due or wait_s >= leaving_s:
                kept = [*kept, *group]
        if not kept:
            self._log.record_wait()
        return kept

    def _measure_age_s(self, target: model.Target, now_s: float) -> float:
        """Return the age of what is known of the load of a target elsewhere."""
        key = self._report_keys.get(target.availability_zone, "")
        report = self._loads.find_report(key)
        if report is None:
            return math.inf
        return now_s - report.received_s + self._settings.region_delay_s
