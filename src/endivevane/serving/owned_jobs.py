"""Jobs that this daemon runs, and how far their items have come."""

from __future__ import annotations

import asyncio
import dataclasses

from endivevane.serving import job_registry, jobs, slot_registry, sse


@dataclasses.dataclass(slots=True, eq=False)
class ItemRun:
    """An item without a result, and how far it has come.

    :ivar pieces: data of the events so far
    :ivar last_event: number of the last event, 0 for none
    :ivar stored_event: number of the last event whose data the store holds
    :ivar failed: answers of failure
    :ivar breaks: runs in a row that brought nothing
    :ivar not_before_s: monotonic time of the next run
    :ivar routeless_since_s: monotonic time since which no route leads to a service, 0
        while one does
    :ivar place: where it runs, ``None`` while it does not
    :ivar started_s: monotonic time of its start
    """

    item: jobs.Item
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    last_event: int = 0
    stored_event: int = 0
    failed: int = 0
    breaks: int = 0
    not_before_s: float = 0.0
    routeless_since_s: float = 0.0
    place: slot_registry.Slot | None = None
    started_s: float = 0.0
    task: asyncio.Task[None] | None = None

    def take(self, event: sse.Event) -> bool:
        """Add an event; return whether it follows the last one."""
        if event.event_id.isdigit():
            number = int(event.event_id)
            if number <= self.last_event:
                return True
            if number != self.last_event + 1:
                return False
            self.last_event = number
        if event.data is not None:
            self.pieces.append(event.data)
        return True

    def restore(self, progress: jobs.Progress) -> None:
        """Go on behind what a former owner has stored."""
        self.pieces = list(progress.pieces)
        self.last_event = progress.last_event
        self.stored_event = progress.last_event


@dataclasses.dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this daemon runs.

    :ivar runs: items without a result, by id
    :ivar results: results that the store does not have yet
    :ivar committing: task that stores results, ``None`` while there are none
    """

    entry: job_registry.BookEntry
    runs: dict[str, ItemRun]
    results: list[jobs.ItemResult] = dataclasses.field(default_factory=list)
    committing: asyncio.Task[None] | None = None

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.entry.job.job_id

    def count_failed_runs(self) -> dict[str, int]:
        """Return the answers of failure by item, which the next owner goes on from."""
        return {item_id: run.failed for item_id, run in self.runs.items() if run.failed}

    def list_ready(self, now_s: float) -> list[ItemRun]:
        """Return the items that may start."""
        return [
            run
            for run in self.runs.values()
            if run.task is None and run.not_before_s <= now_s
        ]

    def list_running(self) -> list[ItemRun]:
        """Return the items that run."""
        return [run for run in self.runs.values() if run.task is not None]

    def cancel_runs(self) -> None:
        """Stop all items; what they have brought is kept."""
        for run in self.list_running():
            if run.task is not None:
                run.task.cancel()


def make_owned_job(
    entry: job_registry.BookEntry,
    items: tuple[jobs.Item, ...],
    taken: jobs.Taken,
) -> OwnedJob:
    """Return a job to run.

    :param taken: what former owners have done
    """
    failed = entry.job.failed_runs
    runs = {}
    for item in items:
        if item.item_id in taken.done:
            continue
        run = ItemRun(item, failed=failed.get(item.item_id, 0))
        progress = taken.progress.get(item.item_id)
        if progress is not None:
            run.restore(progress)
        runs[item.item_id] = run
    return OwnedJob(entry, runs)
