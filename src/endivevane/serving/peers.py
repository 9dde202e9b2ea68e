"""Datagrams between daemons: heartbeats and the load that each puts on targets.

Daemons of a small region report to each other. Those of a large one report to its
coordinator and the deputy, which grant the slots (see :mod:`coordinator`). Between
regions, one daemon of each region reports the total load of its region.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import time
import typing
from collections import abc

from endivevane import logs
from endivevane.quarantine import messages as quarantine_messages
from endivevane.quarantine import service as quarantine_service
from endivevane.quotas import messages as quota_messages
from endivevane.quotas import service as quota_service
from endivevane.rate_limits import messages as rate_messages
from endivevane.rate_limits import service as rate_limits
from endivevane.serving import (
    coordinated_reports,
    coordinator,
    load_table,
    message_order,
    newest_version,
    peer_messages,
    peer_names,
    peer_registry,
    region_reports,
    slot_client,
    slot_messages,
    slot_registry,
)

# Minimum time between two reports of a daemon with few peers.
_MIN_INTERVAL_S = 0.03
# The interval grows by this with each peer of the region, which bounds the datagrams
# per second.
_INTERVAL_PER_PEER_S = 0.00125
# A daemon whose load does not change sends reports at this interval.
_IDLE_INTERVAL_S = 0.4
# Peers that have long been unresponsive get only every eighth report.
_LOST_PERIOD = 8


class PeerNetwork(asyncio.DatagramProtocol):
    """Sends and receives reports, and dispatches slot messages.

    :param slots: the slots that this daemon holds
    :param on_report: called when the loads reported by peers may have changed
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        registry: peer_registry.PeerRegistry,
        table: load_table.LoadTable,
        newest: newest_version.NewestVersion,
        slots: slot_registry.SlotRegistry,
        on_report: abc.Callable[[], None],
    ) -> None:
        self._identity = identity
        self._registry = registry
        self._load_table = table
        self._newest = newest
        self._slots = slots
        self._on_report = on_report
        self._regions = region_reports.RegionReports(
            identity, registry, table, self._make_report, self._send_to_peer
        )
        self._coordinated = coordinated_reports.CoordinatedReports(
            identity,
            registry,
            table,
            newest,
            self._regions,
            self._make_held_report,
            self._send_to_peer,
        )
        self._client: slot_client.SlotClient | None = None
        self._coordinator: coordinator.Coordinator | None = None
        self._quarantine: quarantine_service.QuarantineService | None = None
        self._limits: rate_limits.RateLimits | None = None
        self._quotas: quota_service.Quotas | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._order = message_order.MessageOrder()
        self._names = peer_names.PeerNames(registry)
        self._seeds: list[tuple[str, int]] = []
        self._sent_version = -1
        self._sent_s = 0.0

    def connect(
        self,
        client: slot_client.SlotClient,
        granter: coordinator.Coordinator,
        quarantine: quarantine_service.QuarantineService | None = None,
        limits: rate_limits.RateLimits | None = None,
        quotas: quota_service.Quotas | None = None,
    ) -> None:
        """Set the handlers of slots, quarantine news, rate limits and quotas."""
        self._quotas = quotas
        self._quarantine = quarantine
        self._limits = limits
        self._client = client
        self._coordinator = granter
        self._coordinated.connect(granter)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast("asyncio.DatagramTransport", transport)

    def error_received(self, exc: Exception) -> None:
        """Log the error only; a missing heartbeat shows that a daemon is dead."""
        logs.limited_info("peer_unreachable", cause=repr(exc))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of another daemon."""
        try:
            message = peer_messages.decode(data)
        except ValueError as error:
            logs.limited_info("peer_message_unusable", sender=addr[0], cause=error)
            return
        self._handle(message, addr[0])

    def set_seeds(self, addresses: abc.Iterable[tuple[str, int]]) -> None:
        """Set the addresses to report to until their daemons are known."""
        self._seeds = list(addresses)

    def announce_stop(self) -> None:
        """Tell the other daemons that this one is shutting down."""
        self._registry.is_stopping = True
        now_s = time.monotonic()
        if self._registry.is_coordinated:
            self._coordinated.report(now_s)
        else:
            self._report(now_s)

    def send_message(
        self,
        name: str,
        message: slot_messages.Message
        | quarantine_messages.QuarantineNews
        | quota_messages.Message
        | rate_messages.Message,
    ) -> None:
        """Send a message to a daemon by its name."""
        peer = self._registry.peers.get(name)
        if peer is not None:
            self._send(peer_messages.encode(message), peer.host, peer.port)

    async def run(self) -> None:
        """Report whenever the load changes, and at intervals besides."""
        while True:
            has_coordinator = self._registry.is_coordinated
            interval_s = find_interval_s(self._registry.count_region_peers())
            if has_coordinator:
                interval_s = self._coordinated.tick_s
            elif self._registry.peers:
                self._load_table.same_region_age_s = interval_s
                self._load_table.cross_region_age_s = region_reports.find_interval_s(
                    len(self._registry.peers)
                )
            await asyncio.sleep(interval_s)
            now_s = time.monotonic()
            if has_coordinator:
                self._coordinated.run_once(now_s)
                self._report_to_seeds()
                continue
            self._regions.report(now_s)
            is_changed = self._load_table.version != self._sent_version
            if not is_changed and now_s - self._sent_s < _IDLE_INTERVAL_S:
                continue
            self._sent_version, self._sent_s = self._load_table.version, now_s
            self._report(now_s)
            self._load_table.drop_stale_reports(now_s)

    @functools.singledispatchmethod
    def _handle(self, message: typing.Any, host: str) -> None:
        """Handle a slot message."""
        sender = self._names.find(host)
        if sender is None or self._client is None or self._coordinator is None:
            return
        if not isinstance(message, slot_messages.Acquire | slot_messages.Release):
            self._client.handle(sender, message)
            return
        now_s = time.monotonic()
        if self._registry.is_warmed_up(now_s):
            self._coordinator.handle(sender, message, now_s)
        else:
            self._coordinator.refuse(sender, message)

    @_handle.register
    def _(self, message: quarantine_messages.QuarantineNews, host: str) -> None:
        sender = self._names.find(host)
        if sender is not None and self._quarantine is not None:
            self._quarantine.handle(message, sender)

    @_handle.register(quota_messages.QuotaAsk)
    @_handle.register(quota_messages.QuotaGrants)
    @_handle.register(quota_messages.QuotaProbe)
    @_handle.register(quota_messages.QuotaWitness)
    def _(self, message: quota_messages.Message, host: str) -> None:
        sender = self._names.find(host)
        if sender is not None and self._quotas is not None:
            self._quotas.handle(message, sender)

    @_handle.register(rate_messages.LimitNews)
    @_handle.register(rate_messages.TokenRequest)
    @_handle.register(rate_messages.TokenQueued)
    @_handle.register(rate_messages.TokenGrant)
    def _(self, message: rate_messages.Message, host: str) -> None:
        sender = self._names.find(host)
        if sender is not None and self._limits is not None:
            self._limits.handle(message, sender)

    @_handle.register
    def _(self, message: peer_messages.MembershipNotice, host: str) -> None:
        if message.name == self._identity.name or not self._order.is_newer(message):
            return
        now_s = time.monotonic()
        self._newest.record(message.version)
        self._record_heartbeat(message, host, now_s)
        if message.region != self._identity.region:
            return
        self._coordinated.handle_notice(message.name, now_s)
        for state in message.states:
            self._registry.apply_region_state(state, now_s)

    @_handle.register
    def _(self, message: peer_messages.Report, host: str) -> None:
        if message.name == self._identity.name or not self._order.is_newer(message):
            return
        now_s = time.monotonic()
        self._newest.record(message.version)
        report = load_table.LoadReport(
            loads=message.loads,
            received_s=now_s,
            waiting_items=message.waiting_items,
            waiting_requests=message.waiting_requests,
            outcomes=message.outcomes,
            covers_region=message.covers_region,
        )
        peer = self._registry.peers.get(message.name)
        is_direct = not message.covers_region or peer is None or peer.host == host
        if is_direct and self._record_heartbeat(message, host, now_s):
            self._answer_new_peer(host)
        if message.covers_region:
            self._apply_region_report(message, report, is_direct, now_s)
        elif message.region == self._identity.region:
            self._load_table.set_report(message.name, report)
            if message.held is not None and self._coordinator is not None:
                self._coordinator.apply_held_slots(
                    message.name, message.incarnation, message.held, now_s
                )
        self._on_report()

    def _apply_region_report(
        self,
        message: peer_messages.Report,
        report: load_table.LoadReport,
        is_direct: bool,
        now_s: float,
    ) -> None:
        """Apply the report of another region, and forward it within this one."""
        if message.region == self._identity.region:
            return
        self._load_table.set_report(region_reports.make_key(message.region), report)
        self._registry.record_alive(message.alive, now_s)
        if message.state is not None:
            self._registry.apply_region_state(message.state, now_s)
        if not is_direct:
            return
        data = peer_messages.encode(message)
        for peer in self._list_recipients(now_s):
            self._send(data, peer.host, peer.port)

    def _list_recipients(self, now_s: float) -> list[peer_registry.Peer]:
        """Return the daemons of this region to forward a region report to."""
        if not self._registry.is_coordinated:
            region = self._identity.region
            alive = self._registry.list_alive()
            return [peer for peer in alive if peer.region == region]
        ranked = self._registry.rank(self._identity.region, now_s)
        if self._identity.name in ranked:
            return []
        return [self._registry.peers[name] for name in ranked]

    def _record_heartbeat(
        self,
        message: peer_messages.Report | peer_messages.MembershipNotice,
        host: str,
        now_s: float,
    ) -> bool:
        """Record a heartbeat; return whether its daemon was not known alive."""
        seen = peer_registry.Peer(
            message.name,
            message.region,
            host,
            self._identity.port,
            message.incarnation,
            weight=message.weight,
            last_seen_s=now_s,
        )
        if isinstance(message, peer_messages.Report):
            seen.is_stopping = message.is_stopping
        self._names.record(host, message.name)
        is_new = self._registry.record_heartbeat(seen)
        if is_new and self._quarantine is not None:
            self._quarantine.greet(message.name)
        return is_new

    def _answer_new_peer(self, host: str) -> None:
        """Send a report to a new daemon, which may not know any other one yet.

        In a region without a coordinator the next regular report does this.
        """
        if not self._registry.is_coordinated:
            return
        data = peer_messages.encode(self._make_report({}))
        self._send(data, host, self._identity.port)

    def _report(self, now_s: float) -> None:
        """Send the load of this daemon to the daemons of the region."""
        own = {key: load for key, load in self._load_table.own.items() if load.total}
        report = dataclasses.replace(
            self._make_report(own),
            waiting_items=self._load_table.own_waiting_items,
            waiting_requests=self._load_table.sum_waiting_requests(()),
            outcomes=self._load_table.outcomes.list_own(now_s),
        )
        data = peer_messages.encode(report)
        is_lost_turn = self._sequence % _LOST_PERIOD == 0
        known = set()
        for peer in self._registry.peers.values():
            known.add(peer.host)
            is_lost = peer.is_lost(now_s)
            is_remote = peer.region != self._identity.region
            if (is_remote or is_lost) and not (is_lost and is_lost_turn):
                continue
            self._send(data, peer.host, peer.port)
        if is_lost_turn:
            self._send_to_seeds(data, known)

    def _send_to_seeds(self, data: bytes, known: abc.Container[str]) -> None:
        for host, port in self._seeds:
            if host not in known and host != self._identity.host:
                self._send(data, host, port)

    def _make_held_report(self, now_s: float) -> peer_messages.Report:
        """Return a report of the slots that this daemon holds."""
        return dataclasses.replace(
            self._make_report({}),
            held=self._slots.list_held(),
            waiting_items=self._load_table.own_waiting_items,
            outcomes=self._load_table.outcomes.list_own(now_s),
        )

    def _report_to_seeds(self) -> None:
        """Report to the seeds while no daemon of the region may coordinate."""
        now_s = time.monotonic()
        if self._registry.rank(self._identity.region, now_s):
            return
        if now_s - self._sent_s < _IDLE_INTERVAL_S:
            return
        self._sent_s = now_s
        report = self._make_held_report(now_s)
        self._send_to_seeds(peer_messages.encode(report), frozenset())

    def _make_report(
        self, loads: abc.Mapping[str, load_table.Load]
    ) -> peer_messages.Report:
        self._sequence += 1
        return peer_messages.Report(
            name=self._identity.name,
            region=self._identity.region,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            loads=loads,
            version=self._newest.value,
            is_stopping=self._registry.is_stopping,
            weight=self._identity.weight,
        )

    def _send_to_peer(self, data: bytes, peer: peer_registry.Peer) -> None:
        self._send(data, peer.host, peer.port)

    def _send(self, data: bytes, host: str, port: int) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (host, port))


def find_interval_s(peer_count: int) -> float:
    """Return the time between two reports of a daemon with a changing load.

    :param peer_count: number of other daemons in its region
    """
    return max(_MIN_INTERVAL_S, peer_count * _INTERVAL_PER_PEER_S)
