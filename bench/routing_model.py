"""Arrivals and engines for the measurement of routing policies."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics
import typing

from bench import decision_parts
from endivevane.coordination import clock
from endivevane.online import contract

SEED = 43
POLICIES = ("random", "two", "scheduler")
_DAEMONS = 9
_TARGETS = 9
_SLOTS = 8
_REQUESTS = 12_000
# About 75% of the slots are busy with a mean of 1.3 s per request.
_RATE = 42.0
_GROUPS = 120
_SHARED_BLOCKS = 12
_OWN_BLOCKS = 3
_CACHE_BLOCKS = 600
_PREFILL_S = 0.03
_DECODE_S = 1.0
_REPORT_S = 1.0
_LAG_S = 1.0
_GAP_SHARE = 0.1
_SAMPLE_S = 0.25


class Engine:
    """A queue with slots and a bounded cache of prompt blocks."""

    def __init__(self) -> None:
        self.running = 0
        self.waiting: collections.deque[typing.Any] = collections.deque()
        self.events: list[dict[str, typing.Any]] = []
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._numbers = itertools.count(1)

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    def take_prompt(self, blocks: tuple[int, ...]) -> int:
        """Cache a prompt and return how many of its blocks were cached before."""
        hits = 0
        for block in blocks:
            if block not in self._cache:
                break
            hits += 1
        for block in reversed(blocks):
            self._cache[block] = None
            self._cache.move_to_end(block)
        self._add_event("stored", list(blocks))
        evicted = []
        while len(self._cache) > _CACHE_BLOCKS:
            evicted.append(self._cache.popitem(last=False)[0])
        if evicted:
            self._add_event("evicted", evicted)
        return hits

    def _add_event(self, kind: str, blocks: list[int]) -> None:
        number = next(self._numbers)
        self.events.append({"n": number, "kind": kind, "prefix_hashes": blocks})


class Simulation:
    """One policy on the seeded list of arrivals."""

    def __init__(self, policy: str) -> None:
        self._policy = policy
        self._clock = clock.ManualClock(0.0, decision_parts.WALL_MS)
        self._random = random.Random(SEED)
        self._arrival_random = random.Random(SEED + 1)
        current = decision_parts.make_snapshot(_TARGETS, _SLOTS, {"max_queue": 4096})
        self._requests = decision_parts.Requests(current, self._clock)
        self._schedulers = [
            decision_parts.make_scheduler(f"d{index}", current, self._clock, index)
            for index in range(_DAEMONS)
        ]
        self._engines = {f"t{index}": Engine() for index in range(_TARGETS)}
        self._reported = dict.fromkeys(self._engines, 0)
        self._agenda: list[tuple[float, int, typing.Any]] = []
        self._order = itertools.count()
        self._jobs: dict[str, typing.Any] = {}
        self._waits: list[float] = []
        self._blocks = self._hits = 0
        self._spreads: list[float] = []

    def run(self) -> dict[str, float]:
        """Play all arrivals and return the measures."""
        at_s = 0.0
        for number in range(_REQUESTS):
            at_s += self._arrival_random.expovariate(_RATE)
            group = min(int(self._arrival_random.paretovariate(0.6)), _GROUPS)
            decode_s = self._arrival_random.expovariate(1 / _DECODE_S)
            self._plan(at_s, self._arrive, number, group, decode_s)
        end_s = at_s
        for name in self._engines:
            self._plan(self._random.uniform(0, _REPORT_S), self._report, name, end_s)
        self._plan(0.0, self._sample, end_s)
        while self._agenda:
            due_s, _, (action, arguments) = heapq.heappop(self._agenda)
            self._clock.advance(max(0.0, due_s - self._clock.monotonic_s()))
            action(*arguments)
        return {
            "hit_share": self._hits / self._blocks,
            "p95_queueing_s": statistics.quantiles(self._waits, n=20)[-1],
            "load_spread": statistics.fmean(self._spreads),
            "answered": float(len(self._waits)),
        }

    def _plan(self, at_s: float, action: typing.Any, *arguments: typing.Any) -> None:
        heapq.heappush(self._agenda, (at_s, next(self._order), (action, arguments)))

    def _arrive(self, number: int, group: int, decode_s: float) -> None:
        shared = tuple(group * 1000 + index for index in range(_SHARED_BLOCKS))
        own = tuple(10**9 + number * 10 + index for index in range(_OWN_BLOCKS))
        arrived_s = self._clock.monotonic_s()
        job = (arrived_s, shared + own, decode_s)
        if self._policy != "scheduler":
            self._enter(self._choose_plainly(), job, None, None)
            return
        daemon = self._schedulers[number % _DAEMONS]
        request = self._requests.make(shared + own, deadline_s=600.0)
        self._jobs[request.request_id] = job
        self._act(daemon, daemon.submit(request))

    def _choose_plainly(self) -> str:
        names = sorted(self._engines)
        if self._policy == "random":
            return self._random.choice(names)
        pair = self._random.sample(names, 2)
        return min(pair, key=lambda name: self._reported[name])

    def _act(self, daemon: typing.Any, decision: typing.Any) -> None:
        if isinstance(decision, contract.Send):
            attempt = decision.attempt
            job = self._jobs.pop(attempt.request.request_id)
            self._enter(attempt.target.name, job, daemon, attempt)
        elif isinstance(decision, contract.Refuse):
            raise AssertionError(decision.error)

    def _enter(
        self, name: str, job: typing.Any, daemon: typing.Any, attempt: typing.Any
    ) -> None:
        self._engines[name].waiting.append((job, daemon, attempt))
        self._start(name)

    def _start(self, name: str) -> None:
        target = self._engines[name]
        now_s = self._clock.monotonic_s()
        while target.waiting and target.running < _SLOTS:
            (arrived_s, blocks, decode_s), daemon, attempt = target.waiting.popleft()
            target.running += 1
            hits = target.take_prompt(blocks)
            self._waits.append(now_s - arrived_s)
            self._hits += hits
            self._blocks += len(blocks)
            first_s = now_s + (len(blocks) - hits) * _PREFILL_S
            if daemon is not None:
                self._plan(first_s, daemon.record_first_token, attempt)
            self._plan(first_s + decode_s, self._finish, name, daemon, attempt)

    def _finish(self, name: str, daemon: typing.Any, attempt: typing.Any) -> None:
        self._engines[name].running -= 1
        self._start(name)
        if daemon is None:
            return
        daemon.finish(attempt, contract.AttemptOutcome.COMPLETED)
        for action in daemon.poll():
            self._act(daemon, action)

    def _report(self, name: str, end_s: float) -> None:
        """Take a report and events now; they arrive after the lag."""
        target = self._engines[name]
        as_of_s = self._clock.wall_ms() / 1000
        report = decision_parts.make_report(
            target.running, len(target.waiting), _SLOTS, as_of_s
        )
        events, target.events = target.events, []
        kept = [item for item in events if self._random.random() >= _GAP_SHARE]
        now_s = self._clock.monotonic_s()
        self._plan(now_s + _LAG_S, self._hear, name, report, kept)
        if now_s < end_s:
            self._plan(now_s + _REPORT_S, self._report, name, end_s)

    def _hear(
        self, name: str, report: typing.Any, events: list[dict[str, typing.Any]]
    ) -> None:
        self._reported[name] = report.running + report.waiting
        for daemon in self._schedulers:
            daemon.set_load(name, report)
            daemon.set_cache_events(name, events)

    def _sample(self, end_s: float) -> None:
        loads = [target.load for target in self._engines.values()]
        self._spreads.append(max(loads) - min(loads))
        now_s = self._clock.monotonic_s()
        if now_s < end_s:
            self._plan(now_s + _SAMPLE_S, self._sample, end_s)


def simulate(policy: str) -> dict[str, float]:
    """Return hit share, queueing and spread of a policy."""
    return Simulation(policy).run()
