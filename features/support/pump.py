"""Simulated network between failure detectors, in simulated time.

Delays, loss, pauses, deaths and partitions come from a seeded generator. The detectors
are the real ones; only the network and the clock are simulated.
"""

import collections
import dataclasses
import heapq
import random

from endivevane.coordination import clock, members, membership, probes

TICK_S = 0.1
WARM_UP_S = 2.0
JOIN_INTERVAL_S = 0.5
LOCAL_LATENCY_S = 0.0015
REGION_LATENCY_S = 0.020


@dataclasses.dataclass
class Node:
    detector: membership.FailureDetector
    region: str
    is_running: bool = True
    paused_until_s: float = 0.0
    backlog: list = dataclasses.field(default_factory=list)
    seeds: tuple = ()
    join_at_s: float = 0.0


class SimulatedNetwork:
    def __init__(self, seed, loss=0.0, pause_s=0.0, pause_share=0.0):
        self.clock = clock.ManualClock()
        self.random = random.Random(seed)
        self.loss = loss
        self.pause_s = pause_s
        self.pause_share = pause_share
        self.nodes = {}
        self.is_partitioned = False
        self.killed_s = {}
        self.deaths = []
        self.suspicions = 0
        self.revisions = {}
        self.messages = collections.Counter()
        self._heap = []
        self._number = 0

    @property
    def now_s(self):
        return self.clock.monotonic_s()

    def add(self, name, zone, region, seeds=()):
        location = members.Description(f"127.0.0.1:{len(self.nodes) + 1}", zone, region)
        detector = membership.FailureDetector(
            name,
            location,
            probes.DetectorSettings(),
            self.clock,
            random.Random(self.random.random()),
        )
        self.nodes[name] = Node(detector, region, seeds=tuple(seeds))
        self._schedule(self.random.uniform(0, TICK_S), "tick", name)

    def build(self, count, zones):
        """Add members that know each other from the start, spread over the zones."""
        for number in range(count):
            zone, region = zones[number % len(zones)]
            self.add(f"d{number:03d}", zone, region)
        known = [members.make_update(node.detector.me) for node in self.nodes.values()]
        for node in self.nodes.values():
            for update in known:
                node.detector.report_member(update)
            node.detector.take_events()
            # The introductions count as sent before the simulation begins.
            queue = node.detector._view.queue
            while queue.take(count, count):
                pass
        self.run(WARM_UP_S)
        self.messages.clear()

    def kill(self, name):
        self.nodes[name].is_running = False
        self.killed_s[name] = self.now_s

    def pause(self, name, duration_s):
        self.nodes[name].paused_until_s = self.now_s + duration_s

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            due_s, _, kind, name, message = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, due_s - self.now_s))
            node = self.nodes[name]
            if not node.is_running:
                continue
            if kind == "tick":
                self._tick(name, node)
                continue
            if node.paused_until_s > self.now_s:
                node.backlog.append(message)
                continue
            node.detector.handle(message)
            self._collect(name)
        self.clock.advance(max(0.0, end_s - self.now_s))

    def running(self):
        return [name for name, node in self.nodes.items() if node.is_running]

    def false_deaths(self):
        return [
            (at_s, observer, name)
            for at_s, observer, name in self.deaths
            if name not in self.killed_s
        ]

    def detection_s(self, name):
        """Return each running member's detection time of a death, ``None`` without."""
        seen = {}
        for at_s, observer, dead in self.deaths:
            if dead == name and at_s >= self.killed_s[name]:
                seen.setdefault(observer, at_s - self.killed_s[name])
        return {observer: seen.get(observer) for observer in self.running()}

    def views(self):
        """Return the members that each running member considers not dead."""
        return {
            name: frozenset(
                member.name
                for member in self.nodes[name].detector.table
                if member.state is not members.MemberState.DEAD
            )
            for name in self.running()
        }

    def _tick(self, name, node):
        if node.paused_until_s > self.now_s:
            self._schedule(node.paused_until_s - self.now_s, "tick", name)
            return
        for message in node.backlog:
            node.detector.handle(message)
        node.backlog.clear()
        node.detector.tick()
        if len(node.detector.table) == 1 and node.join_at_s <= self.now_s:
            # Like the cluster task, repeat the join until another member is known.
            node.join_at_s = self.now_s + JOIN_INTERVAL_S
            for seed in node.seeds:
                node.detector.join(seed)
        self._collect(name)
        if self.pause_share and self.random.random() < self.pause_share:
            node.paused_until_s = self.now_s + self.pause_s
        self._schedule(TICK_S, "tick", name)

    def _collect(self, name):
        node = self.nodes[name]
        node.detector.take_reconnects()
        for change in node.detector.take_events():
            state = change.member.state
            if state is members.MemberState.DEAD:
                self.deaths.append((self.now_s, name, change.member.name))
            self.suspicions += state is members.MemberState.SUSPECT
        for outgoing in node.detector.take_outgoing():
            receiver = self.nodes.get(outgoing.receiver)
            self.messages[type(outgoing.message).__name__] += 1
            if receiver is None or self.random.random() < self.loss:
                continue
            is_local = receiver.region == node.region
            if self.is_partitioned and not is_local:
                continue
            latency_s = LOCAL_LATENCY_S if is_local else REGION_LATENCY_S
            delay_s = latency_s * self.random.uniform(1.0, 2.0)
            self._schedule(delay_s, "message", outgoing.receiver, outgoing.message)

    def _schedule(self, delay_s, kind, name, message=None):
        self._number += 1
        entry = (self.now_s + delay_s, self._number, kind, name, message)
        heapq.heappush(self._heap, entry)
