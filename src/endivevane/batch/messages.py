"""Messages to the runner's thread."""

from __future__ import annotations

import dataclasses

import result

from endivevane import exceptions
from endivevane.batch import attempts, chunks, records, work, work_source
from endivevane.coordination import store


@dataclasses.dataclass(frozen=True, slots=True)
class ItemEnded:
    """An attempt has ended."""

    attempt: attempts.Attempt
    outcome: attempts.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class OpenListed:
    """The open jobs were read."""

    outcome: result.Result[work_source.OpenJobs, store.StoreError]


@dataclasses.dataclass(frozen=True, slots=True)
class LookEnded:
    """A look for work has ended, with a chunk or without.

    :param claim: claim whose items could not be read yet
    :param skipped: jobs without a free chunk
    """

    loaded: work_source.LoadedChunk | None = None
    claim: chunks.Claim | None = None
    error: exceptions.EndivevaneError | None = None
    skipped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaimed:
    """A claim was renewed under a new epoch, or is lost when ``claim`` is ``None``."""

    key: tuple[str, int]
    claim: chunks.Claim | None
    error: exceptions.EndivevaneError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkEnded:
    """A try to commit or release a chunk has ended.

    :param outcome: ``None`` when it failed and must be tried again
    """

    chunk: work.HeldChunk
    outcome: chunks.WriteOutcome | None
    tally: records.Tally
    is_release: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsWanted:
    """An online daemon asks for slots of a target."""

    target_name: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class OnlineUseReported:
    """A daemon tells how many online requests it has at a target."""

    target_name: str
    daemon: str
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled or has ended.

    :param reply_to: daemon that waits until this one has stopped; empty for none
    """

    job_id: str
    reply_to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Daemons have come or gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Take no new work, end what runs and hand back the rest.

    :param deadline_s: monotonic time at which running items are withdrawn
    """

    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """End the task at once."""


Message = (
    ItemEnded
    | OpenListed
    | LookEnded
    | Reclaimed
    | ChunkEnded
    | SlotsWanted
    | OnlineUseReported
    | JobCancelled
    | MembersChanged
    | DrainRequested
    | StopRequested
)
