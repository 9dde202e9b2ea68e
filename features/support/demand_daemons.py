"""In-memory daemons that exchange demand and count the bytes of their messages."""

import collections

from endivevane import testing, types
from endivevane.cluster import messages
from endivevane.coordination import clock, fencing, gossip_messages, store
from endivevane.orders import demand

ROUND_S = 2.0


class DemandDaemons:
    """Daemons with one demand exchange each, and one owner per service."""

    def __init__(self, count, services, running):
        self.clock = clock.ManualClock(100.0, 1_000_000)
        self.store = testing.MemoryTableStore()
        self.names = [f"entry-{index:03d}" for index in range(count)]
        self.groups = [f"service-{index:02d}" for index in range(services)]
        self.owners = dict(zip(self.groups, self.names, strict=False))
        for group, owner in self.owners.items():
            write = store.Write(
                fencing.TABLE, group, {"owner": owner, "owner_epoch": 1}
            )
            self.store.transact(f"own-{group}", [], [write])
        # All five figures are set, so that the messages have their full size.
        figures = types.ModelDemand(1.25, 0.01, 412.5, running, 0.02)
        own = {group: {f"{group}-lm": figures} for group in self.groups}
        self.exchanges = {
            name: demand.DemandExchange(name, self.clock, lambda: own, self.store)
            for name in self.names
        }
        self.size_bytes = collections.Counter()
        self.elapsed_s = 0.0

    def run(self, duration_s, is_lost=lambda sender: False):
        self.size_bytes.clear()
        self.elapsed_s = duration_s
        for _ in range(int(duration_s / ROUND_S)):
            for sender, item in self.exchanges.items():
                for receiver, body in item.run(self.names, self.groups):
                    self._pass_on(sender, receiver, body, is_lost)
            self.clock.advance(ROUND_S)

    def _pass_on(self, sender, receiver, body, is_lost):
        header = gossip_messages.Header(sender, 1, 760, 760)
        message = messages.Application(header, demand.KIND, body, sender)
        kind, data = messages.encode(message)
        _, decoded = messages.decode(data)
        assert kind in messages.APPLICATION_KINDS
        for name in (sender, receiver):
            self.size_bytes[name] += len(data)
        if not is_lost(sender):
            self.exchanges[receiver].receive(sender, decoded.body)

    def lose(self, names):
        self.names = [name for name in self.names if name not in names]
        for name in names:
            del self.exchanges[name]

    def read_slots(self):
        """Return what each owner knows of its service."""
        return [
            self.exchanges[owner].compute_slots(group, self.names)
            for group, owner in self.owners.items()
        ]
