import time

from endivevane import testing
from endivevane.batch import items, jobs, records, runner
from endivevane.coordination import clock, store
from endivevane.daemon import settings
from features.support import batch_fleet, batch_local
from tools import fleet


class World:
    """An in-process platform for runners, with one engine process."""

    def __init__(self, context, slots, item_ms):
        plan = fleet.FleetPlan(daemons=0, engines=1, slots=slots, token_ms=item_ms / 8)
        self.fleet = fleet.Fleet(plan)
        context.cleanups.append(self.fleet.close)
        self.fleet.start()
        address = self.fleet.engines[0].address
        current = batch_local.make_snapshot([(address, slots)], model=plan.model)
        self.hub = batch_local.Hub(current)
        self.store = testing.MemoryTableStore()
        self.objects = batch_local.MemoryObjects()
        self.clock = clock.SystemClock()
        self.target = current.services["s"].targets[0]
        self.job_id = self._create(plan.model)

    def _create(self, model):
        data = ("\n".join(batch_fleet.make_lines(60, model)) + "\n").encode()
        self.objects.put("u/000000", data)
        record = records.InputFile(
            "file-1", "org", "f", "batch", len(data), 60, 1, "d", 1, "u", model, 0
        )
        write = store.Write("files", "file-1", records.encode(record))
        self.store.transact("setup", [], [write])
        request = jobs.JobRequest(
            "org", "file-1", items.ENDPOINT, "1h", 3_600_000, None, ""
        )
        return jobs.JobService(self.store, self.clock).create(request).job_id

    def start_runner(self, context, name):
        cluster = batch_local.LocalCluster(self.hub, name)
        task = runner.BatchRunner(
            settings.BatchSection(poll_interval_s=0.2),
            self.store,
            self.objects,
            cluster,
            batch_local.PolledLoads([self.target]),
            self.clock,
        )
        context.cleanups.append(task.stop)
        task.start()
        return task

    def runs(self, *states):
        found = self.fleet.engines[0].record()["runs"]
        return [run for run in found if not states or run["state"] in states]


def wait_until(check, timeout_s, problem):
    deadline_s = time.monotonic() + timeout_s
    while not check():
        assert time.monotonic() < deadline_s, problem
        time.sleep(0.02)
