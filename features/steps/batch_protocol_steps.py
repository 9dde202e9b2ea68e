from behave import then, when

from endivevane import utils
from endivevane.batch import results
from features.support import batch_machine, batch_storm

_EXAMPLES = 200
_STEPS_PER_EXAMPLE = 60
# The job takes some seconds; pauses of refused calls and lapses add to it.
_STORM_LIMIT_S = 90


def _fuzz(context, machine, seed):
    print(f"seed {seed}")
    context.machine = machine
    context.failure = None
    try:
        batch_machine.run(machine, seed, _EXAMPLES, _STEPS_PER_EXAMPLE)
    except AssertionError as error:
        context.failure = str(error)


@when("the batch protocol is fuzzed with seed {seed:d} for at least {least:d} steps")
def step_fuzz(context, seed, least):
    _fuzz(context, batch_machine.BatchMachine, seed)
    print(f"steps {context.machine.steps}, outcomes {dict(context.machine.outcomes)}")
    assert context.machine.steps >= least, context.machine.steps


@then("no step broke an invariant")
def step_check_invariants(context):
    assert context.failure is None, context.failure


@then("every outcome of claim, commit, cancel and finish was reached")
def step_check_reached(context):
    expected = {
        "create_ok",
        "create_error",
        "claim_ok",
        "claim_error",
        "commit_applied",
        "commit_fenced",
        "commit_error",
        "release_applied",
        "reclaim_ok",
        "cancel_True",
        "cancel_False",
        "finish_none",
    }
    missing = expected - set(context.machine.outcomes)
    assert not missing, missing


@when("the batch protocol without the fence is fuzzed with seed {seed:d}")
def step_fuzz_unfenced(context, seed):
    _fuzz(context, batch_machine.UnfencedMachine, seed)


@then("the fuzzing reports a chunk that was written after it was final")
def step_check_found(context):
    assert context.failure is not None, "the missing fence was not noticed"
    print(f"found: {context.failure.splitlines()[0]}")


@when(
    "{runners:d} runners work on {count:d} items while {share:f} of the store's calls "
    "fail, with seed {seed:d}"
)
def step_storm(context, runners, count, share, seed):
    print(f"seed {seed}")
    context.count = count
    context.storm = batch_storm.Storm(seed, runners, count, share)
    context.cleanups.append(context.storm.close)
    events = context.storm.run(_STORM_LIMIT_S)
    assert events is not None, context.storm.store.rows("chunks")
    print(f"{events} lapses and deaths, {context.storm.attempt_count} attempts")


@then("the job has ended and every chunk was committed once")
def step_check_storm(context):
    counts = context.storm.count_commits()
    assert len(counts) == -(-context.count // 512), counts
    assert set(counts.values()) == {1}, counts


@then("every item has one result")
def step_check_storm_results(context):
    storm = context.storm
    storm.fault_share = 0.0
    reader = results.ResultReader(storm.store, storm.objects)
    data = b"".join(reader.read(storm.job_id, is_errors=False))
    found = [utils.decode_json(line)["custom_id"] for line in data.splitlines()]
    assert found == [f"c{index}" for index in range(context.count)]
