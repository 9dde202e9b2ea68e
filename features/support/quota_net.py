"""Quotas of many daemons in virtual time, with a network that may fail."""

import collections
import dataclasses
import heapq
import itertools
import random

from endivevane.quotas import holder, issuer, membership, messages, outcomes, settings
from endivevane.serving import model, peer_messages

# One-way delays of a datagram.
_NEAR_S = 0.001
_FAR_S = 0.02
# As the daemons of a small region do.
_HEARTBEAT_S = 0.4
_DEAD_AFTER_S = 1.6
_HEARD_WITHIN_S = 1.0
_HOLD_OFF_S = 0.1
_SETTLE_S = 0.5
_WARM_UP_S = 0.5
_TICK_S = 0.02
_REFRESH_S = 0.1


@dataclasses.dataclass
class Request:
    """A request of a client and what became of it."""

    organisation: str
    daemon: str
    sent_s: float
    outcome: object = None
    decided_s: float = 0.0

    @property
    def is_admitted(self):
        return isinstance(self.outcome, outcomes.Admitted)


class Daemon:
    """The quotas of one daemon, and which other daemons it hears."""

    def __init__(self, net, name, region):
        self.net = net
        self.name = name
        self.region = region
        self.is_up = False
        self.paused_until_s = 0.0
        self.epoch = 0
        self.organisations = dict(net.organisations)
        self.start()

    def start(self):
        net = self.net
        self.is_up = True
        self.epoch += 1
        self.started_s = net.now_s
        self.heard_s = {}
        self.tickets = {}
        self.numbers = itertools.count(1)
        self.view = membership.MemberView(self.name, self.region)
        self.issuer = issuer.TokenIssuer(net.limits, self.view)
        self.holder = holder.TokenHolder(
            net.limits,
            self.view,
            self.issuer,
            lambda name: self.organisations.get(name),
            int(net.now_s * 1000) + 1,
        )
        self.is_ticking = False
        self._repeat(_REFRESH_S, self._refresh)
        if net.has_heartbeats:
            self._repeat(_HEARTBEAT_S, self._beat)

    def kill(self):
        self.is_up = False
        self.epoch += 1
        for request in self.tickets.values():
            request.outcome = "lost"
        self.tickets = {}

    def request(self, organisation):
        """Let a client's request arrive."""
        request = Request(organisation, self.name, self.net.now_s)
        self.net.requests.append(request)
        self.net.run_at(self.net.now_s, self, self._admit, request)
        return request

    def receive(self, sender, message):
        if self.name == sender:
            return
        self.heard_s[sender] = self.net.now_s
        if message is None:
            return
        self._see()
        now_s = self.net.now_s
        if isinstance(message, messages.QuotaAsk):
            self.holder.handle_ask(sender, message, now_s)
        elif isinstance(message, messages.QuotaGrants):
            self.holder.handle_grants(sender, message, now_s)
        elif isinstance(message, messages.QuotaWitness):
            self.view.record_witness(message, now_s)
        else:
            answer = self.view.testify(sender, message, now_s)
            if answer is not None:
                self.net.send(self.name, sender, answer)
        self._flush()

    def resume(self):
        """Notice that the process has been paused."""
        self.view.restart()
        self.holder.restart()
        self.started_s = self.net.now_s

    def _admit(self, request):
        self._see()
        ticket = next(self.numbers)
        now_s = self.net.now_s
        outcome = self.holder.admit(request.organisation, ticket, 5.0, now_s)
        if outcome is not None:
            request.outcome, request.decided_s = outcome, now_s
        else:
            self.tickets[ticket] = request
        self._flush()

    def _beat(self):
        for name in self.net.daemons:
            if name != self.name:
                self.net.send(self.name, name, None)

    def _refresh(self):
        self._see()
        for name, probe in self.view.ask_others(self.net.now_s):
            self.net.send(self.name, name, probe)
        self.holder.refresh(self.net.now_s)
        self._flush()

    def _see(self):
        self.view.update(self.net.take_snapshot(self), self.net.now_s)

    def _flush(self):
        effects = self.holder.collect(self.net.now_s)
        for name, message in effects.messages:
            self.net.send(self.name, name, message)
        for decision in effects.decisions:
            request = self.tickets.pop(decision.ticket, None)
            if request is not None:
                request.outcome = decision.outcome
                request.decided_s = self.net.now_s
        if self.holder.is_waiting and not self.is_ticking:
            self.is_ticking = True
            self.net.run_at(self.net.now_s + _TICK_S, self, self._tick)

    def _tick(self):
        self.is_ticking = False
        self._see()
        self.holder.tick(self.net.now_s)
        self._flush()

    def _repeat(self, interval_s, function):
        epoch = self.epoch

        def run():
            if self.epoch != epoch:
                return
            function()
            self.net.run_at(self.net.now_s + interval_s, self, run)

        first_s = self.net.now_s + interval_s * self.net.generator.random()
        self.net.run_at(first_s, self, run)


class Net:
    """Daemons, the time, and what reaches whom.

    :param regions: region of each daemon
    :param has_heartbeats: whether daemons learn of each other by datagrams that may be
        lost; otherwise all learn of a death at the same time
    """

    def __init__(
        self, regions, organisations, limits=None, seed=0, has_heartbeats=True
    ):
        self.limits = limits or settings.QuotasSection()
        self.stopping = set()
        self.organisations = {item.name: item for item in organisations}
        self.generator = random.Random(seed)
        self.has_heartbeats = has_heartbeats
        self.now_s = 1000.0
        self.loss = 0.0
        self.duplication = 0.0
        self.extra_delay_s = 0.0
        self.cuts = set()
        self.requests = []
        self.sent = collections.Counter()
        self.sent_bytes = collections.Counter()
        self._sequence = itertools.count()
        self._events = []
        self._changed_s = self.now_s
        self.regions = dict(regions)
        self._died_s = {}
        self.daemons = {}
        for name, region in self.regions.items():
            self.daemons[name] = Daemon(self, name, region)

    def run_at(self, at_s, daemon, function, *arguments):
        event = (at_s, next(self._sequence), daemon, daemon.epoch, function, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, until_s):
        while self._events and self._events[0][0] <= until_s:
            at_s, _, daemon, epoch, function, arguments = heapq.heappop(self._events)
            self.now_s = max(self.now_s, at_s)
            if not daemon.is_up or daemon.epoch != epoch:
                continue
            if daemon.paused_until_s > self.now_s:
                self.run_at(daemon.paused_until_s, daemon, function, *arguments)
                continue
            function(*arguments)
        self.now_s = until_s

    def send(self, sender, recipient, message):
        if message is not None:
            self.sent[sender] += 1
            self.sent_bytes[sender] += len(peer_messages.encode(message))
        if (sender, recipient) in self.cuts:
            return
        target = self.daemons[recipient]
        far = self.regions[sender] != self.regions[recipient]
        for _ in range(1 + (self.generator.random() < self.duplication)):
            if self.generator.random() < self.loss:
                continue
            delay_s = _FAR_S if far else _NEAR_S
            delay_s += self.generator.random() * self.extra_delay_s
            if target.is_up:
                self.run_at(
                    self.now_s + delay_s, target, target.receive, sender, message
                )

    def kill(self, name):
        self.daemons[name].kill()
        self._died_s[name] = self.now_s

    def start(self, name):
        self._died_s.pop(name, None)
        self.daemons[name].start()

    def pause(self, name, for_s):
        daemon = self.daemons[name]
        daemon.paused_until_s = self.now_s + for_s
        if for_s >= 1.2:
            # It runs before everything that has come in the meantime.
            event = (daemon.paused_until_s, -1, daemon, daemon.epoch, daemon.resume, ())
            heapq.heappush(self._events, event)

    def cut(self, some, others):
        """Let no datagram pass between two groups of daemons."""
        for one in some:
            for other in others:
                self.cuts.update(((one, other), (other, one)))

    def find_issuer(self, organisation):
        """Return the name of the daemon that ranks first in its own view."""
        for daemon in self.daemons.values():
            if daemon.is_up and daemon.view.is_issuer(organisation):
                return daemon.name
        return None

    def take_snapshot(self, daemon):
        now_s = self.now_s
        if self.has_heartbeats:
            alive = {
                name
                for name, heard_s in daemon.heard_s.items()
                if now_s - heard_s < _DEAD_AFTER_S
            }
            heard = sum(
                1
                for heard_s in daemon.heard_s.values()
                if now_s - heard_s < _HEARD_WITHIN_S
            )
            live = frozenset(alive | {daemon.name})
        else:
            live, heard = self._find_alive(now_s)
        return membership.Snapshot(
            self.regions,
            live - self.stopping,
            frozenset(self.stopping),
            heard + self.has_heartbeats,
            _HOLD_OFF_S,
            _SETTLE_S,
            now_s >= daemon.started_s + _WARM_UP_S,
        )

    def _find_alive(self, now_s):
        dead = {
            name
            for name, died_s in self._died_s.items()
            if now_s - died_s >= _DEAD_AFTER_S
        }
        known = getattr(self, "_alive", None)
        if known is None or known[0] != dead:
            live = frozenset(name for name in self.regions if name not in dead)
            self._alive = known = (dead, live)
        return known[1], len(known[1])


def find_most(requests, window_s):
    """Return the most requests that were sent and admitted within a window.

    A request that waits for its decision counts where both times are in the window.
    """
    admitted = sorted(
        (request.decided_s, request.sent_s)
        for request in requests
        if request.is_admitted
    )
    most = 0
    for start in {sent_s for _, sent_s in admitted}:
        inside = sum(
            1
            for decided_s, sent_s in admitted
            if sent_s >= start and decided_s <= start + window_s
        )
        most = max(most, inside)
    return most


def make_organisation(name, rate_per_s, burst):
    return model.Organisation(name, None, rate_per_s, burst)
