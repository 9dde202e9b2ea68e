"""Parts of daemons that change and run batch jobs, without a network."""

import asyncio
import random
import time

from endivevane.platform import headers
from endivevane.serving import (
    batch_slots,
    follower,
    job_changes,
    job_reader,
    job_registry,
    job_runner,
    jobs,
    model,
    routing_table,
    runner_dependencies,
    slot_registry,
)
from features.support import serving_fakes


class JobDaemon:
    """The parts of a daemon that change jobs."""

    def __init__(self, rows, name):
        self.owner = f"{name}/1"
        self.rows = rows
        self.registry = job_registry.JobRegistry()
        self.state = follower.TableFollower(rows, "state", "", self._on_row)
        self.changes = job_changes.JobChanges(
            rows, self.state, self.registry, self.owner
        )
        self.feed = asyncio.ensure_future(self.state.run())

    def _on_row(self, row):
        if row.row_key.key.startswith(jobs.JOB_PREFIX):
            self.registry.apply(row)


def make_route(quota=0, attempts=3, retention_s=60):
    service = model.WeightedService("lm", 1.0)
    return model.Route(
        name="digest",
        host="h",
        prefix="/p/",
        kind=model.RouteKind.BATCH,
        services=(service,),
        timeout_s=15,
        objective_s=0.4,
        priority=2,
        max_attempts=attempts,
        completion_s=18,
        retention_s=retention_s,
        token_quota=quota,
    )


def make_submission(job_id, items=3, tokens=10, left_s=2.0, quota=0):
    listed = tuple(
        jobs.Item(f"{job_id}-{number}", "/p/x", {"Model": "m"}, b"body", tokens)
        for number in range(items)
    )
    until_s = time.monotonic() + left_s
    return job_changes.Submission(
        job_id, "h", "/p/x", make_route(quota), listed, until_s
    )


def make_table(routes):
    """Return the routing table of a configuration that has only routes."""
    return routing_table.RoutingTable(
        model.Configuration(1, tuple(routes), {}, model.ClientLimits())
    )


def make_runner(
    daemon, fleet, caller, routes=None, daemons=1, get_table=None, slots=None
):
    """Return the job runner of a daemon.

    :param get_table: returns the routing table in force, by default that of the routes
    :param slots: registry of its slots, ``None`` for a new one
    """
    table = make_table((make_route(),) if routes is None else routes)
    return job_runner.JobRunner(
        runner_dependencies.RunnerDependencies(
            targets=fleet.directory,
            load_table=fleet.board,
            choices=fleet.choices,
            slots=batch_slots.BatchSlots(
                fleet.choices,
                fleet.board,
                slots or slot_registry.SlotRegistry(fleet.board),
            ),
            caller=caller,
            row_store=daemon.rows,
            changes=daemon.changes,
            reader=job_reader.JobReader(daemon.registry, daemon.changes),
            routes=get_table or (lambda: table),
            encode_headers=headers.HeaderCodec().encode_item_headers,
            decode_segments=headers.HeaderCodec().decode_item_segments,
            quarantine=serving_fakes.make_quarantine(),
            generator=random.Random(1),
            owner=daemon.owner,
            count_daemons=lambda: daemons,
        )
    )
