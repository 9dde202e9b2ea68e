"""Events that a cluster task publishes to its subscribers."""

from __future__ import annotations

import dataclasses
import typing

from endivevane.configuration import snapshot
from endivevane.coordination import members


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A higher configuration revision was applied."""

    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Members joined or changed state.

    :param changed: the affected members, in their new state
    """

    changed: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VmsChanged:
    """The set of VMs that the platform lists as leaving changed."""

    leaving: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """An application message from another daemon."""

    sender: str
    kind: str
    body: dict[str, typing.Any]


Event = ConfigurationChanged | MembersChanged | VmsChanged | PeerMessage
