"""State of one relayed request, from submission to the end of the response."""

from __future__ import annotations

import itertools
import socket
import typing
from collections import abc

from endivevane import types
from endivevane.online import (
    caller,
    contract,
    delivery,
    engine_connection,
    messages,
    poller,
    reader,
    relay_settings,
    sse,
    stream_states,
    upstream,
)
from endivevane.web import errors

# The engine reports that the request itself is invalid.
_FINAL_STATUSES = frozenset((400, 413, 415, 422))
# The engine has not loaded the model or adapter; another engine may have it.
_NOT_LOADED_STATUS = 404
_call_numbers = itertools.count(1)


class Host(typing.Protocol):
    """The interface to the relay that a stream uses.

    :ivar now_s: monotonic time of the current round of events
    """

    settings: relay_settings.RelaySettings
    poller: poller.Poller
    now_s: float

    def open_attempt(self, stream: Stream, body: bytes) -> None:
        """Start the stream's attempt at its target."""

    def resume_attempt(self, stream: Stream) -> None:
        """Continue the stream's attempt on a new connection."""

    def cancel_attempt(self, attempt: contract.Attempt) -> None:
        """Cancel an attempt at its target."""

    def find_meter(self, attempt: contract.Attempt) -> abc.Callable[[int], None] | None:
        """Return the byte counter of an attempt, or ``None``."""

    def record_first_event(self, stream: Stream) -> None:
        """Record the first event of an attempt."""

    def fail_attempt(
        self, stream: Stream, failure: contract.AttemptFailure, detail: str
    ) -> None:
        """Decide what follows a failed attempt."""

    def schedule_check(self, stream: Stream) -> None:
        """Check the stream again at its next time limit."""

    def end_stream(self, stream: Stream) -> None:
        """Remove the stream and report its end."""


class Stream:
    """Relays the response of a request from engines to its caller.

    :ivar attempts: number of attempts, the current one included
    :ivar received: last offset received from the current attempt
    :ivar call_number: number of the current call to the engine, 0 for none
    :ivar timer_at_s: earliest timer that is set for the stream
    :ivar detail: reason for the outcome
    """

    def __init__(self, message: messages.SubmitRequest, host: Host) -> None:
        self.request = message.request
        self.attempt: contract.Attempt | None = None
        self.attempts = 0
        self.received = -1
        self.phase = stream_states.Phase.QUEUED
        self.first_event_s: float | None = None
        self.call_number = 0
        self.timer_at_s = float("inf")
        self.outcome: stream_states.Outcome | None = None
        self.detail = ""
        self._host = host
        self._engine: engine_connection.EngineConnection | None = None
        self._is_resuming = False
        self._call_bytes = 0
        # Whether the current attempt, and whether an earlier one, may have run.
        self._may_run = False
        self._may_have_run = False
        self._progress_s = host.now_s
        self._flush_until_s = float("inf")
        self._caller = caller.CallerConnection(
            message.caller, host.poller, self._on_caller_left, self._on_caller_writable
        )
        self.delivery = delivery.Delivery(message.request, self._caller)

    @property
    def is_ended(self) -> bool:
        """Whether the stream has ended and the caller's connection is closed."""
        return self.phase is stream_states.Phase.ENDED

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run the request, completely or in part."""
        return self._may_run or self._may_have_run

    @property
    def may_be_running(self) -> bool:
        """Whether the current attempt may be running at its engine."""
        return self.phase is stream_states.Phase.RUNNING and self._may_run

    @property
    def _is_paused(self) -> bool:
        return self._engine is not None and self._engine.is_paused

    def begin(self, attempt: contract.Attempt) -> None:
        """Start a new attempt."""
        self.attempt = attempt
        self.attempts += 1
        self.received = -1
        self._may_have_run = self.may_have_run
        self._may_run = True
        self.delivery.begin_run()
        self._start_call(is_resuming=False)
        body = upstream.encode_body(self.request)
        self._call_bytes = upstream.HEAD_BYTES + len(body)
        self._host.open_attempt(self, body)

    def resume(self) -> None:
        """Continue the current attempt on a new connection."""
        self._start_call(is_resuming=True)
        self._call_bytes = upstream.HEAD_BYTES
        self._host.resume_attempt(self)

    def hold(self) -> None:
        """Wait for the next attempt after a failed one."""
        self._may_have_run = self.may_have_run
        self._may_run = False
        self.phase = stream_states.Phase.QUEUED
        self._host.schedule_check(self)

    def attach_connection(self, sock: socket.socket) -> None:
        """Read the engine's response from a connection."""
        if self.attempt is None:
            sock.close()
            return
        meter = self._host.find_meter(self.attempt)
        if meter is not None:
            meter(self._call_bytes)
        self._engine = engine_connection.EngineConnection(
            sock, self.attempt.target.name, self._host.poller, self, meter
        )

    def fail_call(self, was_sent: bool, detail: str) -> None:
        """Handle a call to the engine that could not be sent.

        :param was_sent: whether a part of the call may have reached the engine
        """
        if was_sent:
            self._fail_attempt(contract.AttemptFailure.BROKEN, detail)
            return
        if not self._is_resuming:
            self._may_run = False
        self._fail_attempt(contract.AttemptFailure.CONNECT_FAILED, detail)

    def next_check_s(self) -> float:
        """Return the monotonic time at which the stream's next limit expires."""
        online = self.request.service.model.online
        slow_s = self._caller.progress_s + self._host.settings.slow_caller_timeout_s
        deadline_s = self.request.deadline_s
        if self.phase is stream_states.Phase.FLUSHING:
            return min(slow_s, self._flush_until_s)
        if self.phase is stream_states.Phase.QUEUED:
            return deadline_s
        if self._is_paused:
            return min(deadline_s, slow_s)
        wait_s = online.inactivity_timeout_s
        if self.received < 0:
            wait_s = online.first_token_timeout_s
        return min(deadline_s, self._progress_s + wait_s)

    def check_limits(self) -> None:
        """End the stream or fail its attempt if a time limit has expired."""
        now_s = self._host.now_s
        if self.phase is stream_states.Phase.ENDED or now_s < self.next_check_s():
            return
        if self.phase is stream_states.Phase.FLUSHING:
            self._finish()
            return
        if now_s >= self.request.deadline_s:
            error = errors.DeadlineExceeded(
                "the deadline of the request has passed", retry_after_s=1.0
            )
            self.fail(error, stream_states.Outcome.DEADLINE)
            return
        if self._is_paused:
            self._caller.close()
            self._abandon_attempt()
            self._end(
                stream_states.Outcome.SLOW_CALLER, "the caller did not read in time"
            )
            return
        failure = contract.AttemptFailure.SILENT
        if self.received < 0:
            failure = contract.AttemptFailure.FIRST_TOKEN_TIMEOUT
        self._fail_attempt(failure, "no event before the timeout")

    def fail(self, error: errors.ApiError, outcome: stream_states.Outcome) -> None:
        """Send an error to the caller and cancel the attempt."""
        if self.may_have_run and error.run_state is types.RunState.NOT_RUN:
            error.run_state = types.RunState.MAY_HAVE_RUN
        self._abandon_attempt()
        self.delivery.write_error(error, self._host.now_s)
        self._end(outcome, error.code)

    def stop(self) -> None:
        """Break off the response because the daemon is stopping."""
        if self.phase is not stream_states.Phase.FLUSHING:
            error = errors.Unavailable("the daemon is stopping", retry_after_s=1.0)
            self.fail(error, stream_states.Outcome.STOPPED)
        self._finish()

    def _start_call(self, is_resuming: bool) -> None:
        self._is_resuming = is_resuming
        self.call_number = next(_call_numbers)
        self.phase = stream_states.Phase.RUNNING
        self._progress_s = self._host.now_s
        self._host.schedule_check(self)

    def take_break(self, failure: contract.AttemptFailure, detail: str) -> None:
        """Handle the end of a connection to the engine."""
        self._fail_attempt(failure, detail)

    def take_refusal(self, reply: reader.Reply, body: bytes) -> None:
        """Handle a response of the engine that is not a stream."""
        detail = f"status {reply.status}"
        if self._is_resuming:
            failure = contract.AttemptFailure.TARGET_ERROR
            self._fail_attempt(failure, f"resume answered with {detail}")
            return
        is_not_run = reply.reports_not_run or reply.status == _NOT_LOADED_STATUS
        if is_not_run:
            self._may_run = False
        is_unwritten = self.delivery.caller_offset < 0
        if reply.status in _FINAL_STATUSES and is_unwritten:
            self._may_run = reply.reports_run
            state = types.RunState.NOT_RUN
            if self.may_have_run:
                state = types.RunState.MAY_HAVE_RUN
            self._close_engine()
            headers = {"X-Run-State": state.value}
            error = reader.describe_refusal(reply, body)
            self.delivery.write_whole(reply.status, error, headers, self._host.now_s)
            self._end(stream_states.Outcome.REJECTED, detail)
            return
        failure = contract.AttemptFailure.TARGET_ERROR
        if is_not_run:
            failure = contract.AttemptFailure.REFUSED_NOT_RUN
        self._fail_attempt(failure, detail)

    def take_events(self, events: list[sse.Event], now_s: float) -> None:
        """Forward events in the order of their offsets."""
        for offset, payload in events:
            if payload == sse.DONE:
                self._complete(now_s)
                return
            number = self.received + 1 if offset is None else offset
            if number <= self.received:
                continue
            if number != self.received + 1 or sse.is_error(payload):
                self.delivery.forward(now_s)
                self._fail_at_event(number, payload)
                return
            if self.received < 0:
                self._record_first_event(now_s)
            self.received = number
            if not self.delivery.take(number, payload):
                self._fail_diverged_run()
                return
        self._progress_s = now_s
        self.delivery.forward(now_s)
        if self._caller.pending_bytes or self.delivery.collected_bytes:
            self._limit_buffers()

    def _fail_at_event(self, number: int, payload: bytes) -> None:
        if number != self.received + 1:
            detail = f"offset {number} after {self.received}"
            self._fail_attempt(contract.AttemptFailure.BROKEN, detail)
            return
        detail = payload[:200].decode(errors="replace")
        self._fail_attempt(contract.AttemptFailure.TARGET_ERROR, detail)

    def _record_first_event(self, now_s: float) -> None:
        if self.first_event_s is None:
            self.first_event_s = now_s
        self._host.record_first_event(self)
        self._progress_s = now_s
        self.received = 0
        self._host.schedule_check(self)

    def _complete(self, now_s: float) -> None:
        """End the response after the engine has sent ``[DONE]``."""
        if self.received < self.delivery.caller_offset:
            self._fail_diverged_run()
            return
        self._close_engine()
        try:
            self.delivery.complete(now_s)
        except ValueError as error:
            failure = contract.AttemptFailure.TARGET_ERROR
            self._fail_attempt(failure, str(error))
            return
        self._end(stream_states.Outcome.COMPLETED, "")

    def _fail_diverged_run(self) -> None:
        error = errors.TargetFailed(
            "the answer was interrupted and a rerun gave a different answer",
            run_state=types.RunState.MAY_HAVE_RUN,
        )
        self.fail(error, stream_states.Outcome.FAILED)

    def _limit_buffers(self) -> None:
        limit_bytes = self._host.settings.max_collected_bytes
        if self.delivery.collected_bytes > limit_bytes:
            error = errors.TargetFailed(
                f"the answer is larger than {limit_bytes} bytes; ask for a stream",
                run_state=types.RunState.MAY_HAVE_RUN,
            )
            self.fail(error, stream_states.Outcome.FAILED)
            return
        is_full = self._caller.pending_bytes > self._host.settings.high_watermark_bytes
        if is_full and self._engine is not None:
            self._engine.pause()
            self._host.schedule_check(self)

    def _on_caller_left(self, detail: str) -> None:
        if self.outcome is None:
            self._abandon_attempt()
            self._end(stream_states.Outcome.CALLER_LEFT, detail)
            return
        self._finish()

    def _on_caller_writable(self) -> None:
        if self.phase is stream_states.Phase.FLUSHING:
            if not self._caller.pending_bytes:
                self._finish()
            return
        is_low = self._caller.pending_bytes <= self._host.settings.low_watermark_bytes
        if self._is_paused and is_low and self._engine is not None:
            self._progress_s = self._host.now_s
            self._engine.unpause()

    def _fail_attempt(self, failure: contract.AttemptFailure, detail: str) -> None:
        self._close_engine()
        self._host.fail_attempt(self, failure, detail)

    def _abandon_attempt(self) -> None:
        """Cancel the attempt at the engine."""
        self._close_engine()
        if self.may_be_running and self.attempt is not None:
            self._host.cancel_attempt(self.attempt)

    def _close_engine(self) -> None:
        """Close the connection to the engine; ignore one that is being opened."""
        self.call_number = 0
        if self._engine is not None:
            self._engine.close()
            self._engine = None

    def _end(self, outcome: stream_states.Outcome, detail: str) -> None:
        """Record the outcome and flush what the caller has not read yet."""
        if self.outcome is None:
            self.outcome, self.detail = outcome, detail
        if self._caller.is_open and self._caller.pending_bytes:
            self.phase = stream_states.Phase.FLUSHING
            slow_s = self._host.settings.slow_caller_timeout_s
            self._flush_until_s = max(
                self.request.deadline_s, self._host.now_s + slow_s
            )
            self._host.schedule_check(self)
            return
        self._finish()

    def _finish(self) -> None:
        if self.phase is stream_states.Phase.ENDED:
            return
        self.phase = stream_states.Phase.ENDED
        self._caller.close()
        self._host.end_stream(self)
