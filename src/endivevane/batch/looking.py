"""Search for work: ordering of the open jobs, claims and loading of items."""

from __future__ import annotations

import concurrent.futures
from collections import abc

import result

from endivevane import logs
from endivevane.batch import (
    chunks,
    messages,
    picking,
    ports,
    records,
    segments,
    sending,
    work,
    work_source,
)
from endivevane.coordination import clock, store
from endivevane.daemon import settings

# Each job that is checked costs up to two reads.
_JOBS_PER_SEARCH = 8
# Every this many searches, jobs that will miss their deadline go first, so that they
# are not starved.
_LATE_JOBS_INTERVAL = 4
_LOAD_RETRY_S = 1.0
# A busy daemon lists the open jobs this often; an idle one at every poll.
_BUSY_LIST_INTERVAL_S = 10.0
# Limits the rendezvous ranks over all daemons that one search computes.
_MAX_RANKED_JOBS = 16
_MAX_RETAINED_JOBS = 100
# Jobs without a claimable chunk are skipped for this time, or until the membership
# changes.
_SKIP_S = 2.0
# The interval grows with the fleet, so that one daemon lists the open jobs every 30 ms:
# each of 340 daemons every 10 s, an estimated 3 KB/s of reads per idle daemon.
_LIST_INTERVAL_PER_DAEMON_S = 0.03
# Ended jobs are remembered, because a search in progress may still return a chunk of
# one.
_MAX_ENDED_JOBS = 1000
_DEFAULT_ITEM_S = 2.0


class WorkFinder:
    """Finds and claims chunks on a thread of its own.

    Public methods are called by the runner thread.

    :param post: puts a message into the inbox of the runner thread
    """

    def __init__(
        self,
        batch_settings: settings.BatchSection,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        cluster: ports.Cluster,
        finder_clock: clock.Clock,
        post: sending.Post,
    ) -> None:
        self._settings = batch_settings
        self._cluster = cluster
        self._clock = finder_clock
        self._post = post
        self._source = work_source.WorkSource(
            table_store, object_store, cluster.is_gone, finder_clock
        )
        self._risks = picking.RiskReporter()
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "batch-look")
        self._order = picking.Order((), ())
        self._ranks: dict[str, int] = {}
        self._reclaiming: set[tuple[str, int]] = set()
        self._claims_to_load: list[chunks.Claim] = []
        self._ended: dict[str, None] = {}
        self.is_listing = False
        self.is_searching = False
        self._next_search_s = 0.0
        self._search_count = 0
        self._retained: dict[str, records.OpenJob] = {}
        self._listed_at_s = -_BUSY_LIST_INTERVAL_S
        self._load_retry_at_s = 0.0
        self._skipped: dict[str, float] = {}

    @property
    def has_candidates(self) -> bool:
        """Whether there are open jobs to search."""
        return bool(self._ranks)

    def get_rank(self, job: records.Job) -> tuple[int, int]:
        """Return the sort key of a job in the order of work; lower goes first."""
        return self._ranks.get(job.job_id, len(self._ranks)), job.deadline_ms

    def list_open(
        self, active: abc.Collection[str], is_idle: bool, now_s: float
    ) -> None:
        """Read the open jobs and post :class:`messages.OpenJobsListed`.

        :param active: jobs of held chunks
        :param is_idle: whether items of other chunks could be sent at once
        """
        if self.is_listing:
            return
        self.is_listing = True
        interval_s = self._compute_interval_s() if is_idle else _BUSY_LIST_INTERVAL_S
        needs_page = now_s >= self._listed_at_s + interval_s
        if needs_page:
            self._listed_at_s = now_s

        def read() -> None:
            outcome: result.Result[work_source.OpenJobs, store.StoreError]
            outcome = result.Err(
                store.StoreUnavailable("the search for open jobs crashed")
            )
            try:
                outcome = self._source.list_open(active, needs_page)
            finally:
                self._post(messages.OpenJobsListed(outcome))

        self._submit(read)

    def record_listing_ended(self) -> None:
        """Allow the next listing."""
        self.is_listing = False

    def apply_open_jobs(
        self, listed: work_source.OpenJobs, sender: sending.ItemSender
    ) -> None:
        """Update the order of the open jobs and report those at risk."""
        if listed.jobs is None:
            return
        now_ms = self._clock.wall_ms()
        weights = self._get_weights()
        candidates = [
            picking.Candidate(job, listed.items_left.get(job.job_id, job.item_count))
            for job in self._merge_retained(listed.jobs, sender)
            if job.job_id not in self._ended
        ]
        rate = sender.estimate_items_per_s(_DEFAULT_ITEM_S)
        self._skipped = {
            job_id: until_s
            for job_id, until_s in self._skipped.items()
            if until_s > self._clock.monotonic_s()
        }
        self._order = picking.order_jobs(candidates, rate, now_ms, weights)
        self._ranks = {
            item.job.job_id: rank for rank, item in enumerate(self._order.all)
        }
        names = [member.name for member in self._cluster.live_members()]
        daemon = self._cluster.session().daemon
        self._risks.report(self._order, rate, now_ms, daemon, names)

    def _merge_retained(
        self, listed: abc.Sequence[records.OpenJob], sender: sending.ItemSender
    ) -> list[records.OpenJob]:
        """Return the listed jobs and the earlier ones that this daemon can run.

        One listing covers only a part of the open jobs. Retained jobs let the daemons
        that serve a model take over each other's chunks within seconds.
        """
        for job in listed:
            service = sender.find_service(job)
            if service is not None and sender.has_targets(service):
                self._retained[job.job_id] = job
        kept = sorted(
            (job for job in self._retained.values() if job.job_id not in self._ended),
            key=lambda job: job.deadline_ms,
        )[:_MAX_RETAINED_JOBS]
        self._retained = {job.job_id: job for job in kept}
        return list({job.job_id: job for job in [*listed, *kept]}.values())

    def find_work(
        self,
        held: abc.Mapping[tuple[str, int], work.HeldChunk],
        sender: sending.ItemSender,
        now_s: float,
    ) -> None:
        """Claim a chunk if capacity is left; posts :class:`messages.SearchEnded`."""
        if self.is_searching or now_s < self._next_search_s:
            return
        session = self._cluster.session()
        owner = chunks.Owner(session.daemon, session.epoch)
        keys_to_load = {
            (item.stored_job.job.job_id, item.number) for item in self._claims_to_load
        }
        keys = set(held) | keys_to_load
        if self._claims_to_load:
            claim = self._claims_to_load.pop()
            self.is_searching = True
            self._submit(lambda: self._load(claim))
            return
        if len(held) >= self._settings.buffered_chunks:
            return
        wanted = self._choose_jobs(held, sender, owner.daemon, now_s)
        if not wanted:
            return
        self.is_searching = True
        self._search_count += 1
        max_age_s = max(_SKIP_S, self._compute_interval_s())
        self._submit(lambda: self._search(wanted, owner, keys, max_age_s))

    def record_ended(self, message: messages.SearchEnded, now_s: float) -> None:
        """Schedule the next search after one has ended."""
        self.is_searching = False
        for job_id in message.skipped:
            self._skipped[job_id] = now_s + max(_SKIP_S, self._compute_interval_s())
        if message.loaded is not None:
            self._next_search_s = now_s
            return
        self._next_search_s = now_s + self._settings.poll_interval_s / 2
        if message.claim is not None:
            # Loading is retried later: one lost segment must not block other jobs.
            self._claims_to_load.append(message.claim)
            self._load_retry_at_s = now_s + _LOAD_RETRY_S
        if message.error is not None:
            logs.warning("look_failed", error=message.error.format_message())

    def reclaim(self, claim: chunks.Claim, owner: chunks.Owner) -> None:
        """Renew a claim and post :class:`messages.Reclaimed`."""
        key = claim.stored_job.job.job_id, claim.number
        if key in self._reclaiming:
            return
        self._reclaiming.add(key)

        def renew() -> None:
            outcome = self._source.reclaim(claim, owner)
            if isinstance(outcome, result.Err):
                self._post(messages.Reclaimed(key, None, outcome.err_value))
                return
            self._post(messages.Reclaimed(key, outcome.ok_value))

        self._submit(renew)

    def record_reclaimed(self, key: tuple[str, int]) -> None:
        """Allow the next renewal of a claim."""
        self._reclaiming.discard(key)

    def finish_if_done(self, job_id: str) -> None:
        """Finish a job whose last chunk may just have been committed."""

        def finish() -> None:
            outcome = self._source.finish_if_done(job_id)
            if isinstance(outcome, result.Err):
                # The next search that checks the job finishes it.
                text = outcome.err_value.format_message()
                logs.warning("finish_failed", job_id=job_id, error=text)

        self._submit(finish)

    def remove_job(self, job_id: str) -> None:
        """Remove an ended job from the order."""
        self._ended[job_id] = None
        while len(self._ended) > _MAX_ENDED_JOBS:
            del self._ended[next(iter(self._ended))]
        self._ranks.pop(job_id, None)
        self._order = picking.Order(
            tuple(item for item in self._order.on_time if item.job.job_id != job_id),
            tuple(item for item in self._order.late if item.job.job_id != job_id),
        )
        self._claims_to_load = [
            item
            for item in self._claims_to_load
            if item.stored_job.job.job_id != job_id
        ]

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job is known to have ended."""
        return job_id in self._ended

    def handle_members_changed(self) -> None:
        """Read all chunk rows again, because an owner may be gone."""
        self._submit(self._source.forget_exhausted)
        self._skipped.clear()
        self._next_search_s = 0.0

    def stop(self) -> None:
        """Shut down the executor without waiting."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, call: abc.Callable[[], None]) -> None:
        def run() -> None:
            try:
                call()
            except Exception as error:
                logs.error("look_crashed", error=repr(error))
                self._post(messages.SearchEnded())

        self._executor.submit(run)

    def _compute_interval_s(self) -> float:
        """Return the minimum interval between two reads of the same rows."""
        daemons = len(self._cluster.live_members())
        return max(0.0, _LIST_INTERVAL_PER_DAEMON_S * daemons)

    def _get_weights(self) -> dict[str, float]:
        organisations = self._cluster.snapshot().organisations
        return {name: item.weight for name, item in organisations.items()}

    def _choose_jobs(
        self,
        held: abc.Mapping[tuple[str, int], work.HeldChunk],
        sender: sending.ItemSender,
        daemon: str,
        now_s: float,
    ) -> list[picking.Candidate]:
        """Return the jobs to search for a claimable chunk, best first.

        A job qualifies when its targets have more room than the held items fill, or
        when it ranks before every held chunk.
        """
        if self._cluster.snapshot().revision == 0:
            return []
        pending = _count_pending(held, sender)
        ranks = [
            self._ranks.get(chunk.job.job_id, len(self._ranks))
            for chunk in held.values()
            if chunk.pending_count
        ]
        best_rank = min(ranks, default=len(self._ranks))
        wanted: list[picking.Candidate] = []
        for candidate in self._sort_candidates(held):
            if len(wanted) == _MAX_RANKED_JOBS:
                break
            if self._skipped.get(candidate.job.job_id, 0.0) > now_s:
                continue
            service = sender.find_service(candidate.job)
            if sender.is_unservable(candidate.job):
                wanted.append(candidate)
                continue
            if service is None or not sender.has_targets(service):
                continue
            room = sender.compute_room(service, candidate.job.model)
            is_ahead = self._ranks.get(candidate.job.job_id, best_rank) < best_rank
            if is_ahead or room > pending.get(service, 0):
                wanted.append(candidate)
        names = [member.name for member in self._cluster.live_members()]
        chunk_items = segments.MAX_SEGMENT_LINES
        return picking.rank_for_daemon(wanted, daemon, names, chunk_items)[
            :_JOBS_PER_SEARCH
        ]

    def _sort_candidates(
        self, held: abc.Mapping[tuple[str, int], work.HeldChunk]
    ) -> abc.Sequence[picking.Candidate]:
        order = self._order
        held_items: dict[str, int] = {}
        for chunk in held.values():
            name = chunk.job.organisation
            held_items[name] = held_items.get(name, 0) + chunk.item_count
        late = picking.interleave_by_organisation(
            order.late, held_items, self._get_weights()
        )
        if late and self._search_count % _LATE_JOBS_INTERVAL == _LATE_JOBS_INTERVAL - 1:
            return [*late, *order.on_time]
        return [*order.on_time, *late]

    def _search(
        self,
        wanted: abc.Sequence[picking.Candidate],
        owner: chunks.Owner,
        held: abc.Collection[tuple[str, int]],
        max_age_s: float,
    ) -> None:
        for candidate in wanted:
            outcome = self._source.claim_from(
                candidate.job.job_id, owner, held, max_age_s
            )
            if isinstance(outcome, result.Err):
                self._post(messages.SearchEnded(error=outcome.err_value))
                return
            if outcome.ok_value is not None:
                self._load(outcome.ok_value)
                return
        skipped = tuple(candidate.job.job_id for candidate in wanted)
        self._post(messages.SearchEnded(skipped=skipped))

    def _load(self, claim: chunks.Claim) -> None:
        loaded = self._source.load(claim)
        if isinstance(loaded, result.Err):
            self._post(messages.SearchEnded(claim=claim, error=loaded.err_value))
            return
        self._post(messages.SearchEnded(loaded=loaded.ok_value))


def _count_pending(
    held: abc.Mapping[tuple[str, int], work.HeldChunk], sender: sending.ItemSender
) -> dict[str, int]:
    """Return the pending items by service; the key "" is for jobs without one."""
    pending: dict[str, int] = {}
    for chunk in held.values():
        name = sender.find_service(chunk.job) or ""
        pending[name] = pending.get(name, 0) + chunk.pending_count
    return pending
