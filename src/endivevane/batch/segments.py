"""Splitting of an upload into segments while it arrives."""

from __future__ import annotations

import array
import dataclasses
import hashlib
import time

import result
import xxhash

from endivevane.batch import failures, items, ports, records
from endivevane.external import objects
from endivevane.web import errors

MAX_SEGMENT_LINES = 512
MAX_SEGMENT_BYTES = 4 << 20
_MAX_LINE_BYTES = 1 << 20
_MAX_LINES = 1_000_000
_PUT_ATTEMPTS = 3
_PUT_PAUSE_S = 0.2


class SeenTexts:
    """A set of texts by 64-bit hash, 8 to 16 bytes each.

    A Python set of 260,000 custom ids takes about 40 MB; this table takes 4 MB. Two of
    260,000 different texts share a hash with a probability of about 2e-9.
    """

    def __init__(self) -> None:
        self._slots = array.array("Q", bytes(8 * 1024))
        self._count = 0

    def add(self, text: str) -> bool:
        """Add a text and return whether it is new."""
        if 2 * self._count >= len(self._slots):
            self._grow()
        if not self._insert(xxhash.xxh3_64_intdigest(text) or 1):
            return False
        self._count += 1
        return True

    def _insert(self, value: int) -> bool:
        mask = len(self._slots) - 1
        position = value & mask
        while found := self._slots[position]:
            if found == value:
                return False
            position = (position + 1) & mask
        self._slots[position] = value
        return True

    def _grow(self) -> None:
        old = self._slots
        self._slots = array.array("Q", bytes(2 * 8 * len(old)))
        for value in old:
            if value:
                self._insert(value)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What an upload held."""

    size_bytes: int
    lines: int
    segments: int
    digest: str
    model: str
    duplicates: int


class SegmentWriter:
    """A write-only stream that stores the lines it gets as segments.

    Memory is bounded by one segment, one line and the hashes of the custom ids.

    :param object_store: where the segments go
    :param upload: prefix of their keys
    """

    def __init__(self, object_store: ports.ObjectStore, upload: str) -> None:
        self._object_store = object_store
        self._upload = upload
        self._seen = SeenTexts()
        self._digest = hashlib.sha256()
        self._tail = bytearray()
        self._segment = bytearray()
        self._segment_lines = 0
        self._segment_duplicates: list[int] = []
        self._size_bytes = 0
        self._lines = 0
        self._segments = 0
        self._duplicates = 0
        self._model = ""

    def write(self, data: bytes) -> int:
        """Take the next bytes of the file.

        :raises errors.ApiError: when a line is too long or the object store fails
        """
        self._digest.update(data)
        self._size_bytes += len(data)
        self._tail += data
        start = 0
        while (end := self._tail.find(b"\n", start)) >= 0:
            self._add_line(bytes(self._tail[start : end + 1]))
            start = end + 1
        del self._tail[:start]
        if len(self._tail) > _MAX_LINE_BYTES:
            raise errors.BodyTooLarge(f"a line is longer than {_MAX_LINE_BYTES} bytes")
        return len(data)

    def seek(self, offset: int, whence: int = 0) -> int:
        """Store what is left; the form parser calls this at the end of the file."""
        if self._tail:
            line, self._tail = bytes(self._tail), bytearray()
            self._add_line(line)
        self._flush()
        return 0

    def close(self) -> None:
        """Do nothing; part of the interface of a stream."""

    def summarize(self) -> Summary:
        """Return what the file held; only valid after :meth:`seek`."""
        return Summary(
            self._size_bytes,
            self._lines,
            self._segments,
            self._digest.hexdigest(),
            self._model,
            self._duplicates,
        )

    def discard(self) -> None:
        """Delete the segments of an upload that will not be used."""
        for number in range(self._segments):
            self._object_store.delete(records.make_segment_key(self._upload, number))

    def _add_line(self, line: bytes) -> None:
        if len(self._segment) + len(line) > MAX_SEGMENT_BYTES:
            self._flush()
        self._segment += line
        if not line.strip():
            return
        item = items.parse_item(self._segment_lines, line)
        if item.custom_id is not None and not self._seen.add(item.custom_id):
            self._segment_duplicates.append(item.index)
            self._duplicates += 1
        if item.problem is None and not self._model:
            self._model = item.model
        self._lines += 1
        self._segment_lines += 1
        if self._lines > _MAX_LINES:
            raise errors.BodyTooLarge(f"the file has more than {_MAX_LINES} lines")
        if self._segment_lines == MAX_SEGMENT_LINES:
            self._flush()

    def _flush(self) -> None:
        if not self._segment:
            return
        number = self._segments
        if self._segment_duplicates:
            key = records.make_duplicates_key(self._upload, number)
            text = ",".join(str(index) for index in self._segment_duplicates)
            self._put(key, text.encode())
        self._put(records.make_segment_key(self._upload, number), bytes(self._segment))
        self._segments += 1
        self._segment = bytearray()
        self._segment_lines = 0
        self._segment_duplicates = []

    def _put(self, key: str, data: bytes) -> None:
        """Write an object; a repeated write of the same bytes does no harm."""
        outcome: result.Result[None, objects.ObjectStoreError]
        for attempt in range(_PUT_ATTEMPTS):
            outcome = self._object_store.put(key, data)
            if isinstance(outcome, result.Ok):
                return
            time.sleep(_PUT_PAUSE_S * (attempt + 1))
        failures.unwrap(outcome)
