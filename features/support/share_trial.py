"""A slot queue under the load of several organisations, in simulated time."""

import collections
import dataclasses
import heapq
import itertools
import random

from endivevane.serving import slot_queue
from features.support import serving_fakes

TICK_S = 0.02
_START_S = 100.0


@dataclasses.dataclass
class Client:
    """Requests of one organisation.

    :ivar rate: returns the requests per second at a time since the start
    """

    name: str
    rate: object
    objective_s: float = 0.3
    deadline_s: float = 3.0
    priority: int = 0
    may_retry: bool = True


@dataclasses.dataclass
class Outcome:
    """What has become of the requests of one organisation."""

    arrived: int = 0
    waits_s: list = dataclasses.field(default_factory=list)
    # (time waited, retry-after) of each refused request.
    refused: list = dataclasses.field(default_factory=list)
    late: int = 0

    @property
    def share(self):
        return len(self.waits_s) / max(1, self.arrived)


class Trial:
    """Arrivals, grants and ends of requests at targets of 8 slots."""

    def __init__(self, targets, hold_s=0.5, seed=1, is_named=True):
        self.fleet = serving_fakes.Fleet([f"t{n}" for n in range(targets)], age_s=0.0)
        self.queue = self.fleet.make_queue()
        self.slots_per_s = targets * 9 / hold_s
        self.outcomes = collections.defaultdict(Outcome)
        self.most_waiting = 0
        self._hold_s = hold_s
        self._random = random.Random(seed)
        self._is_named = is_named
        self._events = []
        self._numbers = itertools.count()
        self.now_s = _START_S

    def run(self, clients, duration_s):
        for client in clients:
            self._plan(client, _START_S)
        self._push(_START_S, self._tick)
        while self._events and self._events[0][0] < _START_S + duration_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self.outcomes

    def _push(self, at_s, act):
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _plan(self, client, since_s):
        # Arrivals at the peak rate are thinned to the rate of their time.
        peak = max(client.rate(step / 10) for step in range(400))
        at_s = since_s + self._random.expovariate(peak)
        if self._random.random() * peak < client.rate(at_s - _START_S):
            self._push(at_s, lambda: self._arrive(client))
        else:
            self._push(at_s, lambda: self._plan(client, at_s))

    def _arrive(self, client):
        self._plan(client, self.now_s)
        outcome = self.outcomes[client.name]
        outcome.arrived += 1
        arrived_s = self.now_s
        organisation = client.name if self._is_named else ""

        def resolve(decision):
            waited_s = self.now_s - arrived_s
            if isinstance(decision, slot_queue.Refused):
                outcome.refused.append((waited_s, decision.retry_after_s))
                return
            outcome.waits_s.append(waited_s)
            outcome.late += waited_s > client.objective_s
            name = decision.target.target_id
            self.fleet.board.begin(name, False)
            hold_s = self._hold_s * self._random.uniform(0.5, 1.5)
            self._push(
                self.now_s + hold_s, lambda: self._end(name, organisation, hold_s)
            )

        request = slot_queue.SlotRequest(
            service="lm",
            priority=client.priority,
            objective_s=arrived_s + client.objective_s,
            deadline_s=arrived_s + client.deadline_s,
            may_retry=client.may_retry,
            organisation=organisation,
        )
        self.queue.ask(request, resolve, self.now_s)
        self.most_waiting = max(self.most_waiting, self.queue.waiting)

    def _end(self, name, organisation, hold_s):
        self.fleet.board.end(name, False)
        self.queue.record_end("lm", organisation, self.now_s)
        self.queue.record_hold("lm", hold_s)
        self.queue.record_first_event("lm", 0.05)
        self.queue.grant_free_slots(self.now_s)

    def _tick(self):
        self.queue.grant_free_slots(self.now_s)
        self._push(self.now_s + TICK_S, self._tick)
