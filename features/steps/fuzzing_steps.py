from behave import then, when

from features.support import (
    fuzz_feed,
    fuzz_lease,
    fuzz_membership,
    fuzz_pages,
    fuzz_shares,
    fuzzing,
)

_MACHINES = {
    "two holders": fuzz_lease.LeaseMachine,
    "one holder": fuzz_lease.SingleHolderMachine,
    "late holder": fuzz_lease.LateMachine,
    "reviving holder": fuzz_lease.RevivingMachine,
    "feed": fuzz_feed.FeedMachine,
    "obedient feed": fuzz_feed.ObedientMachine,
    "hasty feed": fuzz_feed.HastyMachine,
    "membership": fuzz_membership.MembershipMachine,
    "forgetful membership": fuzz_membership.ForgetfulMachine,
    "shares": fuzz_shares.SharesMachine,
    "late shares": fuzz_shares.LateSharesMachine,
    "pages": fuzz_pages.PagesMachine,
    "last version": fuzz_pages.LastVersionMachine,
    "hasty deletion": fuzz_pages.HastyDeletionMachine,
    "hasty shares": fuzz_shares.HastySharesMachine,
}


@when('"{name}" is fuzzed with {examples:d} examples of {steps:d} steps')
def step_fuzz(context, name, examples, steps):
    context.steps_run = fuzzing.run_machine(_MACHINES[name], examples, steps)


@then("the fuzzing ran at least {count:d} steps")
def step_check_steps(context, count):
    assert context.steps_run >= count, context.steps_run


@then('the fuzzing rejects the broken "{name}" within {examples:d} examples')
def step_check_broken(context, name, examples):
    assert fuzzing.find_failure(_MACHINES[name], examples, 40) is not None
