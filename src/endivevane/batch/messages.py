"""Messages to the runner thread."""

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
class OpenJobsListed:
    """The open jobs were read."""

    outcome: result.Result[work_source.OpenJobs, store.StoreError]


@dataclasses.dataclass(frozen=True, slots=True)
class SearchEnded:
    """A search for work has ended, with a chunk or without.

    :param claim: claim whose items could not be loaded
    :param skipped: jobs without a claimable chunk
    """

    loaded: work_source.LoadedChunk | None = None
    claim: chunks.Claim | None = None
    error: exceptions.EndivevaneError | None = None
    skipped: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Reclaimed:
    """A claim was renewed under a new epoch; ``claim`` is ``None`` when it is lost."""

    key: tuple[str, int]
    claim: chunks.Claim | None
    error: exceptions.EndivevaneError | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkEnded:
    """An attempt to commit or release a chunk has ended.

    :param outcome: ``None`` when it failed and has to be retried
    """

    chunk: work.HeldChunk
    outcome: chunks.WriteOutcome | None
    tally: records.Tally
    is_release: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsRequested:
    """An online daemon requests slots on a target."""

    target_name: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class OnlineUseReported:
    """A daemon reports how many online requests it has in flight to a target."""

    target_name: str
    daemon: str
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled or has ended.

    :param reply_to: daemon that waits for the acknowledgement; empty for none
    """

    job_id: str
    reply_to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersChanged:
    """Daemons have joined or left."""


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Claim nothing new, let running items end and release the rest.

    :param deadline_s: monotonic time at which running items are withdrawn
    """

    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Stop the task without draining."""


Message = (
    ItemEnded
    | OpenJobsListed
    | SearchEnded
    | Reclaimed
    | ChunkEnded
    | SlotsRequested
    | OnlineUseReported
    | JobCancelled
    | MembersChanged
    | DrainRequested
    | StopRequested
)
