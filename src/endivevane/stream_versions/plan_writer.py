"""Keeping the plans in line with the targets that serve."""

from __future__ import annotations

import asyncio
import collections
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.coordination import rendezvous
from endivevane.serving import (
    copy_age,
    failures,
    page_reader,
    peer_registry,
    store,
    store_clock,
    target_registry,
)
from endivevane.stream_versions import plan as plans
from endivevane.stream_versions import plan_table, rows

_TICK_S = 0.05
# A change waits this long, so that several at once become one.
_SETTLE_S = 0.05
# How much longer each daemon leaves a change to those that rank before it.
_RANK_DELAY_S = 0.25
_MAX_DELAY_S = 4.0
_MIN_WRITE_INTERVAL_S = 0.2
_RETRY_S = 0.5
# No plan is written from a copy of the targets that is older; a long poll takes 2 s.
_MAX_TARGETS_AGE_S = 4.0
# Epochs matter while a stream that began in them may go on.
KEEP_MS = 120_000
# Records are deleted once they are this old, by who wrote the last plan.
_SWEEP_INTERVAL_S = 60.0
_MAX_DELETES = 100


class PlanWriter:
    """Writes a new epoch when the versions that serve, or their shares, have changed.

    :param list_services: returns the services whose streams may be resumed
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        peers: peer_registry.PeerRegistry,
        targets: target_registry.TargetRegistry,
        row_store: store.Store,
        table: plan_table.PlanTable,
        clock: store_clock.StoreClock,
        list_services: abc.Callable[[], abc.Set[str]],
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._targets = targets
        self._store = row_store
        self._table = table
        self._clock = clock
        self._list_services = list_services
        # Service whose plan is out of date -> monotonic time at which to write it.
        self._due_s: dict[str, float] = {}
        self._not_before_s = 0.0
        self._sweep_due_s = float("inf")
        self._seen: object = None
        self._targets_age = copy_age.CopyAge()

    def follow(self, targets_age: copy_age.CopyAge) -> None:
        """Take the targets for as old as the feed that hands over their rows."""
        self._targets_age = targets_age

    async def run(self) -> None:
        """Write plans until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            await self.write_due(time.monotonic())
            if time.monotonic() >= self._sweep_due_s:
                await self._sweep()

    async def write_due(self, now_s: float) -> None:
        """Write the plans that have been out of date for long enough."""
        self._find_outdated(now_s)
        if now_s < self._not_before_s or not self._table.is_loaded:
            return
        if self._due_s and self._targets_age.measure_s() > _MAX_TARGETS_AGE_S:
            # Another daemon would write the change back.
            return
        for service, due_s in list(self._due_s.items()):
            if now_s >= due_s:
                await self._write(service)

    def count_slots(self, service: str) -> dict[str, int]:
        """Return the slots of a service's usable targets, by version."""
        shares: collections.Counter[str] = collections.Counter()
        for known in self._targets.list_usable(service):
            shares[known.target.version] += known.target.slots
        return {version: slots for version, slots in shares.items() if slots}

    def _find_outdated(self, now_s: float) -> None:
        """Note which plans differ from what serves, and when to write them."""
        services = self._list_services()
        seen = (self._targets.revision, self._table.revision, services)
        if seen == self._seen:
            return
        self._seen = seen
        for service in services:
            plan = self._table.find(service)
            if not plans.needs_change(plan, self.count_slots(service)):
                self._due_s.pop(service, None)
            elif service not in self._due_s:
                self._due_s[service] = now_s + self._find_delay_s(service, now_s)
        for service in self._due_s.keys() - services:
            del self._due_s[service]

    def _find_delay_s(self, service: str, now_s: float) -> float:
        """Return how long this daemon leaves a change to the others."""
        if self._peers.is_stopping:
            return _MAX_DELAY_S
        own_score = rendezvous.score(service, self._identity.name)
        before = sum(
            1
            for peer in self._peers.peers.values()
            if not peer.is_stopping
            and not peer.is_lost(now_s)
            and rendezvous.score(service, peer.name) > own_score
        )
        return min(_MAX_DELAY_S, _SETTLE_S + before * _RANK_DELAY_S)

    async def _write(self, service: str) -> None:
        now_ms = self._clock.read_ms()
        shares = self.count_slots(service)
        known = self._table.find(service)
        if now_ms is None or not plans.needs_change(known, shares):
            return
        self._not_before_s = time.monotonic() + _MIN_WRITE_INTERVAL_S
        changed = plans.advance(known, shares, now_ms, KEEP_MS)
        key, value = rows.make_plan_key(service), rows.encode_plan(changed)
        condition = store.Condition(key, self._table.find_row_version(service))
        transaction = store.Transaction((condition,), ((key, value),))
        try:
            answer = await self._store.apply(transaction)
        except failures.StoreFailure as error:
            logs.limited_info("version_plan_not_written", cause=error)
            self._not_before_s = time.monotonic() + _RETRY_S
            return
        if isinstance(answer, store.Conflict):
            current = answer.find(key)
            if current is not None:
                self._table.apply_row(current)
            metrics.VERSION_PLANS.labels("conflict").inc()
            return
        metrics.VERSION_PLANS.labels("written").inc()
        logs.info(
            "version_plan_written",
            service=service,
            shares=",".join(f"{name}:{slots}" for name, slots in shares.items()),
            epochs=len(changed.epochs),
            version=answer.version,
        )
        self._table.apply_row(store.Row(key, value, answer.version))
        self._sweep_due_s = time.monotonic() + _SWEEP_INTERVAL_S

    async def _sweep(self) -> None:
        """Delete the records of streams that have ended."""
        self._sweep_due_s = float("inf")
        now_ms = self._clock.read_ms()
        try:
            has_kept = await self._delete_expired(now_ms)
        except failures.StoreFailure as error:
            logs.limited_info("stream_records_kept", cause=error)
            self._sweep_due_s = time.monotonic() + _SWEEP_INTERVAL_S
            return
        if has_kept:
            self._sweep_due_s = time.monotonic() + _SWEEP_INTERVAL_S

    async def _delete_expired(self, now_ms: int | None) -> bool:
        """Delete the expired records, page by page; return whether others are kept."""
        has_kept = False
        reader = page_reader.PageReader(
            self._store, rows.RECORD_TABLE, rows.RECORD_TABLE
        )
        while not reader.is_complete:
            page = await reader.read_next()
            expired = [
                row.row_key
                for row in page.rows
                if now_ms is not None and rows.is_expired(row, now_ms - KEEP_MS)
            ]
            has_kept = has_kept or len(expired) < len(page.rows)
            for start in range(0, len(expired), _MAX_DELETES):
                deletes = tuple(expired[start : start + _MAX_DELETES])
                await self._store.apply(store.Transaction(deletes=deletes))
        return has_kept
