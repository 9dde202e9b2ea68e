"""Stored form of batch jobs: keys, rows and their encodings."""

from __future__ import annotations

import dataclasses
import enum
import typing
import zlib
from collections import abc

import orjson

from endivevane import json_fields, logs
from endivevane.serving import store

# A single partition, so that one transaction can change all rows of a job.
PARTITION = ""
STATE_TABLE = "state"
PAYLOAD_TABLE = "payloads"
RESULT_TABLE = "results"
PROGRESS_TABLE = "progress"
JOB_PREFIX = "job/"
MEMBER_PREFIX = "member/"
# Key after those of all members.
MEMBER_END = "member0"
QUOTA_PREFIX = "quota/"
# Largest row value before base64, which expands it to 64,000 bytes.
ROW_BYTES = 48_000
# Larger payloads become objects: a transaction is limited to 1 MB after base64.
INLINE_BYTES = 600_000
_COMPRESSION_LEVEL = 1
# Above the content of any job, which is limited by the bodies that clients may send.
_MAX_CONTENT_BYTES = 64 << 20
# Above any number of items, or of rows, of a job.
_MAX_ITEMS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Partial output of an item that has no result yet.

    :param last_event: number of the last event received
    :param pieces: data of the events up to the last one
    :param version: software version of the targets that sent them, ``None`` if an
        earlier release has stored them without it
    :param service: service of these targets, ``None`` likewise
    """

    last_event: int
    pieces: abc.Sequence[bytes]
    version: str | None = None
    service: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class JobProgress:
    """Work on a job that earlier owners have stored.

    :param done: ids of the items that have results
    :param progress: progress of unfinished items, by id
    """

    done: frozenset[str] = frozenset()
    progress: abc.Mapping[str, Progress] = dataclasses.field(default_factory=dict)


class JobState(enum.StrEnum):
    """State of a job: ``ENDED`` was stopped by a client, ``DONE`` has all results."""

    OPEN = "open"
    DONE = "done"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One request of a job.

    :param tokens: prompt tokens plus the maximum output tokens
    """

    item_id: str
    path: str
    headers: abc.Mapping[str, str]
    body: bytes
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """The final result of an item.

    :param text: data of all events, joined by newlines
    """

    item_id: str
    is_completed: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """The row of a job.

    :param path: request path of the submission, which selects the route
    :param created_ms: Unix time of the submission
    :param due_ms: Unix time at which the results are due
    :param chunks: number of payload rows, 0 if the payload is an object
    :param owner: daemon and incarnation that run the job, empty for none
    :param epoch: incremented with each change of the owner
    :param listed: number of results that have a position
    :param tokens_left: tokens of the items without a result
    :param operation: unique id of the change that wrote the row
    :param failed_runs: failed runs by item id, for items without a result
    :param lost_owners: owners that were lost and may have run any item, up to a limit
    :param begun_runs: runs that later owners have stored before they began, by the
        position of the item; those behind the last one have none
    :param organisation: whose job it is, empty for clients without a key, ``None`` if
        there were no organisations at its submission
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
    lost_owners: int = 0
    begun_runs: tuple[int, ...] = ()
    organisation: str | None = None

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
    fields = dataclasses.asdict(job)
    if not job.lost_owners:
        # Most jobs lose no owner; their rows stay short.
        del fields["lost_owners"], fields["begun_runs"]
    return orjson.dumps(fields)


def decode_job(value: bytes) -> Job:
    """Return a job from the value of its row.

    :raises ValueError: when the value is not one of a job
    """
    try:
        fields = json_fields.read_object(orjson.loads(value))
        return _read_job(fields)
    except KeyError as error:
        raise ValueError(f"no field {error}") from error


def _read_job(fields: dict[str, typing.Any]) -> Job:
    total = json_fields.read_count(fields["total"], _MAX_ITEMS)
    # Rows of earlier releases lack fields.
    organisation = fields.get("organisation")
    return Job(
        job_id=json_fields.read_text(fields["job_id"]),
        host=json_fields.read_text(fields["host"]),
        path=json_fields.read_text(fields["path"]),
        route=json_fields.read_text(fields["route"]),
        total=total,
        created_ms=json_fields.read_count(fields["created_ms"]),
        due_ms=json_fields.read_count(fields["due_ms"]),
        chunks=json_fields.read_count(fields["chunks"], _MAX_ITEMS),
        state=JobState(json_fields.read_text(fields["state"])),
        owner=json_fields.read_text(fields["owner"]),
        epoch=json_fields.read_count(fields["epoch"]),
        listed=json_fields.read_count(fields["listed"], total),
        tokens_left=json_fields.read_count(fields["tokens_left"]),
        operation=json_fields.read_text(fields["operation"]),
        failed_runs={
            item_id: json_fields.read_count(count)
            for item_id, count in json_fields.read_object(
                fields.get("failed_runs", {})
            ).items()
        },
        lost_owners=json_fields.read_count(fields.get("lost_owners", 0)),
        begun_runs=tuple(
            json_fields.read_count(count)
            for count in json_fields.read_list(fields.get("begun_runs", []))
        ),
        organisation=None
        if organisation is None
        else json_fields.read_text(organisation),
    )


def encode_items(items: abc.Sequence[Item]) -> bytes:
    """Return a job's payload: headers and bodies of its items, compressed."""
    head = [
        (item.item_id, item.path, dict(item.headers), item.tokens, len(item.body))
        for item in items
    ]
    packed = orjson.dumps(head)
    bodies = b"".join(item.body for item in items)
    length = len(packed).to_bytes(4, "big")
    return zlib.compress(length + packed + bodies, _COMPRESSION_LEVEL)


def decode_items(payload: bytes) -> tuple[Item, ...]:
    """Return the items of a payload.

    :raises ValueError: when it is not one of a job
    """
    content = _decompress(payload)
    start = 4 + int.from_bytes(content[:4], "big")
    items = []
    for head in json_fields.read_list(orjson.loads(content[4:start])):
        item_id, path, headers, tokens, size = json_fields.read_list(head)
        length = json_fields.read_count(size, len(content) - start)
        item = Item(
            json_fields.read_text(item_id),
            json_fields.read_text(path),
            {
                name: json_fields.read_text(value)
                for name, value in json_fields.read_object(headers).items()
            },
            content[start : start + length],
            json_fields.read_count(tokens),
        )
        items.append(item)
        start += length
    return tuple(items)


def _decompress(content: bytes) -> bytes:
    """Return decompressed content of a limited size.

    :raises ValueError: when it is not compressed, is cut or is too large
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, _MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("compressed content is cut or too large")
    return decompressed


def encode_result(result: ItemResult) -> bytes:
    """Return a result, compressed."""
    return zlib.compress(
        orjson.dumps((result.item_id, result.is_completed, result.text)),
        _COMPRESSION_LEVEL,
    )


def decode_result(content: bytes) -> ItemResult:
    """Return a result from the concatenated values of its rows.

    :raises ValueError: when they are not those of a result
    """
    fields = json_fields.read_list(orjson.loads(_decompress(content)))
    item_id, is_completed, text = fields
    return ItemResult(
        json_fields.read_text(item_id),
        json_fields.read_flag(is_completed),
        json_fields.read_text(text, _MAX_CONTENT_BYTES),
    )


def make_progress_key(job_id: str, item_id: str) -> store.RowKey:
    """Return the key of an item's progress."""
    return store.RowKey(PROGRESS_TABLE, PARTITION, f"{job_id}/{item_id}")


def encode_progress(progress: Progress) -> bytes:
    """Return the value of a progress row, compressed."""
    text = [piece.decode("latin-1") for piece in progress.pieces]
    # Earlier releases read the first two or three fields and leave out the others.
    fields = (progress.last_event, text, progress.version, progress.service)
    return zlib.compress(orjson.dumps(fields), _COMPRESSION_LEVEL)


def decode_progress(value: bytes) -> Progress:
    """Return the progress of an item from its row's value.

    :raises ValueError: when the value is not one of a progress row
    """
    last_event, text, *rest = json_fields.read_list(orjson.loads(_decompress(value)))
    version, service, *_ = (*rest, None, None)
    pieces = [
        json_fields.read_text(piece, _MAX_CONTENT_BYTES).encode("latin-1")
        for piece in json_fields.read_list(text)
    ]
    return Progress(
        json_fields.read_count(last_event),
        pieces,
        None if version is None else json_fields.read_text(version),
        None if service is None else json_fields.read_text(service),
    )


def split_rows(
    table: str, prefix: str, content: bytes
) -> list[tuple[store.RowKey, bytes]]:
    """Split content into rows, in key order."""
    pieces = [
        content[start : start + ROW_BYTES]
        for start in range(0, max(1, len(content)), ROW_BYTES)
    ]
    return [
        (store.RowKey(table, PARTITION, f"{prefix}/{number:04d}"), piece)
        for number, piece in enumerate(pieces)
    ]


def make_result_prefix(job_id: str, position: int) -> str:
    """Return the key prefix of a result's rows."""
    return f"{job_id}/{position:06d}"


def join_results(rows: abc.Iterable[store.Row]) -> dict[int, ItemResult]:
    """Return results by position from their rows, which must be in key order.

    Those that can't be read are left out.
    """
    contents: dict[str, bytes] = {}
    for row in rows:
        prefix = row.row_key.key.rpartition("/")[0]
        contents[prefix] = contents.get(prefix, b"") + (row.value or b"")
    results = {}
    for prefix, content in contents.items():
        try:
            position = int(prefix.rpartition("/")[2])
            results[position] = decode_result(content)
        except ValueError as error:
            logs.error("result_unreadable", result=prefix, cause=error)
    return results
