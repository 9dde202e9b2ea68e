"""Registration of daemons in the store."""

from __future__ import annotations

import asyncio
import secrets
from collections import abc

import orjson

from endivevane import exceptions, json_fields, logs
from endivevane.entry import settings
from endivevane.serving import failures, full_read, jobs, peer_registry, store

_RETRY_S = 0.5
# After this time the other tables are read without knowing the other daemons. While the
# link to the store is full, these few bytes take a part of it.
_MAX_LOAD_S = 2.0
_MAX_NAME_CHARACTERS = 200
# Above the cores of any VM.
_MAX_WEIGHT = 65_536.0


class Membership:
    """Registers this daemon in the store and applies the rows of the others."""

    def __init__(
        self,
        identity: peer_registry.Identity,
        registry: peer_registry.PeerRegistry,
        rows: store.Store,
    ) -> None:
        self._identity = identity
        self._peer_registry = registry
        self._store = rows

    async def join(self) -> None:
        """Write the row of this daemon; retry until the store accepts it."""
        identity = self._identity
        key = store.RowKey(
            jobs.STATE_TABLE, jobs.PARTITION, jobs.MEMBER_PREFIX + identity.name
        )
        value = encode_member(identity)
        while True:
            try:
                await self._store.apply(store.Transaction(puts=((key, value),)))
            except exceptions.EndivevaneError as error:
                logs.limited_info("join_delayed", cause=error)
                await asyncio.sleep(_RETRY_S)
                continue
            return

    async def load(self, apply_row: abc.Callable[[store.Row], object]) -> None:
        """Read the rows of all daemons, unless the store fails.

        They tell where a daemon that has just started reads the other tables.

        :param apply_row: applies a row unless a newer version of it is known; a copy
            that is read later may be older
        """
        try:
            async with asyncio.timeout(_MAX_LOAD_S):
                found = await self._read_members()
        except (failures.StoreFailure, TimeoutError) as error:
            logs.info("members_not_loaded", cause=repr(error))
            return
        for row in found.rows:
            apply_row(row)

    async def _read_members(self) -> full_read.JoinedRows:
        """Return the rows of all daemons; repeat reads that are late.

        :raises failures.StoreFailure: when a read fails otherwise
        """
        while True:
            try:
                return await full_read.read_all(
                    self._store,
                    jobs.STATE_TABLE,
                    jobs.PARTITION,
                    jobs.MEMBER_PREFIX,
                    jobs.MEMBER_END,
                )
            except failures.StoreFailure as error:
                if error.cause != TimeoutError.__name__:
                    raise
                logs.limited_info("members_delayed", cause=error.format_message())

    def apply(self, row: store.Row) -> None:
        """Apply the row of a daemon, or its deletion."""
        name = row.row_key.key.removeprefix(jobs.MEMBER_PREFIX)
        if row.value is None:
            self._peer_registry.remove(name)
            return
        try:
            peer = decode_member(name, row.value)
        except exceptions.ProtocolError as error:
            logs.error("member_row_unreadable", member=name, cause=error)
            return
        self._peer_registry.add(peer)


def make_identity(loaded: settings.Settings) -> peer_registry.Identity:
    """Return the identity of a run of the daemon that begins now."""
    return peer_registry.Identity(
        name=loaded.vm.name,
        region=loaded.vm.region,
        incarnation=secrets.token_hex(4),
        host=loaded.vm.ip,
        port=loaded.listen.internal_port,
        weight=loaded.vm.processor_share,
    )


def encode_member(identity: peer_registry.Identity) -> bytes:
    """Return the value of a daemon's row."""
    return orjson.dumps(
        (
            identity.region,
            identity.host,
            identity.port,
            identity.incarnation,
            identity.weight,
        )
    )


def decode_member(name: str, value: bytes) -> peer_registry.Peer:
    """Return the daemon that a row describes.

    :raises exceptions.ProtocolError: when the row is malformed
    """
    try:
        fields = json_fields.read_list(orjson.loads(value))
        region, host, port, incarnation, weight = fields
        return peer_registry.Peer(
            name,
            json_fields.read_text(region, _MAX_NAME_CHARACTERS),
            json_fields.read_ip(host),
            json_fields.read_port(port),
            json_fields.read_text(incarnation, _MAX_NAME_CHARACTERS),
            weight=json_fields.read_number(weight, 0.0, _MAX_WEIGHT),
        )
    except ValueError as error:
        raise exceptions.ProtocolError(
            name, f"malformed daemon row: {error}"
        ) from error
