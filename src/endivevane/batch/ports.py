"""What batch work needs from the rest of the daemon."""

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
    """The daemon's own lease.

    :param epoch: grows each time the daemon starts or loses its lease
    :param is_valid: whether the lease still holds on the daemon's own clock
    """

    daemon: str
    epoch: int
    is_valid: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live daemon.

    :param region: empty when it is not known
    """

    name: str
    epoch: int
    region: str = ""


class Cluster(typing.Protocol):
    """Membership, session, configuration and messages of the daemon."""

    def session(self) -> Session:
        """Return the daemon's own lease."""

    def live_members(self) -> abc.Sequence[Member]:
        """Return the live daemons, this one included."""

    def is_gone(self, owner: str, epoch: int) -> bool:
        """Tell whether a daemon's epoch is dead, lapsed or replaced by a higher one."""

    def snapshot(self) -> snapshot.Snapshot:
        """Return the configuration in force."""

    def send(self, daemon: str, kind: str, body: dict[str, typing.Any]) -> None:
        """Send a message to a daemon, without waiting for delivery."""

    def register(self, kind: str, handler: MessageHandler) -> None:
        """Call a function with sender and body of each message of a kind.

        The function is called on the cluster's thread and must return fast.
        """


class Loads(typing.Protocol):
    """Load reports of the engines."""

    def load_report(self, target_name: str) -> engine.LoadReport | None:
        """Return the last report of a target, ``None`` when there is none."""


class Quarantine(typing.Protocol):
    """What is known of requests that crash targets."""

    def make_fingerprint(self, model: str, body: dict[str, typing.Any]) -> str:
        """Return the fingerprint of a call."""

    def remaining_s(self, fingerprint: str) -> float:
        """Return how long a fingerprint stays quarantined, zero when it is not."""

    def record_death(
        self, fingerprint: str, target_name: str, started_s: float
    ) -> None:
        """Count the death of a target that was running the fingerprint.

        :param started_s: monotonic time when the run began
        """


class ObjectStore(typing.Protocol):
    """The calls of :class:`objects.ObjectClient` that batch work needs."""

    def put(
        self, key: str, data: bytes, create_only: bool = False
    ) -> result.Result[None, objects.ObjectStoreError]:
        """Write an object."""

    def get(self, key: str) -> result.Result[bytes, objects.ObjectStoreError]:
        """Return the bytes of an object."""

    def delete(self, key: str) -> result.Result[None, objects.ObjectStoreError]:
        """Delete an object; a missing one counts as deleted."""

    def list(
        self, prefix: str
    ) -> result.Result[list[objects.ObjectInfo], objects.ObjectStoreError]:
        """Return the objects whose key has the prefix."""
