from unittest import mock

from behave import then, when

from endivevane import types
from endivevane.online import answers, delivery, dispatcher, stream
from features.support import fuzz_relay, fuzzing

_take = delivery.Delivery.take
_make_whole = answers.make_whole


def _complete_on_break(self, failure, detail):
    self._host.cancel_attempt(self.attempt)
    self._complete(self._host.now_s)


def _repeat(self, offset, payload):
    if offset <= self.last_offset:
        self._ready.append(payload)
        return True
    return _take(self, offset, payload)


def _do_not_compare(self, offset, payload):
    _take(self, offset, payload)
    return True


def _do_not_cancel(self, attempt):
    return None


def _make_not_run(status, request_id, body, headers=None):
    if headers and "X-Run-State" in headers:
        headers = {**headers, "X-Run-State": types.RunState.NOT_RUN.value}
    return _make_whole(status, request_id, body, headers)


def _break(fault):
    if fault == "passes a break off as the end":
        return mock.patch.object(stream.Stream, "take_break", _complete_on_break)
    if fault == "repeats what another run has sent":
        return mock.patch.object(delivery.Delivery, "take", _repeat)
    if fault == "does not compare a second run":
        return mock.patch.object(delivery.Delivery, "take", _do_not_compare)
    if fault == "does not cancel abandoned attempts":
        return mock.patch.object(
            dispatcher.Dispatcher, "cancel_attempt", _do_not_cancel
        )
    assert fault == "says not-run after any failure", fault
    return mock.patch.object(answers, "make_whole", _make_not_run)


@when("the relay is fuzzed with {examples:d} examples of {steps:d} steps")
def step_fuzz(context, examples, steps):
    context.steps_run = fuzzing.run_machine(fuzz_relay.RelayMachine, examples, steps)


@when("a relay that {fault} is fuzzed")
def step_fuzz_broken(context, fault):
    with _break(fault):
        context.failure = fuzzing.find_failure(fuzz_relay.RelayMachine, 400, 40)


@then("the fuzzing of the relay ran at least {steps:d} steps without a fault")
def step_check_steps(context, steps):
    assert context.steps_run >= steps, context.steps_run


@then('the fuzzing of the relay reports "{text}"')
def step_check_found(context, text):
    assert context.failure is not None, "the fault was not found"
    assert text in str(context.failure), context.failure
