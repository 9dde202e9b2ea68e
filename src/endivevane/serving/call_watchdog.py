"""Supervision of calls to targets that may be sent again."""

from __future__ import annotations

import asyncio
import time
from collections import abc

from endivevane.serving import http_client, target_registry

# Interval of the checks for an unresponsive target or a stalled stream.
_WATCH_INTERVAL_S = 0.1
# A stream has stalled if its target has sent anything within this share of the stall
# timeout; otherwise the whole target is silent.
_STALL_SILENCE_SHARE = 0.5
# A sound target may be silent for about a second; its requests stay there meanwhile.
_TAKEOVER_SILENCE_S = 1.0
_UNRESPONSIVE = "silent"
STALLED = "stalled"


class Watchdog:
    """Notices that a call's target is unresponsive or that its stream stalls.

    :param on_silence: called at each check once this has been so for long; ``None`` to
        abort the call at once instead
    :ivar cause: why the call was aborted, empty if it was not
    :ivar is_silent: whether this was so at the last check
    :ivar is_stalled: whether the stream stalled then although its target sent bytes
    """

    def __init__(
        self,
        known: target_registry.KnownTarget,
        connection: http_client.Connection,
        stall_s: float,
        on_silence: abc.Callable[[], None] | None,
    ) -> None:
        self.cause = ""
        self.is_silent = False
        self.is_stalled = False
        self._known = known
        self._connection = connection
        self._stall_s = stall_s
        self._on_silence = on_silence
        self._last_progress_s = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._is_postponed = False

    def start(self) -> None:
        """Schedule the next check."""
        loop = asyncio.get_running_loop()
        self._due_s = time.monotonic() + _WATCH_INTERVAL_S
        self._timer = loop.call_later(_WATCH_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Cancel the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def abort(self, cause: str) -> None:
        """Abort the call for a reason that is not the target's."""
        if not self.cause:
            self.cause = cause
            self._connection.stream.fail(TimeoutError(cause))

    def record_progress(self) -> None:
        """Record that an event is complete, which restarts the stall timeout."""
        self._last_progress_s = time.monotonic()
        self.is_silent = False
        self.is_stalled = False

    def _postpone_if_late(self, now_s: float) -> bool:
        """Put a check off once if it is late; return whether it is put off.

        The daemon has stood still then, and what the target has sent may be unread.
        """
        is_late = now_s - self._due_s > _WATCH_INTERVAL_S
        self._is_postponed = is_late and not self._is_postponed
        return self._is_postponed

    def _check(self) -> None:
        now_s = time.monotonic()
        if self._postpone_if_late(now_s):
            self.start()
            return
        health = self._known.health
        silence_s = health.measure_silence_s(now_s)
        is_late = now_s - self._last_progress_s > self._stall_s
        self.is_silent = is_late or health.is_unresponsive(now_s)
        self.is_stalled = is_late and silence_s < _STALL_SILENCE_SHARE * self._stall_s
        if self.is_silent and self._on_silence is None:
            self._end_call(now_s)
            return
        self.start()
        is_long = is_late or silence_s > _TAKEOVER_SILENCE_S
        if self.is_silent and is_long and self._on_silence is not None:
            self._on_silence()

    def _end_call(self, now_s: float) -> None:
        """Abort the call, and give the target no new work for a while."""
        self.cause = STALLED if self.is_stalled else _UNRESPONSIVE
        self.record_end(now_s)
        self._connection.stream.fail(TimeoutError(self.cause))

    def record_end(self, now_s: float) -> None:
        """Record the end of the call at its target, if that is silent."""
        if self.is_stalled:
            self._known.health.record_failure(now_s)
        elif self.is_silent:
            self._known.health.record_silence(now_s)


class CallControl:
    """Aborts a call from outside, and learns when it is sent and of silence.

    :param on_sent: called when the call is about to be sent
    :param on_silence: called repeatedly once the target has been silent, or the stream
        has stalled, for long
    :ivar is_stalled: whether the call has ended while its stream was stalled, although
        its target sent bytes
    """

    def __init__(
        self, on_sent: abc.Callable[[], None], on_silence: abc.Callable[[], None]
    ) -> None:
        self.on_silence = on_silence
        self.is_stalled = False
        self._on_sent = on_sent
        self._watchdog: Watchdog | None = None

    def begin(self, watchdog: Watchdog) -> None:
        """Control a call that is about to be sent."""
        self._watchdog = watchdog
        self._on_sent()

    def end(self) -> None:
        """Stop controlling the call."""
        if self._watchdog is not None:
            self.is_stalled = self._watchdog.is_stalled
        self._watchdog = None

    def abort(self, cause: str) -> None:
        """Abort the call."""
        if self._watchdog is not None:
            self._watchdog.abort(cause)
