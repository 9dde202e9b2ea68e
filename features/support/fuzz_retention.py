"""Fuzzing of retention against a model of the data that must be kept.

Two sweepers process two jobs, their input files and two keys of the register. Any call
of a sweeper may fail, lose its response, take effect after a crash, or follow a pause
in which the other sweeper runs, time passes and the jobs are created again.
"""

import result
from hypothesis import stateful
from hypothesis import strategies as st

from endivevane import testing
from endivevane.batch import chunks, records, results
from endivevane.coordination import register, store
from endivevane.online import at_most_once
from endivevane.retention import (
    platform_calls,
)
from endivevane.web import errors
from features.support import retention_world

_NUMBERS = st.integers(0, 1)
_FAULTS = st.one_of(
    st.just([]), st.lists(st.sampled_from([None, *testing.Fault]), max_size=6)
)
_OBJECT_FAULTS = st.one_of(
    st.just([]), st.lists(st.sampled_from([None, "down", "lost"]), max_size=6)
)


_WAITS_S = st.sampled_from([0, 300, 700, 1100, 3000])


class UnconditionalCalls(platform_calls.PlatformCalls):
    """Faulty on purpose: writes and deletes rows even if they have changed."""

    def write(self, row, value, is_due=None):
        self._pacer.acquire(None, 1)
        self._store.transact("broken", [], [store.Write(row.table, row.key, value)])
        return self._store.rows(row.table)[row.key]

    def delete_rows(self, rows, kind, guard=None, is_due=None):
        self._pacer.acquire(None, 1)
        writes = [store.Write(item.table, item.key, None) for item in rows]
        return isinstance(self._store.transact("broken", [], writes), result.Ok)


class RetentionMachine(retention_world.World):
    """Runs the correct sweepers; subclasses replace ``calls_class``."""

    @stateful.initialize()
    def begin(self):
        for number in range(2):
            self.create(number, [])
            self.call_once(number, "inline")
        for stored in self.list_open():
            self.process_chunk(stored, 0, "lose")
            self.process_chunk(stored, 0, "commit")
            self.process_chunk(stored, 1, "release")

    @stateful.rule(number=_NUMBERS, faults=_FAULTS)
    def create(self, number, faults):
        type(self).steps_run += 1
        self.upload_file(number)
        self.store.script(*faults)
        self.create_job(number)
        self.clear()

    @stateful.rule(
        number=_NUMBERS,
        chunk=st.integers(0, retention_world.CHUNK_COUNT - 1),
        ending=st.sampled_from(["commit", "release", "lose"]),
    )
    def run_chunk(self, number, chunk, ending):
        type(self).steps_run += 1
        found = self.list_open()
        if found:
            self.process_chunk(found[number % len(found)], chunk, ending)

    @stateful.rule(cancels=st.booleans(), faults=_FAULTS)
    def end(self, cancels, faults):
        type(self).steps_run += 1
        for stored in self.list_open():
            self._end(stored, cancels, faults)

    def _end(self, stored, cancels, faults):
        for chunk in range(0 if cancels else retention_world.CHUNK_COUNT):
            self.process_chunk(stored, chunk, "commit")
        self.store.script(*faults)
        try:
            if cancels:
                self.jobs.cancel("org", stored.job.job_id)
            else:
                self.finish(stored)
        except errors.ApiError:
            pass
        self.clear()

    @stateful.precondition(lambda self: self.lost_claims)
    @stateful.rule(number=st.integers(0, 9), commits=st.booleans())
    def wake_lost_claim(self, number, commits):
        """A daemon that was paused and lost its claim writes and tries to commit."""
        type(self).steps_run += 1
        claim = self.lost_claims[number % len(self.lost_claims)]
        job = claim.stored_job.job
        row = self.store.rows("jobs").get(job.job_id)
        if row is None or row.value["generation"] != job.generation:
            return
        self.put(claim)
        if commits:
            outcome = chunks.commit(self.store, claim, records.Tally(1, 0, 9, 0))
            if outcome.ok_value is chunks.WriteOutcome.FENCED:
                self.objects.delete(claim.result_key)
            self.lost_claims.remove(claim)

    @stateful.rule(
        number=_NUMBERS,
        faults=_FAULTS,
        at_call=st.integers(0, 4),
        has_rival=st.booleans(),
    )
    def delete_file(self, number, faults, at_call, has_rival):
        """A user deletes a file, perhaps while a second delete finds it in use."""
        type(self).steps_run += 1
        file_id = f"file-{number}"

        def interrupt():
            self.clear()
            self._delete_file(self.files, file_id)
            for stored in self.list_open():
                self._end(stored, True, [])

        self.user_store.interruptions = [None] * at_call
        self.user_store.interruptions += [interrupt] if has_rival else []
        self.store.script(*faults)
        self._delete_file(self.user_files, file_id)
        self.user_store.interruptions = []
        self.clear()

    def _delete_file(self, service, file_id):
        try:
            service.delete("org", file_id)
        except errors.ApiError as error:
            if isinstance(error, errors.Conflict) and "uses the file" in error.message:
                return
        self.known_files.pop(file_id, None)

    @stateful.rule(
        number=_NUMBERS, ending=st.sampled_from(["none", "inline", "object"])
    )
    def call_once(self, number, ending):
        type(self).steps_run += 1
        key = f"k{number}"
        claim_result = self.register.claim(
            "org", key, "d", self.clock.wall_ms()
        ).ok_value
        known = self.known_calls.get(key)
        if not isinstance(claim_result, register.Claim):
            assert known is not None, f"{claim_result} for a key without a call"
            return
        if known is not None:
            factor = 1 if known[1] else 2
            age_s = self.age_s(known[0])
            assert (
                age_s >= factor * retention_world.OUTCOMES_S
            ), f"{key} ran again after {age_s} s"
        outcome = {"status": 200}
        if ending == "object":
            name = at_most_once.make_object_key(
                claim_result.row_key, claim_result.operation_id
            )
            outcome["object"] = name
            self.objects.put(name, b"answer")
        if ending != "none":
            self.register.record(claim_result, outcome)
        self.known_calls[key] = (
            self.clock.wall_ms(), outcome if ending != "none" else None
        )  # fmt: skip

    @stateful.rule(
        who=_NUMBERS,
        wait_s=_WAITS_S,
        faults=_FAULTS,
        object_faults=_OBJECT_FAULTS,
    )
    def sweep(self, who, wait_s, faults, object_faults):
        type(self).steps_run += 1
        self.clock.advance(wait_s)
        self.store.script(*faults)
        self.objects.script = list(object_faults)
        self.sweepers[who].sweep()
        self.clear()

    @stateful.rule(
        who=_NUMBERS,
        wait_s=_WAITS_S,
        first=st.integers(0, 2),
        at_call=st.one_of(st.integers(0, 5), st.integers(0, 30)),
        action=st.sampled_from(["die", "rival", "pause", "pause", "lengthen"]),
    )
    def sweep_interrupted(self, who, wait_s, first, at_call, action):
        type(self).steps_run += 1
        self.clock.advance(wait_s)
        actions = {
            "die": self._crash,
            "rival": self.sweepers[1 - who].sweep,
            "pause": lambda: self._pause(1 - who),
            "lengthen": self._lengthen,
        }
        self.sweepers[who].pacer.plan = [None] * at_call + [actions[action]]
        try:
            self.sweepers[who].sweep(first)
        except retention_world.DaemonCrashed:
            self.sweepers[who] = retention_world.Sweeper(self)
        self.sweepers[who].pacer.plan = []
        self.snapshot = self.default_snapshot
        rows = self.list_undecided()
        assert (
            self.undecided <= rows
        ), f"lost before the longer periods: {self.undecided - rows}"
        self.undecided = set()

    def _lengthen(self):
        """Publish longer periods while the sweep waits for the budget."""
        self.snapshot = self.long_snapshot
        self.undecided = self.list_undecided()

    def _crash(self):
        raise retention_world.DaemonCrashed

    def _pause(self, other):
        """Run the other sweeper and create the jobs again during a sweeper's pause."""
        self.update_known_jobs()
        self.clock.advance(2 * retention_world.KEYS_S)
        self.sweepers[other].sweep()
        for number in range(2):
            self.upload_file(number)
            self.create_job(number)
            self.call_once(number, "object")
        for stored in self.list_open():
            self.process_chunk(stored, 0, "commit")
            self.process_chunk(stored, 1, "release")

    @stateful.rule()
    def let_delayed_writes_arrive(self):
        type(self).steps_run += 1
        self.store.apply_delayed()

    @stateful.rule(number=_NUMBERS, sweeps_at=st.integers(0, 2))
    def read_results(self, number, sweeps_at):
        """A reader whose results expire meanwhile gets an error, never a part."""
        type(self).steps_run += 1
        job_ids = sorted(self.known_jobs)
        if not job_ids:
            return
        job_id = job_ids[number % len(job_ids)]
        reader = results.ResultReader(self.store, self.objects)
        try:
            job = self.jobs.get("org", job_id).job
            committed = self.jobs.count(job).completed
            parts = []
            self._expire_results(sweeps_at == 0)
            for part in reader.read(job_id, False):
                self._expire_results(sweeps_at == 1)
                parts.append(part)
        except (errors.JobExpired, errors.NotFound):
            known = self.known_jobs[job_id]
            assert known.ended_ms is not None, "an open job was deleted"
            assert (
                self.age_s(known.ended_ms) >= retention_world.RESULTS_S
            ), "the results were deleted too early"
            return
        assert len(parts) == committed, f"{len(parts)} of {committed} results"

    def _expire_results(self, must_expire):
        if must_expire:
            self.clock.advance(retention_world.RESULTS_S)
            self.sweepers[0].sweep()

    @stateful.invariant()
    def jobs_are_kept(self):
        self.update_known_jobs()
        job_rows, chunk_rows = self.store.rows("jobs"), self.store.rows("chunks")
        for job_id, known in self.known_jobs.items():
            age_s = -1 if known.ended_ms is None else self.age_s(known.ended_ms)
            if age_s < retention_world.KEYS_S:
                assert job_id in job_rows, f"{job_id} was deleted after {age_s} s"
            if age_s < retention_world.RESULTS_S:
                assert job_rows[job_id].value["expired_ms"] is None, "expired early"
                self.check_objects(known, job_id, chunk_rows)

    @stateful.invariant()
    def files_are_kept(self):
        rows = self.store.rows("files")
        for file_id, record in self.known_files.items():
            if self.age_s(record.created_ms) < retention_world.INPUTS_S:
                assert file_id in rows, f"{file_id} was deleted too early"
                assert rows[file_id].value["state"] == "ready", f"{file_id} is marked"
        for row in rows.values():
            record = records.decode(records.InputFile, row.value)
            if record.state == records.FileState.READY:
                for key in records.list_segment_keys(record):
                    assert key in self.objects.data, f"{key} of a ready file is missing"

    @stateful.invariant()
    def calls_are_kept(self):
        rows = self.store.rows("register")
        for key, (claimed_ms, outcome) in self.known_calls.items():
            if (
                self.age_s(claimed_ms)
                >= (1 if outcome else 2) * retention_world.OUTCOMES_S
            ):
                continue
            assert rows[f"org/{key}"].value.get("outcome") == outcome, f"{key} changed"
            name = (outcome or {}).get("object")
            assert name is None or name in self.objects.data, f"{name} is missing"

    def teardown(self):
        """Check that a healthy platform ends with all data deleted, also orphans."""
        self.clear()
        self.store.apply_delayed()
        for stored in self.list_open():
            self.jobs.cancel("org", stored.job.job_id)
        for _ in range(2):
            self.clock.advance(2 * retention_world.KEYS_S)
            self.sweepers[0].sweep()
        for table in ("jobs", "chunks", "files", "register", "open"):
            assert not self.store.rows(table), f"rows left in {table}"
        assert not self.objects.data, f"objects left: {sorted(self.objects.data)}"


class UnconditionalMachine(RetentionMachine):
    calls_class = UnconditionalCalls
