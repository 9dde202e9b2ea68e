"""Reports between regions: one daemon tells another region the sum of its own one."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.coordination import rendezvous
from endivevane.serving import load_table, peer_messages, peer_registry

# A region reports to the others at most this often, and more seldom with many daemons
# that the report is passed on to.
SHORTEST_INTERVAL_S = 0.1
_INTERVAL_PER_PEER_S = 0.005

ReportMaker = abc.Callable[[abc.Mapping[str, load_table.Load]], peer_messages.Report]
Send = abc.Callable[[bytes, peer_registry.Peer], None]


class RegionReports:
    """Reports for this daemon's region, if this daemon speaks for it.

    :param make_report: returns a report of this daemon with some loads
    :param send: sends a datagram to a daemon
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        members: peer_registry.PeerRegistry,
        board: load_table.LoadTable,
        make_report: ReportMaker,
        send: Send,
    ) -> None:
        self._identity = identity
        self._roster = members
        self._board = board
        self._make_report = make_report
        self._send = send
        self._sent_s = 0.0
        self._count = 0

    def report(self, now_s: float, since_s: float | None = None) -> None:
        """Send the load of the region to the others when that is due.

        :param since_s: monotonic time since which this daemon coordinates the region,
            ``None`` in a region without a coordinator
        """
        interval_s = SHORTEST_INTERVAL_S
        if since_s is None:
            interval_s = find_interval_s(len(self._roster.peers))
        if now_s - self._sent_s < interval_s:
            return
        self._sent_s = now_s
        region = self._identity.region
        far = [peer for peer in self._roster.peers.values() if peer.region != region]
        if not far:
            return
        alive = self._roster.list_alive()
        near = [peer for peer in alive if peer.region == region]
        members = dict.fromkeys((peer.name for peer in near), 1.0)
        members[self._identity.name] = 1.0
        if since_s is None and not self._speaks_for(members):
            return
        self._count += 1
        # Reports of the region have numbers of their own, as their senders change.
        report = dataclasses.replace(
            self._make_report(self._board.sum_with(members)),
            sequence=self._count,
            waiting_items=self._board.sum_waiting_items(members),
            waiting_requests=self._board.sum_waiting_requests(members),
            outcomes=self._board.outcomes.sum_with(members, now_s),
        )
        if since_s is None:
            report = dataclasses.replace(report, alive=self._list_living(near))
        else:
            state = self._roster.describe_region(region, since_s, now_s)
            report = dataclasses.replace(report, state=state)
        data = peer_messages.encode(report)
        for peer in self._list_recipients(far, now_s):
            self._send(data, peer)

    def _speaks_for(self, members: abc.Mapping[str, float]) -> bool:
        chosen = rendezvous.choose_member(self._identity.region, members)
        return chosen == self._identity.name

    def _list_living(
        self, near: abc.Iterable[peer_registry.Peer]
    ) -> tuple[tuple[str, str], ...]:
        """Return the daemons that live; others claim the jobs of those left out."""
        living = [
            (peer.name, peer.incarnation) for peer in near if not peer.is_stopping
        ]
        if not self._roster.is_stopping or not living:
            living.append((self._identity.name, self._identity.incarnation))
        return tuple(living)

    def _list_recipients(
        self, far: abc.Iterable[peer_registry.Peer], now_s: float
    ) -> list[peer_registry.Peer]:
        """Return the daemons of the other regions that get this report.

        In a region with a coordinator that one and its deputy; in another one, those
        first in rank by turns, which pass it on.
        """
        recipients: list[peer_registry.Peer] = []
        for region in sorted({peer.region for peer in far}):
            names = self._roster.rank(region, now_s)
            if names and not self._roster.has_coordinator(region):
                names = [names[self._count % len(names)]]
            if not any(self._roster.is_alive(name) for name in names):
                # While nobody there has been heard, any one may be the one that lives.
                known = sorted(peer.name for peer in far if peer.region == region)
                names = [*names, known[self._count % len(known)]]
            recipients.extend(self._roster.peers[name] for name in names)
        return recipients


def find_interval_s(count: int) -> float:
    """Return the time between two reports of a region without a coordinator.

    :param count: daemons of all regions
    """
    return max(SHORTEST_INTERVAL_S, count * _INTERVAL_PER_PEER_S)


def make_key(region: str) -> str:
    """Return the name under which the load board keeps the report of a region."""
    return f"region {region}"
