import collections

from behave import then, when

from endivevane.online import contract
from features.support import bench_steps, scheduling

FAILURE = bench_steps.FAILURE


@when("its connection times out after offset {offset:d}")
def step_silent(context, offset):
    context.attempt = context.decisions[-1].attempt
    context.bench.scheduler.record_first_token(context.attempt)
    context.decision = context.bench.scheduler.retry(
        context.attempt, FAILURE.SILENT, offset
    )


@then("the bench resumes it after offset {offset:d} at the same target")
def step_check_resumed(context, offset):
    assert context.decision == contract.Resume(context.attempt, offset)


@then("the target of the request still gets requests")
def step_check_not_avoided(context):
    name = context.attempt.target.name
    sends = [context.bench.submit().attempt.target.name for _ in range(8)]
    assert name in sends, sends


@when("a {kind} request breaks after offset {offset:d} and can't be resumed")
def step_break(context, kind, offset):
    scheduler = context.bench.scheduler
    decision = context.bench.submit(is_deterministic=kind == "deterministic")
    context.attempt = decision.attempt
    scheduler.record_first_token(context.attempt)
    resumed = scheduler.retry(context.attempt, FAILURE.BROKEN, offset)
    assert isinstance(resumed, contract.Resume), resumed
    context.decision = scheduler.retry(context.attempt, FAILURE.CONNECT_FAILED, offset)


@then('it is refused with status {status:d} and "{state}"')
def step_check_decision(context, status, state):
    bench_steps.check_refusal(context.decision, status, state)
    # The next request must not meet a target that is avoided after the failure.
    context.bench.clock.advance(1.0)


@then("it is sent to the other target")
def step_check_other_target(context):
    assert isinstance(context.decision, contract.Send), context.decision
    assert context.decision.attempt.target != context.attempt.target


@then("a request that fails with these failures ends with the run state")
def step_check_states(context):
    for row in context.table:
        bench = scheduling.Bench(context.bench.snapshot)
        # Enough requests that the retry budget does not deny the retries.
        for _ in range(100):
            sent = bench.submit()
            bench.scheduler.finish(sent.attempt, contract.AttemptOutcome.COMPLETED)
        decision = bench.submit()
        for failure in row["failures"].split():
            attempt = decision.attempt
            decision = bench_steps.fail(bench, attempt, FAILURE(failure))
            if isinstance(decision, contract.Resume):
                decision = bench_steps.fail(bench, attempt, FAILURE.TARGET_ERROR)
        while not isinstance(decision, contract.Refuse):
            decision = bench_steps.fail(bench, decision.attempt, FAILURE.CONNECT_FAILED)
        assert decision.error.run_state.value == row["state"], row


@when("{count:d} requests come over {seconds:d} seconds and every attempt fails")
def step_all_fail(context, count, seconds):
    bench = context.bench
    context.requests, context.sends = count, 0
    for _ in range(count):
        bench.clock.advance(seconds / count)
        decision = bench.submit()
        while isinstance(decision, contract.Send):
            context.sends += 1
            decision = bench_steps.fail(bench, decision.attempt, FAILURE.TARGET_ERROR)


@then("the sends are under {limit:g} times the requests")
def step_check_sends(context, limit):
    ratio = context.sends / context.requests
    print(f"sends per request: {ratio:.3f}")
    assert 1.0 < ratio < limit, ratio


@when(
    "{rate:d} requests a second that take {duration_s:d} seconds come for {seconds:d} "
    "seconds"
)
def step_steady(context, rate, duration_s, seconds):
    bench = context.bench
    context.running = collections.deque()
    for _ in range(rate * seconds):
        bench.clock.advance(1 / rate)
        oldest_s = bench.clock.monotonic_s() - duration_s
        while context.running and context.running[0].started_s <= oldest_s:
            bench.scheduler.finish(
                context.running.popleft(), contract.AttemptOutcome.COMPLETED
            )
        context.running.append(bench.submit().attempt)


@when('{count:d} requests are sent and all those at "{name}" can\'t connect')
def step_no_connection(context, count, name):
    bench = context.bench
    attempts = [bench.submit().attempt for _ in range(count)]
    context.retried = [
        bench.scheduler.retry(item, FAILURE.CONNECT_FAILED, -1)
        for item in attempts
        if item.target.name == name
    ]


@then('each of these, {least:d} or more, is sent to "{name}"')
def step_check_retried(context, least, name):
    assert len(context.retried) >= least, len(context.retried)
    for decision in context.retried:
        assert isinstance(decision, contract.Send), decision.error
        assert decision.attempt.target.name == name, decision


@when("half of the targets are lost at once")
def step_lose_half(context):
    """No token was delivered yet, so each request may be retried."""
    context.lost_targets = {f"t{number}" for number in range(1, 5)}
    victims = [
        item for item in context.running if item.target.name in context.lost_targets
    ]
    assert len(victims) >= 10, len(victims)
    scheduler = context.bench.scheduler
    decisions = []
    for victim in victims:
        assert isinstance(scheduler.retry(victim, FAILURE.BROKEN, -1), contract.Resume)
        decisions.append(scheduler.retry(victim, FAILURE.CONNECT_FAILED, -1))
    context.retried = []
    while decisions:
        waiting = 0
        for first in decisions:
            decision = first
            while isinstance(decision, contract.Send) and (
                decision.attempt.target.name in context.lost_targets
            ):
                attempt = decision.attempt
                decision = scheduler.retry(attempt, FAILURE.CONNECT_FAILED, -1)
            if isinstance(decision, contract.Hold):
                waiting += 1
            else:
                context.retried.append(decision)
        context.bench.clock.advance(0.5)
        decisions = scheduler.poll()
        assert len(decisions) == waiting, "a held request was forgotten"
    assert len(context.retried) == len(victims)


@then("every request that ran there is sent to a target that is alive")
def step_check_all_retried(context):
    lost = [item.error for item in context.retried if isinstance(item, contract.Refuse)]
    assert not lost, f"{len(lost)} of {len(context.retried)}: {lost[0]}"


@when('{count:d} requests in a row fail at "{name}"')
def step_fail_row(context, count, name):
    for _ in range(count):
        decision = context.bench.submit()
        assert decision.attempt.target.name == name
        bench_steps.fail(context.bench, decision.attempt, FAILURE.CONNECT_FAILED)


@then("a request is refused or queued for at least {seconds:g} seconds")
def step_check_avoided(context, seconds):
    bench = context.bench
    assert not isinstance(bench.submit(), contract.Send)
    bench.clock.advance(seconds - 0.01)
    assert not bench.scheduler.poll()


@then('the first request after that is the only one at "{name}"')
def step_check_probe(context, name):
    bench = context.bench
    bench.clock.advance(0.25)
    sends = bench.scheduler.poll()
    assert [item.attempt.target.name for item in sends] == [name], sends
    context.probe = sends[0].attempt
    assert not isinstance(bench.submit(), contract.Send)


@when("the probe fails {count:d} times in a row")
def step_probe_fails(context, count):
    bench = context.bench
    context.pauses = []
    for _ in range(count):
        bench_steps.fail(bench, context.probe, FAILURE.CONNECT_FAILED)
        began_s = bench.clock.monotonic_s()
        decision = None
        while not isinstance(decision, contract.Send):
            bench.clock.advance(0.05)
            polled = [
                item
                for item in bench.scheduler.poll()
                if isinstance(item, contract.Send)
            ]
            decision = polled[0] if polled else bench.submit()
        context.probe = decision.attempt
        context.pauses.append(bench.clock.monotonic_s() - began_s)


@then("the pauses grow up to {limit_s:d} seconds at most")
def step_check_pauses(context, limit_s):
    print(f"pauses: {[round(item, 2) for item in context.pauses]}")
    assert context.pauses[0] < context.pauses[2] < context.pauses[4]
    assert max(context.pauses) <= limit_s
    assert context.pauses[-1] > 10
