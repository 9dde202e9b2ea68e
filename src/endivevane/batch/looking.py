"""Looking for work: the open jobs in order, claims and their items."""

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

# Each job that is looked at costs up to two reads.
_JOBS_PER_LOOK = 8
# Every so many looks, jobs that can't end in time go first, so that they get a share.
_LATE_TURN = 4
_LOAD_PAUSE_S = 1.0
# A busy daemon looks for more urgent jobs this often; an idle one at every poll.
_BUSY_PAGE_S = 10.0
# Rendezvous ranks over all daemons are computed for so many jobs per look.
_JOBS_RANKED = 16
_JOBS_RETAINED = 100
# Jobs without a free chunk are looked at again after this time; the death of a daemon
# ends it.
_SKIP_S = 2.0
# Each daemon reads less often in a large fleet, since some daemon reads every 30 ms: at
# 340 daemons every 10 s, which keeps what an idle daemon reads near 3 KB/s (estimate).
_INTERVAL_PER_DAEMON_S = 0.03
# Jobs that have ended are remembered, since a look that began before may still bring a
# chunk of one.
_KEPT_ENDED = 1000
_ITEM_S = 2.0


class Looker:
    """Finds and claims chunks in a thread of its own.

    Public methods are called by the runner's thread.

    :param post: gives a message to the runner's thread
    """

    def __init__(
        self,
        batch_settings: settings.BatchSection,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        cluster: ports.Cluster,
        looker_clock: clock.Clock,
        post: sending.Post,
    ) -> None:
        self._settings = batch_settings
        self._cluster = cluster
        self._clock = looker_clock
        self._post = post
        self._source = work_source.WorkSource(
            table_store, object_store, cluster.is_gone, looker_clock
        )
        self._risks = picking.RiskReporter()
        self._executor = concurrent.futures.ThreadPoolExecutor(1, "batch-look")
        self._order = picking.Order((), ())
        self._ranks: dict[str, int] = {}
        self._reclaiming: set[tuple[str, int]] = set()
        self._unloaded: list[chunks.Claim] = []
        self._ended: dict[str, None] = {}
        self.is_listing = False
        self.is_looking = False
        self._look_at_s = 0.0
        self._look_count = 0
        self._retained: dict[str, records.OpenJob] = {}
        self._paged_at_s = -_BUSY_PAGE_S
        self._load_at_s = 0.0
        self._skipped: dict[str, float] = {}

    @property
    def has_candidates(self) -> bool:
        """Whether there are open jobs to look at."""
        return bool(self._ranks)

    def get_rank(self, job: records.Job) -> tuple[int, int]:
        """Return the place of a job in the order of work; lower goes first."""
        return self._ranks.get(job.job_id, len(self._ranks)), job.deadline_ms

    def list_open(
        self, active: abc.Collection[str], is_idle: bool, now_s: float
    ) -> None:
        """Read the open jobs; :class:`messages.OpenListed` follows.

        :param active: jobs of held chunks
        :param is_idle: whether items of other chunks could be sent at once
        """
        if self.is_listing:
            return
        self.is_listing = True
        interval_s = self._compute_interval_s() if is_idle else _BUSY_PAGE_S
        needs_page = now_s >= self._paged_at_s + interval_s
        if needs_page:
            self._paged_at_s = now_s

        def read() -> None:
            outcome: result.Result[work_source.OpenJobs, store.StoreError]
            outcome = result.Err(store.StoreUnavailable("the look crashed"))
            try:
                outcome = self._source.list_open(active, needs_page)
            finally:
                self._post(messages.OpenListed(outcome))

        self._submit(read)

    def note_listing_ended(self) -> None:
        """Allow the next listing."""
        self.is_listing = False

    def note_open(
        self, listed: work_source.OpenJobs, sender: sending.ItemSender
    ) -> None:
        """Order the open jobs and report those at risk."""
        if listed.jobs is None:
            return
        now_ms = self._clock.wall_ms()
        weights = self._get_weights()
        candidates = [
            picking.Candidate(job, listed.items_left.get(job.job_id, job.item_count))
            for job in self._retain(listed.jobs, sender)
            if job.job_id not in self._ended
        ]
        rate = sender.estimate_items_per_s(_ITEM_S)
        self._skipped = {
            job_id: until_s
            for job_id, until_s in self._skipped.items()
            if until_s > self._clock.monotonic_s()
        }
        self._order = picking.order_jobs(candidates, rate, now_ms, weights)
        self._ranks = {
            item.job.job_id: place for place, item in enumerate(self._order.all)
        }
        names = [member.name for member in self._cluster.live_members()]
        daemon = self._cluster.session().daemon
        self._risks.report(self._order, rate, now_ms, daemon, names)

    def _retain(
        self, listed: abc.Sequence[records.OpenJob], sender: sending.ItemSender
    ) -> list[records.OpenJob]:
        """Return the listed jobs and those seen before that this daemon can run.

        The pages of one look show a part of the open jobs only. Retained jobs let the
        daemons that serve a model take over each other's chunks within seconds.
        """
        for job in listed:
            service = sender.find_service(job)
            if service is not None and sender.has_targets(service):
                self._retained[job.job_id] = job
        kept = sorted(
            (job for job in self._retained.values() if job.job_id not in self._ended),
            key=lambda job: job.deadline_ms,
        )[:_JOBS_RETAINED]
        self._retained = {job.job_id: job for job in kept}
        return list({job.job_id: job for job in [*listed, *kept]}.values())

    def look(
        self,
        held: abc.Mapping[tuple[str, int], work.HeldChunk],
        sender: sending.ItemSender,
        now_s: float,
    ) -> None:
        """Claim a chunk if there is room; :class:`messages.LookEnded` follows."""
        if self.is_looking or now_s < self._look_at_s:
            return
        session = self._cluster.session()
        owner = chunks.Owner(session.daemon, session.epoch)
        unloaded = {
            (item.stored_job.job.job_id, item.number) for item in self._unloaded
        }
        keys = set(held) | unloaded
        if self._unloaded:
            claim = self._unloaded.pop()
            self.is_looking = True
            self._submit(lambda: self._load(claim))
            return
        if len(held) >= self._settings.buffered_chunks:
            return
        wanted = self._choose_jobs(held, sender, owner.daemon, now_s)
        if not wanted:
            return
        self.is_looking = True
        self._look_count += 1
        max_age_s = max(_SKIP_S, self._compute_interval_s())
        self._submit(lambda: self._look(wanted, owner, keys, max_age_s))

    def note_ended(self, message: messages.LookEnded, now_s: float) -> None:
        """Plan the next look after one has ended."""
        self.is_looking = False
        for job_id in message.skipped:
            self._skipped[job_id] = now_s + max(_SKIP_S, self._compute_interval_s())
        if message.loaded is not None:
            self._look_at_s = now_s
            return
        self._look_at_s = now_s + self._settings.poll_interval_s / 2
        if message.claim is not None:
            # Other jobs go on meanwhile: one lost segment must not stop them.
            self._unloaded.append(message.claim)
            self._load_at_s = now_s + _LOAD_PAUSE_S
        if message.error is not None:
            logs.warning("look_failed", error=message.error.format_message())

    def reclaim(self, claim: chunks.Claim, owner: chunks.Owner) -> None:
        """Renew a claim; :class:`messages.Reclaimed` follows."""
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

    def note_reclaimed(self, key: tuple[str, int]) -> None:
        """Allow the next renewal of a claim."""
        self._reclaiming.discard(key)

    def finish_if_done(self, job_id: str) -> None:
        """Finish a job whose last chunk may just have been committed."""

        def finish() -> None:
            outcome = self._source.finish_if_done(job_id)
            if isinstance(outcome, result.Err):
                # The next look at the job finishes it.
                text = outcome.err_value.format_message()
                logs.warning("finish_failed", job_id=job_id, error=text)

        self._submit(finish)

    def forget(self, job_id: str) -> None:
        """Take a job that has ended out of the order."""
        self._ended[job_id] = None
        while len(self._ended) > _KEPT_ENDED:
            del self._ended[next(iter(self._ended))]
        self._ranks.pop(job_id, None)
        self._order = picking.Order(
            tuple(item for item in self._order.on_time if item.job.job_id != job_id),
            tuple(item for item in self._order.late if item.job.job_id != job_id),
        )
        self._unloaded = [
            item for item in self._unloaded if item.stored_job.job.job_id != job_id
        ]

    def has_ended(self, job_id: str) -> bool:
        """Tell whether a job is known to have ended."""
        return job_id in self._ended

    def note_members_changed(self) -> None:
        """Look at all chunk rows again, since an owner may be gone."""
        self._submit(self._source.forget_exhausted)
        self._skipped.clear()
        self._look_at_s = 0.0

    def stop(self) -> None:
        """Let go of the thread."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, call: abc.Callable[[], None]) -> None:
        def run() -> None:
            try:
                call()
            except Exception as error:
                logs.error("look_crashed", error=repr(error))
                self._post(messages.LookEnded())

        self._executor.submit(run)

    def _compute_interval_s(self) -> float:
        """Return the time between two reads of the same rows by this daemon."""
        daemons = len(self._cluster.live_members())
        return max(0.0, _INTERVAL_PER_DAEMON_S * daemons)

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
        """Return the jobs to look at, best first.

        A job is looked at when its targets have room that the held items don't fill,
        or when it goes before all chunks that are held.
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
            if len(wanted) == _JOBS_RANKED:
                break
            if self._skipped.get(candidate.job.job_id, 0.0) > now_s:
                continue
            service = sender.find_service(candidate.job)
            if sender.is_hopeless(candidate.job):
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
        return picking.prefer_jobs(wanted, daemon, names, chunk_items)[:_JOBS_PER_LOOK]

    def _sort_candidates(
        self, held: abc.Mapping[tuple[str, int], work.HeldChunk]
    ) -> abc.Sequence[picking.Candidate]:
        order = self._order
        held_items: dict[str, int] = {}
        for chunk in held.values():
            name = chunk.job.organisation
            held_items[name] = held_items.get(name, 0) + chunk.item_count
        late = picking.share_turns(order.late, held_items, self._get_weights())
        if late and self._look_count % _LATE_TURN == _LATE_TURN - 1:
            return [*late, *order.on_time]
        return [*order.on_time, *late]

    def _look(
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
                self._post(messages.LookEnded(error=outcome.err_value))
                return
            if outcome.ok_value is not None:
                self._load(outcome.ok_value)
                return
        skipped = tuple(candidate.job.job_id for candidate in wanted)
        self._post(messages.LookEnded(skipped=skipped))

    def _load(self, claim: chunks.Claim) -> None:
        loaded = self._source.load(claim)
        if isinstance(loaded, result.Err):
            self._post(messages.LookEnded(claim=claim, error=loaded.err_value))
            return
        self._post(messages.LookEnded(loaded=loaded.ok_value))


def _count_pending(
    held: abc.Mapping[tuple[str, int], work.HeldChunk], sender: sending.ItemSender
) -> dict[str, int]:
    """Return the unfinished held items by service; jobs of no service are under ""."""
    pending: dict[str, int] = {}
    for chunk in held.values():
        name = sender.find_service(chunk.job) or ""
        pending[name] = pending.get(name, 0) + chunk.pending_count
    return pending
