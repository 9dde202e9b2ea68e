"""Streaming split of an upload into segments."""

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
_PUT_BACKOFF_S = 0.2


class TextHashSet:
    """A set of 64-bit text hashes with open addressing, 16 to 32 bytes per text.

    A Python set of 260,000 custom ids takes about 40 MB; this table takes 4 MB. The
    probability of a hash collision among 260,000 different texts is about 2e-9.
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
    """Size and content of an upload."""

    size_bytes: int
    lines: int
    segments: int
    digest: str
    model: str
    duplicates: int


class SegmentWriter:
    """A write-only stream that stores its lines as segments.

    Memory is bounded by one segment, one line and the hashes of the custom ids.

    :param object_store: holds the segments
    :param upload: key prefix of the segments
    """

    def __init__(self, object_store: ports.ObjectStore, upload: str) -> None:
        self._object_store = object_store
        self._upload = upload
        self._seen = TextHashSet()
        self._digest = hashlib.sha256()
        self._partial_line = bytearray()
        self._segment = bytearray()
        self._segment_lines = 0
        self._segment_duplicates: list[int] = []
        self._size_bytes = 0
        self._lines = 0
        self._segments = 0
        self._duplicates = 0
        self._model = ""

    def write(self, data: bytes) -> int:
        """Append bytes of the file.

        :raises errors.ApiError: when a line is too long or the object store fails
        """
        self._digest.update(data)
        self._size_bytes += len(data)
        self._partial_line += data
        start = 0
        while (end := self._partial_line.find(b"\n", start)) >= 0:
            self._add_line(bytes(self._partial_line[start : end + 1]))
            start = end + 1
        del self._partial_line[:start]
        if len(self._partial_line) > _MAX_LINE_BYTES:
            raise errors.BodyTooLarge(f"a line is longer than {_MAX_LINE_BYTES} bytes")
        return len(data)

    def seek(self, offset: int, whence: int = 0) -> int:
        """Store the remaining lines; the form parser seeks at the end of the file."""
        if self._partial_line:
            line, self._partial_line = bytes(self._partial_line), bytearray()
            self._add_line(line)
        self._flush()
        return 0

    def close(self) -> None:
        """Do nothing; required by the stream interface."""

    def summarize(self) -> Summary:
        """Return the summary of the file; only valid after :meth:`seek`."""
        return Summary(
            self._size_bytes,
            self._lines,
            self._segments,
            self._digest.hexdigest(),
            self._model,
            self._duplicates,
        )

    def discard(self) -> None:
        """Delete the segments of an unused upload."""
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
        """Store an object with retries; the write is idempotent."""
        outcome: result.Result[None, objects.ObjectStoreError]
        for attempt in range(_PUT_ATTEMPTS):
            outcome = self._object_store.put(key, data)
            if isinstance(outcome, result.Ok):
                return
            time.sleep(_PUT_BACKOFF_S * (attempt + 1))
        failures.unwrap(outcome)
