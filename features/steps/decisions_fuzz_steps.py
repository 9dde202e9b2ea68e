import types as std_types

from behave import then

from features.support import fuzz_broken, fuzz_parts, fuzz_scheduler, fuzzing

_MACHINES = {
    "scheduler": fuzz_scheduler.SchedulerMachine,
    "budget": fuzz_parts.BudgetMachine,
    "queue": fuzz_parts.QueueMachine,
    "quarantine": fuzz_parts.QuarantineMachine,
}
_BROKEN = std_types.MappingProxyType(
    {
        "scheduler that calls a broken attempt not run": (
            fuzz_broken.UntruthfulMachine,
            "instead of may-have-run",
        ),
        "scheduler that sends work to leaving targets": (
            fuzz_broken.LeavingMachine,
            "is leaving",
        ),
        "scheduler that forgets requests past their deadline": (
            fuzz_broken.DroppingMachine,
            "still waits",
        ),
        "budget that allows every retry": (
            fuzz_parts.UnlimitedBudgetMachine,
            "retries for",
        ),
        "queue that ignores whose turn it is": (
            fuzz_parts.UnfairQueueMachine,
            "ahead of",
        ),
        "quarantine that counts the echo of its own report": (
            fuzz_parts.HastyQuarantineMachine,
            "is quarantined",
        ),
    }
)


@then("fuzzing finds no fault in these parts")
def step_fuzz(context):
    total = 0
    for row in context.table:
        machine = _MACHINES[row["part"]]
        total += fuzzing.run_machine(machine, int(row["examples"]), int(row["steps"]))
    assert total >= 2000, total


@then("fuzzing finds the fault of a {variant}")
def step_fuzz_broken(context, variant):
    machine, text = _BROKEN[variant]
    error = fuzzing.find_failure(machine, 400, 50)
    assert error is not None, "the oracle does not see the fault"
    assert text in str(error), error
