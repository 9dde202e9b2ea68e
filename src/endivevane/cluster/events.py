"""Events that a cluster task reports to its subscribers."""

from __future__ import annotations

import dataclasses
import typing

from endivevane.configuration import snapshot
from endivevane.coordination import members


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A higher configuration revision is in force."""

    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Members were added or changed.

    :param changed: the members concerned, in their new state
    """

    changed: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmsChanged:
    """The set of VMs that the platform lists as leaving has changed."""

    leaving: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another daemon for some part of this one."""

    sender: str
    kind: str
    body: dict[str, typing.Any]


Event = ConfigurationChanged | MembersChanged | VmsChanged | PeerMessage
