import time

from behave import given, then, when

from endivevane import utils
from endivevane.batch import jobs, results
from features.support import batch_machine, batch_storm

_EXAMPLES = 200
_STEPS_PER_EXAMPLE = 60
# The job takes some seconds; back-off after failed calls and expired leases add to it.
_RUN_TIMEOUT_S = 90


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
    assert context.failure is not None, "the fuzzing did not detect the missing fence"
    print(f"found: {context.failure.splitlines()[0]}")


@when(
    "{runners:d} runners work on {count:d} items while {share:f} of the store's calls "
    "fail, with seed {seed:d}"
)
def step_run_with_faults(context, runners, count, share, seed):
    print(f"seed {seed}")
    context.count = count
    context.fault_run = batch_storm.FaultInjectionRun(seed, runners, count, share)
    context.cleanups.append(context.fault_run.close)
    events = context.fault_run.run(_RUN_TIMEOUT_S)
    assert events is not None, context.fault_run.store.rows("chunks")
    print(
        f"{events} lost leases and crashes, {context.fault_run.attempt_count} attempts"
    )


@then("the job has ended and every chunk was committed once")
def step_check_run(context):
    counts = context.fault_run.count_commits()
    assert len(counts) == -(-context.count // 512), counts
    assert set(counts.values()) == {1}, counts


@then("every item has one result")
def step_check_run_results(context):
    fault_run = context.fault_run
    fault_run.fault_share = 0.0
    reader = results.ResultReader(fault_run.store, fault_run.objects)
    data = b"".join(reader.read(fault_run.job_id, is_errors=False))
    found = [utils.decode_json(line)["custom_id"] for line in data.splitlines()]
    assert found == [f"c{index}" for index in range(context.count)]


@given(
    "{runners:d} runners without faults whose sends take {send_duration_s:g} seconds"
)
def step_slow_sends(context, runners, send_duration_s):
    context.fault_run = batch_storm.FaultInjectionRun(1, runners, 600, 0.0)
    context.fault_run.send_duration_s = send_duration_s
    context.cleanups.append(context.fault_run.close)


@when("their job of 600 items is cancelled while items are being sent")
def step_cancel_run(context):
    fault_run = context.fault_run
    end_s = time.monotonic() + 10.0
    while not fault_run.send_times_s:
        assert time.monotonic() < end_s, "no item was sent within 10 s"
        time.sleep(0.01)
    service = jobs.JobService(fault_run.store, fault_run.clock)
    service.cancel("org", fault_run.job_id)
    name = sorted(fault_run.tasks)[0]
    fault_run.tasks[name].notify_cancelled(fault_run.job_id, set(fault_run.tasks))
    context.acknowledged_s = time.monotonic()


@then("no send ended after the acknowledgement")
def step_check_sends(context):
    # Twice the duration of a send, so that every send in progress has ended.
    time.sleep(2 * context.fault_run.send_duration_s)
    late = [
        at_s - context.acknowledged_s
        for at_s in context.fault_run.send_times_s
        if at_s > context.acknowledged_s
    ]
    assert not late, late
