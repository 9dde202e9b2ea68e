"""Helpers of the steps that work with a scheduling bench."""

from endivevane.online import contract
from features.support import scheduling

FAILURE = contract.AttemptFailure


def make_bench(context, targets, online=None):
    current = scheduling.make_snapshot(targets, online)
    context.bench = scheduling.Bench(current)
    context.decisions = []
    context.polled = []


def make_targets(count, slots):
    return [
        scheduling.make_target(f"t{index + 1}", slots=slots) for index in range(count)
    ]


def list_sends(context):
    return [item for item in context.decisions if isinstance(item, contract.Send)]


def list_refusals(decisions):
    return [item for item in decisions if isinstance(item, contract.Refuse)]


def check_refusal(refusal, status, state, has_retry_after=True):
    assert refusal.error.status == status, refusal.error
    assert refusal.error.run_state.value == state, refusal.error.run_state
    if has_retry_after:
        assert int(refusal.error.make_headers()["Retry-After"]) >= 1


def kill_target_of(bench, attempt):
    resumed = bench.scheduler.retry(attempt, FAILURE.BROKEN, -1)
    assert isinstance(resumed, contract.Resume)
    return fail(bench, attempt, FAILURE.CONNECT_FAILED)


def fail(bench, attempt, failure):
    """Return what follows a failure; a wait for news of other daemons is sat out."""
    decision = bench.scheduler.retry(attempt, failure, -1)
    if not isinstance(decision, contract.Hold):
        return decision
    bench.clock.advance(0.5)
    for action in bench.scheduler.poll():
        request = getattr(action, "request", None) or action.attempt.request
        if request is decision.request:
            return action
    raise AssertionError("a held request was forgotten")
