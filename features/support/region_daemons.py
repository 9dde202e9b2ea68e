"""Daemons of one large region that communicate over an in-memory network."""

import asyncio
import collections
import time

from endivevane.serving import (
    coordinator,
    newest_version,
    peer_registry,
    peers,
    slot_client,
    slot_queue,
    slot_registry,
)
from features.support import serving_fakes

_DELAY_S = 0.001


class Wire:
    """Carries datagrams and counts them; can block a daemon's sending or receiving."""

    def __init__(self):
        self.networks = {}
        self.blocked_senders = set()
        self.blocked_receivers = set()
        self.datagrams = collections.Counter()
        self.bytes = collections.Counter()

    def make_transport(self, host):
        wire = self

        class Transport:
            def sendto(self, data, address):
                wire.carry(host, address[0], data)

            def is_closing(self):
                return False

        return Transport()

    def carry(self, sender, receiver, data):
        if sender in self.blocked_senders or receiver in self.blocked_receivers:
            return
        network = self.networks.get(receiver)
        if network is None:
            return
        for host in (sender, receiver):
            self.datagrams[host] += 1
            self.bytes[host] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(_DELAY_S, network.datagram_received, data, (sender, 1))


class Daemon:
    """One daemon's slots: its load table, its client and its coordinator."""

    def __init__(self, wire, number, targets, incarnation="run"):
        self.host = f"10.0.0.{number}"
        self.identity = peer_registry.Identity(
            f"d{number}", "near", incarnation, self.host, 1
        )
        self.fleet = serving_fakes.Fleet(targets, seed=number)
        self.board = self.fleet.board
        self.roster = peer_registry.PeerRegistry(self.identity)
        self.roster.warmed_up_s = 0.0
        self.registry = slot_registry.SlotRegistry(self.board)
        self.newest = newest_version.NewestVersion()
        self.network = peers.PeerNetwork(
            self.identity,
            self.roster,
            self.board,
            self.newest,
            self.registry,
            lambda: None,
        )
        self.client = slot_client.SlotClient(
            self.identity,
            "z1",
            self.roster,
            self.fleet.directory,
            self.registry,
            self.network.send_message,
        )
        queue = slot_queue.SlotQueue(
            self.fleet.choices, self.board, self.fleet.choices._generator
        )
        self.coordinator = coordinator.Coordinator(
            self.fleet.directory,
            self.board,
            queue,
            self.fleet.choices,
            self.network.send_message,
        )
        self.network.connect(self.client, self.coordinator)
        self.network.connection_made(wire.make_transport(self.host))
        self.admission = self.fleet.make_admission(self.client, self.registry, queue)
        self.wire = wire
        self.task = None
        wire.networks[self.host] = self.network

    def start(self):
        self.task = asyncio.ensure_future(self.network.run())

    def kill(self):
        self.wire.networks.pop(self.host, None)
        self.wire.blocked_senders.add(self.host)
        self.task.cancel()

    def pause(self):
        """Neither send nor receive, as a process that is suspended."""
        self.wire.blocked_senders.add(self.host)
        self.wire.blocked_receivers.add(self.host)

    def resume(self):
        self.wire.blocked_senders.discard(self.host)
        self.wire.blocked_receivers.discard(self.host)

    def find_coordinator(self):
        ranked = self.roster.rank("near", time.monotonic())
        return ranked[0] if ranked else None

    async def ask(self, objective_s=0.5):
        now_s = time.monotonic()
        slot_request = slot_queue.SlotRequest("lm", 0, now_s + objective_s, now_s + 5.0)
        began_s = time.monotonic()
        answer = await self.admission.acquire(slot_request)
        return answer, time.monotonic() - began_s


class Region:
    """All daemons of a region."""

    def __init__(self, count, targets):
        self.wire = Wire()
        names = [f"t{number}" for number in range(targets)]
        self.daemons = [Daemon(self.wire, number, names) for number in range(count)]
        for daemon in self.daemons:
            for other in self.daemons:
                identity = other.identity
                daemon.roster.add(
                    peer_registry.Peer(identity.name, "near", other.host, 1, "run")
                )

    async def start(self, settle_s):
        for daemon in self.daemons:
            daemon.start()
        await asyncio.sleep(settle_s)

    def find(self, name):
        return next(item for item in self.daemons if item.identity.name == name)

    def list_ranked(self):
        return self.daemons[0].roster.rank("near", time.monotonic())

    def stop(self):
        for daemon in self.daemons:
            daemon.task.cancel()
