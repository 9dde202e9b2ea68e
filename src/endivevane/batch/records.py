"""Data classes of the rows of batch work, and keys of rows and objects."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections import abc

from endivevane import utils
from endivevane.coordination import store

FILES = "files"
JOBS = "jobs"
OPEN = "open"
CHUNKS = "chunks"

OUTPUT_SUFFIX = "-output"
ERRORS_SUFFIX = "-errors"

_T = typing.TypeVar("_T")


class FileState(enum.StrEnum):
    """State of an input file.

    Jobs can be created with ``READY`` files only. ``DELETING`` may return to ``READY``.
    ``ERASING`` is final; segments are deleted only in this state.
    """

    READY = "ready"
    DELETING = "deleting"
    ERASING = "erasing"


class JobState(enum.StrEnum):
    """State of a job; all but ``IN_PROGRESS`` are final."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class ChunkState(enum.StrEnum):
    """State of a chunk row; ``DONE`` is final."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class InputFile:
    """An uploaded input file.

    :param upload: prefix of the keys of its segments in the object store
    :param lines: number of items, which are the non-blank lines
    :param model: model of the first valid item, which all items must use
    :param duplicates: number of items whose ``custom_id`` appeared on an earlier line
    """

    file_id: str
    organisation: str
    name: str
    purpose: str
    size_bytes: int
    lines: int
    segments: int
    digest: str
    created_ms: int
    upload: str
    model: str
    duplicates: int
    state: str = FileState.READY


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Numbers of ended items and sizes of their lines in the result files."""

    completed: int = 0
    failed: int = 0
    output_bytes: int = 0
    error_bytes: int = 0

    def add(self, other: Tally) -> Tally:
        """Return the sum of two tallies."""
        return Tally(
            self.completed + other.completed,
            self.failed + other.failed,
            self.output_bytes + other.output_bytes,
            self.error_bytes + other.error_bytes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A batch job; the row of an open job changes only on cancel and completion.

    :param upload: prefix of the keys of the input segments
    :param tally: totals of a job that has ended
    :param generation: part of the keys of its result objects; distinguishes successive
        jobs with the same identifier
    :param collected_ms: when the objects that no chunk refers to were deleted
    :param expired_ms: when the retention of the results ended, which makes them
        unreadable
    :param erased_ms: when the results and the chunk rows were deleted
    """

    job_id: str
    organisation: str
    input_file_id: str
    endpoint: str
    completion_window: str
    metadata: dict[str, str] | None
    created_ms: int
    deadline_ms: int
    item_count: int
    chunk_count: int
    upload: str
    model: str
    duplicates: int
    state: str = JobState.IN_PROGRESS
    ended_ms: int | None = None
    tally: dict[str, int] | None = None
    generation: str = ""
    collected_ms: int | None = None
    expired_ms: int | None = None
    erased_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job and the revision of its row."""

    job: Job
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJob:
    """The ``open`` row of a job that has not ended.

    :param input_file_id: lets the deletion of a file find the jobs that use it
    """

    job_id: str
    organisation: str
    deadline_ms: int
    created_ms: int
    item_count: int
    chunk_count: int
    model: str
    input_file_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A part of a job that is run by one daemon.

    :param result: key of the result object; set when done
    :param partial: key of the results that a released claim had completed
    """

    state: str
    owner: str
    owner_epoch: int
    claim_epoch: int
    result: str = ""
    partial: str = ""
    completed: int = 0
    failed: int = 0
    output_bytes: int = 0
    error_bytes: int = 0

    @property
    def tally(self) -> Tally:
        """Tally of the chunk."""
        return Tally(self.completed, self.failed, self.output_bytes, self.error_bytes)


def decode(kind: type[_T], value: dict[str, typing.Any]) -> _T:
    """Return a data class built from a row's value; unknown fields are ignored.

    :raises TypeError: when a field without a default is missing
    """
    fields = dataclasses.fields(typing.cast("typing.Any", kind))
    known = {item.name: value[item.name] for item in fields if item.name in value}
    return kind(**known)


def encode(record: typing.Any) -> dict[str, typing.Any]:
    """Return the value of a row."""
    return dataclasses.asdict(record)


def decode_job(row: store.Row) -> StoredJob:
    """Return the job in a row of the table ``jobs``."""
    return StoredJob(decode(Job, row.value), row.revision)


def make_open_row(job: Job) -> OpenJob:
    """Return the value of the ``open`` row of a job."""
    return decode(OpenJob, dataclasses.asdict(job))


def make_open_key(job: Job | OpenJob) -> str:
    """Return the key of the ``open`` row, which sorts by deadline."""
    return f"{job.deadline_ms:015d}-{job.job_id}"


def make_chunk_key(job_id: str, number: int) -> str:
    """Return the key of a chunk row."""
    return f"{job_id}/{number:06d}"


def parse_chunk_number(key: str) -> int:
    """Return the chunk number in the key of a chunk row."""
    return int(key.rpartition("/")[2])


def make_segment_key(upload: str, number: int) -> str:
    """Return the key of an input segment."""
    return f"{upload}/{number:06d}"


def make_duplicates_key(upload: str, number: int) -> str:
    """Return the key of the object that lists the duplicates of a segment."""
    return f"{upload}/{number:06d}.duplicates"


def list_segment_keys(record: InputFile) -> abc.Iterator[str]:
    """Yield the keys of all objects that an input file may have."""
    for number in range(record.segments):
        yield make_segment_key(record.upload, number)
        if record.duplicates:
            yield make_duplicates_key(record.upload, number)


def make_results_prefix(job: Job) -> str:
    """Return the prefix of the keys of a job's result objects."""
    generation = f"{job.generation}/" if job.generation else ""
    return f"results/{job.job_id}/{generation}"


def make_result_key(job: Job, number: int, claim_epoch: int) -> str:
    """Return the key of the results of one claim of a chunk."""
    return f"{make_results_prefix(job)}{number:06d}/{claim_epoch}"


def make_organisation_prefix(organisation: str) -> str:
    """Return the identifier prefix by which scans find an organisation's rows."""
    return utils.digest_text(organisation)[:12]


def sum_tallies(chunks: abc.Sequence[Chunk]) -> Tally:
    """Return the sum of the tallies of the chunks that are done."""
    total = Tally()
    for chunk in chunks:
        if chunk.state == ChunkState.DONE:
            total = total.add(chunk.tally)
    return total
