"""Sweepers, users and a model of the data to keep, for the fuzzing of retention."""

import dataclasses
import itertools

import result
from hypothesis import stateful

from endivevane import testing, utils
from endivevane.batch import chunks, files, items, jobs, records
from endivevane.coordination import clock, register, store
from endivevane.retention import (
    decisions,
    file_sweeper,
    job_sweeper,
    platform_calls,
    register_sweeper,
    shards,
)
from endivevane.web import errors
from features.support import batch_local, fuzz_register

RESULTS_S, INPUTS_S, KEYS_S, OUTCOMES_S = 1000, 1500, 3000, 500
CHUNK_COUNT = 2


class DaemonCrashed(BaseException):
    """Raised in a sweeper's call to simulate a crash of its daemon."""


class FaultyObjects(batch_local.MemoryObjects):
    """An object store whose deletes fail or lose their responses as scripted."""

    def __init__(self):
        super().__init__()
        self.script = []

    def delete(self, key):
        fault = self.script.pop(0) if self.script else None
        if fault != "down":
            super().delete(key)
        if fault is None:
            return result.Ok(None)
        return result.Err(batch_local.objects.ObjectStoreError(key, fault))


class UserStore(fuzz_register.InterruptedStore):
    """Interrupts scans as well as the calls of the base class."""

    def scan(self, table, prefix, after="", limit=500):
        self._interrupt()
        return super().scan(table, prefix, after, limit)


class ScriptedPacer:
    """Stand-in for the pacer that runs planned actions before the sweeper's calls."""

    def __init__(self):
        self.plan = []

    def acquire(self, kind, count):
        action = self.plan.pop(0) if self.plan else None
        if action is not None:
            action()


class Sweeper:
    """All sweepers of one daemon."""

    def __init__(self, machine):
        self.pacer = ScriptedPacer()
        calls = machine.calls_class(machine.store, machine.objects, self.pacer)
        policy = decisions.Policy(machine.clock, lambda: machine.snapshot)
        self._files = file_sweeper.FileSweeper(calls, policy)
        self._parts = (
            (job_sweeper.JobSweeper(calls, policy), shards.Shard("jobs", "")),
            (self._files, shards.Shard("files", "")),
            (
                register_sweeper.RegisterSweeper(calls, policy),
                shards.Shard("register", ""),
            ),
        )

    def sweep(self, first=0):
        """Sweep all tables, starting with the given one."""
        for part, shard in self._parts[first:] + self._parts[:first]:
            try:
                part.sweep(shard)
            except platform_calls.SweepAborted:
                continue
        try:
            self._files.resolve_marked()
        except platform_calls.SweepAborted:
            return


@dataclasses.dataclass
class _Job:
    generation: str
    upload: str
    ended_ms: int | None = None
    done: set = dataclasses.field(default_factory=set)


def make_snapshot(factor):
    """Return a configuration with the default periods multiplied by a factor."""
    periods = {"results_s": RESULTS_S, "inputs_s": INPUTS_S, "keys_s": KEYS_S}
    periods = {key: factor * value for key, value in periods.items()}
    current = batch_local.make_snapshot([("127.0.0.1:1", 1)], retention=periods)
    return dataclasses.replace(current, register_retention_s=factor * OUTCOMES_S)


class World(stateful.RuleBasedStateMachine):
    """Two sweepers, two files, jobs and keys, and the model of the data to keep."""

    calls_class = platform_calls.PlatformCalls
    chunk_count = CHUNK_COUNT
    steps_run = 0

    def __init__(self):
        super().__init__()
        self.store = testing.MemoryTableStore()
        self.objects = FaultyObjects()
        self.clock = clock.ManualClock(wall_ms=1_000_000)
        self.default_snapshot, self.long_snapshot = map(make_snapshot, (1, 1000))
        self.snapshot = self.default_snapshot
        self.undecided = set()
        self.sweepers = [Sweeper(self), Sweeper(self)]
        self.jobs = jobs.JobService(self.store, self.clock)
        self.files = files.FileService(self.store, self.objects, self.clock)
        self.user_store = UserStore(self.store)
        self.user_files = files.FileService(self.user_store, self.objects, self.clock)
        ids = (f"op{number}" for number in itertools.count())
        self.register = register.Register(self.store, lambda: next(ids))
        self.uploads = itertools.count()
        self.known_jobs = {}
        self.known_files = {}
        self.known_calls = {}
        self.lost_claims = []
        self.data = {}

    def now_s(self):
        return self.clock.monotonic_s()

    def age_s(self, since_ms):
        return (self.clock.wall_ms() - since_ms) / 1000

    def upload_file(self, number):
        file_id = f"file-{number}"
        if file_id in self.store.rows("files"):
            return
        upload = f"files/{file_id}/{next(self.uploads)}"
        record = records.InputFile(
            file_id, "org", "f", "batch", 1, 2, self.chunk_count, "d",
            self.clock.wall_ms(), upload, "m", 1,
        )  # fmt: skip
        for key in records.list_segment_keys(record):
            self.objects.put(key, b"input")
        write = store.Write("files", file_id, records.encode(record))
        self.store.transact("upload", [], [write])
        self.known_files[file_id] = record

    def create_job(self, number):
        request = jobs.JobRequest(
            "org", f"file-{number}", items.ENDPOINT, "1h", 3_600_000, None, f"k{number}"
        )
        try:
            job = self.jobs.create(request)
        except errors.ApiError:
            return
        assert job.expired_ms is None, "an expired job was returned"
        self.update_known_jobs()

    def list_undecided(self):
        """Return the rows without an irreversible step."""
        final = ("erasing", "expired")
        deletable = {("forget", key) for key in self.store.rows("jobs")}
        return deletable | {
            (table, key)
            for table in ("jobs", "files", "register")
            for key, row in self.store.rows(table).items()
            if row.value["state"] not in final and not row.value.get("expired_ms")
        }

    def update_known_jobs(self):
        """Update the model from the jobs; a new job must not reuse a kept key."""
        for job_id, row in self.store.rows("jobs").items():
            job = records.decode_job(row).job
            known = self.known_jobs.get(job_id)
            if known is None or known.generation != job.generation:
                if known is not None:
                    assert known.ended_ms is not None, "an open job ran again"
                    age_s = self.age_s(known.ended_ms)
                    assert age_s >= KEYS_S, f"a key ran again after {age_s} s"
                self.known_jobs[job_id] = _Job(job.generation, job.upload)
            self.known_jobs[job_id].ended_ms = job.ended_ms

    def list_open(self):
        rows = self.store.rows("jobs").values()
        return [
            stored
            for stored in map(records.decode_job, rows)
            if stored.job.state == records.JobState.IN_PROGRESS
        ]

    def claim_chunk(self, stored, chunk):
        row = self.store.rows("chunks").get(
            records.make_chunk_key(stored.job.job_id, chunk)
        )
        if row is not None and row.value["state"] == records.ChunkState.DONE:
            return None
        owner = chunks.Owner("d", 1)
        outcome = chunks.claim(
            self.store, stored, chunk, row, owner, utils.make_id("c")
        )
        claim = outcome.ok_value
        line = items.ResultLine(True, b'{"by":"%s"}\n' % claim.result_key.encode())
        self.data[claim.result_key] = items.encode_results({0: line})
        return claim

    def put(self, claim):
        self.objects.put(claim.result_key, self.data[claim.result_key])

    def process_chunk(self, stored, chunk, ending):
        claim = self.claim_chunk(stored, chunk)
        if claim is None:
            return
        self.put(claim)
        if ending == "commit":
            size = len(claim.result_key) + 1
            chunks.commit(self.store, claim, records.Tally(1, 0, size, 0))
            self.update_known_jobs()
            self.known_jobs[stored.job.job_id].done.add(claim.key)
        elif ending == "release":
            chunks.release(self.store, claim, claim.result_key)
        else:
            self.lost_claims.append(claim)

    def finish(self, stored):
        rows = [
            row
            for key, row in self.store.rows("chunks").items()
            if key.startswith(f"{stored.job.job_id}/")
        ]
        if chunks.is_all_done(rows, stored.job.chunk_count):
            jobs.finish(self.store, stored, rows, self.clock.wall_ms())

    def check_objects(self, known, job_id, chunk_rows):
        assert known.done <= chunk_rows.keys(), f"chunks of {job_id} are missing"
        own = [row for key, row in chunk_rows.items() if key.startswith(f"{job_id}/")]
        done = [row.value for row in own if row.value["state"] == "done"]
        for value in done:
            found = self.objects.data.get(value["result"])
            assert found == self.data[value["result"]], f"{value['result']} is missing"
        if known.ended_ms is not None:
            return
        for value in (row.value for row in own):
            if value["partial"] and value["state"] != "done":
                assert value["partial"] in self.objects.data, "partial result missing"
        for chunk in range(self.chunk_count):
            key = records.make_segment_key(known.upload, chunk)
            assert key in self.objects.data, "the input of an open job is missing"

    def clear(self):
        self.store._script.clear()
        self.objects.script = []
