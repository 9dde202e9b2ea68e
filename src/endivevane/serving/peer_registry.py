"""Liveness of the other daemons, and the choice of each region's coordinator.

The daemons of a small region exchange heartbeats directly. Those of a large one report
only to the two highest-ranked daemons; the first of these, the coordinator, sends the
others the membership. The rank is a weighted rendezvous hash of the names of the alive
daemons, so no election is needed. Daemons whose views differ for a moment use different
coordinators; the only cost is that slots are granted twice.
"""

from __future__ import annotations

import dataclasses
import time
from collections import abc

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import former_runs, peer_messages

# A daemon that was last seen this long ago is considered dead.
DEAD_AFTER_S = 1.6
# The same where the coordinator reports liveness: long enough for several failed
# coordinators in a row to be replaced.
_RELAYED_DEAD_AFTER_S = 6.0
# A registered daemon that has not been seen yet may be alive for this long.
_NEW_PEER_GRACE_S = 3.0
# A daemon that has been unresponsive for this long may be gone for good.
_LOST_AFTER_S = 5.0
# A region with more daemons than this, not counting this one, has a coordinator.
_MAX_MESH_PEERS = 15
# Daemons report to a new coordinator within this time.
_FIRST_REPORT_S = 1.0
# A daemon that did not answer is skipped for this long, unless it is seen again.
_SUSPECT_S = 3.0
# How long a computed ranking is cached.
_RANK_TTL_S = 0.05
# Least time between two notices of a coordinator, in total and per peer in the region;
# the latter bounds the rate of datagrams to the coordinator.
_NOTICE_INTERVAL_S = 0.4
_NOTICE_INTERVAL_PER_PEER_S = 0.004
# The highest-ranked daemon coordinates; the second one is ready to replace it.
CANDIDATE_COUNT = 2
# Processor shares differ by small factors; this power favours the largest daemons.
_WEIGHT_EXPONENT = 4


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon.

    :param incarnation: identifies one run of its process
    :param weight: processor share of its VM, in cores
    :param last_seen_s: monotonic time of its last heartbeat, direct or relayed; 0 if
        there was none
    :ivar last_direct_s: monotonic time of its last message to this daemon
    :ivar is_stopping: whether it has announced its shutdown
    :ivar known_since_s: monotonic time at which it was added
    :ivar suspect_until_s: monotonic time until which it is skipped
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
        """Return whether it is unresponsive for so long that most messages are lost."""
        return now_s - max(self.last_seen_s, self.known_since_s) > _LOST_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this daemon.

    :param incarnation: identifies this run of the process
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
        """Owner name of this run of the process in jobs."""
        return f"{self.name}/{self.incarnation}"


class PeerRegistry:
    """Tracks the other daemons and ranks them as coordinators.

    :ivar is_stopping: whether this daemon is shutting down
    :ivar warmed_up_s: monotonic time from which this daemon may coordinate
    :ivar membership_updated_s: monotonic time of the last membership from a coordinator
    """

    def __init__(self, identity: Identity) -> None:
        self.peers: dict[str, Peer] = {}
        self.is_stopping = False
        self.warmed_up_s = float("inf")
        self.membership_updated_s = 0.0
        self._identity = identity
        self._scores: dict[tuple[str, str, float], float] = {}
        self._ranks: dict[str, tuple[float, list[str]]] = {}
        self._region_peer_count = 0
        # Incarnations registered in the store, which all daemons know.
        self._registered: dict[str, str] = {}
        self._former = former_runs.FormerRuns()

    @property
    def is_coordinated(self) -> bool:
        """Whether this daemon's region has a coordinator."""
        return self._region_peer_count > _MAX_MESH_PEERS

    @property
    def notice_interval_s(self) -> float:
        """Time between two reports to the coordinator, or two notices from it."""
        return max(
            _NOTICE_INTERVAL_S, self._region_peer_count * _NOTICE_INTERVAL_PER_PEER_S
        )

    def has_coordinator(self, region: str) -> bool:
        """Return whether a region has a coordinator."""
        if region == self._identity.region:
            return self.is_coordinated
        return self.count_peers(region) > _MAX_MESH_PEERS + 1

    def count_region_peers(self) -> int:
        """Return the number of other daemons of this region, alive or not."""
        return self._region_peer_count

    def add(self, peer: Peer) -> None:
        """Add or update a daemon that is registered in the store."""
        if peer.name == self._identity.name or self._former.includes(
            peer.name, peer.incarnation
        ):
            return
        previous = self._registered.get(peer.name)
        self._registered[peer.name] = peer.incarnation
        known = self.peers.get(peer.name)
        if known is not None and known.incarnation == peer.incarnation:
            known.host, known.port, known.weight = peer.host, peer.port, peer.weight
            return
        if known is not None and known.incarnation == previous:
            self._former.record(known.name, known.incarnation)
            self._set(peer)
            return
        # Relayed heartbeats do not tell one incarnation from the next.
        if known is None or time.monotonic() - known.last_direct_s >= DEAD_AFTER_S:
            self._set(peer)

    def remove(self, name: str) -> None:
        """Remove a daemon whose registration was deleted."""
        if self.peers.pop(name, None) is not None:
            self._refresh()

    def record_heartbeat(self, seen: Peer) -> bool:
        """Record a direct heartbeat; return whether the daemon was not known alive."""
        known = self.peers.get(seen.name)
        if self._former.includes(seen.name, seen.incarnation):
            return False
        seen.last_direct_s = seen.last_seen_s
        if known is None or known.incarnation != seen.incarnation:
            logs.info("peer_heard", peer=seen.name, incarnation=seen.incarnation)
            if known is not None:
                self._former.record(known.name, known.incarnation)
            self._set(seen)
            return True
        is_new = not self.is_alive(seen.name)
        if is_new or known.is_stopping != seen.is_stopping or known.suspect_until_s:
            self._ranks.clear()
        known.host, known.weight = seen.host, seen.weight
        known.last_seen_s = max(known.last_seen_s, seen.last_seen_s)
        known.last_direct_s = seen.last_direct_s
        known.is_stopping = seen.is_stopping
        known.suspect_until_s = 0.0
        return is_new

    def record_alive(self, alive: abc.Iterable[tuple[str, str]], now_s: float) -> None:
        """Record daemons that another region reports as alive."""
        for name, incarnation in alive:
            peer = self.peers.get(name)
            if peer is not None and peer.incarnation == incarnation:
                peer.last_seen_s = now_s

    def apply_region_state(
        self, state: peer_messages.RegionState, now_s: float
    ) -> None:
        """Apply the membership of a region as its coordinator reports it."""
        for unregistered_peer in state.unregistered:
            self._add_unregistered(unregistered_peer, state.region)
        if state.is_known and state.region == self._identity.region:
            self.membership_updated_s = now_s
        unresponsive_names = frozenset(state.unresponsive)
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
            if peer.name not in unresponsive_names:
                peer.last_seen_s = now_s
            elif peer.last_seen_s:
                peer.last_seen_s = 0.0
                self._ranks.clear()

    def mark_unresponsive(self, state: peer_messages.RegionState) -> None:
        """Mark as dead what this daemon, as coordinator, has found unresponsive."""
        for name in state.unresponsive:
            self.peers[name].last_seen_s = 0.0

    def describe_region(
        self, region: str, since_s: float, now_s: float
    ) -> peer_messages.RegionState:
        """Return the membership of a region.

        :param since_s: monotonic time since which its daemons report here; none counts
            as unresponsive before all have had time to report
        """
        is_known = now_s - since_s >= _FIRST_REPORT_S
        unresponsive_names: list[str] = []
        stopping: list[str] = []
        unregistered_peers: list[peer_messages.UnregisteredPeer] = []
        for peer in self.peers.values():
            if peer.region != region:
                continue
            is_new_peer = now_s - peer.known_since_s < _FIRST_REPORT_S
            if (
                is_known
                and not is_new_peer
                and now_s - peer.last_seen_s >= DEAD_AFTER_S
            ):
                unresponsive_names.append(peer.name)
                continue
            if peer.is_stopping:
                stopping.append(peer.name)
            if self._registered.get(peer.name) != peer.incarnation:
                unregistered_peer = peer_messages.UnregisteredPeer(
                    peer.name, peer.host, peer.incarnation
                )
                unregistered_peers.append(unregistered_peer)
        if self.is_stopping and region == self._identity.region:
            stopping.append(self._identity.name)
        return peer_messages.RegionState(
            region,
            is_known,
            tuple(unresponsive_names),
            tuple(stopping),
            tuple(unregistered_peers),
        )

    def is_alive(self, name: str, incarnation: str = "") -> bool:
        """Return whether a daemon, or one incarnation of it, is alive."""
        if name == self._identity.name:
            return incarnation in ("", self._identity.incarnation)
        peer = self.peers.get(name)
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return False
        limit_s = _RELAYED_DEAD_AFTER_S if self.is_coordinated else DEAD_AFTER_S
        return time.monotonic() - peer.last_seen_s < limit_s

    def count_peers(self, region: str) -> int:
        """Return the number of other daemons of a region, alive or not."""
        return sum(1 for peer in self.peers.values() if peer.region == region)

    def list_alive(self) -> list[Peer]:
        """Return the other daemons that are alive."""
        limit_s = _RELAYED_DEAD_AFTER_S if self.is_coordinated else DEAD_AFTER_S
        now_s = time.monotonic()
        return [
            peer for peer in self.peers.values() if now_s - peer.last_seen_s < limit_s
        ]

    def list_region_peers(self) -> list[Peer]:
        """Return the other daemons of this region, alive or not."""
        region = self._identity.region
        return [peer for peer in self.peers.values() if peer.region == region]

    def list_active(self) -> list[str]:
        """Return the names of the alive daemons that are not stopping, own included."""
        names = [peer.name for peer in self.list_alive() if not peer.is_stopping]
        if not self.is_stopping:
            names.append(self._identity.name)
        return names

    def suspect(self, name: str, now_s: float, for_s: float = _SUSPECT_S) -> None:
        """Skip a daemon for a while, unless it is seen again."""
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.suspect_until_s = now_s + for_s
        self._ranks.clear()

    def rank(self, region: str, now_s: float) -> list[str]:
        """Return the coordinator of a region and its deputy, in this order."""
        known = self._ranks.get(region)
        if known is not None and now_s - known[0] < _RANK_TTL_S:
            return known[1]
        is_ready = not self.is_coordinated or self.is_warmed_up(now_s)
        ranked = self._list_ranked(region, now_s, is_ready)
        self._ranks[region] = (now_s, ranked)
        return ranked

    def rank_readers(self, now_s: float) -> list[str]:
        """Return the daemons that read from the store for this daemon's region.

        They are the coordinator and its deputy, and those that will be at a start, when
        no daemon may coordinate yet. A small region has none.
        """
        if not self.is_coordinated:
            return []
        return self._list_ranked(self._identity.region, now_s, True)

    def _list_ranked(self, region: str, now_s: float, with_own: bool) -> list[str]:
        """Return the daemons of a region with the highest scores, the best first.

        :param with_own: whether this daemon may be among them
        """
        scores = {
            peer.name: self._compute_score(region, peer.name, peer.weight)
            for peer in self.peers.values()
            if peer.region == region and self._may_coordinate(peer, now_s)
        }
        own = self._identity
        if region == own.region and not self.is_stopping and with_own:
            scores[own.name] = self._compute_score(region, own.name, own.weight)
        ranked = sorted(scores, key=lambda name: scores[name], reverse=True)
        return ranked[:CANDIDATE_COUNT]

    def list_deciders(self, region: str, now_s: float) -> list[str]:
        """Return the daemons of a region that choose the targets of requests."""
        if self.has_coordinator(region):
            return list(self.rank(region, now_s))
        return [peer.name for peer in self.peers.values() if peer.region == region]

    def list_deciders_elsewhere(self, now_s: float) -> list[str]:
        """Return the daemons of the other regions that choose targets."""
        regions = {peer.region for peer in self.peers.values()}
        return [
            name
            for region in sorted(regions - {self._identity.region})
            for name in self.list_deciders(region, now_s)
        ]

    def is_membership_current(self, now_s: float) -> bool:
        """Return whether the last membership from a coordinator is recent."""
        return (
            not self.is_coordinated or now_s - self.membership_updated_s < DEAD_AFTER_S
        )

    def is_warmed_up(self, now_s: float) -> bool:
        """Return whether this daemon knows enough to coordinate its region."""
        return now_s >= self.warmed_up_s

    def is_coordinator(self, now_s: float) -> bool:
        """Return whether this daemon coordinates its region."""
        if not self.is_coordinated:
            return False
        return self.rank(self._identity.region, now_s)[:1] == [self._identity.name]

    def _add_unregistered(
        self, unregistered_peer: peer_messages.UnregisteredPeer, region: str
    ) -> None:
        """Add a daemon whose registration has not arrived here yet."""
        known = self.peers.get(unregistered_peer.name)
        if unregistered_peer.name == self._identity.name:
            return
        if known is not None and known.incarnation == unregistered_peer.incarnation:
            return
        peer = Peer(
            unregistered_peer.name,
            region,
            unregistered_peer.host,
            self._identity.port,
            unregistered_peer.incarnation,
        )
        if not self._former.includes(peer.name, peer.incarnation):
            self._set(peer)

    def _set(self, peer: Peer) -> None:
        self.peers[peer.name] = peer
        self._refresh()

    def _refresh(self) -> None:
        """Update the count and drop cached ranks after a change of the peers."""
        self._ranks.clear()
        self._region_peer_count = self.count_peers(self._identity.region)

    def _may_coordinate(self, peer: Peer, now_s: float) -> bool:
        if peer.is_stopping or now_s < peer.suspect_until_s:
            return False
        is_new_peer = (
            not peer.last_seen_s and now_s - peer.known_since_s < _NEW_PEER_GRACE_S
        )
        return is_new_peer or self.is_alive(peer.name)

    def _compute_score(self, region: str, name: str, weight: float) -> float:
        key = (region, name, weight)
        score = self._scores.get(key)
        if score is None:
            score = rendezvous.score(region, name, weight**_WEIGHT_EXPONENT)
            self._scores[key] = score
        return score
