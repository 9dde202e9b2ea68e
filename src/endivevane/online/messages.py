"""Messages that other threads post to the relay."""

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
    """The configuration has changed."""

    snapshot: snapshot.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsLeaving:
    """The set of draining targets has changed; replaces the earlier set."""

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
    """A daemon has quarantined a fingerprint or seen it crash a target.

    :param until_wall_ms: end of the quarantine, or the negated time of a single crash
    :param target_name: target that crashed, empty if unknown
    """

    fingerprint: str
    until_wall_ms: int
    target_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A connection to an engine is open and the call has been sent on it.

    :param call_number: number of the call, to recognise outdated messages
    """

    attempt: contract.Attempt
    call_number: int
    sock: socket.socket


@dataclasses.dataclass(frozen=True, slots=True)
class OpenFailed:
    """A call to an engine could not be sent.

    :param was_sent: whether a part of the call may have reached the engine
    """

    attempt: contract.Attempt
    call_number: int
    was_sent: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromptReady:
    """A handover has ended, and the attempt may be sent to its target.

    :param has_crashed: whether the engine crashed while it computed the prompt
    """

    attempt: contract.Attempt
    call_number: int
    body: bytes
    has_crashed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelMissed:
    """An engine did not know an attempt that was to be cancelled."""

    address: types.Address
    attempt_id: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Refuse new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Break off open streams and stop the thread."""
