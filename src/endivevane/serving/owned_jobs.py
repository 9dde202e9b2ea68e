"""Jobs that this daemon runs, and the progress of their items."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from endivevane.serving import (
    failed_runs,
    item_refusals,
    job_registry,
    jobs,
    model,
    run_records,
    slot_registry,
    sse,
)


@dataclasses.dataclass(slots=True, eq=False)
class ItemRun:
    """An item without a result, and its progress.

    :ivar pieces: data of the events received so far
    :ivar last_event: number of the last event, 0 for none
    :ivar service: service of the targets that sent the events, ``None`` before the
        first one
    :ivar version: software version of these targets, ``None`` likewise
    :ivar received_events: number of events of all runs
    :ivar stored_event: number of the last event whose data the store holds
    :ivar refused_by: targets that have refused it
    :ivar refusals: those in a row that show that it may be too large
    :ivar goes_last: whether others go before it, since it may be too large
    :ivar stalled_runs: consecutive runs without a new event
    :ivar not_before_s: earliest monotonic time of the next run
    :ivar routeless_since_s: monotonic time since which the item has no route, 0 while
        it has one
    :ivar is_held: whether too many of its runs may have failed for a further one
    :ivar slot: slot that it occupies, ``None`` while it does not run
    :ivar started_s: monotonic time at which the current run started
    :ivar advanced_s: monotonic time at which the last run with a new event ended, or
        at which stored events were restored
    """

    item: jobs.Item
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    last_event: int = 0
    service: str | None = None
    version: str | None = None
    received_events: int = 0
    stored_event: int = 0
    refused_by: set[str] = dataclasses.field(default_factory=set)
    refusals: item_refusals.ItemRefusals = dataclasses.field(
        default_factory=item_refusals.ItemRefusals
    )
    goes_last: bool = False
    stalled_runs: int = 0
    not_before_s: float = 0.0
    routeless_since_s: float = 0.0
    is_held: bool = False
    slot: slot_registry.Slot | None = None
    started_s: float = 0.0
    advanced_s: float = 0.0
    task: asyncio.Task[None] | None = None

    def add_event(self, event: sse.Event, target: model.Target) -> None:
        """Add the next event, which a target sent."""
        self.service = target.service
        self.version = target.version
        self.received_events += 1
        if event.event_id:
            self.last_event = int(event.event_id)
        if event.data is not None:
            self.pieces.append(event.data)

    @property
    def has_had_event(self) -> bool:
        """Whether a target has sent an event of it, to this or an earlier owner."""
        return bool(self.received_events or self.advanced_s)

    def can_go_on_at(self, target: model.Target) -> bool:
        """Return whether a target may go on behind the last event.

        Texts of other services, and of other versions of one service, don't fit to it.
        """
        if not self.last_event:
            return True
        return (self.service, self.version) == (target.service, target.version)

    def restart(self) -> None:
        """Drop the events received so far."""
        self.pieces.clear()
        self.last_event = 0
        self.stored_event = 0
        self.service = None
        self.version = None

    def restore(self, progress: jobs.Progress) -> None:
        """Resume from the progress that an earlier owner has stored."""
        self.service = progress.service
        self.version = progress.version
        self.advanced_s = time.monotonic()
        self.pieces = list(progress.pieces)
        self.last_event = progress.last_event
        self.stored_event = progress.last_event


@dataclasses.dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this daemon runs.

    :ivar runs: items without a result, by id
    :ivar failed_runs: failed runs of the items without a stored result
    :ivar records: runs of these items that may have failed unknown to this owner
    :ivar results: results not yet committed to the store
    :ivar committing: task that commits results, ``None`` while there are none
    """

    entry: job_registry.JobEntry
    runs: dict[str, ItemRun]
    failed_runs: failed_runs.FailedRuns
    records: run_records.RunRecords
    results: list[jobs.ItemResult] = dataclasses.field(default_factory=list)
    committing: asyncio.Task[None] | None = None

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.entry.job.job_id

    @property
    def unstored_since_s(self) -> float | None:
        """Monotonic time since which items wait for the store, ``None`` if none do."""
        times_s = (self.failed_runs.unstored_since_s, self.records.unstored_since_s)
        return min((time_s for time_s in times_s if time_s is not None), default=None)

    def list_ready(self, now_s: float) -> list[ItemRun]:
        """Return the items that may start now."""
        return [
            run
            for run in self.runs.values()
            if run.task is None
            and run.not_before_s <= now_s
            and self.failed_runs.is_stored(run.item.item_id)
        ]

    def list_running(self) -> list[ItemRun]:
        """Return the items that are running."""
        return [run for run in self.runs.values() if run.task is not None]

    def cancel_runs(self) -> None:
        """Cancel all running items; the events received so far are kept."""
        for run in self.list_running():
            if run.task is not None:
                run.task.cancel()


def make_owned_job(
    entry: job_registry.JobEntry,
    items: tuple[jobs.Item, ...],
    stored: jobs.JobProgress,
) -> OwnedJob:
    """Return a job with a run for each unfinished item.

    :param stored: work that earlier owners have stored
    """
    runs = {}
    for item in items:
        if item.item_id in stored.done:
            continue
        run = ItemRun(item)
        progress = stored.progress.get(item.item_id)
        if progress is not None:
            run.restore(progress)
        runs[item.item_id] = run
    failed = {
        item_id: count
        for item_id, count in entry.job.failed_runs.items()
        if item_id in runs
    }
    records = run_records.RunRecords(entry.job, items)
    return OwnedJob(entry, runs, failed_runs.FailedRuns(failed), records)
