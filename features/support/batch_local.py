"""In-process implementations of the ports of batch work, for tests."""

import collections
import time

import result

from endivevane.batch import ports
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine, http_pool, objects


class MemoryObjects:
    """An object store in memory; ``is_down`` makes every call fail."""

    def __init__(self):
        self.data = {}
        self.is_down = False
        self.puts = collections.Counter()

    def put(self, key, data, create_only=False):
        if self.is_down:
            return result.Err(objects.ObjectStoreError(key, "down"))
        self.puts[key] += 1
        self.data[key] = bytes(data)
        return result.Ok(None)

    def get(self, key):
        if self.is_down:
            return result.Err(objects.ObjectStoreError(key, "down"))
        if key not in self.data:
            return result.Err(objects.ObjectMissing(key, "not found"))
        return result.Ok(self.data[key])

    def delete(self, key):
        if self.is_down:
            return result.Err(objects.ObjectStoreError(key, "down"))
        self.data.pop(key, None)
        return result.Ok(None)

    def list(self, prefix):
        if self.is_down:
            return result.Err(objects.ObjectStoreError(prefix, "down"))
        return result.Ok(
            [
                objects.ObjectInfo(key, len(data))
                for key, data in sorted(self.data.items())
                if key.startswith(prefix)
            ]
        )


class Hub:
    """Membership shared by daemons in one process, without delay."""

    def __init__(self, current=snapshot.EMPTY):
        self.current = current
        self.nodes = {}
        self.gone = set()


class LocalCluster:
    """Implementation of ``ports.Cluster`` over a hub."""

    def __init__(self, hub, name):
        self._hub = hub
        self.name = name
        self.epoch = 1
        self.is_valid = True
        self.handlers = {}
        hub.nodes[name] = self

    def session(self):
        return ports.Session(self.name, self.epoch, self.is_valid)

    def live_members(self):
        return [
            ports.Member(node.name, node.epoch)
            for node in self._hub.nodes.values()
            if (node.name, node.epoch) not in self._hub.gone
        ]

    def is_gone(self, owner, epoch):
        node = self._hub.nodes.get(owner)
        if node is None or epoch < node.epoch:
            return True
        return (owner, epoch) in self._hub.gone

    def snapshot(self):
        return self._hub.current

    def send(self, daemon, kind, body):
        node = self._hub.nodes.get(daemon)
        if node is not None and kind in node.handlers:
            node.handlers[kind](self.name, body)

    def register(self, kind, handler):
        self.handlers[kind] = handler


class PolledLoads:
    """Load reports, polled from the engines on demand."""

    def __init__(self, targets, max_age_s=0.2):
        self._clients = {}
        self._reports = {}
        self._max_age_s = max_age_s
        for target in targets:
            pool = http_pool.HttpPool(
                target.address, http_pool.PoolSettings(0.3, 1.0), clock.SystemClock()
            )
            self._clients[target.name] = engine.EngineClient(pool)

    def load_report(self, target_name):
        kept = self._reports.get(target_name)
        now_s = time.monotonic()
        if kept is not None and now_s - kept[0] < self._max_age_s:
            return kept[1]
        outcome = self._clients[target_name].fetch_load()
        report = outcome.ok_value if isinstance(outcome, result.Ok) else None
        self._reports[target_name] = (now_s, report)
        return report


def make_snapshot(engines, organisation="org", model="m", **batch):
    """Return a configuration with one service on the given engines."""
    documents = {
        "fleet": {"kind": "fleet", "zones": [{"name": "z", "region": "r"}]},
        f"organisations/{organisation}": {
            "kind": "organisation",
            "name": organisation,
        },
        "services/s": {
            "kind": "service",
            "name": "s",
            "type": "model",
            "organisations": [organisation],
            "models": [{"name": model}],
            "batch": batch,
            "targets": [
                {"name": f"t{n}", "address": address, "zone": "z", "slots": slots}
                for n, (address, slots) in enumerate(engines)
            ],
        },
    }
    return snapshot.build_snapshot(1, documents)
