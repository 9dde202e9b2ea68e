"""Datagrams between daemons: signs of life and the load that each puts on targets."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing
from collections import abc

import orjson

from endivevane import logs
from endivevane.serving import load_board

# A daemon that has not been heard of for this long is taken for dead.
_DEATH_S = 1.6
# Shortest time between two reports of a daemon with few peers.
_SHORTEST_INTERVAL_S = 0.03
# Share of that interval that each peer adds, which bounds the datagrams a second.
_INTERVAL_PER_PEER_S = 0.0025
# A daemon whose load does not change reports this often.
_QUIET_INTERVAL_S = 0.4
# Peers that have been silent for this long only get every eighth report.
_LOST_S = 5.0
_LOST_PERIOD = 8


@dataclasses.dataclass(slots=True)
class Peer:
    """Another daemon.

    :param incarnation: names one run of its process
    :param heard_s: monotonic time of its last report, 0 if there was none
    """

    name: str
    host: str
    port: int
    incarnation: str
    heard_s: float = 0.0
    is_ready: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this daemon is.

    :param incarnation: names this run of the process
    """

    name: str
    incarnation: str
    host: str
    port: int

    @property
    def owner(self) -> str:
        """The name under which this run of the process owns jobs."""
        return f"{self.name}/{self.incarnation}"


class PeerNetwork(asyncio.DatagramProtocol):
    """Sends and receives reports, and knows which daemons live."""

    def __init__(
        self,
        identity: Identity,
        board: load_board.LoadBoard,
        on_report: abc.Callable[[], None],
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.is_ready = False
        self._identity = identity
        self._board = board
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._sequences: dict[str, tuple[str, int]] = {}
        self._seeds: list[tuple[str, int]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a daemon does not listen; silence tells of its death."""
        logs.limited_info("peer_unreachable", cause=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a report."""
        try:
            message = orjson.loads(data)
            name, incarnation = str(message["name"]), str(message["incarnation"])
            sequence = int(message["sequence"])
            loads = {
                str(target): load_board.Load(int(online), int(batch))
                for target, online, batch in message["loads"]
            }
            is_ready = bool(message["ready"])
        except (ValueError, KeyError, TypeError) as error:
            logs.limited_info("peer_report_unusable", sender=addr[0], cause=repr(error))
            return
        if name == self._identity.name:
            return
        last_incarnation, last = self._sequences.get(name, ("", -1))
        if last_incarnation == incarnation and sequence <= last:
            return
        self._sequences[name] = (incarnation, sequence)
        now_s = time.monotonic()
        peer = self.peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            logs.info("peer_heard", peer=name, incarnation=incarnation)
            peer = Peer(name, addr[0], self._identity.port, incarnation)
            self.peers[name] = peer
        peer.host = addr[0]
        peer.heard_s = now_s
        peer.is_ready = is_ready
        self._board.set_report(name, load_board.LoadReport(loads, now_s))
        self._on_report()

    def set_seeds(self, addresses: abc.Iterable[tuple[str, int]]) -> None:
        """Set addresses to report to until their daemons are known."""
        self._seeds = list(addresses)

    def add_member(self, name: str, host: str, port: int, incarnation: str) -> None:
        """Take in a daemon that the store knows of."""
        if name == self._identity.name:
            return
        peer = self.peers.get(name)
        if peer is None or (
            peer.incarnation != incarnation and not self.is_alive(name)
        ):
            self.peers[name] = Peer(name, host, port, incarnation)

    def remove_member(self, name: str) -> None:
        """Forget a daemon that has left."""
        self.peers.pop(name, None)

    def is_alive(self, name: str, incarnation: str = "") -> bool:
        """Whether a daemon, or one run of its process, has reported lately."""
        if name == self._identity.name:
            return incarnation in ("", self._identity.incarnation)
        peer = self.peers.get(name)
        if peer is None or (incarnation and peer.incarnation != incarnation):
            return False
        return time.monotonic() - peer.heard_s < _DEATH_S

    def list_alive(self) -> list[Peer]:
        """Return the other daemons that live."""
        return [peer for peer in self.peers.values() if self.is_alive(peer.name)]

    async def run(self) -> None:
        """Report whenever the load changes, and now and then besides."""
        sent_version = -1
        sent_s = 0.0
        while True:
            interval_s = _SHORTEST_INTERVAL_S
            interval_s = max(interval_s, len(self.peers) * _INTERVAL_PER_PEER_S)
            await asyncio.sleep(interval_s)
            now_s = time.monotonic()
            is_changed = self._board.version != sent_version
            if not is_changed and now_s - sent_s < _QUIET_INTERVAL_S:
                continue
            sent_version, sent_s = self._board.version, now_s
            self._report(now_s)
            self._board.drop_silent(now_s)

    def report_now(self) -> None:
        """Send a report at once."""
        self._report(time.monotonic())

    def _report(self, now_s: float) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._sequence += 1
        message = orjson.dumps(
            {
                "name": self._identity.name,
                "incarnation": self._identity.incarnation,
                "sequence": self._sequence,
                "ready": self.is_ready,
                "loads": [
                    (target, load.online, load.batch)
                    for target, load in self._board.own.items()
                    if load.total
                ],
            }
        )
        is_lost_turn = self._sequence % _LOST_PERIOD == 0
        known = set()
        for peer in self.peers.values():
            known.add(peer.host)
            if now_s - peer.heard_s > _LOST_S and not is_lost_turn:
                continue
            transport.sendto(message, (peer.host, peer.port))
        for host, port in self._seeds:
            if host not in known and host != self._identity.host and is_lost_turn:
                transport.sendto(message, (host, port))
