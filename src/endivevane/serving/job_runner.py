"""Running the items of the jobs that this daemon owns, in the gaps of online load."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
import secrets
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    directory,
    event_stream,
    failures,
    item_pace,
    job_book,
    job_changes,
    job_reader,
    jobs,
    load_board,
    model,
    placement,
    routing_table,
    store,
    target_calls,
)

# Items started at once; other daemons see the load before the next ones start.
_STARTS_AT_ONCE = 2
_TICK_S = 0.04
# Items do not return to a target for this long after some have left it.
_REST_S = 0.5
# Pause of an item after its run broke, doubled with each break in a row.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 4.0
# Results and bytes that one transaction takes.
_RESULTS_AT_ONCE = 12
_BYTES_AT_ONCE = 400_000
# How long the last results and the hand-over may take when the daemon stops.
_HAND_BACK_S = 4.0
_FOREVER_S = float("inf")
# The target says that the item itself can't be done.
_IMPOSSIBLE_STATUS = 422
_FAILED_STATUS = 500
_OK_STATUS = 200


class _End(enum.Enum):
    """How a run of an item ended."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    YIELDED = "yielded"


@dataclasses.dataclass(slots=True, eq=False)
class ItemRun:
    """An item without a result, and how far it has come.

    :ivar pieces: data of the events so far
    :ivar last_event: number of the last event, 0 for none
    :ivar failed: answers of failure
    :ivar breaks: runs in a row that brought nothing
    :ivar not_before_s: monotonic time of the next run
    :ivar target_id: target of the current run
    """

    item: jobs.Item
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    last_event: int = 0
    failed: int = 0
    breaks: int = 0
    not_before_s: float = 0.0
    target_id: str = ""
    started_s: float = 0.0
    task: asyncio.Task[None] | None = None

    def take(self, event: event_stream.Event) -> bool:
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


@dataclasses.dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this daemon runs.

    :ivar runs: items without a result, by id
    :ivar results: results that the store does not have yet
    """

    entry: job_book.BookEntry
    runs: dict[str, ItemRun]
    results: list[jobs.ItemResult] = dataclasses.field(default_factory=list)
    committing: asyncio.Task[None] | None = None

    def count_failed_runs(self) -> dict[str, int]:
        """Return the answers of failure by item, which the next owner goes on from."""
        return {item_id: run.failed for item_id, run in self.runs.items() if run.failed}

    def list_ready(self, now_s: float) -> list[ItemRun]:
        """Return the items that may start."""
        ready = [
            run
            for run in self.runs.values()
            if run.task is None and run.not_before_s <= now_s
        ]
        return ready


Routes = abc.Callable[[], routing_table.RoutingTable | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerParts:
    """What the runner works with."""

    targets: directory.Directory
    board: load_board.LoadBoard
    choices: placement.Placement
    caller: target_calls.TargetCaller
    changes: job_changes.JobChanges
    reader: job_reader.JobReader
    routes: Routes
    encode_headers: abc.Callable[[str, abc.Mapping[str, str]], model.Headers]
    generator: random.Random
    owner: str
    load_age_s: abc.Callable[[], float]


class JobRunner:
    """Runs items where there is room and gives way to online requests."""

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._owned: dict[str, OwnedJob] = {}
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._pace = item_pace.ItemPace()
        # Target -> monotonic time at which items last left it for online requests.
        self._yielded_s: dict[str, float] = {}

    @property
    def owned(self) -> abc.Collection[str]:
        """Ids of the jobs that this daemon runs."""
        return self._owned.keys()

    def adopt(
        self,
        entry: job_book.BookEntry,
        items: abc.Iterable[jobs.Item],
        done: abc.Set[str] = frozenset(),
    ) -> None:
        """Run the items of a job that this daemon owns, unless it does so already.

        :param done: ids of the items that have results
        """
        if entry.job.job_id in self._owned:
            return
        failed_runs = entry.job.failed_runs
        runs = {
            item.item_id: ItemRun(item, failed=failed_runs.get(item.item_id, 0))
            for item in items
            if item.item_id not in done
        }
        self._owned[entry.job.job_id] = OwnedJob(entry, runs)
        self.wake()

    def wake(self) -> None:
        """Look for work that can start or has to give way."""
        self._wake.set()

    def take_change(self, entry: job_book.BookEntry) -> None:
        """Take in a new version of a job, which may end it or move it elsewhere."""
        owned = self._owned.get(entry.job.job_id)
        if owned is None or entry.version <= owned.entry.version:
            return
        if entry.job.is_open and entry.job.owner == self._parts.owner:
            owned.entry = entry
            return
        cause = "moved" if entry.job.is_open else entry.job.state.value
        self._release(owned, cause)

    async def run(self) -> None:
        """Start items and make them give way until cancelled."""
        while True:
            if not self._owned:
                self._parts.board.own_waiting_items = 0
                self._wake.clear()
                await self._wake.wait()
            self._parts.choices.record_peaks(time.monotonic())
            self._give_way()
            if not self._is_stopping:
                self._start_items()
            self._count_waiting()
            # What the others see of the last changes is as old as their reports.
            await asyncio.sleep(max(_TICK_S, self._parts.load_age_s()))

    async def hand_back(self) -> None:
        """Stop all items and leave the jobs to other daemons."""
        self._is_stopping = True
        for owned in list(self._owned.values()):
            self._cancel_runs(owned)
        until_s = time.monotonic() + _HAND_BACK_S
        pending = [item.committing for item in self._owned.values() if item.committing]
        if pending:
            await asyncio.wait(pending, timeout=_HAND_BACK_S)
        for owned in list(self._owned.values()):
            job = owned.entry.job
            given = dataclasses.replace(
                job,
                owner="",
                epoch=job.epoch + 1,
                operation=secrets.token_hex(8),
                failed_runs=owned.count_failed_runs(),
            )
            await self._parts.changes.replace(owned.entry, given, until_s)

    def _start_items(self) -> None:
        now_s = time.monotonic()
        table = self._parts.routes()
        if table is None:
            return
        starts = 0
        full: set[str] = set()
        resting = self._list_resting(now_s)
        for urgency, owned, run in self._list_ready(now_s):
            if starts >= _STARTS_AT_ONCE:
                return
            route = table.find(owned.entry.job.host, run.item.path)
            if route is None:
                continue
            service = routing_table.choose_service(route, self._parts.generator)
            is_urgent = urgency is item_pace.Urgency.URGENT
            if service in full and not is_urgent:
                continue
            target = self._parts.choices.choose_batch(
                service, now_s, resting, is_urgent
            )
            if target is None:
                full.add(service)
                continue
            self._start(owned, run, route, target)
            starts += 1

    def _list_ready(
        self, now_s: float
    ) -> list[tuple[item_pace.Urgency, OwnedJob, ItemRun]]:
        """Return the items that may start, in the order in which they should."""
        ready = []
        for owned in self._owned.values():
            for run in owned.list_ready(now_s):
                ready.append((self._rate(owned, run), owned, run))
        # Items that have begun go before others of the same due time.
        ready.sort(
            key=lambda entry: (
                entry[0],
                entry[1].entry.job.due_ms,
                -entry[2].last_event,
            )
        )
        return ready

    def _rate(self, owned: OwnedJob, run: ItemRun) -> item_pace.Urgency:
        left_s = owned.entry.job.due_ms / 1000.0 - time.time()
        return self._pace.rate(run.last_event, left_s)

    def _count_waiting(self) -> None:
        """Tell the others how many items could start."""
        self._parts.board.own_waiting_items = sum(
            1
            for owned in self._owned.values()
            for run in owned.runs.values()
            if run.task is None
        )

    def _list_resting(self, now_s: float) -> frozenset[str]:
        """Return the targets that items have left a moment ago."""
        for target_id, yielded_s in list(self._yielded_s.items()):
            if now_s - yielded_s > _REST_S:
                del self._yielded_s[target_id]
        return frozenset(self._yielded_s)

    def _start(
        self,
        owned: OwnedJob,
        run: ItemRun,
        route: model.Route,
        target: model.Target,
    ) -> None:
        run.target_id = target.target_id
        run.started_s = time.monotonic()
        self._parts.board.begin(target.target_id, is_batch=True)
        run.task = asyncio.ensure_future(self._run_item(owned, run, route, target))

    def _give_way(self) -> None:
        """Cancel items on targets that online requests fill."""
        now_s = time.monotonic()
        by_target: dict[str, list[tuple[item_pace.Urgency, ItemRun]]] = {}
        for owned in self._owned.values():
            for run in owned.runs.values():
                if run.task is not None:
                    entry = (self._rate(owned, run), run)
                    by_target.setdefault(run.target_id, []).append(entry)
        for target_id, runs in by_target.items():
            known = self._parts.targets.find(target_id)
            if known is None:
                continue
            surplus = self._parts.choices.count_to_yield(known.target)
            if surplus <= 0:
                continue
            self._yielded_s[target_id] = now_s
            # Late items first; among others, those that started last lose least.
            runs.sort(key=lambda entry: (entry[0], entry[1].started_s), reverse=True)
            batch = self._parts.board.total(target_id).batch
            for urgency, run in runs[:surplus]:
                is_urgent = urgency is item_pace.Urgency.URGENT
                if is_urgent and batch <= placement.URGENT_PLACES:
                    break
                if run.task is not None:
                    run.task.cancel()
                    batch -= 1

    async def _run_item(
        self,
        owned: OwnedJob,
        run: ItemRun,
        route: model.Route,
        target: model.Target,
    ) -> None:
        end = _End.YIELDED
        started_at = run.last_event
        status = 0
        try:
            end, status = await self._call(owned, run, target)
        except failures.TargetCallError as error:
            end = _End.BROKEN if error.may_have_run else _End.NOT_RUN
            logs.limited_info(
                "item_run_failed",
                job=owned.entry.job.job_id,
                item=run.item.item_id,
                target=target.target_id,
                cause=error.cause,
                events=run.last_event,
            )
        finally:
            run_s = time.monotonic() - run.started_s
            self._pace.record_run(run.last_event - started_at, run_s)
            run.task = None
            run.target_id = ""
            self._parts.board.end(target.target_id, is_batch=True)
            self._settle(owned, run, route, end, run.last_event > started_at)
            metrics.BATCH_ITEMS.labels(end.value).inc()
            logs.limited_info(
                "item_run_ended",
                job=owned.entry.job.job_id,
                item=run.item.item_id,
                target=target.target_id,
                end=end.value,
                status=status or None,
                events=run.last_event,
            )
            self.wake()

    async def _call(
        self, owned: OwnedJob, run: ItemRun, target: model.Target
    ) -> tuple[_End, int]:
        known = self._parts.targets.find(target.target_id)
        if known is None or known.target.is_leaving:
            return _End.NOT_RUN, 0
        job = owned.entry.job
        call = model.TargetCall(
            method=b"POST",
            path=run.item.path.encode("latin-1"),
            headers=self._parts.encode_headers(job.host, run.item.headers),
            body=run.item.body,
            attempt_id=run.item.item_id.encode("latin-1"),
            last_event_id=str(run.last_event).encode() if run.last_event else b"",
        )
        async with self._parts.caller.call(known, call, True) as answer:
            status = answer.reply.status
            if answer.reply.is_not_run:
                known.health.record_full(time.monotonic())
                if answer.reply.is_other_target:
                    self._parts.targets.record_replaced(known.target)
                return _End.NOT_RUN, status
            if status == _IMPOSSIBLE_STATUS:
                return _End.IMPOSSIBLE, status
            if status == _FAILED_STATUS:
                return _End.FAILED, status
            if status != _OK_STATUS:
                return _End.BROKEN, status
            end = await self._read_events(run, answer)
            if end is _End.WHOLE:
                known.health.record_success()
            return end, status

    async def _read_events(self, run: ItemRun, answer: target_calls.Answer) -> _End:
        splitter = event_stream.EventSplitter()
        while (data := await answer.read()) is not None:
            for event in splitter.feed(data):
                if not run.take(event):
                    return _End.BROKEN
        return _End.BROKEN if splitter.rest else _End.WHOLE

    def _settle(
        self,
        owned: OwnedJob,
        run: ItemRun,
        route: model.Route,
        end: _End,
        has_advanced: bool,
    ) -> None:
        """Decide what follows a run."""
        if run.item.item_id not in owned.runs:
            return
        if end is _End.WHOLE:
            self._pace.record_whole(run.last_event)
            text = b"\n".join(run.pieces).decode("utf-8", errors="surrogateescape")
            self._finish(owned, run, is_completed=True, text=text)
            return
        if end is _End.FAILED:
            run.failed += 1
        if end is _End.IMPOSSIBLE or run.failed >= max(1, route.max_attempts):
            self._finish(owned, run, is_completed=False, text="")
            return
        if end is _End.YIELDED:
            return
        run.breaks = 0 if has_advanced else run.breaks + 1
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2 ** min(run.breaks, 6))
        if end is _End.NOT_RUN:
            pause_s = _FIRST_PAUSE_S
        run.not_before_s = time.monotonic() + pause_s

    def _finish(
        self, owned: OwnedJob, run: ItemRun, is_completed: bool, text: str
    ) -> None:
        del owned.runs[run.item.item_id]
        owned.results.append(jobs.ItemResult(run.item.item_id, is_completed, text))
        if owned.committing is None:
            owned.committing = asyncio.ensure_future(self._commit(owned))

    async def _commit(self, owned: OwnedJob) -> None:
        """Store results until there are none left or the job is no longer ours."""
        try:
            while owned.results and owned.entry.job.job_id in self._owned:
                await self._commit_some(owned)
        finally:
            owned.committing = None

    async def _commit_some(self, owned: OwnedJob) -> None:
        entry = owned.entry
        job = entry.job
        batch: list[jobs.ItemResult] = []
        puts: list[tuple[store.RowKey, bytes]] = []
        size = 0
        for result in owned.results[:_RESULTS_AT_ONCE]:
            content = jobs.encode_result(result)
            size += len(content)
            if batch and size > _BYTES_AT_ONCE:
                break
            prefix = jobs.make_result_prefix(job.job_id, job.listed + len(batch))
            puts.extend(jobs.split_rows(jobs.RESULT_TABLE, prefix, content))
            batch.append(result)
        unfinished = len(owned.runs) + len(owned.results) - len(batch)
        advanced = dataclasses.replace(
            job,
            listed=job.listed + len(batch),
            tokens_left=sum(run.item.tokens for run in owned.runs.values()),
            state=jobs.JobState.OPEN if unfinished else jobs.JobState.DONE,
            operation=secrets.token_hex(8),
            failed_runs=owned.count_failed_runs(),
        )
        # Sent until its outcome is known: a second change with the same results could
        # put them at two positions.
        stands = await self._parts.changes.replace(entry, advanced, _FOREVER_S, puts)
        if stands is None:
            self._release(owned, "row is gone")
            return
        self._note_commit(owned, stands, advanced, batch)

    def _note_commit(
        self,
        owned: OwnedJob,
        stands: job_book.BookEntry,
        advanced: jobs.Job,
        batch: list[jobs.ItemResult],
    ) -> None:
        job = stands.job
        if job.operation == advanced.operation:
            owned.entry = stands
            del owned.results[: len(batch)]
            start = job.listed - len(batch)
            kept = {start + number: result for number, result in enumerate(batch)}
            self._parts.reader.keep_results(job.job_id, kept)
            metrics.BATCH_COMMITS.labels("applied").inc()
            logs.limited_info(
                "results_stored",
                job=job.job_id,
                listed=job.listed,
                total=job.total,
                version=stands.version,
            )
            if not job.is_open:
                self._release(owned, job.state.value)
            return
        metrics.BATCH_COMMITS.labels("conflict").inc()
        if job.is_open and job.owner == self._parts.owner:
            owned.entry = stands
            return
        self._release(owned, "moved" if job.is_open else job.state.value)

    def _release(self, owned: OwnedJob, cause: str) -> None:
        job_id = owned.entry.job.job_id
        if self._owned.get(job_id) is not owned:
            return
        del self._owned[job_id]
        logs.info("job_released", job=job_id, cause=cause)
        self._cancel_runs(owned)
        owned.runs.clear()
        if owned.committing is not None:
            owned.committing.cancel()

    def _cancel_runs(self, owned: OwnedJob) -> None:
        for run in owned.runs.values():
            if run.task is not None:
                run.task.cancel()
