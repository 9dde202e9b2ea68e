"""A fleet that runs batch jobs, with queries of the stand-ins' records."""

import collections
import json
import threading
import time

import openai

from tools import fleet

ENDPOINT = "/v1/chat/completions"
POLL_S = 0.1


def make_lines(count, model, max_tokens=8, content="question {}"):
    """Return an input file of valid items c0, c1, ..."""
    lines = []
    for index in range(count):
        body = {
            "model": model,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": content.format(index)}],
        }
        item = {"custom_id": f"c{index}", "method": "POST", "url": ENDPOINT}
        lines.append(json.dumps({**item, "body": body}))
    return lines


class BatchFleet:
    """A fleet with short leases, and its API clients."""

    def __init__(self, daemon_settings=None, **plan):
        settings = {
            "session": {"term_s": 3.0},
            "batch": {"poll_interval_s": 0.5},
            "membership": {"suspect_timeout_s": 1.0, "probe_interval_s": 0.5},
        }
        settings.update(daemon_settings or {})
        zones = (fleet.Zone("zone-a", "west"), fleet.Zone("zone-b", "west"))
        plan.setdefault("zones", zones)
        self.fleet = fleet.Fleet(fleet.FleetPlan(daemon_settings=settings, **plan))
        self.engine_restarter = None

    def start(self):
        self.fleet.start()

    def close(self):
        if self.engine_restarter is not None:
            self.engine_restarter.stop()
        self.fleet.close()

    def client(self, index=0):
        return openai.OpenAI(
            api_key=self.fleet.caller_key(),
            base_url=f"{self.fleet.daemons[index].url}/v1",
            max_retries=5,
            timeout=20,
        )

    def upload(self, lines, index=0, **headers):
        data = ("\n".join(lines) + "\n").encode()
        return self.client(index).files.create(
            file=("items.jsonl", data), purpose="batch", extra_headers=headers
        )

    def create(self, file_id, index=0, window="24h", **headers):
        return self.client(index).batches.create(
            input_file_id=file_id,
            endpoint=ENDPOINT,
            completion_window=window,
            extra_headers=headers,
        )

    def wait(self, job_id, index=0, timeout_s=60.0):
        """Return the job once it has ended."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            job = self.client(index).batches.retrieve(job_id)
            if job.status not in ("in_progress", "validating"):
                return job
            assert (
                time.monotonic() < deadline_s
            ), f"job has not ended: {job.request_counts}"
            time.sleep(POLL_S)

    def read(self, file_id, index=0):
        """Return the lines of a result file as JSON objects."""
        if file_id is None:
            return []
        text = self.client(index).files.content(file_id).text
        return [json.loads(line) for line in text.splitlines()]

    def chunk_rows(self):
        """Return all writes of chunk rows in order."""
        record = self.fleet.store.record()
        return [entry for entry in record["history"] if entry["table"] == "chunks"]

    def count_commits(self):
        """Return how often each chunk was written as done."""
        return collections.Counter(
            entry["key"]
            for entry in self.chunk_rows()
            if entry["value"] and entry["value"]["state"] == "done"
        )

    def wait_for_owner(self, is_wanted=lambda owner: True, timeout_s=20.0):
        """Return a daemon that holds a claim, once items are running."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            last = {entry["key"]: entry["value"] for entry in self.chunk_rows()}
            claimed = [row for row in last.values() if row["state"] == "claimed"]
            owners = [row["owner"] for row in claimed if is_wanted(row["owner"])]
            if owners and self.runs():
                return next(
                    item for item in self.fleet.daemons if item.name == owners[0]
                )
            assert (
                time.monotonic() < deadline_s
            ), "no wanted daemon holds a claim with running items"
            time.sleep(POLL_S)

    def runs(self):
        """Return all runs recorded by the running engines."""
        return [
            run
            for engine in self.fleet.engines
            if engine.process.is_running
            for run in engine.record()["runs"]
        ]


class EngineRestarter:
    """Restarts engines that crash on a text; they crash on it from their start."""

    def __init__(self, engines, crash_on):
        self._engines = engines
        self._stopped = threading.Event()
        self.restart_count = 0
        for engine in engines:
            engine.set_faults(crash_on=crash_on)
            # A fault that is set after the restart misses the items that run before.
            engine.process.arguments += ["--crash-on", crash_on]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.05):
            for engine in self._engines:
                if engine.process.is_running:
                    continue
                self.restart_count += 1
                engine.restart()
