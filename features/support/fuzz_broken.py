"""Broken variants of the scheduler that the fuzzing has to detect."""

from endivevane.online import contract, flights, scheduler
from endivevane.web import errors
from features.support import fuzz_scheduler


class UntruthfulSentRequest(flights.SentRequest):
    """Broken: treats a broken connection as if nothing had been sent."""

    __slots__ = ()

    def record_failure(self, failure):
        super().record_failure(failure)
        self.may_have_run = failure is contract.AttemptFailure.TARGET_ERROR


class UntruthfulScheduler(scheduler.Scheduler):
    """Replaces every sent request with the broken variant."""

    def _send_first(self, state, request, chosen):
        send = super()._send_first(state, request, chosen)
        self._sent_requests[request.request_id].__class__ = UntruthfulSentRequest
        return send


class UntruthfulMachine(fuzz_scheduler.SchedulerMachine):
    def __init__(self):
        super().__init__()
        self.scheduler.__class__ = UntruthfulScheduler


class ForgetfulScheduler(scheduler.Scheduler):
    """Broken: ignores that targets are draining."""

    def set_leaving(self, target_names):
        return None


class LeavingMachine(fuzz_scheduler.SchedulerMachine):
    def __init__(self):
        super().__init__()
        self.scheduler.__class__ = ForgetfulScheduler


class DroppingScheduler(scheduler.Scheduler):
    """Broken: loses queued requests whose deadline passes."""

    def poll(self):
        return [
            item
            for item in super().poll()
            if not isinstance(getattr(item, "error", None), errors.DeadlineExceeded)
        ]


class DroppingMachine(fuzz_scheduler.SchedulerMachine):
    def __init__(self):
        super().__init__()
        self.scheduler.__class__ = DroppingScheduler
