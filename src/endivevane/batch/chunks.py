"""Claim, commit, takeover and release of chunks by conditional writes.

The revision that the claim gave the chunk row is the fencing token: commits are
conditional on it, so an owner that was replaced while it was paused can't commit. Every
write is also conditional on the revision of the job row, which changes only on cancel
and completion, so nothing is claimed or committed after an acknowledged cancel.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import abc

import result

from endivevane.batch import records
from endivevane.coordination import store

IsGone = abc.Callable[[str, int], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The daemon and epoch on whose behalf a claim is made."""

    daemon: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right to commit a chunk while its row keeps the revision.

    :param revision: revision of the chunk row, the fencing token
    :param partial: key of the results that an earlier claim released
    """

    stored_job: records.StoredJob
    number: int
    owner: Owner
    claim_epoch: int
    revision: int
    partial: str

    @property
    def key(self) -> str:
        """Key of the chunk row."""
        return records.make_chunk_key(self.stored_job.job.job_id, self.number)

    @property
    def result_key(self) -> str:
        """Key of the object with the results of this claim."""
        job = self.stored_job.job
        return records.make_result_key(job, self.number, self.claim_epoch)


class WriteOutcome(enum.StrEnum):
    """How a commit, release or finish ended."""

    APPLIED = "applied"
    FENCED = "fenced"


def is_claimable(
    row: store.Row | None, owner: Owner, is_held: bool, is_gone: IsGone
) -> bool:
    """Tell whether a chunk may be claimed.

    :param is_held: whether this daemon holds the chunk now
    :param is_gone: whether the session of an owner and epoch is dead or expired

    A row that names this daemon without a held claim comes from a claim whose response
    was lost; no other daemon takes it over while this one is alive.
    """
    if is_held:
        return False
    if row is None:
        return True
    chunk = records.decode(records.Chunk, row.value)
    if chunk.state == records.ChunkState.DONE:
        return False
    if chunk.state == records.ChunkState.RELEASED:
        return True
    if chunk.owner == owner.daemon:
        return chunk.owner_epoch <= owner.epoch
    return is_gone(chunk.owner, chunk.owner_epoch)


def claim(
    table_store: store.TableStore,
    stored_job: records.StoredJob,
    number: int,
    row: store.Row | None,
    owner: Owner,
    operation_id: str,
) -> result.Result[Claim, store.StoreError]:
    """Claim a chunk that is unclaimed or whose owner is gone.

    :param row: the chunk row as last read; ``None`` when it is absent
    :param operation_id: unique to this attempt
    """
    chunk = _make_claimed_chunk(row, owner)
    job = stored_job.job
    key = records.make_chunk_key(job.job_id, number)
    outcome = store.transact_with_readback(
        table_store,
        operation_id,
        [
            store.Condition(records.CHUNKS, key, row.revision if row else None),
            store.Condition(records.JOBS, job.job_id, stored_job.revision),
        ],
        [store.Write(records.CHUNKS, key, records.encode(chunk))],
    )
    if isinstance(outcome, result.Err):
        return outcome
    return result.Ok(
        Claim(
            stored_job,
            number,
            owner,
            chunk.claim_epoch,
            outcome.ok_value,
            chunk.partial,
        )
    )


def _make_claimed_chunk(row: store.Row | None, owner: Owner) -> records.Chunk:
    previous = records.decode(records.Chunk, row.value) if row else None
    return records.Chunk(
        state=records.ChunkState.CLAIMED,
        owner=owner.daemon,
        owner_epoch=owner.epoch,
        claim_epoch=previous.claim_epoch + 1 if previous else 1,
        partial=previous.partial if previous else "",
    )


def commit(
    table_store: store.TableStore, held: Claim, tally: records.Tally
) -> result.Result[WriteOutcome, store.StoreError]:
    """Make the results of a claim final.

    The result object must be stored first. The call is idempotent and may be retried
    after any error: the operation id is fixed per claim, so an earlier attempt that
    took effect is recognised.
    """
    chunk = dataclasses.replace(
        _make_base(held),
        state=records.ChunkState.DONE,
        result=held.result_key,
        completed=tally.completed,
        failed=tally.failed,
        output_bytes=tally.output_bytes,
        error_bytes=tally.error_bytes,
    )
    return _write_held(table_store, held, chunk, "commit")


def release(
    table_store: store.TableStore, held: Claim, partial: str
) -> result.Result[WriteOutcome, store.StoreError]:
    """Release a claim so that another daemon can claim the chunk at once.

    :param partial: key of the results so far; empty for none
    """
    chunk = dataclasses.replace(
        _make_base(held),
        state=records.ChunkState.RELEASED,
        partial=partial or held.partial,
    )
    return _write_held(table_store, held, chunk, "release")


def is_all_done(rows: list[store.Row], chunk_count: int) -> bool:
    """Tell whether every chunk of a job is done."""
    done = [row for row in rows if row.value["state"] == records.ChunkState.DONE]
    return len(done) == chunk_count


def _make_base(held: Claim) -> records.Chunk:
    return records.Chunk(
        state=records.ChunkState.CLAIMED,
        owner=held.owner.daemon,
        owner_epoch=held.owner.epoch,
        claim_epoch=held.claim_epoch,
    )


def _write_held(
    table_store: store.TableStore, held: Claim, chunk: records.Chunk, verb: str
) -> result.Result[WriteOutcome, store.StoreError]:
    """Write the chunk row if the fencing token and the job's revision still hold."""
    job_id = held.stored_job.job.job_id
    operation_id = f"{verb}/{held.key}/{held.claim_epoch}/{held.revision}"
    outcome = store.transact_with_readback(
        table_store,
        operation_id,
        [
            store.Condition(records.CHUNKS, held.key, held.revision),
            store.Condition(records.JOBS, job_id, held.stored_job.revision),
        ],
        [store.Write(records.CHUNKS, held.key, records.encode(chunk))],
    )
    if isinstance(outcome, result.Ok):
        return result.Ok(WriteOutcome.APPLIED)
    if not isinstance(outcome.err_value, store.StoreConflict):
        return outcome
    return _resolve_repeated(table_store, held, operation_id)


def _resolve_repeated(
    table_store: store.TableStore, held: Claim, operation_id: str
) -> result.Result[WriteOutcome, store.StoreError]:
    """Distinguish a lost claim from an earlier attempt that took effect."""
    reading = table_store.read(records.CHUNKS, held.key)
    if isinstance(reading, result.Err):
        return reading
    row = reading.ok_value
    if row is not None and row.value.get(store.OPERATION_ID_FIELD) == operation_id:
        return result.Ok(WriteOutcome.APPLIED)
    return result.Ok(WriteOutcome.FENCED)
