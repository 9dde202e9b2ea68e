"""Reports to and from the coordinator of a large region.

Each daemon tells the coordinator and its deputy what it holds; the coordinator tells
all who lives. Both are soft: a lost message is made up for by the next one.
"""

from __future__ import annotations

from collections import abc

from endivevane import logs
from endivevane.serving import (
    coordinator,
    load_table,
    newest_version,
    peer_messages,
    peer_registry,
    region_reports,
)

# Time between two reports of a daemon, and the least for each daemon of the region,
# which bounds the datagrams that the coordinator gets.
_INTERVAL_S = 0.4
_INTERVAL_PER_PEER_S = 0.004
# A coordinator looks at what waits this often, besides after each change.
_COORDINATOR_TICK_S = 0.05
# The other daemons of its region look this often whether it is still the same one.
_MEMBER_TICK_S = 0.2
# Notices that may be missed in a row before a coordinator is passed over.
_MISSED_NOTICES = 3
# The same for the deputy, so that it acts before the others look for it.
_MISSED_BY_DEPUTY = 2
# Daemons that are passed over at once when a later one in rank coordinates.
_MOST_PASSED_OVER = 16
# A coordinator without notices is passed over for this long, unless it is heard.
_MISSING_S = 10.0
# Daemons that have been silent for long only get every eighth notice.
_LOST_PERIOD = 8

HeldReport = abc.Callable[[float], peer_messages.Report]


class CoordinatedReports:
    """Reports to the coordinator, or tells the others who lives as the coordinator.

    :param make_held_report: returns what this daemon holds at a monotonic time
    :param send: sends a datagram to a daemon
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        members: peer_registry.PeerRegistry,
        board: load_table.LoadTable,
        newest: newest_version.NewestVersion,
        regions: region_reports.RegionReports,
        make_held_report: HeldReport,
        send: region_reports.Send,
    ) -> None:
        self._identity = identity
        self._roster = members
        self._board = board
        self._newest = newest
        self._regions = regions
        self._make_held_report = make_held_report
        self._send = send
        self._coordinator: coordinator.Coordinator | None = None
        self._notices = 0
        self._reported_s = 0.0
        self._noticed_s = 0.0
        self._notice_heard_s = 0.0
        self._is_coordinating = False
        # Since when the others report here, as to a coordinator or a deputy.
        self._ranked_since_s: float | None = None
        self._ranked: list[str] = []

    def connect(self, giver: coordinator.Coordinator) -> None:
        """Set what gives out places."""
        self._coordinator = giver

    @property
    def tick_s(self) -> float:
        """Time between two calls of :meth:`run_once`."""
        return _COORDINATOR_TICK_S if self._is_coordinating else _MEMBER_TICK_S

    @property
    def interval_s(self) -> float:
        """Time between two reports of a daemon, or two notices of the coordinator."""
        return max(
            _INTERVAL_S, self._roster.count_region_peers() * _INTERVAL_PER_PEER_S
        )

    def run_once(self, now_s: float) -> None:
        """Report, coordinate or look after the coordinator, as is due."""
        ranked = self._roster.rank(self._identity.region, now_s)
        self._note_ranked(ranked, now_s)
        if now_s - self._reported_s >= self.interval_s:
            self.report(now_s)
            self._board.drop_stale_reports(now_s)
            if self._coordinator is not None:
                self._coordinator.drop_silent(now_s)
        if self._roster.is_coordinator(now_s):
            self._coordinate(now_s)
            return
        self._is_coordinating = False
        self._board.same_region_age_s = self.interval_s
        most_missed = _MISSED_NOTICES
        if self._identity.name in ranked:
            most_missed = _MISSED_BY_DEPUTY
        if ranked and now_s - self._notice_heard_s >= most_missed * self.interval_s:
            logs.info("coordinator_missing", coordinator=ranked[0])
            self._roster.suspect(ranked[0], now_s, _MISSING_S)

    def report(self, now_s: float) -> None:
        """Tell the first daemons in rank what this one holds."""
        self._reported_s = now_s
        data = peer_messages.encode(self._make_held_report(now_s))
        for name in self._roster.rank(self._identity.region, now_s):
            if name != self._identity.name:
                self._send(data, self._roster.peers[name])

    def handle_notice(self, name: str, now_s: float) -> None:
        """Note that a daemon coordinates, which may not be the first in rank here.

        It has passed over those before it; this daemon does so too unless it has heard
        of its own coordinator a moment ago.
        """
        silence_s = _MISSED_BY_DEPUTY * self.interval_s
        is_silent = now_s - self._notice_heard_s >= silence_s
        for _ in range(_MOST_PASSED_OVER):
            ranked = self._roster.rank(self._identity.region, now_s)
            if ranked[:1] == [name]:
                self._notice_heard_s = now_s
                return
            if not is_silent or not ranked or ranked[0] == self._identity.name:
                return
            self._roster.suspect(ranked[0], now_s, _MISSING_S)

    def _note_ranked(self, ranked: list[str], now_s: float) -> None:
        """Note who coordinates from now on."""
        if ranked != self._ranked:
            # Whoever gives out places from now on has to know what is held.
            self._ranked = ranked
            self._notice_heard_s = now_s - self.interval_s
            self._reported_s = 0.0
        if self._identity.name not in ranked:
            self._ranked_since_s = None
        elif self._ranked_since_s is None:
            self._ranked_since_s = now_s

    def _coordinate(self, now_s: float) -> None:
        """Give out places and tell the others who lives."""
        if not self._is_coordinating:
            self._is_coordinating = True
            logs.info("coordinating", region=self._identity.region)
        since_s = self._ranked_since_s or now_s
        if now_s - since_s >= peer_registry.DEAD_AFTER_S:
            self._roster.membership_updated_s = now_s
        self._board.same_region_age_s = 0.0
        self._board.cross_region_age_s = region_reports.SHORTEST_INTERVAL_S
        self._regions.report(now_s, since_s)
        if self._coordinator is not None:
            self._coordinator.tick(now_s)
        if now_s - self._noticed_s >= self.interval_s:
            self._noticed_s = now_s
            self._send_notices(since_s, now_s)

    def _send_notices(self, since_s: float, now_s: float) -> None:
        """Tell the daemons of the region who lives."""
        self._notices += 1
        regions = {self._identity.region}
        regions.update(peer.region for peer in self._roster.peers.values())
        states = tuple(
            self._roster.describe_region(region, since_s, now_s)
            for region in sorted(regions)
        )
        for state in states:
            self._roster.mark_unresponsive(state)
        notice = peer_messages.MembershipNotice(
            name=self._identity.name,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._notices,
            version=self._newest.value,
            weight=self._identity.weight,
            states=states,
        )
        data = peer_messages.encode(notice)
        is_lost_turn = self._notices % _LOST_PERIOD == 0
        for peer in self._roster.list_region_peers():
            if is_lost_turn or not peer.is_lost(now_s):
                self._send(data, peer)
