"""Snapshots and requests for the measurements of the decision code."""

from __future__ import annotations

import itertools
import random
import typing

from endivevane import types
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine
from endivevane.online import contract, routing, scheduler

SERVICE = "answers"
MODEL = "small-lm"
WALL_MS = 1_700_000_000_000


def make_snapshot(
    targets: int, slots: int, online: dict[str, typing.Any] | None = None
) -> snapshot.Snapshot:
    """Return a snapshot with one model service in one zone."""
    members = [
        {
            "name": f"t{index}",
            "address": f"127.{index // 200 + 1}.0.{index % 200 + 1}:9000",
            "zone": "zone-a",
            "slots": slots,
        }
        for index in range(targets)
    ]
    documents = {
        "fleet": {"kind": "fleet", "zones": [{"name": "zone-a", "region": "west"}]},
        "organisations/acme": {
            "kind": "organisation",
            "name": "acme",
            "max_concurrent_requests": 1_000_000,
        },
        f"services/{SERVICE}": {
            "kind": "service",
            "name": SERVICE,
            "type": "model",
            "organisations": ["acme"],
            "models": [{"name": MODEL}],
            "targets": members,
            "online": online or {},
        },
    }
    return snapshot.build_snapshot(1, documents)


def make_report(running: int, waiting: int, slots: int, as_of_s: float) -> typing.Any:
    """Return a load report of a target with the model loaded."""
    return engine.LoadReport(
        as_of_s=as_of_s,
        running=running,
        waiting=waiting,
        slots=slots,
        models=(engine.LoadedModel(MODEL, "1", ()),),
        role="both",
        kv_used_share=0.0,
        fencing_number=0,
    )


class Requests:
    """Makes requests with ids of their own."""

    def __init__(self, current: snapshot.Snapshot, run_clock: clock.ManualClock):
        self._service = current.services[SERVICE]
        self._clock = run_clock
        self._numbers = itertools.count(1)

    def make(
        self, prefix_hashes: tuple[int, ...] = (), deadline_s: float = 60.0
    ) -> contract.OnlineRequest:
        """Return a new request that arrives now."""
        number = next(self._numbers)
        now_s = self._clock.monotonic_s()
        return contract.OnlineRequest(
            request_id=f"r{number}",
            organisation="acme",
            service=self._service,
            model=MODEL,
            priority=types.Priority.INTERACTIVE,
            body={"model": MODEL},
            is_streamed=True,
            is_deterministic=False,
            received_s=now_s,
            deadline_s=now_s + deadline_s,
            fingerprint=f"f{number}",
            prefix_hashes=prefix_hashes,
        )


def make_scheduler(
    daemon: str,
    current: snapshot.Snapshot,
    run_clock: clock.ManualClock,
    seed: int,
    daemons: int = 9,
) -> scheduler.Scheduler:
    """Return the scheduler of one of so many daemons."""
    place = routing.Place(daemon, "zone-a", "west")
    made = scheduler.Scheduler(
        place, run_clock, random.Random(seed), count_daemons=lambda: daemons
    )
    made.set_snapshot(current)
    return made
