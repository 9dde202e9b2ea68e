"""Measurement of this daemon's online demand per model."""

from __future__ import annotations

import dataclasses
import threading

from endivevane import types
from endivevane.coordination import clock, rates
from endivevane.online import contract
from endivevane.web import errors

# Much longer than the gaps between requests, much shorter than loading a model.
_TIME_CONSTANT_S = 10.0
# A model whose figures are all below this counts as without demand.
_MIN_FIGURE = 0.005
_Key = tuple[str, str]
_CAPACITY_ERRORS = (errors.Overloaded, errors.Unavailable, errors.DeadlineExceeded)


class _Counts:
    """Demand for one model of one service."""

    def __init__(self, now_s: float) -> None:
        self.sent = rates.DecayedRate(_TIME_CONSTANT_S, now_s)
        self.refused = rates.DecayedRate(_TIME_CONSTANT_S, now_s)
        self.tokens = rates.DecayedRate(_TIME_CONSTANT_S, now_s)
        self.running = rates.DecayedLevel(_TIME_CONSTANT_S, now_s)
        self.waiting = rates.DecayedLevel(_TIME_CONSTANT_S, now_s)

    def read(self, now_s: float) -> types.ModelDemand:
        return types.ModelDemand(
            self.sent.read_per_s(now_s),
            self.refused.read_per_s(now_s),
            self.tokens.read_per_s(now_s),
            self.running.read_mean(now_s),
            self.waiting.read_mean(now_s),
        )


class DemandCounter:
    """Counts requests by service and model. Thread-safe.

    The relay's thread records and the orders' thread reads. A request for an adapter
    counts for the adapter's model.
    """

    def __init__(self, counter_clock: clock.Clock) -> None:
        self._clock = counter_clock
        self._lock = threading.Lock()
        self._counts: dict[_Key, _Counts] = {}
        self._running: dict[str, _Counts] = {}
        self._waiting: dict[str, _Counts] = {}

    def begin(self, attempt: contract.Attempt) -> None:
        """Count an attempt that is sent."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._end_waiting(attempt.request.request_id, now_s)
            counts = self._find(attempt.request, now_s)
            self._running[attempt.attempt_id] = counts
            counts.running.change(1, now_s)
            if attempt.number == 1:
                counts.sent.add(now_s)

    def end(self, attempt_id: str) -> None:
        """Record that an attempt has ended."""
        with self._lock:
            counts = self._running.pop(attempt_id, None)
            if counts is not None:
                counts.running.change(-1, self._clock.monotonic_s())

    def begin_waiting(self, request: contract.OnlineRequest) -> None:
        """Count a request that waits in the queue."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            counts = self._find(request, now_s)
            self._waiting[request.request_id] = counts
            counts.waiting.change(1, now_s)

    def end_waiting(self, request_id: str) -> None:
        """Record that a request has left the queue."""
        with self._lock:
            self._end_waiting(request_id, self._clock.monotonic_s())

    def record_refusal(self, refusal: contract.Refuse) -> contract.Refuse:
        """Count a refusal before any attempt if it is due to a lack of capacity."""
        if isinstance(refusal.error, _CAPACITY_ERRORS):
            now_s = self._clock.monotonic_s()
            with self._lock:
                self._find(refusal.request, now_s).refused.add(now_s)
        return refusal

    def record_tokens(self, request: contract.OnlineRequest, tokens: int) -> None:
        """Count the tokens of a response at its end."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            self._find(request, now_s).tokens.add(now_s, tokens)

    def read(self) -> dict[str, dict[str, types.ModelDemand]]:
        """Return the demand by service and model; models without any are left out."""
        now_s = self._clock.monotonic_s()
        read: dict[str, dict[str, types.ModelDemand]] = {}
        with self._lock:
            for (service, model), counts in list(self._counts.items()):
                demand = counts.read(now_s)
                if max(dataclasses.astuple(demand)) >= _MIN_FIGURE:
                    read.setdefault(service, {})[model] = demand
                elif not counts.running.level and not counts.waiting.level:
                    del self._counts[service, model]
        return read

    def _find(self, request: contract.OnlineRequest, now_s: float) -> _Counts:
        key = request.service.name, request.model.partition(":")[0]
        return self._counts.setdefault(key, _Counts(now_s))

    def _end_waiting(self, request_id: str, now_s: float) -> None:
        counts = self._waiting.pop(request_id, None)
        if counts is not None:
            counts.waiting.change(-1, now_s)
