"""Continuous batching: requests that decode in common steps, and a FIFO queue."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import os
import sys
import time
import typing
from collections import abc

from standins import completions, faults, prefix_cache

_CRASH_STATUS = 70


class RunState(enum.StrEnum):
    """State of a run."""

    WAITING = "waiting"
    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclasses.dataclass(eq=False, slots=True)
class Run:
    """One request inside the engine.

    :param on_step: called after each new token and at the end
    """

    attempt_id: str
    request_key: str | None
    model: str
    is_batch: bool
    digest: str
    prompt: bytes
    hashes: list[int]
    max_tokens: int
    state: RunState = RunState.WAITING
    tokens: int = 0
    cached_blocks: int = 0
    group: int = 0
    decode_from_s: float = 0.0
    accepted_at_s: float = 0.0
    started_at_s: float | None = None
    ended_at_s: float | None = None
    on_step: abc.Callable[[], None] | None = None
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Whether the run has finished or was cancelled."""
        return self.state in (RunState.FINISHED, RunState.CANCELLED)

    def describe(self) -> dict[str, typing.Any]:
        """Return the run as an entry of the record."""
        return {
            "attempt_id": self.attempt_id,
            "request_key": self.request_key,
            "prompt_sha256": self.digest,
            "state": self.state.value,
            "tokens": self.tokens,
            "model": self.model,
            "batch": self.is_batch,
            "cached_blocks": self.cached_blocks,
            "accepted_at_s": self.accepted_at_s,
            "started_at_s": self.started_at_s,
            "ended_at_s": self.ended_at_s,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Capacity and timing of the engine.

    :param slots: requests that can run concurrently
    :param token_ms: duration of a decoding step
    :param prefill_ms: fixed part of the prefill time
    :param prefill_token_ms: additional time per uncached prompt token
    :param step_groups: groups of running requests, which step at different times
    """

    slots: int
    token_ms: float
    prefill_ms: float
    prefill_token_ms: float
    step_groups: int


class Batcher:
    """Schedules requests in order of arrival and runs their decoding steps.

    :param current_faults: ``crash_on`` and ``token_ms`` apply here
    """

    def __init__(
        self,
        timing: Timing,
        cache: prefix_cache.PrefixCache,
        current_faults: faults.Faults,
    ) -> None:
        self._timing = timing
        self._cache = cache
        self._faults = current_faults
        self._waiting: collections.deque[Run] = collections.deque()
        self._groups: list[dict[Run, None]] = [{} for _ in range(timing.step_groups)]
        self._callbacks: list[abc.Callable[[], None]] = []

    @property
    def running(self) -> int:
        """Number of running requests."""
        return sum(len(group) for group in self._groups)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    def on_change(self, callback: abc.Callable[[], None]) -> None:
        """Register a function to call after each change of the load."""
        self._callbacks.append(callback)

    def submit(self, run: Run) -> None:
        """Queue a request."""
        run.accepted_at_s = time.time()
        self._waiting.append(run)
        self._fill_slots()

    def cancel(self, run: Run) -> None:
        """Stop a request and free its slot at once."""
        if run.is_over:
            return
        if run.state is RunState.WAITING:
            self._waiting.remove(run)
        self._end(run, RunState.CANCELLED)
        self._fill_slots()

    async def step_forever(self) -> None:
        """Step all groups in turn, each once per token time."""
        loop = asyncio.get_running_loop()
        number = 0
        due_s = loop.time()
        while True:
            token_ms = self._faults.token_ms or self._timing.token_ms
            interval_s = token_ms / 1000 / len(self._groups)
            due_s += interval_s
            # Catches up after a late step, but not on the steps missed in a pause.
            if due_s < loop.time() - interval_s:
                due_s = loop.time()
            await asyncio.sleep(due_s - loop.time())
            self._step(self._groups[number % len(self._groups)])
            number += 1

    def _step(self, group: dict[Run, None]) -> None:
        now_s = time.monotonic()
        has_ended = False
        for run in list(group):
            if run.decode_from_s > now_s or run.is_over:
                continue
            run.tokens += 1
            if run.tokens >= run.max_tokens:
                self._end(run, RunState.FINISHED)
                has_ended = True
            elif run.on_step is not None:
                run.on_step()
        if has_ended:
            self._fill_slots()

    def _fill_slots(self) -> None:
        while self._waiting and self.running < self._timing.slots:
            self._start(self._waiting.popleft())
        for callback in self._callbacks:
            callback()

    def _start(self, run: Run) -> None:
        if self._faults.crash_on and self._faults.crash_on.encode() in run.prompt:
            # The record in memory is lost with the process; this line stays in the log.
            sys.stderr.write("crashed\n")
            sys.stderr.flush()
            os._exit(_CRASH_STATUS)
        run.cached_blocks = self._cache.count_cached(run.hashes)
        cached_bytes = run.cached_blocks * completions.PREFIX_BLOCK_BYTES
        tokens = completions.count_prompt_tokens(run.prompt[cached_bytes:])
        prefill_ms = self._timing.prefill_ms + tokens * self._timing.prefill_token_ms
        self._cache.store(run.hashes)
        run.state = RunState.STARTED
        run.started_at_s = time.time()
        run.decode_from_s = time.monotonic() + prefill_ms / 1000
        run.group = min(
            range(len(self._groups)), key=lambda index: len(self._groups[index])
        )
        self._groups[run.group][run] = None

    def _end(self, run: Run, state: RunState) -> None:
        run.state = state
        run.ended_at_s = time.time()
        self._groups[run.group].pop(run, None)
        if run.on_step is not None:
            run.on_step()
        run.ended.set()
