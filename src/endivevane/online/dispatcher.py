"""Carries out the scheduler's decisions on the relay's streams."""

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

# An engine that does not know an attempt may still be reading its request.
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
    """Owns the streams; the relay's thread alone uses it.

    :param publish: gets what other daemons must know; must return at once
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
        """Take on a request, or refuse it at once."""
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
            self.watch_limit(current)
        self.request_poll()

    def take_opened(self, message: messages.Opened) -> None:
        """Give a connection to the stream that waits for it."""
        current = self.streams.get(message.attempt.request.request_id)
        if current is not None and current.ticket == message.ticket:
            current.take_connection(message.sock)
            return
        # Given up meanwhile; a cancellation may have overtaken the request.
        message.sock.close()
        if current is None or current.attempt is not message.attempt:
            self.cancel_attempt(message.attempt)

    def take_prompt(self, message: messages.PromptReady) -> None:
        """Send an attempt whose prompt another engine has computed, or has not."""
        attempt = message.attempt
        request = attempt.request
        if message.has_died and attempt.prefill is not None:
            self.scheduler.record_death(request.fingerprint, attempt.prefill.name)
        current = self.streams.get(request.request_id)
        if current is None or current.ticket != message.ticket:
            return
        error = self.scheduler.check_quarantine(request)
        if error is not None:
            current.fail(error, stream_states.Outcome.FAILED)
            return
        self._engines.send(message.ticket, attempt, message.body)

    def take_open_failure(self, message: messages.OpenFailed) -> None:
        """Tell the stream that waits for a connection."""
        current = self.streams.get(message.attempt.request.request_id)
        if current is not None and current.ticket == message.ticket:
            current.fail_call(message.was_sent, message.detail)

    def retry_cancel(self, message: messages.CancelMissed) -> None:
        """Cancel an attempt again that its engine did not know."""
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
        """Ask the scheduler for decisions at the end of the round."""
        self.poll_at_s = self.now_s

    def poll_scheduler(self) -> None:
        """Send or refuse queued requests and pass on what others must know."""
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

    def break_stream(self, current: stream.Stream) -> None:
        """End a stream after an unexpected exception."""
        error = errors.ApiError(
            "internal error; see the daemon's log",
            run_state=types.RunState.MAY_HAVE_RUN,
        )
        current.fail(error, stream_states.Outcome.FAILED)

    def find_stream(self, message: object) -> stream.Stream | None:
        """Return the stream that a message belongs to, if there is one."""
        request = getattr(message, "request", None)
        attempted = messages.Opened | messages.OpenFailed | messages.PromptReady
        if isinstance(message, attempted):
            request = message.attempt.request
        return self.streams.get(getattr(request, "request_id", ""))

    def stop_all(self) -> None:
        """Break all streams."""
        for current in list(self.streams.values()):
            current.stop()

    def open_attempt(self, current: stream.Stream, body: bytes) -> None:
        """Start the stream's attempt at its target."""
        if current.attempt is not None:
            self._engines.open(current.ticket, current.attempt, body)

    def resume_attempt(self, current: stream.Stream) -> None:
        """Continue the stream's attempt on a new connection."""
        if current.attempt is not None:
            self._engines.resume(current.ticket, current.attempt, current.received)

    def cancel_attempt(self, attempt: contract.Attempt) -> None:
        """Cancel an attempt at its target."""
        self._engines.cancel(attempt.target.address, attempt.attempt_id)

    def find_meter(self, attempt: contract.Attempt) -> abc.Callable[[int], None] | None:
        """Return what counts an attempt's bytes, ``None`` if nothing has to."""
        return self.scheduler.find_meter(attempt)

    def record_first_event(self, current: stream.Stream) -> None:
        """Note the first event of an attempt."""
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
        is_moving = isinstance(decision, contract.Send | contract.Hold)
        if is_moving and current.may_be_running:
            self.cancel_attempt(attempt)
        self._apply(current, decision)
        self.request_poll()

    def watch_limit(self, current: stream.Stream) -> None:
        """Look at the stream again at its time limit."""
        limit_s = current.limit_s()
        if limit_s < current.timer_at_s:
            current.timer_at_s = limit_s
            request_id = current.request.request_id
            self.timers.schedule(limit_s, functools.partial(self._check, request_id))

    def end_stream(self, current: stream.Stream) -> None:
        """Forget the stream."""
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
            self.watch_limit(current)

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
