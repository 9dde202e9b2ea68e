"""A region's selection of targets with the decision about distance, without network."""

import heapq
import itertools
import random

from endivevane.locality import decision, location, settings, sizes
from endivevane.serving import (
    hold_times,
    load_table,
    region_reports,
    target_registry,
    target_selection,
)
from features.support import serving_fakes

REGIONS = {"z1": "near", "z3": "near", "z2": "far"}
NOW_S = 100.0


class World:
    """The view of one daemon that chooses targets for its region."""

    def __init__(self, zones, region="near", seed=1, each=2):
        self.targets = {}
        self.directory = target_registry.TargetRegistry(
            lambda key, _value: self.targets[key]
        )
        self.loads = load_table.LoadTable()
        self.sizes = sizes.MeanSizes()
        self.holds = hold_times.HoldTimes()
        here = next(zone for zone in zones if REGIONS[zone] == region)
        place = location.Location(here, region, REGIONS)
        limits = serving_fakes.make_limits(self.directory)
        self.selector = target_selection.TargetSelector(
            place,
            self.directory,
            self.loads,
            limits,
            random.Random(seed),
            self.holds,
            decision.MeasuredDistances(
                settings.LocalitySection(enabled=True),
                place,
                self.directory,
                self.loads,
                self.holds,
                self.sizes,
            ),
        )
        for zone, number in itertools.product(zones, range(each)):
            self.add(f"{zone}-{number}", zone=zone)

    def add(self, name, **fields):
        self.targets[name] = serving_fakes.make_target(name, **fields)
        self.directory.apply(serving_fakes.make_row(name, b"x", 1), NOW_S)

    def report(self, region, counts, received_s=NOW_S):
        loads = {name: load_table.Load(count) for name, count in counts.items()}
        self.loads.set_report(
            region_reports.make_key(region),
            load_table.LoadReport(loads, received_s, covers_region=True),
        )

    def find_zone(self, target):
        return "none" if target is None else target.availability_zone


class TwoRegions:
    """Two coordinators that learn of each other's loads by reports.

    Requests arrive at random at a rate by region and time, and hold a slot for 0.8 s.
    """

    def __init__(self, find_rate, seed=3):
        self._find_rate = find_rate
        self._generator = random.Random(seed)
        names = ("near", "far")
        self.worlds = {
            name: World(("z1", "z2"), name, seed + number, each=8)
            for number, name in enumerate(names)
        }
        # (time, region, whether it went to the other one)
        self.sent = []
        self.longest_wait_s = 0.0

    def run(self, until_s):
        waiting = {name: [] for name in self.worlds}
        ends = []
        reports = []
        step_s = 0.01
        for tick in range(int(until_s / step_s)):
            now_s = NOW_S + tick * step_s
            while ends and ends[0][0] <= now_s:
                _, region, target_id = heapq.heappop(ends)
                self.worlds[region].loads.end(target_id, False)
            if tick % 10 == 0:
                reports.append((now_s + 0.02, self._copy_loads()))
            while reports and reports[0][0] <= now_s:
                for region, counts in reports.pop(0)[1].items():
                    other = "far" if region == "near" else "near"
                    self.worlds[other].report(region, counts, now_s)
            for region, world in self.worlds.items():
                mean = self._find_rate(region, now_s - NOW_S) * step_s
                count = sum(self._generator.random() < mean / 8 for _ in range(8))
                waiting[region].extend([now_s] * count)
                while waiting[region]:
                    target = world.selector.choose_online("lm", now_s)
                    if target is None:
                        break
                    wait_s = now_s - waiting[region].pop(0)
                    self.longest_wait_s = max(self.longest_wait_s, wait_s)
                    world.loads.begin(target.target_id, False)
                    hold_s = 0.8 * self._generator.uniform(0.7, 1.3)
                    heapq.heappush(ends, (now_s + hold_s, region, target.target_id))
                    is_far = REGIONS[target.availability_zone] != region
                    self.sent.append((now_s - NOW_S, region, is_far))

    def _copy_loads(self):
        return {
            region: {name: load.online for name, load in world.loads.own.items()}
            for region, world in self.worlds.items()
        }
