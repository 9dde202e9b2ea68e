"""Batch items in the fleet model: the rounds of each daemon's runner."""

from __future__ import annotations

import dataclasses
import typing

from bench.fleet import engines
from endivevane.serving import batch_slots, item_estimates, model, preemption

if typing.TYPE_CHECKING:
    from bench.fleet import simulation

_SERVICE = "lm"
# Time of an item besides its work: connection, queue and prefill of each run.
_START_S = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A batch item.

    :ivar left_s: time for which it still has to run
    :ivar started_s: when its current run was sent
    """

    left_s: float
    due_s: float
    started_s: float = 0.0
    run: engines.Run | None = None
    engine: engines.Engine | None = None

    def rate(self, now_s: float) -> item_estimates.Urgency:
        """Return how urgent the item is, by the rule of the runner."""
        left_s = self.left_s
        if self.run is not None and self.run.began_s is not None:
            left_s -= now_s - self.run.began_s
        # One event a second, so that what is left counts in seconds.
        pace = item_estimates.ItemEstimator(
            event_interval_s=1.0, events_per_item=max(0.0, left_s)
        )
        return pace.classify_urgency(0, self.due_s - now_s)


class BatchPlay:
    """Lets items arrive, and start and give way as job_runner does."""

    def __init__(self, played: simulation.Simulation) -> None:
        self._play = played
        self._items: dict[str, list[Item]] = {
            daemon.name: [] for daemon in played.daemons
        }
        self._yielded_s: dict[tuple[str, str], float] = {}

    def start(self) -> None:
        """Schedule the first item and the rounds, if the pattern has batch items."""
        if not self._play.pattern.items_per_s:
            return
        self._schedule_item()
        for daemon in self._play.daemons:
            self._play.later(self._play.generator.random() * 0.1, self._round, daemon)

    def _schedule_item(self) -> None:
        gap_s = self._play.generator.expovariate(self._play.pattern.items_per_s)
        self._play.later(gap_s, self._arrive)

    def _arrive(self) -> None:
        self._schedule_item()
        played = self._play.pattern
        factor = max(0.2, self._play.generator.gauss(1.0, played.hold_spread))
        item = Item(played.item_hold_s * factor, self._play.now_s + played.item_due_s)
        owner = self._play.generator.choice(self._play.daemons)
        self._items[owner.name].append(item)

    def _round(self, daemon: simulation.Daemon) -> None:
        wait_s = max(batch_slots.MIN_ROUND_INTERVAL_S, daemon.board.same_region_age_s)
        self._play.later(wait_s, self._round, daemon)
        daemon.choices.record_peaks(self._play.now_s)
        items = self._items[daemon.name]
        if not items:
            return
        self._give_way(daemon, items)
        self._start_items(daemon, items)
        daemon.board.own_waiting_items = sum(item.run is None for item in items)

    def _start_items(self, daemon: simulation.Daemon, items: list[Item]) -> None:
        now_s = self._play.now_s
        ready = [item for item in items if item.run is None]
        daemon.board.own_waiting_items = len(ready)
        ready.sort(key=lambda item: (item.rate(now_s), item.due_s))
        resting = frozenset(
            target
            for (name, target), yielded_s in self._yielded_s.items()
            if name == daemon.name and now_s - yielded_s < batch_slots.COOLDOWN_S
        )
        budgets: dict[bool, int] = {}
        starts = 0
        for item in ready:
            if starts >= batch_slots.MAX_STARTS_PER_ROUND:
                return
            is_urgent = item.rate(now_s) is item_estimates.Urgency.URGENT
            if is_urgent not in budgets:
                budgets[is_urgent] = daemon.choices.draw_batch_share(
                    _SERVICE, now_s, is_urgent
                )
            if budgets[is_urgent] <= 0:
                continue
            target = daemon.choices.choose_batch(_SERVICE, now_s, resting, is_urgent)
            if target is None:
                continue
            budgets[is_urgent] -= 1
            starts += 1
            self._start(daemon, item, target)

    def _start(
        self, daemon: simulation.Daemon, item: Item, target: model.Target
    ) -> None:
        engine = self._play.find_engine(target)
        daemon.board.begin(engine.name, is_batch=True)
        item.engine = engine
        run = engines.Run(
            item.left_s + _START_S,
            on_begin=lambda: None,
            on_end=lambda: self._note_end(daemon, item, run),
        )
        item.run = run
        item.started_s = self._play.now_s
        delay_s = self._play.find_delay_s(daemon, engine)
        self._play.later(delay_s, engine.take, run)

    def _note_end(
        self, daemon: simulation.Daemon, item: Item, run: engines.Run
    ) -> None:
        if item.run is not run:
            # The daemon had closed the connection before the end could reach it.
            return
        self._items[daemon.name].remove(item)
        if item.engine is not None:
            daemon.board.end(item.engine.name, is_batch=True)
        self._play.tally.items_due += 1
        self._play.tally.items_on_time += self._play.now_s <= item.due_s

    def _give_way(self, daemon: simulation.Daemon, items: list[Item]) -> None:
        now_s = self._play.now_s
        by_engine: dict[str, list[Item]] = {}
        for item in items:
            if item.run is not None and item.engine is not None:
                by_engine.setdefault(item.engine.name, []).append(item)
        for name, running in by_engine.items():
            surplus = daemon.choices.count_to_preempt(self._play.targets[name])
            if surplus <= 0:
                continue
            self._yielded_s[daemon.name, name] = now_s
            batch = daemon.board.total(name).batch
            candidates = [
                preemption.Candidate(item, item.rate(now_s), item.started_s)
                for item in running
            ]
            for item in preemption.choose_items(candidates, surplus, batch):
                self._cancel(daemon, item)

    def _cancel(self, daemon: simulation.Daemon, item: Item) -> None:
        run, engine = item.run, item.engine
        if run is None or engine is None:
            return
        if run.began_s is not None:
            item.left_s -= max(0.0, self._play.now_s - run.began_s - _START_S)
        item.run = None
        item.engine = None
        self._play.tally.yields += 1
        daemon.board.end(engine.name, is_batch=True)
        delay_s = self._play.find_delay_s(daemon, engine)
        self._play.later(delay_s, engine.cancel, run)
