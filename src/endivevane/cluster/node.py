"""Combines membership, session and configuration on the cluster thread."""

from __future__ import annotations

import collections
import functools
import random
import typing
from collections import abc

import result

from endivevane import metrics, utils
from endivevane.cluster import (
    calls,
    confirmations,
    events,
    follower,
    link_shares,
    messages,
    neighbours,
    sessions,
    transport,
    vm_watch,
)
from endivevane.coordination import clock, gossip_messages, members, store
from endivevane.daemon import settings as daemon_settings
from endivevane.external import vms

_MAX_SEEN_BROADCASTS = 4096
_ASK_INTERVAL_S = 0.5
_ASK_BATCH = 12
# A leaving daemon still completes its streams, so it counts as alive.
_ALIVE = frozenset(members.MemberState) - {members.MemberState.DEAD}


class Node:
    """State of the cluster thread; methods run on that thread unless noted.

    :param publish: called with each event
    """

    def __init__(
        self,
        settings: daemon_settings.Settings,
        node_clock: clock.Clock,
        table_store: store.TableStore,
        vm_list: vms.VmListClient | None,
        generator: random.Random,
        node_transport: transport.Transport,
        background: calls.BackgroundCalls,
        publish: abc.Callable[[events.Event], None],
        shares: link_shares.LinkShares | None = None,
    ) -> None:
        self._shares = shares
        self._clock, self._random = node_clock, generator
        self._background = background
        self._publish = publish
        self.session_renewer = sessions.SessionRenewer(
            settings, node_clock, table_store, background, generator
        )
        self.follower = follower.ConfigurationFollower(
            settings.daemon.zone,
            node_clock,
            table_store,
            background,
            generator,
            settings.session.term_s,
        )
        self._peers = neighbours.Neighbours(
            settings, node_clock, table_store, background, generator, node_transport
        )
        self._confirmations = confirmations.ZoneConfirmations(
            self._peers, table_store, background
        )
        self._vms = vm_watch.VmWatch(vm_list, background, self._peers)
        self._seen_broadcasts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._ask_due_s = 0.0
        self._is_leaving = False
        self.members: tuple[members.Member, ...] = (self._peers.detector.me,)
        self._longest_pause_s = settings.session.term_s
        self._ready_until_s = 0.0

    def tick(self) -> None:
        """Run all due work, send queued messages and publish membership changes."""
        now_s = self._clock.monotonic_s()
        detector = self._peers.detector
        detector.tick()
        self.follower.feed.learn_revision(detector.known_revision)
        self.session_renewer.run(now_s)
        self.follower.run(now_s, len(detector.table), self._has_holder())
        self._peers.run(now_s)
        self._confirmations.run(now_s)
        self._vms.run(now_s, self._ready_until_s > 0)
        self._ask_peers(now_s)
        self._announce_needs()
        self._peers.flush()
        self._report_members()
        is_ready = self.follower.feed.is_current() and not self._is_leaving
        self._ready_until_s = now_s + self._longest_pause_s if is_ready else 0.0

    def is_ready(self) -> bool:
        """Return whether the configuration is current; safe on any thread.

        The result of the last tick expires: after a process pause another thread may
        call this before the cluster thread has detected the pause.
        """
        return self._clock.monotonic_s() < self._ready_until_s

    def replace_keys(self, keys: daemon_settings.KeysSection) -> None:
        """Replace the lists of allowed keys."""
        self._peers.replace_keys(keys)

    def leave(self) -> None:
        """Announce that this daemon is about to stop."""
        self._is_leaving = True
        self._peers.detector.leave()

    def send_application(
        self, daemon: str, kind: str, body: dict[str, typing.Any]
    ) -> None:
        """Send an application message to one daemon."""
        header = self._peers.make_header()
        message = messages.Application(header, kind, body, header.sender)
        self._peers.send(daemon, message)

    def broadcast_application(self, kind: str, body: dict[str, typing.Any]) -> None:
        """Broadcast an application message to all daemons."""
        header = self._peers.make_header()
        broadcast_id = utils.make_id("cast")
        self._seen_broadcasts[broadcast_id] = None
        message = messages.Application(header, kind, body, header.sender, broadcast_id)
        self._peers.send_to_links(message)

    def handle(self, message: messages.Message) -> None:
        """Handle a received message."""
        self._confirmations.record_applied(message.header)
        if isinstance(message, gossip_messages.Message):
            self._peers.detector.handle(message)
            return
        self._peers.detector.learn_revision(message.header.known_revision)
        self._handle_by_type(message)

    def finish_call(self, finished: calls.CallFinished) -> None:
        """Apply the outcome of a background call."""
        self._background.finish(finished.kind)
        match finished.kind:
            case sessions.RENEW:
                self.session_renewer.record(finished.outcome)
            case sessions.SCAN:
                self._peers.record_scan(finished.outcome)
            case follower.HEAD:
                self.follower.record_head(finished.outcome)
                self._peers.detector.learn_revision(self.follower.feed.known_revision)
            case follower.FETCH | follower.BUILD:
                self._apply(finished.outcome)
            case confirmations.WRITE:
                self._confirmations.record_written(finished.outcome)
            case vm_watch.LIST:
                self._report_vms(self._vms.record(finished.outcome))

    @functools.singledispatchmethod
    def _handle_by_type(self, message: messages.Message) -> None:
        """Handle a configuration or application message by its type."""

    @_handle_by_type.register
    def _handle_config_ask(self, message: messages.ConfigAsk) -> None:
        is_current = self.follower.feed.is_current()
        answer = messages.ConfigStatus(self._peers.make_header(), is_current)
        self._peers.send(message.header.sender, answer, prefer_route=True)

    @_handle_by_type.register
    def _handle_config_status(self, message: messages.ConfigStatus) -> None:
        header = message.header
        self.follower.feed.record_answer(
            header.sender, header.applied_revision, message.is_current
        )
        if header.applied_revision > self.follower.feed.applied_revision:
            self._request_rows(header.sender)

    @_handle_by_type.register
    def _handle_config_get(self, message: messages.ConfigGet) -> None:
        if self.follower.feed.applied_revision == 0:
            return
        rows = self.follower.make_rows(self._peers.make_header(), message.versions)
        self._peers.send(message.header.sender, rows, prefer_route=True)

    @_handle_by_type.register
    def _handle_config_rows(self, message: messages.ConfigRows) -> None:
        self.follower.accept_rows(message)

    @_handle_by_type.register
    def _handle_config_applied(self, message: messages.ConfigApplied) -> None:
        self._confirmations.handle(message)

    @_handle_by_type.register
    def _handle_vms_leaving(self, message: messages.VmsLeaving) -> None:
        self._report_vms(self._vms.handle(message))

    @_handle_by_type.register
    def _handle_link_needs(self, message: messages.LinkNeeds) -> None:
        if self._shares is not None:
            self._shares.receive(message.needs)

    @_handle_by_type.register
    def _handle_application(self, message: messages.Application) -> None:
        if message.broadcast_id:
            if message.broadcast_id in self._seen_broadcasts:
                return
            self._seen_broadcasts[message.broadcast_id] = None
            if len(self._seen_broadcasts) > _MAX_SEEN_BROADCASTS:
                self._seen_broadcasts.popitem(last=False)
            self._peers.forward(message)
        self._publish(events.PeerMessage(message.origin, message.kind, message.body))

    def _apply(
        self, outcome: result.Result[follower.Built, store.StoreError] | None
    ) -> None:
        if not self.follower.record_built(outcome):
            return
        self._peers.detector.set_applied(self.follower.feed.applied_revision)
        self._publish(events.ConfigurationChanged(self.follower.snapshot))

    def _ask_peers(self, now_s: float) -> None:
        """Query peers while the store is down, and for all documents at start-up."""
        feed = self.follower.feed
        is_start = feed.applied_revision == 0 and feed.needs_fetch()
        if now_s < self._ask_due_s or not (self.follower.has_store_failed or is_start):
            return
        self._ask_due_s = now_s + _ASK_INTERVAL_S
        if feed.needs_fetch():
            holders = self._confirmations.list_holders(feed.known_revision)
            if holders:
                self._request_rows(self._random.choice(holders))
        if feed.is_current() or not self.follower.has_store_failed:
            return
        feed.set_peers(self._peers.list_zones(self._vms.listed))
        waiting = feed.list_unanswered()
        for name in self._random.sample(waiting, min(_ASK_BATCH, len(waiting))):
            self._peers.send(name, messages.ConfigAsk(self._peers.make_header()))

    def _announce_needs(self) -> None:
        """Send pending link announcements to a random neighbour."""
        names = self._peers.detector.list_links()
        if self._shares is None or not names:
            return
        needs = self._shares.take_announcements()
        if needs:
            message = messages.LinkNeeds(self._peers.make_header(), needs)
            self._peers.send(self._random.choice(names), message)

    def _has_holder(self) -> bool:
        revision = self.follower.feed.known_revision
        return bool(self._confirmations.list_holders(revision))

    def _request_rows(self, name: str) -> None:
        header = self._peers.make_header()
        versions = self.follower.list_versions()
        self._peers.send(name, messages.ConfigGet(header, versions))

    def _report_members(self) -> None:
        changes = self._peers.detector.take_events()
        if not changes:
            return
        table = self._peers.detector.table
        self.members = tuple(table)
        counts = collections.Counter(member.state for member in self.members)
        if self._shares is not None:
            alive = {item.name for item in self.members if item.state in _ALIVE}
            dead = counts[members.MemberState.DEAD]
            self._shares.set_members(alive, len(alive) + dead)
        for state in members.MemberState:
            metrics.MEMBERS.labels(state.name.lower()).set(counts[state])
        changed = {change.member.name: change.member for change in changes}
        self._publish(events.MembersChanged(tuple(changed.values())))

    def _report_vms(self, leaving: frozenset[str] | None) -> None:
        if leaving is not None:
            self._publish(events.VmsChanged(leaving))
