"""Plans and records of streams in the platform's store."""

from __future__ import annotations

import dataclasses
import typing

import orjson
import xxhash

from endivevane import exceptions, json_fields
from endivevane.serving import jobs, store
from endivevane.stream_versions import plan as plans

PLAN_PREFIX = "versions/"
# First key behind those of the plans.
PLAN_END = "versions0"
RECORD_TABLE = "streams"
# Keys of rows have at most 200 bytes on the platform.
_MAX_NAME_BYTES = 150
_MAX_SLOTS = 1 << 32


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """The version of one stream.

    :param written_ms: time of the store's clock
    """

    version: str
    written_ms: int


def make_plan_key(service: str) -> store.RowKey:
    """Return the key of a service's plan; long names become digests."""
    name = service
    if len(service.encode()) > _MAX_NAME_BYTES:
        name = xxhash.xxh3_128_hexdigest(service)
    return store.RowKey(jobs.STATE_TABLE, jobs.PARTITION, PLAN_PREFIX + name)


def encode_plan(plan: plans.Plan) -> bytes:
    """Return the value of a plan's row."""
    return orjson.dumps([(epoch.ended_ms, epoch.shares) for epoch in plan.epochs])


def decode_plan(key: str, value: bytes) -> plans.Plan:
    """Return the plan of a row.

    :raises exceptions.ProtocolError: when it is malformed
    """
    try:
        entries = json_fields.read_list(orjson.loads(value))
        epochs = tuple(_read_epoch(entry) for entry in entries)
    except ValueError as error:
        raise exceptions.ProtocolError(key, f"malformed plan: {error}") from error
    is_open = [epoch.ended_ms is None for epoch in epochs]
    if not epochs or not is_open[-1] or any(is_open[:-1]) or not epochs[-1].shares:
        raise exceptions.ProtocolError(key, "a plan ends with the epoch in force")
    return plans.Plan(epochs)


def _read_epoch(entry: typing.Any) -> plans.Epoch:
    ended_ms, shares = json_fields.read_list(entry)
    return plans.Epoch(
        {
            version: json_fields.read_integer(slots, 1, _MAX_SLOTS)
            for version, slots in json_fields.read_object(shares).items()
        },
        None if ended_ms is None else json_fields.read_count(ended_ms),
    )


def make_record_key(service: str, attempt: str) -> store.RowKey:
    """Return the key of a stream's record.

    Ids of attempts are the clients' and may be longer than keys.
    """
    digest = xxhash.xxh3_128_hexdigest(f"{len(service)}:{service}{attempt}")
    return store.RowKey(RECORD_TABLE, RECORD_TABLE, digest)


def encode_record(record: StreamRecord) -> bytes:
    """Return the value of a stream's record."""
    return orjson.dumps((record.version, record.written_ms))


def decode_record(key: str, value: bytes) -> StreamRecord:
    """Return the record of a row.

    :raises exceptions.ProtocolError: when it is malformed
    """
    try:
        version, written_ms = json_fields.read_list(orjson.loads(value))
        return StreamRecord(
            json_fields.read_text(version),
            json_fields.read_count(written_ms),
        )
    except ValueError as error:
        raise exceptions.ProtocolError(key, f"malformed record: {error}") from error


def is_expired(row: store.Row, before_ms: int) -> bool:
    """Return whether a record is older than a time, or can't be read."""
    try:
        record = decode_record(row.row_key.key, row.value or b"")
    except exceptions.ProtocolError:
        return True
    return record.written_ms < before_ms
