"""Applies the scheduler's decisions to the relay's streams."""

from __future__ import annotations

import functools
from collections import abc

from endivevane import logs, metrics, types
from endivevane.coordination import clock
from endivevane.online import (
    contract,
    messages,
    poller,
    relay_settings,
    scheduler,
    stream,
    stream_states,
    upstream,
)
from endivevane.web import errors

# Cancellations are retried, since an engine that answers "unknown attempt" may still
# be reading the request.
_CANCEL_TRIES = 3
_CANCEL_RETRY_S = 0.3

_ATTEMPT_OUTCOMES = {
    stream_states.Outcome.COMPLETED: contract.AttemptOutcome.COMPLETED,
    stream_states.Outcome.CALLER_LEFT: contract.AttemptOutcome.CALLER_LEFT,
    stream_states.Outcome.SLOW_CALLER: contract.AttemptOutcome.CALLER_LEFT,
}
Publish = abc.Callable[
    [contract.UseNotice | contract.YieldRequest | messages.QuarantineChanged], None
]


class Dispatcher:
    """Owns the streams; used by the relay's thread only.

    :param publish: sends updates to other daemons; must not block
    :ivar now_s: monotonic time of the current round of events
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        relay_clock: clock.Clock,
        online_scheduler: scheduler.Scheduler,
        engines: upstream.Upstream,
        publish: Publish,
    ) -> None:
        self.settings = settings
        self.poller = poller.Poller()
        self.timers = poller.Timers()
        self.now_s = relay_clock.monotonic_s()
        self.streams: dict[str, stream.Stream] = {}
        self.poll_at_s = float("inf")
        self.is_draining = False
        self.scheduler = online_scheduler
        self._engines = engines
        self._publish = publish

    def submit(self, message: messages.SubmitRequest) -> None:
        """Accept a request or refuse it immediately."""
        request = message.request
        current = stream.Stream(message, self)
        self.streams[request.request_id] = current
        metrics.STREAMS_OPEN.set(len(self.streams))
        if self.is_draining:
            error: errors.ApiError = errors.Unavailable(
                "the daemon is stopping", retry_after_s=1.0
            )
            self._apply(current, contract.Refuse(request, error))
            return
        if len(self.streams) > self.settings.max_streams:
            error = errors.Overloaded("too many open requests", retry_after_s=1.0)
            self._apply(current, contract.Refuse(request, error))
            return
        self._apply(current, self.scheduler.submit(request))
        if current.phase is stream_states.Phase.QUEUED:
            self.schedule_check(current)
        self.request_poll()

    def handle_opened(self, message: messages.Opened) -> None:
        """Pass a connection to the stream that waits for it."""
        current = self.streams.get(message.attempt.request.request_id)
        if current is not None and current.call_number == message.call_number:
            current.attach_connection(message.sock)
            return
        # The stream no longer waits. An earlier cancellation may have reached the
        # engine before the request did, so the attempt is cancelled again.
        message.sock.close()
        if current is None or current.attempt is not message.attempt:
            self.cancel_attempt(message.attempt)

    def handle_prompt(self, message: messages.PromptReady) -> None:
        """Send an attempt to its target after its handover has ended."""
        attempt = message.attempt
        request = attempt.request
        if message.has_crashed and attempt.prefill is not None:
            self.scheduler.record_death(request.fingerprint, attempt.prefill.name)
        current = self.streams.get(request.request_id)
        if current is None or current.call_number != message.call_number:
            return
        error = self.scheduler.check_quarantine(request)
        if error is not None:
            current.fail(error, stream_states.Outcome.FAILED)
            return
        self._engines.send(message.call_number, attempt, message.body)

    def handle_open_failure(self, message: messages.OpenFailed) -> None:
        """Notify the stream that waits for the connection."""
        current = self.streams.get(message.attempt.request.request_id)
        if current is not None and current.call_number == message.call_number:
            current.fail_call(message.was_sent, message.detail)

    def retry_cancel(self, message: messages.CancelMissed) -> None:
        """Retry the cancellation of an attempt that its engine did not know."""
        if message.tries >= _CANCEL_TRIES:
            return
        again = functools.partial(
            self._engines.cancel,
            message.address,
            message.attempt_id,
            message.tries + 1,
        )
        self.timers.schedule(self.now_s + _CANCEL_RETRY_S, again)

    def request_poll(self) -> None:
        """Poll the scheduler at the end of the round."""
        self.poll_at_s = self.now_s

    def poll_scheduler(self) -> None:
        """Apply the scheduler's decisions and publish its updates."""
        for decision in self.scheduler.poll():
            if isinstance(decision, contract.Send):
                request = decision.attempt.request
            else:
                request = decision.request
            current = self.streams.get(request.request_id)
            if current is not None:
                self._apply(current, decision)
            elif isinstance(decision, contract.Send):
                outcome = contract.AttemptOutcome.CALLER_LEFT
                self.scheduler.finish(decision.attempt, outcome)
        for notice in self.scheduler.take_use_notices():
            self._publish(notice)
        for yield_request in self.scheduler.take_yield_requests():
            self._publish(yield_request)
        for entry in self.scheduler.take_quarantined():
            self._publish(messages.QuarantineChanged(*entry))
        next_s = self.scheduler.next_timer_s()
        self.poll_at_s = float("inf") if next_s is None else next_s

    def fail_stream(self, current: stream.Stream) -> None:
        """End a stream after an unexpected exception."""
        error = errors.ApiError(
            "internal error; see the daemon's log",
            run_state=types.RunState.MAY_HAVE_RUN,
        )
        current.fail(error, stream_states.Outcome.FAILED)

    def find_stream(self, message: object) -> stream.Stream | None:
        """Return the stream that a message belongs to, or ``None``."""
        request = getattr(message, "request", None)
        attempted = messages.Opened | messages.OpenFailed | messages.PromptReady
        if isinstance(message, attempted):
            request = message.attempt.request
        return self.streams.get(getattr(request, "request_id", ""))

    def stop_all(self) -> None:
        """Break off all streams."""
        for current in list(self.streams.values()):
            current.stop()

    def open_attempt(self, current: stream.Stream, body: bytes) -> None:
        """Start the stream's attempt at its target."""
        if current.attempt is not None:
            self._engines.open(current.call_number, current.attempt, body)

    def resume_attempt(self, current: stream.Stream) -> None:
        """Continue the stream's attempt on a new connection."""
        if current.attempt is not None:
            self._engines.resume(current.call_number, current.attempt, current.received)

    def cancel_attempt(self, attempt: contract.Attempt) -> None:
        """Cancel an attempt at its target."""
        self._engines.cancel(attempt.target.address, attempt.attempt_id)

    def find_meter(self, attempt: contract.Attempt) -> abc.Callable[[int], None] | None:
        """Return the byte counter of an attempt, or ``None``."""
        return self.scheduler.find_meter(attempt)

    def record_first_event(self, current: stream.Stream) -> None:
        """Record the first event of an attempt."""
        if current.attempt is not None:
            self.scheduler.record_first_token(current.attempt)
        if current.first_event_s == self.now_s:
            waited_s = self.now_s - current.request.received_s
            metrics.FIRST_TOKEN_SECONDS.observe(waited_s)

    def fail_attempt(
        self,
        current: stream.Stream,
        failure: contract.AttemptFailure,
        detail: str,
    ) -> None:
        """Decide what follows a failed attempt."""
        attempt = current.attempt
        if attempt is None:
            return
        logs.info(
            "attempt_failed",
            request_id=current.request.request_id,
            attempt_id=attempt.attempt_id,
            target=attempt.target.name,
            failure=failure.value,
            received=current.received,
            detail=detail,
        )
        offset = current.delivery.caller_offset
        decision = self.scheduler.retry(attempt, failure, offset)
        is_retried = isinstance(decision, contract.Send | contract.Hold)
        if is_retried and current.may_be_running:
            self.cancel_attempt(attempt)
        self._apply(current, decision)
        self.request_poll()

    def schedule_check(self, current: stream.Stream) -> None:
        """Check the stream again at its next time limit."""
        next_check_s = current.next_check_s()
        if next_check_s < current.timer_at_s:
            current.timer_at_s = next_check_s
            request_id = current.request.request_id
            self.timers.schedule(
                next_check_s, functools.partial(self._check, request_id)
            )

    def end_stream(self, current: stream.Stream) -> None:
        """Remove the stream and report its end."""
        outcome = current.outcome or stream_states.Outcome.STOPPED
        self.streams.pop(current.request.request_id, None)
        if current.attempt is None:
            self.scheduler.abandon(current.request)
        else:
            tokens = current.delivery.last_offset + 1
            self.scheduler.demand.record_tokens(current.request, tokens)
            ended = _ATTEMPT_OUTCOMES.get(outcome, contract.AttemptOutcome.FAILED)
            self.scheduler.finish(current.attempt, ended)
        self.request_poll()
        metrics.ONLINE_REQUESTS.labels(outcome.value).inc()
        metrics.STREAMS_OPEN.set(len(self.streams))
        self._log_end(current, outcome)

    def _check(self, request_id: str) -> None:
        current = self.streams.get(request_id)
        if current is None:
            return
        current.timer_at_s = float("inf")
        current.check_limits()
        if not current.is_ended:
            self.schedule_check(current)

    def _apply(
        self,
        current: stream.Stream,
        decision: contract.SubmitDecision | contract.RetryDecision,
    ) -> None:
        if isinstance(decision, contract.Send):
            if current.delivery.can_rerun:
                current.begin(decision.attempt)
                return
            failed = contract.AttemptOutcome.FAILED
            self.scheduler.finish(decision.attempt, failed)
            error = errors.TargetFailed("the answer can't be continued")
            current.fail(error, stream_states.Outcome.FAILED)
        elif isinstance(decision, contract.Resume):
            current.resume()
        elif isinstance(decision, contract.Hold):
            current.hold()
        elif isinstance(decision, contract.Refuse):
            self._refuse(current, decision.error)

    def _refuse(self, current: stream.Stream, error: errors.ApiError) -> None:
        outcome = (
            stream_states.Outcome.FAILED
            if current.attempts
            else stream_states.Outcome.REFUSED
        )
        if isinstance(error, errors.DeadlineExceeded):
            outcome = stream_states.Outcome.DEADLINE
        current.fail(error, outcome)
        metrics.REFUSALS.labels(error.code, error.run_state.value).inc()

    def _log_end(self, current: stream.Stream, outcome: stream_states.Outcome) -> None:
        request = current.request
        first_ms = None
        if current.first_event_s is not None:
            first_ms = round((current.first_event_s - request.received_s) * 1000, 1)
        logs.info(
            "request_ended",
            request_id=request.request_id,
            organisation=request.organisation,
            model=request.model,
            target=current.attempt.target.name if current.attempt else None,
            attempts=current.attempts,
            outcome=outcome.value,
            detail=current.detail or None,
            first_token_ms=first_ms,
            tokens=current.delivery.last_offset + 1,
            duration_ms=round((self.now_s - request.received_s) * 1000, 1),
        )
