"""Messages that other tasks post to the relay."""

from __future__ import annotations

import dataclasses
import socket
import typing
from collections import abc

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.external import engine
from endivevane.online import contract
from endivevane.web import server


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Serve a request; the relay owns the caller's connection from now on."""

    request: contract.OnlineRequest
    caller: server.DetachedCaller


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChanged:
    """A new configuration is in force."""

    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsLeaving:
    """The targets that must get no new work; replaces the earlier set."""

    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target has reported its load."""

    target_name: str
    report: engine.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEventsReported:
    """A target has published events of its prefix cache."""

    target_name: str
    events: abc.Sequence[abc.Mapping[str, typing.Any]]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineChanged:
    """A daemon has quarantined a fingerprint or seen it kill a target.

    :param until_wall_ms: end of the quarantine; the negative time of a single death
    :param target_name: target that died, empty when it is not known
    """

    fingerprint: str
    until_wall_ms: int
    target_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A connection to an engine is open and the call has been sent on it.

    :param ticket: number of the call, to recognise one that is no longer wanted
    """

    attempt: contract.Attempt
    ticket: int
    sock: socket.socket


@dataclasses.dataclass(frozen=True, slots=True)
class OpenFailed:
    """A call to an engine could not be sent.

    :param was_sent: whether a part of the call may have reached the engine
    """

    attempt: contract.Attempt
    ticket: int
    was_sent: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromptReady:
    """A hand-over is over, and the attempt may go to its target.

    :param has_died: whether the engine that computed the prompt died of it
    """

    attempt: contract.Attempt
    ticket: int
    body: bytes
    has_died: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelMissed:
    """An engine does not know an attempt yet that is to be cancelled."""

    address: types.Address
    attempt_id: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Break what is open and end the thread."""
