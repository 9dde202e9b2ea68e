"""Rate limits of many daemons in this process, with a network that loses datagrams."""

import asyncio
import random
import time

from endivevane.rate_limits import holder, messages
from endivevane.serving import model, peer_messages, peer_registry, target_registry
from features.support import serving_fakes

# Delays of a datagram within a region and between regions.
_NEAR_S = 0.003
_FAR_S = 0.02
# There are no heartbeats here, so the daemons count as alive for a whole scenario.
_ALIVE_S = 600.0
# A daemon with requests that wait tries again after this time.
_RETRY_S = 0.02
_ANSWER_S = 0.03
_OBJECTIVE_S = 0.3


class Target:
    """A target that names a limit and records what reaches it."""

    def __init__(self, name, region, limit_per_s):
        zone = "z1" if region == "near" else "z2"
        self.description = serving_fakes.make_target(name, zone=zone)
        self.limit_per_s = limit_per_s
        self.arrivals_s = []


class Daemon:
    """One daemon's rate limits, and requests that it always has waiting."""

    def __init__(self, net, name, region):
        self.net = net
        self.name = name
        self.region = region
        self.sent = 0
        self.is_up = True
        self.tasks = []
        self.start()

    def start(self):
        identity = peer_registry.Identity(self.name, self.region, "run1", self.name, 1)
        self.registry = peer_registry.PeerRegistry(identity)
        self.registry.warmed_up_s = 0.0
        self.directory = target_registry.TargetRegistry(
            lambda key, _value: self.net.targets[key].description
        )
        for number, name in enumerate(self.net.targets, 1):
            row = serving_fakes.make_row(name, b"x", number)
            self.directory.apply(row, time.monotonic())
        self.limits = serving_fakes.make_limits(
            self.directory, identity, self.registry, self._send
        )
        self.is_up = True
        for other in self.net.daemons.values():
            self.meet(other)
        self._begin(self.limits.run())

    def meet(self, other):
        if other is not self:
            peer = peer_registry.Peer(other.name, other.region, other.name, 1, "run1")
            peer.last_seen_s = time.monotonic() + _ALIVE_S
            self.registry.record_heartbeat(peer)

    def kill(self):
        """Stop without a word; the others hear nothing more of it."""
        self.stop()
        for other in self.net.daemons.values():
            peer = other.registry.peers.get(self.name)
            if peer is not None:
                peer.last_direct_s = time.monotonic()

    def stop(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    def learn(self, target, sent_s=None):
        """Apply an answer of a target, as its calls do."""
        now_s = time.monotonic() if sent_s is None else sent_s
        statement = model.RateStatement(target.limit_per_s)
        self.limits.record_answer(target.description, statement, now_s)

    def demand(self):
        """Keep requests waiting for targets until the daemon stops."""
        self._begin(self._demand())

    async def _demand(self):
        generator = random.Random(self.name)
        while self.is_up:
            await asyncio.sleep(_RETRY_S * (0.5 + generator.random()))
            now_s = time.monotonic()
            targets = [item.description for item in self.net.targets.values()]
            need = holder.TokenNeed(messages.Need.WAITING, 0, now_s + _OBJECTIVE_S)
            self.limits.request_token(targets, need, now_s)
            for target in self.net.targets.values():
                target_id = target.description.target_id
                if self.limits.is_open(target_id, now_s):
                    self.limits.take(target_id, now_s)
                    self._call(target, now_s)

    def _call(self, target, now_s):
        self.sent += 1
        target.arrivals_s.append(now_s)
        loop = asyncio.get_running_loop()
        loop.call_later(_ANSWER_S, self._answer, target, now_s)

    def _answer(self, target, sent_s):
        if self.is_up:
            self.learn(target, sent_s)

    def _begin(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine, loop=self.net.loop))

    def _send(self, name, message):
        self.net.send(self, name, message)


class Net:
    """Daemons and targets of two regions."""

    def __init__(self, loop, near, far, lost_share, limits, seed=7):
        self.loop = loop
        self.generator = random.Random(seed)
        self.lost_share = lost_share
        self.is_cut = False
        self.datagrams = 0
        self.bytes = 0
        self.targets = {
            name: Target(name, region, limit_per_s)
            for name, region, limit_per_s in limits
        }
        self.daemons = {}
        for region, count in (("near", near), ("far", far)):
            for number in range(count):
                name = f"{region}-{number}"
                self.daemons[name] = Daemon(self, name, region)
        for daemon in self.daemons.values():
            for other in self.daemons.values():
                daemon.meet(other)

    def list_deciders(self):
        """Return the daemons that choose targets."""
        now_s = time.monotonic()
        deciders = []
        for daemon in self.daemons.values():
            if not daemon.is_up:
                continue
            if not daemon.registry.is_coordinated or daemon.registry.is_coordinator(
                now_s
            ):
                deciders.append(daemon)
        return deciders

    def find_issuer(self, region):
        """Return the daemon that issues the tokens of a region's targets."""
        member = next(
            item
            for item in self.daemons.values()
            if item.region == region and item.is_up
        )
        return self.daemons[member.registry.rank(region, time.monotonic())[0]]

    def send(self, sender, name, message):
        data = peer_messages.encode(message)
        self.datagrams += 1
        self.bytes += len(data)
        receiver = self.daemons[name]
        is_lost = self.generator.random() < self.lost_share
        if is_lost or not (sender.is_up and receiver.is_up):
            return
        if self.is_cut and receiver.region != sender.region:
            return
        delay_s = _NEAR_S if receiver.region == sender.region else _FAR_S
        self.loop.call_later(delay_s, self._deliver, receiver, sender.name, data)

    def _deliver(self, receiver, sender, data):
        if receiver.is_up:
            receiver.limits.handle(peer_messages.decode(data), sender)

    def stop(self):
        for daemon in self.daemons.values():
            daemon.stop()
