"""Two regions with callers in each, and samples of the daemons' status."""

import collections
import dataclasses
import http.client
import itertools
import json
import threading
import time

from features.support import batch_fleet, engine_caller, region_plan
from standins import completions
from tools import fleet


@dataclasses.dataclass
class Sample:
    """Status of a daemon at a point in time; ``members`` maps names to states."""

    at_s: float
    ready: bool
    revision: int
    members: dict


@dataclasses.dataclass
class Call:
    """One online call and how it ended."""

    daemon: str
    prompt: str
    tokens: int
    started_s: float
    first_token_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    text: str = ""
    error: str = ""

    @property
    def is_complete(self):
        wanted = engine_caller.expected_text(self.prompt, self.tokens)
        return self.status == 200 and self.text == wanted


def take_sample(get):
    """Return the status of a daemon at a point in time.

    :param get: returns status, headers and body of a path
    """
    status, _, body = get("/admin/status")
    if status != 200:
        # Without a revision a daemon can't check the operator's key. If it got its
        # revision between the two requests, ask again, so that the sample does not
        # combine answers from before and after.
        ready_status, _, _ = get("/readyz")
        if ready_status == 200:
            status, _, body = get("/admin/status")
    if status != 200:
        is_ready = ready_status == 200
        return Sample(time.monotonic(), is_ready, 0, {})
    members = {item["name"]: item["state"] for item in body["members"]}
    return Sample(time.monotonic(), body["ready"], body["revision"], members)


class RegionFleet(batch_fleet.BatchFleet):
    """A fleet whose daemons are continuously sampled and called."""

    def __init__(self, **changes):
        self.fleet = fleet.Fleet(region_plan.make_plan(**changes))
        self.samples = collections.defaultdict(list)
        self.calls = []
        self.long_calls = []
        self.cut_s = None
        self.back_s = None
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._threads = []

    def start(self):
        self.fleet.start()
        for daemon in self.fleet.daemons:
            self._run(self._sample, daemon)

    def close(self):
        self.stop_callers()
        self.fleet.close()

    def region_of(self, member):
        zones = {zone.name: zone.region for zone in self.fleet.plan.zones}
        return zones[member.zone]

    def cut(self, is_silent):
        self.fleet.regions.cut(is_silent)
        self.cut_s = time.monotonic()

    def restore(self):
        time.sleep(max(0.0, self.cut_s + region_plan.CUT_S - time.monotonic()))
        self.fleet.regions.restore()
        self.back_s = time.monotonic()

    def start_callers(self):
        for daemon in self.fleet.daemons:
            self._run(self._call_repeatedly, daemon)

    def start_long_calls(self, daemon, count, tokens):
        for _ in range(count):
            self._run(self._call, daemon, tokens, self.long_calls)

    def latest(self, daemon):
        """Return the newest sample, ``None`` when it is older than a second."""
        samples = self.samples[daemon.name]
        if not samples or time.monotonic() - samples[-1].at_s > 1.0:
            return None
        return samples[-1]

    def read_runs(self):
        """Return the engines and their runs, by digest of the prompt."""
        runs = collections.defaultdict(list)
        for engine in self.fleet.engines:
            for run in engine.record()["runs"]:
                runs[run["prompt_sha256"]].append((engine, run))
        return runs

    def stop_callers(self):
        """Start no further calls, and wait for running ones to complete."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments)
        self._threads.append(thread)
        thread.start()

    def _sample(self, daemon):
        key = {"Authorization": f"Bearer {self.fleet.operator_key}"}
        while not self._stopped.wait(0.1):
            try:
                sample = take_sample(
                    lambda path: engine_caller.get(daemon.address, path, key)
                )
            except (OSError, http.client.HTTPException, ValueError):
                continue
            self.samples[daemon.name].append(sample)

    def _call_repeatedly(self, daemon):
        while not self._stopped.wait(0.1):
            self._call(daemon, 10, self.calls)

    def _call(self, daemon, tokens, calls):
        prompt = f"question {next(self._numbers)}"
        call = Call(daemon.name, prompt, tokens, time.monotonic())
        body = engine_caller.make_body(prompt, tokens, temperature=0)
        headers = {"Authorization": f"Bearer {self.fleet.caller_key()}"}
        try:
            stream = engine_caller.open_stream(daemon.address, body, headers, 30.0)
            call.status = stream.status
            if stream.status != 200:
                call.error = stream.response.read().decode()
            events = [first] if (first := stream.read_event()) else []
            call.first_token_s = time.monotonic() - call.started_s
            events += stream.read_to_end()
            is_done = events and events[-1].data == engine_caller.DONE
            call.text = engine_caller.join_text(events) if is_done else ""
        except (OSError, http.client.HTTPException, json.JSONDecodeError):
            call.status = -1
        call.ended_s = time.monotonic()
        calls.append(call)


def digest(prompt):
    """Return the digest under which an engine records a prompt."""
    return completions.digest_messages(engine_caller.make_messages(prompt))
