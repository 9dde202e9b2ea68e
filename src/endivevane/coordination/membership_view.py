"""One daemon's view of the membership and how updates change it."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.coordination import gossip, members, probes


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member was added or its state, incarnation or description changed.

    :param before: ``None`` for a new member
    """

    before: members.Member | None
    member: members.Member


class MembershipView:
    """Members, suspicions with their deadlines, and updates to disseminate.

    :param me: this daemon
    :param settings: timeouts and limits
    """

    def __init__(self, me: members.Member, settings: probes.DetectorSettings) -> None:
        self._settings = settings
        self.me = me
        self.table = members.MemberTable(me.description.region, settings.rings)
        self.table.put(me)
        self.queue = gossip.UpdateQueue()
        self.queue.put(members.make_update(me))
        self._events: list[MemberChanged] = []
        self._suspicions: dict[str, float] = {}
        self._tombstones: dict[str, float] = {}

    def take_events(self) -> list[MemberChanged]:
        """Return the changes since the last call."""
        events, self._events = self._events, []
        return events

    def is_suspected(self, name: str) -> bool:
        """Return whether a member is under suspicion."""
        return name in self._suspicions

    def leave(self) -> None:
        """Announce that this daemon is about to stop."""
        self._replace_me(self.me.incarnation, members.MemberState.LEAVING)

    def suspect(self, member: members.Member, now_s: float) -> None:
        """Suspect a member that answered neither direct nor indirect probes."""
        if member.name not in self._suspicions:
            deadline_s = now_s + self._settings.suspect_timeout_s
            self._suspicions[member.name] = deadline_s
        if member.state is members.MemberState.ALIVE:
            self.report(member.name, members.MemberState.SUSPECT, now_s)

    def clear_leaving_suspicion(self, name: str) -> None:
        """Clear the suspicion of a leaving member that has answered.

        Such a suspicion is not disseminated, so the member can't refute it.
        """
        member = self.table.get(name)
        if member is not None and member.state is members.MemberState.LEAVING:
            self._suspicions.pop(name, None)

    def extend(self, duration_s: float) -> None:
        """Extend the deadlines of all suspicions."""
        for name in self._suspicions:
            self._suspicions[name] += duration_s

    def expire(self, now_s: float) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        for name, deadline_s in list(self._suspicions.items()):
            if deadline_s > now_s:
                continue
            del self._suspicions[name]
            self.report(name, members.MemberState.DEAD, now_s)

    def purge(self, now_s: float) -> None:
        """Remove members whose tombstone has expired."""
        for name, dead_s in list(self._tombstones.items()):
            if now_s - dead_s < self._settings.tombstone_s:
                continue
            del self._tombstones[name]
            self.table.remove(name)

    def report(self, name: str, state: members.MemberState, now_s: float) -> None:
        """Apply a state to the known incarnation of another member."""
        member = self.table.get(name)
        if member is not None:
            self.merge([members.Update(name, member.incarnation, state)], now_s)

    def merge(self, updates: abc.Iterable[members.Update], now_s: float) -> None:
        """Apply the updates that supersede what is known."""
        for update in updates:
            if update.name == self.me.name:
                self._refute(update)
                continue
            member = self.table.get(update.name)
            if member is not None and not members.supersedes(update, member):
                continue
            description = update.description
            if description is None:
                if member is None:
                    continue
                description = member.description
            self._apply(update, description, member, now_s)

    def _apply(
        self,
        update: members.Update,
        description: members.Description,
        before: members.Member | None,
        now_s: float,
    ) -> None:
        member = members.Member(
            update.name, update.incarnation, update.state, description, now_s
        )
        self.table.put(member)
        self._tombstones.pop(member.name, None)
        if member.state is not members.MemberState.SUSPECT:
            self._suspicions.pop(member.name, None)
        elif member.name not in self._suspicions:
            deadline_s = now_s + self._settings.suspect_timeout_s
            self._suspicions[member.name] = deadline_s
        if member.state is members.MemberState.DEAD:
            self._tombstones[member.name] = now_s
        is_introduction = member.state is members.MemberState.ALIVE
        self.queue.put(members.make_update(member, is_introduction))
        self._events.append(MemberChanged(before, member))

    def _refute(self, update: members.Update) -> None:
        """Refute an update about this daemon that contradicts its own state."""
        is_newer = update.incarnation > self.me.incarnation
        if update.incarnation < self.me.incarnation:
            return
        if not is_newer and update.state is members.MemberState.LEAVING:
            # The platform lists this VM as leaving; there is nothing to refute.
            if self.me.state is not members.MemberState.LEAVING:
                self.leave()
            return
        is_same_description = update.description in (None, self.me.description)
        if not is_newer and is_same_description and update.state <= self.me.state:
            return
        self._replace_me(update.incarnation + 1, self.me.state)

    def _replace_me(self, incarnation: int, state: members.MemberState) -> None:
        self.me = dataclasses.replace(self.me, incarnation=incarnation, state=state)
        self.table.put(self.me)
        self.queue.put(members.make_update(self.me))
