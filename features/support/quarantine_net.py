"""Quarantines of many daemons in this process, with a network that loses datagrams."""

import asyncio
import random
import time

from endivevane.quarantine import evidence, rows
from endivevane.serving import failures, model, peer_messages, peer_registry
from features.support import serving_fakes

# Delays of a datagram within a region and between regions.
_NEAR_S = 0.003
_FAR_S = 0.02
# There are no heartbeats here, so the daemons count as alive for a whole scenario.
_ALIVE_S = 600.0


class SwitchableStore(serving_fakes.FakeStore):
    """A store that can be down, or lose the writes that it is sent."""

    def __init__(self):
        super().__init__()
        self.state = "is up"

    async def apply(self, change):
        if self.state == "is down":
            raise failures.StoreRefused("apply", "status 503")
        if self.state == "loses writes":
            raise failures.StoreUncertain("apply", "no answer")
        return await super().apply(change)


class Member:
    """One daemon's quarantine and its view of the other daemons."""

    def __init__(self, net, name, region):
        self.net = net
        self.name = name
        self.region = region
        self.task = None
        self.identity = peer_registry.Identity(name, region, "run1", name, 1)
        self.start()

    def start(self):
        self.registry = peer_registry.PeerRegistry(self.identity)
        self.registry.warmed_up_s = 0.0
        self.quarantine = serving_fakes.make_quarantine(
            self.name,
            identity=self.identity,
            registry=self.registry,
            store_rows=self.net.store,
            send=self._send,
            seed=self.net.generator.random(),
        )
        if self.task is not None:
            self.task.cancel()
        self.task = self.net.loop.create_task(self.quarantine.run())

    def meet(self, others):
        for other in others:
            if other is not self:
                peer = peer_registry.Peer(
                    other.name, other.region, other.name, 1, "run1"
                )
                peer.last_seen_s = time.monotonic() + _ALIVE_S
                self.registry.record_heartbeat(peer)

    def _send(self, name, news):
        self.net.send(self, name, news)

    def read_rows(self):
        """Apply what the store holds, as the feed does."""
        for key, (value, version) in self.net.store.rows.items():
            if key.key.startswith(rows.ROW_PREFIX):
                row = serving_fakes.make_row(key.key, value, version, key.table)
                self.quarantine.apply_row(row)


class Net:
    """Daemons of two regions and their store."""

    def __init__(self, loop, near, far, lost_share, seed=7):
        self.loop = loop
        self.generator = random.Random(seed)
        self.lost_share = lost_share
        self.is_cut = False
        self.store = SwitchableStore()
        self.sent = {}
        self.sent_bytes = 0
        self.members = {}
        for region, count in (("near", near), ("far", far)):
            for number in range(count):
                name = f"{region}-{number}"
                self.members[name] = Member(self, name, region)
        self.meet_all()

    def stop(self):
        """Cancel the tasks of all daemons."""
        tasks = [member.task for member in self.members.values()]
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))

    def meet_all(self):
        for member in self.members.values():
            member.meet(self.members.values())

    def send(self, sender, name, news):
        data = peer_messages.encode(news)
        self.sent[sender.name] = self.sent.get(sender.name, 0) + 1
        self.sent_bytes += len(data)
        if self.generator.random() < self.lost_share:
            return
        receiver = self.members[name]
        if self.is_cut and receiver.region != sender.region:
            return
        delay_s = _NEAR_S if receiver.region == sender.region else _FAR_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, receiver, sender.name, data)

    def _deliver(self, receiver, sender, data):
        receiver.quarantine.handle(peer_messages.decode(data), sender)

    def end_target(self, member, run_key, fingerprint, segments):
        """Let a daemon find that a target has ended under a request."""
        suspect = evidence.Suspect(fingerprint, segments, was_beginning=True)
        member.quarantine.report_end(run_key, time.monotonic(), (suspect,))


def make_request(attempt, *segments):
    return model.ClientRequest(
        method=b"POST",
        host="shop.example",
        path="/quote/1",
        headers=(),
        body=attempt.encode(),
        attempt_id=attempt.encode(),
        received_s=time.monotonic(),
        deadline_s=None,
        prompt_segments=segments,
    )
