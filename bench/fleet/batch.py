"""Batch items in the fleet simulation: the rounds of each daemon's job runner."""

from __future__ import annotations

import dataclasses
import typing

from bench.fleet import engines
from endivevane.serving import batch_slots, item_estimates, model, preemption

if typing.TYPE_CHECKING:
    from bench.fleet import simulation

_SERVICE = "lm"
# Overhead of each run of an item: connection, queue and prefill.
_STARTUP_S = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A batch item.

    :ivar left_s: remaining run time
    :ivar started_s: when its current run was sent
    """

    left_s: float
    due_s: float
    started_s: float = 0.0
    run: engines.Run | None = None
    engine: engines.Engine | None = None

    def find_urgency(self, now_s: float) -> item_estimates.Urgency:
        """Return how urgent the item is, as the job runner classifies it."""
        left_s = self.left_s
        if self.run is not None and self.run.began_s is not None:
            left_s -= now_s - self.run.began_s
        # One event per second, so that the remaining events equal remaining seconds.
        estimator = item_estimates.ItemEstimator(
            event_interval_s=1.0, events_per_item=max(0.0, left_s)
        )
        return estimator.classify_urgency(0, self.due_s - now_s)


class BatchSimulation:
    """Generates batch items and starts and preempts them as job_runner does."""

    def __init__(self, played: simulation.Simulation) -> None:
        self._simulation = played
        self._items: dict[str, list[Item]] = {
            daemon.name: [] for daemon in played.daemons
        }
        self._preempted_s: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Schedule the first item and the rounds, if the pattern has batch items."""
        if not self._simulation.pattern.items_per_s:
            return
        self._schedule_item()
        for daemon in self._simulation.daemons:
            self._simulation.call_later(
                self._simulation.generator.random() * 0.1, self._run_round, daemon
            )

    def _schedule_item(self) -> None:
        gap_s = self._simulation.generator.expovariate(
            self._simulation.pattern.items_per_s
        )
        self._simulation.call_later(gap_s, self._arrive)

    def _arrive(self) -> None:
        self._schedule_item()
        played = self._simulation.pattern
        factor = max(0.2, self._simulation.generator.gauss(1.0, played.hold_spread))
        item = Item(
            played.item_hold_s * factor, self._simulation.now_s + played.item_due_s
        )
        owner = self._simulation.generator.choice(self._simulation.daemons)
        self._items[owner.name].append(item)

    def _run_round(self, daemon: simulation.Daemon) -> None:
        wait_s = max(batch_slots.MIN_ROUND_INTERVAL_S, daemon.table.same_region_age_s)
        self._simulation.call_later(wait_s, self._run_round, daemon)
        daemon.selector.record_peaks(self._simulation.now_s)
        items = self._items[daemon.name]
        if not items:
            return
        self._preempt(daemon, items)
        self._start_items(daemon, items)
        daemon.table.own_waiting_items = sum(item.run is None for item in items)

    def _start_items(self, daemon: simulation.Daemon, items: list[Item]) -> None:
        now_s = self._simulation.now_s
        ready = [item for item in items if item.run is None]
        daemon.table.own_waiting_items = len(ready)
        ready.sort(key=lambda item: (item.find_urgency(now_s), item.due_s))
        in_cooldown = frozenset(
            target
            for (name, target), preempted_s in self._preempted_s.items()
            if name == daemon.name and now_s - preempted_s < batch_slots.COOLDOWN_S
        )
        budgets: dict[bool, int] = {}
        starts = 0
        for item in ready:
            if starts >= batch_slots.MAX_STARTS_PER_ROUND:
                return
            is_urgent = item.find_urgency(now_s) is item_estimates.Urgency.URGENT
            if is_urgent not in budgets:
                budgets[is_urgent] = daemon.selector.draw_batch_share(
                    _SERVICE, now_s, is_urgent
                )
            if budgets[is_urgent] <= 0:
                continue
            target = daemon.selector.choose_batch(
                _SERVICE, now_s, in_cooldown, is_urgent, due_s=item.due_s
            )
            if target is None:
                continue
            budgets[is_urgent] -= 1
            starts += 1
            self._start(daemon, item, target)

    def _start(
        self, daemon: simulation.Daemon, item: Item, target: model.Target
    ) -> None:
        engine = self._simulation.find_engine(target)
        daemon.table.begin(engine.name, is_batch=True)
        item.engine = engine
        run = engines.Run(
            item.left_s + _STARTUP_S,
            on_begin=lambda: None,
            on_end=lambda: self._record_end(daemon, item, run),
        )
        item.run = run
        item.started_s = self._simulation.now_s
        delay_s = self._simulation.find_delay_s(daemon, engine)
        self._simulation.call_later(delay_s, engine.submit, run)

    def _record_end(
        self, daemon: simulation.Daemon, item: Item, run: engines.Run
    ) -> None:
        if item.run is not run:
            # The daemon closed the connection before the response reached it.
            return
        self._items[daemon.name].remove(item)
        if item.engine is not None:
            daemon.table.end(item.engine.name, is_batch=True)
        self._simulation.tally.items_due += 1
        self._simulation.tally.items_on_time += self._simulation.now_s <= item.due_s

    def _preempt(self, daemon: simulation.Daemon, items: list[Item]) -> None:
        now_s = self._simulation.now_s
        by_engine: dict[str, list[Item]] = {}
        for item in items:
            if item.run is not None and item.engine is not None:
                by_engine.setdefault(item.engine.name, []).append(item)
        for name, running in by_engine.items():
            surplus = daemon.selector.count_to_preempt(self._simulation.targets[name])
            if surplus <= 0:
                continue
            self._preempted_s[daemon.name, name] = now_s
            batch = daemon.table.total(name).batch
            candidates = [
                preemption.Candidate(item, item.find_urgency(now_s), item.started_s)
                for item in running
            ]
            for item in preemption.choose_items(candidates, surplus, batch):
                self._cancel(daemon, item)

    def _cancel(self, daemon: simulation.Daemon, item: Item) -> None:
        run, engine = item.run, item.engine
        if run is None or engine is None:
            return
        if run.began_s is not None:
            item.left_s -= max(0.0, self._simulation.now_s - run.began_s - _STARTUP_S)
        item.run = None
        item.engine = None
        self._simulation.tally.yields += 1
        daemon.table.end(engine.name, is_batch=True)
        delay_s = self._simulation.find_delay_s(daemon, engine)
        self._simulation.call_later(delay_s, engine.cancel, run)
