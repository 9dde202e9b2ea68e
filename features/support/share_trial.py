"""A slot queue under the load of several organisations, in simulated time."""

import collections
import dataclasses
import hashlib
import heapq
import itertools
import random

from endivevane.serving import slot_queue
from features.support import serving_fakes

TICK_S = 0.02
SLOTS_PER_TARGET = 9  # 8 slots and one request that queues at the target
_START_S = 100.0


@dataclasses.dataclass
class Client:
    """Requests of one organisation.

    :ivar find_rate: returns the requests per second at a time since the start
    :ivar peak_per_s: the most that it returns
    :ivar returns: whether a refused request is sent again when that is asked for
    """

    name: str
    find_rate: object
    peak_per_s: float
    objective_s: float = 0.3
    deadline_s: float = 3.0
    priority: int = 0
    may_retry: bool = True
    returns: bool = False


@dataclasses.dataclass
class Outcome:
    """What has become of the requests of one organisation.

    :ivar waits_s: how long each granted request has waited
    :ivar refused: time waited and time to return of each refused request
    """

    arrived: int = 0
    waits_s: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)
    late: int = 0
    returned: int = 0
    returned_granted: int = 0

    @property
    def granted_share(self):
        return len(self.waits_s) / max(1, self.arrived)


class Trial:
    """Arrivals, grants and ends of requests at targets of 8 slots.

    :param is_named: whether requests carry the name of their organisation
    """

    def __init__(self, targets, hold_s=0.5, seed=1, is_named=True):
        self.fleet = serving_fakes.Fleet([f"t{n}" for n in range(targets)], age_s=0.0)
        self.queue = self.fleet.make_queue()
        self.capacity_per_s = targets * SLOTS_PER_TARGET / hold_s
        self.outcomes = collections.defaultdict(Outcome)
        self.most_waiting = 0
        self.digest = hashlib.sha256()
        self.now_s = _START_S
        self._hold_s = hold_s
        self._seed = seed
        self._random = random.Random(seed)
        self._is_named = is_named
        self._events = []
        self._numbers = itertools.count()

    def run(self, clients, duration_s, counted_from_s=0.0):
        for client in clients:
            # Each client has its own arrivals, whatever the others do.
            arrivals = random.Random(f"{self._seed} {client.name}")
            self._plan(client, arrivals, _START_S)
        self._push(_START_S, self._tick)
        self._push(_START_S + counted_from_s, self.outcomes.clear)
        while self._events and self._events[0][0] < _START_S + duration_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        return self.outcomes

    def _push(self, at_s, act):
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _plan(self, client, arrivals, since_s):
        # Arrivals at the peak rate are thinned to the rate of their time.
        at_s = since_s + arrivals.expovariate(client.peak_per_s)
        is_kept = arrivals.random() * client.peak_per_s < client.find_rate(
            at_s - _START_S
        )

        def act():
            self._plan(client, arrivals, at_s)
            if is_kept:
                self.outcomes[client.name].arrived += 1
                self._ask(client, client.may_retry)

        self._push(at_s, act)

    def _ask(self, client, may_retry, is_return=False):
        outcome = self.outcomes[client.name]
        arrived_s = self.now_s
        organisation = client.name if self._is_named else ""

        def resolve(decision):
            waited_s = self.now_s - arrived_s
            if isinstance(decision, slot_queue.Refused):
                self._note(client.name, decision.retry_after_s)
                outcome.refused.append((waited_s, decision.retry_after_s))
                if client.returns and may_retry:
                    outcome.returned += 1
                    self._push(
                        self.now_s + decision.retry_after_s,
                        lambda: self._ask(client, False, is_return=True),
                    )
                return
            name = decision.target.target_id
            self._note(client.name, name)
            if is_return:
                outcome.returned_granted += 1
            else:
                outcome.waits_s.append(waited_s)
                outcome.late += waited_s > client.objective_s
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
            may_retry=may_retry,
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

    def _note(self, *what):
        waiting = self.fleet.board.sum_waiting_requests(())
        self.digest.update(repr((round(self.now_s, 6), what, waiting)).encode())
