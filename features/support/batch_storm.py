"""Real runners in one process with store faults, expired leases and crashes."""

import random
import threading
import time

from endivevane import testing
from endivevane.batch import attempts, items, jobs, records, runner
from endivevane.coordination import clock, store
from endivevane.daemon import settings
from features.support import batch_fleet, batch_local

_MODEL = "m"
_SLOTS = 8


class IdleLoads:
    """Load reports of engines without online load."""

    def load_report(self, _target_name):
        model = batch_local.engine.LoadedModel(_MODEL, "1", ())
        return batch_local.engine.LoadReport(
            time.time(), 0, 0, _SLOTS, (model,), "both", 0.0, 0
        )


class FaultInjectionRun:
    """Runs one job while a seeded generator injects faults.

    :param fault_share: share of the store's calls that fail
    """

    def __init__(self, seed, runners, items_count, fault_share):
        self.random = random.Random(seed)
        self._fault_lock = threading.Lock()
        self.fault_share = fault_share
        self.store = testing.MemoryTableStore(choose_fault=self._choose_fault)
        self.objects = batch_local.MemoryObjects()
        addresses = [(f"127.0.0.1:{n + 1}", _SLOTS) for n in range(2 * runners)]
        self.hub = batch_local.Hub(batch_local.make_snapshot(addresses, model=_MODEL))
        self.clock = clock.SystemClock()
        self.tasks = {}
        self.attempt_count = 0
        self.send_duration_s = 0.01
        self.send_times_s = []
        self._original_send = attempts.send
        attempts.send = self._send
        self.job_id = self._create(items_count)
        self._next = 0
        for _ in range(runners):
            self.add_runner()

    def close(self):
        for task in self.tasks.values():
            task.stop()
        attempts.send = self._original_send

    def _choose_fault(self, _kind):
        with self._fault_lock:
            if self.random.random() >= self.fault_share:
                return None
            return self.random.choice(list(testing.Fault))

    def _send(self, _pool, attempt):
        self.attempt_count += 1
        if attempt.withdrawn.is_set():
            return attempts.Outcome(attempts.Kind.WITHDRAWN)
        time.sleep(self.send_duration_s)
        self.send_times_s.append(time.monotonic())
        body = {"echo": attempt.item.custom_id}
        return attempts.Outcome(attempts.Kind.ANSWERED, "", 200, body)

    def _create(self, count):
        lines = batch_fleet.make_lines(count, _MODEL)
        chunk_count = 0
        for start in range(0, count, 512):
            data = "\n".join(lines[start : start + 512]).encode() + b"\n"
            self.objects.put(f"u/{chunk_count:06d}", data)
            chunk_count += 1
        record = records.InputFile(
            "file-1", "org", "f", "batch", 1, count, chunk_count, "d", 1, "u", _MODEL, 0
        )
        fault_share, self.fault_share = self.fault_share, 0.0
        write = store.Write("files", "file-1", records.encode(record))
        self.store.transact("setup", [], [write])
        request = jobs.JobRequest(
            "org", "file-1", items.ENDPOINT, "1h", 3_600_000, None, ""
        )
        job = jobs.JobService(self.store, self.clock).create(request)
        self.fault_share = fault_share
        return job.job_id

    def add_runner(self):
        name = f"d{self._next}"
        self._next += 1
        cluster = batch_local.LocalCluster(self.hub, name)
        task = runner.BatchRunner(
            settings.BatchSection(poll_interval_s=0.2, concurrent_items=16),
            self.store,
            self.objects,
            cluster,
            IdleLoads(),
            self.clock,
        )
        self.tasks[name] = task
        task.start()

    def expire_lease(self, name):
        """Expire the lease of a daemon and give it a new epoch 0.3 s later."""
        node = self.hub.nodes[name]
        self.hub.gone.add((name, node.epoch))
        node.is_valid = False
        time.sleep(0.3)
        node.epoch += 1
        node.is_valid = True

    def replace_runner(self, name):
        """Remove a daemon and add a new one."""
        self.tasks.pop(name).stop()
        del self.hub.nodes[name]
        self.add_runner()

    def is_done(self):
        rows = self.store.rows("jobs")
        return rows[self.job_id].value["state"] == "completed"

    def run(self, limit_s):
        """Inject expired leases and crashes until the job has completed."""
        deadline_s = time.monotonic() + limit_s
        events = random.Random(self.random.random())
        count = 0
        while not self.is_done():
            if time.monotonic() > deadline_s:
                return None
            time.sleep(0.3)
            if count < 12:
                name = events.choice(sorted(self.tasks))
                (self.expire_lease if events.random() < 0.6 else self.replace_runner)(
                    name
                )
                count += 1
        return count

    def count_commits(self):
        """Return how often each chunk was written as done."""
        counts = {}
        for transaction in self.store.history:
            for write in transaction.writes:
                if write.table == "chunks" and write.value["state"] == "done":
                    counts[write.key] = counts.get(write.key, 0) + 1
        return counts
