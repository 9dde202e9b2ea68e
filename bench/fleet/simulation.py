"""Simulates a load pattern with real target selection and simulated engines."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing
from collections import abc

from bench.fleet import batch, engines, pattern
from endivevane.locality import decision, location, settings, sizes
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    hold_times,
    load_table,
    model,
    peer_registry,
    peers,
    region_reports,
    store,
    target_registry,
    target_selection,
)

# Interval at which a daemon retries its waiting requests.
_RETRY_INTERVAL_S = 0.02
_SAME_REGION_DELAY_S = 0.001
_SERVICE = "lm"


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """An online request."""

    arrived_s: float
    hold_s: float
    daemon: Daemon


@dataclasses.dataclass(slots=True, eq=False)
class Daemon:
    """A daemon's view of the fleet."""

    name: str
    region: int
    zone: int
    table: load_table.LoadTable
    selector: target_selection.TargetSelector
    waiting: collections.deque[Request] = dataclasses.field(
        default_factory=collections.deque
    )
    reported_version: int = -1


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the outcomes of requests and items.

    :ivar late: requests whose first event missed the objective
    :ivar in_zone: requests that ran in their availability zone
    :ivar first_s: times to the first event
    :ivar far: requests that ran in another region
    :ivar crowded: requests that reached an engine with three or more above its slots
    :ivar yields: preempted runs of items
    """

    served: int = 0
    late: int = 0
    in_zone: int = 0
    first_s: list[float] = dataclasses.field(default_factory=list)
    far: int = 0
    far_late: int = 0
    crowded: int = 0
    items_due: int = 0
    items_on_time: int = 0
    yields: int = 0


class Simulation:
    """One run of a pattern.

    :param view: source of the daemons' view of the load
    :param locality: settings about leaving the zone, ``None`` for constant costs
    """

    def __init__(
        self,
        workload: pattern.Pattern,
        seed: int,
        view: pattern.View = pattern.View.REPORTS,
        locality: settings.LocalitySection | None = None,
    ) -> None:
        self._locality = locality
        self.pattern = workload
        self.generator = random.Random(seed)
        self.now_s = 0.0
        self.tally = Tally()
        self._view = view
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._true_loads = load_table.LoadTable()
        # The load as the coordinator of each region knows it.
        self._coordinators = [load_table.LoadTable() for _ in workload.daemons]
        self._engines = {
            engine.name: engine
            for region, count in enumerate(workload.targets)
            for engine in self._make_engines(region, count)
        }
        self.targets = {name: self._decode(name, b"") for name in self._engines}
        self.daemons = [
            self._make_daemon(region, number)
            for region, count in enumerate(workload.daemons)
            for number in range(count)
        ]
        self._batch = batch.BatchSimulation(self)

    def run(self) -> Tally:
        """Run the simulation and return the counts."""
        self._schedule_arrival()
        for daemon in self.daemons:
            self.call_later(self.generator.random() * 0.1, self._report, daemon)
        for region in range(len(self.pattern.daemons)):
            self.call_later(self.generator.random() * 0.1, self._report_region, region)
        self._batch.start()
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            if self.now_s > self.pattern.duration_s:
                break
            action()
        return self.tally

    def call_later(
        self, delay_s: float, action: abc.Callable[..., None], *arguments: typing.Any
    ) -> None:
        """Call a function after a simulated delay."""
        entry = (self.now_s + delay_s, next(self._sequence), lambda: action(*arguments))
        heapq.heappush(self._events, entry)

    def find_engine(self, target: model.Target) -> engines.Engine:
        """Return the engine of a target."""
        return self._engines[target.target_id]

    def find_delay_s(self, daemon: Daemon, engine: engines.Engine) -> float:
        """Return the one-way delay between a daemon and an engine."""
        if engine.region != daemon.region:
            return self.pattern.region_delay_s
        return _SAME_REGION_DELAY_S

    def _make_engines(self, region: int, count: int) -> list[engines.Engine]:
        return [
            engines.Engine(
                f"r{region}t{number}",
                region,
                self.pattern.slots,
                self.call_later,
                lambda: self.now_s,
            )
            for number in range(count)
        ]

    def _make_daemon(self, region: int, number: int) -> Daemon:
        zone = f"r{region}z{number % self.pattern.zones}"
        table = self._find_table(region)
        known = target_registry.TargetRegistry(self._decode)
        for version, name in enumerate(self._engines, 1):
            row_key = store.RowKey("targets", "", name)
            known.apply(store.Row(row_key, b"x", version), 0.0)
        regions = {
            f"r{each}z{item}": f"r{each}"
            for each in range(len(self.pattern.daemons))
            for item in range(self.pattern.zones)
        }
        place = location.Location(zone, f"r{region}", regions)
        holds = hold_times.HoldTimes()
        distance_costs = None
        if self._locality is not None:
            distance_costs = decision.MeasuredDistances(
                self._locality, place, known, table, holds, sizes.MeanSizes()
            )
        selector = target_selection.TargetSelector(
            place,
            known,
            table,
            self._make_limits(known, region, number, regions),
            random.Random(self.generator.random()),
            holds,
            distance_costs,
        )
        zone_number = number % self.pattern.zones
        daemon = Daemon(f"r{region}d{number}", region, zone_number, table, selector)
        if self._view is pattern.View.REPORTS:
            table.same_region_age_s = peers.find_interval_s(
                self.pattern.daemons[region]
            )
        table.cross_region_age_s = self._find_region_interval_s()
        return daemon

    def _make_limits(
        self,
        known: target_registry.TargetRegistry,
        region: int,
        number: int,
        regions: abc.Mapping[str, str],
    ) -> rate_limits.RateLimits:
        """Return the rate limits of a daemon, whose engines name none."""
        identity = peer_registry.Identity(
            f"r{region}d{number}", f"r{region}", "run", "10.0.0.1", 1
        )
        members = peer_registry.PeerRegistry(identity)
        return rate_limits.RateLimits(
            identity, members, known, regions.get, lambda _name, _message: None
        )

    def _find_table(self, region: int) -> load_table.LoadTable:
        """Return the load table that a daemon of a region uses."""
        if self._view is pattern.View.PERFECT:
            return self._true_loads
        if self._view is pattern.View.COORDINATED:
            return self._coordinators[region]
        return load_table.LoadTable()

    def _find_region_interval_s(self) -> float:
        """Return the interval between two reports of a region."""
        if self._view is pattern.View.REPORTS:
            return region_reports.find_interval_s(sum(self.pattern.daemons))
        if self._view is pattern.View.COORDINATED:
            return region_reports.SHORTEST_INTERVAL_S
        return 0.0

    def _decode(self, name: str, _value: bytes) -> model.Target:
        """Return the registration of an engine."""
        engine = self._engines[name]
        number = int(name.partition("t")[2])
        return model.Target(
            target_id=name,
            service=_SERVICE,
            host="10.0.0.1",
            port=1,
            availability_zone=f"r{engine.region}z{number % self.pattern.zones}",
            slots=engine.slots,
            is_draining=False,
        )

    def _schedule_arrival(self) -> None:
        rate_per_s = self.pattern.find_rate(self.now_s)
        if self.pattern.uneven is not pattern.Uneven.NONE:
            rate_per_s = self.pattern.rate_per_s * self.pattern.high
        self.call_later(self.generator.expovariate(rate_per_s), self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        factor = max(0.2, self.generator.gauss(1.0, self.pattern.hold_spread))
        daemon = self.generator.choice(self.daemons)
        if self.pattern.uneven is not pattern.Uneven.NONE:
            offset = self.pattern.find_offset(daemon.region, daemon.zone)
            rate_per_s = self.pattern.find_rate(self.now_s, offset)
            highest_per_s = self.pattern.rate_per_s * self.pattern.high
            if self.generator.random() * highest_per_s > rate_per_s:
                return
        request = Request(self.now_s, self.pattern.hold_s * factor, daemon)
        if self._view is pattern.View.COORDINATED:
            # Round trip to the coordinator.
            self.call_later(2 * _SAME_REGION_DELAY_S, self._dispatch_or_queue, request)
        else:
            self._dispatch_or_queue(request)

    def _dispatch_or_queue(self, request: Request) -> None:
        daemon = request.daemon
        if not self._dispatch(request):
            daemon.waiting.append(request)
            self.call_later(_RETRY_INTERVAL_S, self._dispatch_waiting, daemon)

    def _dispatch_waiting(self, daemon: Daemon) -> None:
        while daemon.waiting:
            if not self._dispatch(daemon.waiting[0]):
                self.call_later(_RETRY_INTERVAL_S, self._dispatch_waiting, daemon)
                return
            daemon.waiting.popleft()

    def _dispatch(self, request: Request) -> bool:
        daemon = request.daemon
        latest_s = request.arrived_s + self.pattern.objective_s - self.pattern.start_s
        target = daemon.selector.choose_online(
            _SERVICE, self.now_s, latest_start_s=latest_s
        )
        if target is None:
            return False
        engine = self.find_engine(target)
        daemon.table.begin(engine.name, is_batch=False)
        run = engines.Run(
            request.hold_s,
            lambda: self._record_start(request, engine),
            lambda: self._record_end(daemon, engine),
        )
        self.call_later(self.find_delay_s(daemon, engine), self._submit, engine, run)
        return True

    def _submit(self, engine: engines.Engine, run: engines.Run) -> None:
        self.tally.crowded += engine.load >= engine.slots + 3
        engine.submit(run)

    def _record_start(self, request: Request, engine: engines.Engine) -> None:
        back_s = self.find_delay_s(request.daemon, engine)
        first_s = self.now_s + self.pattern.start_s + back_s - request.arrived_s
        is_late = first_s > self.pattern.objective_s
        is_far = engine.region != request.daemon.region
        zone = self.targets[engine.name].availability_zone
        self.tally.in_zone += zone == f"r{request.daemon.region}z{request.daemon.zone}"
        self.tally.first_s.append(first_s)
        self.tally.served += 1
        self.tally.late += is_late
        self.tally.far += is_far
        self.tally.far_late += is_far and is_late

    def _record_end(self, daemon: Daemon, engine: engines.Engine) -> None:
        delay_s = self.find_delay_s(daemon, engine)
        self.call_later(delay_s, daemon.table.end, engine.name, False)

    def _report(self, daemon: Daemon) -> None:
        daemon_count = self.pattern.daemons[daemon.region]
        self.call_later(peers.find_interval_s(daemon_count), self._report, daemon)
        if self._view is not pattern.View.REPORTS:
            return
        if daemon.table.version == daemon.reported_version:
            return
        daemon.reported_version = daemon.table.version
        report = load_table.LoadReport(
            _copy_loads(daemon.table.own), self.now_s, daemon.table.own_waiting_items
        )
        self.call_later(_SAME_REGION_DELAY_S, self._deliver, daemon, report)

    def _deliver(self, sender: Daemon, report: load_table.LoadReport) -> None:
        for daemon in self.daemons:
            if daemon.region == sender.region and daemon is not sender:
                daemon.table.set_report(sender.name, report)

    def _report_region(self, region: int) -> None:
        if self._view is pattern.View.PERFECT:
            return
        interval_s = self._find_region_interval_s()
        self.call_later(interval_s, self._report_region, region)
        members = [item for item in self.daemons if item.region == region]
        names = [item.name for item in members]
        table = members[0].table
        report = load_table.LoadReport(
            table.sum_with(names),
            self.now_s,
            table.sum_waiting_items(names),
            covers_region=True,
        )
        delay_s = self.pattern.region_delay_s + 2 * _SAME_REGION_DELAY_S
        self.call_later(delay_s, self._deliver_region, region, report)

    def _deliver_region(self, region: int, report: load_table.LoadReport) -> None:
        for daemon in self.daemons:
            if daemon.region != region:
                daemon.table.set_report(region_reports.make_key(f"r{region}"), report)


def _copy_loads(
    loads: abc.Mapping[str, load_table.Load],
) -> dict[str, load_table.Load]:
    return {
        name: load_table.Load(load.online, load.batch) for name, load in loads.items()
    }
