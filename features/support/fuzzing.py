"""Runs state machines of hypothesis the same way each time."""

import hypothesis
from hypothesis import stateful

_SEED = 20261204


def run_machine(machine, examples, steps, shrinks=True):
    """Run a state machine with a fixed seed and return how many rules ran.

    :param machine: class with a counter ``steps_run``
    :param shrinks: whether a failure is reduced to a small one first
    """
    phases = [hypothesis.Phase.generate]
    if shrinks:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=False,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine.steps_run = 0
    print(f"{machine.__name__}: seed {_SEED}, {examples} examples of {steps} steps")
    stateful.run_state_machine_as_test(
        hypothesis.seed(_SEED)(machine), settings=settings
    )
    print(f"{machine.__name__}: {machine.steps_run} steps ran")
    return machine.steps_run


def find_failure(machine, examples, steps):
    """Return the assertion by which the fuzzing rejects a broken variant, or None."""
    try:
        run_machine(machine, examples, steps, shrinks=False)
    except AssertionError as error:
        print(f"{machine.__name__}: found: {error}")
        return error
    return None
