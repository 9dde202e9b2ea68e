"""Reports to and notices from the coordinator of a large region.

Each daemon reports the slots that it holds to the coordinator and its deputy; the
coordinator notifies all daemons of who is alive. Lost messages are not repeated: the
next one makes up for them.
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

# A coordinator examines waiting requests at this interval, besides after each change.
_COORDINATOR_TICK_S = 0.05
# The other daemons of the region check at this interval who coordinates.
_MEMBER_TICK_S = 0.2
# Consecutive notices that may be missed before a coordinator is suspected.
_MAX_MISSED_NOTICES = 3
# The same for the deputy, so that it takes over before the others turn to it.
_MAX_MISSED_BY_DEPUTY = 2
# Most daemons that are passed over at once when one of lower rank coordinates.
_MAX_PASSED_OVER = 16
# A coordinator without notices is suspected for this long, unless it is seen again.
_SUSPICION_S = 10.0
# Daemons that have been unresponsive for long get only every eighth notice.
_LOST_PEER_NOTICE_PERIOD = 8

HeldReport = abc.Callable[[float], peer_messages.Report]


class CoordinatedReports:
    """Reports to the coordinator, or sends membership notices as the coordinator.

    :param make_held_report: returns the report of held slots at a monotonic time
    :param send: sends a datagram to a daemon
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        registry: peer_registry.PeerRegistry,
        loads: load_table.LoadTable,
        newest: newest_version.NewestVersion,
        regions: region_reports.RegionReports,
        make_held_report: HeldReport,
        send: region_reports.Send,
    ) -> None:
        self._identity = identity
        self._registry = registry
        self._loads = loads
        self._newest = newest
        self._regions = regions
        self._make_held_report = make_held_report
        self._send = send
        self._coordinator: coordinator.Coordinator | None = None
        self._notices = 0
        self._reported_s = 0.0
        self._notice_sent_s = 0.0
        self._notice_received_s = 0.0
        self._is_coordinating = False
        # Monotonic time since which the others report here, to a coordinator or deputy.
        self._ranked_since_s: float | None = None
        self._ranked: list[str] = []

    def connect(self, slot_coordinator: coordinator.Coordinator) -> None:
        """Set the object that grants slots when this daemon coordinates."""
        self._coordinator = slot_coordinator

    @property
    def tick_s(self) -> float:
        """Time between two calls of :meth:`run_once`."""
        return _COORDINATOR_TICK_S if self._is_coordinating else _MEMBER_TICK_S

    @property
    def interval_s(self) -> float:
        """Time between two reports of a daemon, or two notices of the coordinator."""
        return self._registry.notice_interval_s

    def run_once(self, now_s: float) -> None:
        """Report, and coordinate or monitor the coordinator, as due."""
        ranked = self._registry.rank(self._identity.region, now_s)
        self._update_ranked(ranked, now_s)
        if now_s - self._reported_s >= self.interval_s:
            self.report(now_s)
            self._loads.drop_stale_reports(now_s)
            if self._coordinator is not None:
                self._coordinator.drop_unresponsive(now_s)
        if self._registry.is_coordinator(now_s):
            self._coordinate(now_s)
            return
        self._is_coordinating = False
        self._loads.same_region_age_s = self.interval_s
        max_missed = _MAX_MISSED_NOTICES
        if self._identity.name in ranked:
            max_missed = _MAX_MISSED_BY_DEPUTY
        if ranked and now_s - self._notice_received_s >= max_missed * self.interval_s:
            logs.info("coordinator_missing", coordinator=ranked[0])
            self._registry.suspect(ranked[0], now_s, _SUSPICION_S)

    def report(self, now_s: float) -> None:
        """Report the held slots to the first daemons in rank."""
        self._reported_s = now_s
        data = peer_messages.encode(self._make_held_report(now_s))
        for name in self._registry.rank(self._identity.region, now_s):
            if name != self._identity.name:
                self._send(data, self._registry.peers[name])

    def handle_notice(self, name: str, now_s: float) -> None:
        """Handle a notice of a coordinator that may not be the first in rank here.

        The sender has passed over those ranked before it; this daemon suspects them too
        unless it has recently had a notice from its own coordinator.
        """
        overdue_s = _MAX_MISSED_BY_DEPUTY * self.interval_s
        is_overdue = now_s - self._notice_received_s >= overdue_s
        for _ in range(_MAX_PASSED_OVER):
            ranked = self._registry.rank(self._identity.region, now_s)
            if ranked[:1] == [name]:
                self._notice_received_s = now_s
                return
            if not is_overdue or not ranked or ranked[0] == self._identity.name:
                return
            self._registry.suspect(ranked[0], now_s, _SUSPICION_S)

    def _update_ranked(self, ranked: list[str], now_s: float) -> None:
        """Record the ranked daemons, and report soon when they have changed."""
        if ranked != self._ranked:
            # The new coordinator has to know which slots are held.
            self._ranked = ranked
            self._notice_received_s = now_s - self.interval_s
            self._reported_s = 0.0
        if self._identity.name not in ranked:
            self._ranked_since_s = None
        elif self._ranked_since_s is None:
            self._ranked_since_s = now_s

    def _coordinate(self, now_s: float) -> None:
        """Grant slots and send membership notices."""
        if not self._is_coordinating:
            self._is_coordinating = True
            logs.info("coordinating", region=self._identity.region)
        since_s = self._ranked_since_s or now_s
        if now_s - since_s >= peer_registry.DEAD_AFTER_S:
            self._registry.membership_updated_s = now_s
        self._loads.same_region_age_s = 0.0
        self._loads.cross_region_age_s = region_reports.SHORTEST_INTERVAL_S
        self._regions.report(now_s, since_s)
        if self._coordinator is not None:
            self._coordinator.tick(now_s)
        if now_s - self._notice_sent_s >= self.interval_s:
            self._notice_sent_s = now_s
            self._send_notices(since_s, now_s)

    def _send_notices(self, since_s: float, now_s: float) -> None:
        """Notify the daemons of the region of who is alive."""
        self._notices += 1
        regions = {self._identity.region}
        regions.update(peer.region for peer in self._registry.peers.values())
        states = tuple(
            self._registry.describe_region(region, since_s, now_s)
            for region in sorted(regions)
        )
        for state in states:
            self._registry.mark_unresponsive(state)
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
        includes_lost = self._notices % _LOST_PEER_NOTICE_PERIOD == 0
        for peer in self._registry.list_region_peers():
            if includes_lost or not peer.is_lost(now_s):
                self._send(data, peer)
