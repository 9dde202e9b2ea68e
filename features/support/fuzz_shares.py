"""Fuzzing of the division of a rate with changing needs and late messages."""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane.coordination import clock, shares

_RATE = 1000.0
_NAMES = ("a", "b", "c", "d")
_NEEDS = st.sampled_from([0.0, 10.0, 200.0, 600.0, 5000.0])
_STEP_S = 0.25


class SharesMachine(stateful.RuleBasedStateMachine):
    """Four daemons whose announcements arrive in any order within a time limit.

    ``late_s`` is the delay beyond the propagation time that an announcement may have.
    """

    steps_run = 0
    late_s = 0.0
    settings = shares.ShareSettings()

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.network = []
        self.needs = dict.fromkeys(_NAMES, 0.0)
        self.versions = 0
        self.daemons = {name: self.make(name) for name in _NAMES}
        self.update_members()

    def make(self, name):
        self.versions += 1_000_000
        settings = self.settings
        return shares.ShareAllocator(name, settings, self.clock, self.versions)

    def update_members(self):
        for daemon in self.daemons.values():
            daemon.set_members(tuple(self.daemons), len(_NAMES))

    def step(self, duration_s=_STEP_S):
        """Announce, advance the clock and deliver the messages that are due."""
        for name, daemon in self.daemons.items():
            daemon.set_need(self.needs[name])
            for need in daemon.take_announcements(8):
                if need.name == name:
                    due_s = (
                        self.clock.monotonic_s() + daemon.propagation_s + self.late_s
                    )
                    others = [other for other in _NAMES if other != name]
                    self.network += [(due_s, other, need) for other in others]
        self.clock.advance(duration_s)
        now_s = self.clock.monotonic_s()
        for item in [item for item in self.network if item[0] <= now_s]:
            self.deliver(item)
        self.check_sum()

    def deliver(self, item):
        self.network.remove(item)
        if item[1] in self.daemons:
            self.daemons[item[1]].receive(item[2])

    def check_sum(self):
        """Check the sum; late messages leave daemons unaware of each other."""
        pool = _RATE * (1 - self.settings.floor_share)
        slack = len(_NAMES) * pool * self.late_s / self.settings.ramp_s
        found = [item.compute_share(_RATE) for item in self.daemons.values()]
        floor = _RATE * self.settings.floor_share / len(_NAMES)
        assert all(share >= floor * 0.999 for share in found), found
        bound = _RATE + slack + 1e-6
        assert sum(found) <= bound, (sum(found), bound, found)

    @stateful.rule(name=st.sampled_from(_NAMES), need=_NEEDS)
    def change_need(self, name, need):
        type(self).steps_run += 1
        self.needs[name] = need
        self.step()

    @stateful.rule(steps=st.integers(1, 12))
    def wait(self, steps):
        type(self).steps_run += 1
        for _ in range(steps):
            self.step()

    @stateful.rule(index=st.integers(0, 50))
    def deliver_early(self, index):
        type(self).steps_run += 1
        if self.network:
            self.deliver(self.network[index % len(self.network)])
            self.check_sum()

    @stateful.rule(name=st.sampled_from(_NAMES))
    def die_or_restart(self, name):
        """A dead daemon uses nothing; a restarted one knows no needs."""
        type(self).steps_run += 1
        if name not in self.daemons:
            self.daemons[name] = self.make(name)
        elif len(self.daemons) > 2:
            del self.daemons[name]
        self.update_members()
        self.step()

    def teardown(self):
        """When stable, a sole active daemon has nearly all; several have even parts."""
        names = sorted(self.daemons)
        self.needs = dict.fromkeys(_NAMES, 0.0)
        self.needs[names[0]] = 5000.0
        # The expiry of a dead daemon's need takes longest.
        bound_s = 5 * self.settings.refresh_s + self.settings.ramp_s + 2
        for _ in range(int(bound_s / _STEP_S)):
            self.step()
        lone = self.daemons[names[0]].compute_share(_RATE)
        assert lone >= 0.9 * _RATE, lone
        self.needs = dict.fromkeys(_NAMES, 5000.0)
        for _ in range(int(bound_s / _STEP_S)):
            self.step()
        even = _RATE * (1 - self.settings.floor_share) / len(names)
        for daemon in self.daemons.values():
            assert daemon.compute_share(_RATE) >= even, daemon.compute_share(_RATE)


class LateSharesMachine(SharesMachine):
    """Announcements arrive up to 1 s after the propagation time."""

    steps_run = 0
    late_s = 1.0


class HastyAllocator(shares.ShareAllocator):
    """Broken: applies an increase of its own need at once."""

    def compute_share(self, rate):
        self._history = type(self._history)([self._history[-1]])
        return super().compute_share(rate)


class HastySharesMachine(SharesMachine):
    steps_run = 0

    def make(self, name):
        self.versions += 1_000_000
        settings = dataclasses.replace(self.settings)
        return HastyAllocator(name, settings, self.clock, self.versions)
