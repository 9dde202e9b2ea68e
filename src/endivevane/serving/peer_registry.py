"""Which daemons live, and which of a region's daemons coordinates it.

Daemons of a small region hear each other. Those of a large one report to the first
two in rank only, and the first one, the coordinator, tells them who lives. The rank
follows from the names of the living daemons, so that no election is needed; daemons
that see different ones for a moment use different coordinators, which costs places
given twice and nothing else.
"""

from __future__ import annotations

import dataclasses
import time
from collections import abc

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import peer_messages

# A daemon that has not been heard of for this long is taken for dead.
DEAD_AFTER_S = 1.6
# The same where the coordinator says who is silent: what was known lasts until several
# daemons in rank have been replaced.
_RELAYED_DEATH_S = 6.0
# A daemon that the store names and that has not been heard yet may live.
_FRESH_S = 3.0
# A daemon that has been silent for this long may be gone for good.
_LOST_S = 5.0
# Daemons of a region beyond this many, this one left out, have a coordinator.
_MOST_PEERS_IN_MESH = 15
# Daemons that have a new coordinator report to it within this time.
_REPORTING_S = 1.0
# A daemon that did not answer is passed over for this long, unless it is heard.
_SUSPECT_S = 3.0
# How long the list of the first in rank stays in use.
_RANK_LIFE_S = 0.05
# The first in rank coordinates; the second one knows enough to replace it.
CANDIDATE_COUNT = 2
# Processor shares differ by small factors; this power makes the large ones likely.
_WEIGHT_POWER = 4


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon.

    :param incarnation: names one run of its process
    :param weight: processor share of its VM, in cores
    :param last_seen_s: monotonic time of its last sign of life, 0 if there was none
    :ivar last_direct_s: monotonic time at which it last said something to this daemon
        itself
    :ivar is_stopping: whether it said that it is about to end
    :ivar known_since_s: monotonic time since which it is known
    :ivar suspect_until_s: monotonic time until which it is passed over
    """

    name: str
    region: str
    host: str
    port: int
    incarnation: str
    weight: float = 1.0
    last_seen_s: float = 0.0
    is_stopping: bool = False
    known_since_s: float = dataclasses.field(default_factory=time.monotonic)
    suspect_until_s: float = 0.0
    last_direct_s: float = 0.0

    def is_lost(self, now_s: float) -> bool:
        """Whether it has been silent for so long that most messages are in vain."""
        return now_s - max(self.last_seen_s, self.known_since_s) > _LOST_S


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is.

    :param incarnation: names this run of the process
    :param weight: processor share of its VM, in cores
    """

    name: str
    region: str
    incarnation: str
    host: str
    port: int
    weight: float = 1.0

    @property
    def owner(self) -> str:
        """The name under which this run of the process owns jobs."""
        return f"{self.name}/{self.incarnation}"


class PeerRegistry:
    """Knows the other daemons.

    :ivar is_stopping: whether this daemon is about to end
    :ivar warmed_up_s: monotonic time from which this daemon knows enough to
        coordinate
    :ivar membership_updated_s: monotonic time at which a coordinator last said who
        lives
    """

    def __init__(self, identity: Identity) -> None:
        self.peers: dict[str, Peer] = {}
        self.is_stopping = False
        self.warmed_up_s = float("inf")
        self.membership_updated_s = 0.0
        self._identity = identity
        self._scores: dict[tuple[str, str, float], float] = {}
        self._ranks: dict[str, tuple[float, list[str]]] = {}
        self._near_count = 0
        # Runs of daemons that the store names, so that all daemons know them.
        self._registered: dict[str, str] = {}

    @property
    def is_coordinated(self) -> bool:
        """Whether this daemon's region has a coordinator."""
        return self._near_count > _MOST_PEERS_IN_MESH

    def has_coordinator(self, region: str) -> bool:
        """Whether a region has a coordinator."""
        if region == self._identity.region:
            return self.is_coordinated
        return self.find_region_size(region) > _MOST_PEERS_IN_MESH + 1

    def count_region_peers(self) -> int:
        """Return the number of other daemons of this region, living or not."""
        return self._near_count

    def add(self, peer: Peer) -> None:
        """Take in a daemon that the store knows of."""
        if peer.name == self._identity.name:
            return
        self._registered[peer.name] = peer.incarnation
        known = self.peers.get(peer.name)
        if known is not None and known.incarnation == peer.incarnation:
            known.host, known.port, known.weight = peer.host, peer.port, peer.weight
            return
        # What others say of a daemon does not tell one run of it from the next.
        if known is None or time.monotonic() - known.last_direct_s >= DEAD_AFTER_S:
            self._set(peer)

    def remove(self, name: str) -> None:
        """Forget a daemon that has left."""
        if self.peers.pop(name, None) is not None:
            self._note_change()

    def record_heartbeat(self, heard: Peer) -> bool:
        """Take in a sign of life; return whether the daemon was not known to live."""
        known = self.peers.get(heard.name)
        heard.last_direct_s = heard.last_seen_s
        if known is None or known.incarnation != heard.incarnation:
            logs.info("peer_heard", peer=heard.name, incarnation=heard.incarnation)
            self._set(heard)
            return True
        is_new = not self.is_alive(heard.name)
        if is_new or known.is_stopping != heard.is_stopping or known.suspect_until_s:
            self._ranks.clear()
        known.host, known.weight = heard.host, heard.weight
        known.last_seen_s = max(known.last_seen_s, heard.last_seen_s)
        known.last_direct_s = heard.last_direct_s
        known.is_stopping = heard.is_stopping
        known.suspect_until_s = 0.0
        return is_new

    def record_alive(self, living: abc.Iterable[tuple[str, str]], now_s: float) -> None:
        """Note daemons that another region names as alive."""
        for name, incarnation in living:
            peer = self.peers.get(name)
            if peer is not None and peer.incarnation == incarnation:
                peer.last_seen_s = now_s

    def apply_region_state(
        self, state: peer_messages.RegionState, now_s: float
    ) -> None:
        """Take in which daemons of a region live, from its coordinator."""
        for stranger in state.unregistered:
            self._note_stranger(stranger, state.region)
        if state.is_known and state.region == self._identity.region:
            self.membership_updated_s = now_s
        silent = frozenset(state.unresponsive)
        stopping = frozenset(state.stopping)
        for peer in self.peers.values():
            if peer.region != state.region:
                continue
            is_stopping = peer.name in stopping
            if peer.is_stopping != is_stopping:
                peer.is_stopping = is_stopping
                self._ranks.clear()
            if not state.is_known:
                continue
            if peer.name not in silent:
                peer.last_seen_s = now_s
            elif peer.last_seen_s:
                peer.last_seen_s = 0.0
                self._ranks.clear()

    def mark_unresponsive(self, state: peer_messages.RegionState) -> None:
        """Take for dead what this daemon, as coordinator, has found silent."""
        for name in state.unresponsive:
            self.peers[name].last_seen_s = 0.0

    def describe_region(
        self, region: str, since_s: float, now_s: float
    ) -> peer_messages.RegionState:
        """Return which daemons of a region live.

        :param since_s: monotonic time since which they report here; they have some
            time to do so
        """
        is_known = now_s - since_s >= _REPORTING_S
        silent: list[str] = []
        stopping: list[str] = []
        strangers: list[peer_messages.UnregisteredPeer] = []
        for peer in self.peers.values():
            if peer.region != region:
                continue
            is_fresh = now_s - peer.known_since_s < _REPORTING_S
            if is_known and not is_fresh and now_s - peer.last_seen_s >= DEAD_AFTER_S:
                silent.append(peer.name)
                continue
            if peer.is_stopping:
                stopping.append(peer.name)
            if self._registered.get(peer.name) != peer.incarnation:
                stranger = peer_messages.UnregisteredPeer(
                    peer.name, peer.host, peer.incarnation
                )
                strangers.append(stranger)
        if self.is_stopping and region == self._identity.region:
            stopping.append(self._identity.name)
        return peer_messages.RegionState(
            region, is_known, tuple(silent), tuple(stopping), tuple(strangers)
        )

    def is_alive(self, name: str, incarnation: str = "") -> bool:
        """Whether a daemon, or one run of its process, has given a sign of life."""
        if name == self._identity.name:
            return incarnation in ("", self._identity.incarnation)
        peer = self.peers.get(name)
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return False
        limit_s = _RELAYED_DEATH_S if self.is_coordinated else DEAD_AFTER_S
        return time.monotonic() - peer.last_seen_s < limit_s

    def find_region_size(self, region: str) -> int:
        """Return the number of other daemons of a region, living or not."""
        return sum(1 for peer in self.peers.values() if peer.region == region)

    def list_alive(self) -> list[Peer]:
        """Return the other daemons that live."""
        limit_s = _RELAYED_DEATH_S if self.is_coordinated else DEAD_AFTER_S
        now_s = time.monotonic()
        return [
            peer for peer in self.peers.values() if now_s - peer.last_seen_s < limit_s
        ]

    def list_region_peers(self) -> list[Peer]:
        """Return the other daemons of this region, living or not."""
        region = self._identity.region
        return [peer for peer in self.peers.values() if peer.region == region]

    def list_active(self) -> list[str]:
        """Return the names of the daemons that live and go on, this one included."""
        names = [peer.name for peer in self.list_alive() if not peer.is_stopping]
        if not self.is_stopping:
            names.append(self._identity.name)
        return names

    def suspect(self, name: str, now_s: float, for_s: float = _SUSPECT_S) -> None:
        """Pass over a daemon for a while, unless it is heard."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.suspect_until_s = now_s + for_s
        self._ranks.clear()

    def rank(self, region: str, now_s: float) -> list[str]:
        """Return the first daemons of a region, the coordinator before its deputy."""
        known = self._ranks.get(region)
        if known is not None and now_s - known[0] < _RANK_LIFE_S:
            return known[1]
        scores = {
            peer.name: self._find_score(region, peer.name, peer.weight)
            for peer in self.peers.values()
            if peer.region == region and self._may_coordinate(peer, now_s)
        }
        own = self._identity
        is_ready = not self.is_coordinated or self.is_warmed_up(now_s)
        if region == own.region and not self.is_stopping and is_ready:
            scores[own.name] = self._find_score(region, own.name, own.weight)
        ranked = sorted(scores, key=lambda name: scores[name], reverse=True)[
            :CANDIDATE_COUNT
        ]
        self._ranks[region] = (now_s, ranked)
        return ranked

    def is_membership_current(self, now_s: float) -> bool:
        """Whether this daemon has heard a moment ago who lives."""
        return (
            not self.is_coordinated or now_s - self.membership_updated_s < DEAD_AFTER_S
        )

    def is_warmed_up(self, now_s: float) -> bool:
        """Whether this daemon knows enough to coordinate its region."""
        return now_s >= self.warmed_up_s

    def is_coordinator(self, now_s: float) -> bool:
        """Whether this daemon coordinates its region."""
        if not self.is_coordinated:
            return False
        return self.rank(self._identity.region, now_s)[:1] == [self._identity.name]

    def _note_stranger(
        self, stranger: peer_messages.UnregisteredPeer, region: str
    ) -> None:
        """Take in a daemon that the store has not named here yet."""
        known = self.peers.get(stranger.name)
        if stranger.name == self._identity.name:
            return
        if known is not None and known.incarnation == stranger.incarnation:
            return
        port = self._identity.port
        self._set(
            Peer(stranger.name, region, stranger.host, port, stranger.incarnation)
        )

    def _set(self, peer: Peer) -> None:
        self.peers[peer.name] = peer
        self._note_change()

    def _note_change(self) -> None:
        """Count and rank anew after a daemon came or left."""
        self._ranks.clear()
        self._near_count = self.find_region_size(self._identity.region)

    def _may_coordinate(self, peer: Peer, now_s: float) -> bool:
        if peer.is_stopping or now_s < peer.suspect_until_s:
            return False
        is_fresh = not peer.last_seen_s and now_s - peer.known_since_s < _FRESH_S
        return is_fresh or self.is_alive(peer.name)

    def _find_score(self, region: str, name: str, weight: float) -> float:
        key = (region, name, weight)
        score = self._scores.get(key)
        if score is None:
            score = rendezvous.score(region, name, weight**_WEIGHT_POWER)
            self._scores[key] = score
        return score
