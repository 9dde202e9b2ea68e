import asyncio
import random

from behave import then, when

from soak import callers, environment, faults, run


@when("the soak test runs seed {seed:d} with {fault_s:d} s of faults")
def step_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(run.run_seed(seed, float(fault_s)))


@when(
    "the soak test runs seed {seed:d} with {fault_s:d} s of faults and troubled targets"
)
def step_troubled_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(
        run.run_seed(seed, float(fault_s), trouble=run.Trouble.TROUBLED_TARGETS)
    )


@when(
    "the soak test runs seed {seed:d} with {fault_s:d} s of silences of sound targets"
)
def step_silent_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(
        run.run_seed(seed, float(fault_s), trouble=run.Trouble.SOUND_SILENCES)
    )


@when("the soak test runs seed {seed:d} with {fault_s:d} s of faults and releases")
def step_release_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(
        run.run_seed(seed, float(fault_s), trouble=run.Trouble.RELEASES)
    )


@when(
    "the soak test runs seed {seed:d} with {fault_s:d} s of faults "
    "and configuration changes"
)
def step_changes_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(
        run.run_seed(seed, float(fault_s), trouble=run.Trouble.CHANGES)
    )


@then("clients have resumed streams")
def step_resumed(context):
    assert context.report.resumed, context.report


@then(
    "no guarantee is violated and at least {streams:d} streams "
    "and {jobs:d} job were served"
)
def step_soak_held(context, streams, jobs):
    report = context.report
    assert not report.violations, (context.faults, report.violations)
    assert report.served >= streams, report
    assert report.jobs >= jobs, report


@when("a stop and a kill of the same daemon overlap in the soak test")
def step_overlapping_stops(context):
    started = []

    async def play():
        env = environment.Environment()
        await env.start()
        (daemon, *others) = env.daemons
        env.daemons = [daemon]
        start = daemon.start

        def start_recorded():
            start()
            started.append(daemon.process)

        daemon.start = start_recorded
        generator = random.Random(1)
        try:
            await asyncio.gather(
                faults.FAULTS["daemon stopped"](env, generator, 0.3),
                faults.FAULTS["daemon killed"](env, generator, 0.3),
            )
        finally:
            env.daemons += others
            await env.stop()

    context.started = started
    asyncio.run(play())


@then("no daemon is left after its end")
def step_none_left(context):
    left = [process for process in context.started if process.poll() is None]
    for process in left:
        process.kill()
        process.wait(5)
    assert context.started and not left, left


@when("a daemon of the soak test ends by itself")
def step_ended_daemon(context):
    context.report = callers.Report()

    async def play():
        env = environment.Environment()
        try:
            await env.start()
            process = env.daemons[0].process
            process.kill()
            await asyncio.to_thread(process.wait)
            callers.check_daemons(env, context.report)
        finally:
            await env.stop()

    asyncio.run(play())


@then("one guarantee is violated, which names the daemon")
def step_ended_reported(context):
    (violation,) = context.report.violations
    assert "front-1" in violation, violation
