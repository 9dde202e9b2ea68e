"""Load reports between regions: one daemon reports the total of its region."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.coordination import rendezvous
from endivevane.serving import load_table, peer_messages, peer_registry

# Minimum time between two reports of a region; it grows with the number of daemons that
# the report is forwarded to.
SHORTEST_INTERVAL_S = 0.1
_INTERVAL_PER_PEER_S = 0.005

ReportMaker = abc.Callable[[abc.Mapping[str, load_table.Load]], peer_messages.Report]
Send = abc.Callable[[bytes, peer_registry.Peer], None]


class RegionReports:
    """Sends the reports of this daemon's region, if this daemon reports for it.

    :param make_report: returns a report of this daemon with some loads
    :param send: sends a datagram to a daemon
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        members: peer_registry.PeerRegistry,
        table: load_table.LoadTable,
        make_report: ReportMaker,
        send: Send,
    ) -> None:
        self._identity = identity
        self._registry = members
        self._load_table = table
        self._make_report = make_report
        self._send = send
        self._sent_s = 0.0
        self._count = 0

    def report(self, now_s: float, since_s: float | None = None) -> None:
        """Send the load of the region to the other regions when that is due.

        :param since_s: monotonic time since which this daemon coordinates the region,
            ``None`` in a region without a coordinator
        """
        interval_s = SHORTEST_INTERVAL_S
        if since_s is None:
            interval_s = find_interval_s(len(self._registry.peers))
        if now_s - self._sent_s < interval_s:
            return
        self._sent_s = now_s
        region = self._identity.region
        remote_peers = [
            peer for peer in self._registry.peers.values() if peer.region != region
        ]
        if not remote_peers:
            return
        alive = self._registry.list_alive()
        region_peers = [peer for peer in alive if peer.region == region]
        members = dict.fromkeys((peer.name for peer in region_peers), 1.0)
        members[self._identity.name] = 1.0
        if since_s is None and not self._is_reporter(members):
            return
        self._count += 1
        # The region's reports have their own sequence numbers, separate from the
        # daemon's, since their senders change.
        report = dataclasses.replace(
            self._make_report(self._load_table.sum_with(members)),
            sequence=self._count,
            waiting_items=self._load_table.sum_waiting_items(members),
            waiting_requests=self._load_table.sum_waiting_requests(members),
            outcomes=self._load_table.outcomes.sum_with(members, now_s),
        )
        if since_s is None:
            report = dataclasses.replace(report, alive=self._list_alive(region_peers))
        else:
            state = self._registry.describe_region(region, since_s, now_s)
            report = dataclasses.replace(report, state=state)
        data = peer_messages.encode(report)
        for peer in self._list_recipients(remote_peers, now_s):
            self._send(data, peer)

    def _is_reporter(self, members: abc.Mapping[str, float]) -> bool:
        chosen = rendezvous.choose_member(self._identity.region, members)
        return chosen == self._identity.name

    def _list_alive(
        self, region_peers: abc.Iterable[peer_registry.Peer]
    ) -> tuple[tuple[str, str], ...]:
        """Return the alive daemons; others take over the jobs of those left out."""
        alive_runs = [
            (peer.name, peer.incarnation)
            for peer in region_peers
            if not peer.is_stopping
        ]
        if not self._registry.is_stopping or not alive_runs:
            alive_runs.append((self._identity.name, self._identity.incarnation))
        return tuple(alive_runs)

    def _list_recipients(
        self, remote_peers: abc.Iterable[peer_registry.Peer], now_s: float
    ) -> list[peer_registry.Peer]:
        """Return the daemons of the other regions that get this report.

        In a region with a coordinator these are the coordinator and its deputy;
        elsewhere the highest-ranked daemons in turn, which forward it.
        """
        recipients: list[peer_registry.Peer] = []
        for region in sorted({peer.region for peer in remote_peers}):
            names = self._registry.rank(region, now_s)
            if names and not self._registry.has_coordinator(region):
                names = [names[self._count % len(names)]]
            if not any(self._registry.is_alive(name) for name in names):
                # While no ranked daemon there is alive, any other one may be: try each
                # in turn.
                known = sorted(
                    peer.name for peer in remote_peers if peer.region == region
                )
                names = [*names, known[self._count % len(known)]]
            recipients.extend(self._registry.peers[name] for name in names)
        return recipients


def find_interval_s(count: int) -> float:
    """Return the time between two reports of a region without a coordinator.

    :param count: number of other daemons in all regions
    """
    return max(SHORTEST_INTERVAL_S, count * _INTERVAL_PER_PEER_S)


def make_key(region: str) -> str:
    """Return the key of a region's report in the load table."""
    return f"region {region}"
