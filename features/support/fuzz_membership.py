"""Fuzzing of the failure detector over a network that loses and duplicates messages."""

import random

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane.coordination import clock, members, membership, membership_view, probes

_NAMES = ("a", "b", "c", "d", "e")
_ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z2", "e": "z3"}
_REGIONS = {"z1": "r1", "z2": "r1", "z3": "r1"}
_HEAL_TICKS = 1200


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Five detectors; any message may be lost, duplicated or late."""

    steps_run = 0

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.generator = random.Random(7)
        self.detectors = {}
        self.paused = set()
        self.network = []
        self.seen = {}
        self.ticks = 0
        for name in _NAMES:
            self.start_process(name)

    def start_process(self, name):
        zone = _ZONES[name]
        location = members.Description(f"{name}:1", zone, _REGIONS[zone])
        settings = probes.DetectorSettings(sync_interval_s=5.0)
        self.detectors[name] = membership.FailureDetector(
            name,
            location,
            settings,
            self.clock,
            random.Random(self.generator.random()),
        )
        for other in _NAMES:
            if other != name:
                self.detectors[name].join(other)
        self.collect(name)

    def collect(self, name):
        for outgoing in self.detectors[name].take_outgoing():
            self.network.append((outgoing.receiver, outgoing.message))

    def deliver(self, index, keep):
        receiver, message = self.network[index]
        if not keep:
            del self.network[index]
        if receiver in self.detectors and receiver not in self.paused:
            self.detectors[receiver].handle(message)
            self.collect(receiver)

    def tick_all(self):
        self.clock.advance(0.1)
        for name in sorted(self.detectors):
            if name not in self.paused:
                self.detectors[name].tick()
                self.join_unregistered_peers(name)
                self.collect(name)

    def join_unregistered_peers(self, name):
        """Join as a gateway's cluster task does for peers found in the session rows."""
        detector = self.detectors[name]
        self.ticks += 1
        if self.ticks % 7 or not detector.is_gateway():
            return
        for other in sorted(self.detectors):
            member = detector.table.get(other)
            if member is None or member.state is members.MemberState.DEAD:
                detector.join(other)

    @stateful.rule(ticks=st.integers(1, 30), loss=st.integers(0, 10))
    def run(self, ticks, loss):
        type(self).steps_run += 1
        for _ in range(ticks):
            self.tick_all()
            for _ in range(len(self.network)):
                receiver, message = self.network.pop(0)
                if self.generator.randrange(10) < loss:
                    continue
                self.network.append((receiver, message))
                self.deliver(len(self.network) - 1, keep=False)

    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver_any(self, data, keep):
        type(self).steps_run += 1
        if self.network:
            self.deliver(data.draw(st.integers(0, len(self.network) - 1)), keep)

    @stateful.rule(name=st.sampled_from(_NAMES))
    def pause_or_resume(self, name):
        type(self).steps_run += 1
        self.paused.symmetric_difference_update({name})

    @stateful.rule(name=st.sampled_from(_NAMES))
    def kill_or_start(self, name):
        type(self).steps_run += 1
        self.paused.discard(name)
        if name in self.detectors:
            del self.detectors[name]
            self.seen = {key: item for key, item in self.seen.items() if key[0] != name}
        else:
            self.start_process(name)

    @stateful.rule(name=st.sampled_from(_NAMES), accused=st.sampled_from(_NAMES))
    def report_expiry(self, name, accused):
        type(self).steps_run += 1
        if name in self.detectors and name not in self.paused:
            self.detectors[name].report_session_expired(accused)
            self.collect(name)

    @stateful.invariant()
    def states_never_revert(self):
        for name, detector in self.detectors.items():
            for member in detector.table:
                now = (member.incarnation, member.state)
                before = self.seen.get((name, member.name), (-1, 0))
                assert now >= before, f"{name} reverted {member.name} to {now}"
                self.seen[name, member.name] = now

    @stateful.invariant()
    def nobody_suspects_itself(self):
        for name, detector in self.detectors.items():
            own = detector.table.get(name)
            assert own.state is members.MemberState.ALIVE, own
            assert own == detector.me

    def teardown(self):
        """After the faults have ended, all views must become correct."""
        self.paused.clear()
        for _ in range(_HEAL_TICKS):
            self.tick_all()
            pending, self.network = self.network, []
            for receiver, message in pending:
                if receiver in self.detectors:
                    self.detectors[receiver].handle(message)
                    self.collect(receiver)
            if self.views_are_correct():
                return
        views = {name: self.view(name) for name in self.detectors}
        raise AssertionError(f"views differ after the faults ended: {views}")

    def view(self, name):
        return sorted(
            member.name
            for member in self.detectors[name].table
            if member.state is members.MemberState.ALIVE
        )

    def views_are_correct(self):
        expected = sorted(self.detectors)
        return all(self.view(name) == expected for name in self.detectors)


class _StaleView(membership_view.MembershipView):
    """Broken: applies every update, whatever its incarnation."""

    def _merge_one(self, update, now_s):
        member = self.table.get(update.name)
        if update.name != self.me.name and member is not None:
            self._apply(update, member.description, member, now_s)

    def merge(self, updates, now_s):
        for update in updates:
            self._merge_one(update, now_s)
        super().merge(updates, now_s)


class ForgetfulMachine(MembershipMachine):
    """Fuzzes detectors that apply stale updates."""

    def start_process(self, name):
        original = membership.membership_view.MembershipView
        membership.membership_view.MembershipView = _StaleView
        try:
            super().start_process(name)
        finally:
            membership.membership_view.MembershipView = original
