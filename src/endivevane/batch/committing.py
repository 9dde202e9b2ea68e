"""Storage of results, and commit or release of their chunks."""

from __future__ import annotations

import concurrent.futures
import dataclasses

import result

from endivevane import exceptions, logs, metrics
from endivevane.batch import chunks, items, messages, ports, records, sending, work
from endivevane.coordination import clock, store

_THREADS = 2
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 5.0


@dataclasses.dataclass(slots=True)
class _PendingWrite:
    """A chunk whose commit or release is in progress.

    :param data: encoded result lines; ``None`` once they are stored
    :param retry_at_s: monotonic time of the next attempt; ``None`` while one runs
    :param is_resolved: whether the write was applied or fenced
    """

    chunk: work.HeldChunk
    tally: records.Tally
    data: bytes | None
    is_release: bool
    retry_at_s: float | None = None
    backoff_s: float = _INITIAL_BACKOFF_S
    is_resolved: bool = False


class Committer:
    """Commits and releases chunks, with retries while a store is unavailable.

    Public methods are called by the runner thread.

    :param post: puts a message into the inbox of the runner thread
    """

    def __init__(
        self,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        committer_clock: clock.Clock,
        post: sending.Post,
    ) -> None:
        self._store = table_store
        self._objects = object_store
        self._clock = committer_clock
        self._post = post
        self._waiting: list[_PendingWrite] = []
        self._executor = concurrent.futures.ThreadPoolExecutor(_THREADS, "batch-commit")

    def commit(self, chunk: work.HeldChunk) -> None:
        """Make the results of a complete chunk final."""
        self._submit_write(chunk, is_release=False)

    def release(self, chunk: work.HeldChunk) -> None:
        """Release a chunk together with its results so far."""
        self._submit_write(chunk, is_release=True)

    def retry(self, now_s: float) -> None:
        """Retry the failed writes that are due."""
        for pending_write in self._waiting:
            if (
                pending_write.retry_at_s is not None
                and now_s >= pending_write.retry_at_s
            ):
                pending_write.retry_at_s = None
                self._executor.submit(self._run_write, pending_write)

    def retry_now(self) -> None:
        """Retry all failed writes at once, because the store responds again."""
        self.retry(float("inf"))

    def stop(self) -> None:
        """Shut down the executor without waiting."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit_write(self, chunk: work.HeldChunk, is_release: bool) -> None:
        data = items.encode_results(chunk.lines) if chunk.lines else None
        pending_write = _PendingWrite(chunk, chunk.summarize(), data, is_release)
        # Frees the decoded lines; only the encoded object stays in memory.
        chunk.lines = {}
        self._waiting = [item for item in self._waiting if not item.is_resolved]
        self._waiting.append(pending_write)
        self._executor.submit(self._run_write, pending_write)

    def _run_write(self, pending_write: _PendingWrite) -> None:
        """Write object and row; runs on an executor thread."""
        outcome = self._write(pending_write)
        verb = "release" if pending_write.is_release else "commit"
        if isinstance(outcome, result.Ok):
            metrics.BATCH_COMMITS.labels(f"{verb}_{outcome.ok_value}").inc()
            pending_write.is_resolved = True
            self._post(
                messages.ChunkEnded(
                    pending_write.chunk,
                    outcome.ok_value,
                    pending_write.tally,
                    pending_write.is_release,
                )
            )
            return
        metrics.BATCH_COMMITS.labels(f"{verb}_error").inc()
        logs.warning(
            "chunk_write_failed",
            verb=verb,
            job_id=pending_write.chunk.key[0],
            number=pending_write.chunk.key[1],
            error=outcome.err_value.format_message(),
        )
        pending_write.retry_at_s = self._clock.monotonic_s() + pending_write.backoff_s
        pending_write.backoff_s = min(_MAX_BACKOFF_S, 2 * pending_write.backoff_s)

    def _write(
        self, pending_write: _PendingWrite
    ) -> result.Result[chunks.WriteOutcome, exceptions.EndivevaneError]:
        claim = pending_write.chunk.claim
        has_lines = pending_write.tally.completed + pending_write.tally.failed > 0
        if pending_write.data is not None:
            stored = self._objects.put(claim.result_key, pending_write.data)
            if isinstance(stored, result.Err):
                return stored
            pending_write.data = None
        if pending_write.is_release:
            partial = claim.result_key if has_lines else ""
            return chunks.release(self._store, claim, partial)
        outcome = chunks.commit(self._store, claim, pending_write.tally)
        if outcome == result.Ok(chunks.WriteOutcome.FENCED):
            self._objects.delete(claim.result_key)
        return outcome
