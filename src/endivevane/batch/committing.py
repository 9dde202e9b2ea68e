"""Writing of results and the commits that make them final."""

from __future__ import annotations

import concurrent.futures
import dataclasses

import result

from endivevane import exceptions, logs, metrics
from endivevane.batch import chunks, items, messages, ports, records, sending, work
from endivevane.coordination import clock, store

_THREADS = 2
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 5.0


@dataclasses.dataclass(slots=True)
class _Ending:
    """A chunk whose commit or release is under way.

    :param data: result lines until they are in the object store
    :param due_at_s: monotonic time of the next try; ``None`` while one runs
    :param is_over: whether the store has decided
    """

    chunk: work.HeldChunk
    tally: records.Tally
    data: bytes | None
    is_release: bool
    due_at_s: float | None = None
    pause_s: float = _FIRST_PAUSE_S
    is_over: bool = False


class Committer:
    """Commits and releases chunks, again and again while the store is down.

    Public methods are called by the runner's thread.

    :param post: gives a message to the runner's thread
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
        self._waiting: list[_Ending] = []
        self._executor = concurrent.futures.ThreadPoolExecutor(_THREADS, "batch-commit")

    def commit(self, chunk: work.HeldChunk) -> None:
        """Make the results of a complete chunk final."""
        self._begin(chunk, is_release=False)

    def release(self, chunk: work.HeldChunk) -> None:
        """Hand a chunk back together with the results that it has."""
        self._begin(chunk, is_release=True)

    def retry(self, now_s: float) -> None:
        """Try again what has failed and is due."""
        for ending in self._waiting:
            if ending.due_at_s is not None and now_s >= ending.due_at_s:
                ending.due_at_s = None
                self._executor.submit(self._end, ending)

    def retry_now(self) -> None:
        """Try again at once, since the store answers."""
        self.retry(float("inf"))

    def stop(self) -> None:
        """Let go of the threads."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _begin(self, chunk: work.HeldChunk, is_release: bool) -> None:
        data = items.encode_results(chunk.lines) if chunk.lines else None
        ending = _Ending(chunk, chunk.summarize(), data, is_release)
        # From here on the lines are held once, as the bytes of the object.
        chunk.lines = {}
        self._waiting = [item for item in self._waiting if not item.is_over]
        self._waiting.append(ending)
        self._executor.submit(self._end, ending)

    def _end(self, ending: _Ending) -> None:
        """Write object and row; runs in a thread of the pool."""
        outcome = self._write(ending)
        verb = "release" if ending.is_release else "commit"
        if isinstance(outcome, result.Ok):
            metrics.BATCH_COMMITS.labels(f"{verb}_{outcome.ok_value}").inc()
            ending.is_over = True
            self._post(
                messages.ChunkEnded(
                    ending.chunk, outcome.ok_value, ending.tally, ending.is_release
                )
            )
            return
        metrics.BATCH_COMMITS.labels(f"{verb}_error").inc()
        logs.warning(
            "chunk_write_failed",
            verb=verb,
            job_id=ending.chunk.key[0],
            number=ending.chunk.key[1],
            error=outcome.err_value.format_message(),
        )
        ending.due_at_s = self._clock.monotonic_s() + ending.pause_s
        ending.pause_s = min(_LONGEST_PAUSE_S, 2 * ending.pause_s)

    def _write(
        self, ending: _Ending
    ) -> result.Result[chunks.WriteOutcome, exceptions.EndivevaneError]:
        claim = ending.chunk.claim
        has_lines = ending.tally.completed + ending.tally.failed > 0
        if ending.data is not None:
            stored = self._objects.put(claim.result_key, ending.data)
            if isinstance(stored, result.Err):
                return stored
            ending.data = None
        if ending.is_release:
            partial = claim.result_key if has_lines else ""
            return chunks.release(self._store, claim, partial)
        outcome = chunks.commit(self._store, claim, ending.tally)
        if outcome == result.Ok(chunks.WriteOutcome.FENCED):
            self._objects.delete(claim.result_key)
        return outcome
