"""Stateful fuzzing of claim, commit, takeover, cancel and finish.

The oracle is the store's history, which lists every transaction that took effect.

Hypothesis orders rules by name, so renaming one changes the steps of a seed.
"""

import collections
import dataclasses

import hypothesis
import result
from hypothesis import stateful, strategies

from endivevane import testing
from endivevane.batch import chunks, items, jobs, records, results, work_source
from endivevane.coordination import clock, store
from endivevane.web import errors
from features.support import batch_local

RUNNERS = ("a", "b", "c")
REQUESTS = 2
CHUNK_COUNT = 2
# Half of the calls are without faults, so that runs get past the first steps.
FAULTS = strategies.one_of(
    strategies.just([]),
    strategies.lists(
        strategies.sampled_from([None, *testing.Fault]), min_size=1, max_size=4
    ),
)


def has_jobs(machine):
    return bool(machine.job_ids)


def has_claims(machine):
    return any(runner.held for runner in machine.runners.values())


def list_replaced(machine):
    """Return the claims of runners whose session other runners see as gone."""
    return [
        (runner, key)
        for runner in machine.runners.values()
        for key in sorted(runner.held)
        if (runner.name, runner.epoch) in machine.gone
    ]


def has_replaced(machine):
    return bool(list_replaced(machine))


def commit_without_fence(table_store, claim, tally):
    """Commit with the current revision instead of the fencing token."""
    row = table_store.read(records.CHUNKS, claim.key)
    if isinstance(row, result.Err):
        return row
    return chunks.commit(
        table_store, dataclasses.replace(claim, revision=row.ok_value.revision), tally
    )


@dataclasses.dataclass
class Runner:
    name: str
    epoch: int
    source: work_source.WorkSource
    held: dict = dataclasses.field(default_factory=dict)


class BatchMachine(stateful.RuleBasedStateMachine):
    """Three runners and two jobs of two chunks each, with faults in every call."""

    commit = staticmethod(chunks.commit)
    steps = 0
    outcomes = collections.Counter()

    def __init__(self):
        super().__init__()
        self.store = testing.MemoryTableStore()
        self.objects = batch_local.MemoryObjects()
        self.clock = clock.ManualClock(wall_ms=1_000_000)
        self.gone = set()
        self.epochs = dict.fromkeys(RUNNERS, 1)
        self.runners = {name: self._make_runner(name) for name in RUNNERS}
        self.jobs = jobs.JobService(self.store, self.clock)
        self.job_ids = {}
        self.acknowledged = {}
        self.lines = {}
        self.may_cancel = False
        for number in range(REQUESTS):
            record = records.InputFile(
                f"file-{number}",
                "org",
                "f",
                "batch",
                1,
                2,
                CHUNK_COUNT,
                "d",
                1,
                "u",
                "m",
                0,
            )
            self.store.transact(
                "setup",
                [],
                [store.Write("files", record.file_id, encode_record(record))],
            )

    def _make_runner(self, name):
        source = work_source.WorkSource(
            self.store, self.objects, self._is_gone, self.clock
        )
        return Runner(name, self.epochs[name], source)

    def _is_gone(self, owner, epoch):
        return (owner, epoch) in self.gone or epoch < self.epochs[owner]

    def _begin(self, faults):
        type(self).steps += 1
        self.store.script(*faults)

    def _end(self):
        self.store._script.clear()

    def _choose_job(self, number):
        job_ids = sorted(self.job_ids.values())
        return job_ids[number % len(job_ids)]

    def _choose_claim(self, pick):
        held = [
            (runner, key)
            for runner in self.runners.values()
            for key in sorted(runner.held)
        ]
        return held[pick % len(held)]

    def _count_outcome(self, verb, outcome):
        kind = "error"
        if isinstance(outcome, result.Ok):
            kind = "none" if outcome.ok_value is None else "ok"
            kind = getattr(outcome.ok_value, "value", kind)
        type(self).outcomes[f"{verb}_{kind}"] += 1

    @stateful.initialize()
    def create_first(self):
        self.create(0, [])

    @stateful.rule(number=strategies.integers(0, REQUESTS - 1), faults=FAULTS)
    def create(self, number, faults):
        request = jobs.JobRequest(
            "org", f"file-{number}", items.ENDPOINT, "1h", 3_600_000, None, ""
        )
        self._begin(faults)
        try:
            job = self.jobs.create(request)
        except errors.ApiError:
            job = None
        self._end()
        type(self).outcomes["create_ok" if job else "create_error"] += 1
        if job is not None:
            assert self.job_ids.setdefault(number, job.job_id) == job.job_id

    @stateful.precondition(has_jobs)
    @stateful.rule(
        name=strategies.sampled_from(RUNNERS),
        number=strategies.integers(0, REQUESTS - 1),
        wait_s=strategies.sampled_from([0.1, 2.5]),
        faults=FAULTS,
    )
    def claim(self, name, number, wait_s, faults):
        # Rows are cached for 2 s, so a short wait makes the claim rely on stale rows.
        self.clock.advance(wait_s)
        runner = self.runners[name]
        job_id = self._choose_job(number)
        self._begin(faults)
        owner = chunks.Owner(name, runner.epoch)
        outcome = runner.source.claim_from(job_id, owner, set(runner.held))
        self._end()
        self._count_outcome("claim", outcome)
        if isinstance(outcome, result.Ok) and outcome.ok_value is not None:
            claim = outcome.ok_value
            runner.held[job_id, claim.number] = claim

    @stateful.precondition(has_claims)
    @stateful.rule(pick=strategies.integers(0, 11))
    def commit_without_fault(self, pick):
        self.commit_chunk(pick, [])

    @stateful.precondition(has_replaced)
    @stateful.rule(faults=FAULTS)
    def commit_late(self, faults):
        """Commit for a replaced owner that has not noticed its expired lease."""
        self._commit(*list_replaced(self)[0], faults)

    @stateful.precondition(has_claims)
    @stateful.rule(pick=strategies.integers(0, 11), faults=FAULTS)
    def commit_chunk(self, pick, faults):
        self._commit(*self._choose_claim(pick), faults)

    def _commit(self, runner, key, faults):
        claim = runner.held[key]
        line = items.ResultLine(True, b'{"by":"%s"}\n' % claim.result_key.encode())
        self.lines[claim.result_key] = line.data
        self.objects.put(claim.result_key, items.encode_results({0: line}))
        self._begin(faults)
        tally = records.Tally(1, 0, len(line.data), 0)
        outcome = type(self).commit(self.store, claim, tally)
        self._end()
        self._count_outcome("commit", outcome)
        if isinstance(outcome, result.Err):
            return
        del runner.held[key]
        row = self.store.rows("chunks")[claim.key]
        is_ours = row.value["state"] == "done" and row.value["result"] == (
            claim.result_key
        )
        assert is_ours == (outcome.ok_value is chunks.WriteOutcome.APPLIED)

    @stateful.precondition(has_claims)
    @stateful.rule(pick=strategies.integers(0, 11), other=strategies.integers(0, 1))
    def replace_holder(self, pick, other):
        """Expire the lease of a paused owner and let another runner claim its chunk."""
        runner, key = self._choose_claim(pick)
        self.gone.add((runner.name, runner.epoch))
        others = [name for name in RUNNERS if name != runner.name]
        self.claim(others[other], sorted(self.job_ids.values()).index(key[0]), 2.5, [])

    @stateful.precondition(has_claims)
    @stateful.rule(pick=strategies.integers(0, 11), faults=FAULTS)
    def release_chunk(self, pick, faults):
        runner, key = self._choose_claim(pick)
        self._begin(faults)
        outcome = chunks.release(self.store, runner.held[key], "")
        self._end()
        self._count_outcome("release", outcome)
        if isinstance(outcome, result.Ok):
            del runner.held[key]

    @stateful.precondition(lambda self: has_jobs(self) and self.may_cancel)
    @stateful.rule(number=strategies.integers(0, REQUESTS - 1), faults=FAULTS)
    def cancel(self, number, faults):
        job_id = self._choose_job(number)
        self._begin(faults)
        try:
            self.jobs.cancel("org", job_id)
            is_cancelled = True
        except errors.ApiError:
            is_cancelled = False
        self._end()
        type(self).outcomes[f"cancel_{is_cancelled}"] += 1
        if is_cancelled:
            revision = self.store.history[-1].revision
            self.acknowledged.setdefault(job_id, revision)

    @stateful.precondition(lambda self: self.lines)
    @stateful.rule(
        name=strategies.sampled_from(RUNNERS),
        number=strategies.integers(0, REQUESTS - 1),
        faults=FAULTS,
    )
    def finish(self, name, number, faults):
        job_id = self._choose_job(number)
        self._begin(faults)
        outcome = self.runners[name].source.finish_if_done(job_id)
        self._end()
        self._count_outcome("finish", outcome)

    @stateful.precondition(lambda self: not self.may_cancel)
    @stateful.rule()
    def allow_cancel(self):
        """Enable cancels, which would otherwise end most jobs before any commit."""
        type(self).steps += 1
        self.may_cancel = True

    @stateful.precondition(has_claims)
    @stateful.rule(name=strategies.sampled_from(RUNNERS))
    def lapse(self, name):
        """Expire the lease of a runner that is paused and does not notice."""
        type(self).steps += 1
        self.gone.add((name, self.runners[name].epoch))

    @stateful.precondition(lambda self: self.gone)
    @stateful.rule(name=strategies.sampled_from(RUNNERS), faults=FAULTS)
    def wake(self, name, faults):
        """Resume a paused runner under a new epoch and renew its remaining claims."""
        runner = self.runners[name]
        self.epochs[name] += 1
        runner.epoch = self.epochs[name]
        owner = chunks.Owner(name, runner.epoch)
        self._begin(faults)
        for key, claim in list(runner.held.items()):
            outcome = runner.source.reclaim(claim, owner)
            self._count_outcome("reclaim", outcome)
            if isinstance(outcome, result.Err):
                continue
            del runner.held[key]
            if outcome.ok_value is not None:
                runner.held[key] = outcome.ok_value
        self._end()

    @stateful.precondition(has_claims)
    @stateful.rule(name=strategies.sampled_from(RUNNERS))
    def crash(self, name):
        type(self).steps += 1
        self.epochs[name] += 1
        self.runners[name] = self._make_runner(name)

    @stateful.precondition(lambda self: self.store._delayed)
    @stateful.rule()
    def deliver_delayed(self):
        type(self).steps += 1
        self.store.apply_delayed()

    @stateful.invariant()
    def check_chunk_rows(self):
        done = {}
        for transaction in self.store.history:
            for write in transaction.writes:
                if write.table != "chunks":
                    continue
                assert write.key not in done, f"{write.key} written after it was final"
                job_id = write.key.partition("/")[0]
                limit = self.acknowledged.get(job_id)
                assert (
                    limit is None or transaction.revision <= limit
                ), f"{write.key} written after the cancel was acknowledged"
                if write.value["state"] == "done":
                    done[write.key] = write.value["result"]
        for key, result_key in done.items():
            reader = results.ResultReader(FaultFreeReader(self.store), self.objects)
            data = b"".join(reader.read(key.partition("/")[0], False))
            assert self.lines[result_key] in data, f"results of {key} are not readable"

    @stateful.invariant()
    def check_job_rows(self):
        rows = self.store.rows("jobs")
        open_ids = [row.value["job_id"] for row in self.store.rows("open").values()]
        assert len(rows) <= REQUESTS
        assert len(open_ids) == len(set(open_ids))
        for job_id, row in rows.items():
            assert (job_id in open_ids) == (row.value["state"] == "in_progress")
            assert self.store.count_writes("jobs", job_id) <= 2
            if row.value["state"] != "completed":
                continue
            chunk_rows = self.store.rows("chunks").values()
            own = [item for item in chunk_rows if item.key.startswith(f"{job_id}/")]
            assert len(own) == CHUNK_COUNT
            assert all(item.value["state"] == "done" for item in own)
            assert row.value["tally"]["completed"] == CHUNK_COUNT


class UnfencedMachine(BatchMachine):
    """A batch machine whose commits are not conditional on the claimed revision."""

    commit = staticmethod(commit_without_fence)


class FaultFreeReader:
    """Reads of a store without the scripted faults."""

    def __init__(self, inner):
        self._inner = inner

    def read(self, table, key):
        return result.Ok(self._inner.rows(table).get(key))

    def scan(self, table, prefix, after="", limit=500):
        rows = self._inner.rows(table)
        return result.Ok(
            [
                row
                for key, row in rows.items()
                if key.startswith(prefix) and key > after
            ][:limit]
        )


def encode_record(record):
    return dataclasses.asdict(record)


def run(machine, seed, examples, steps_per_example):
    """Run a machine with a fixed seed; raise on a violated invariant."""
    machine.steps = 0
    machine.outcomes = collections.Counter()
    stateful.run_state_machine_as_test(
        hypothesis.seed(seed)(machine),
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps_per_example,
            deadline=None,
            database=None,
            print_blob=False,
            phases=[hypothesis.Phase.generate],
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
