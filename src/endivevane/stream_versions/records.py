"""Records of the streams whose version the plan alone does not tell."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import time
from collections import abc

from endivevane import exceptions, logs, metrics
from endivevane.serving import failures, store, store_clock
from endivevane.stream_versions import rows

# How long a daemon remembers the streams that it has begun.
_REMEMBER_S = 60.0
_MAX_REMEMBERED = 4096
_MAX_BATCH = 100
# Nothing waits for a record for this long after the store has failed to take one.
_FAILING_S = 1.0
# Transactions a second that all daemons together use for records.
_MAX_WRITES_PER_S = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class BegunStream:
    """A stream that this daemon has begun, or gone on with.

    :param attempt: id of the attempt that brought its first event
    :param begun_s: monotonic time at which it did so
    """

    attempt: str
    service: str
    version: str
    begun_s: float


class WriteOutcome(enum.Enum):
    """What has become of the write of a record."""

    WRITTEN = enum.auto()
    REFUSED = enum.auto()
    # It may be done, or be done later.
    UNCERTAIN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """A record that waits to be written, or is.

    :param replaced: the write of a record of another version
    """

    stream: BegunStream
    written: asyncio.Future[WriteOutcome]
    replaced: _Write | None = None

    def has_outcome(self, *outcomes: WriteOutcome) -> bool:
        """Return whether the write has ended with one of some outcomes."""
        return self.written.done() and self.written.result() in outcomes

    def may_be_contradicted(self) -> bool:
        """Return whether the store may hold, or get, a record of another version."""
        if self.replaced is None:
            return False
        is_settled = self.replaced.has_outcome(
            WriteOutcome.WRITTEN, WriteOutcome.REFUSED
        )
        return not (
            is_settled
            and self.has_outcome(WriteOutcome.WRITTEN)
            and not self.replaced.may_be_contradicted()
        )


class StreamRecords:
    """Remembers streams, and writes and reads records of them.

    :param count_daemons: returns how many daemons share the store
    """

    def __init__(
        self,
        row_store: store.Store,
        clock: store_clock.StoreClock,
        count_daemons: abc.Callable[[], int],
    ) -> None:
        self._store = row_store
        self._clock = clock
        self._count_daemons = count_daemons
        self._streams: collections.OrderedDict[str, BegunStream]
        self._streams = collections.OrderedDict()
        # Attempt -> the write of its record, unless that has failed.
        self._writes: collections.OrderedDict[str, _Write] = collections.OrderedDict()
        self._failed_s = float("-inf")
        self._waiting: list[_Write] = []
        self._task: asyncio.Task[None] | None = None

    def remember(self, stream: BegunStream, is_recorded: bool = False) -> None:
        """Remember a stream that has begun.

        :param is_recorded: whether the store has a record of it
        """
        self._streams[stream.attempt] = stream
        self._streams.move_to_end(stream.attempt)
        if is_recorded:
            self._keep(_Write(stream, _make_done()))
        oldest_s = stream.begun_s - _REMEMBER_S
        while len(self._streams) > _MAX_REMEMBERED or (
            next(iter(self._streams.values())).begun_s < oldest_s
        ):
            attempt, _ = self._streams.popitem(last=False)
            self._writes.pop(attempt, None)

    def forget(self, attempt: str) -> None:
        """Forget a stream that its client has whole."""
        self._streams.pop(attempt, None)
        self._writes.pop(attempt, None)

    def find(self, attempt: str) -> BegunStream | None:
        """Return a stream that this daemon has begun, ``None`` if it has not."""
        return self._streams.get(attempt)

    def list_unwritten(self) -> list[BegunStream]:
        """Return the streams that this daemon remembers and has not recorded."""
        return [
            stream
            for stream in self._streams.values()
            if stream.attempt not in self._writes
        ]

    def is_failing(self, now_s: float) -> bool:
        """Return whether the store has just failed to take records."""
        return now_s - self._failed_s < _FAILING_S

    def write(self, stream: BegunStream) -> asyncio.Future[WriteOutcome]:
        """Write the record of a stream, once."""
        known = self._writes.get(stream.attempt)
        if known is not None and known.stream.version == stream.version:
            return known.written
        written: asyncio.Future[WriteOutcome]
        written = asyncio.get_running_loop().create_future()
        write = _Write(stream, written, known)
        self._keep(write)
        self._waiting.append(write)
        if self._task is None:
            self._task = asyncio.ensure_future(self._write_all())
        return write.written

    def may_contradict(self, stream: BegunStream) -> bool:
        """Return whether the store may hold a record of another version."""
        write = self._writes.get(stream.attempt)
        return write is not None and write.may_be_contradicted()

    async def read(self, service: str, attempt: str) -> str | None:
        """Return the version of a stream by its record, ``None`` if there is none.

        :raises failures.StoreFailure: when the store does not answer
        """
        key = rows.make_record_key(service, attempt)
        page = await self._store.read_newest(
            key.table, key.partition, key.key, key.key + "\0"
        )
        for row in page.rows:
            if row.value is None:
                continue
            try:
                return rows.decode_record(key.key, row.value).version
            except exceptions.ProtocolError as error:
                logs.error("stream_record_unreadable", cause=error)
        return None

    def _keep(self, write: _Write) -> None:
        self._writes[write.stream.attempt] = write
        while len(self._writes) > _MAX_REMEMBERED:
            self._writes.popitem(last=False)

    async def _write_all(self) -> None:
        """Write records in batches until none waits."""
        try:
            while self._waiting:
                started_s = time.monotonic()
                batch = self._waiting[:_MAX_BATCH]
                del self._waiting[:_MAX_BATCH]
                outcome = await self._write_batch(batch)
                for item in batch:
                    if not item.written.done():
                        item.written.set_result(outcome)
                interval_s = self._count_daemons() / _MAX_WRITES_PER_S
                await asyncio.sleep(started_s + interval_s - time.monotonic())
        finally:
            self._task = None

    async def _write_batch(self, batch: list[_Write]) -> WriteOutcome:
        now_ms = self._clock.read_ms() or 0
        values: dict[store.RowKey, bytes] = {}
        for item in batch:
            key = rows.make_record_key(item.stream.service, item.stream.attempt)
            record = rows.StreamRecord(item.stream.version, now_ms)
            values[key] = rows.encode_record(record)
        try:
            await self._store.apply(store.Transaction(puts=tuple(values.items())))
        except failures.StoreFailure as error:
            logs.limited_info("stream_records_not_written", cause=error)
            self._failed_s = time.monotonic()
            metrics.STREAM_RECORDS.labels("failed").inc(len(batch))
            if not isinstance(error, failures.StoreRefused):
                return WriteOutcome.UNCERTAIN
            self._drop_unwritten(batch)
            return WriteOutcome.REFUSED
        metrics.STREAM_RECORDS.labels("written").inc(len(batch))
        return WriteOutcome.WRITTEN

    def _drop_unwritten(self, batch: list[_Write]) -> None:
        """Forget writes that the store has not done, unless they hide others."""
        for item in batch:
            is_latest = self._writes.get(item.stream.attempt) is item
            if is_latest and item.replaced is None:
                del self._writes[item.stream.attempt]


def _make_done() -> asyncio.Future[WriteOutcome]:
    """Return the result of a record that is written."""
    written: asyncio.Future[WriteOutcome]
    written = asyncio.get_running_loop().create_future()
    written.set_result(WriteOutcome.WRITTEN)
    return written
