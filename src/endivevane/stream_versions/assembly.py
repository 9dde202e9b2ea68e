"""The parts of stream versions of one daemon, put together."""

from __future__ import annotations

import asyncio
from collections import abc

from endivevane import logs
from endivevane.serving import (
    copy_age,
    failures,
    peer_registry,
    store,
    store_clock,
    target_registry,
)
from endivevane.stream_versions import (
    plan_reader,
    plan_table,
    plan_writer,
    records,
    service,
)

_LOAD_RETRY_S = 0.1


class StreamVersionParts:
    """Loads, follows and writes the plans of a daemon.

    :param list_services: returns the services whose streams may be resumed
    :param on_loaded: called once the plans are loaded
    :ivar service: what serving asks for the versions of streams
    """

    def __init__(
        self,
        identity: peer_registry.Identity,
        peers: peer_registry.PeerRegistry,
        targets: target_registry.TargetRegistry,
        row_store: store.Store,
        clock: store_clock.StoreClock,
        list_services: abc.Callable[[], abc.Set[str]],
        on_loaded: abc.Callable[[], None],
    ) -> None:
        self._on_loaded = on_loaded
        self._table = plan_table.PlanTable()
        self._reader = plan_reader.PlanReader(
            row_store, self._table, lambda: len(peers.peers) + 1
        )
        stream_records = records.StreamRecords(
            row_store, clock, lambda: len(peers.peers) + 1
        )
        self._writer = plan_writer.PlanWriter(
            identity, peers, targets, row_store, self._table, clock, list_services
        )
        self.service = service.StreamVersions(
            targets, peers, self._table, self._reader, stream_records, clock
        )

    @property
    def is_loaded(self) -> bool:
        """Whether the plans have been read since the start."""
        return self._table.is_loaded

    def follow(self, feed_age: copy_age.CopyAge, targets_age: copy_age.CopyAge) -> None:
        """Take plans and targets for as old as the feeds that hand over their rows."""
        self._table.follow(feed_age)
        self._writer.follow(targets_age)

    def apply_row(self, row: store.Row) -> None:
        """Apply the row of a plan."""
        self._table.apply_row(row)

    async def run(self) -> None:
        """Load the plans, and write them when they change, until cancelled."""
        while not await self._load():
            await asyncio.sleep(_LOAD_RETRY_S)
        self._on_loaded()
        await self._writer.run()

    async def _load(self) -> bool:
        """Read all plans; return whether the store, or a relay, has answered."""
        try:
            await self._reader.load()
        except failures.StoreFailure as error:
            logs.limited_info("version_plans_not_read", cause=error)
            return False
        return True
