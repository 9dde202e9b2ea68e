"""In-memory engines for the scenarios of the placement."""

import dataclasses

from endivevane.configuration import models
from endivevane.external import engine
from endivevane.orders import placement, plans, replicas, residence

ZONES = ("zone-a", "zone-b", "zone-c")
# Rounds of the group's owner that a load takes.
LOAD_ROUNDS = 2
SLOTS = 16
ROUND_S = 2.0


def make_model(name, min_replicas, version="1", adapters=()):
    return models.LanguageModelModel(
        name=name, version=version, adapters=adapters, min_replicas=min_replicas
    )


@dataclasses.dataclass
class MemoryEngine:
    """An engine that executes orders in sequence; a load takes some rounds."""

    name: str
    zone: str
    held: dict = dataclasses.field(default_factory=dict)
    queue: list = dataclasses.field(default_factory=list)
    waits: int = 0
    is_live: bool = True

    def view(self):
        loaded = tuple(
            engine.LoadedModel(name, version, tuple(sorted(adapters)))
            for (name, version), adapters in sorted(self.held.items())
        )
        loading = frozenset(
            (item.model, item.version)
            for item in self.queue
            if item.action == "load_model"
        )
        is_busy = bool(self.queue)
        return plans.EngineView(
            self.name,
            self.zone,
            loaded,
            loading - set(self.held),
            is_busy=is_busy,
            is_quiescent=not is_busy,
        )

    def step(self):
        """Execute the queued orders of one round."""
        while self.queue:
            order = self.queue[0]
            if order.action == "load_model" and self.waits < LOAD_ROUNDS:
                self.waits += 1
                return
            self.waits = 0
            self._apply(self.queue.pop(0))

    def _apply(self, order):
        key = (order.model, order.version)
        match order.action:
            case "load_model":
                self.held.setdefault(key, set())
            case "unload_model":
                self.held.pop(key, None)
            case "load_adapter":
                self.held[key].add(order.adapter)
            case "unload_adapter":
                self.held[key].discard(order.adapter)


class MemoryGroup:
    """A service with in-memory engines; checks the limits after every round.

    :param declared: models of the document
    """

    def __init__(self, count, declared, settings=None):
        self.settings = settings or plans.PlacementSettings()
        self.declared = tuple(declared)
        self.engines = {
            f"e{index}": MemoryEngine(f"e{index}", ZONES[index % len(ZONES)])
            for index in range(count)
        }
        self.residence = residence.ResidenceTracker()
        self.replicas = replicas.ReplicaAutoscaler(replicas.DemandSettings())
        self.demand_slots = {}
        self.slots_per_model = SLOTS / self.settings.max_models
        self.now_s = 0.0
        self.orders = []
        self.most_loading = 0
        self.loaded_s = {}

    def live(self):
        return [item for item in self.engines.values() if item.is_live]

    def lose(self, names):
        for name in names:
            self.engines[name].is_live = False
            self.engines[name].held.clear()
            self.engines[name].queue.clear()

    def bring_back(self, names):
        for name in names:
            self.engines[name].is_live = True

    def count(self, model):
        return sum(any(key[0] == model for key in item.held) for item in self.live())

    def run_round(self):
        """Run one round and return its orders."""
        self.now_s += ROUND_S
        before = {item.name: self.count(item.name) for item in self.declared}
        for item in self.live():
            item.step()
        for item in self.declared:
            if before[item.name]:
                assert self.count(item.name), f"no replica of {item.name} is left"
        views = [item.view() for item in self.live()]
        self.residence.observe(views, self.now_s)
        group = plans.Group(
            self.declared,
            views,
            desired_replicas=self._compute_desired_replicas(len(views)),
            since_s=dict(self.residence.since_s),
        )
        plan = placement.compute(group, self.settings, self.now_s)
        sent = []
        for view in views:
            if view.is_busy:
                continue
            sent += plans.list_orders(view, plan.desired[view.name])
        for order in sent:
            self.engines[order.target].queue.append(order)
        self._check_bounds(views)
        unserved = {
            item.name
            for item in self.declared
            if not any(
                key[0] == item.name
                for view in views
                for key in (*plans.list_keys(view), *view.loading)
            )
        }
        self.orders += [(self.now_s, order, unserved) for order in sent]
        return sent

    def _compute_desired_replicas(self, engines):
        if self.demand_slots is None:
            return None
        self.replicas.observe(self.demand_slots, self.now_s)
        capacity = engines * self.settings.max_models
        return self.replicas.compute(
            self.declared, capacity, engines, self.slots_per_model
        )

    def _check_bounds(self, views):
        busy = [item for item in self.live() if item.queue]
        limit = max(1, int(self.settings.max_reloading_share * len(views)))
        # Lost engines lower the limit, but the loads in progress continue.
        limit = max(limit, sum(view.is_busy for view in views))
        assert len(busy) <= limit, (len(busy), limit)
        loading = sum(
            any(order.action.startswith("load") for order in item.queue)
            for item in busy
        )
        self.most_loading = max(self.most_loading, loading)
        allowed = max(self.settings.max_loads, sum(view.is_busy for view in views))
        assert loading <= allowed, (loading, allowed)

    def run_until_quiet(self, limit):
        """Run rounds until one has no order and no order is in progress."""
        for count in range(limit):
            sent = self.run_round()
            if not sent and not any(item.queue for item in self.live()):
                return count
        raise AssertionError(f"still orders after {limit} rounds: {self.orders[-4:]}")
