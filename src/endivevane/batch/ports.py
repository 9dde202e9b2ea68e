"""Interfaces that batch work needs from the rest of the daemon."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

import result

from endivevane.configuration import snapshot
from endivevane.external import engine, objects

YIELD_SLOTS = "yield_slots"
ONLINE_USE = "online_use"
JOB_CANCELLED = "job_cancelled"

MessageHandler = abc.Callable[[str, dict[str, typing.Any]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """The session of this daemon.

    :param epoch: grows each time the daemon starts or loses its lease
    :param is_valid: whether the lease is valid by the daemon's own clock
    """

    daemon: str
    epoch: int
    is_valid: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live daemon.

    :param region: empty when unknown
    """

    name: str
    epoch: int
    region: str = ""


class Cluster(typing.Protocol):
    """Membership, session, configuration and messaging of this daemon."""

    def session(self) -> Session:
        """Return the session of this daemon."""

    def live_members(self) -> abc.Sequence[Member]:
        """Return the live daemons, including this one."""

    def is_gone(self, owner: str, epoch: int) -> bool:
        """Tell whether a daemon's epoch is dead, expired or superseded."""

    def snapshot(self) -> snapshot.Snapshot:
        """Return the current configuration."""

    def send(self, daemon: str, kind: str, body: dict[str, typing.Any]) -> None:
        """Send a message to a daemon without waiting for delivery."""

    def register(self, kind: str, handler: MessageHandler) -> None:
        """Register a handler, called with sender and body of each message of a kind.

        The handler is called on the cluster's thread and must not block.
        """


class Loads(typing.Protocol):
    """Access to the load reports of the engines."""

    def load_report(self, target_name: str) -> engine.LoadReport | None:
        """Return the latest report of a target, or ``None``."""


class Quarantine(typing.Protocol):
    """Registry of requests that crash targets."""

    def make_fingerprint(self, model: str, body: dict[str, typing.Any]) -> str:
        """Return the fingerprint of a request."""

    def remaining_s(self, fingerprint: str) -> float:
        """Return the remaining quarantine of a fingerprint; zero when there is none."""

    def record_death(
        self, fingerprint: str, target_name: str, started_s: float
    ) -> None:
        """Record the crash of a target that was running the fingerprint.

        :param started_s: monotonic start time of the run
        """


class ObjectStore(typing.Protocol):
    """The methods of :class:`objects.ObjectClient` that batch work uses."""

    def put(
        self, key: str, data: bytes, create_only: bool = False
    ) -> result.Result[None, objects.ObjectStoreError]:
        """Write an object."""

    def get(self, key: str) -> result.Result[bytes, objects.ObjectStoreError]:
        """Return the bytes of an object."""

    def delete(self, key: str) -> result.Result[None, objects.ObjectStoreError]:
        """Delete an object; deleting a missing one succeeds."""

    def list(
        self, prefix: str
    ) -> result.Result[list[objects.ObjectInfo], objects.ObjectStoreError]:
        """Return the objects whose keys start with the prefix."""
