"""Held chunks, target state and the choice of the next item for a target."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections import abc

from endivevane.batch import attempts, chunks, items, records, slack, work_source
from endivevane.configuration import snapshot

_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15.0
# A target that is up but refuses an item this often will never accept it. With the
# back-off this takes about ten minutes.
MAX_REFUSALS = 50


class Phase(enum.StrEnum):
    """Phase of a held chunk."""

    RUNNING = "running"
    ENDING = "ending"


@dataclasses.dataclass(slots=True)
class PendingItem:
    """An item that waits to be sent.

    :param broken_attempts: attempts that broke off, which count towards the limit
    :param refusals: attempts that were refused before they ran
    :param ready_at_s: monotonic time of the earliest next attempt
    :param engine_crashes: engines that crashed while running the item
    """

    item: items.Item
    broken_attempts: int = 0
    refusals: int = 0
    ready_at_s: float = 0.0
    engine_crashes: int = 0


class HeldChunk:
    """A claimed chunk whose items are being run.

    :param loaded: claim, items and results released by an earlier claim
    """

    def __init__(self, loaded: work_source.LoadedChunk, now_s: float) -> None:
        self.claim: chunks.Claim = loaded.claim
        self.lines: dict[int, items.ResultLine] = dict(loaded.lines)
        self.item_count = len(loaded.parsed)
        self.fresh: collections.deque[PendingItem] = collections.deque()
        self.suspects: list[PendingItem] = []
        self.phase = Phase.RUNNING
        self.progress_at_s = now_s
        job_id = self.job.job_id
        for item in loaded.parsed:
            if item.index in self.lines:
                continue
            if item.problem is not None:
                line = items.make_failure_line(
                    job_id, self.claim.number, item, item.problem
                )
                self.lines[item.index] = line
                continue
            self.fresh.append(PendingItem(item))

    @property
    def job(self) -> records.Job:
        """The job of the chunk."""
        return self.claim.stored_job.job

    @property
    def key(self) -> tuple[str, int]:
        """Job and number of the chunk."""
        return self.job.job_id, self.claim.number

    @property
    def pending_count(self) -> int:
        """Number of items that wait to be sent."""
        return len(self.fresh) + len(self.suspects)

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.lines) == self.item_count

    def put_back(self, pending: PendingItem) -> None:
        """Queue an item for another attempt."""
        if pending.broken_attempts:
            self.suspects.append(pending)
        else:
            self.fresh.appendleft(pending)

    def fail_item(self, item: items.Item, problem: items.Problem) -> None:
        """Record an item as failed."""
        self.lines[item.index] = items.make_failure_line(
            self.job.job_id, self.claim.number, item, problem
        )

    def fail_pending(self, problem: items.Problem) -> None:
        """Record all waiting items as failed."""
        for pending in [*self.fresh, *self.suspects]:
            self.fail_item(pending.item, problem)
        self.fresh.clear()
        self.suspects.clear()

    def summarize(self) -> records.Tally:
        """Return the tally of the ended items."""
        good = [len(line.data) for line in self.lines.values() if line.is_success]
        bad = [len(line.data) for line in self.lines.values() if not line.is_success]
        return records.Tally(len(good), len(bad), sum(good), sum(bad))


class TargetState:
    """State of one target that this daemon sends to."""

    def __init__(self, target: snapshot.Target) -> None:
        self.target = target
        self.use = slack.OwnUse()
        self.online = slack.OnlineUse()
        self.hold = slack.Hold()
        self.running: dict[str, attempts.Attempt] = {}
        self.retry_at_s = 0.0
        self.unreachable_ms = 0
        self._backoff_s = _INITIAL_BACKOFF_S

    def record_unreachable(self, now_s: float, now_ms: int) -> None:
        """Apply exponential back-off to the target.

        Attempts that fail together count once; otherwise a single crash would cause
        the longest back-off.
        """
        self.unreachable_ms = now_ms
        if now_s < self.retry_at_s:
            return
        self.retry_at_s = now_s + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)

    def record_reachable(self) -> None:
        """Reset the back-off."""
        self._backoff_s = _INITIAL_BACKOFF_S

    @property
    def has_exclusive(self) -> bool:
        """Whether an exclusive item is running."""
        return any(attempt.is_exclusive for attempt in self.running.values())

    @property
    def has_suspect(self) -> bool:
        """Whether an item with an earlier broken attempt is running."""
        return any(attempt.broken_attempts for attempt in self.running.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An item to send now.

    :param is_exclusive: whether no other batch item may run on the target meanwhile
    """

    chunk: HeldChunk
    pending: PendingItem
    is_exclusive: bool


def choose_item(
    held: abc.Iterable[HeldChunk], state: TargetState, now_s: float, max_attempts: int
) -> Choice | None:
    """Remove the next item for a target from its chunk and return it.

    An engine crash breaks every attempt on that engine, so one crashing item makes
    others suspects. A second attempt therefore runs without another suspect on the
    target, and the last one without any other batch item: an item fails for broken
    attempts only if the last one broke while it ran alone. An item that was running
    during an engine crash runs alone at once, because a second crash quarantines it.

    :param held: chunks whose model the target offers, best first
    """
    if state.has_exclusive:
        return None
    for chunk in held:
        suspect = _find_ready(chunk.suspects, now_s)
        if suspect is not None:
            is_last = (
                suspect.broken_attempts >= max_attempts - 1
                or suspect.engine_crashes > 0
            )
            if is_last and state.running:
                return None
            if is_last or not state.has_suspect:
                chunk.suspects.remove(suspect)
                return Choice(chunk, suspect, is_last)
        if chunk.fresh and chunk.fresh[0].ready_at_s <= now_s:
            return Choice(chunk, chunk.fresh.popleft(), is_exclusive=False)
    return None


def _find_ready(suspects: list[PendingItem], now_s: float) -> PendingItem | None:
    """Return the ready suspect with the most broken attempts, if any."""
    ready = [item for item in suspects if item.ready_at_s <= now_s]
    return max(ready, key=lambda item: item.broken_attempts, default=None)


def compute_backoff_s(tries: int) -> float:
    """Return the back-off before the next attempt of an item."""
    backoff_s: float = _INITIAL_BACKOFF_S * 2 ** min(tries, 5)
    return min(_MAX_BACKOFF_S, backoff_s)
