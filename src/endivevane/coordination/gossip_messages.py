"""Messages of the failure detector."""

from __future__ import annotations

import dataclasses

from endivevane.coordination import members


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Header of every message between members.

    :param known_revision: highest configuration revision that the sender knows of
    :param applied_revision: configuration revision in force at the sender
    :param updates: piggybacked membership updates
    """

    sender: str
    incarnation: int
    known_revision: int = 0
    applied_revision: int = 0
    updates: tuple[members.Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Direct probe, which the receiver answers with an :class:`Ack`."""

    header: Header
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Answers a ping, or reports that an indirectly probed member answered."""

    header: Header
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver to ping a member on behalf of the sender."""

    header: Header
    sequence: int
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Updates that should not wait for the next probe."""

    header: Header


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks for the receiver's whole table if its digest differs.

    :param digest: digest of the sender's table
    """

    header: Header
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class SyncRows:
    """The sender's whole table, carried in the updates of the header.

    :param is_answer_wanted: whether the receiver should answer with its own table
    """

    header: Header
    is_answer_wanted: bool


Message = Ping | Ack | ProbeRequest | Gossip | SyncRequest | SyncRows


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message for the transport to send to a member."""

    receiver: str
    message: Message
