"""Selection of the members that a daemon exchanges messages with."""

from __future__ import annotations

import random

from endivevane.coordination import members, membership_view, probes

_RECENT_INTERVALS = 10
_REJOIN_SHARE = 0.25
_MAX_SUCCESSORS = 4


class PeerSelector:
    """Selects members to probe, helpers for indirect probes and remote contacts.

    :param view: this daemon's view of the membership
    :param registry: probes in flight
    :param settings: timeouts and limits
    :param generator: source of random choices
    """

    def __init__(
        self,
        view: membership_view.MembershipView,
        registry: probes.ProbeRegistry,
        settings: probes.DetectorSettings,
        generator: random.Random,
    ) -> None:
        self._view = view
        self._probes = registry
        self._settings = settings
        self._random = generator
        self._last_seen_s: dict[str, float] = {}
        self._contact_offset: dict[str, int] = {}

    def record_seen(self, name: str, now_s: float) -> None:
        """Record that a message from a member arrived."""
        self._last_seen_s.pop(name, None)
        self._last_seen_s[name] = now_s

    def purge(self, now_s: float) -> None:
        """Discard members that have not been seen recently."""
        for name, last_seen_s in list(self._last_seen_s.items()):
            if (
                now_s - last_seen_s
                > _RECENT_INTERVALS * self._settings.probe_interval_s
            ):
                del self._last_seen_s[name]

    def find_gateway(self, zone: str) -> str | None:
        """Return the gateway of a zone, or ``None`` for an empty zone."""
        names = self._view.table.list_zone(zone)
        for name in names:
            member = self._view.table.get(name)
            if member is not None and member.state is members.MemberState.ALIVE:
                return name
        return names[0] if names else None

    def is_gateway(self) -> bool:
        """Return whether this daemon is the gateway of its zone."""
        me = self._view.me
        return self.find_gateway(me.description.zone) == me.name

    def list_probe_targets(self, ring: int) -> list[str]:
        """Return the first responsive successor and the unresponsive ones before it."""
        probed: list[str] = []
        for name in self._view.table.walk_ring(ring, self._view.me.name):
            probed.append(name)
            if (
                not self._is_unresponsive(name)
                or len(probed) >= self._settings.max_probes
            ):
                break
        return probed

    def list_successors(self, ring: int) -> list[str]:
        """Return the next successors to probe, past the unresponsive members.

        There are as many as there are unresponsive members in all rings: consecutive
        dead members whose other watchers died too would be detected too late if they
        were probed one by one.
        """
        unresponsive: set[str] = set()
        for other in range(self._settings.rings):
            probed = self.list_probe_targets(other)
            unresponsive.update(name for name in probed if self._is_unresponsive(name))
        names: list[str] = []
        for name in self._view.table.walk_ring(ring, self._view.me.name):
            if self._is_unresponsive(name):
                continue
            names.append(name)
            if len(names) >= min(len(unresponsive), _MAX_SUCCESSORS):
                break
        return names

    def _is_unresponsive(self, name: str) -> bool:
        """Return whether a member is suspected or did not answer its last ping."""
        return self._view.is_suspected(name) or self._probes.is_unresponsive(name)

    def list_contacts(self) -> list[str]:
        """Return one member in each zone of other regions, if this is a gateway."""
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
        """Return whether a message from a member of a region arrived recently."""
        horizon_s = now_s - _RECENT_INTERVALS * self._settings.probe_interval_s
        for name, last_seen_s in self._last_seen_s.items():
            member = self._view.table.get(name)
            if last_seen_s < horizon_s or member is None:
                continue
            if member.description.region == region:
                return True
        return False

    def advance_contact(self, zone: str) -> None:
        """Switch to the zone's next member; the current one may have died meanwhile."""
        self._contact_offset[zone] = self._contact_offset.get(zone, 0) + 1

    def list_links(self, now_s: float) -> list[str]:
        """Return the members that this daemon currently exchanges probes with."""
        names: dict[str, None] = {}
        for ring in range(self._settings.rings):
            for name in self.list_probe_targets(ring)[-1:]:
                names[name] = None
        names.update(dict.fromkeys(self.list_contacts()))
        horizon_s = now_s - 3 * self._settings.probe_interval_s
        for name in reversed(self._last_seen_s):
            is_recent = self._last_seen_s[name] >= horizon_s
            if not is_recent or len(names) >= self._settings.max_links:
                break
            # Messages to dead members count as transmissions; after the loss of half
            # of the members, half of the transmissions would be wasted.
            if self._view.table.get(name) is not None and not self._is_unresponsive(
                name
            ):
                names[name] = None
        return list(names)

    def choose_helpers(self, probed_name: str, now_s: float) -> list[str]:
        """Return members that can probe another one on behalf of this daemon."""
        names = [
            name
            for name in self.list_links(now_s)
            if name != probed_name and name not in self._probes
        ]
        if len(names) < self._settings.indirect_probes:
            names = [name for name in self.list_peers() if name != probed_name]
        count = min(self._settings.indirect_probes, len(names))
        return self._random.sample(names, count)

    def choose_sync_partner(self) -> str | None:
        """Return a random member to compare tables with.

        Sometimes it is a member that is considered dead, because the two sides of a
        healed network partition would otherwise never merge.
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
