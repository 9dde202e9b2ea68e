"""Background task that deletes data whose retention period is over."""

from __future__ import annotations

import functools
import random
import threading
from collections import abc

from endivevane import logs, metrics
from endivevane.batch import ports, records
from endivevane.configuration import snapshot
from endivevane.coordination import clock, register, store
from endivevane.retention import (
    decisions,
    file_sweeper,
    job_sweeper,
    pacing,
    platform_calls,
    register_sweeper,
    shards,
)

_STOP_TIMEOUT_S = 2.0
# Back-off after a failed call of the store.
_ERROR_BACKOFF_S = 5.0
_MIN_PAUSE_S = 0.5
# Ranking 340 daemons for a shard takes 0.38 ms of CPU time; with this pause, the 20,858
# shards of 630 organisations take 3.1% of a core for four minutes a day.
_SHARD_PAUSE_S = 0.012
# A random delay spreads the first sweeps of daemons that restart together and keeps
# them apart from the first requests.
_MAX_START_DELAY_S = 600.0


class RetentionTask:
    """Thread that sweeps this daemon's shards one after the other.

    :param daemon: name of this daemon
    :param interval_s: time between two sweeps of a shard
    :param list_daemons: returns the names of the daemons alive
    :param is_ready: whether the configuration is known to be current
    """

    def __init__(
        self,
        daemon: str,
        interval_s: float,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        task_clock: clock.Clock,
        get_snapshot: abc.Callable[[], snapshot.Snapshot],
        list_daemons: abc.Callable[[], abc.Collection[str]],
        is_ready: abc.Callable[[], bool],
    ) -> None:
        self._daemon = daemon
        self._interval_s = interval_s
        self._clock = task_clock
        self._get_snapshot = get_snapshot
        self._list_daemons = list_daemons
        self._is_ready = is_ready
        self._stopped = threading.Event()
        pacer = pacing.Pacer(
            task_clock, lambda: len(list_daemons()), self._stopped.wait
        )
        calls = platform_calls.PlatformCalls(table_store, object_store, pacer)
        policy = decisions.Policy(task_clock, get_snapshot)
        self._files = file_sweeper.FileSweeper(calls, policy)
        self._sweeps: dict[str, abc.Callable[[shards.Shard], None]] = {
            records.JOBS: job_sweeper.JobSweeper(calls, policy).sweep,
            records.FILES: self._files.sweep,
            register.TABLE: register_sweeper.RegisterSweeper(calls, policy).sweep,
        }
        self._thread = threading.Thread(target=self._run, name="retention", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; a sweep may be aborted between any two calls."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        delay_s = random.uniform(0, min(self._interval_s, _MAX_START_DELAY_S))
        try:
            self._stopped.wait(delay_s)
            while not self._stopped.wait(_MIN_PAUSE_S):
                started_s = self._clock.monotonic_s()
                self._sweep_all()
                elapsed_s = self._clock.monotonic_s() - started_s
                self._stopped.wait(max(0.0, self._interval_s - elapsed_s))
        except pacing.SweepStopped:
            return

    def _sweep_all(self) -> None:
        """Sweep every shard that is assigned to this daemon when it is reached."""
        organisations = list(self._get_snapshot().organisations)
        for shard in shards.list_shards(organisations):
            if not self._may_sweep():
                return
            if shards.is_assigned(shard, self._daemon, self._list_daemons()):
                sweep = functools.partial(self._sweeps[shard.table], shard)
                self._run_safely(shard.name, sweep)
            if self._stopped.wait(_SHARD_PAUSE_S):
                return
        if self._may_sweep():
            self._run_safely("marked files", self._files.resolve_marked)

    def _may_sweep(self) -> bool:
        """Return whether a current configuration gives the retention periods."""
        return self._get_snapshot().revision > 0 and self._is_ready()

    def _run_safely(self, name: str, function: abc.Callable[[], None]) -> None:
        """Call a function; a failure aborts only this part of the sweep."""
        try:
            function()
        except pacing.SweepStopped:
            raise
        except platform_calls.SweepAborted as error:
            metrics.RETENTION_ERRORS.labels(type(error.cause).__name__).inc()
            logs.warning(
                "retention_broken_off",
                part=name,
                error=error.format_message(),
            )
            self._stopped.wait(_ERROR_BACKOFF_S)
        except Exception as error:
            metrics.RETENTION_ERRORS.labels(type(error).__name__).inc()
            logs.error("retention_failed", part=name, error=repr(error))
