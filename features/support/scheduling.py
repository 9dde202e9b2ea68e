"""Factories of snapshots, requests and reports for scheduler scenarios."""

import itertools
import random

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine
from endivevane.online import contract, routing, scheduler

WALL_MS = 1_700_000_000_000
PLACE = routing.Place("daemon-1", "zone-a", "west")
ZONES = [
    {"name": "zone-a", "region": "west"},
    {"name": "zone-b", "region": "west"},
    {"name": "zone-c", "region": "east"},
]


def make_target(name, zone="zone-a", slots=2):
    number = int("".join(filter(str.isdigit, name)) or 0)
    address = f"127.0.{number // 200}.{number % 200 + 1}:9000"
    return {"name": name, "address": address, "zone": zone, "slots": slots}


def make_snapshot(targets, online=None, organisations=None, revision=1, service=None):
    """Return a snapshot with one model service named ``answers``."""
    organisations = organisations or {"acme": {}}
    documents = {
        "fleet": {"kind": "fleet", "zones": ZONES},
        "services/answers": {
            "kind": "service",
            "name": "answers",
            "type": "model",
            "organisations": sorted(organisations),
            "models": [{"name": "small-lm"}],
            "targets": targets,
            "online": online or {},
            **(service or {}),
        },
    }
    for name, fields in organisations.items():
        document = {"kind": "organisation", "name": name, **fields}
        documents[f"organisations/{name}"] = document
    return snapshot.build_snapshot(revision, documents)


def make_report(
    running=0, waiting=0, slots=2, as_of_s=0.0, model="small-lm", role="both"
):
    return engine.LoadReport(
        as_of_s=as_of_s,
        running=running,
        waiting=waiting,
        slots=slots,
        models=(engine.LoadedModel(model, "1", ()),) if model else (),
        role=role,
        kv_used_share=0.0,
        fencing_number=0,
    )


class Bench:
    """A scheduler with a manual clock and a factory of requests."""

    def __init__(self, current, seed=7, place=PLACE, settings=None):
        self.snapshot = current
        self.clock = clock.ManualClock(1000.0, WALL_MS)
        self.scheduler = scheduler.Scheduler(
            place, self.clock, random.Random(seed), settings
        )
        self.scheduler.set_snapshot(current)
        self._numbers = itertools.count(1)

    def make_request(
        self,
        organisation="acme",
        priority=types.Priority.INTERACTIVE,
        deadline_s=30.0,
        is_deterministic=False,
        fingerprint=None,
        prefix_hashes=(),
        body=None,
        model="small-lm",
    ):
        number = next(self._numbers)
        now_s = self.clock.monotonic_s()
        return contract.OnlineRequest(
            request_id=f"r{number}",
            organisation=organisation,
            service=self.snapshot.services["answers"],
            model=model,
            priority=priority,
            body=body or {"model": "small-lm"},
            is_streamed=True,
            is_deterministic=is_deterministic,
            received_s=now_s,
            deadline_s=now_s + deadline_s,
            fingerprint=fingerprint or f"f{number}",
            prefix_hashes=tuple(prefix_hashes),
        )

    def submit(self, **fields):
        return self.scheduler.submit(self.make_request(**fields))

    def make_wall_s(self, age_s=0.0):
        """Return the wall time of a report with the given age."""
        return self.clock.wall_ms() / 1000 - age_s
