"""Members of the cluster and the precedence rules for updates about them."""

from __future__ import annotations

import bisect
import dataclasses
import enum
import functools
import hashlib
from collections import abc


class MemberState(enum.IntEnum):
    """State of a member; within one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """Location and address of a member.

    :param address: ``host:port`` for messages between daemons
    :param public_key: CURVE key in Z85 text; empty for plain connections
    """

    address: str
    zone: str
    region: str
    public_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member as this process sees it.

    :param since_s: local monotonic time at which the state was set
    """

    name: str
    incarnation: int
    state: MemberState
    description: Description
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A membership update.

    :param description: present in updates that may introduce the member
    """

    name: str
    incarnation: int
    state: MemberState
    description: Description | None = None


def supersedes(update: Update, member: Member) -> bool:
    """Return whether an update supersedes the known state of a member."""
    if update.incarnation != member.incarnation:
        return update.incarnation > member.incarnation
    return update.state > member.state


def make_update(member: Member, with_description: bool = True) -> Update:
    """Return an update with the known state of a member."""
    description = member.description if with_description else None
    return Update(member.name, member.incarnation, member.state, description)


@functools.lru_cache(maxsize=8192)
def rank_name(name: str, salt: str) -> int:
    """Return the position of a name in the hash order selected by the salt."""
    return int.from_bytes(_hash_text(f"{salt}:{name}"), "big")


def _hash_text(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class MemberTable:
    """All known members, with hash rings over those of one region.

    Each ring is a different hash order. A member watches its successor in each ring,
    so every member has as many watchers as there are rings, and the union of the rings
    is a random graph whose diameter grows with the logarithm of its size.

    :param region: region whose members are in the rings
    :param rings: number of rings
    """

    def __init__(self, region: str, rings: int) -> None:
        self._region = region
        self._members: dict[str, Member] = {}
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(rings)]
        self._zones: dict[str, list[str]] = {}
        self._zone_regions: dict[str, str] = {}
        self._digest: int | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> abc.Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return a member, or ``None`` when the name is unknown."""
        return self._members.get(name)

    def put(self, member: Member) -> None:
        """Add or replace a member."""
        before = self._members.get(member.name)
        self._members[member.name] = member
        self._clear_caches()
        was_in_rings = before is not None and self._is_in_rings(before)
        if self._is_in_rings(member) == was_in_rings:
            return
        self._update_rings(member.name, not was_in_rings)

    def remove(self, name: str) -> None:
        """Remove a member."""
        member = self._members.pop(name, None)
        self._clear_caches()
        if member is not None and self._is_in_rings(member):
            self._update_rings(name, False)

    def walk_ring(self, ring: int, name: str) -> abc.Iterator[str]:
        """Yield the successors of a name in ring order, once around."""
        order = self._rings[ring]
        if not order:
            return
        start = bisect.bisect_right(order, (rank_name(name, str(ring)), name))
        for offset in range(len(order)):
            other = order[(start + offset) % len(order)][1]
            if other == name:
                return
            yield other

    def list_zone(self, zone: str) -> list[str]:
        """Return the names of the zone's live members in gateway order."""
        names = self._zones.get(zone)
        if names is None:
            names = [
                member.name
                for member in self._members.values()
                if member.description.zone == zone
                and member.state <= MemberState.SUSPECT
            ]
            names.sort(key=lambda name: rank_name(name, "gateway"))
            self._zones[zone] = names
        return names

    def map_zones(self) -> abc.Mapping[str, str]:
        """Return the region of each zone with at least one member that is not dead."""
        if not self._zone_regions:
            self._zone_regions = {
                member.description.zone: member.description.region
                for member in self._members.values()
                if member.state is not MemberState.DEAD
            }
        return self._zone_regions

    def compute_digest(self) -> int:
        """Return a digest of the members that are not dead.

        Suspicion is not part of it, since it is temporary and differs between members.
        """
        if self._digest is not None:
            return self._digest
        digest = 0
        for member in self._members.values():
            if member.state is MemberState.DEAD:
                continue
            is_leaving = member.state is MemberState.LEAVING
            text = f"{member.name}:{member.incarnation}:{is_leaving}"
            digest ^= int.from_bytes(_hash_text(text), "big")
        self._digest = digest
        return digest

    def _clear_caches(self) -> None:
        """Discard the values derived from the members, after a change."""
        self._zones.clear()
        self._zone_regions = {}
        self._digest = None

    def _is_in_rings(self, member: Member) -> bool:
        return (
            member.state is not MemberState.DEAD
            and member.description.region == self._region
        )

    def _update_rings(self, name: str, is_added: bool) -> None:
        for ring, order in enumerate(self._rings):
            entry = (rank_name(name, str(ring)), name)
            if is_added:
                bisect.insort(order, entry)
                continue
            index = bisect.bisect_left(order, entry)
            del order[index]
