"""The rows by which daemons find each other in the store."""

from __future__ import annotations

import asyncio

import orjson

from endivevane import exceptions, logs
from endivevane.serving import jobs, roster, store

_RETRY_S = 0.5


class Membership:
    """Names this daemon in the store and takes in the rows of the others."""

    def __init__(
        self, identity: roster.Identity, members: roster.Roster, rows: store.Store
    ) -> None:
        self._identity = identity
        self._roster = members
        self._store = rows

    async def join(self) -> None:
        """Write the row of this daemon."""
        identity = self._identity
        key = store.RowKey(
            jobs.STATE_TABLE, jobs.PARTITION, jobs.MEMBER_PREFIX + identity.name
        )
        value = orjson.dumps(
            (
                identity.region,
                identity.host,
                identity.port,
                identity.incarnation,
                identity.weight,
            )
        )
        while True:
            try:
                await self._store.apply(store.Transaction(puts=((key, value),)))
            except exceptions.EndivevaneError as error:
                logs.limited_info("join_delayed", cause=error)
                await asyncio.sleep(_RETRY_S)
                continue
            return

    def apply(self, row: store.Row) -> None:
        """Take in the row of a daemon."""
        name = row.row_key.key.removeprefix(jobs.MEMBER_PREFIX)
        if row.value is None:
            self._roster.remove(name)
            return
        try:
            region, host, port, incarnation, *weight = orjson.loads(row.value)
            peer = roster.Peer(
                name, str(region), str(host), int(port), str(incarnation)
            )
            if weight:
                peer.weight = float(weight[0])
        except (TypeError, ValueError) as error:
            logs.error("member_row_unreadable", member=name, cause=error)
            return
        self._roster.add(peer)
