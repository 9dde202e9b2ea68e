"""Execution of the items of owned jobs, on capacity that online load leaves free."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import secrets
import time
from collections import abc

from endivevane import logs, metrics
from endivevane.serving import (
    failures,
    item_estimates,
    item_gate,
    item_order,
    item_refusals,
    item_requests,
    item_sender,
    job_registry,
    jobs,
    model,
    owned_jobs,
    preemption,
    result_commits,
    runner_dependencies,
    slot_registry,
)

# Minimum interval of rounds while a coordinator grants the slots one by one.
_MIN_ROUND_INTERVAL_S = 0.005
# Back-off of an item after a broken run, doubled with each run without progress.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 4.0
# Time limit for committing results and releasing jobs when the daemon stops.
_RELEASE_TIMEOUT_S = 4.0


class JobRunner:
    """Runs items in free slots and preempts them for online requests."""

    def __init__(self, dependencies: runner_dependencies.RunnerDependencies) -> None:
        self._dependencies = dependencies
        self._owned: dict[str, owned_jobs.OwnedJob] = {}
        self._wake = asyncio.Event()
        self._is_stopping = False
        self._estimates = item_estimates.ItemEstimator()
        refusal_judge = item_refusals.RefusalJudge(dependencies.load_table)
        self._order = item_order.ItemOrder(self._estimates, refusal_judge)
        self._gate = item_gate.ItemGate(self._give_up, dependencies.targets)
        self._sender = item_sender.ItemSender(
            dependencies.targets,
            dependencies.caller,
            dependencies.encode_headers,
            dependencies.decode_segments,
            dependencies.quarantine,
            refusal_judge,
        )
        self._commits = result_commits.ResultCommitter(
            dependencies.row_store,
            dependencies.changes,
            dependencies.reader,
            dependencies.owner,
            dependencies.count_daemons,
            self._release,
        )

    @property
    def owned(self) -> abc.Collection[str]:
        """Ids of the jobs that this daemon runs."""
        return self._owned.keys()

    def start_job(
        self,
        entry: job_registry.JobEntry,
        items: tuple[jobs.Item, ...],
        stored: jobs.JobProgress | None = None,
    ) -> None:
        """Run the items of a job that this daemon owns, unless they are running.

        :param stored: work that earlier owners have stored
        """
        if entry.job.job_id in self._owned:
            return
        owned = owned_jobs.make_owned_job(entry, items, stored or jobs.JobProgress())
        self._owned[entry.job.job_id] = owned
        self.wake()

    def preempt_slot(self, number: int) -> None:
        """Cancel the item in a slot, on request of the coordinator."""
        for owned in self._owned.values():
            for run in owned.list_running():
                if run.slot is None or run.slot.number != number:
                    continue
                if run.task is not None:
                    run.task.cancel()
                return

    def wake(self) -> None:
        """Start the next round without waiting for its interval."""
        self._wake.set()

    def apply_change(self, entry: job_registry.JobEntry) -> None:
        """Apply a new version of a job, which may end it or change its owner."""
        owned = self._owned.get(entry.job.job_id)
        if owned is None or entry.version <= owned.entry.version:
            return
        if entry.job.is_open and entry.job.owner == self._dependencies.owner:
            owned.entry = entry
            return
        cause = "moved" if entry.job.is_open else entry.job.state.value
        self._release(owned, cause)

    async def run(self) -> None:
        """Start and preempt items until cancelled."""
        while True:
            if not self._owned:
                self._dependencies.load_table.own_waiting_items = 0
                self._dependencies.slots.begin_round({})
                self._wake.clear()
                await self._wake.wait()
            now_s = time.monotonic()
            self._preempt()
            if self._is_stopping:
                self._dependencies.slots.begin_round({})
            else:
                self._start_items()
                self._commits.store_progress_if_due(self._owned.values(), now_s)
                self._commits.store_failed_runs_if_due(self._owned.values(), now_s)
            self._publish_waiting_count()
            await self._wait_for_round()

    async def _wait_for_round(self) -> None:
        """Wait for the next round."""
        round_s = self._dependencies.slots.round_interval_s
        if not self._dependencies.slots.is_coordinated:
            # Peers see the effect of the last round only after the next reports.
            await asyncio.sleep(round_s)
            return
        await asyncio.sleep(_MIN_ROUND_INTERVAL_S)
        self._wake.clear()
        try:
            async with asyncio.timeout(round_s):
                await self._wake.wait()
        except TimeoutError:
            # The next round repeats slot requests and stores progress.
            return

    async def release_jobs(self) -> None:
        """Stop all items, store their progress, and release the jobs to the others."""
        self._is_stopping = True
        for owned in self._owned.values():
            owned.cancel_runs()
        # Lets the cancelled runs end before their progress is read.
        await asyncio.sleep(0)
        until_s = time.monotonic() + _RELEASE_TIMEOUT_S
        pending = [item.committing for item in self._owned.values() if item.committing]
        if pending:
            await asyncio.wait(pending, timeout=_RELEASE_TIMEOUT_S)
        await self._commits.store_progress(list(self._owned.values()))
        for owned in list(self._owned.values()):
            job = owned.entry.job
            released = dataclasses.replace(
                job,
                owner="",
                epoch=job.epoch + 1,
                operation=secrets.token_hex(8),
                failed_runs=owned.failed_runs.get_counts(),
                begun_runs=owned.records.get_counts_of_others(),
            )
            await self._dependencies.changes.replace(owned.entry, released, until_s)

    def _start_items(self) -> None:
        now_s = time.monotonic()
        table = self._dependencies.routes()
        if table is None:
            return
        requests: list[item_requests.ItemRequest] = []
        waiting: collections.Counter[str] = collections.Counter()
        for urgency, owned, run in self._order.list_ready(self._owned.values(), now_s):
            route = self._gate.find_route(table, owned, run, now_s)
            if route is None:
                continue
            service = item_requests.choose_service(
                run,
                route,
                self._dependencies.generator,
                now_s,
                self._dependencies.targets,
            )
            waiting[service] += 1
            requests.append(
                item_requests.ItemRequest(urgency, owned, run, route, service)
            )
        self._dependencies.load_table.own_waiting_items = waiting.total()
        slot_round = self._dependencies.slots.begin_round(waiting)
        while requests:
            first = requests[0]
            left_s = item_order.get_time_left_s(first.owned)
            version = item_requests.find_version(
                first, self._dependencies.choices, now_s
            )
            slot = slot_round.find(
                first.service,
                first.urgency,
                left_s,
                version,
                first.organisation,
                first.find_avoided(self._dependencies.targets),
            )
            if slot is None:
                del requests[0]
                continue
            fitting = item_requests.find_fitting(requests, slot.target)
            chosen = requests.pop(fitting)
            self._start(chosen.owned, chosen.run, chosen.route, slot)

    def _publish_waiting_count(self) -> None:
        """Publish the number of items that could start to the other daemons."""
        now_s = time.monotonic()
        self._dependencies.load_table.own_waiting_items = sum(
            len(owned.list_ready(now_s)) for owned in self._owned.values()
        )

    def _start(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        slot: slot_registry.Slot,
    ) -> None:
        run.slot = slot
        run.started_s = time.monotonic()
        run.task = asyncio.ensure_future(self._run_item(owned, run, route, slot))
        # A task that is cancelled before its first step runs no line of its own.
        run.task.add_done_callback(lambda _: self._free_slot(run, slot))

    def _free_slot(self, run: owned_jobs.ItemRun, slot: slot_registry.Slot) -> None:
        """Free the slot of an item whose run has ended, unless it is free."""
        if run.slot is not slot:
            return
        run.task = None
        run.slot = None
        held_s = time.monotonic() - run.started_s
        self._dependencies.slots.release(slot, held_s)

    def _preempt(self) -> None:
        """Cancel items on targets that online requests need, without a coordinator."""
        if self._dependencies.slots.is_coordinated:
            return
        by_target: dict[str, list[preemption.Candidate[owned_jobs.ItemRun]]] = {}
        for owned in self._owned.values():
            for run in owned.list_running():
                candidate = preemption.Candidate(
                    run, self._order.classify_urgency(owned, run), run.started_s
                )
                target_id = run.slot.target.target_id if run.slot else ""
                by_target.setdefault(target_id, []).append(candidate)
        for target_id, running in by_target.items():
            known = self._dependencies.targets.find(target_id)
            if known is None:
                continue
            slots = self._dependencies.slots
            for run in slots.choose_to_preempt(known.target, running):
                if run.task is not None:
                    run.task.cancel()

    async def _run_item(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        slot: slot_registry.Slot,
    ) -> None:
        target = slot.target
        end = item_sender.RunEnd.PREEMPTED
        received_before = run.received_events
        status = 0
        try:
            end, status = await self._sender.send(owned.entry.job, run, target)
        except failures.TargetCallError as error:
            end = self._record_failed_call(owned, run, error)
        finally:
            run_s = time.monotonic() - run.started_s
            received = run.received_events - received_before
            self._estimates.record_run(received, run_s)
            if received:
                run.advanced_s = time.monotonic()
            self._free_slot(run, slot)
            self._finish_run(owned, run, route, end, received > 0)
            metrics.BATCH_ITEMS.labels(end.value).inc()
            logs.limited_info(
                "item_run_ended",
                job=owned.job_id,
                item=run.item.item_id,
                target=target.target_id,
                service=run.service,
                software=run.version,
                end=end.value,
                run_ms=int(run_s * 1000),
                status=status or None,
                events=run.last_event,
            )
            self.wake()

    def _record_failed_call(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        error: failures.TargetCallError,
    ) -> item_sender.RunEnd:
        """Log a call without a complete response and return how the run ended."""
        if error.is_target_fault:
            # An error status may be caused by the item; a broken response is not.
            now_s = time.monotonic()
            self._dependencies.load_table.outcomes.record(error.target_id, now_s, 1.0)
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

    def _finish_run(
        self,
        owned: owned_jobs.OwnedJob,
        run: owned_jobs.ItemRun,
        route: model.Route,
        end: item_sender.RunEnd,
        has_advanced: bool,
    ) -> None:
        """Complete an item after a run, or schedule its next run."""
        if run.item.item_id not in owned.runs:
            return
        if end is item_sender.RunEnd.COMPLETED:
            self._estimates.record_item(run.last_event)
            text = b"\n".join(run.pieces).decode("utf-8", errors="replace")
            self._complete(owned, run, is_completed=True, text=text)
            return
        failed = 0
        if end is item_sender.RunEnd.FAILED:
            failed = owned.failed_runs.record(run.item.item_id, time.monotonic())
        is_unprocessable = end is item_sender.RunEnd.UNPROCESSABLE
        if is_unprocessable or failed >= max(1, route.max_attempts):
            self._give_up(owned, run)
            return
        if end is item_sender.RunEnd.PREEMPTED:
            return
        run.stalled_runs = 0 if has_advanced else run.stalled_runs + 1
        backoff_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** min(run.stalled_runs, 6)
        )
        if end is item_sender.RunEnd.NOT_RUN:
            if run.refusals.is_doubtful:
                # Only some items have a record at a time, and others need it more.
                owned.records.drop(run.item.item_id)
            is_overdue = item_gate.may_be_abandoned(owned, route)
            backoff_s = run.refusals.find_backoff_s(is_overdue)
        run.not_before_s = time.monotonic() + backoff_s

    def _give_up(self, owned: owned_jobs.OwnedJob, run: owned_jobs.ItemRun) -> None:
        """List an item as failed."""
        self._complete(owned, run, is_completed=False, text="")

    def _complete(
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
        """Stop running a job that has ended or has another owner."""
        if self._owned.get(owned.job_id) is not owned:
            return
        del self._owned[owned.job_id]
        logs.info("job_released", job=owned.job_id, cause=cause)
        owned.cancel_runs()
        owned.runs.clear()
        if owned.committing is not None:
            owned.committing.cancel()
