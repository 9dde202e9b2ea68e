"""Granting the slots of a region's targets to its daemons.

A coordinator holds soft state only: it is rebuilt from the daemons' reports, which list
every slot that they hold. A daemon that starts to coordinate too early, or beside
another one, briefly grants slots twice; targets then refuse requests as full.
"""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

from endivevane import logs
from endivevane.fairness import turns
from endivevane.serving import (
    item_estimates,
    load_table,
    model,
    peer_registry,
    preemption,
    slot_messages,
    slot_queue,
    slot_registry,
    target_registry,
    target_selection,
)

# Grace period after which a slot that is missing from its daemon's report is freed: the
# report may have crossed the message that granted the slot.
_REPORT_GRACE_S = 0.3
# A slot request of a batch item expires when it is not repeated for this long.
_BATCH_REQUEST_TTL_S = 0.6
# Items still running this long after a preemption message may be preempted again.
_PREEMPT_RETRY_S = 0.2
# No item is sent to a target for this long after items on it have been preempted.
_COOLDOWN_S = 0.5
# Daemons that must report a target as failing before no daemon is sent there, and for
# how long such a report counts.
_MIN_FAILURE_REPORTERS = 2
_FAILURE_REPORT_TTL_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A slot of a daemon, or its request for one.

    :ivar target_id: target of the slot, empty until it is granted
    :ivar waiter: the online request that waits for it
    :ivar updated_s: monotonic time at which it was granted, or last requested
    :ivar preempted_s: monotonic time at which its item was last preempted
    :ivar organisation: whose it is, ``None`` if it is only known from a report
    """

    number: int
    is_batch: bool
    updated_s: float
    service: str = ""
    availability_zone: str = ""
    urgency: item_estimates.Urgency = item_estimates.Urgency.NORMAL
    due_s: float = 0.0
    avoided: frozenset[str] = frozenset()
    request: str = ""
    target_id: str = ""
    waiter: slot_queue.Waiter | None = None
    preempted_s: float = 0.0
    organisation: str | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Member:
    """A daemon that gets its slots from this coordinator."""

    name: str
    incarnation: str
    last_seen_s: float
    entries: dict[int, _Entry] = dataclasses.field(default_factory=dict)


class Coordinator:
    """Grants slots to the daemons of a region.

    :param send: sends a message to the daemon with a name
    """

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        loads: load_table.LoadTable,
        queue: slot_queue.SlotQueue,
        selector: target_selection.TargetSelector,
        send: slot_messages.Send,
    ) -> None:
        self._targets = targets
        self._loads = loads
        self._queue = queue
        self._selector = selector
        self._send = send
        self._members: dict[str, _Member] = {}
        self._turns = turns.Turns()
        # Slot requests of batch items, by daemon and number.
        self._batch: dict[tuple[str, int], _Entry] = {}
        self._cooldown_started_s: dict[str, float] = {}
        # Target -> daemons that avoid it, with the time of their last report of it.
        self._failure_reporters: dict[str, dict[str, float]] = {}

    @property
    def has_members(self) -> bool:
        """Whether any daemon holds or requests a slot of this coordinator."""
        return bool(self._members)

    def handle(self, sender: str, message: slot_messages.Message, now_s: float) -> None:
        """Handle a daemon's request for a slot or release of one."""
        self._handle(message, sender, now_s)

    def refuse(self, sender: str, message: slot_messages.Message) -> None:
        """Answer a slot request by saying that this daemon does not coordinate."""
        if isinstance(message, slot_messages.Acquire):
            self._send(sender, slot_messages.NotCoordinating(message.number))

    def apply_held_slots(
        self,
        sender: str,
        incarnation: str,
        held_slots: abc.Iterable[slot_registry.HeldSlot],
        now_s: float,
    ) -> None:
        """Apply a daemon's report of all slots that it holds."""
        member = self._find_member(sender, incarnation, now_s)
        held_by_number = {held_slot.number: held_slot for held_slot in held_slots}
        for number, entry in list(member.entries.items()):
            is_granted = bool(entry.target_id)
            is_old = now_s - entry.updated_s >= _REPORT_GRACE_S
            if is_granted and is_old and number not in held_by_number:
                self._remove_entry(member, entry, now_s)
        for number, held_slot in held_by_number.items():
            if number in member.entries:
                continue
            entry = _Entry(number, held_slot.is_batch, now_s)
            entry.target_id = held_slot.target_id
            known = self._targets.find(held_slot.target_id)
            entry.service = known.target.service if known is not None else ""
            member.entries[number] = entry
            self._loads.add_granted(held_slot.target_id, held_slot.is_batch)

    def drop_unresponsive(self, now_s: float) -> None:
        """Free the slots of daemons that count as dead."""
        for name, member in list(self._members.items()):
            if now_s - member.last_seen_s < peer_registry.DEAD_AFTER_S:
                continue
            for entry in list(member.entries.values()):
                self._remove_entry(member, entry, now_s)
            del self._members[name]

    def tick(self, now_s: float) -> None:
        """Grant free slots to waiting requests, and preempt batch items as needed."""
        self.drop_unresponsive(now_s)
        for key, entry in list(self._batch.items()):
            if now_s - entry.updated_s < _BATCH_REQUEST_TTL_S:
                continue
            del self._batch[key]
            self._members[key[0]].entries.pop(entry.number, None)
        self._selector.record_peaks(now_s)
        self.grant_free_slots(now_s)
        self._preempt_items(now_s)

    def grant_free_slots(self, now_s: float) -> None:
        """Grant free slots to waiting online requests, then to batch items."""
        self._queue.grant_free_slots(now_s)
        self._grant_batch_slots(now_s)

    @functools.singledispatchmethod
    def _handle(self, message: typing.Any, sender: str, now_s: float) -> None:
        raise TypeError(f"not a message to a coordinator: {type(message).__name__}")

    @_handle.register
    def _(self, message: slot_messages.Acquire, sender: str, now_s: float) -> None:
        member = self._find_member(sender, message.incarnation, now_s)
        self._record_avoided(sender, message.avoided, now_s)
        entry = member.entries.get(message.number)
        if entry is None:
            self._add_request(member, message, now_s)
        elif entry.target_id:
            self._send(sender, slot_messages.Granted(message.number, entry.target_id))
        else:
            entry.updated_s = now_s
            entry.avoided = frozenset(message.avoided)
            self._send(sender, slot_messages.Queued(message.number))

    @_handle.register
    def _(self, message: slot_messages.Release, sender: str, now_s: float) -> None:
        member = self._find_member(sender, message.incarnation, now_s)
        entry = member.entries.get(message.number)
        if entry is None:
            return
        if message.hold_s is not None and entry.service:
            if entry.is_batch:
                self._selector.record_item_hold(entry.service, message.hold_s)
            else:
                self._queue.record_hold(entry.service, message.hold_s)
        if message.first_event_s is not None and entry.service:
            self._queue.record_first_event(entry.service, message.first_event_s)
        self._remove_entry(member, entry, now_s)
        self.grant_free_slots(now_s)

    def _find_member(self, name: str, incarnation: str, now_s: float) -> _Member:
        member = self._members.get(name)
        if member is not None and member.incarnation != incarnation:
            for entry in list(member.entries.values()):
                self._remove_entry(member, entry, now_s)
            member = None
        if member is None:
            member = _Member(name, incarnation, now_s)
            self._members[name] = member
        member.last_seen_s = now_s
        return member

    def _add_request(
        self, member: _Member, ask: slot_messages.Acquire, now_s: float
    ) -> None:
        """Resolve a new slot request, or queue it."""
        entry = _Entry(
            ask.number,
            ask.is_batch,
            now_s,
            service=ask.service,
            availability_zone=ask.availability_zone,
            avoided=frozenset(ask.avoided),
            request=ask.request,
            organisation=ask.organisation,
        )
        member.entries[ask.number] = entry
        if ask.is_batch:
            entry.urgency = item_estimates.Urgency(ask.urgency)
            entry.due_s = now_s + ask.objective_left_s
            self._batch[(member.name, ask.number)] = entry
            self.grant_free_slots(now_s)
            return
        entry.waiter = self._queue.ask(
            self._make_slot_request(ask, now_s),
            lambda decision: self._resolve(member, entry, decision),
            now_s,
        )
        if entry.waiter is not None:
            self._send(member.name, slot_messages.Queued(ask.number))

    def _make_slot_request(
        self, ask: slot_messages.Acquire, now_s: float
    ) -> slot_queue.SlotRequest:
        return slot_queue.SlotRequest(
            service=ask.service,
            priority=ask.priority,
            objective_s=now_s + ask.objective_left_s,
            deadline_s=now_s + ask.deadline_left_s,
            may_retry=ask.client_may_retry,
            excluded=frozenset(ask.excluded),
            allowed=None
            if ask.allowed_targets is None
            else frozenset(ask.allowed_targets),
            version=ask.version,
            avoided=frozenset(ask.avoided) | self._list_failing(now_s),
            availability_zone=ask.availability_zone,
            request=ask.request,
            organisation=ask.organisation,
            request_bytes=ask.request_bytes,
        )

    def _resolve(
        self, member: _Member, entry: _Entry, decision: slot_queue.Decision
    ) -> None:
        """Send a daemon the decision on its online request."""
        entry.waiter = None
        if isinstance(decision, slot_queue.Refused):
            member.entries.pop(entry.number, None)
            logs.limited_info(
                "place_refused",
                request=entry.request,
                daemon=member.name,
                retry_after_ms=int(decision.retry_after_s * 1000),
                avoided=",".join(sorted(entry.avoided)) or None,
                **self._queue.describe_load(entry.service, entry.organisation or ""),
            )
            answer = slot_messages.Refused(entry.number, decision.retry_after_s)
            self._send(member.name, answer)
            return
        self._grant(member.name, entry, decision.target)

    def _grant(self, name: str, entry: _Entry, target: model.Target) -> None:
        entry.target_id = target.target_id
        self._loads.add_granted(entry.target_id, entry.is_batch)
        if entry.is_batch:
            self._turns.record_grant(entry.organisation)
        self._send(name, slot_messages.Granted(entry.number, entry.target_id))

    def _remove_entry(self, member: _Member, entry: _Entry, now_s: float) -> None:
        """Remove a slot or a slot request."""
        member.entries.pop(entry.number, None)
        self._batch.pop((member.name, entry.number), None)
        if entry.waiter is not None:
            self._queue.cancel(entry.waiter, now_s)
        if entry.target_id:
            self._loads.remove_granted(entry.target_id, entry.is_batch)
            if entry.is_batch:
                self._turns.record_end(entry.organisation)
            elif entry.organisation is not None:
                self._queue.record_end(entry.service, entry.organisation, now_s)

    def _grant_batch_slots(self, now_s: float) -> None:
        """Grant slots that online requests leave free to batch items, by urgency."""
        if not self._batch:
            return
        full: set[tuple[str, bool, str]] = set()
        cooling_down = self._list_cooling_down(now_s) | self._list_failing(now_s)
        ordered = sorted(
            self._batch.items(), key=lambda item: (item[1].urgency, item[1].due_s)
        )
        ordered = self._turns.order(
            ordered, lambda item: (item[1].urgency, item[1].organisation or "")
        )
        for (name, number), entry in ordered:
            is_urgent = entry.urgency is item_estimates.Urgency.URGENT
            zone = entry.availability_zone if self._selector.depends_on_zone else ""
            kind = (entry.service, is_urgent, zone)
            if kind in full:
                continue
            target = self._selector.choose_batch(
                entry.service,
                now_s,
                cooling_down | entry.avoided,
                is_urgent,
                entry.availability_zone,
                entry.due_s,
            )
            if target is None:
                full.add(kind)
                continue
            del self._batch[(name, number)]
            entry.updated_s = now_s
            self._grant(name, entry, target)

    def _preempt_items(self, now_s: float) -> None:
        """Preempt batch items on targets that need the slots for online requests."""
        by_target: dict[str, list[tuple[_Member, _Entry]]] = {}
        for member in self._members.values():
            for entry in member.entries.values():
                if entry.is_batch and entry.target_id:
                    by_target.setdefault(entry.target_id, []).append((member, entry))
        for target_id, held in by_target.items():
            known = self._targets.find(target_id)
            if known is None:
                continue
            preempting = [
                entry
                for _, entry in held
                if now_s - entry.preempted_s < _PREEMPT_RETRY_S
            ]
            surplus = self._selector.count_to_preempt(known.target, len(held))
            surplus -= len(preempting)
            if surplus <= 0:
                continue
            self._cooldown_started_s[target_id] = now_s
            batch = self._loads.total(target_id).batch
            candidates = [
                preemption.Candidate((member, entry), entry.urgency, entry.updated_s)
                for member, entry in held
                if entry not in preempting
            ]
            for member, entry in preemption.choose_items(candidates, surplus, batch):
                entry.preempted_s = now_s
                self._send(member.name, slot_messages.Preempt(entry.number))

    def _list_cooling_down(self, now_s: float) -> frozenset[str]:
        """Return the targets in cooldown after a preemption."""
        for target_id, started_s in list(self._cooldown_started_s.items()):
            if now_s - started_s > _COOLDOWN_S:
                del self._cooldown_started_s[target_id]
        return frozenset(self._cooldown_started_s)

    def _record_avoided(
        self, sender: str, avoided: abc.Iterable[str], now_s: float
    ) -> None:
        for target_id in avoided:
            self._failure_reporters.setdefault(target_id, {})[sender] = now_s

    def _list_failing(self, now_s: float) -> frozenset[str]:
        """Return the targets that several daemons have recently reported as failing."""
        if not self._failure_reporters:
            return frozenset()
        failing = set()
        for target_id, reporters in list(self._failure_reporters.items()):
            recent = {
                name: reported_s
                for name, reported_s in reporters.items()
                if now_s - reported_s < _FAILURE_REPORT_TTL_S
            }
            if not recent:
                del self._failure_reporters[target_id]
                continue
            self._failure_reporters[target_id] = recent
            if len(recent) >= _MIN_FAILURE_REPORTERS:
                failing.add(target_id)
        return frozenset(failing)
