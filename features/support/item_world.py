"""Items on a batch route of several services, whose targets write different texts."""

import asyncio
import contextlib
import dataclasses
import http
import time

from endivevane.serving import (
    failures,
    item_requests,
    job_changes,
    jobs,
    model,
    slot_registry,
)
from features.support import job_world, serving_fakes

EVENTS = 20
BREAK_AFTER = 8
SERVICES = ("lm-a", "lm-b")
_JOB = "job0001"
_HOST = "h"
_PATH = "/p/x"
# Above the time that the backoffs and rounds of these items add up to, by a factor of
# ten.
_MAX_RUN_S = 15.0


@dataclasses.dataclass
class Run:
    """A call of an item.

    :ivar began_after: the event behind which it asked to go on, 0 for none
    """

    item_id: str
    service: str
    began_after: int


class ScriptedTargets:
    """A target client whose targets write texts that belong to their service.

    :ivar breaks: runs of each item to break off after some events
    :ivar broken_services: services that break off each run before its first event
    :ivar refusing_services: services that run nothing
    :ivar refuses: tells whether a target refuses an item, given their ids
    :ivar held: breaks off, once set, all runs but the first of each item that have
        waited for it; ``None`` to let none wait
    """

    def __init__(self):
        self.runs = []
        self.breaks = 0
        self.broken_services = set()
        self.refusing_services = set()
        self.refuses = lambda _target_id, _item_id: False
        self.held = None

    @contextlib.asynccontextmanager
    async def call(self, known, call, is_idempotent):
        item_id = call.attempt_id.decode()
        service = known.target.service
        if self.held and any(run.item_id == item_id for run in self.runs):
            await self.held.wait()
            raise failures.TargetCallError("t", "connection reset", may_have_run=True)
        run = Run(item_id, service, int(call.last_event_id or 0))
        self.runs.append(run)
        count = sum(1 for other in self.runs if other.item_id == item_id)
        limit = EVENTS if count > self.breaks else BREAK_AFTER
        if service in self.broken_services:
            limit = run.began_after
        is_refused = service in self.refusing_services or self.refuses(
            known.target.target_id, item_id
        )
        yield _Response(run, limit, is_refused)


class _Response:
    """The response of a call, with the part of its text up to an event."""

    def __init__(self, run, limit, is_refused):
        status = http.HTTPStatus.SERVICE_UNAVAILABLE if is_refused else 200
        self.head = model.TargetReply(
            status=status,
            reason=b"X",
            headers=((b"content-type", b"text/event-stream"),),
            is_not_run=is_refused,
            is_wrong_target=False,
            attempt_id=run.item_id.encode(),
            is_signed=True,
            idle_timeout_s=None,
        )
        self.is_framed = True
        self._run = run
        self._limit = limit
        self._number = run.began_after

    def record_kept(self, count):
        """Do nothing, since no memory budget counts it."""

    def record_event(self):
        """Do nothing, since no watchdog waits for events."""

    async def read(self):
        await asyncio.sleep(0)
        if self._number >= EVENTS:
            return None
        if self._number >= self._limit:
            raise failures.TargetCallError("t", "connection reset", may_have_run=True)
        self._number += 1
        return make_event(self._run.service, self._run.item_id, self._number)


class ObservedSlots(slot_registry.SlotRegistry):
    """Slots whose first grant is told.

    :ivar on_first: called with the first slot, before its item runs
    """

    on_first = None

    def hold(self, *arguments, **named):
        slot = super().hold(*arguments, **named)
        if self.on_first is not None:
            self.on_first(slot)
            self.on_first = None
        return slot


def make_piece(service, item_id, number):
    return f"{service} {item_id} {number}".encode()


def make_event(service, item_id, number):
    return b"id: %d\ndata: %s\n\n" % (number, make_piece(service, item_id, number))


def make_text(service, item_id):
    pieces = [make_piece(service, item_id, n + 1) for n in range(EVENTS)]
    return b"\n".join(pieces).decode()


def make_route(weights, retention_s=90):
    """Return a batch route to services with weights."""
    return model.Route(
        name="digest",
        host=_HOST,
        prefix="/p/",
        kind=model.RouteKind.BATCH,
        services=tuple(model.WeightedService(*item) for item in weights.items()),
        timeout_s=15,
        objective_s=0.4,
        priority=2,
        max_attempts=3,
        completion_s=60,
        retention_s=retention_s,
    )


class World:
    """Two daemons that share a store, and targets of two services.

    :ivar table: routing table in force at both daemons
    """

    def __init__(self, weights, count):
        self.rows = serving_fakes.FakeStore()
        self.targets = ScriptedTargets()
        self.fleet = serving_fakes.Fleet([])
        self.slots = ObservedSlots(self.fleet.board)
        self.set_route(weights)
        self.items = tuple(
            jobs.Item(f"item{number}", _PATH, {"Model": "m"}, b"body", 10)
            for number in range(count)
        )
        self.daemons = [job_world.JobDaemon(self.rows, name) for name in ("a", "b")]
        self.tasks = []
        for service in SERVICES:
            self.add_targets(service)

    def add_targets(self, service):
        for number in range(2):
            self.fleet.add(f"{service}-{number}", service=service, software="v1")

    def remove_targets(self, service):
        for number in range(2):
            row = serving_fakes.make_row(f"{service}-{number}", None, 50)
            self.fleet.directory.apply(row, time.monotonic())

    def set_route(self, weights):
        self.table = job_world.make_table((make_route(weights),))

    async def start_job(self):
        """Let the first daemon accept the job and run it; return its runner."""
        daemon = self.daemons[0]
        submission = job_changes.Submission(
            _JOB,
            _HOST,
            _PATH,
            self.table.configuration.routes[0],
            self.items,
            time.monotonic() + 2.0,
        )
        entry = await daemon.changes.accept(submission)
        return self._run(daemon, entry, jobs.JobProgress())

    async def take_over(self, lost_owners=0):
        """Let the second daemon run what the first has released."""
        daemon = self.daemons[1]
        entry = await daemon.changes.find_stored(_JOB)
        progress = await daemon.changes.load_progress(_JOB)
        claim = dataclasses.replace(
            entry.job, owner=daemon.owner, operation="claim", lost_owners=lost_owners
        )
        until_s = time.monotonic() + 2.0
        entry = await daemon.changes.replace(entry, claim, until_s)
        return self._run(daemon, entry, jobs.JobProgress(progress=progress))

    def _run(self, daemon, entry, stored):
        runner = job_world.make_runner(
            daemon,
            self.fleet,
            self.targets,
            get_table=lambda: self.table,
            slots=self.slots,
        )
        self.tasks.append(asyncio.ensure_future(runner.run()))
        runner.start_job(entry, self.items, stored)
        return runner

    async def begin_items(self):
        """Let the first daemon begin all items, which break off; return its runner.

        Their next runs wait at the targets.
        """
        self.targets.breaks = 1
        self.targets.held = asyncio.Event()
        runner = await self.start_job()
        await self.wait_for_runs(len(self.items))
        return runner

    def end_held_runs(self):
        """Break off the runs that wait at the targets, and let later ones go on."""
        self.targets.held.set()
        self.targets.held = None

    async def store_broken_items(self):
        """Let the first daemon begin all items, and release them with their events."""
        runner = await self.begin_items()
        await runner.release_jobs()
        self.tasks.pop().cancel()
        self.end_held_runs()

    async def wait_for_runs(self, count):
        """Wait until so many runs have begun and each has ended."""
        async with asyncio.timeout(_MAX_RUN_S):
            while len(self.targets.runs) < count:
                await asyncio.sleep(0.002)
        await asyncio.sleep(0.02)

    async def wait_until_done(self):
        """Wait until the job is done; return its results by item."""
        daemon = self.daemons[0]
        async with asyncio.timeout(_MAX_RUN_S):
            while (entry := await daemon.changes.find_stored(_JOB)).job.is_open:
                await asyncio.sleep(0.02)
        results = await daemon.changes.load_results(_JOB, 0, entry.job.listed)
        return {result.item_id: result for result in results.values()}

    def list_runs(self, item_id):
        return [run for run in self.targets.runs if run.item_id == item_id]

    def age_waits(self, runner):
        """Let all items have waited for their service for as long as they do."""
        for run in runner._owned[_JOB].runs.values():
            run.advanced_s -= item_requests._MAX_WAIT_S

    def stop(self):
        for task in (*self.tasks, *(daemon.feed for daemon in self.daemons)):
            task.cancel()


async def play(world_arguments, act):
    """Run a world during an action."""
    world = World(*world_arguments)
    try:
        return await act(world)
    finally:
        world.stop()
