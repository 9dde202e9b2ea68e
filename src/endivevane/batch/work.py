"""Items of the claimed chunks and the choice of what to send where."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections import abc

from endivevane.batch import attempts, chunks, items, records, slack, work_source
from endivevane.configuration import snapshot

_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 15.0
# A target that is up but refuses one item this often will not take it at all; with
# growing pauses this is about ten minutes.
MAX_REFUSALS = 50


class Phase(enum.StrEnum):
    """Where a held chunk is."""

    RUNNING = "running"
    ENDING = "ending"


@dataclasses.dataclass(slots=True)
class PendingItem:
    """An item that waits to be sent.

    :param breaks: attempts that broke, which count against the item
    :param refusals: attempts that were refused before they ran
    :param ready_at_s: monotonic time before which it is not sent
    :param deaths: engines that died under it
    """

    item: items.Item
    breaks: int = 0
    refusals: int = 0
    ready_at_s: float = 0.0
    deaths: int = 0


class HeldChunk:
    """A claimed chunk whose items are being run.

    :param loaded: claim, items and results handed back by an earlier claim
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
        """Items that wait to be sent."""
        return len(self.fresh) + len(self.suspects)

    @property
    def is_complete(self) -> bool:
        """Whether every item has its result."""
        return len(self.lines) == self.item_count

    def put_back(self, pending: PendingItem) -> None:
        """Let an item wait for another attempt."""
        if pending.breaks:
            self.suspects.append(pending)
        else:
            self.fresh.appendleft(pending)

    def fail_item(self, item: items.Item, problem: items.Problem) -> None:
        """End an item as failed."""
        self.lines[item.index] = items.make_failure_line(
            self.job.job_id, self.claim.number, item, problem
        )

    def fail_pending(self, problem: items.Problem) -> None:
        """End all waiting items as failed."""
        for pending in [*self.fresh, *self.suspects]:
            self.fail_item(pending.item, problem)
        self.fresh.clear()
        self.suspects.clear()

    def summarize(self) -> records.Tally:
        """Return the tally over the ended items."""
        good = [len(line.data) for line in self.lines.values() if line.is_success]
        bad = [len(line.data) for line in self.lines.values() if not line.is_success]
        return records.Tally(len(good), len(bad), sum(good), sum(bad))


class TargetState:
    """What a runner knows of one target that it sends to."""

    def __init__(self, target: snapshot.Target) -> None:
        self.target = target
        self.use = slack.OwnUse()
        self.online = slack.OnlineUse()
        self.hold = slack.Hold()
        self.running: dict[str, attempts.Attempt] = {}
        self.retry_at_s = 0.0
        self.unreachable_ms = 0
        self._pause_s = _FIRST_PAUSE_S

    def note_unreachable(self, now_s: float, now_ms: int) -> None:
        """Send nothing for a while, longer each time.

        Attempts that fail together count once, or one crash would cause the longest
        pause.
        """
        self.unreachable_ms = now_ms
        if now_s < self.retry_at_s:
            return
        self.retry_at_s = now_s + self._pause_s
        self._pause_s = min(_LONGEST_PAUSE_S, 2 * self._pause_s)

    def note_reachable(self) -> None:
        """Start again with short pauses."""
        self._pause_s = _FIRST_PAUSE_S

    @property
    def has_exclusive(self) -> bool:
        """Whether an item runs that must run alone."""
        return any(attempt.is_exclusive for attempt in self.running.values())

    @property
    def has_suspect(self) -> bool:
        """Whether an item runs whose earlier attempt broke."""
        return any(attempt.breaks for attempt in self.running.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An item to send now.

    :param is_exclusive: whether nothing else may run at the target meanwhile
    """

    chunk: HeldChunk
    pending: PendingItem
    is_exclusive: bool


def choose_item(
    held: abc.Iterable[HeldChunk], state: TargetState, now_s: float, max_attempts: int
) -> Choice | None:
    """Return the next item for a target and take it out of its chunk.

    An engine that crashes breaks every attempt it runs, so one poisonous item puts
    innocent ones under suspicion. A second attempt therefore runs with no other
    suspect beside it, and the last one with no other batch item at all: an item only
    fails for breaking engines when the last engine broke under it alone. An item under
    which an engine died runs alone at once, because a second death quarantines it.

    :param held: chunks whose model the target offers, best first
    """
    if state.has_exclusive:
        return None
    for chunk in held:
        suspect = _find_ready(chunk.suspects, now_s)
        if suspect is not None:
            is_last = suspect.breaks >= max_attempts - 1 or suspect.deaths > 0
            if is_last and state.running:
                return None
            if is_last or not state.has_suspect:
                chunk.suspects.remove(suspect)
                return Choice(chunk, suspect, is_last)
        if chunk.fresh and chunk.fresh[0].ready_at_s <= now_s:
            return Choice(chunk, chunk.fresh.popleft(), is_exclusive=False)
    return None


def _find_ready(suspects: list[PendingItem], now_s: float) -> PendingItem | None:
    """Return the waiting item with the most broken attempts."""
    ready = [item for item in suspects if item.ready_at_s <= now_s]
    return max(ready, key=lambda item: item.breaks, default=None)


def compute_pause_s(tries: int) -> float:
    """Return how long an item waits before its next attempt."""
    pause_s: float = _FIRST_PAUSE_S * 2 ** min(tries, 5)
    return min(_LONGEST_PAUSE_S, pause_s)
