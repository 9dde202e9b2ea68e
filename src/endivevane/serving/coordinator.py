"""Giving out the places of a region's targets to its daemons.

What a coordinator knows is soft state: it is rebuilt from the reports of the daemons,
which name every place that they hold. A daemon that starts to coordinate too early, or
beside another one, gives places twice for a moment, which targets answer as full.
"""

from __future__ import annotations

import dataclasses
import functools
import typing
from collections import abc

from endivevane import logs
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

# A place that a daemon does not name is free again after this time: its report may
# have crossed the answer that gave it.
_CROSSING_S = 0.3
# A wish of a batch item that is not repeated for this long is forgotten.
_BATCH_ASK_LIFE_S = 0.6
# Items that were asked to leave a target are asked again after this time.
_GIVE_WAY_REPEAT_S = 0.2
# Items do not go to a target for this long after some have left it.
_REST_S = 0.5
# Daemons that must have seen a target fail before no daemon is sent there, and for how
# long what they say counts.
_WITNESSES = 2
_WITNESS_LIFE_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A place of a daemon, or its wish for one.

    :ivar target_id: where the place is, empty while it is only wished for
    :ivar waiter: the online request that waits for it
    :ivar since_s: monotonic time at which it was given, or last asked for
    :ivar told_s: monotonic time at which its item was last asked to leave
    """

    number: int
    is_batch: bool
    since_s: float
    service: str = ""
    availability_zone: str = ""
    urgency: item_estimates.Urgency = item_estimates.Urgency.NORMAL
    due_s: float = 0.0
    avoided: frozenset[str] = frozenset()
    request: str = ""
    target_id: str = ""
    waiter: slot_queue.Waiter | None = None
    told_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Member:
    """A daemon that gets places from here."""

    name: str
    incarnation: str
    heard_s: float
    entries: dict[int, _Entry] = dataclasses.field(default_factory=dict)


class Coordinator:
    """Gives places to the daemons of a region.

    :param send: sends a message to the daemon of a name
    """

    def __init__(
        self,
        targets: target_registry.TargetRegistry,
        board: load_table.LoadTable,
        queue: slot_queue.SlotQueue,
        choices: target_selection.TargetSelector,
        send: slot_messages.Send,
    ) -> None:
        self._targets = targets
        self._board = board
        self._queue = queue
        self._choices = choices
        self._send = send
        self._members: dict[str, _Member] = {}
        # Wishes of batch items, by daemon and number.
        self._batch: dict[tuple[str, int], _Entry] = {}
        self._rested_s: dict[str, float] = {}
        # Target -> daemons that avoid it, with the time at which they last said so.
        self._witnesses: dict[str, dict[str, float]] = {}

    @property
    def has_members(self) -> bool:
        """Whether any daemon holds or wants a place from here."""
        return bool(self._members)

    def handle(self, sender: str, message: slot_messages.Message, now_s: float) -> None:
        """Take in what a daemon asks for or gives back."""
        self._take(message, sender, now_s)

    def refuse(self, sender: str, message: slot_messages.Message) -> None:
        """Tell a daemon that asks that this one does not coordinate."""
        if isinstance(message, slot_messages.Acquire):
            self._send(sender, slot_messages.NotCoordinating(message.number))

    def apply_held_slots(
        self,
        sender: str,
        incarnation: str,
        holdings: abc.Iterable[slot_registry.HeldSlot],
        now_s: float,
    ) -> None:
        """Take in all places that a daemon holds."""
        member = self._find_member(sender, incarnation, now_s)
        named = {holding.number: holding for holding in holdings}
        for number, entry in list(member.entries.items()):
            is_given = bool(entry.target_id)
            is_old = now_s - entry.since_s >= _CROSSING_S
            if is_given and is_old and number not in named:
                self._drop(member, entry, now_s)
        for number, holding in named.items():
            if number in member.entries:
                continue
            entry = _Entry(number, holding.is_batch, now_s)
            entry.target_id = holding.target_id
            known = self._targets.find(holding.target_id)
            entry.service = known.target.service if known is not None else ""
            member.entries[number] = entry
            self._board.add_granted(holding.target_id, holding.is_batch)

    def drop_silent(self, now_s: float) -> None:
        """Free the places of daemons that are dead."""
        for name, member in list(self._members.items()):
            if now_s - member.heard_s < peer_registry.DEAD_AFTER_S:
                continue
            for entry in list(member.entries.values()):
                self._drop(member, entry, now_s)
            del self._members[name]

    def tick(self, now_s: float) -> None:
        """Give free places to those who wait, and make batch give way."""
        self.drop_silent(now_s)
        for key, entry in list(self._batch.items()):
            if now_s - entry.since_s < _BATCH_ASK_LIFE_S:
                continue
            del self._batch[key]
            self._members[key[0]].entries.pop(entry.number, None)
        self._choices.record_peaks(now_s)
        self._pump(now_s)
        self._give_way(now_s)

    def _pump(self, now_s: float) -> None:
        self._queue.pump(now_s)
        self._pump_batch(now_s)

    @functools.singledispatchmethod
    def _take(self, message: typing.Any, sender: str, now_s: float) -> None:
        raise TypeError(f"not for a coordinator: {type(message).__name__}")

    @_take.register
    def _(self, message: slot_messages.Acquire, sender: str, now_s: float) -> None:
        member = self._find_member(sender, message.incarnation, now_s)
        self._note_avoided(sender, message.avoided, now_s)
        entry = member.entries.get(message.number)
        if entry is None:
            self._begin(member, message, now_s)
        elif entry.target_id:
            self._send(sender, slot_messages.Granted(message.number, entry.target_id))
        else:
            entry.since_s = now_s
            entry.avoided = frozenset(message.avoided)
            self._send(sender, slot_messages.Queued(message.number))

    @_take.register
    def _(self, message: slot_messages.Release, sender: str, now_s: float) -> None:
        member = self._find_member(sender, message.incarnation, now_s)
        entry = member.entries.get(message.number)
        if entry is None:
            return
        if message.hold_s is not None and entry.service and not entry.is_batch:
            self._queue.record_hold(entry.service, message.hold_s)
        if message.start_s is not None and entry.service:
            self._queue.record_first_event(entry.service, message.start_s)
        self._drop(member, entry, now_s)
        self._pump(now_s)

    def _find_member(self, name: str, incarnation: str, now_s: float) -> _Member:
        member = self._members.get(name)
        if member is not None and member.incarnation != incarnation:
            for entry in list(member.entries.values()):
                self._drop(member, entry, now_s)
            member = None
        if member is None:
            member = _Member(name, incarnation, now_s)
            self._members[name] = member
        member.heard_s = now_s
        return member

    def _begin(self, member: _Member, ask: slot_messages.Acquire, now_s: float) -> None:
        """Settle a new wish, or keep it waiting."""
        entry = _Entry(
            ask.number,
            ask.is_batch,
            now_s,
            service=ask.service,
            availability_zone=ask.availability_zone,
            avoided=frozenset(ask.avoided),
            request=ask.request,
        )
        member.entries[ask.number] = entry
        if ask.is_batch:
            entry.urgency = item_estimates.Urgency(ask.urgency)
            entry.due_s = now_s + ask.objective_left_s
            self._batch[(member.name, ask.number)] = entry
            self._pump(now_s)
            return
        entry.waiter = self._queue.ask(
            self._make_wish(ask, now_s),
            lambda verdict: self._settle(member, entry, verdict),
            now_s,
        )
        if entry.waiter is not None:
            self._send(member.name, slot_messages.Queued(ask.number))

    def _make_wish(
        self, ask: slot_messages.Acquire, now_s: float
    ) -> slot_queue.SlotRequest:
        return slot_queue.SlotRequest(
            service=ask.service,
            priority=ask.priority,
            objective_s=now_s + ask.objective_left_s,
            deadline_s=now_s + ask.deadline_left_s,
            may_retry=ask.may_return,
            excluded=frozenset(ask.excluded),
            allowed=None if ask.only is None else frozenset(ask.only),
            avoided=frozenset(ask.avoided) | self._list_shunned(now_s),
            availability_zone=ask.availability_zone,
        )

    def _settle(
        self, member: _Member, entry: _Entry, verdict: slot_queue.Verdict
    ) -> None:
        """Tell a daemon what became of its online request."""
        entry.waiter = None
        if isinstance(verdict, slot_queue.Refused):
            member.entries.pop(entry.number, None)
            logs.limited_info(
                "place_refused",
                request=entry.request,
                daemon=member.name,
                retry_after_ms=int(verdict.retry_after_s * 1000),
                avoided=",".join(sorted(entry.avoided)) or None,
                **self._queue.describe_load(entry.service),
            )
            answer = slot_messages.Refused(entry.number, verdict.retry_after_s)
            self._send(member.name, answer)
            return
        self._give(member.name, entry, verdict.target)

    def _give(self, name: str, entry: _Entry, target: model.Target) -> None:
        entry.target_id = target.target_id
        self._board.add_granted(entry.target_id, entry.is_batch)
        self._send(name, slot_messages.Granted(entry.number, entry.target_id))

    def _drop(self, member: _Member, entry: _Entry, now_s: float) -> None:
        """Forget a place or a wish."""
        member.entries.pop(entry.number, None)
        self._batch.pop((member.name, entry.number), None)
        if entry.waiter is not None:
            self._queue.withdraw(entry.waiter, now_s)
        if entry.target_id:
            self._board.remove_granted(entry.target_id, entry.is_batch)

    def _pump_batch(self, now_s: float) -> None:
        """Give places that online requests leave to batch items, the urgent first."""
        if not self._batch:
            return
        full: set[tuple[str, bool]] = set()
        resting = self._list_resting(now_s) | self._list_shunned(now_s)
        ordered = sorted(
            self._batch.items(), key=lambda item: (item[1].urgency, item[1].due_s)
        )
        for (name, number), entry in ordered:
            is_urgent = entry.urgency is item_estimates.Urgency.URGENT
            kind = (entry.service, is_urgent)
            if kind in full:
                continue
            target = self._choices.choose_batch(
                entry.service,
                now_s,
                resting | entry.avoided,
                is_urgent,
                entry.availability_zone,
            )
            if target is None:
                full.add(kind)
                continue
            del self._batch[(name, number)]
            entry.since_s = now_s
            self._give(name, entry, target)

    def _give_way(self, now_s: float) -> None:
        """Ask items to leave the targets that online requests fill."""
        by_target: dict[str, list[tuple[_Member, _Entry]]] = {}
        for member in self._members.values():
            for entry in member.entries.values():
                if entry.is_batch and entry.target_id:
                    by_target.setdefault(entry.target_id, []).append((member, entry))
        for target_id, held in by_target.items():
            known = self._targets.find(target_id)
            if known is None:
                continue
            leaving = [
                entry for _, entry in held if now_s - entry.told_s < _GIVE_WAY_REPEAT_S
            ]
            surplus = self._choices.count_to_preempt(known.target, len(held))
            surplus -= len(leaving)
            if surplus <= 0:
                continue
            self._rested_s[target_id] = now_s
            batch = self._board.total(target_id).batch
            candidates = [
                preemption.Candidate((member, entry), entry.urgency, entry.since_s)
                for member, entry in held
                if entry not in leaving
            ]
            for member, entry in preemption.choose_items(candidates, surplus, batch):
                entry.told_s = now_s
                self._send(member.name, slot_messages.Preempt(entry.number))

    def _list_resting(self, now_s: float) -> frozenset[str]:
        """Return the targets that items have left a moment ago."""
        for target_id, rested_s in list(self._rested_s.items()):
            if now_s - rested_s > _REST_S:
                del self._rested_s[target_id]
        return frozenset(self._rested_s)

    def _note_avoided(
        self, sender: str, avoided: abc.Iterable[str], now_s: float
    ) -> None:
        for target_id in avoided:
            self._witnesses.setdefault(target_id, {})[sender] = now_s

    def _list_shunned(self, now_s: float) -> frozenset[str]:
        """Return the targets that several daemons have seen fail a moment ago."""
        if not self._witnesses:
            return frozenset()
        shunned = set()
        for target_id, witnesses in list(self._witnesses.items()):
            fresh = {
                name: said_s
                for name, said_s in witnesses.items()
                if now_s - said_s < _WITNESS_LIFE_S
            }
            if not fresh:
                del self._witnesses[target_id]
                continue
            self._witnesses[target_id] = fresh
            if len(fresh) >= _WITNESSES:
                shunned.add(target_id)
        return frozenset(shunned)
