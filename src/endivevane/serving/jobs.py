"""Batch jobs as the store keeps them."""

from __future__ import annotations

import dataclasses
import enum
import typing
import zlib
from collections import abc

import orjson

from endivevane.serving import store

# One partition holds all rows that change together with a job.
PARTITION = ""
STATE_TABLE = "state"
PAYLOAD_TABLE = "payloads"
RESULT_TABLE = "results"
PROGRESS_TABLE = "progress"
JOB_PREFIX = "job/"
MEMBER_PREFIX = "member/"
QUOTA_PREFIX = "quota/"
# Bytes of a row before base64, which makes 64,000 of them.
ROW_BYTES = 48_000
# Payloads above this size go to an object: a transaction holds 1 MB with its base64.
INLINE_BYTES = 600_000
_COMPRESSION_LEVEL = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far an item without a result has come.

    :param pieces: data of the events up to the last one
    """

    last_event: int
    pieces: abc.Sequence[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What former owners have done of a job.

    :param done: ids of the items that have results
    :param progress: progress of others, by id
    """

    done: frozenset[str] = frozenset()
    progress: abc.Mapping[str, Progress] = dataclasses.field(default_factory=dict)


class JobState(enum.StrEnum):
    """Whether a job still runs."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One request of a job.

    :param headers: its headers by name
    :param tokens: tokens of the prompt and the longest output
    """

    item_id: str
    path: str
    headers: abc.Mapping[str, str]
    body: bytes
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """The final result of an item.

    :param text: data of all events, joined by line feeds
    """

    item_id: str
    is_completed: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """The row of a job.

    :param path: path of the submission, which finds the route
    :param created_ms: Unix time of the submission
    :param due_ms: Unix time at which the results are due
    :param chunks: rows of the payload, 0 if it is an object
    :param owner: daemon and incarnation that run the job, empty for none
    :param epoch: number of changes of the owner
    :param listed: results that have positions
    :param tokens_left: tokens of the items without a result
    :param operation: names the change that wrote the row
    :param failed_runs: answers of failure by item, of items without a result
    """

    job_id: str
    host: str
    path: str
    route: str
    total: int
    created_ms: int
    due_ms: int
    chunks: int
    state: JobState
    owner: str
    epoch: int
    listed: int
    tokens_left: int
    operation: str
    failed_runs: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Whether items may still run."""
        return self.state is JobState.OPEN


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob:
    """Stop a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResults:
    """Read the results from a position on."""

    job_id: str
    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadItem:
    """Read the body of an item."""

    job_id: str
    item_id: str


JobCall = EndJob | ReadResults | ReadItem


def make_job_key(job_id: str) -> store.RowKey:
    """Return the key of a job's row."""
    return store.RowKey(STATE_TABLE, PARTITION, JOB_PREFIX + job_id)


def encode_job(job: Job) -> bytes:
    """Return the value of a job's row."""
    return orjson.dumps(dataclasses.asdict(job))


def decode_job(value: bytes) -> Job:
    """Return a job from the value of its row.

    :raises ValueError: when the value is not one of a job
    """
    try:
        fields: dict[str, typing.Any] = orjson.loads(value)
        fields["state"] = JobState(fields["state"])
        return Job(**fields)
    except (TypeError, KeyError) as error:
        raise ValueError(str(error)) from error


def encode_items(items: abc.Sequence[Item]) -> bytes:
    """Return a job's payload, compressed."""
    head = [
        (item.item_id, item.path, dict(item.headers), item.tokens, len(item.body))
        for item in items
    ]
    packed = orjson.dumps(head)
    bodies = b"".join(item.body for item in items)
    length = len(packed).to_bytes(4, "big")
    return zlib.compress(length + packed + bodies, _COMPRESSION_LEVEL)


def decode_items(payload: bytes) -> tuple[Item, ...]:
    """Return the items of a payload."""
    content = zlib.decompress(payload)
    start = 4 + int.from_bytes(content[:4], "big")
    items = []
    for item_id, path, headers, tokens, size in orjson.loads(content[4:start]):
        body = content[start : start + size]
        items.append(Item(item_id, path, headers, body, tokens))
        start += size
    return tuple(items)


def encode_result(result: ItemResult) -> bytes:
    """Return a result, compressed."""
    return zlib.compress(
        orjson.dumps((result.item_id, result.is_completed, result.text)),
        _COMPRESSION_LEVEL,
    )


def decode_result(content: bytes) -> ItemResult:
    """Return a result from its rows' joined value."""
    item_id, is_completed, text = orjson.loads(zlib.decompress(content))
    return ItemResult(item_id, is_completed, text)


def make_progress_key(job_id: str, item_id: str) -> store.RowKey:
    """Return the key of an item's progress."""
    return store.RowKey(PROGRESS_TABLE, PARTITION, f"{job_id}/{item_id}")


def encode_progress(progress: Progress) -> bytes:
    """Return the value of a progress row, compressed."""
    text = [piece.decode("latin-1") for piece in progress.pieces]
    return zlib.compress(orjson.dumps((progress.last_event, text)), _COMPRESSION_LEVEL)


def decode_progress(value: bytes) -> Progress:
    """Return the progress of an item from its row's value.

    :raises ValueError: when the value is not one of a progress row
    """
    try:
        last_event, text = orjson.loads(zlib.decompress(value))
        pieces = [piece.encode("latin-1") for piece in text]
        return Progress(int(last_event), pieces)
    except (AttributeError, TypeError, zlib.error) as error:
        raise ValueError(str(error)) from error


def split_rows(
    table: str, prefix: str, content: bytes
) -> list[tuple[store.RowKey, bytes]]:
    """Return the rows that hold a content, in the order of their keys."""
    pieces = [
        content[start : start + ROW_BYTES]
        for start in range(0, max(1, len(content)), ROW_BYTES)
    ]
    return [
        (store.RowKey(table, PARTITION, f"{prefix}/{number:04d}"), piece)
        for number, piece in enumerate(pieces)
    ]


def make_result_prefix(job_id: str, position: int) -> str:
    """Return how the keys of a result's rows begin."""
    return f"{job_id}/{position:06d}"


def join_results(rows: abc.Iterable[store.Row]) -> dict[int, ItemResult]:
    """Return results by position from their rows, which are in order."""
    contents: dict[int, bytes] = {}
    for row in rows:
        position = int(row.row_key.key.split("/")[-2])
        contents[position] = contents.get(position, b"") + (row.value or b"")
    return {number: decode_result(content) for number, content in contents.items()}
