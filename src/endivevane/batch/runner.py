"""Task that claims chunks, runs their items and commits the results."""

from __future__ import annotations

import functools
import queue
import random
import threading
import typing
from collections import abc

import result

from endivevane import logs
from endivevane.batch import (
    cancelling,
    chunks,
    committing,
    items,
    looking,
    messages,
    ports,
    records,
    sending,
    settling,
    work,
)
from endivevane.coordination import clock, store
from endivevane.daemon import settings

_TICK_S = 0.05
# A chunk without progress is released after this time.
_IDLE_RELEASE_S = 20.0
_NO_TARGET_RELEASE_S = 3.0
_DRAIN_DEFAULT_S = 10.0
_TARGET_UPDATE_S = 0.25
# Steps are at most 1 s apart; a longer gap means that the process was paused.
_PROCESS_PAUSE_S = 2.0


class BatchRunner:
    """Runs batch work on behalf of one daemon.

    One thread makes all decisions; calls to engines, table service and object store
    run on thread pools, so that slot requests are handled at once even while the store
    is unresponsive.

    :param cluster: membership, session, configuration and messaging
    :param loads: load reports of the engines
    :param quarantine: registry of requests that crash targets; ``None`` disables it
    """

    def __init__(
        self,
        batch_settings: settings.BatchSection,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        cluster: ports.Cluster,
        loads: ports.Loads,
        runner_clock: clock.Clock,
        quarantine: ports.Quarantine | None = None,
    ) -> None:
        self._settings = batch_settings
        self._cluster = cluster
        self._clock = runner_clock
        self._inbox: queue.SimpleQueue[messages.Message] = queue.SimpleQueue()
        self._held: dict[tuple[str, int], work.HeldChunk] = {}
        self._drain_at_s: float | None = None
        self._is_stopped = False
        self._poll_at_s = 0.0
        self._sender = sending.ItemSender(
            loads,
            runner_clock,
            batch_settings.concurrent_items,
            self.post,
            quarantine,
        )
        self._finder = looking.WorkFinder(
            batch_settings, table_store, object_store, cluster, runner_clock, self.post
        )
        self._committer = committing.Committer(
            table_store, object_store, runner_clock, self.post
        )
        self._notifier = cancelling.CancelNotifier(cluster, self.post)
        self._stepped_at_s = runner_clock.monotonic_s()
        self._pending_listings = 0
        self._target_update_at_s = 0.0
        self._members: tuple[ports.Member, ...] = ()
        self._applied_inputs: tuple[object, object] = (None, None)
        self._thread = threading.Thread(target=self._run, name="batch", daemon=True)
        cluster.register(ports.YIELD_SLOTS, self.receive_yield)
        cluster.register(ports.ONLINE_USE, self.receive_online_use)

    def start(self) -> None:
        """Start the runner thread if batch work is enabled."""
        if self._settings.enabled:
            self._thread.start()

    def post(self, message: messages.Message) -> None:
        """Put a message into the inbox of the runner thread; thread-safe."""
        self._inbox.put(message)

    def notify_cancelled(self, job_id: str, owners: abc.Collection[str] = ()) -> None:
        """Notify all daemons of a cancelled job and wait for the owners.

        :param owners: daemons that hold claims on chunks of the job
        """
        self._notifier.notify(job_id, owners)

    def drain(self, timeout_s: float = _DRAIN_DEFAULT_S) -> None:
        """Stop claiming, release unfinished chunks and return.

        :param timeout_s: time that running items have to end
        """
        if not self._thread.is_alive():
            return
        at_s = self._clock.monotonic_s() + timeout_s
        self.post(messages.DrainRequested(at_s))
        self._thread.join(timeout_s + _DRAIN_DEFAULT_S)

    def stop(self) -> None:
        """Stop the task without draining; other daemons take its claims over."""
        self.post(messages.StopRequested())
        if self._thread.is_alive():
            self._thread.join(_DRAIN_DEFAULT_S)

    def receive_yield(self, _sender: str, body: dict[str, typing.Any]) -> None:
        """Handle a request of an online daemon to free slots; thread-safe.

        :param body: ``target`` and ``slots``
        """
        self.post(messages.SlotsRequested(str(body["target"]), int(body["slots"])))

    def receive_online_use(self, sender: str, body: dict[str, typing.Any]) -> None:
        """Handle a daemon's count of online requests at a target; thread-safe.

        :param body: ``target`` and ``in_flight``
        """
        message = messages.OnlineUseReported(
            str(body["target"]), sender, int(body["in_flight"])
        )
        self.post(message)

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                self._step()
            except Exception as error:
                logs.error("batch_step_crashed", error=repr(error))
                threading.Event().wait(_TICK_S)
        self._sender.stop()
        self._finder.stop()
        self._committer.stop()

    def _step(self) -> None:
        try:
            message = self._inbox.get(timeout=self._compute_wait_s())
            self._handle(message)
            while True:
                self._handle(self._inbox.get_nowait())
        except queue.Empty:
            pass
        self._notifier.acknowledge_stopped(self._sender.list_running_keys)
        now_s = self._clock.monotonic_s()
        session = self._cluster.session()
        self._check_process_pause(now_s)
        if now_s >= self._poll_at_s:
            self._poll(now_s)
        self._update_targets(session.daemon, now_s)
        self._sender.retry_cancels()
        self._renew_claims(session)
        self._end_chunks(now_s)
        if self._drain_at_s is not None:
            self._drain(now_s)
            return
        if not self._pending_listings:
            self._sender.send(self._sort_running())
        self._release_idle(now_s)
        if session.is_valid:
            self._finder.find_work(self._held, self._sender, now_s)

    def _update_targets(self, daemon: str, now_s: float) -> None:
        """Recompute this daemon's targets when members or configuration changed.

        This takes one hash per target and daemon, about 0.2 s at the target size.
        """
        if now_s < self._target_update_at_s:
            return
        self._target_update_at_s = now_s + _TARGET_UPDATE_S
        self._members = tuple(self._cluster.live_members())
        current = self._cluster.snapshot()
        member_regions = tuple((item.name, item.region) for item in self._members)
        if (
            current is self._applied_inputs[0]
            and member_regions == self._applied_inputs[1]
        ):
            return
        if member_regions != self._applied_inputs[1]:
            self._finder.handle_members_changed()
        self._applied_inputs = (current, member_regions)
        self._sender.update(current, daemon, self._members)

    def _check_process_pause(self, now_s: float) -> None:
        """List the open jobs after a pause of the process, before more items are sent.

        A job may have been cancelled during the pause. While the store is down the
        listing fails and the claimed items continue, as without a pause.
        """
        if now_s - self._stepped_at_s > _PROCESS_PAUSE_S and self._held:
            logs.warning("batch_paused", pause_s=now_s - self._stepped_at_s)
            # A listing that started before the pause may have missed a cancel.
            self._pending_listings = 2 if self._finder.is_listing else 1
            self._poll_at_s = now_s
        self._stepped_at_s = now_s

    def _compute_wait_s(self) -> float:
        if self._held or self._sender.running_count:
            return _TICK_S
        if self._finder.has_candidates or self._drain_at_s is not None:
            return 2 * _TICK_S
        return max(0.0, min(1.0, self._poll_at_s - self._clock.monotonic_s()))

    def _poll(self, now_s: float) -> None:
        """List the open jobs; jitter spreads the reads of the daemons."""
        interval_s = self._settings.poll_interval_s
        self._poll_at_s = now_s + interval_s * random.uniform(0.8, 1.1)
        is_idle = not any(chunk.pending_count for chunk in self._held.values())
        self._finder.list_open({key[0] for key in self._held}, is_idle, now_s)

    def _sort_running(self) -> list[work.HeldChunk]:
        running = [
            chunk for chunk in self._held.values() if chunk.phase is work.Phase.RUNNING
        ]
        return sorted(running, key=lambda chunk: self._finder.get_rank(chunk.job))

    def _renew_claims(self, session: ports.Session) -> None:
        """Renew claims of an earlier epoch, whose owner other daemons see as gone."""
        if not session.is_valid:
            return
        owner = chunks.Owner(session.daemon, session.epoch)
        for chunk in self._held.values():
            if chunk.claim.owner != owner and chunk.phase is work.Phase.RUNNING:
                self._finder.reclaim(chunk.claim, owner)

    def _end_chunks(self, now_s: float) -> None:
        """Commit the chunks whose items have all ended."""
        for chunk in self._held.values():
            if chunk.phase is not work.Phase.RUNNING:
                continue
            if chunk.pending_count and self._sender.is_unservable(chunk.job):
                text = f"no service offers {chunk.job.model!r} to the organisation"
                chunk.fail_pending(items.Problem("model_not_found", text))
            if chunk.is_complete:
                chunk.phase = work.Phase.ENDING
                self._committer.commit(chunk)
        self._committer.retry(now_s)

    def _release_idle(self, now_s: float) -> None:
        """Release chunks without progress so that other daemons can run them."""
        if len(self._members) < 2:
            return
        busy = self._sender.list_running_keys()
        for chunk in self._held.values():
            if chunk.phase is not work.Phase.RUNNING or chunk.key in busy:
                continue
            service = self._sender.find_service(chunk.job)
            has_targets = service is not None and self._sender.has_targets(service)
            limit_s = _IDLE_RELEASE_S if has_targets else _NO_TARGET_RELEASE_S
            if now_s - chunk.progress_at_s > limit_s:
                chunk.phase = work.Phase.ENDING
                self._committer.release(chunk)

    def _drain(self, now_s: float) -> None:
        if self._drain_at_s is not None and now_s >= self._drain_at_s:
            self._sender.withdraw(None)
        busy = self._sender.list_running_keys()
        for chunk in self._held.values():
            if chunk.phase is work.Phase.RUNNING and chunk.key not in busy:
                chunk.phase = work.Phase.ENDING
                self._committer.release(chunk)
        if not self._held and not busy and not self._finder.is_searching:
            self._is_stopped = True

    def _stop_job(self, job_id: str) -> None:
        """Drop the chunks and withdraw the items of an ended job."""
        keys = {key for key in self._held if key[0] == job_id}
        for key in keys:
            del self._held[key]
        self._sender.withdraw(keys)
        self._finder.remove_job(job_id)
        if keys:
            logs.info("job_dropped", job_id=job_id, chunks=len(keys))

    def _drop_chunk(self, key: tuple[str, int], reason: str) -> None:
        if self._held.pop(key, None) is not None:
            self._sender.withdraw({key})
            logs.info("chunk_dropped", job_id=key[0], number=key[1], reason=reason)

    @functools.singledispatchmethod
    def _handle(self, message: messages.Message) -> None:
        raise TypeError(f"unknown message {message!r}")

    @_handle.register
    def _(self, message: messages.ItemEnded) -> None:
        attempt = message.attempt
        self._sender.record_ended(attempt, message.outcome)
        chunk = self._held.get((attempt.job_id, attempt.number))
        if chunk is None or chunk.phase is not work.Phase.RUNNING:
            return
        # The chunk may have been dropped and claimed again meanwhile.
        if attempt.item.index in chunk.lines:
            return
        limit = self._get_max_attempts(chunk.job)
        now_s = self._clock.monotonic_s()
        settling.resolve_item(chunk, attempt, message.outcome, now_s, limit)

    @_handle.register
    def _(self, message: messages.OpenJobsListed) -> None:
        self._finder.record_listing_ended()
        self._pending_listings = max(0, self._pending_listings - 1)
        if isinstance(message.outcome, result.Err):
            text = message.outcome.err_value.format_message()
            logs.warning("open_jobs_not_read", error=text)
            return
        self._committer.retry_now()
        listed = message.outcome.ok_value
        self._finder.apply_open_jobs(listed, self._sender)
        for job_id in listed.ended:
            self._stop_job(job_id)

    @_handle.register
    def _(self, message: messages.SearchEnded) -> None:
        now_s = self._clock.monotonic_s()
        self._finder.record_ended(message, now_s)
        loaded = message.loaded
        if loaded is not None and not self._finder.has_ended(
            loaded.claim.stored_job.job.job_id
        ):
            chunk = work.HeldChunk(loaded, now_s)
            self._held[chunk.key] = chunk

    @_handle.register
    def _(self, message: messages.Reclaimed) -> None:
        self._finder.record_reclaimed(message.key)
        chunk = self._held.get(message.key)
        if chunk is None or message.error is not None:
            return
        if message.claim is None:
            self._drop_chunk(message.key, "taken over")
            return
        chunk.claim = message.claim

    @_handle.register
    def _(self, message: messages.ChunkEnded) -> None:
        if message.outcome is None:
            return
        key = message.chunk.key
        if self._held.get(key) is message.chunk:
            del self._held[key]
        if message.outcome is chunks.WriteOutcome.APPLIED and not message.is_release:
            self._finder.finish_if_done(key[0])

    @_handle.register
    def _(self, message: messages.SlotsRequested) -> None:
        self._sender.yield_slots(message.target_name, message.slots)

    @_handle.register
    def _(self, message: messages.OnlineUseReported) -> None:
        self._sender.apply_online_use(
            message.target_name, message.daemon, message.in_flight
        )

    @_handle.register
    def _(self, message: messages.JobCancelled) -> None:
        self._stop_job(message.job_id)
        self._notifier.record_cancelled(message)

    @_handle.register
    def _(self, message: messages.MembersChanged) -> None:
        self._finder.handle_members_changed()

    @_handle.register
    def _(self, message: messages.DrainRequested) -> None:
        self._drain_at_s = message.deadline_s

    @_handle.register
    def _(self, message: messages.StopRequested) -> None:
        self._is_stopped = True

    def _get_max_attempts(self, job: records.Job) -> int:
        current = self._cluster.snapshot()
        service = current.find_service(job.organisation, job.model)
        return service.model.batch.max_item_attempts if service is not None else 1
