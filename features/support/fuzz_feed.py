"""Fuzzing of the configuration feed against the actual head revision."""

from hypothesis import stateful
from hypothesis import strategies as st

from endivevane.coordination import clock, feed

_PEERS = {"p1": "z1", "p2": "z1", "p3": "z1", "p4": "z2"}
_LONGEST_PAUSE_S = 9.0


class FeedMachine(stateful.RuleBasedStateMachine):
    """One daemon that restarts, pauses and gets answers in any order.

    Every revision up to the head was in force at some peer; a late answer carries a
    revision that was the newest some time ago.
    """

    steps_run = 0
    feed_class = feed.ConfigurationFeed

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.head = 0
        self.answers = {}
        self.start_process()

    def start_process(self):
        self.feed = self.feed_class("z1", self.clock, _LONGEST_PAUSE_S)
        self.feed.set_peers(_PEERS)
        self.highest = 0
        self.answers = {}
        self.read_head = None
        self.was_current = False

    def count(self):
        type(self).steps_run += 1

    @stateful.rule()
    def publish(self):
        self.count()
        self.head += 1

    @stateful.rule(back=st.integers(0, 3), delay_s=st.sampled_from([0.0, 1.0, 20.0]))
    def read(self, back, delay_s):
        """The table service answers, possibly after a long pause of this process."""
        self.count()
        started_s = self.clock.monotonic_s()
        revision = max(self.head - back, 0) if delay_s else self.head
        self.clock.advance(delay_s)
        self.note_pause(delay_s)
        self.feed.record_head(revision, started_s)
        if delay_s < _LONGEST_PAUSE_S:
            self.read_head = max(revision, self.read_head or 0)

    @stateful.rule(revision=st.integers(0, 12))
    def documents_arrive(self, revision):
        """A fetch or a peer delivers documents of any revision that ever existed."""
        self.count()
        if revision > self.head:
            return
        before = self.feed.applied_revision
        is_used = self.feed.apply(revision)
        assert is_used == (revision > before), f"{before} to {revision}: {is_used}"

    @stateful.rule(
        peer=st.sampled_from(sorted(_PEERS)),
        back=st.integers(0, 3),
        is_current=st.booleans(),
    )
    def peer_answers(self, peer, back, is_current):
        self.count()
        revision = max(self.head - back, 0)
        self.feed.record_answer(peer, revision, is_current)
        if is_current:
            self.answers[peer] = revision

    @stateful.rule(duration_s=st.sampled_from([0.5, 5.0, 10.0, 100.0]))
    def pause(self, duration_s):
        self.count()
        self.clock.advance(duration_s)
        self.note_pause(duration_s)

    @stateful.rule()
    def restart(self):
        self.count()
        self.start_process()

    def note_pause(self, duration_s):
        if duration_s > _LONGEST_PAUSE_S:
            self.answers = {}
            self.read_head = None

    @stateful.invariant()
    def the_revision_never_goes_back(self):
        assert self.feed.applied_revision >= self.highest, "the revision decreased"
        self.highest = self.feed.applied_revision

    @stateful.invariant()
    def current_only_with_a_reason(self):
        """Oracle: a head was read, or half of the zone's three peers answered."""
        is_current = self.feed.is_current()
        in_zone = [name for name in self.answers if _PEERS[name] == "z1"]
        has_reason = self.read_head is not None or len(in_zone) >= 2
        assert has_reason or not is_current, f"current after {self.answers}"
        if is_current and not self.was_current:
            needed = self.read_head
            if needed is None:
                needed = max(self.answers.values())
            assert self.feed.applied_revision >= needed, f"current below {needed}"
        self.was_current = is_current


class _ObedientFeed(feed.ConfigurationFeed):
    """Broken: applies every revision."""

    def apply(self, revision):
        self.applied_revision = revision
        return True


class ObedientMachine(FeedMachine):
    """Fuzzes a feed that applies older revisions."""

    steps_run = 0
    feed_class = _ObedientFeed


class _HastyFeed(feed.ConfigurationFeed):
    """Broken: a single answer confirms the revision."""

    def record_answer(self, daemon, revision, is_current):
        super().record_answer(daemon, revision, is_current)
        self._is_current = True


class HastyMachine(FeedMachine):
    """Fuzzes a feed that trusts a single answer."""

    steps_run = 0
    feed_class = _HastyFeed
