"""Running the items of the jobs that this daemon owns, in the gaps of online load."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import secrets
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    batch_slots,
    failures,
    item_estimates,
    item_sender,
    job_changes,
    job_reader,
    job_registry,
    jobs,
    load_table,
    model,
    owned_jobs,
    preemption,
    result_commits,
    routing_table,
    slot_registry,
    store,
    target_client,
    target_registry,
    target_selection,
)

# Least time between two rounds where places come one by one.
_SHORTEST_ROUND_S = 0.005
# Pause of an item after its run broke, doubled with each break in a row.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 4.0
# After this time without a route in the newest configuration an item is given up: a
# daemon may lag behind the operator for nearly as long while the store is in trouble.
_ROUTE_GONE_S = 12.5
# How long the last results and the hand-over may take when the daemon stops.
_HAND_BACK_S = 4.0

Routes = abc.Callable[[], routing_table.RoutingTable | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerDependencies:
    """What the runner works with."""

    targets: target_registry.TargetRegistry
    load_table: load_table.LoadTable
    choices: target_selection.TargetSelector
    slots: batch_slots.BatchSlots
    caller: target_client.TargetClient
    row_store: store.Store
    changes: job_changes.JobChanges
    reader: job_reader.JobReader
    routes: Routes
    encode_headers: item_sender.HeaderEncoder
    generator: random.Random
    owner: str


class JobRunner:
    """Runs items where there is room and gives way to online requests."""

    def __init__(self, parts: RunnerDependencies) -> None:
        self._parts = parts
        self._owned: dict[str, owned_jobs.OwnedJob] = {}
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._pace = item_estimates.ItemEstimator()
        self._sender = item_sender.ItemSender(
            parts.targets, parts.caller, parts.encode_headers
        )
        self._commits = result_commits.ResultCommitter(
            parts.row_store, parts.changes, parts.reader, parts.owner, self._release
        )

    @property
    def owned(self) -> abc.Collection[str]:
        """Ids of the jobs that this daemon runs."""
        return self._owned.keys()

    def adopt(
        self,
        entry: job_registry.BookEntry,
        items: tuple[jobs.Item, ...],
        taken: jobs.Taken | None = None,
    ) -> None:
        """Run the items of a job that this daemon owns, unless it does so already.

        :param taken: what former owners have done
        """
        if entry.job.job_id in self._owned:
            return
        owned = owned_jobs.make_owned_job(entry, items, taken or jobs.Taken())
        self._owned[entry.job.job_id] = owned
        self.wake()

    def preempt_slot(self, number: int) -> None:
        """Cancel the item of a place, as the coordinator asks."""
        for owned in self._owned.values():
            for run in owned.list_running():
                if run.place is None or run.place.number != number:
                    continue
                if run.task is not None:
                    run.task.cancel()
                return

    def wake(self) -> None:
        """Look for work that can start."""
        self._wake.set()

    def apply_change(self, entry: job_registry.BookEntry) -> None:
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
                self._parts.load_table.own_waiting_items = 0
                self._parts.slots.begin_round({})
                self._wake.clear()
                await self._wake.wait()
            now_s = time.monotonic()
            self._give_way()
            if self._is_stopping:
                self._parts.slots.begin_round({})
            else:
                self._start_items()
                self._commits.store_progress_soon(self._owned.values(), now_s)
            self._count_waiting()
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next round."""
        round_s = self._parts.slots.round_interval_s
        if not self._parts.slots.is_coordinated:
            # What the others see of the last changes is as old as their reports.
            await asyncio.sleep(round_s)
            return
        await asyncio.sleep(_SHORTEST_ROUND_S)
        self._wake.clear()
        try:
            async with asyncio.timeout(round_s):
                await self._wake.wait()
        except TimeoutError:
            # Nothing has come: asks are repeated and progress is stored.
            return

    async def release_jobs(self) -> None:
        """Stop all items and leave the jobs, with their progress, to other daemons."""
        self._is_stopping = True
        for owned in self._owned.values():
            owned.cancel_runs()
        # The cancelled runs end before their progress is read.
        await asyncio.sleep(0)
        until_s = time.monotonic() + _HAND_BACK_S
        pending = [item.committing for item in self._owned.values() if item.committing]
        if pending:
            await asyncio.wait(pending, timeout=_HAND_BACK_S)
        await self._commits.store_progress(list(self._owned.values()))
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
        wishes = []
        waiting: collections.Counter[str] = collections.Counter()
        for urgency, owned, run in self._list_ready(now_s):
            route = table.find(owned.entry.job.host, run.item.path)
            if route is None:
                self._note_no_route(owned, run, now_s)
                continue
            run.routeless_since_s = 0.0
            service = routing_table.choose_service(route, self._parts.generator)
            waiting[service] += 1
            wishes.append((urgency, owned, run, route, service))
        self._parts.load_table.own_waiting_items = waiting.total()
        places_now = self._parts.slots.begin_round(waiting)
        for urgency, owned, run, route, service in wishes:
            place = places_now.find(service, urgency, _find_left_s(owned))
            if place is not None:
                self._start(owned, run, route, place)

    def _note_no_route(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun, now_s: float
    ) -> None:
        """Give an item up whose route the operator has removed for good."""
        if not run.routeless_since_s:
            run.routeless_since_s = now_s
        if now_s - run.routeless_since_s < _ROUTE_GONE_S:
            return
        logs.limited_info("item_without_route", job=owned.job_id, item=run.item.item_id)
        self._finish(owned, run, is_completed=False, text="")

    def _list_ready(
        self, now_s: float
    ) -> list[tuple[item_estimates.Urgency, owned_jobs.OwnedJob, owned_jobs.ItemRun]]:
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

    def _rate(
        self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun
    ) -> item_estimates.Urgency:
        return self._pace.classify_urgency(run.last_event, _find_left_s(owned))

    def _count_waiting(self) -> None:
        """Tell the others how many items could start."""
        now_s = time.monotonic()
        self._parts.load_table.own_waiting_items = sum(
            len(owned.list_ready(now_s)) for owned in self._owned.values()
        )

    def _start(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        place: slot_registry.Slot,
    ) -> None:
        run.place = place
        run.started_s = time.monotonic()
        run.task = asyncio.ensure_future(self._run_item(owned, run, route, place))

    def _give_way(self) -> None:
        """Cancel items on targets that online requests fill."""
        if self._parts.slots.is_coordinated:
            return
        by_target: dict[str, list[preemption.Candidate[owned_jobs.ItemRun]]] = {}
        for owned in self._owned.values():
            for run in owned.list_running():
                candidate = preemption.Candidate(
                    run, self._rate(owned, run), run.started_s
                )
                target_id = run.place.target.target_id if run.place else ""
                by_target.setdefault(target_id, []).append(candidate)
        for target_id, running in by_target.items():
            known = self._parts.targets.find(target_id)
            if known is None:
                continue
            surplus = self._parts.choices.count_to_preempt(known.target)
            if surplus <= 0:
                continue
            self._parts.slots.record_preemption(target_id)
            batch = self._parts.load_table.total(target_id).batch
            for run in preemption.choose_items(running, surplus, batch):
                if run.task is not None:
                    run.task.cancel()

    async def _run_item(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        place: slot_registry.Slot,
    ) -> None:
        target = place.target
        end = item_sender.RunEnd.YIELDED
        started_at = run.last_event
        status = 0
        try:
            end, status = await self._sender.send(owned.entry.job, run, target)
        except failures.TargetCallError as error:
            end = self._note_failed_call(owned, run, error)
        finally:
            run_s = time.monotonic() - run.started_s
            self._pace.record_run(run.last_event - started_at, run_s)
            run.task = None
            run.place = None
            self._parts.slots.release(place, run_s)
            self._settle(owned, run, route, end, run.last_event > started_at)
            metrics.BATCH_ITEMS.labels(end.value).inc()
            logs.limited_info(
                "item_run_ended",
                job=owned.job_id,
                item=run.item.item_id,
                target=target.target_id,
                end=end.value,
                run_ms=int(run_s * 1000),
                status=status or None,
                events=run.last_event,
            )
            self.wake()

    def _note_failed_call(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        error: failures.TargetCallError,
    ) -> item_sender.RunEnd:
        """Log a call without a whole answer and return how the run ended."""
        if error.is_target_fault:
            # Answers of failure may be due to the item, broken ones are not.
            now_s = time.monotonic()
            self._parts.load_table.outcomes.record(error.target_id, now_s, 1.0)
        logs.limited_info(
            "item_run_failed",
            job=owned.job_id,
            item=run.item.item_id,
            target=error.target_id,
            cause=error.cause,
            events=run.last_event,
        )
        if error.may_have_run:
            return item_sender.RunEnd.BROKEN
        return item_sender.RunEnd.NOT_RUN

    def _settle(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        end: item_sender.RunEnd,
        has_advanced: bool,
    ) -> None:
        """Decide what follows a run."""
        if run.item.item_id not in owned.runs:
            return
        if end is item_sender.RunEnd.WHOLE:
            self._pace.record_item(run.last_event)
            text = b"\n".join(run.pieces).decode("utf-8", errors="replace")
            self._finish(owned, run, is_completed=True, text=text)
            return
        if end is item_sender.RunEnd.FAILED:
            run.failed += 1
        is_impossible = end is item_sender.RunEnd.IMPOSSIBLE
        if is_impossible or run.failed >= max(1, route.max_attempts):
            self._finish(owned, run, is_completed=False, text="")
            return
        if end is item_sender.RunEnd.YIELDED:
            return
        run.breaks = 0 if has_advanced else run.breaks + 1
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2 ** min(run.breaks, 6))
        if end is item_sender.RunEnd.NOT_RUN:
            pause_s = _FIRST_PAUSE_S
        run.not_before_s = time.monotonic() + pause_s

    def _finish(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        is_completed: bool,
        text: str,
    ) -> None:
        del owned.runs[run.item.item_id]
        result = jobs.ItemResult(run.item.item_id, is_completed, text)
        self._commits.add(owned, result)

    def _release(self, owned: owned_jobs.OwnedJob, cause: str) -> None:
        """Stop running a job that has ended or that another daemon runs."""
        if self._owned.get(owned.job_id) is not owned:
            return
        del self._owned[owned.job_id]
        logs.info("job_released", job=owned.job_id, cause=cause)
        owned.cancel_runs()
        owned.runs.clear()
        if owned.committing is not None:
            owned.committing.cancel()


def _find_left_s(owned: owned_jobs.OwnedJob) -> float:
    """Return the time until a job is due."""
    return owned.entry.job.due_ms / 1000.0 - time.time()
