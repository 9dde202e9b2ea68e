"""Choice of the members that a daemon exchanges messages with."""

from __future__ import annotations

import random

from endivevane.coordination import members, membership_view, probes

_HEARD_INTERVALS = 10
_REJOIN_SHARE = 0.25
_MAX_SUCCESSORS = 4


class LinkChooser:
    """Chooses members to watch, helpers for indirect probes and remote contacts.

    :param view: what is known of all members
    :param book: probes in flight
    :param settings: times and bounds
    :param generator: source of random choices
    """

    def __init__(
        self,
        view: membership_view.MembershipView,
        book: probes.ProbeRegistry,
        settings: probes.DetectorSettings,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._book = book
        self._settings = settings
        self._random = generator
        self._heard_s: dict[str, float] = {}
        self._contact_offset: dict[str, int] = {}

    def record_heard(self, name: str, now_s: float) -> None:
        """Record that a member sent something."""
        self._heard_s.pop(name, None)
        self._heard_s[name] = now_s

    def purge(self, now_s: float) -> None:
        """Forget members that have been silent for long."""
        for name, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > _HEARD_INTERVALS * self._settings.probe_interval_s:
                del self._heard_s[name]

    def find_gateway(self, zone: str) -> str | None:
        """Return the member that acts for a zone, or ``None`` for an empty one."""
        names = self._view.table.list_zone(zone)
        for name in names:
            member = self._view.table.get(name)
            if member is not None and member.state is members.MemberState.ALIVE:
                return name
        return names[0] if names else None

    def is_gateway(self) -> bool:
        """Tell whether this daemon acts for its own zone."""
        me = self._view.me
        return self.find_gateway(me.description.zone) == me.name

    def list_targets(self, ring: int) -> list[str]:
        """Return the first successor that answers, and all before it that don't."""
        targets: list[str] = []
        for name in self._view.table.walk_ring(ring, self._view.me.name):
            targets.append(name)
            if not self._is_silent(name) or len(targets) >= self._settings.max_probes:
                break
        return targets

    def list_successors(self, ring: int) -> list[str]:
        """Return the members to probe next because those before them are silent.

        As many as are silent in all rings, since a row of dead members whose other
        watchers died too would be noticed too late if it were probed one by one.
        """
        silent: set[str] = set()
        for other in range(self._settings.rings):
            targets = self.list_targets(other)
            silent.update(name for name in targets if self._is_silent(name))
        names: list[str] = []
        for name in self._view.table.walk_ring(ring, self._view.me.name):
            if self._is_silent(name):
                continue
            names.append(name)
            if len(names) >= min(len(silent), _MAX_SUCCESSORS):
                break
        return names

    def _is_silent(self, name: str) -> bool:
        """Tell whether a member is suspected or did not answer its last ping."""
        return self._view.is_suspected(name) or self._book.is_silent(name)

    def list_contacts(self) -> list[str]:
        """Return one member in each zone of other regions, for a gateway."""
        region = self._view.me.description.region
        zones = self._view.table.map_zones()
        remote = [zone for zone in sorted(zones) if zones[zone] != region]
        if not remote or not self.is_gateway():
            return []
        contacts: list[str] = []
        for zone in remote:
            names = self._view.table.list_zone(zone)
            if names:
                offset = self._contact_offset.get(zone, 0)
                contacts.append(names[offset % len(names)])
        return contacts

    def was_region_seen(self, region: str, now_s: float) -> bool:
        """Tell whether a member of a region has sent something lately."""
        horizon_s = now_s - _HEARD_INTERVALS * self._settings.probe_interval_s
        for name, heard_s in self._heard_s.items():
            member = self._view.table.get(name)
            if heard_s < horizon_s or member is None:
                continue
            if member.description.region == region:
                return True
        return False

    def advance_contact(self, zone: str) -> None:
        """Try the zone's next member: the first may have died during a cut."""
        self._contact_offset[zone] = self._contact_offset.get(zone, 0) + 1

    def list_links(self, now_s: float) -> list[str]:
        """Return members that this daemon exchanges probes with at present."""
        names: dict[str, None] = {}
        for ring in range(self._settings.rings):
            for name in self.list_targets(ring)[-1:]:
                names[name] = None
        names.update(dict.fromkeys(self.list_contacts()))
        horizon_s = now_s - 3 * self._settings.probe_interval_s
        for name in reversed(self._heard_s):
            is_recent = self._heard_s[name] >= horizon_s
            if not is_recent or len(names) >= self._settings.max_links:
                break
            # After the loss of half of the members, half of the messages would go to
            # dead ones, which count as copies sent.
            if self._view.table.get(name) is not None and not self._is_silent(name):
                names[name] = None
        return list(names)

    def choose_helpers(self, target: str, now_s: float) -> list[str]:
        """Return members that can probe a target on behalf of this daemon."""
        names = [
            name
            for name in self.list_links(now_s)
            if name != target and name not in self._book
        ]
        if len(names) < self._settings.indirect_probes:
            names = [name for name in self.list_peers() if name != target]
        count = min(self._settings.indirect_probes, len(names))
        return self._random.sample(names, count)

    def choose_sync_partner(self) -> str | None:
        """Return a random member to compare tables with.

        Now and then it is one that is held for dead, since two halves of a cluster
        that were cut from each other would otherwise never meet again.
        """
        names = self.list_peers() + self.list_contacts()
        dead = [
            member.name
            for member in self._view.table
            if member.state is members.MemberState.DEAD
        ]
        if dead and (not names or self._random.random() < _REJOIN_SHARE):
            return self._random.choice(dead)
        return self._random.choice(names) if names else None

    def list_peers(self) -> list[str]:
        """Return the other live members of the own region."""
        me = self._view.me
        return [
            member.name
            for member in self._view.table
            if member.state <= members.MemberState.SUSPECT
            and member.name != me.name
            and member.description.region == me.description.region
        ]
