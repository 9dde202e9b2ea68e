"""Datagrams between daemons: signs of life and the load that each puts on targets.

Daemons of a region report to each other. Between regions, one daemon of each region
reports the sum of its region, with the names of the daemons that live there, to one
daemon of each other region, which passes it on. So the traffic between regions does
not grow with the number of daemons.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing
from collections import abc

from endivevane import logs
from endivevane.coordination import rendezvous
from endivevane.serving import load_board, newest_version, peer_messages

# A daemon that has not been heard of for this long is taken for dead.
_DEATH_S = 1.6
# Shortest time between two reports of a daemon with few peers.
_SHORTEST_INTERVAL_S = 0.03
# What each peer of the region adds to that, which bounds the datagrams a second.
_INTERVAL_PER_PEER_S = 0.00125
# A daemon whose load does not change reports this often.
_QUIET_INTERVAL_S = 0.4
# A region reports to the others at most this often, and more seldom with many daemons
# that the report is passed on to.
_REGION_INTERVAL_S = 0.1
_REGION_INTERVAL_PER_PEER_S = 0.005
# Daemons of another region that take turns in getting the reports of this one.
_ENTRY_PEERS = 2
# Peers that have been silent for this long only get every eighth report.
_LOST_S = 5.0
_LOST_PERIOD = 8


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon.

    :param incarnation: names one run of its process
    :param heard_s: monotonic time of its last sign of life, 0 if there was none
    :ivar is_stopping: whether it said that it is about to end
    :ivar known_s: monotonic time since which it is known
    """

    name: str
    region: str
    host: str
    port: int
    incarnation: str
    heard_s: float = 0.0
    is_stopping: bool = False
    known_s: float = dataclasses.field(default_factory=time.monotonic)

    def is_lost(self, now_s: float) -> bool:
        """Whether it has been silent for so long that most reports are in vain."""
        return now_s - max(self.heard_s, self.known_s) > _LOST_S


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is.

    :param incarnation: names this run of the process
    """

    name: str
    region: str
    incarnation: str
    host: str
    port: int

    @property
    def owner(self) -> str:
        """The name under which this run of the process owns jobs."""
        return f"{self.name}/{self.incarnation}"


class PeerNetwork(asyncio.DatagramProtocol):
    """Sends and receives reports, and knows which daemons live.

    :ivar is_stopping: whether this daemon is about to end
    """

    def __init__(
        self,
        identity: Identity,
        board: load_board.LoadBoard,
        newest: newest_version.NewestVersion,
        on_report: abc.Callable[[], None],
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.is_stopping = False
        self._identity = identity
        self._board = board
        self._newest = newest
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        # Sender -> (incarnation, number of its last report).
        self._received: dict[str, tuple[str, int]] = {}
        self._seeds: list[tuple[str, int]] = []
        self._region_sent_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def error_received(self, exc: Exception) -> None:
        """Note that a daemon does not listen; silence tells of its death."""
        logs.limited_info("peer_unreachable", cause=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a report of a daemon or of a region."""
        try:
            message = peer_messages.decode(data)
        except ValueError as error:
            logs.limited_info("peer_report_unusable", sender=addr[0], cause=error)
            return
        if message.name == self._identity.name or not self._is_news(message):
            return
        now_s = time.monotonic()
        self._newest.note(message.version)
        report = load_board.LoadReport(
            loads=message.loads,
            received_s=now_s,
            waiting_items=message.waiting_items,
            waiting_requests=message.waiting_requests,
            outcomes=message.outcomes,
            is_of_region=bool(message.living),
        )
        is_direct = not message.living or self._is_from(message.name, addr[0])
        if is_direct:
            self._note_life(message, addr[0], now_s)
        if not message.living:
            if message.region == self._identity.region:
                self._board.set_report(message.name, report)
        elif message.region != self._identity.region:
            self._board.set_report(_region_key(message.region), report)
            self._note_living(message.living, now_s)
            if is_direct:
                self._pass_on(data)
        self._on_report()

    def set_seeds(self, addresses: abc.Iterable[tuple[str, int]]) -> None:
        """Set addresses to report to until their daemons are known."""
        self._seeds = list(addresses)

    def add_member(self, peer: Peer) -> None:
        """Take in a daemon that the store knows of."""
        if peer.name == self._identity.name:
            return
        known = self.peers.get(peer.name)
        if known is not None and known.incarnation == peer.incarnation:
            known.host, known.port = peer.host, peer.port
            return
        if known is None or not self.is_alive(peer.name):
            self.peers[peer.name] = peer

    def remove_member(self, name: str) -> None:
        """Forget a daemon that has left."""
        self.peers.pop(name, None)

    def is_alive(self, name: str, incarnation: str = "") -> bool:
        """Whether a daemon, or one run of its process, has given a sign of life."""
        if name == self._identity.name:
            return incarnation in ("", self._identity.incarnation)
        peer = self.peers.get(name)
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return False
        return time.monotonic() - peer.heard_s < _DEATH_S

    def list_alive(self) -> list[Peer]:
        """Return the other daemons that live."""
        return [peer for peer in self.peers.values() if self.is_alive(peer.name)]

    def list_staying(self) -> list[str]:
        """Return the names of the daemons that live and go on, this one included."""
        names = [peer.name for peer in self.list_alive() if not peer.is_stopping]
        if not self.is_stopping:
            names.append(self._identity.name)
        return names

    def announce_stop(self) -> None:
        """Tell the others that this daemon is about to end."""
        self.is_stopping = True
        self._report(time.monotonic())

    async def run(self) -> None:
        """Report whenever the load changes, and now and then besides."""
        sent_version = -1
        sent_s = 0.0
        while True:
            interval_s = find_interval_s(self._count_near())
            self._board.near_age_s = interval_s
            self._board.far_age_s = find_region_interval_s(len(self.peers))
            await asyncio.sleep(interval_s)
            now_s = time.monotonic()
            self._report_region(now_s)
            is_changed = self._board.version != sent_version
            if not is_changed and now_s - sent_s < _QUIET_INTERVAL_S:
                continue
            sent_version, sent_s = self._board.version, now_s
            self._report(now_s)
            self._board.drop_silent(now_s)

    def _is_news(self, message: peer_messages.Report) -> bool:
        """Whether a report is not older than another one of its sender."""
        sender = message.name + ("/region" if message.living else "")
        incarnation, last = self._received.get(sender, ("", -1))
        if incarnation == message.incarnation and message.sequence <= last:
            return False
        self._received[sender] = (message.incarnation, message.sequence)
        return True

    def _note_life(
        self, message: peer_messages.Report, host: str, now_s: float
    ) -> None:
        peer = self.peers.get(message.name)
        if peer is None or peer.incarnation != message.incarnation:
            logs.info("peer_heard", peer=message.name, incarnation=message.incarnation)
            peer = Peer(
                message.name,
                message.region,
                host,
                self._identity.port,
                message.incarnation,
            )
            self.peers[message.name] = peer
        peer.host = host
        peer.heard_s = now_s
        peer.is_stopping = message.is_stopping

    def _note_living(self, living: abc.Iterable[tuple[str, str]], now_s: float) -> None:
        """Note the daemons that another region names as alive."""
        for name, incarnation in living:
            peer = self.peers.get(name)
            if peer is not None and peer.incarnation == incarnation:
                peer.heard_s = now_s

    def _is_from(self, name: str, host: str) -> bool:
        """Whether a host is the one of a daemon, or the daemon is not known yet."""
        peer = self.peers.get(name)
        return peer is None or peer.host == host

    def _pass_on(self, data: bytes) -> None:
        """Send the report of another region to the daemons of this one."""
        for peer in self.list_alive():
            if peer.region == self._identity.region:
                self._send(data, peer.host, peer.port)

    def _count_near(self) -> int:
        region = self._identity.region
        return sum(1 for peer in self.peers.values() if peer.region == region)

    def _report(self, now_s: float) -> None:
        """Send the own load to the daemons of the region."""
        self._sequence += 1
        own = {key: load for key, load in self._board.own.items() if load.total}
        report = dataclasses.replace(
            self._make_report(own),
            waiting_items=self._board.own_waiting_items,
            waiting_requests=self._board.sum_waiting_requests(()),
            outcomes=self._board.outcomes.list_own(now_s),
        )
        data = peer_messages.encode(report)
        is_lost_turn = self._sequence % _LOST_PERIOD == 0
        known = set()
        for peer in self.peers.values():
            known.add(peer.host)
            is_lost = peer.is_lost(now_s)
            is_far = peer.region != self._identity.region
            if (is_far or is_lost) and not (is_lost and is_lost_turn):
                continue
            self._send(data, peer.host, peer.port)
        if not is_lost_turn:
            return
        for host, port in self._seeds:
            if host not in known and host != self._identity.host:
                self._send(data, host, port)

    def _report_region(self, now_s: float) -> None:
        """Send the load of the region to the others, if this daemon speaks for it."""
        if now_s - self._region_sent_s < find_region_interval_s(len(self.peers)):
            return
        self._region_sent_s = now_s
        region = self._identity.region
        far = [peer for peer in self.peers.values() if peer.region != region]
        if not far:
            return
        near = [peer for peer in self.list_alive() if peer.region == region]
        members = {peer.name: 1.0 for peer in near}
        members[self._identity.name] = 1.0
        if rendezvous.choose_member(region, members) != self._identity.name:
            return
        self._sequence += 1
        # Others claim the jobs of daemons that are not named.
        living = [
            (peer.name, peer.incarnation) for peer in near if not peer.is_stopping
        ]
        if not self.is_stopping or not living:
            living.append((self._identity.name, self._identity.incarnation))
        loads = self._board.sum_with(members)
        report = dataclasses.replace(
            self._make_report(loads),
            waiting_items=self._board.sum_waiting_items(members),
            waiting_requests=self._board.sum_waiting_requests(members),
            outcomes=self._board.outcomes.sum_with(members, now_s),
            living=tuple(living),
        )
        data = peer_messages.encode(report)
        for peer in self._list_entries(far):
            self._send(data, peer.host, peer.port)

    def _list_entries(self, far: abc.Iterable[Peer]) -> list[Peer]:
        """Return the daemon of each other region whose turn it is to get a report."""
        regions: dict[str, dict[str, float]] = {}
        for peer in far:
            # While nobody there has been heard, any daemon may be the one that lives.
            weight = 1.0 if self.is_alive(peer.name) else 1e-6
            regions.setdefault(peer.region, {})[peer.name] = weight
        entries = []
        for region, members in regions.items():
            ranked = rendezvous.choose_subset(region, members, _ENTRY_PEERS)
            entries.append(self.peers[ranked[self._sequence % len(ranked)]])
            if not any(weight == 1.0 for weight in members.values()):
                names = sorted(members)
                entries.append(self.peers[names[self._sequence % len(names)]])
        return entries

    def _make_report(
        self, loads: abc.Mapping[str, load_board.Load]
    ) -> peer_messages.Report:
        return peer_messages.Report(
            name=self._identity.name,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=loads,
            version=self._newest.value,
            is_stopping=self.is_stopping,
        )

    def _send(self, data: bytes, host: str, port: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (host, port))


def find_interval_s(near: int) -> float:
    """Return the time between two reports of a daemon with a changing load.

    :param near: daemons of its region
    """
    return max(_SHORTEST_INTERVAL_S, near * _INTERVAL_PER_PEER_S)


def find_region_interval_s(count: int) -> float:
    """Return the time between two reports of a region.

    :param count: daemons of all regions
    """
    return max(_REGION_INTERVAL_S, count * _REGION_INTERVAL_PER_PEER_S)


def _region_key(region: str) -> str:
    """Return the name under which the board keeps the report of a region."""
    return f"region {region}"
