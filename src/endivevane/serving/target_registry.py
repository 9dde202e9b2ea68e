"""Registry of the targets, fed by their registrations in the store."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
from collections import abc

from endivevane import exceptions, logs
from endivevane.serving import model, store, target_health

# Registrations that expired while the store was unavailable are renewed within this
# time of its recovery; a target whose registration is still missing then is gone.
_RECOVERY_GRACE_S = 2.2

_EXPIRY_POLL_S = 0.5
# Maximum number of target runs that are remembered as draining.
_MAX_REMEMBERED = 1024

Decoder = abc.Callable[[str, bytes], model.Target]


@dataclasses.dataclass(slots=True)
class KnownTarget:
    """A registered target and its state as seen by this daemon.

    :param removal_due_s: monotonic time at which it is dropped unless it registers
        again, ``None`` while it is registered
    :param has_reported_draining: whether one of its responses said that it drains
    """

    target: model.Target
    health: target_health.TargetHealth
    removal_due_s: float | None = None
    has_reported_draining: bool = False

    @property
    def is_draining(self) -> bool:
        """Whether it gets no new work, by its registration or its responses."""
        return self.has_reported_draining or self.target.is_draining


class TargetRegistry:
    """Holds the targets by service and by id.

    :ivar revision: incremented when which targets are usable, or their slots or
        versions, may have changed
    """

    def __init__(self, decode: Decoder) -> None:
        self.revision = 0
        self._decode = decode
        self._targets: dict[str, KnownTarget] = {}
        self._by_service: dict[str, dict[str, KnownTarget]] = collections.defaultdict(
            dict
        )
        self._grace_until_s = 0.0
        # Runs of targets whose responses said that they drain, as (id, start time);
        # their registrations may expire and come back meanwhile.
        self._reported_draining: collections.deque[tuple[str, int]]
        self._reported_draining = collections.deque(maxlen=_MAX_REMEMBERED)
        self._removal_callbacks: list[abc.Callable[[model.Target], None]] = []

    def add_removal_callback(
        self, callback: abc.Callable[[model.Target], None]
    ) -> None:
        """Call a function for each target that is removed."""
        self._removal_callbacks.append(callback)

    def record_store_recovery(self, now_s: float) -> None:
        """Start the grace period for expired registrations after a store outage."""
        self._grace_until_s = now_s + _RECOVERY_GRACE_S

    def apply(self, row: store.Row, now_s: float) -> None:
        """Apply a registration or its deletion."""
        target_id = row.row_key.key
        if row.value is None:
            self._expire(target_id, now_s)
            return
        try:
            target = self._decode(target_id, row.value)
        except exceptions.ProtocolError as error:
            logs.warning("target_entry_unusable", target=target_id, cause=error)
            self._remove(target_id, "unusable entry")
            return
        known = self._targets.get(target_id)
        if known is not None and known.target.started_ms != target.started_ms:
            self._remove(target_id, "restarted under its id")
            known = None
        if known is None:
            known = KnownTarget(target, target_health.TargetHealth())
            run = (target_id, target.started_ms)
            known.has_reported_draining = run in self._reported_draining
            self._targets[target_id] = known
            self.revision += 1
            logs.info(
                "target_registered",
                target=target_id,
                service=target.service,
                software=target.version,
                version=row.version,
                leaving=target.is_draining,
            )
        elif known.target.is_draining != target.is_draining:
            logs.info(
                "target_changed",
                target=target_id,
                leaving=target.is_draining,
                version=row.version,
            )
        if _describe_work(known.target) != _describe_work(target):
            self.revision += 1
        self._by_service[known.target.service].pop(target_id, None)
        known.target = target
        known.removal_due_s = None
        self._by_service[target.service][target_id] = known

    def drop_expired(self, now_s: float) -> None:
        """Remove the targets whose registration was not renewed in time."""
        for target_id, known in list(self._targets.items()):
            if known.removal_due_s is not None and now_s >= known.removal_due_s:
                self._remove(target_id, "registration did not come back")

    async def run_expiry(self) -> None:
        """Remove targets whose registration was not renewed, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_POLL_S)
            self.drop_expired(time.monotonic())

    def find(self, target_id: str) -> KnownTarget | None:
        """Return a target, ``None`` if it is not registered."""
        return self._targets.get(target_id)

    def list_usable(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that may get new work."""
        return [
            known
            for known in self._by_service.get(service, {}).values()
            if not known.is_draining
        ]

    def list_service(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service, including draining ones."""
        return list(self._by_service.get(service, {}).values())

    def list_all(self) -> list[KnownTarget]:
        """Return every target, including draining ones."""
        return list(self._targets.values())

    def record_draining(self, known: KnownTarget) -> None:
        """Give a target no new work, since one of its responses said that it drains.

        The mark applies to this run of the target only: a later run under the same id
        counts as another target.
        """
        if known.has_reported_draining:
            return
        known.has_reported_draining = True
        self.revision += 1
        self._reported_draining.append(
            (known.target.target_id, known.target.started_ms)
        )
        logs.info(
            "target_said_leaving",
            target=known.target.target_id,
            registered_leaving=known.target.is_draining,
        )

    def record_ended(self, run_key: str, now_s: float) -> None:
        """Give a target no new work, since one run of it has ended."""
        known = self._targets.get(run_key.rpartition("/")[0])
        if known is not None and known.target.run_key == run_key:
            known.health.record_ended(now_s)

    def record_replaced(self, target: model.Target) -> None:
        """Remove a target whose address now belongs to another one."""
        self._remove(target.target_id, "address has another target")

    def _expire(self, target_id: str, now_s: float) -> None:
        known = self._targets.get(target_id)
        if known is None:
            return
        if now_s < self._grace_until_s:
            known.removal_due_s = self._grace_until_s
            return
        self._remove(target_id, "registration ended")

    def _remove(self, target_id: str, cause: str) -> None:
        known = self._targets.pop(target_id, None)
        if known is None:
            return
        self.revision += 1
        self._by_service[known.target.service].pop(target_id, None)
        logs.info("target_dropped", target=target_id, cause=cause)
        for callback in self._removal_callbacks:
            callback(known.target)


def _describe_work(target: model.Target) -> tuple[str, str, int, bool]:
    """Return what decides which work a target gets."""
    return target.service, target.version, target.slots, target.is_draining
