"""Datagrams between daemons: signs of life and the load that each puts on targets.

Daemons of a small region report to each other. Those of a large one report to its
coordinator and the deputy, which give out the places (see :mod:`coordinator`). Between
regions, one daemon of each region reports the sum of its region.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
import typing
from collections import abc

from endivevane import logs
from endivevane.serving import (
    coordinator,
    load_board,
    newest_version,
    peer_messages,
    place_client,
    place_messages,
    places,
    region_reports,
    roster,
)

# Shortest time between two reports of a daemon with few peers.
_SHORTEST_INTERVAL_S = 0.03
# What each peer of the region adds to that, which bounds the datagrams a second.
_INTERVAL_PER_PEER_S = 0.00125
# A daemon whose load does not change reports this often.
_QUIET_INTERVAL_S = 0.4
# Time between two reports of a daemon to its coordinator, and what each peer of the
# region beyond a hundred adds, which bounds the datagrams that the coordinator gets.
_COORDINATED_INTERVAL_S = 0.4
_COORDINATED_PER_PEER_S = 0.004
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
# Peers that have been silent for this long only get every eighth report.
_LOST_S = 5.0
_LOST_PERIOD = 8


class PeerNetwork(asyncio.DatagramProtocol):
    """Sends and receives reports, and hands on what is said about places.

    :param book: the places that this daemon holds
    :param on_report: called when the loads that others have told may have changed
    """

    def __init__(
        self,
        identity: roster.Identity,
        members: roster.Roster,
        board: load_board.LoadBoard,
        newest: newest_version.NewestVersion,
        book: places.PlaceBook,
        on_report: abc.Callable[[], None],
    ) -> None:
        self._identity = identity
        self._roster = members
        self._board = board
        self._newest = newest
        self._book = book
        self._on_report = on_report
        self._regions = region_reports.RegionReports(
            identity, members, board, self._make_report, self._send_to_peer
        )
        self._client: place_client.PlaceClient | None = None
        self._coordinator: coordinator.Coordinator | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        # Sender -> (incarnation, number of its last report).
        self._received: dict[str, tuple[str, int]] = {}
        self._names: dict[str, str] = {}
        self._seeds: list[tuple[str, int]] = []
        self._sent_version = -1
        self._sent_s = 0.0
        self._noticed_s = 0.0
        self._notice_heard_s = 0.0
        self._is_coordinating = False
        # Since when the others report here, as to a coordinator or a deputy.
        self._ranked_since_s: float | None = None
        self._ranked: list[str] = []

    def connect(
        self, client: place_client.PlaceClient, giver: coordinator.Coordinator
    ) -> None:
        """Set what takes messages about places."""
        self._client = client
        self._coordinator = giver

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def error_received(self, exc: Exception) -> None:
        """Note that a daemon does not listen; silence tells of its death."""
        logs.limited_info("peer_unreachable", cause=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a message of another daemon."""
        try:
            message = peer_messages.decode(data)
        except ValueError as error:
            logs.limited_info("peer_message_unusable", sender=addr[0], cause=error)
            return
        self._take(message, addr[0])

    def set_seeds(self, addresses: abc.Iterable[tuple[str, int]]) -> None:
        """Set addresses to report to until their daemons are known."""
        self._seeds = list(addresses)

    def announce_stop(self) -> None:
        """Tell the others that this daemon is about to end."""
        self._roster.is_stopping = True
        now_s = time.monotonic()
        if self._roster.is_large:
            self._report_to_coordinators(now_s)
        else:
            self._report(now_s)

    def send_place_message(self, name: str, message: place_messages.Message) -> None:
        """Send a message about places to a daemon."""
        peer = self._roster.peers.get(name)
        if peer is not None:
            self._send(peer_messages.encode(message), peer.host, peer.port)

    @property
    def spread_s(self) -> float:
        """Time in which every daemon hears what any other one has to say."""
        if not self._roster.is_large:
            return _QUIET_INTERVAL_S + 0.1
        return 2 * self._find_coordinated_interval_s() + 0.2

    async def run(self) -> None:
        """Report whenever the load changes, and now and then besides."""
        while True:
            is_large = self._roster.is_large
            interval_s = find_interval_s(self._roster.count_near())
            if is_large:
                is_active = self._is_coordinating
                interval_s = _COORDINATOR_TICK_S if is_active else _MEMBER_TICK_S
            elif self._roster.peers:
                self._board.near_age_s = interval_s
                self._board.far_age_s = region_reports.find_interval_s(
                    len(self._roster.peers)
                )
            await asyncio.sleep(interval_s)
            now_s = time.monotonic()
            if is_large:
                self._run_coordinated(now_s)
                continue
            self._regions.report(now_s)
            is_changed = self._board.version != self._sent_version
            if not is_changed and now_s - self._sent_s < _QUIET_INTERVAL_S:
                continue
            self._sent_version, self._sent_s = self._board.version, now_s
            self._report(now_s)
            self._board.drop_silent(now_s)

    def _run_coordinated(self, now_s: float) -> None:
        """Do what a daemon of a region with a coordinator does in one round."""
        interval_s = self._find_coordinated_interval_s()
        ranked = self._roster.rank(self._identity.region, now_s)
        if ranked != self._ranked:
            # Whoever gives out places from now on has to know what is held.
            self._ranked = ranked
            self._notice_heard_s = now_s - interval_s
            self._sent_s = 0.0
        if self._identity.name not in ranked:
            self._ranked_since_s = None
        elif self._ranked_since_s is None:
            self._ranked_since_s = now_s
        if now_s - self._sent_s >= interval_s:
            self._sent_s = now_s
            self._report_to_coordinators(now_s)
            self._board.drop_silent(now_s)
            if self._coordinator is not None:
                self._coordinator.drop_silent(now_s)
        if self._roster.is_coordinator(now_s):
            self._coordinate(now_s, interval_s)
            return
        self._is_coordinating = False
        self._board.near_age_s = interval_s
        is_deputy = self._identity.name in ranked
        most_missed = _MISSED_BY_DEPUTY if is_deputy else _MISSED_NOTICES
        is_missing = now_s - self._notice_heard_s >= most_missed * interval_s
        if is_missing and ranked:
            logs.info("coordinator_missing", coordinator=ranked[0])
            self._roster.suspect(ranked[0], now_s, _MISSING_S)

    def _coordinate(self, now_s: float, interval_s: float) -> None:
        """Give out places and tell the others who lives."""
        if not self._is_coordinating:
            self._is_coordinating = True
            logs.info("coordinating", region=self._identity.region)
        since_s = self._ranked_since_s or now_s
        if now_s - since_s >= roster.DEATH_S:
            self._roster.informed_s = now_s
        self._board.near_age_s = 0.0
        self._board.far_age_s = region_reports.SHORTEST_INTERVAL_S
        self._regions.report(now_s, since_s)
        if self._coordinator is not None:
            self._coordinator.tick(now_s)
        if now_s - self._noticed_s < interval_s:
            return
        self._noticed_s = now_s
        self._sequence += 1
        regions = {self._identity.region}
        regions.update(peer.region for peer in self._roster.peers.values())
        states = tuple(
            self._roster.describe_region(region, since_s, now_s)
            for region in sorted(regions)
        )
        for state in states:
            self._roster.note_silent(state)
        notice = peer_messages.Notice(
            name=self._identity.name,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            version=self._newest.value,
            weight=self._identity.weight,
            states=states,
        )
        data = peer_messages.encode(notice)
        for peer in self._roster.list_near():
            if self._may_be_lost(peer, now_s):
                continue
            self._send(data, peer.host, peer.port)

    def _report_to_coordinators(self, now_s: float) -> None:
        """Tell the first daemons in rank what this one holds."""
        self._sequence += 1
        report = dataclasses.replace(
            self._make_report({}),
            held=self._book.list_holdings(),
            waiting_items=self._board.own_waiting_items,
            outcomes=self._board.outcomes.list_own(now_s),
        )
        data = peer_messages.encode(report)
        ranked = self._roster.rank(self._identity.region, now_s)
        for name in ranked:
            if name != self._identity.name:
                peer = self._roster.peers[name]
                self._send(data, peer.host, peer.port)
        if not ranked or self._sequence <= _LOST_PERIOD:
            self._send_to_seeds(data, frozenset())

    @functools.singledispatchmethod
    def _take(self, message: typing.Any, host: str) -> None:
        """Take in a message about places."""
        sender = self._find_name(host)
        if sender is None or self._client is None or self._coordinator is None:
            return
        if not isinstance(message, place_messages.Ask | place_messages.Ended):
            self._client.take(sender, message)
            return
        now_s = time.monotonic()
        if self._roster.is_settled(now_s):
            self._coordinator.take(sender, message, now_s)
        else:
            self._coordinator.refuse(sender, message)

    @_take.register
    def _(self, message: peer_messages.Notice, host: str) -> None:
        if message.name == self._identity.name or not self._is_news(message):
            return
        now_s = time.monotonic()
        self._newest.note(message.version)
        self._note_life(message, host, now_s)
        if message.region != self._identity.region:
            return
        self._note_notice(message.name, now_s)
        for state in message.states:
            self._roster.note_state(state, now_s)

    def _note_notice(self, name: str, now_s: float) -> None:
        """Note that a daemon coordinates, which may not be the first in rank here.

        It has passed over those before it; this daemon does so too unless it has heard
        of its own coordinator a moment ago.
        """
        region = self._identity.region
        silence_s = _MISSED_BY_DEPUTY * self._find_coordinated_interval_s()
        is_silent = now_s - self._notice_heard_s >= silence_s
        for _ in range(_MOST_PASSED_OVER):
            ranked = self._roster.rank(region, now_s)
            if ranked[:1] == [name]:
                self._notice_heard_s = now_s
                return
            if not is_silent or not ranked or ranked[0] == self._identity.name:
                return
            self._roster.suspect(ranked[0], now_s, _MISSING_S)

    @_take.register
    def _(self, message: peer_messages.Report, host: str) -> None:
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
            is_of_region=message.is_of_region,
        )
        peer = self._roster.peers.get(message.name)
        is_direct = not message.is_of_region or peer is None or peer.host == host
        if is_direct and self._note_life(message, host, now_s):
            self._greet(host)
        if message.is_of_region:
            self._take_region(message, report, is_direct, now_s)
        elif message.region == self._identity.region:
            self._board.set_report(message.name, report)
            if message.held is not None and self._coordinator is not None:
                self._coordinator.take_holdings(
                    message.name, message.incarnation, message.held, now_s
                )
        self._on_report()

    def _take_region(
        self,
        message: peer_messages.Report,
        report: load_board.LoadReport,
        is_direct: bool,
        now_s: float,
    ) -> None:
        """Take in the report of another region, and pass it on within this one."""
        if message.region == self._identity.region:
            return
        self._board.set_report(region_reports.make_key(message.region), report)
        self._roster.note_living(message.living, now_s)
        if message.state is not None:
            self._roster.note_state(message.state, now_s)
        if not is_direct:
            return
        data = peer_messages.encode(message)
        for peer in self._list_recipients(now_s):
            self._send(data, peer.host, peer.port)

    def _list_recipients(self, now_s: float) -> list[roster.Peer]:
        """Return the daemons of this region that need the report of another one."""
        if not self._roster.is_large:
            region = self._identity.region
            alive = self._roster.list_alive()
            return [peer for peer in alive if peer.region == region]
        ranked = self._roster.rank(self._identity.region, now_s)
        if self._identity.name in ranked:
            return []
        return [self._roster.peers[name] for name in ranked]

    def _is_news(self, message: peer_messages.Report | peer_messages.Notice) -> bool:
        """Whether a message is not older than another one of its sender."""
        sender = message.name
        if isinstance(message, peer_messages.Notice):
            sender += "/notice"
        elif message.is_of_region:
            sender += "/region"
        incarnation, last = self._received.get(sender, ("", -1))
        if incarnation == message.incarnation and message.sequence <= last:
            return False
        self._received[sender] = (message.incarnation, message.sequence)
        return True

    def _note_life(
        self,
        message: peer_messages.Report | peer_messages.Notice,
        host: str,
        now_s: float,
    ) -> bool:
        """Note a sign of life; return whether its daemon was not known to live."""
        heard = roster.Peer(
            message.name,
            message.region,
            host,
            self._identity.port,
            message.incarnation,
            weight=message.weight,
            heard_s=now_s,
        )
        if isinstance(message, peer_messages.Report):
            heard.is_stopping = message.is_stopping
        self._names[host] = message.name
        return self._roster.note_heard(heard)

    def _greet(self, host: str) -> None:
        """Answer a daemon that was not known, which may know of no other one.

        Daemons of a small region report to each other anyway.
        """
        if not self._roster.is_large:
            return
        self._sequence += 1
        data = peer_messages.encode(self._make_report({}))
        self._send(data, host, self._identity.port)

    def _find_name(self, host: str) -> str | None:
        """Return the daemon of an address, ``None`` if it is not known."""
        name = self._names.get(host)
        if name is not None:
            return name
        for peer in self._roster.peers.values():
            if peer.host == host:
                self._names[host] = peer.name
                return peer.name
        return None

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
        for peer in self._roster.peers.values():
            known.add(peer.host)
            is_lost = _is_lost(peer, now_s)
            is_far = peer.region != self._identity.region
            if (is_far or is_lost) and not (is_lost and is_lost_turn):
                continue
            self._send(data, peer.host, peer.port)
        if is_lost_turn:
            self._send_to_seeds(data, known)

    def _may_be_lost(self, peer: roster.Peer, now_s: float) -> bool:
        """Whether a notice to a daemon can be left out this time."""
        return _is_lost(peer, now_s) and self._sequence % _LOST_PERIOD != 0

    def _send_to_seeds(self, data: bytes, known: abc.Container[str]) -> None:
        for host, port in self._seeds:
            if host not in known and host != self._identity.host:
                self._send(data, host, port)

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
            is_stopping=self._roster.is_stopping,
            weight=self._identity.weight,
        )

    def _find_coordinated_interval_s(self) -> float:
        near = self._roster.count_near()
        return max(_COORDINATED_INTERVAL_S, near * _COORDINATED_PER_PEER_S)

    def _send_to_peer(self, data: bytes, peer: roster.Peer) -> None:
        self._send(data, peer.host, peer.port)

    def _send(self, data: bytes, host: str, port: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (host, port))


def find_interval_s(near: int) -> float:
    """Return the time between two reports of a daemon with a changing load.

    :param near: daemons of its region
    """
    return max(_SHORTEST_INTERVAL_S, near * _INTERVAL_PER_PEER_S)


def _is_lost(peer: roster.Peer, now_s: float) -> bool:
    """Whether a daemon has been silent for so long that most reports are in vain."""
    return now_s - max(peer.heard_s, peer.known_s) > _LOST_S
