"""Owners of jobs, one after the other, at targets that answer by a script."""

import asyncio
import collections
import contextlib
import dataclasses
import time

from endivevane.serving import failures, jobs, model, store
from features.support import job_world, serving_fakes

_RUN_S = 0.002
_POLL_S = 0.005
# The runs of so many owners are not recorded before they begin.
_UNRECORDED_LOSSES = 2
# A reply is signed and complete; only its status matters here.
_REPLY = model.TargetReply(200, b"", (), False, False, b"", True, None)


class JobStore(serving_fakes.FakeStore):
    """A store that all owners share, with the platform's limit of a row.

    :ivar faults: what happens to the next writes of a job's row that store no result:
        ``dropped`` never arrives, ``lost`` is applied without an answer, ``held`` is
        applied once it is let go
    :ivar on_results: called when a transaction has stored results
    """

    def __init__(self):
        super().__init__()
        self.faults = collections.deque()
        self.let_go = asyncio.Event()
        self.held = 0
        self.on_results = lambda: None
        self.failed_runs_writes = 0
        self.results_writes = 0

    async def apply(self, change):
        if any(len(value) > jobs.ROW_BYTES for _, value in change.puts):
            raise failures.StoreBadRequest("apply", "a row is too large")
        stored = self._find_stored(change)
        if stored is None or self.is_down or not self.faults:
            return await super().apply(change)
        fault = self.faults.popleft()
        if fault == "held":
            self.held += 1
            await self.let_go.wait()
            return await super().apply(change)
        if fault == "lost":
            await super().apply(change)
        raise failures.StoreUncertain("apply", "no answer")

    def read_job(self, job_id):
        return jobs.decode_job(self.rows[jobs.make_job_key(job_id)][0])

    def _find_stored(self, change):
        """Return the job of which a change stores failed runs or records alone."""
        for key, value in change.puts:
            if key.key.startswith(jobs.JOB_PREFIX) and key in self.rows:
                job, former = jobs.decode_job(value), jobs.decode_job(self.rows[key][0])
                is_same = (job.owner, job.listed) == (former.owner, former.listed)
                counts = (job.failed_runs, job.begun_runs)
                former_counts = (former.failed_runs, former.begun_runs)
                if is_same and job.is_open and counts != former_counts:
                    return job
        return None

    def _apply(self, change):
        stored = self._find_stored(change)
        outcome = super()._apply(change)
        if isinstance(outcome, store.Conflict):
            return outcome
        if stored is not None:
            self.failed_runs_writes += 1
        if any(key.table == jobs.RESULT_TABLE for key, _ in change.puts):
            self.results_writes += 1
            self.on_results()
        return outcome


class _Link:
    """A daemon's way to the store; calls of a daemon that is lost never return."""

    def __init__(self, rows):
        self._rows = rows
        self.is_cut = False

    def __getattr__(self, name):
        call = getattr(self._rows, name)

        async def call_over_link(*arguments):
            if self.is_cut:
                await asyncio.Event().wait()
            return await call(*arguments)

        return call_over_link


class Owner:
    """A daemon that runs jobs until it is lost."""

    def __init__(self, world, name):
        self.name = name
        self.answers = collections.Counter()
        self.begun = collections.Counter()
        self._world = world
        self._link = _Link(world.rows)
        self.daemon = job_world.JobDaemon(self._link, name)
        fleet = serving_fakes.Fleet(["t0", "t1", "t2"])
        routes = (world.route,)
        self.runner = job_world.make_runner(
            self.daemon, fleet, self, routes, world.daemons
        )
        self.daemon.registry.call_when_changed(self.runner.apply_change)
        self.task = asyncio.ensure_future(self.runner.run())
        self.is_lost = False

    @contextlib.asynccontextmanager
    async def call(self, known, call, is_idempotent):
        """Answer a run as the world's script says."""
        yield await self._world.answer(self, known, call.attempt_id.decode())

    async def take_over(self, job_id):
        """Claim a job and run it, as a takeover does."""
        until_s = time.monotonic() + 2.0
        entry = await self.daemon.changes.find_stored(job_id)
        entry = await self.daemon.changes.claim(entry, self.daemon.owner, until_s)
        results = await self.daemon.changes.load_results(job_id, 0, entry.job.listed)
        done = frozenset(result.item_id for result in results.values())
        items = await self.daemon.changes.load_items(entry.job)
        self.runner.start_job(entry, items, jobs.JobProgress(done))

    def lose(self):
        """End the daemon at once; nothing that it does from here on has an effect."""
        self.is_lost = True
        self._link.is_cut = True
        self.stop()

    def stop(self):
        self.task.cancel()
        self.daemon.feed.cancel()
        for owned in self.runner._owned.values():
            owned.cancel_runs()
            if owned.committing is not None:
                owned.committing.cancel()


class _Response:
    """A target's response; one of status 200 has two events."""

    def __init__(self, status):
        self.head = dataclasses.replace(_REPLY, status=status)
        self.is_framed = True
        self._parts = [b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"]

    def record_kept(self, count):
        """Do nothing, since no memory budget counts it."""

    def record_event(self):
        pass

    async def read(self):
        return self._parts.pop() if self._parts else None


class World:
    """Owners, their store and the runs that targets have seen.

    :param script: returns how a run ends: a status, ``broken`` or ``refused``; called
        with the item's id and the number of its run, from 1
    :param on_answer: called with the owner and the item's id once a target has answered
        500 or 422, before the owner receives it
    :param on_run: called with them once a target has begun a run
    """

    def __init__(
        self,
        script,
        attempts=3,
        daemons=1,
        on_answer=None,
        rows=None,
        on_run=None,
        retention_s=60,
    ):
        self.rows = rows or JobStore()
        self.route = job_world.make_route(attempts=attempts, retention_s=retention_s)
        self.daemons = daemons
        self.script = script
        self.on_answer = on_answer or (lambda _owner, _item_id: None)
        self.on_run = on_run or (lambda _owner, _item_id: None)
        self.owners = []
        self.runs = collections.Counter()
        self.answers_500 = collections.Counter()
        self.unstored_runs = []
        self.unrecorded_runs = []

    def add_owner(self):
        owner = Owner(self, f"d{len(self.owners)}")
        self.owners.append(owner)
        return owner

    @property
    def losses(self):
        return sum(owner.is_lost for owner in self.owners)

    async def submit(
        self, owner, job_id="job", items=1, submission=None, lost_owners=0
    ):
        submission = submission or job_world.make_submission(job_id, items)
        changes = owner.daemon.changes
        entry = await changes.accept(submission)
        if lost_owners:
            job = dataclasses.replace(entry.job, lost_owners=lost_owners)
            entry = await changes.replace(entry, job, time.monotonic() + 2.0)
        owner.runner.start_job(entry, submission.items)

    async def answer(self, owner, known, item_id):
        self.runs[item_id] += 1
        owner.begun[item_id] += 1
        number = self.runs[item_id]
        job = self.rows.read_job(item_id.partition("-")[0])
        stored = job.failed_runs.get(item_id, 0)
        if stored < self.answers_500[item_id] - self.losses:
            self.unstored_runs.append((item_id, number, stored))
        self._check_record(job, item_id, number)
        self.on_run(owner, item_id)
        await asyncio.sleep(_RUN_S)
        end = self.script(item_id, number)
        target_id = known.target.target_id
        if end == "broken":
            raise failures.TargetCallError(target_id, "reset", may_have_run=True)
        if end == "refused":
            raise failures.TargetCallError(target_id, "refused", may_have_run=False)
        if end == "silent":
            await asyncio.Event().wait()
        if end == 500:
            self.answers_500[item_id] += 1
            owner.answers[item_id] += 1
        if end in (500, 422):
            self.on_answer(owner, item_id)
            await asyncio.sleep(0)
        return _Response(end)

    def _check_record(self, job, item_id, number):
        """Keep a run that must be in the store before it begins, and is not."""
        if self.losses < _UNRECORDED_LOSSES:
            return
        position = int(item_id.partition("-")[2])
        if not any(job.begun_runs[position : position + 1]):
            self.unrecorded_runs.append((item_id, number))

    def list_results(self, job_id="job"):
        prefix = f"{job_id}/"
        rows = [
            store.Row(key, value, version)
            for key, (value, version) in sorted(
                self.rows.rows.items(), key=lambda entry: entry[0].key
            )
            if key.table == jobs.RESULT_TABLE and key.key.startswith(prefix)
        ]
        return jobs.join_results(rows)

    async def wait_until(self, condition, limit_s):
        until_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until_s:
                raise AssertionError(
                    f"not within {limit_s} s: runs {self.runs}, 500s {self.answers_500}"
                )
            await asyncio.sleep(_POLL_S)

    async def wait_for_results(self, count, limit_s, job_id="job"):
        await self.wait_until(lambda: len(self.list_results(job_id)) >= count, limit_s)

    def stop(self):
        for owner in self.owners:
            owner.stop()
