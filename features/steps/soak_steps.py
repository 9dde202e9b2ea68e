import asyncio

from behave import then, when

from soak import run


@when("the soak plays seed {seed:d} with {fault_s:d} s of faults")
def step_soak(context, seed, fault_s):
    context.report, context.faults, _ = asyncio.run(run.play(seed, float(fault_s)))


@then("no promise broke and at least {streams:d} streams and {jobs:d} job were served")
def step_soak_held(context, streams, jobs):
    report = context.report
    assert not report.broken, (context.faults, report.broken)
    assert report.served >= streams, report
    assert report.jobs >= jobs, report
