"""SWIM-style failure detector without I/O of its own."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections import abc

from endivevane.coordination import (
    budget,
    clock,
    gossip_messages,
    links,
    members,
    membership_view,
    probes,
)

_REPAIR_PUSHES = 3
# Whole tables are the largest messages. Without a rate limit, 100 members on an
# overloaded machine sent 80 KB/s each.
_ROWS_PER_S = 2.0
_ROWS_BURST = 10.0
# Suspicion causes messages, and on an overloaded machine messages cause suspicion. Both
# budgets bound this loop; the bursts cover the loss of half of 340 members at once.
_PUSHES_PER_S = 6.0
_PUSHES_BURST = 240.0
_CHECKS_PER_S = 3.0
_CHECKS_BURST = 60.0
_SYNC_MESSAGES = (gossip_messages.SyncRequest, gossip_messages.SyncRows)
_SUSPECT_OR_DEAD = (members.MemberState.SUSPECT, members.MemberState.DEAD)


class FailureDetector:
    """Failure detector and membership view of one daemon.

    The caller passes received messages to :meth:`handle`, calls :meth:`tick` at least
    every ``max_tick_gap_s`` after all received messages have been handled, and then
    sends what :meth:`take_outgoing` returns.

    :param name: name of this daemon
    :param description: location and address of this daemon
    :param settings: timeouts and limits
    :param detector_clock: only its monotonic part is used
    :param generator: source of all random choices
    """

    def __init__(
        self,
        name: str,
        description: members.Description,
        settings: probes.DetectorSettings,
        detector_clock: clock.Clock,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = detector_clock
        self._random = generator
        now_s = detector_clock.monotonic_s()
        # Updates about an earlier process of this name carry a lower incarnation. The
        # wall clock need not be accurate: an update with a higher incarnation is
        # refuted with one that is higher still.
        incarnation = max(0, detector_clock.wall_ms() // 1000)
        me = members.Member(
            name, incarnation, members.MemberState.ALIVE, description, now_s
        )
        self._view = membership_view.MembershipView(me, settings)
        self._probes = probes.ProbeRegistry(settings)
        self._links = links.PeerSelector(self._view, self._probes, settings, generator)
        self._outgoing: list[gossip_messages.Outgoing] = []
        self._reconnects: list[str] = []
        self._has_new_revision = False
        self._last_call_s = now_s
        self._next_push_s = now_s
        self._next_repair_s = now_s
        self._contacts: list[str] = []
        self._rows_budget = budget.MessageBudget(_ROWS_PER_S, _ROWS_BURST, now_s)
        self._push_budget = budget.MessageBudget(_PUSHES_PER_S, _PUSHES_BURST, now_s)
        self._check_budget = budget.MessageBudget(_CHECKS_PER_S, _CHECKS_BURST, now_s)
        self._next_sync_s = now_s + self._jitter(settings.sync_interval_s)
        self._next_probe_s = [
            now_s + settings.probe_interval_s * generator.random()
            for _ in range(settings.rings)
        ]
        self.known_revision = 0
        self.applied_revision = 0

    @property
    def me(self) -> members.Member:
        """This daemon as a member."""
        return self._view.me

    @property
    def table(self) -> members.MemberTable:
        """All members; the caller must not modify it."""
        return self._view.table

    def find_gateway(self, zone: str) -> str | None:
        """Return the gateway of a zone, or ``None`` for an empty zone."""
        return self._links.find_gateway(zone)

    def is_gateway(self) -> bool:
        """Return whether this daemon is the gateway of its zone."""
        return self._links.is_gateway()

    def list_links(self) -> list[str]:
        """Return the members that this daemon currently exchanges probes with."""
        return self._links.list_links(self._last_call_s)

    def was_region_seen(self, region: str) -> bool:
        """Return whether a message from a member of a region arrived recently."""
        return self._links.was_region_seen(region, self._last_call_s)

    def take_outgoing(self) -> list[gossip_messages.Outgoing]:
        """Return the messages to send, in order."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def take_events(self) -> list[membership_view.MemberChanged]:
        """Return the changes since the last call."""
        return self._view.take_events()

    def take_reconnects(self) -> list[str]:
        """Return members whose connection should be reopened."""
        reconnects, self._reconnects = self._reconnects, []
        return reconnects

    def leave(self) -> None:
        """Announce that this daemon is about to stop."""
        self._view.leave()

    def report_leaving(self, name: str) -> None:
        """Record that the platform lists a member as leaving."""
        self._view.report(name, members.MemberState.LEAVING, self._last_call_s)

    def report_session_expired(self, name: str) -> None:
        """Record that the session of an unresponsive member has expired."""
        self._view.report(name, members.MemberState.DEAD, self._last_call_s)

    def report_member(self, update: members.Update) -> None:
        """Apply an update from another source, if it is newer than what is known."""
        self._view.merge([update], self._last_call_s)

    def learn_revision(self, revision: int) -> None:
        """Record a configuration revision and disseminate it if it is new."""
        if revision <= self.known_revision:
            return
        self.known_revision = revision
        self._has_new_revision = True

    def set_applied(self, revision: int) -> None:
        """Record the configuration revision in force at this daemon."""
        self.applied_revision = revision
        self.learn_revision(revision)

    def join(self, receiver: str) -> None:
        """Request the table of a member, which need not be known yet."""
        self._send_sync_request(receiver)

    def handle(self, message: gossip_messages.Message) -> None:
        """Handle one received message."""
        self._detect_pause()
        header = message.header
        if header.sender == self.me.name:
            return
        self._links.record_seen(header.sender, self._last_call_s)
        self.learn_revision(header.known_revision)
        self._view.merge(header.updates, self._last_call_s)
        self._handle_body(message)
        sender = self.table.get(header.sender)
        if sender is None:
            if not isinstance(message, _SYNC_MESSAGES):
                self._send_sync_request(header.sender)
        elif sender.state is not members.MemberState.LEAVING:
            # The header's incarnation refutes a suspicion even if the update was lost.
            update = members.Update(
                sender.name, header.incarnation, members.MemberState.ALIVE
            )
            self._view.merge([update], self._last_call_s)

    @functools.singledispatchmethod
    def _handle_body(self, message: gossip_messages.Message) -> None:
        """Handle the body of a message."""

    @_handle_body.register
    def _handle_ping(self, message: gossip_messages.Ping) -> None:
        header = message.header
        reply = self._make_header(header.sender)
        if any(update.name == self.me.name for update in header.updates):
            own = members.make_update(self.me)
            reply = dataclasses.replace(reply, updates=(own, *reply.updates))
        self._send(header.sender, gossip_messages.Ack(reply, message.sequence))

    @_handle_body.register
    def _handle_ack(self, message: gossip_messages.Ack) -> None:
        relay = self._probes.finish_relay(message.sequence)
        if relay is not None:
            header = self._make_header(relay.origin)
            self._send(relay.origin, gossip_messages.Ack(header, relay.sequence))
            return
        name = self._probes.resolve(message.sequence, self._last_call_s)
        if name is not None:
            self._view.clear_leaving_suspicion(name)

    @_handle_body.register
    def _handle_probe_request(self, message: gossip_messages.ProbeRequest) -> None:
        if self.table.get(message.target) is None:
            return
        origin = message.header.sender
        number = self._probes.start_relay(origin, message.sequence, self._last_call_s)
        if number is not None:
            self._send_ping(message.target, number)

    @_handle_body.register
    def _handle_sync_request(self, message: gossip_messages.SyncRequest) -> None:
        is_different = message.digest != self.table.compute_digest()
        if is_different and self._rows_budget.take(1, self._last_call_s):
            self._send_rows(message.header.sender, is_answer_wanted=True)

    @_handle_body.register
    def _handle_sync_rows(self, message: gossip_messages.SyncRows) -> None:
        if message.is_answer_wanted and self._rows_budget.take(1, self._last_call_s):
            self._send_rows(message.header.sender, is_answer_wanted=False)

    def tick(self) -> None:
        """Run all timers that are due."""
        self._detect_pause()
        now_s = self._last_call_s
        self._expire_probes(now_s)
        self._view.expire(now_s)
        for ring, due_s in enumerate(self._next_probe_s):
            if due_s > now_s:
                continue
            interval_s = self._jitter(self._settings.probe_interval_s)
            self._next_probe_s[ring] = now_s + interval_s
            names = self._links.list_probe_targets(ring)
            if ring == 0:
                names += self._sync_new_contacts()
            for name in names:
                self._start_probe(name)
        if self._next_sync_s <= now_s:
            self._next_sync_s = now_s + self._jitter(self._settings.sync_interval_s)
            partner = self._links.choose_sync_partner()
            if partner is not None:
                self._send_sync_request(partner)
            self._view.purge(now_s)
            self._links.purge(now_s)
        self._push(now_s)

    def _detect_pause(self) -> None:
        """Extend all timers by the time in which this process was not running."""
        now_s = self._clock.monotonic_s()
        pause_s = now_s - self._last_call_s - self._settings.max_tick_gap_s
        self._last_call_s = now_s
        if pause_s > 0:
            self._probes.extend(pause_s)
            self._view.extend(pause_s)

    # Probes

    def _expire_probes(self, now_s: float) -> None:
        for name in self._probes.list_expired(now_s):
            member = self.table.get(name)
            if member is None or member.state is members.MemberState.DEAD:
                self._probes.close(name)
                continue
            if not self._probes.is_unresponsive(name):
                count = 1 + self._settings.indirect_probes
                if self._check_budget.take(count, now_s):
                    self._probe_indirectly(name, now_s)
                else:
                    self._probes.close(name)
                continue
            self._probes.close(name)
            if member.description.region != self.me.description.region:
                # A partition between regions is no evidence about a single member.
                self._links.advance_contact(member.description.zone)
                continue
            self._view.suspect(member, now_s)
            self._start_probe(name)

    def _sync_new_contacts(self) -> list[str]:
        """Return the contacts in other regions and compare tables with new ones."""
        contacts = self._links.list_contacts()
        for name in contacts:
            if name not in self._contacts:
                self._send_sync_request(name)
        self._contacts = contacts
        return contacts

    def _probe_indirectly(self, name: str, now_s: float) -> None:
        sequence = self._probes.make_indirect(name, now_s)
        self._reconnects.append(name)
        self._send_ping(name, sequence)
        for helper in self._links.choose_helpers(name, now_s):
            header = self._make_header(helper)
            self._send(helper, gossip_messages.ProbeRequest(header, sequence, name))
        # If the member is dead, its successors have lost a watcher.
        for ring in range(self._settings.rings):
            if name not in self._links.list_probe_targets(ring):
                continue
            for successor in self._links.list_successors(ring):
                self._start_probe(successor)

    def _start_probe(self, name: str) -> None:
        sequence = self._probes.start(name, self._last_call_s)
        if sequence is not None:
            self._send_ping(name, sequence)

    # Sending

    def _send(self, receiver: str, message: gossip_messages.Message) -> None:
        self._outgoing.append(gossip_messages.Outgoing(receiver, message))

    def _take_updates(self) -> tuple[members.Update, ...]:
        return self._view.queue.take(self._settings.max_updates, len(self.table))

    def _make_header(
        self, receiver: str, updates: abc.Iterable[members.Update] | None = None
    ) -> gossip_messages.Header:
        """Return a header; it tells a suspected or dead receiver of its state."""
        chosen = list(self._take_updates() if updates is None else updates)
        member = self.table.get(receiver)
        if member is not None and member.state in _SUSPECT_OR_DEAD:
            chosen.append(members.make_update(member, with_description=False))
        return gossip_messages.Header(
            self.me.name,
            self.me.incarnation,
            self.known_revision,
            self.applied_revision,
            tuple(chosen),
        )

    def _send_ping(self, receiver: str, sequence: int) -> None:
        self._send(
            receiver, gossip_messages.Ping(self._make_header(receiver), sequence)
        )

    def _send_sync_request(self, receiver: str) -> None:
        header = self._make_header(receiver, [members.make_update(self.me)])
        digest = self.table.compute_digest()
        self._send(receiver, gossip_messages.SyncRequest(header, digest))

    def _send_rows(self, receiver: str, is_answer_wanted: bool) -> None:
        rows = [members.make_update(member) for member in self.table]
        header = self._make_header(receiver, rows)
        self._send(receiver, gossip_messages.SyncRows(header, is_answer_wanted))

    def _push(self, now_s: float) -> None:
        """Send new updates to all links without waiting for the next probes."""
        if now_s < self._next_push_s:
            return
        queue = self._view.queue
        # With many changes, piggybacking alone takes seconds to resend lost updates.
        is_backlogged = len(queue) > 2 * self._settings.max_updates
        is_repair_due = is_backlogged and now_s >= self._next_repair_s
        if not (self._has_new_revision or queue.has_unsent() or is_repair_due):
            return
        names = self.list_links()
        if not self._push_budget.take(len(names), now_s):
            return
        self._next_push_s = now_s + self._settings.push_interval_s
        self._next_repair_s = now_s + _REPAIR_PUSHES * self._settings.push_interval_s
        self._has_new_revision = False
        count = self._settings.max_pushed_updates
        updates = queue.take(count, len(self.table), copies=len(names))
        for name in names:
            self._send(name, gossip_messages.Gossip(self._make_header(name, updates)))

    def _jitter(self, interval_s: float) -> float:
        return interval_s * self._random.uniform(0.8, 1.0)
